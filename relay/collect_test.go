package relay

import (
	"io"
	"testing"

	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/intake"
	"github.com/bramleytrail/bramleytrail/result"
)

// budget lends a number of bytes.
type budget struct{ left int64 }

func (b *budget) Extend(bytes int64) bool {
	if b.left -= bytes; b.left < 0 {
		return false
	}
	return true
}
func (b *budget) Return(bytes int64) { b.left += bytes }

// repeated is an answer of a number of equal events.
type repeated struct {
	text string
	left int
}

func (r *repeated) Next() (engine.Event, error) {
	if r.left == 0 {
		return engine.Event{}, io.EOF
	}
	r.left--
	return engine.Event{Text: r.text}, nil
}

// Guards against an answer that is collected beyond its memory, or whose JSON form is, and against an error that says it has not run.
func TestCollectedAnswerStaysWithinItsMemory(t *testing.T) {
	for _, tc := range []struct {
		name string
		text string
		left int64
		ok   bool
	}{
		{"within", "0123456789", 10_000, true},
		{"text beyond", "0123456789", 1000, false},
		{"escaped beyond", "<<<<<<<<<<", 10_000, false},
	} {
		_, err := Collect(&repeated{tc.text, 200}, AnswerMeta{}, intake.NewAllowance(&budget{tc.left}))
		if e := result.From(err); tc.ok != (err == nil) || !tc.ok && (e.Code != result.AnswerNotHeld || e.Ran != result.DidRun) {
			t.Errorf("%s: error %v", tc.name, err)
		}
	}
}
