package dispatch

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/pool"
	"github.com/bramleytrail/bramleytrail/result"
)

const (
	// minRemainingTime is the minimum time until the deadline with which a request is sent to an endpoint: in less, no
	// answer arrives over the network.
	minRemainingTime = 20 * time.Millisecond
	// busyRetryAfter is the delay after which a caller is told to retry if the attempts or the retry budget run out.
	busyRetryAfter = 100 * time.Millisecond
)

// RoutedInput is a request of a route.
type RoutedInput struct {
	View    *config.View
	Route   *object.Route
	Service string // chosen among the route's backends
	Team    string // team whose share in the queue the request uses; empty for a public route without a key
	Rank    int    // urgency in the queue, 0 to 9; 0 is the most urgent
	Request engine.RoutedRequest
	Query   pool.RoutedQuery
	Prompt  int64 // tokens
	// Fingerprint identifies the content of the request to the crash table.
	Fingerprint uint64
	// Assign returns the software version that the next attempt must use, and the one that it must not use; empty
	// strings for no restriction. retry is set if an earlier attempt failed.
	Assign func(view *config.View, retry bool) (required, excluded string)
	// Refresh returns the newest configuration, or an error if it no longer allows the request. Nil keeps View.
	Refresh func() (*config.View, error)
	// Arrived is when the request arrived, and Duration returns the expected time from the beginning of a model's answer to its end,
	// 0 if it is not known. They are used for services whose endpoints report their speed. Duration may be nil.
	Arrived  time.Time
	Duration func(model string) time.Duration
	// OnSend is called when an attempt begins, and OnAttempt at its end; they may be nil.
	OnSend, OnAttempt func(RoutedAttempt)
	// OnBroken is called when the connection of an attempt broke, after the check of its endpoint; it may be nil.
	OnBroken func(BrokenAttempt)
}

// RoutedAttempt describes an attempt to get an answer from an endpoint.
type RoutedAttempt struct {
	Request     string // ID
	Route       string
	Service     string
	Endpoint    string // ID
	Domain      string // failure domain of the endpoint
	Addr        string
	Release     string        // software version that the endpoint runs
	Model       string        // name under which the request is counted, see pool.CountedModel
	Status      int           // HTTP status of the answer, 0 if there was none
	Wait        time.Duration // for capacity, before the attempt
	Expected    time.Duration // expected latency
	Latency     time.Duration // until the header of the answer, or the failure
	Prompt      int64         // tokens
	Uncached    int64         // prompt tokens that the endpoint was expected to process
	Target      time.Duration // of the route, for the beginning of the answer
	Retry       bool          // the request was sent to an endpoint before
	Choice      string        // why the endpoint was preferred
	LastEventID int64         // ID of the last event that the caller had before the attempt, 0 for none
	Fingerprint uint64        // of the request's content
	// Confidence is the model's confidence in the answer; nil if it states none.
	Confidence *float64
	Err        error
	// Abandoned says that the attempt failed because its caller left or its time was over.
	Abandoned bool
}

// IsFailure reports whether the attempt got an answer that reports a failure of the endpoint itself.
func (a *RoutedAttempt) IsFailure() bool { return isFailure(a.Status) }

// Exchange is a routed request with the limits and the state of its attempts. It must be used by one goroutine.
type Exchange struct {
	filter *Filter
	ctx    context.Context
	in     RoutedInput
	budget *windowBudget

	wait     time.Duration // for capacity, before the current attempt
	attempts int           // attempts at endpoints that ran, may have run or refused the request
	exclude  []string      // IDs of the endpoints that failed
	busy     bool          // the last attempt's endpoint was full
	ran      result.Ran
	parts    []uint64  // of the prompt, that other requests may share
	sentAt   time.Time // of the current attempt
	counted  string    // name under which the model is counted
	// prepaid is set if the budget was already charged for the next attempt.
	prepaid atomic.Bool

	admission exchangeAdmission
}

// NewExchange prepares a routed request and counts it for the retry budget of its service. It sends nothing.
func (f *Filter) NewExchange(ctx context.Context, in RoutedInput) *Exchange {
	return &Exchange{filter: f, ctx: ctx, in: in, budget: f.serviceBudget(in.Service), parts: sharedParts(in.Query.Parts)}
}

// serviceBudget counts a request for the retry budget of a routed service and returns the budget.
func (f *Filter) serviceBudget(service string) *windowBudget {
	reserve := f.spec.RetryReserve()
	b, ok := f.routedBudgets.Load(service)
	if !ok {
		b, _ = f.routedBudgets.LoadOrStore(service, newWindowBudget(f.spec.RetryRatio, reserve, f.spec.RetryWindow, func(now time.Time) pool.Attempts {
			return f.spec.Pool.Attempts(service, now)
		}))
	}
	budget := b.(*windowBudget)
	budget.deposit(reserve, f.spec.Now())
	return budget
}

