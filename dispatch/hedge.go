package dispatch

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/bramleytrail/bramleytrail/choose"
	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/poison"
	"github.com/bramleytrail/bramleytrail/pool"
	"github.com/bramleytrail/bramleytrail/result"
)

// HedgeOutcome is how a hedge ended, or why none was sent. Its values are labels of a metric.
type HedgeOutcome string

// Outcomes of hedges.
const (
	HedgeWon        HedgeOutcome = "won"       // the hedge answered first
	HedgeLost       HedgeOutcome = "lost"      // the first call answered first
	HedgeFailed     HedgeOutcome = "failed"    // neither call answered
	HedgeNoBudget   HedgeOutcome = "no_budget" // not sent: too many requests were hedged
	HedgeNoCapacity HedgeOutcome = "no_room"   // not sent: requests are queued, or no other endpoint has spare capacity
	HedgeRefused    HedgeOutcome = "refused"   // not sent: the request ended, was present at a crash or is no longer allowed
)

// hedgeJitter is the upper bound of the jitter on the hedge delay. It prevents requests that were sent at the same time
// from competing for spare capacity at the same time, and is short compared with the delay.
const hedgeJitter = time.Millisecond

// raceResult is the first event of a call in a race, or the call's error.
type raceResult struct {
	call  *call
	event engine.Event
	err   error
}

// answered reports whether the endpoint answered, be it with an empty answer.
func (o *raceResult) answered() bool { return o.err == nil || o.err == io.EOF }

// hedgeAfter returns the time after which the newest call may be hedged, or false if it must not be. Only the first
// call of a request is hedged, since later ones follow a failure and are charged to the retry budget. Requests that may
// run at most once or were present at a crash are not hedged.
func (a *Answer) hedgeAfter() (time.Duration, bool) {
	if a.filter.spec.HedgeShare <= 0 || a.in.AtMostOnce || a.callCount != 1 || a.isSuspect() {
		return 0, false
	}
	jitter := time.Duration(a.in.Fingerprint % uint64(hedgeJitter))
	return a.filter.firstTokenTimes.hedgeDelay(a.served.Name) + jitter, true
}

// isSuspect reports whether the request was present at a crash that still counts, or a request with a part of its prompt at crashes that
// refuse it.
func (a *Answer) isSuspect() bool {
	now := a.filter.spec.Now()
	verdict, _, _ := a.filter.spec.Poison.Parts.Admit(a.in.Parts, now)
	return verdict != poison.PartsAllowed || a.filter.spec.Poison.Crashes(a.in.Fingerprint, now) > 0
}

// race sends the request and, if there is no first token after the delay, hedges it at another endpoint. The call that
// answers first becomes the newest one and the other is cancelled. If both fail, the one that failed last becomes the
// newest, and its error is returned.
func (a *Answer) race(req engine.Request, delay time.Duration) error {
	results := make(chan raceResult, 2)
	primary := a.call
	primary.useOwnContext(a.ctx)
	go primary.readFirst(req, results)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var hedge *call
	for {
		select {
		case <-timer.C:
			if hedge = a.launchHedge(req, results); hedge != nil {
				primary.reservation.RecordOverdue(delay)
			}
		case o := <-results:
			other := primary
			if o.call == primary {
				other = hedge
			}
			if !o.answered() && other != nil && !other.failedInRace {
				o.call.failedInRace = true
				a.discard(o)
				continue
			}
			a.call = o.call
			a.finishRace(o, primary, hedge, results)
			if o.answered() {
				a.winner = &o
				return nil
			}
			return o.err
		}
	}
}

// useOwnContext derives a context for this call alone from the request's context.
func (c *call) useOwnContext(ctx context.Context) { c.ctx, c.cancelCtx = context.WithCancel(ctx) }

// readFirst sends the request, reads the first event and sends the result to results.
func (c *call) readFirst(req engine.Request, results chan<- raceResult) {
	o := raceResult{call: c}
	if o.err = c.send(req); o.err == nil {
		o.event, o.err = c.next(c.reservation.timeouts.firstByte)
	}
	results <- o
}

// launchHedge sends the hedge and returns its call, or reports why none is sent and returns nil.
func (a *Answer) launchHedge(req engine.Request, results chan<- raceResult) *call {
	r, reason := a.reserveHedge()
	if reason != "" {
		a.reportHedge(reason)
		return nil
	}
	primary := a.call
	hedge := a.beginCall(r)
	c := a.call
	a.call = primary // until the hedge answers
	c.useOwnContext(a.ctx)
	req.ID = hedge.ID
	go c.readFirst(req, results)
	return c
}

