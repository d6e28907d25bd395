package cascade

import (
	"io"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/object"
)

const (
	// StreamTokens is the number of tokens of a streamed answer on which the decision is made. At 61 ms a token, they
	// take half of the 0.69 s within which the caller must see the first token, and leave the other half for the cheap
	// model's first token.
	StreamTokens = 6
	// StreamHold bounds the time for which a streamed answer is held back after its first token.
	StreamHold = 345 * time.Millisecond
	// maxHeldBytes bounds a whole answer that is held back.
	maxHeldBytes = 1 << 20
)

// Reason says why an answer is doubtful; empty if it is not.
type Reason string

// Reasons to climb.
const (
	Confident  Reason = ""
	Unsure     Reason = "low confidence"
	Short      Reason = "too short"
	Refused    Reason = "refused"
	CallFailed Reason = "failed"
)

// Source is an answer being generated. Next returns io.EOF after the last event.
type Source interface {
	Next() (engine.Event, error)
}

// Held is an answer of which the start was read and is delivered again by Next.
type Held struct {
	events []engine.Event
	rest   Source
	ended  bool
}

// Next implements Source.
func (h *Held) Next() (engine.Event, error) {
	if len(h.events) > 0 {
		ev := h.events[0]
		h.events = h.events[1:]
		return ev, nil
	}
	if h.ended {
		return engine.Event{}, io.EOF
	}
	return h.rest.Next()
}

// Read holds an answer back until it can be judged: a streamed one for its first StreamTokens tokens or StreamHold, any
// other one until its end. Once it returns Confident, the answer is delivered as it is.
func Read(c *object.Cascade, src Source, stream bool, now func() time.Time) (*Held, Reason) {
	h := &Held{rest: src}
	var start time.Time
	size := 0
	for {
		ev, err := src.Next()
		if err == io.EOF { // a broken stream wraps io.EOF
			h.ended = true
			return h, judge(c, h.last(), true)
		}
		if err != nil {
			return h, CallFailed
		}
		if start.IsZero() {
			start = now()
		}
		h.events = append(h.events, ev)
		size += len(ev.Text)
		enough := stream && (ev.Seq >= StreamTokens || now().Sub(start) >= StreamHold)
		if enough || size > maxHeldBytes {
			return h, judge(c, ev, false)
		}
	}
}

func (h *Held) last() engine.Event {
	if len(h.events) == 0 {
		return engine.Event{}
	}
	return h.events[len(h.events)-1]
}

// Refusal reports whether a finish reason says that the model declined to answer.
func Refusal(finish string) bool { return finish == "content_filter" || finish == "refusal" }

// judge decides on the last event that was read. An engine that reports no confidence is not doubted for it.
func judge(c *object.Cascade, last engine.Event, ended bool) Reason {
	switch {
	case Refusal(last.FinishReason):
		return Refused
	case last.Confidence > 0 && last.Confidence < c.MinConfidence:
		return Unsure
	case ended && last.Seq < max(1, c.MinTokens):
		return Short
	}
	return Confident
}
