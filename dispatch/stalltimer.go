package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/pool"
)

const (
	// stallTargetShare is the fraction of the route's target after which an attempt whose answer has not begun counts
	// as stalled and another endpoint is tried, if the request may run again.
	stallTargetShare = 0.6
	// minStallTimeout is the lower bound of that time: loaded endpoints occasionally take as long. It applies alone if
	// the endpoint's failure domain is unreachable.
	minStallTimeout = 250 * time.Millisecond
	// stallTimeoutPerToken is added to that time for each token of the prompt: the prefill of a long prompt by a large
	// model runs in chunks between those of other requests, at 20 tokens a millisecond or more.
	stallTimeoutPerToken = 50 * time.Microsecond
	// gapTimeoutFactor is the multiple of the route's gap after which a stalled stream is continued at another
	// endpoint. An endpoint with long prompts in prefill occasionally pauses its streams for two gaps, and a
	// continuation costs another prefill and may fail. The loss of an endpoint is found earlier, by its connection.
	gapTimeoutFactor = 4.0
)

// startAnswerTimer starts a timer that cancels an attempt if its answer does not begin in time and another endpoint may
// run the request. It returns nil if the route has no target or allows no further attempt.
func (x *Exchange) startAnswerTimer(r *pool.Reservation, cancel context.CancelCauseFunc) *StallTimer {
	if x.in.Route.TargetLatency <= 0 || x.attempts+1 >= x.in.Route.Attempts {
		return nil
	}
	timeout := max(minStallTimeout, time.Duration(stallTargetShare*float64(x.in.Route.TargetLatency))) + time.Duration(x.in.Prompt)*stallTimeoutPerToken
	return x.startStallTimer(r, minStallTimeout, timeout, cancel)
}

// StartGapTimer starts a timer that cancels the stream if there is no progress for too long and another endpoint can
// continue it. The caller must report each event with Progress and stop the timer. The timer is nil if the route does
// not allow a continuation.
func (a *RoutedAnswer) StartGapTimer() *StallTimer {
	x := a.exchange
	r := x.in.Route
	if !r.Stream || r.TargetGap <= 0 || x.attempts >= r.Attempts {
		return nil
	}
	return x.startStallTimer(&a.reservation, r.TargetGap, time.Duration(gapTimeoutFactor*float64(r.TargetGap)), a.cancel)
}

// StallTimer cancels an attempt that makes no progress for a time, if another endpoint can take over. Its methods may
// be called on a nil StallTimer, which never fires. It is safe for concurrent use.
type StallTimer struct {
	exchange       *Exchange
	reservation    pool.Reservation
	hasAlternative func() bool
	cancel         context.CancelCauseFunc
	earlyTimeout   time.Duration // applies if the endpoint's failure domain is unreachable
	timeout        time.Duration

	mu           sync.Mutex
	timer        *time.Timer
	lastProgress time.Time
	stopped      bool
	fired        bool // the attempt was cancelled
}

// startStallTimer starts a timer that cancels an attempt after timeout, if another endpoint has capacity and the retry
// budget allows another attempt, for which it is charged at once. Otherwise the endpoint may be merely slow, and the
// timer waits for it. An endpoint whose failure domain is unreachable will not answer; it is given up after
// earlyTimeout. The timer is nil if the request must not run again.
func (x *Exchange) startStallTimer(r *pool.Reservation, earlyTimeout, timeout time.Duration, cancel context.CancelCauseFunc) *StallTimer {
	if !x.in.Route.MayRepeat() {
		return nil
	}
	t := &StallTimer{
		exchange: x, reservation: *r, hasAlternative: x.hasAlternative(r.ID), cancel: cancel, earlyTimeout: min(earlyTimeout, timeout), timeout: timeout, lastProgress: x.filter.spec.Now(),
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(t.earlyTimeout, t.check)
	return t
}

// check cancels the attempt if it has timed out, or its endpoint's failure domain is unreachable, and another endpoint
// can take over. Otherwise it schedules the next check.
func (t *StallTimer) check() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped || t.fired {
		return
	}
	now := t.exchange.filter.spec.Now()
	remaining := t.timeout - now.Sub(t.lastProgress)
	if remaining > 0 && !t.reservation.DomainUnreachable(now) || !t.hasAlternative() || !t.exchange.budget.withdraw(0, now) {
		if remaining <= 0 || remaining > t.earlyTimeout {
			remaining = t.earlyTimeout
		}
		t.timer.Reset(remaining)
		return
	}
	t.fired = true
	t.exchange.prepaid.Store(true)
	t.cancel(engine.ErrStalled)
}

// Progress records progress of the attempt and restarts the timeout.
func (t *StallTimer) Progress() {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped && !t.fired {
		t.lastProgress = t.exchange.filter.spec.Now()
		t.timer.Reset(t.earlyTimeout)
	}
}

// Stop stops the timer and reports whether it has cancelled the attempt. The runtime keeps a stopped timer until its time, so its references
// are cleared; they hold the body of the request.
func (t *StallTimer) Stop() bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
	t.exchange, t.hasAlternative, t.cancel = nil, nil, nil
	return t.fired
}

// hasAlternative returns a function that reports whether an endpoint other than current and those that failed has
// capacity for the request. The function uses a copy of the request's present state, so that another goroutine may call
// it.
func (x *Exchange) hasAlternative(current string) func() bool {
	exclude := append(slices.Clone(x.exclude), current)
	routed := x.in.Query
	return func() bool {
		query := pool.Query{Service: x.in.Service, Prompt: x.in.Prompt, Exclude: exclude, Routed: &routed, DryRun: true}
		_, _, ok := x.filter.spec.Pool.Pick(query, x.filter.spec.Now())
		return ok
	}
}
