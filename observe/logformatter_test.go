package observe

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
)

// Guards against log lines that grow with what callers send, and against short fields that are changed.
func TestLongFieldsAreShortened(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(&LogFormatter{})
	long := strings.Repeat("\xff", 16<<10)
	log.WithFields(logrus.Fields{"request": long, "team": "growers", "n": 7}).WithError(errors.New(long)).Info("attempt")
	line := out.String()
	if len(line) > 4<<10 {
		t.Errorf("a line of %d bytes", len(line))
	}
	for _, want := range []string{`"team":"growers"`, `"n":7`, `(16384 bytes)`} {
		if !strings.Contains(line, want) {
			t.Errorf("no %s in %s", want, line)
		}
	}
}

// Guards against waiting lines that are few but large.
func TestWaitingLinesAreBoundedInBytes(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	w := NewLogWriter(out)
	line := append(bytes.Repeat([]byte("x"), 64<<10), '\n')
	for range 100 {
		if _, err := w.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	if most := int64(maxQueuedBytes / len(line)); 100-w.Dropped() > most {
		t.Errorf("%d lines wait, want at most %d", 100-w.Dropped(), most)
	}
	close(out.unblock)
	w.Close()
	if n := w.queued.Load(); n != 0 {
		t.Errorf("%d bytes are counted after all lines were written", n)
	}
}
