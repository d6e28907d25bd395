package dispatch

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/pool"
	"github.com/bramleytrail/bramleytrail/result"
)

const (
	// minRemaining is the least time that is left for a request which is sent to an endpoint: less can't bring an answer
	// over the network.
	minRemaining = 20 * time.Millisecond
	// silenceShare is the part of the route's target after which an endpoint that has not begun an answer is given up for
	// another one, if the request may run again.
	silenceShare = 0.6
	// minSilence bounds that time from below: an endpoint that is loaded takes so long now and then.
	minSilence = 250 * time.Millisecond
	// promptSilence is added to that time for each token of the prompt: a large model reads a long prompt in chunks beside
	// other requests, at 20 tokens a millisecond and more.
	promptSilence = 50 * time.Microsecond
	// gapFactor is the multiple of a stream's longest pause after which a silent stream goes on at another endpoint. An
	// endpoint that reads long prompts pauses its streams for two such times now and then, and to go on elsewhere costs
	// another prompt and may fail. A lost endpoint is found by its connection before that.
	gapFactor = 4.0
	// busyRetry is the time after which a caller may come back when an endpoint turned its request down.
	busyRetry = 100 * time.Millisecond
	// spareBudget is the part of the retry budget that is kept for failures: steps of a cascade leave it alone.
	spareBudget = 0.2
)

// RoutedInput is a request of a route.
type RoutedInput struct {
	View    *config.View
	Route   *object.Route
	Service string // chosen among the route's backends
	Team    string // that the request counts for in the queue; empty for a public route without a key
	Rank    int
	Request engine.RoutedRequest
	Query   pool.RoutedQuery
	Prompt  int64 // tokens
	// Fingerprint identifies the request's content to the table of crashes.
	Fingerprint uint64
	// Assign restricts the versions of the software for the next attempt; again says that one failed before.
	Assign func(view *config.View, again bool) (release, notRelease string)
	// Renew returns the newest configuration, or an error if it no longer allows the request.
	Renew func() (*config.View, error)
	// Trace is called with the end of each attempt; it may be nil.
	Trace func(RoutedAttempt)
}

// RoutedAttempt describes an attempt at an endpoint.
type RoutedAttempt struct {
	Request  string
	Service  string
	Endpoint string
	Addr     string
	Release  string
	Model    string
	Status   int // 0 if there was no answer
	Latency  time.Duration
	After    int64
	// Confidence is that of the answer, nil if it states none.
	Confidence *float64
	Err        error
}

// Exchange is a routed request with what its attempts have used up. It is used by one goroutine.
type Exchange struct {
	filter *Filter
	ctx    context.Context
	in     RoutedInput
	budget *windowBudget

	sends   int // at endpoints that may have run or refused the request
	exclude []string
	ran     result.Ran
	// prepaid says that the next attempt was taken from the budget already.
	prepaid atomic.Bool
}

// RoutedAnswer is an endpoint's answer. Close must be called.
type RoutedAnswer struct {
	*engine.RoutedResponse
	Endpoint string
	Release  string

	exchange *Exchange
	room     pool.Reservation
	cancel   context.CancelCauseFunc
	err      error
	closed   bool
}

// NewExchange begins a routed request.
func (f *Filter) NewExchange(ctx context.Context, in RoutedInput) *Exchange {
	return &Exchange{filter: f, ctx: ctx, in: in, budget: f.serviceBudget(in.Service)}
}

// serviceBudget returns the retry budget of a routed service after it has counted a request.
func (f *Filter) serviceBudget(service string) *windowBudget {
	reserve := f.spec.RetryReserve()
	b, ok := f.budgets.Load(service)
	if !ok {
		b, _ = f.budgets.LoadOrStore(service, newWindowBudget(f.spec.RetryRatio, reserve, f.spec.RetryWindow, func(now time.Time) pool.Attempts {
			return f.spec.Pool.Attempts(service, now)
		}))
	}
	budget := b.(*windowBudget)
	budget.deposit(reserve, f.spec.Now())
	return budget
}

