package placement

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/duty"
	"github.com/bramleytrail/bramleytrail/engine"
)

// resendAfter is the time after which an order without a visible effect is sent again. Orders are idempotent.
const resendAfter = 10 * time.Second

const (
	// ticketTTL is the age at which a ticket of the weight store is no longer used: after the tick that obtained it. Old
	// tickets, for example of an outage of the key-value service, would be used all at once.
	ticketTTL = 2 * time.Second
	// waitedTTL replaces it for a ticket with a time to wait, which can end just after a tick.
	waitedTTL = 4 * time.Second
)

// errStateChanged says that an endpoint's report no longer fits the order, which was not sent.
var errStateChanged = errors.New("placement: the endpoint's state has changed")

// window returns the time until which orders may be sent, and whether it is in the future. The times carry readings of
// the monotonic clock, so that a step of the wall clock has no effect.
func (x *Executor) window() (time.Time, bool) {
	fence, expires := x.spec.Lease()
	end := expires.Add(-x.spec.Margin)
	return end, fence == x.spec.Fence && x.spec.Now().Before(end)
}

// attempt is the result of sending one order.
type attempt struct {
	step *Step
	sent bool
	err  error
}

// unanswered reports whether the order may still be on its way.
func (a *attempt) unanswered() bool {
	return a.sent && a.err != nil && !errors.Is(a.err, engine.ErrUnreachable) && !errors.Is(a.err, engine.ErrBusy) &&
		!errors.Is(a.err, engine.ErrRejected) && !errors.Is(a.err, engine.ErrFailed) && !errors.Is(a.err, engine.ErrStaleFence)
}

// send sends the orders that are due, each endpoint at most one.
func (x *Executor) send(ctx context.Context) error {
	var wg sync.WaitGroup
	var list []*attempt
	var err error
	unanswered := false
	for _, s := range x.steps {
		serial := x.fleets[s.Service].OneAtATime
		if serial && unanswered || !x.sendable(s) || !x.permitted(ctx, s) {
			continue
		}
		a := &attempt{step: s}
		if serial {
			x.try(ctx, a)
			err = errors.Join(err, x.settle(a))
			unanswered = a.unanswered()
			continue
		}
		list = append(list, a)
		wg.Go(func() { x.try(ctx, a) })
	}
	wg.Wait()
	for _, a := range list {
		err = errors.Join(err, x.settle(a))
	}
	return err
}

// permitted obtains a ticket of the weight store for another attempt to load, or if the first one is too old.
func (x *Executor) permitted(ctx context.Context, s *Step) bool {
	now, limit := x.spec.Now(), ticketTTL
	if s.waits {
		limit = waitedTTL
	}
	if s.Action != Load || s.ticket && now.Sub(s.notBefore) < limit {
		return true
	}
	return x.reserve(ctx, s) && !now.Before(s.notBefore)
}

func (x *Executor) sendable(s *Step) bool {
	now := x.spec.Now()
	if _, held := x.window(); !held || s.Stage != StageSend || !s.recorded || now.Before(s.notBefore) {
		return false
	}
	e := x.seen[s.Endpoint]
	if e == nil || !e.fresh(now) || s.Addr != e.target.Addr {
		return false
	}
	if s.Attempts == 0 {
		return true
	}
	waiting := s.Action == Load && s.accepted || slices.Contains(e.load.Loading, s.Version)
	return !waiting && now.Sub(s.sentAt) >= resendAfter
}

// try reads the endpoint's report again and sends the order only if the report still fits it, and only while the lease
// has time left.
func (x *Executor) try(ctx context.Context, a *attempt) {
	s := a.step
	loadCtx, cancel := context.WithTimeout(ctx, callTimeout)
	l, err := x.spec.Engines.Load(loadCtx, s.Addr)
	cancel()
	if err != nil {
		a.err = err
		return
	}
	if !x.fits(s, &l) {
		a.err = errStateChanged
		return
	}
	end, held := x.window()
	if !held {
		a.err = errNotHeld
		return
	}
	if limit := x.spec.Now().Add(callTimeout); limit.Before(end) {
		end = limit
	}
	orderCtx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	a.sent = true
	a.err = x.spec.Engines.Order(orderCtx, s.Addr, s.order(x.spec.Fence, x.fleets[s.Service].Token))
}

// fits reports whether an order is still right for an endpoint in the state that a report shows.
func (x *Executor) fits(s *Step, l *engine.Load) bool {
	if l.Boot != s.boot || s.done(l) {
		return false
	}
	if s.Action != Load {
		return s.idle(l)
	}
	return slices.Contains(l.Loading, s.Version) || len(l.Versions)+len(l.Loading) < x.fleets[s.Service].VersionsPerEndpoint
}

// settle applies the result of an attempt.
func (x *Executor) settle(a *attempt) error {
	s := a.step
	if !a.sent {
		return nil // the next report decides
	}
	if x.spec.OnOrder != nil {
		x.spec.OnOrder(*s, a.err)
	}
	s.sentAt, s.ticket = x.spec.Now(), false
	s.Attempts++
	switch {
	case a.err == nil:
		s.accepted = true
	case errors.Is(a.err, engine.ErrStaleFence):
		return fmt.Errorf("order to %s: %w: %w", s.Endpoint, duty.ErrSuperseded, a.err)
	case errors.Is(a.err, engine.ErrUnreachable), errors.Is(a.err, engine.ErrBusy): // it did not run
	case errors.Is(a.err, engine.ErrRejected):
		x.refused(s, "the endpoint rejected the order")
	case errors.Is(a.err, engine.ErrFailed):
		x.refused(s, "the endpoint failed to carry out the order")
	default:
		s.Unsure = true
	}
	return nil
}

// refused gives a load up. An unload is tried again, because the version must not be served again after an attempt.
func (x *Executor) refused(s *Step, why string) {
	if s.Action == Load {
		x.giveUp(s, why)
		return
	}
	s.Failure = why
}
