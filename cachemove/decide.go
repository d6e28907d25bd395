package cachemove

import "time"

const (
	// Margin is the fraction by which a prefill must take longer than a move. A move keeps a slot of the new endpoint idle
	// and puts load on three hosts. With this margin the decision was the faster way in each case of docs/cache-moves.md.
	Margin = 0.25
	// minTokens is the least size of a cache to move, in tokens. An engine with continuous batching prefills as many in one
	// step, so a smaller move could gain one step at most.
	minTokens = 256
	// minTrialTokens is the least size of a trial, in tokens. A smaller move mostly measures the time to connect.
	minTrialTokens = 1024
	// trialInterval is the time between two trials, or two controls, of a version, so that they delay at most one request
	// in that time.
	trialInterval = 30 * time.Second
	// maxRateAge is the age from which a rate is measured again, even if the decision would not use it.
	maxRateAge = 10 * time.Minute
	// trialDivisor divides the time limit of moves, and the time left to a deadline, to give the time limit of a trial. At a
	// limit of 2 s a trial gets 250 ms, about a third of the target for the first token, 0.69 s.
	trialDivisor = 8
)

// Limits bounds the moves of a daemon.
type Limits struct {
	MaxMoves          int           // in flight in this daemon
	MaxMovesPerSource int           // in flight from one endpoint
	MaxBytes          int64         // of one cache
	MaxDuration       time.Duration // of one move
}

// Estimate holds the estimated costs of moving one cache and of computing it again.
type Estimate struct {
	TokenPrefill float64 // seconds for each token of a prompt, 0 if not known
	PrefillKnown bool
	Bytes        int64 // of the cache, 0 if not known
	Move         time.Duration
	MoveKnown    bool
}

// Input holds everything that a decision depends on.
type Input struct {
	CachedTokens int64 // tokens in the cache that are part of the prompt
	PromptTokens int64 // tokens of the whole prompt
	Estimate
	Limits
	InFlight, InFlightFromSource int           // moves
	TimeLeft                     time.Duration // until the request's deadline, 0 if there is none
	// TrialDue is set if the time of a move is unknown or was measured more than maxRateAge ago, and no trial was made for
	// trialInterval. A trial is a move that is made to measure that time. ControlDue is set if the same holds for the time
	// of a prefill. A control is a request whose cache is not moved, to measure its prefill.
	TrialDue, ControlDue bool
}

// Decision says whether a cache is moved, and under which time limit.
type Decision struct {
	Outcome      Outcome       // Moved if the cache is to be moved, otherwise why not
	TimeLimit    time.Duration // of the move
	Trial        bool
	SavedPrefill time.Duration // estimated time of the prefill that a move saves, 0 if not known
}

// Decide decides whether a cache is moved. It is if the prefill that the move saves takes longer than the move by at least
// Margin, or if a trial is due. Trials aside, a move gets no more time than that prefill takes. So even if it fails at the
// last moment, the first token takes at most twice as long.
func Decide(in Input) Decision {
	d := Decision{SavedPrefill: seconds(in.TokenPrefill * float64(in.CachedTokens))}
	d.Outcome = in.checkLimits()
	if d.Outcome == Moved {
		d.compareEstimates(&in)
	}
	if d.Outcome == Moved {
		d.fitDeadline(&in)
	}
	return d
}

// checkLimits returns the limit that forbids the move, or Moved if none does.
func (in *Input) checkLimits() Outcome {
	switch {
	case in.CachedTokens < minTokens:
		return TooShort
	case in.InFlight >= in.MaxMoves:
		return TooManyMoves
	case in.InFlightFromSource >= in.MaxMovesPerSource:
		return SourceBusy
	case in.Estimate.Bytes > in.Limits.MaxBytes:
		return TooLarge
	default:
		return Moved
	}
}

// compareEstimates compares the times of the move and of the prefill and sets the outcome and the time limit. If the move
// does not pay, or nothing is known yet, it allows a trial that is due.
func (d *Decision) compareEstimates(in *Input) {
	faster := in.MoveKnown && in.PrefillKnown && float64(in.Move)*(1+Margin) <= float64(d.SavedPrefill)
	switch {
	case faster && in.ControlDue:
		d.Outcome = Control
	case faster && float64(in.Move)*(1+Margin) > float64(in.MaxDuration):
		d.Outcome = TooLong
	case faster:
		d.TimeLimit = min(in.MaxDuration, d.SavedPrefill)
	case in.TrialDue && in.CachedTokens >= minTrialTokens:
		d.Trial = true
		d.TimeLimit = in.MaxDuration / trialDivisor
	case !in.MoveKnown || !in.PrefillKnown:
		d.Outcome = Unmeasured
	default:
		d.Outcome = PrefillFaster
	}
}

// fitDeadline shortens the time limit, so that the whole prompt can still be processed before the deadline if the move
// fails. If too little time is left for the move, there is none.
func (d *Decision) fitDeadline(in *Input) {
	if in.TimeLeft == 0 {
		return
	}
	available := in.TimeLeft - seconds(in.TokenPrefill*float64(in.PromptTokens))
	if d.Trial {
		available = min(available, in.TimeLeft/trialDivisor)
	}
	d.TimeLimit = min(d.TimeLimit, available)
	if d.TimeLimit <= 0 || !d.Trial && d.TimeLimit < in.Move {
		d.Outcome = NoTime
	}
}
