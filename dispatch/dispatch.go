// Package dispatch is the fifth stage: it reserves room at an endpoint, sends the request and keeps the answer going
// when an endpoint fails, by resuming the stream or by continuing it at another endpoint.
package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/cachemove"
	"github.com/bramleytrail/bramleytrail/choose"
	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/pause"
	"github.com/bramleytrail/bramleytrail/poison"
	"github.com/bramleytrail/bramleytrail/pool"
	"github.com/bramleytrail/bramleytrail/queue"
	"github.com/bramleytrail/bramleytrail/result"
)

const (
	// maxAttempts bounds the calls in a row that bring no part of an answer.
	maxAttempts = 4
	// maxCalls bounds the calls for one request.
	maxCalls = 16
	// freeCalls is the number of calls after a part of an answer that take nothing from the retry budget: one to resume
	// the stream and one to continue it elsewhere.
	freeCalls = 2
	// crashPause is the least pause after a crash before a request without any part of its answer is sent again. A
	// stream makes progress at another endpoint within it, at 61 ms between tokens; the pause is at most doubled.
	crashPause = 250 * time.Millisecond
	// queueLimit bounds the requests that wait for one version in a daemon. At the target a daemon serves 18 requests a
	// second, so that 256 are more than its endpoints release within the longest wait.
	queueLimit = 256
	probeLimit = time.Second
	fullRetry  = time.Second
)

// Spec configures a Filter.
type Spec struct {
	Pool   *pool.Pool
	Client engine.Client
	Poison *poison.Table
	// OnCrash tells the other daemons of a crash. It returns when the nearest ones know of it, or after a short time, so
	// that a caller that repeats the request through another daemon finds the crash counted there.
	OnCrash func(poison.Record)
	// OnClear tells the other daemons that a request was not the cause of its crashes. It must not block.
	OnClear func([]poison.Record)
	Rand    func() uint64
	// QueueWait bounds the time for which a request waits for room at an endpoint.
	QueueWait time.Duration
	Now       func() time.Time
	// OnCall is called at the end of each model call that an endpoint ran, unless the caller ended it; it may be nil.
	OnCall func(CallResult)
	// HedgeShare is the part of the requests that may be hedged; 0 for none.
	HedgeShare float64
	// OnHedge is called with the end of each hedge, or with the reason why a late first token was not hedged; it may be
	// nil.
	OnHedge func(HedgeOutcome)
	// Moves moves KV caches of sessions; nil for none.
	Moves *cachemove.Mover
	// Router sends routed requests; nil if there are no routes.
	Router engine.Router
	// RetryRatio is the number of further attempts that each routed request adds to its service's budget, RetryReserve the
	// largest number that is saved, which depends on the number of daemons.
	RetryRatio   float64
	RetryReserve func() float64
	// RetryWindow is the time over which they are counted.
	RetryWindow time.Duration
}

// CallResult describes a finished model call.
type CallResult struct {
	RequestID string
	Version   string
	Failed    bool
	Crash     string        // identity of the endpoint's crash that ended the call, or empty
	FirstByte time.Duration // time to the first token, 0 if there was none
}

// Filter dispatches requests.
type Filter struct {
	spec   Spec
	budget *budget
	hedges *budget
	queue  *queue.Queue

	budgets     sync.Map // *windowBudget by routed service
	firstTokens firstTokens
}

// New returns a filter.
func New(spec Spec) *Filter {
	return &Filter{spec: spec, budget: newBudget(retryRatio, retryReserve), hedges: newBudget(spec.HedgeShare, hedgeReserve), queue: queue.New(queue.Spec{Limit: queueLimit, Now: spec.Now})}
}

// Signal tells the requests that wait that endpoints of a service may have room. It suits pool.Spec.OnRoom.
func (f *Filter) Signal(service string, versions []string) { f.queue.Signal(service, versions) }

