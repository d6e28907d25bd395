package cascade

import (
	"errors"
	"io"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/intake"
	"github.com/bramleytrail/bramleytrail/object"
)

// simulatedAnswer is a Source with a simulated clock that advances by step at each event. It returns err after the last
// event.
type simulatedAnswer struct {
	events []engine.Event
	read   int
	err    error
	clock  time.Time
	step   time.Duration
}

func (a *simulatedAnswer) now() time.Time { return a.clock }

func (a *simulatedAnswer) Next() (engine.Event, error) {
	if a.read == len(a.events) {
		return engine.Event{}, a.err
	}
	a.read++
	a.clock = a.clock.Add(a.step)
	return a.events[a.read-1], nil
}

func tokenEvents(n int, confidence float64, finish string) []engine.Event {
	out := make([]engine.Event, n)
	for i := range out {
		out[i] = engine.Event{Seq: int64(i + 1), Text: "x", Confidence: confidence}
	}
	if n > 0 {
		out[n-1].FinishReason = finish
	}
	return out
}

// Guards against delivering an answer of low confidence, escalating a good one, and buffering a streamed answer longer
// than the time to first token permits. Also guards against events lost or repeated between the buffer and the source.
func TestEvaluate(t *testing.T) {
	c := &object.Cascade{Name: "c", MinConfidence: 0.6, MinTokens: 3}
	broken := errors.New("broken")
	for _, tc := range []struct {
		name   string
		events []engine.Event
		err    error
		stream bool
		step   time.Duration
		want   Reason
		read   int // events read before the decision
	}{
		{"whole and confident", tokenEvents(20, 0.9, "stop"), io.EOF, false, 0, Confident, 20},
		{"whole and unsure", tokenEvents(20, 0.5, "stop"), io.EOF, false, 0, LowConfidence, 20},
		{"no confidence reported", tokenEvents(20, 0, "stop"), io.EOF, false, 0, Confident, 20},
		{"short", tokenEvents(2, 0.9, "stop"), io.EOF, true, 0, TooShort, 2},
		{"empty", nil, io.EOF, false, 0, TooShort, 0},
		{"refused", tokenEvents(4, 0.9, "content_filter"), io.EOF, true, 0, Refused, 4},
		{"failed", tokenEvents(4, 0.9, ""), broken, false, 0, CallFailed, 4},
		{"streamed, decided by tokens", tokenEvents(20, 0.9, "stop"), io.EOF, true, 0, Confident, StreamDecisionTokens},
		{"streamed and unsure", tokenEvents(20, 0.5, "stop"), io.EOF, true, 0, LowConfidence, StreamDecisionTokens},
		{"streamed slowly, decided by time", tokenEvents(20, 0.9, "stop"), io.EOF, true, MaxStreamHold, Confident, 2},
	} {
		src := &simulatedAnswer{events: tc.events, err: tc.err, step: tc.step}
		buffered, got := Evaluate(c, src, tc.stream, nil, src.now)
		if got != tc.want || src.read != tc.read {
			t.Errorf("%s: reason %q after %d events; want %q after %d", tc.name, got, src.read, tc.want, tc.read)
		}
		if got != Confident {
			continue
		}
		for i := range tc.events {
			if ev, err := buffered.Next(); err != nil || ev.Seq != int64(i+1) {
				t.Fatalf("%s: event %d replayed as %+v, error %v", tc.name, i+1, ev, err)
			}
		}
		if _, err := buffered.Next(); err != io.EOF {
			t.Errorf("%s: error %v after the last event; want io.EOF", tc.name, err)
		}
	}
}

// noMemory refuses all memory.
type noMemory struct{}

func (noMemory) Extend(int64) bool { return false }
func (noMemory) Return(int64)      {}

// Guards against an answer without streaming that is buffered beyond its memory.
func TestEvaluateWithoutMemory(t *testing.T) {
	src := &simulatedAnswer{events: tokenEvents(1000, 0.9, "stop"), err: io.EOF}
	if _, reason := Evaluate(&object.Cascade{Name: "c", MinConfidence: 0.6}, src, false, intake.NewAllowance(noMemory{}), src.now); reason != Confident || src.read > 30 {
		t.Errorf("reason %q after %d events, want a decision within 30", reason, src.read)
	}
}