// MayClimb reports whether a step of a cascade to a model is within the route's attempts and the budget, of which a part is
// kept for failures, and would probably begin its answer within the target. The answer at hand is in time, and is dropped
// only when the next one is paid for.
func (x *Exchange) MayClimb(model string, started time.Time) bool {
	if x.sends+1 >= x.in.Route.Attempts {
		return false
	}
	routed := x.in.Query
	routed.Model = model
	now := x.filter.spec.Now()
	r, _, ok := x.filter.spec.Pool.Pick(pool.Query{Service: x.in.Service, Prompt: x.in.Prompt, Exclude: x.exclude, Routed: &routed, Dry: true}, now)
	if !ok || x.in.Route.Target > 0 && now.Sub(started)+r.Expected > x.in.Route.Target {
		return false
	}
	if !x.budget.withdraw(spareBudget, now) {
		return false
	}
	x.prepaid.Store(true)
	return true
}

// Do sends the request to an endpoint until one answers. With a model of its own, the request is a step of a cascade.
func (x *Exchange) Do(model string, after int64) (*RoutedAnswer, error) {
	x.in.Request.Model, x.in.Request.After = model, after
	x.in.Query.Model = model
	for {
		if err := x.mayAttempt(); err != nil {
			return nil, err
		}
		r, err := x.reserve()
		if err != nil {
			return nil, withRan(err, x.ran)
		}
		answer, err := x.attempt(r)
		if err == nil {
			return answer, nil
		}
		if err := x.note(r, err); err != nil {
			return nil, err
		}
	}
}

func (x *Exchange) mayAttempt() error {
	if x.filter.spec.Poison.Refused(x.in.Fingerprint, x.filter.spec.Now()) {
		return &result.Error{Code: result.PoisonRequest, Ran: x.ran}
	}
	if x.sends == 0 {
		return nil
	}
	if x.sends >= x.in.Route.Attempts || !x.prepaid.Swap(false) && !x.budget.withdraw(0, x.filter.spec.Now()) {
		return &result.Error{Code: x.failedCode(), Ran: x.ran, RetryAfter: busyRetry, Detail: "The attempts or the retry budget are used up."}
	}
	return nil
}

func (x *Exchange) failedCode() result.Code {
	if x.ran == result.NotRun {
		return result.NoEndpoint
	}
	return result.EndpointFailed
}

// reserve waits for room at an endpoint. Endpoints that failed are used again only if there are no others.
func (x *Exchange) reserve() (pool.Reservation, error) {
	if x.in.Renew != nil {
		view, err := x.in.Renew()
		if err != nil {
			return pool.Reservation{}, err
		}
		x.in.View = view
	}
	x.in.Query.Repeat = x.sends > 0
	x.in.Query.Release, x.in.Query.NotRelease = x.in.Assign(x.in.View, len(x.exclude) > 0)
	query := pool.Query{Service: x.in.Service, Prompt: x.in.Prompt, Exclude: x.exclude, Routed: &x.in.Query}
	w := want{
		view: x.in.View, team: x.in.Team, priority: maxRank - min(maxRank, x.in.Rank), longest: x.queueWait(),
		queries: []pool.Query{query}, fingerprint: x.in.Fingerprint,
	}
	w.renew = func(w *want) error {
		if x.in.Renew == nil {
			return nil
		}
		view, err := x.in.Renew()
		if err == nil {
			w.view, x.in.View = view, view
		}
		return err
	}
	err := x.filter.wait(x.ctx, &w)
	return w.got, err
}

// maxRank is the least urgent rank of a request.
const maxRank = 9

// queueWait is the longest wait for room: the part of the target that leaves time for the answer, or the queue's limit if
// the target has passed and a late answer is still worth something.
func (x *Exchange) queueWait() time.Duration {
	wait := x.filter.spec.QueueWait
	if t := x.in.Route.Target; t > 0 {
		wait = min(wait, 2*t)
	}
	return wait
}