// Waiting returns the number of requests that wait for room.
func (f *Filter) Waiting() int { return f.queue.Waiting() }

// Input is a model request.
type Input struct {
	View        *config.View
	RequestID   string
	Team        string
	Candidates  []choose.Candidate
	Body        []byte
	Priority    int
	Tokens      int64  // estimated prompt tokens
	MaxTokens   int64  // limit of the answer
	Prefix      uint64 // hash of the prompt's beginning that a session keeps, 0 if there is none
	Fingerprint uint64
	Cache       cachemove.Session
	// Once forbids another attempt after one that may have run.
	Once bool
	// Renew returns the newest configuration and the candidates under it, or an error if it no longer allows the request.
	// It is called before each attempt and while the request waits, if View is not the newest one. Nil keeps the input.
	Renew func(*config.View) (*config.View, []choose.Candidate, error)
}

// newest returns the candidates under the newest configuration. Text of one version is continued by the same version
// only: begun is the candidate that gave the beginning of the answer, or nil.
func (in *Input) newest(begun *choose.Candidate) ([]choose.Candidate, error) {
	if in.Renew != nil {
		view, candidates, err := in.Renew(in.View)
		if err != nil {
			return nil, err
		}
		in.View, in.Candidates = view, candidates
	}
	if begun != nil {
		return in.continued(*begun)
	}
	return in.Candidates, nil
}

// continued returns the only candidate that can continue an answer: the version that gave its beginning. Under the newest
// configuration the version may have been withdrawn; a continuation would be new work for it.
func (in *Input) continued(c choose.Candidate) ([]choose.Candidate, error) {
	v := in.View.Versions[c.Version.Name]
	if v == nil || v.State != object.VersionActive {
		return nil, &result.Error{Code: result.StreamBroken, RetryAfter: fullRetry,
			Detail: fmt.Sprintf("Version %q was withdrawn while it answered.", c.Version.Name)}
	}
	return []choose.Candidate{{Service: c.Service, Version: v}}, nil
}

// Do sends the request and waits for the first part of the answer. Cancelling ctx ends the answer.
func (f *Filter) Do(ctx context.Context, in Input) (*Answer, error) {
	f.budget.deposit()
	f.hedges.deposit()
	a := &Answer{filter: f, in: in, ctx: ctx, call: &call{filter: f, ctx: ctx}}
	if err := a.start(); err != nil {
		a.Close()
		return nil, err
	}
	return a, nil
}

// room is a reserved place at an endpoint.
type room struct {
	pool.Reservation
	candidate choose.Candidate
	timeouts  timeouts
}

type timeouts struct{ firstByte, progress time.Duration }

// contextError maps the end of a request's context to a result.
func contextError(ctx context.Context, ran result.Ran) error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return &result.Error{Code: result.DeadlineExceeded, Ran: ran}
	}
	return &result.Error{Code: result.CallerGone, Ran: ran}
}

// outcomeOf maps an error of an endpoint to the outcome that the pool counts.
func outcomeOf(err error) pool.Outcome {
	switch {
	case err == nil:
		return pool.Succeeded
	case errors.Is(err, engine.ErrBusy):
		return pool.Busy
	case errors.Is(err, engine.ErrRejected):
		return pool.Rejected
	case errors.Is(err, engine.ErrStalled):
		return pool.TimedOut
	case errors.Is(err, errCancelled):
		return pool.Cancelled
	default:
		return pool.Broken
	}
}

var (
	errCancelled = errors.New("request cancelled")
	errPaused    = errors.New("paused: the caller reads nothing")
)

// sleep waits, or returns the reason why ctx ended.
func sleep(ctx context.Context, d time.Duration, ran result.Ran) error {
	if pause.For(ctx, d) != nil {
		return contextError(ctx, ran)
	}
	return nil
}

// callID names one model call of a request at an endpoint.
func callID(request string, attempt int) string { return fmt.Sprintf("%s-%d", request, attempt) }
