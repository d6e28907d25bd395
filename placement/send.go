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

// resendAfter is the time after which an order without an effect in the reports is sent again. Orders are idempotent.
const resendAfter = 10 * time.Second

const (
	// ticketTTL is the time for which a ticket of the weight store can be used. It is shorter than a tick, so that tickets
	// don't accumulate, for example during an outage of the key-value store, and cause a burst of loads afterwards.
	ticketTTL = 2 * time.Second
	// delayedTicketTTL applies to a ticket that becomes valid later, which can be just after a tick.
	delayedTicketTTL = 4 * time.Second
)

// errStateChanged is the result of an attempt that was not sent, because the order no longer fits the endpoint's state.
var errStateChanged = errors.New("placement: order not sent: the endpoint's state has changed")

// sendWindow returns the time until which orders may be sent, and whether orders may be sent now. The times carry readings
// of the monotonic clock, so that a jump of the wall clock has no effect.
func (x *Executor) sendWindow() (time.Time, bool) {
	fence, expires := x.spec.Lease()
	end := expires.Add(-x.spec.LeaseMargin)
	return end, fence == x.spec.Fence && x.spec.Now().Before(end)
}

// attempt is one attempt to send an operation's order, and its result.
type attempt struct {
	op   *Operation
	sent bool // false if the order was held back; err says why
	err  error
}

// unanswered reports whether the order may still arrive at the endpoint.
func (a *attempt) unanswered() bool {
	return a.sent && a.err != nil && !errors.Is(a.err, engine.ErrUnreachable) && !errors.Is(a.err, engine.ErrBusy) &&
		!errors.Is(a.err, engine.ErrRejected) && !errors.Is(a.err, engine.ErrFailed) && !errors.Is(a.err, engine.ErrStaleFence)
}

// send sends the orders that are due, in parallel unless the service requires one at a time. An endpoint gets at most one.
// The error wraps duty.ErrSuperseded if an endpoint has seen a newer fencing token.
func (x *Executor) send(ctx context.Context) error {
	var wg sync.WaitGroup
	var concurrent []*attempt
	var err error
	unanswered := false
	for _, op := range x.operations {
		serial := x.fleets[op.Service].OneAtATime
		if serial && unanswered || !x.sendable(op) || !x.ensureTicket(ctx, op) {
			continue
		}
		a := &attempt{op: op}
		if serial {
			x.trySend(ctx, a)
			err = errors.Join(err, x.recordResult(a))
			unanswered = a.unanswered()
			continue
		}
		concurrent = append(concurrent, a)
		wg.Go(func() { x.trySend(ctx, a) })
	}
	wg.Wait()
	for _, a := range concurrent {
		err = errors.Join(err, x.recordResult(a))
	}
	return err
}

// ensureTicket reports whether an order may be sent as far as the weight store is concerned. A load needs an unused ticket
// that has not expired; ensureTicket obtains another one if necessary.
func (x *Executor) ensureTicket(ctx context.Context, op *Operation) bool {
	now, limit := x.spec.Now(), ticketTTL
	if op.ticketDelayed {
		limit = delayedTicketTTL
	}
	if op.Action != Load || op.hasTicket && now.Sub(op.notBefore) < limit {
		return true
	}
	return x.acquireTicket(ctx, op) && !now.Before(op.notBefore)
}

// sendable reports whether an operation's order is to be sent in this tick.
func (x *Executor) sendable(op *Operation) bool {
	now := x.spec.Now()
	if _, held := x.sendWindow(); !held || op.Stage != StageSend || !op.recorded || now.Before(op.notBefore) {
		return false
	}
	e := x.endpoints[op.Endpoint]
	if e == nil || !e.fresh(now) || op.Addr != e.target.Addr {
		return false
	}
	if op.Attempts == 0 {
		return true
	}
	waiting := op.Action == Load && op.accepted || slices.Contains(e.load.Loading, op.Version)
	return !waiting && now.Sub(op.sentAt) >= resendAfter
}

// trySend reads the endpoint's report again and sends the order only if it still fits. The call ends before the send window
// closes.
func (x *Executor) trySend(ctx context.Context, a *attempt) {
	op := a.op
	loadCtx, cancel := context.WithTimeout(ctx, callTimeout)
	l, err := x.spec.Engines.Load(loadCtx, op.Addr)
	cancel()
	if err != nil {
		a.err = err
		return
	}
	if !x.stillValid(op, &l) {
		a.err = errStateChanged
		return
	}
	end, held := x.sendWindow()
	if !held {
		a.err = errLeaseTooShort
		return
	}
	if limit := x.spec.Now().Add(callTimeout); limit.Before(end) {
		end = limit
	}
	orderCtx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	a.sent = true
	a.err = x.spec.Engines.Order(orderCtx, op.Addr, op.engineOrder(x.spec.Fence, x.fleets[op.Service].OrderToken))
}

// stillValid reports whether an operation's order fits the state of the endpoint that a load report shows.
func (x *Executor) stillValid(op *Operation, l *engine.Load) bool {
	if l.Boot != op.boot || op.applied(l) {
		return false
	}
	if op.Action != Load {
		return op.drained(l)
	}
	return slices.Contains(l.Loading, op.Version) || len(l.Versions)+len(l.Loading) < x.fleets[op.Service].VersionsPerEndpoint
}

// recordResult applies the result of an attempt to its operation. It returns an error that wraps duty.ErrSuperseded if the
// endpoint has seen a newer fencing token.
func (x *Executor) recordResult(a *attempt) error {
	op := a.op
	if !a.sent {
		return nil // the next load report decides what follows
	}
	if x.spec.OnOrder != nil {
		x.spec.OnOrder(*op, a.err)
	}
	op.sentAt, op.hasTicket = x.spec.Now(), false
	op.Attempts++
	switch {
	case a.err == nil:
		op.accepted = true
	case errors.Is(a.err, engine.ErrStaleFence):
		return fmt.Errorf("send order to endpoint %s: %w: %w", op.Endpoint, duty.ErrSuperseded, a.err)
	case errors.Is(a.err, engine.ErrUnreachable), errors.Is(a.err, engine.ErrBusy): // the order was not carried out; it is sent again
	case errors.Is(a.err, engine.ErrRejected):
		x.handleRefusal(op, "the endpoint rejected the order")
	case errors.Is(a.err, engine.ErrFailed):
		x.handleRefusal(op, "the endpoint failed to carry out the order")
	default:
		op.OutcomeUnknown = true
	}
	return nil
}

// handleRefusal gives up a load. An unload is sent again, because the version must not be served again after an attempt;
// so is a change of the role.
func (x *Executor) handleRefusal(op *Operation, why string) {
	if op.Action == Load {
		x.giveUp(op, why)
		return
	}
	op.Failure = why
}