func (x *Exchange) attempt(r pool.Reservation) (*RoutedAnswer, error) {
	now := x.filter.spec.Now()
	req := x.in.Request
	req.Endpoint = r.ID
	if deadline, ok := x.ctx.Deadline(); ok {
		if req.Left = deadline.Sub(now); req.Left < minRemaining {
			r.Release(pool.Cancelled, now)
			return nil, &result.Error{Code: result.DeadlineExceeded, Ran: x.ran}
		}
	}
	req.Once = !x.in.Route.MayRepeat()
	ctx, cancel := context.WithCancelCause(x.ctx)
	silence := x.limitSilence(&r, cancel)
	resp, err := x.filter.spec.Router.Route(ctx, r.Addr, &req)
	if silence.Stop() && err == nil {
		_ = resp.Body.Close() // it is given up
		err = engine.ErrStalled
	}
	latency := x.filter.spec.Now().Sub(now)
	if err != nil && x.ctx.Err() == nil && errors.Is(context.Cause(ctx), engine.ErrStalled) {
		err = engine.ErrStalled
	}
	x.trace(r, resp, latency, err)
	if resp != nil {
		x.answered(&r, resp, latency, err)
	}
	if err != nil {
		cancel(err)
		return nil, err
	}
	return &RoutedAnswer{RoutedResponse: resp, Endpoint: r.ID, Release: r.SoftwareRelease(), exchange: x, room: r, cancel: cancel}, nil
}

// answered tells the pool what the answer's header says. The latency of an error says nothing of the endpoint's speed.
func (x *Exchange) answered(r *pool.Reservation, resp *engine.RoutedResponse, latency time.Duration, err error) {
	measured := err == nil && resp.Status < 400
	r.Answered(latency, measured, resp.Load, resp.Cold, x.filter.spec.Now())
}

func (x *Exchange) trace(r pool.Reservation, resp *engine.RoutedResponse, latency time.Duration, err error) {
	if x.in.Trace == nil {
		return
	}
	t := RoutedAttempt{
		Request: x.in.Request.ID, Service: x.in.Service, Endpoint: r.ID, Addr: r.Addr, Release: r.SoftwareRelease(),
		Model: x.in.Request.Model, Latency: latency, After: x.in.Request.After, Err: err,
	}
	if resp != nil {
		t.Status = resp.Status
		if resp.HasConfidence {
			t.Confidence = &resp.Confidence
		}
	}
	x.in.Trace(t)
}

// limitSilence ends an attempt whose answer does not begin in time, if another endpoint may run the request.
func (x *Exchange) limitSilence(r *pool.Reservation, cancel context.CancelCauseFunc) *SilenceLimit {
	if x.in.Route.Target <= 0 || x.sends+1 >= x.in.Route.Attempts {
		return nil
	}
	limit := max(minSilence, time.Duration(silenceShare*float64(x.in.Route.Target))) + time.Duration(x.in.Prompt)*promptSilence
	return x.patience(r, minSilence, limit, cancel)
}

// LimitGaps ends a stream that brings no event for too long, if it may go on at another endpoint.
func (a *RoutedAnswer) LimitGaps() *SilenceLimit {
	x := a.exchange
	r := x.in.Route
	if !r.Stream || r.Gap <= 0 || x.sends >= r.Attempts {
		return nil
	}
	return x.patience(&a.room, r.Gap, time.Duration(gapFactor*float64(r.Gap)), a.cancel)
}

// SilenceLimit ends an attempt that brings nothing for a time. A nil one ends nothing.
type SilenceLimit struct {
	exchange  *Exchange
	room      pool.Reservation
	elsewhere func() bool
	cancel    context.CancelCauseFunc
	early     time.Duration // from which a silent endpoint is given up if its failure domain is cut off
	limit     time.Duration

	mu      sync.Mutex
	timer   *time.Timer
	since   time.Time // newest progress
	stopped bool
	ended   bool // it has ended the attempt
}

// patience ends an attempt after a limit if another endpoint may follow and the budget has room for it, which is taken at
// once. An endpoint that is merely slow is waited for otherwise. One whose failure domain is cut off will not answer: it is
// given up after the early limit.
func (x *Exchange) patience(r *pool.Reservation, early, limit time.Duration, cancel context.CancelCauseFunc) *SilenceLimit {
	if !x.in.Route.MayRepeat() {
		return nil
	}
	l := &SilenceLimit{
		exchange: x, room: *r, elsewhere: x.elsewhere(r.ID), cancel: cancel, early: min(early, limit), limit: limit, since: x.filter.spec.Now(),
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer = time.AfterFunc(l.early, l.check)
	return l
}

// check ends the attempt if it is time, and looks again later otherwise.
func (l *SilenceLimit) check() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped || l.ended {
		return
	}
	now := l.exchange.filter.spec.Now()
	rest := l.limit - now.Sub(l.since)
	if rest > 0 && !l.room.CutOff(now) || !l.elsewhere() || !l.exchange.budget.withdraw(0, now) {
		if rest <= 0 || rest > l.early {
			rest = l.early
		}
		l.timer.Reset(rest)
		return
	}
	l.ended = true
	l.exchange.prepaid.Store(true)
	l.cancel(engine.ErrStalled)
}