// Do sends the request to endpoints until one answers, for the given model and after the event with the given ID, 0
// for the whole answer. The answer may have an error status. Errors are those of Refresh or *result.Error values,
// which say whether an endpoint may have run the request.
func (x *Exchange) Do(model string, lastEventID int64) (*RoutedAnswer, error) {
	x.in.Request.Model, x.in.Request.LastEvent = model, lastEventID
	x.in.Query.Model, x.counted = model, x.filter.spec.Pool.CountedModel(x.in.Service, model)
	for {
		if err := x.checkAttempt(); err != nil {
			return nil, err
		}
		start := x.filter.spec.Now()
		r, err := x.reserve()
		if err != nil {
			return nil, withRan(err, x.ran)
		}
		x.wait = x.filter.spec.Now().Sub(start)
		if err := x.filter.admitParts(x.ctx, x.parts, x.ran); err != nil {
			r.Release(pool.Cancelled, x.filter.spec.Now())
			return nil, err
		}
		answer, err := x.attempt(r)
		if err == nil {
			return answer, nil
		}
		if err := x.handleFailure(r, err); err != nil {
			return nil, err
		}
	}
}

// countRefusal reports that the request is refused because the endpoints of its service are full.
func (x *Exchange) countRefusal() {
	if x.filter.spec.OnRefused != nil {
		x.filter.spec.OnRefused(x.in.Service)
	}
}

// checkAttempt returns an error if crashes, admission, the route's attempts or the retry budget forbid another attempt. It
// charges the budget for attempts after the first one.
func (x *Exchange) checkAttempt() error {
	if err := x.checkCrashes(); err != nil {
		return err
	}
	if err := x.checkAdmission(x.ran != result.NotRun); err != nil {
		return err
	}
	if x.attempts == 0 {
		return nil
	}
	if x.attempts >= x.in.Route.Attempts || !x.prepaid.Swap(false) && !x.budget.withdraw(0, x.filter.spec.Now()) {
		if x.busy {
			x.countRefusal()
		}
		return &result.Error{Code: x.failureCode(), Ran: x.ran, RetryAfter: busyRetryAfter, Detail: "The attempts or the retry budget are used up."}
	}
	return nil
}

func (x *Exchange) failureCode() result.Code {
	if x.ran == result.NotRun {
		return result.NoEndpoint
	}
	return result.EndpointFailed
}

// reserve waits for capacity at an endpoint. Endpoints that failed are used again only if there are no others.
func (x *Exchange) reserve() (pool.Reservation, error) {
	if x.in.Refresh != nil {
		view, err := x.in.Refresh()
		if err != nil {
			return pool.Reservation{}, err
		}
		x.in.View = view
	}
	x.in.Query.Retry = x.attempts > 0
	x.in.Query.Release, x.in.Query.NotRelease = x.in.Assign(x.in.View, len(x.exclude) > 0)
	query := pool.Query{Service: x.in.Service, Prompt: x.in.Prompt, Exclude: x.exclude, Routed: &x.in.Query}
	w := reserveRequest{
		view: x.in.View, team: x.in.Team, priority: maxRank - min(maxRank, x.in.Rank), maxWait: x.maxQueueWait(),
		queries: []pool.Query{query}, fingerprint: x.in.Fingerprint,
	}
	w.refresh = func(w *reserveRequest) error {
		if x.in.Refresh == nil {
			return nil
		}
		view, err := x.in.Refresh()
		if err == nil {
			w.view, x.in.View = view, view
		}
		return err
	}
	err := x.filter.waitForCapacity(x.ctx, &w)
	if w.full {
		x.countRefusal()
	}
	return w.granted, err
}

// maxRank is the least urgent rank of a request.
const maxRank = 9

// maxQueueWait returns the longest wait for capacity: the limit of the queue, but no more than twice the route's
// target. A wait beyond the target is allowed because a late answer may still be of use.
func (x *Exchange) maxQueueWait() time.Duration {
	wait := x.filter.spec.QueueWait
	if t := x.in.Route.TargetLatency; t > 0 {
		wait = min(wait, 2*t)
	}
	if limit := x.admission.maxWait; limit > 0 {
		wait = min(wait, limit)
	}
	return wait
}