// reserveHedge reserves capacity for a hedge at another endpoint with spare capacity, without waiting. It returns an
// empty outcome if it succeeded and the reason otherwise.
func (a *Answer) reserveHedge() (reservation, HedgeOutcome) {
	f := a.filter
	if a.isSuspect() || a.ctx.Err() != nil {
		return reservation{}, HedgeRefused
	}
	candidate, ok := a.currentCandidate()
	if !ok {
		return reservation{}, HedgeRefused
	}
	if f.Waiting() > 0 {
		return reservation{}, HedgeNoCapacity
	}
	if !f.hedgeBudget.withdraw() {
		return reservation{}, HedgeNoBudget
	}
	r, _, ok := f.spec.Pool.Pick(pool.Query{
		Service: candidate.Service, Version: candidate.Version.Name, Tokens: a.in.Tokens + a.in.MaxTokens,
		Exclude: []string{a.reservation.ID}, KeepHeadroom: true,
	}, f.spec.Now())
	if !ok {
		f.hedgeBudget.refund()
		return reservation{}, HedgeNoCapacity
	}
	return reservation{r, candidate, a.reservation.timeouts}, ""
}

// currentCandidate returns the candidate of the newest call under the newest configuration, or false if that no longer
// allows the candidate.
func (a *Answer) currentCandidate() (choose.Candidate, bool) {
	candidates, err := a.in.refreshCandidates(nil)
	if err != nil {
		return choose.Candidate{}, false
	}
	for _, c := range candidates {
		if c.Version.Name == a.served.Name && c.Service == a.reservation.candidate.Service {
			return c, true
		}
	}
	return choose.Candidate{}, false
}

// finishRace records the outcome of a race that ended with o and abandons the call that is still in progress.
func (a *Answer) finishRace(o raceResult, primary, hedge *call, results <-chan raceResult) {
	now := a.filter.spec.Now()
	if o.answered() { // a cancelled primary call counts with its time so far, or hedging would shorten the hedge delay
		a.filter.firstTokenTimes.observe(a.served.Name, now.Sub(primary.startedAt))
	}
	if hedge == nil {
		return
	}
	loser, outcome := primary, HedgeWon
	if o.call == primary {
		loser, outcome = hedge, HedgeLost
	}
	if !o.answered() {
		outcome = HedgeFailed
	}
	a.reportHedge(outcome)
	if !loser.failedInRace {
		a.attempts[loser.attempt].Error = errHedged.Error()
		loser.abandon(a.in.RequestID, results)
	}
}

// abandon cancels a call whose result is no longer needed. It returns at once; the reservation is released after the
// endpoint has ended the call.
func (c *call) abandon(request string, results <-chan raceResult) {
	c.cancelCtx()
	go func() {
		<-results // readFirst no longer uses the call
		c.cancelStream(request)
	}()
}

// discard ends a call that failed while the other one of its race is still in progress. If the endpoint may have
// crashed, it is probed in the background; a.crashProbes tracks that.
func (a *Answer) discard(o raceResult) {
	c, err, request := o.call, o.err, a.in.RequestID
	a.attempts[c.attempt].Error = err.Error()
	c.reportCacheSourceFailure(err)
	c.failedAt = a.filter.spec.Now()
	a.exclude = append(a.exclude, c.reservation.ID)
	notRun := errors.Is(err, engine.ErrUnreachable) || errors.Is(err, engine.ErrBusy) || errors.Is(err, engine.ErrRejected)
	if !notRun {
		a.ran = max(a.ran, result.RunUnknown)
	}
	if notRun || errors.Is(err, errCancelled) || errors.Is(err, engine.ErrFailed) {
		c.closeStream(request, err)
		return
	}
	a.crashRecorded = true // the probe may record a crash, which the other call then clears if it answers
	in := a.in
	a.crashProbes.Go(func() {
		if c.probe(err) == resumeCrashed && !a.receivedEvent.Load() {
			c.recordCrash(&in)
		}
		c.closeStream(request, err)
	})
}

func (a *Answer) reportHedge(o HedgeOutcome) {
	if a.filter.spec.OnHedge != nil {
		a.filter.spec.OnHedge(o)
	}
}

// errHedged is recorded for a call that was cancelled because the other call of its race answered first.
var errHedged = errors.New("cancelled: another endpoint answered first")
