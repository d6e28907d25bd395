package cascade

import (
	"errors"
	"io"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/object"
)

// answer gives events one token interval apart.
type answer struct {
	events []engine.Event
	read   int
	err    error
	clock  time.Time
	step   time.Duration
}

func (a *answer) now() time.Time { return a.clock }

func (a *answer) Next() (engine.Event, error) {
	if a.read == len(a.events) {
		return engine.Event{}, a.err
	}
	a.read++
	a.clock = a.clock.Add(a.step)
	return a.events[a.read-1], nil
}

func tokens(n int, confidence float64, finish string) []engine.Event {
	out := make([]engine.Event, n)
	for i := range out {
		out[i] = engine.Event{Seq: int64(i + 1), Text: "x", Confidence: confidence}
	}
	if n > 0 {
		out[n-1].FinishReason = finish
	}
	return out
}

// Guards against a doubtful answer that is delivered, a good one that climbs, a streamed answer that is held back longer
// than the first token may take, and events lost or repeated between the held part and the rest.
func TestRead(t *testing.T) {
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
		{"whole and confident", tokens(20, 0.9, "stop"), io.EOF, false, 0, Confident, 20},
		{"whole and unsure", tokens(20, 0.5, "stop"), io.EOF, false, 0, Unsure, 20},
		{"no confidence reported", tokens(20, 0, "stop"), io.EOF, false, 0, Confident, 20},
		{"short", tokens(2, 0.9, "stop"), io.EOF, true, 0, Short, 2},
		{"empty", nil, io.EOF, false, 0, Short, 0},
		{"refused", tokens(4, 0.9, "content_filter"), io.EOF, true, 0, Refused, 4},
		{"failed", tokens(4, 0.9, ""), broken, false, 0, CallFailed, 4},
		{"streamed, decided by tokens", tokens(20, 0.9, "stop"), io.EOF, true, 0, Confident, StreamTokens},
		{"streamed and unsure", tokens(20, 0.5, "stop"), io.EOF, true, 0, Unsure, StreamTokens},
		{"streamed slowly, decided by time", tokens(20, 0.9, "stop"), io.EOF, true, StreamHold, Confident, 2},
	} {
		src := &answer{events: tc.events, err: tc.err, step: tc.step}
		held, got := Read(c, src, tc.stream, src.now)
		if got != tc.want || src.read != tc.read {
			t.Errorf("%s: %q after %d events; want %q after %d", tc.name, got, src.read, tc.want, tc.read)
		}
		if got != Confident {
			continue
		}
		for i := range tc.events {
			if ev, err := held.Next(); err != nil || ev.Seq != int64(i+1) {
				t.Fatalf("%s: event %d delivered as %+v, %v", tc.name, i+1, ev, err)
			}
		}
		if _, err := held.Next(); err != io.EOF {
			t.Errorf("%s: %v at the end", tc.name, err)
		}
	}
}
