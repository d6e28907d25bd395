package pipeline

import (
	"io"
	"testing"

	"github.com/bramleytrail/bramleytrail/engine"
)

type replayed struct {
	events []engine.Event
	paused int
}

func (r *replayed) Pause() { r.paused++ }

func (r *replayed) Next() (engine.Event, error) {
	if len(r.events) == 0 {
		return engine.Event{}, io.EOF
	}
	ev := r.events[0]
	r.events = r.events[1:]
	return ev, nil
}

// Guards against a confidence that is lost when the last event reports none, and against an answer that can no longer be
// paused while its caller does not read.
func TestObserved(t *testing.T) {
	src := &replayed{events: []engine.Event{{Seq: 1, Confidence: 0.5}, {Seq: 2, Confidence: 0.7}, {Seq: 3}}}
	o := &observed{Source: src}
	for range 3 {
		if _, err := o.Next(); err != nil {
			t.Fatal(err)
		}
	}
	o.Pause()
	if _, err := o.Next(); err != io.EOF || o.confidence != 0.7 || src.paused != 1 {
		t.Errorf("confidence %.1f, %d pauses, %v at the end", o.confidence, src.paused, err)
	}
}
