package pipeline

import (
	"io"
	"testing"

	"github.com/bramleytrail/bramleytrail/engine"
)

// eventSource returns the given events and counts calls of Pause.
type eventSource struct {
	events []engine.Event
	paused int
}

func (r *eventSource) Pause() { r.paused++ }

func (r *eventSource) Next() (engine.Event, error) {
	if len(r.events) == 0 {
		return engine.Event{}, io.EOF
	}
	ev := r.events[0]
	r.events = r.events[1:]
	return ev, nil
}

// Guards against a confidence that is lost because the last event has none, and against a wrapper that hides the Pause method
// of the source, so that an answer whose caller stalls keeps its endpoint.
func TestConfidenceRecorder(t *testing.T) {
	src := &eventSource{events: []engine.Event{{Seq: 1, Confidence: 0.5}, {Seq: 2, Confidence: 0.7}, {Seq: 3}}}
	r := &confidenceRecorder{Source: src}
	for range 3 {
		if _, err := r.Next(); err != nil {
			t.Fatal(err)
		}
	}
	r.Pause()
	if _, err := r.Next(); err != io.EOF || r.confidence != 0.7 || src.paused != 1 {
		t.Errorf("confidence %.1f, %d pauses, error %v after the last event; want 0.7, 1, EOF", r.confidence, src.paused, err)
	}
}
