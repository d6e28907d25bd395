// Package dispatch is the fifth stage of the pipeline. It reserves capacity at an endpoint, sends the request there
// and, if the endpoint fails, resumes the answer's stream or continues the answer at another endpoint.
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
	"github.com/bramleytrail/bramleytrail/intake"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/pause"
	"github.com/bramleytrail/bramleytrail/poison"
	"github.com/bramleytrail/bramleytrail/pool"
	"github.com/bramleytrail/bramleytrail/queue"
	"github.com/bramleytrail/bramleytrail/result"
)

const (
	// maxAttempts bounds consecutive calls that yield no part of the answer.
	maxAttempts = 4
	// maxCalls bounds the calls of one request, including those that made progress.
	maxCalls = 16
	// unbudgetedCalls is the number of calls after each part of an answer that are not charged to the retry budget: one
	// to resume the stream and one to continue the answer at another endpoint.
	unbudgetedCalls = 2
	// minCrashBackoff is the minimum delay after a crash before a request whose answer has not begun is sent again;
	// jitter at most doubles it. At 61 ms between tokens, interrupted streams make progress at another endpoint within
	// it.
	minCrashBackoff = 250 * time.Millisecond
	// queueLimit bounds the requests of a daemon that wait for one version. At the design load a daemon serves 18
	// requests a second, so its endpoints release fewer than 256 slots within the longest wait.
	queueLimit = 256
	// probeTimeout bounds a load report, a resumption and a cancellation after a call failed or was given up.
	probeTimeout = time.Second
	// defaultRetryAfter is the delay after which a caller is told to retry if no better estimate is known.
	defaultRetryAfter = time.Second
)

// Spec configures a Filter.
type Spec struct {
	Pool   *pool.Pool
	Client engine.Client
	Poison *poison.Table
	// OnCrash sends a crash record to the other daemons. It blocks until the nearest ones have it, or for a short time,
	// so that a caller that repeats the request through another daemon finds the crash counted there.
	OnCrash func(poison.Record)
	// OnClear notifies the other daemons that a request did not cause its crashes. It must not block.
	OnClear func([]poison.Record)
	Rand    func() uint64
	// QueueWait bounds the time that a request waits for capacity at an endpoint.
	QueueWait time.Duration
	Now       func() time.Time
	// OnCall is called at the end of each model call that an endpoint ran, unless the caller ended it. It may be nil.
	OnCall func(CallResult)
	// HedgeShare is the fraction of requests that may be hedged; 0 disables hedging.
	HedgeShare float64
	// OnHedge is called with the outcome of each hedge, or with the reason why a late first token was not hedged. It
	// may be nil.
	OnHedge func(HedgeOutcome)
	// CacheMover moves KV caches of sessions between endpoints; nil disables moves.
	CacheMover *cachemove.Mover
	// IsDown reports whether the host of an endpoint refuses connections, as it does once the endpoint's process has ended. It is
	// asked when the connection of a routed request or a plain call broke; nil disables the detection of their crashes.
	IsDown func(ctx context.Context, addr string) bool
	// GrantTrial asks whether all daemons agree that a request runs although it has a refused set of prompt parts, or some of one. Nil
	// grants none.
	GrantTrial func(context.Context, poison.RefusedParts) bool
	// OnRefused is called when a request of a routed service is refused because its endpoints are full; it may be nil.
	OnRefused func(service string)
	// OnNotAdmitted is called when package admission refuses a request, or a repeat of one, of a routed service; it may be nil.
	OnNotAdmitted func(service, reason string)
	// Router sends routed requests; nil if there are no routes.
	Router engine.Router
	// RetryRatio is the number of retries that each routed request adds to the budget of its service. RetryReserve
	// returns the number of retries that may be saved on top, which depends on the number of daemons.
	RetryRatio   float64
	RetryReserve func() float64
	// RetryWindow is the sliding window over which RetryRatio holds.
	RetryWindow time.Duration
}

// CallResult describes a finished model call.
type CallResult struct {
	RequestID string
	Version   string
	Failed    bool
	Crash     string        // ID of the endpoint crash that ended the call, or empty
	FirstByte time.Duration // time to the first token, 0 if there was none
}

// Filter dispatches requests to endpoints. It is safe for concurrent use.
type Filter struct {
	spec        Spec
	budget      *budget // of retries
	hedgeBudget *budget
	queue       *queue.Queue

	routedBudgets   sync.Map // retry budgets by routed service, each a *windowBudget
	firstTokenTimes firstTokenTimes
	breaks          brokenAttempts
	admissions      sync.Map // by routed service, each a *serviceAdmission
}

// New returns a filter whose retry and hedge budgets are full.
func New(spec Spec) *Filter {
	return &Filter{spec: spec, budget: newBudget(retryRatio, retryReserve), hedgeBudget: newBudget(spec.HedgeShare, hedgeReserve), queue: queue.New(queue.Spec{Limit: queueLimit, Now: spec.Now})}
}

