package cascade

import (
	"io"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/intake"
	"github.com/bramleytrail/bramleytrail/object"
)

const (
	// StreamDecisionTokens is the number of tokens of a streamed answer that are read before the decision. At 61 ms per
	// token, they take half of the 0.69 s within which the caller must receive the first token. The other half remains for
	// the time to first token of the cheap model.
	StreamDecisionTokens = 6
	// MaxStreamHold is the maximum time for which a streamed answer is buffered after its first token.
	MaxStreamHold = 345 * time.Millisecond
	// maxBufferedBytes bounds the text of a buffered answer: beyond it, the answer is evaluated before its end.
	maxBufferedBytes = 1 << 20
	// eventBytes is the memory for a buffered event beside its text: its part of a list that grows to up to twice its size.
	eventBytes = 200
)

// Reason is the reason for which an answer is rejected and its request escalates. It is empty if the answer is
// accepted.
type Reason string

// Reasons for an escalation.
const (
	Confident     Reason = "" // no escalation
	LowConfidence Reason = "low confidence"
	TooShort      Reason = "too short"
	Refused       Reason = "refused"
	CallFailed    Reason = "failed"
)

// Source is the event stream of an answer that is being generated. Next returns io.EOF after the last event. An error
// that only wraps io.EOF is a broken stream.
type Source interface {
	Next() (engine.Event, error)
}

// BufferedAnswer replays the events that Evaluate has read from an answer, then continues with the source. It is not
// safe for concurrent use.
type BufferedAnswer struct {
	events    []engine.Event
	remaining Source
	ended     bool
}

// Next implements Source.
func (b *BufferedAnswer) Next() (engine.Event, error) {
	if len(b.events) > 0 {
		ev := b.events[0]
		b.events = b.events[1:]
		return ev, nil
	}
	if b.ended {
		return engine.Event{}, io.EOF
	}
	return b.remaining.Next()
}

// Evaluate reads an answer until it can be accepted or rejected, and returns the reason for an escalation. A streamed
// answer is read until it has StreamDecisionTokens tokens or MaxStreamHold has passed, any other answer to its end;
// both only up to maxBufferedBytes and what the allowance has memory for. If the reason is Confident, the returned answer is delivered without further
// evaluation. An error of src other than io.EOF gives CallFailed.
func Evaluate(c *object.Cascade, src Source, stream bool, a *intake.Allowance, now func() time.Time) (*BufferedAnswer, Reason) {
	answer := &BufferedAnswer{remaining: src}
	var start time.Time
	bufferedBytes := 0
	for {
		ev, err := src.Next()
		if err == io.EOF { // not errors.Is: the error of a broken stream wraps io.EOF
			answer.ended = true
			return answer, escalationReason(c, answer.lastEvent(), true)
		}
		if err != nil {
			return answer, CallFailed
		}
		if start.IsZero() {
			start = now()
		}
		answer.events = append(answer.events, ev)
		bufferedBytes += len(ev.Text)
		decidable := stream && (ev.Seq >= StreamDecisionTokens || now().Sub(start) >= MaxStreamHold)
		if decidable || bufferedBytes > maxBufferedBytes || !a.Use(eventBytes+int64(len(ev.Text))) {
			return answer, escalationReason(c, ev, false)
		}
	}
}

func (b *BufferedAnswer) lastEvent() engine.Event {
	if len(b.events) == 0 {
		return engine.Event{}
	}
	return b.events[len(b.events)-1]
}

// IsRefusal reports whether a finish reason means that the model declined to answer.
func IsRefusal(finishReason string) bool {
	return finishReason == "content_filter" || finishReason == "refusal"
}

// escalationReason evaluates the last event that was read. A confidence of 0 means that the engine reports none, and is
// no reason to escalate.
func escalationReason(c *object.Cascade, last engine.Event, ended bool) Reason {
	switch {
	case IsRefusal(last.FinishReason):
		return Refused
	case last.Confidence > 0 && last.Confidence < c.MinConfidence:
		return LowConfidence
	case ended && last.Seq < max(1, c.MinTokens):
		return TooShort
	}
	return Confident
}
