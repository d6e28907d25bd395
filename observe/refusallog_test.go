package observe

import (
	"bytes"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/bramleytrail/bramleytrail/result"
)

// Guards against a flood of refused requests that floods the log, and against refusals without a reason and an ID.
func TestRefusalsAreLoggedWithinBounds(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(&logrus.JSONFormatter{})
	l := NewRefusalLog(logrus.NewEntry(log))
	for range 10_000 {
		l.Request("a1", result.Newf(result.Overloaded, "Reason: %s.", "memory"))
	}
	lines := strings.Count(out.String(), "\n")
	if lines < refusalBurst || lines > 2*refusalBurst {
		t.Errorf("%d lines about 10,000 refusals", lines)
	}
	if first, _, _ := strings.Cut(out.String(), "\n"); !strings.Contains(first, `"request":"a1"`) || !strings.Contains(first, "Reason: memory.") || !strings.Contains(first, `"ran":"no"`) {
		t.Errorf("first line %s", first)
	}
}