// Signal retries the queued requests for a service, or for some of its versions, whose endpoints may have free
// capacity. It is meant for pool.Spec.OnCapacity.
func (f *Filter) Signal(service string, versions []string) { f.queue.Signal(service, versions) }

// Waiting returns the number of requests that wait for capacity.
func (f *Filter) Waiting() int { return f.queue.Waiting() }

// WaitingFor returns the number of requests that wait for capacity of a service.
func (f *Filter) WaitingFor(service string) int { return f.queue.WaitingFor(service) }

// Input is a model request.
type Input struct {
	View        *config.View
	RequestID   string
	Team        string
	Candidates  []choose.Candidate
	Body        []byte
	Priority    int
	Tokens      int64    // estimated prompt tokens
	MaxTokens   int64    // limit of the answer's tokens
	Prefix      uint64   // hash of the prompt prefix that the turns of a session share, 0 if there is none
	Fingerprint uint64   // identifies the content of the request to the crash table
	Parts       []uint64 // identify the parts of the prompt that other requests may share, to the crash table
	Cache       cachemove.Session
	// AtMostOnce forbids another attempt after one that may have run.
	AtMostOnce bool
	// Answer counts the text that is kept to continue the answer elsewhere; nil if memory is not counted.
	Answer *intake.Allowance
	// Refresh returns the newest configuration and the candidates under it, or an error if that configuration no longer
	// allows the request. Its argument is the configuration in use. It is called before each attempt and while the
	// request waits. Nil keeps View and Candidates.
	Refresh func(*config.View) (*config.View, []choose.Candidate, error)
}

// refreshCandidates applies the newest configuration and returns the candidates under it. servedBy is the candidate
// that generated the beginning of the answer, or nil; only the same version may continue its text.
func (in *Input) refreshCandidates(servedBy *choose.Candidate) ([]choose.Candidate, error) {
	if in.Refresh != nil {
		view, candidates, err := in.Refresh(in.View)
		if err != nil {
			return nil, err
		}
		in.View, in.Candidates = view, candidates
	}
	if servedBy != nil {
		return in.continuation(*servedBy)
	}
	return in.Candidates, nil
}

// continuation returns the only candidate that can continue an answer: the version that generated its beginning. It
// fails if the version has been withdrawn meanwhile, since a continuation would be new work for it.
func (in *Input) continuation(servedBy choose.Candidate) ([]choose.Candidate, error) {
	v := in.View.Versions[servedBy.Version.Name]
	if v == nil || v.State != object.VersionActive {
		return nil, &result.Error{Code: result.StreamBroken, RetryAfter: defaultRetryAfter,
			Detail: fmt.Sprintf("Version %q was withdrawn while it answered.", servedBy.Version.Name)}
	}
	return []choose.Candidate{{Service: servedBy.Service, Version: v}}, nil
}

// Do sends the request and waits for the first part of the answer. Cancelling ctx also ends the answer. Errors are
// *result.Error values, which say whether an endpoint may have run the request. The caller must close the answer.
func (f *Filter) Do(ctx context.Context, in Input) (*Answer, error) {
	f.budget.deposit()
	f.hedgeBudget.deposit()
	a := &Answer{filter: f, in: in, ctx: ctx, text: keptText{allowance: in.Answer}, call: &call{filter: f, ctx: ctx}}
	if err := a.start(); err != nil {
		a.Close()
		return nil, err
	}
	return a, nil
}

// reservation is capacity reserved at an endpoint, with the candidate that it serves and the timeouts of its service.
type reservation struct {
	pool.Reservation
	candidate choose.Candidate
	timeouts  timeouts
}

type timeouts struct{ firstByte, progress time.Duration }

// contextError returns the result of a request whose context has ended.
func contextError(ctx context.Context, ran result.Ran) error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return &result.Error{Code: result.DeadlineExceeded, Ran: ran}
	}
	return &result.Error{Code: result.CallerGone, Ran: ran}
}

// poolOutcome maps the error of a call to the outcome that the pool records for the endpoint.
func poolOutcome(err error) pool.Outcome {
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
		return pool.ConnectionFailed
	}
}

var (
	errCancelled = errors.New("request cancelled")
	errPaused    = errors.New("paused: the caller does not read the answer")
)

// sleep waits for d. If ctx ends first, it returns the result of the request with the given run state.
func sleep(ctx context.Context, d time.Duration, ran result.Ran) error {
	if pause.For(ctx, d) != nil {
		return contextError(ctx, ran)
	}
	return nil
}

// callID returns the ID of a request's model call, under which the endpoint resumes and cancels it.
func callID(request string, attempt int) string { return fmt.Sprintf("%s-%d", request, attempt) }