// attempt sends the request to a reserved endpoint and waits for the header of the answer. If it fails, handleFailure
// releases the reservation, except that of an error of type *result.Error, which is released here.
func (x *Exchange) attempt(r pool.Reservation) (*RoutedAnswer, error) {
	now := x.filter.spec.Now()
	req := x.in.Request
	req.Endpoint = r.ID
	if deadline, ok := x.ctx.Deadline(); ok {
		if req.Timeout = deadline.Sub(now); req.Timeout < minRemainingTime {
			r.Release(pool.Cancelled, now)
			return nil, &result.Error{Code: result.DeadlineExceeded, Ran: x.ran}
		}
	}
	req.AtMostOnce = !x.in.Route.MayRepeat()
	ctx, cancel := context.WithCancelCause(x.ctx)
	if x.in.OnSend != nil {
		x.in.OnSend(x.describeAttempt(&r))
	}
	x.countServed(now)
	x.sentAt = now
	stallTimer := x.startAnswerTimer(&r, cancel)
	resp, err := x.filter.spec.Router.Route(ctx, r.Addr, &req)
	if stallTimer.Stop() && err == nil {
		_ = resp.Body.Close() // the answer is discarded
		err = engine.ErrStalled
	}
	latency := x.filter.spec.Now().Sub(now)
	if err != nil && x.ctx.Err() == nil && errors.Is(context.Cause(ctx), engine.ErrStalled) {
		err = engine.ErrStalled
	}
	x.reportAttempt(r, resp, latency, err)
	if resp != nil {
		x.recordAnswer(&r, resp, latency, err)
	}
	if err != nil {
		cancel(err)
		return nil, err
	}
	if resp.Unframed && x.filter.spec.IsDown != nil {
		resp.Body = &unframedBody{ReadCloser: resp.Body, isDown: func() bool { return x.filter.isDown(x.ctx, r.Addr) }}
	}
	return &RoutedAnswer{RoutedResponse: resp, Endpoint: r.ID, Release: r.SoftwareRelease(), Model: x.counted, exchange: x, reservation: r, cancel: cancel}, nil
}

// recordAnswer records the header of an answer in the pool. The latency of an error answer is left out, since it says
// nothing about the endpoint's speed.
func (x *Exchange) recordAnswer(r *pool.Reservation, resp *engine.RoutedResponse, latency time.Duration, err error) {
	measured := err == nil && resp.Status < 400
	now := x.filter.spec.Now()
	r.RecordRoutedHeader(latency, measured, resp.Load, resp.ColdFor, now)
	r.RecordStatement(resp.Leaving, resp.BusyFor, now)
}

// describeAttempt describes an attempt that has not ended.
func (x *Exchange) describeAttempt(r *pool.Reservation) RoutedAttempt {
	return RoutedAttempt{
		Request: x.in.Request.ID, Route: x.in.Route.Name, Service: x.in.Service, Endpoint: r.ID, Domain: r.Domain, Addr: r.Addr, Release: r.SoftwareRelease(),
		Model: x.counted, Wait: x.wait, Expected: r.ExpectedDelay, Prompt: x.in.Prompt, Uncached: r.ExpectedUncached, Choice: r.Preference.String(), LastEventID: x.in.Request.LastEvent,
		Fingerprint: x.in.Fingerprint, Target: x.in.Route.TargetLatency, Retry: x.attempts > 0 || len(x.exclude) > 0,
	}
}

// reportAttempt passes the end of an attempt to OnAttempt. resp is nil if there was no answer.
func (x *Exchange) reportAttempt(r pool.Reservation, resp *engine.RoutedResponse, latency time.Duration, err error) {
	if x.in.OnAttempt == nil {
		return
	}
	t := x.describeAttempt(&r)
	t.Latency, t.Err, t.Abandoned = latency, err, err != nil && x.ctx.Err() != nil
	if resp != nil {
		t.Status = resp.Status
		if resp.HasConfidence {
			t.Confidence = &resp.Confidence
		}
	}
	x.in.OnAttempt(t)
}

// namesUnknownModel reports whether the caller named a model that neither a route nor an endpoint names.
func (x *Exchange) namesUnknownModel() bool {
	return x.in.Request.Model != "" && !x.filter.spec.Pool.NamesModel(x.in.Service, x.in.Request.Model)
}

// handleFailure releases the reservation of a failed attempt and records what the failure says about the endpoint and
// the request. It returns nil if another endpoint may be tried.
func (x *Exchange) handleFailure(r pool.Reservation, err error) error {
	now := x.filter.spec.Now()
	var e *result.Error
	if errors.As(err, &e) {
		return err
	}
	x.exclude, x.busy = append(x.exclude, r.ID), false
	if x.ctx.Err() != nil {
		x.ran = max(x.ran, result.RunUnknown) // the endpoint may have received the request
		r.Release(pool.Cancelled, now)
		return contextError(x.ctx, x.ran)
	}
	switch {
	case errors.Is(err, engine.ErrUnreachable):
		r.Release(unreachableOutcome(err), now)
		return nil
	case errors.Is(err, engine.ErrMisdirected):
		x.attempts++
		if x.namesUnknownModel() {
			r.Release(pool.Cancelled, now) // the endpoint may have refused the model
		} else {
			r.Release(pool.ConnectionFailed, now)
		}
		return nil
	case errors.Is(err, engine.ErrBusy):
		x.attempts++
		x.busy = true
		r.Release(pool.Busy, now)
		return nil
	}
	x.attempts++
	x.ran = max(x.ran, result.RunUnknown)
	x.recordCrash(&r, err)
	r.Release(routedOutcome(err, 0), now)
	if !x.in.Route.MayRepeat() {
		code := result.EndpointFailed
		if errors.Is(err, engine.ErrStalled) {
			code = result.EndpointTimeout
		}
		return &result.Error{Code: code, Ran: x.ran, Err: err}
	}
	return nil
}