// Progress begins the time anew.
func (l *SilenceLimit) Progress() {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stopped && !l.ended {
		l.since = l.exchange.filter.spec.Now()
		l.timer.Reset(l.early)
	}
}

// Stop ends the limit and reports whether it has ended the attempt.
func (l *SilenceLimit) Stop() bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	l.timer.Stop()
	return l.ended
}

// elsewhere returns a function that reports whether another endpoint has room for the request as it is now. The function
// may be called by another goroutine.
func (x *Exchange) elsewhere(current string) func() bool {
	exclude := append(slices.Clone(x.exclude), current)
	routed := x.in.Query
	return func() bool {
		query := pool.Query{Service: x.in.Service, Prompt: x.in.Prompt, Exclude: exclude, Routed: &routed, Dry: true}
		_, _, ok := x.filter.spec.Pool.Pick(query, x.filter.spec.Now())
		return ok
	}
}

// note handles a failed attempt. It returns nil if another endpoint may be tried.
func (x *Exchange) note(r pool.Reservation, err error) error {
	now := x.filter.spec.Now()
	var e *result.Error
	if errors.As(err, &e) {
		return err
	}
	x.exclude = append(x.exclude, r.ID)
	if x.ctx.Err() != nil {
		x.ran = max(x.ran, result.RunUnknown) // it was sent
		r.Release(pool.Cancelled, now)
		return contextError(x.ctx, x.ran)
	}
	switch {
	case errors.Is(err, engine.ErrUnreachable):
		r.Release(unreachable(err), now)
		return nil
	case errors.Is(err, engine.ErrMisdirected):
		x.sends++
		r.Release(pool.Broken, now)
		return nil
	case errors.Is(err, engine.ErrBusy):
		x.sends++
		r.Release(pool.Busy, now)
		return nil
	}
	x.sends++
	x.ran = max(x.ran, result.RunUnknown)
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

// Retry gives up an answer that the endpoint itself calls a failure and reports whether another endpoint may be tried.
func (a *RoutedAnswer) Retry() bool {
	x := a.exchange
	if !x.in.Route.MayRepeat() || x.sends+1 >= x.in.Route.Attempts || !x.budget.has(x.filter.spec.Now()) {
		return false
	}
	a.Keep()
	x.exclude = append(x.exclude, a.Endpoint)
	a.err = engine.ErrFailed
	a.Close()
	return true
}

// Keep counts the answer as one that the caller gets, or that a cascade drops.
func (a *RoutedAnswer) Keep() {
	a.exchange.sends++
	a.exchange.ran = result.RunDone
}

// Broken notes that the answer ended early, so that its endpoint is not chosen for the rest.
func (a *RoutedAnswer) Broken(err error) {
	a.err = err
	x := a.exchange
	if !slices.Contains(x.exclude, a.Endpoint) {
		x.exclude = append(x.exclude, a.Endpoint)
	}
	a.Close()
}

// Close ends the exchange and gives the room back.
func (a *RoutedAnswer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	_ = a.Body.Close() // the body reports its errors when it is read
	a.cancel(nil)
	a.room.Release(routedOutcome(a.err, a.Status), a.exchange.filter.spec.Now())
}

// unreachable tells an endpoint whose host refuses connections from one that does not answer, which may be cut off.
func unreachable(err error) pool.Outcome {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return pool.Unreached
	}
	return pool.Broken
}

func routedOutcome(err error, status int) pool.Outcome {
	switch {
	case errors.Is(err, engine.ErrFailed) || err == nil && status >= 500:
		return pool.Errored
	case err == nil:
		return pool.Succeeded
	case errors.Is(err, errCancelled):
		return pool.Cancelled
	case errors.Is(err, engine.ErrStalled):
		return pool.Silent
	default:
		return pool.Dropped
	}
}

// Cancelled notes that the caller has left, so that the end of the answer says nothing about the endpoint.
func (a *RoutedAnswer) Cancelled() { a.err = errCancelled }
