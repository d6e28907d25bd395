package cachemove

import "time"

const (
	// Margin is the part by which a prefill must take longer than a move. A move keeps a slot of the new endpoint idle and
	// loads three hosts. With it the decision was the faster way in each case of docs/cache-moves.md.
	Margin = 0.25
	// leastTokens is what an engine with continuous batching prefills in one step; a move can't gain more than that step.
	leastTokens = 256
	// trialTokens is the least size of a trial. The time for less is mostly that of making the connections.
	trialTokens = 1024
	// trialEvery is the time between two trials, or two controls, of a version, so that one request in it is delayed.
	trialEvery = 30 * time.Second
	// ratesAge is the age from which a rate is measured again although the decision does not ask for it.
	ratesAge = 10 * time.Minute
	// trialPart is the part of a move's time limit, and of the time left to a deadline, that a trial may take, as 1/trialPart.
	// At a limit of 2 s that is 250 ms, about a third of the target for the first token, 0.69 s.
	trialPart = 8
)

// Limits bound the moves.
type Limits struct {
	Moves     int           // in flight in this daemon
	PerSource int           // in flight from one endpoint
	Bytes     int64         // of one cache
	Time      time.Duration // of one move
}

// Estimate is what is known of the costs for one cache.
type Estimate struct {
	TokenPrefill float64 // seconds for each token of a prompt
	PrefillKnown bool
	Bytes        int64 // of the cache, 0 if not known
	Move         time.Duration
	MoveKnown    bool
}

// Question is what a decision depends on.
type Question struct {
	Cached int64 // tokens in the cache that are part of the prompt
	Prompt int64 // tokens of the whole prompt
	Estimate
	Limits
	InFlight, FromSource int           // moves
	Left                 time.Duration // to the request's deadline, 0 if there is none
	// TrialDue and ControlDue say that the time of a move, or of a prefill, is not known or was measured a long time ago,
	// and that no trial or control was made for a while.
	TrialDue, ControlDue bool
}

// Verdict is a decision.
type Verdict struct {
	Outcome Outcome       // Moved if the cache is to be moved
	Limit   time.Duration // of the move
	Trial   bool
	Prefill time.Duration // that a move saves, 0 if not known
}

// Decide says whether a cache is moved. It moves if the move is shorter than the prefill that it saves by the margin. A
// move gets no more time than that prefill: even if it fails at its end, the first token takes at most twice as long.
func Decide(q Question) Verdict {
	v := Verdict{Prefill: seconds(q.TokenPrefill * float64(q.Cached))}
	v.Outcome = q.refuse()
	if v.Outcome == Moved {
		v.compare(&q)
	}
	if v.Outcome == Moved {
		v.fit(&q)
	}
	return v
}

// refuse returns the limit that forbids the move, or Moved.
func (q *Question) refuse() Outcome {
	switch {
	case q.Cached < leastTokens:
		return TooShort
	case q.InFlight >= q.Moves:
		return TooManyMoves
	case q.FromSource >= q.PerSource:
		return SourceBusy
	case q.Estimate.Bytes > q.Limits.Bytes:
		return TooLarge
	default:
		return Moved
	}
}

// compare decides by the estimates, or for a trial.
func (v *Verdict) compare(q *Question) {
	pays := q.MoveKnown && q.PrefillKnown && float64(q.Move)*(1+Margin) <= float64(v.Prefill)
	switch {
	case pays && q.ControlDue:
		v.Outcome = Control
	case pays && float64(q.Move)*(1+Margin) > float64(q.Time):
		v.Outcome = TooLong
	case pays:
		v.Limit = min(q.Time, v.Prefill)
	case q.TrialDue && q.Cached >= trialTokens:
		v.Trial = true
		v.Limit = q.Time / trialPart
	case !q.MoveKnown || !q.PrefillKnown:
		v.Outcome = Unmeasured
	default:
		v.Outcome = PrefillFaster
	}
}

// fit shortens the time limit, so that the whole prompt can be processed before the deadline if the move fails.
func (v *Verdict) fit(q *Question) {
	if q.Left == 0 {
		return
	}
	room := q.Left - seconds(q.TokenPrefill*float64(q.Prompt))
	if v.Trial {
		room = min(room, q.Left/trialPart)
	}
	v.Limit = min(v.Limit, room)
	if v.Limit <= 0 || !v.Trial && v.Limit < q.Move {
		v.Outcome = NoTime
	}
}
