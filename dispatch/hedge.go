package dispatch

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/bramleytrail/bramleytrail/choose"
	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/pool"
	"github.com/bramleytrail/bramleytrail/result"
)

// HedgeOutcome is the end of a hedge, or the reason why there was none.
type HedgeOutcome string

// Outcomes of hedges.
const (
	HedgeWon      HedgeOutcome = "won"       // the hedge answered first
	HedgeLost     HedgeOutcome = "lost"      // the first call answered first
	HedgeFailed   HedgeOutcome = "failed"    // neither answered
	HedgeNoBudget HedgeOutcome = "no_budget" // not sent: too many requests were hedged
	HedgeNoRoom   HedgeOutcome = "no_room"   // not sent: requests wait, or no other endpoint has room to spare
	HedgeRefused  HedgeOutcome = "refused"   // not sent: the newest configuration no longer allows it
)

// hedgeSpread is the range over which hedges are spread, so that requests that got room at the same time do not ask for
// spare room at the same time. It is short against the delay.
const hedgeSpread = time.Millisecond

// outcome is the first event of a call, or the error that came in its place.
type outcome struct {
	call  *call
	event engine.Event
	err   error
}

// answered reports whether the endpoint gave its answer, which may be empty.
func (o *outcome) answered() bool { return o.err == nil || o.err == io.EOF }

// hedgeAfter returns the time after which the call in progress may be hedged. Only the first call of a request is, since
// a later one follows a failure and takes from the retry budget. Requests that may run only once, or that were present
// at a crash, are not hedged.
func (a *Answer) hedgeAfter() (time.Duration, bool) {
	if a.filter.spec.HedgeShare <= 0 || a.in.Once || a.calls != 1 || a.suspect() {
		return 0, false
	}
	spread := time.Duration(a.in.Fingerprint % uint64(hedgeSpread))
	return a.filter.firstTokens.delay(a.served.Name) + spread, true
}

func (a *Answer) suspect() bool {
	return a.filter.spec.Poison.Crashes(a.in.Fingerprint, a.filter.spec.Now()) > 0
}

// race sends the request and, if its first token is late, a second time to another endpoint. The call that answers first
// becomes the newest one and the other is cancelled. If both fail, the newest call is the one that failed last.
func (a *Answer) race(req engine.Request, delay time.Duration) error {
	results := make(chan outcome, 2)
	primary := a.call
	primary.enter(a.ctx)
	go primary.run(req, results)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var hedge *call
	for {
		select {
		case <-timer.C:
			if hedge = a.launch(req, results); hedge != nil {
				primary.room.Overdue(delay)
			}
		case o := <-results:
			other := primary
			if o.call == primary {
				other = hedge
			}
			if !o.answered() && other != nil && !other.lost {
				o.call.lost = true
				a.discard(o)
				continue
			}
			a.call = o.call
			a.settle(o, primary, hedge, results)
			if o.answered() {
				a.held = &o
				return nil
			}
			return o.err
		}
	}
}

// enter gives the call a context of its own.
func (c *call) enter(ctx context.Context) { c.ctx, c.leave = context.WithCancel(ctx) }

// run sends the request and reads the first event.
func (c *call) run(req engine.Request, results chan<- outcome) {
	o := outcome{call: c}
	if o.err = c.send(req); o.err == nil {
		o.event, o.err = c.next(c.room.timeouts.firstByte)
	}
	results <- o
}

// launch sends the hedge, or returns nil if there is none.
func (a *Answer) launch(req engine.Request, results chan<- outcome) *call {
	r, why := a.reserveHedge()
	if why != "" {
		a.hedged(why)
		return nil
	}
	primary := a.call
	hedge := a.begin(r)
	c := a.call
	a.call = primary // until the hedge answers
	c.enter(a.ctx)
	req.ID = hedge.ID
	go c.run(req, results)
	return c
}

// reserveHedge reserves room for a hedge at an endpoint with room to spare, without waiting.
func (a *Answer) reserveHedge() (room, HedgeOutcome) {
	f := a.filter
	if a.suspect() || a.ctx.Err() != nil {
		return room{}, HedgeRefused
	}
	candidate, ok := a.sameVersion()
	if !ok {
		return room{}, HedgeRefused
	}
	if f.Waiting() > 0 {
		return room{}, HedgeNoRoom
	}
	if !f.hedges.withdraw() {
		return room{}, HedgeNoBudget
	}
	r, _, ok := f.spec.Pool.Pick(pool.Query{
		Service: candidate.Service, Version: candidate.Version.Name, Tokens: a.in.Tokens + a.in.MaxTokens,
		Exclude: []string{a.room.ID}, Spare: true,
	}, f.spec.Now())
	if !ok {
		f.hedges.refund()
		return room{}, HedgeNoRoom
	}
	return room{r, candidate, a.room.timeouts}, ""
}

// sameVersion returns the candidate of the call in progress under the newest configuration, if that still allows it.
func (a *Answer) sameVersion() (choose.Candidate, bool) {
	list, err := a.in.newest(nil)
	if err != nil {
		return choose.Candidate{}, false
	}
	for _, c := range list {
		if c.Version.Name == a.served.Name && c.Service == a.room.candidate.Service {
			return c, true
		}
	}
	return choose.Candidate{}, false
}

// settle records the end of a race and ends the call that has not answered.
func (a *Answer) settle(o outcome, primary, hedge *call, results <-chan outcome) {
	now := a.filter.spec.Now()
	if o.answered() { // a call that was cut counts with its time so far, so that the delay does not shrink by hedging
		a.filter.firstTokens.observe(a.served.Name, now.Sub(primary.opened))
	}
	if hedge == nil {
		return
	}
	loser, end := primary, HedgeWon
	if o.call == primary {
		loser, end = hedge, HedgeLost
	}
	if !o.answered() {
		end = HedgeFailed
	}
	a.hedged(end)
	if !loser.lost {
		a.trace[loser.attempt].Error = errHedged.Error()
		loser.abandon(a.in.RequestID, results)
	}
}

// abandon cancels a call whose result is not wanted and gives its room back when the endpoint has ended it. The caller
// does not wait for that.
func (c *call) abandon(request string, results <-chan outcome) {
	c.leave()
	go func() {
		<-results // the call is no longer used
		c.cancelStream(request)
	}()
}

// discard gives up a call that failed while the other one of its race goes on.
func (a *Answer) discard(o outcome) {
	c, err, request := o.call, o.err, a.in.RequestID
	a.trace[c.attempt].Error = err.Error()
	c.cacheLost(err)
	c.failedAt = a.filter.spec.Now()
	a.exclude = append(a.exclude, c.room.ID)
	notRun := errors.Is(err, engine.ErrUnreachable) || errors.Is(err, engine.ErrBusy) || errors.Is(err, engine.ErrRejected)
	if !notRun {
		a.ran = max(a.ran, result.RunUnknown)
	}
	if notRun || errors.Is(err, errCancelled) || errors.Is(err, engine.ErrFailed) {
		c.closeStream(request, err)
		return
	}
	a.crashRecorded = true // perhaps; then the other call clears the request if it answers
	fingerprint := a.in.Fingerprint
	a.discards.Go(func() {
		if c.probe(err) == crashed && !a.answered.Load() {
			c.recordCrash(fingerprint)
		}
		c.closeStream(request, err)
	})
}

func (a *Answer) hedged(o HedgeOutcome) {
	if a.filter.spec.OnHedge != nil {
		a.filter.spec.OnHedge(o)
	}
}

// errHedged is the error of a call that was cancelled because another one of the same request answered first.
var errHedged = errors.New("cancelled: another endpoint answered first")
