// Package dispatch is the fifth stage: it reserves room at an endpoint, sends the request and keeps the answer going
// when an endpoint fails, by resuming the stream or by continuing it at another endpoint.
package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/bramleytrail/bramleytrail/choose"
	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/poison"
	"github.com/bramleytrail/bramleytrail/pool"
	"github.com/bramleytrail/bramleytrail/result"
)

const (
	// maxAttempts bounds the endpoints that one request is sent to.
	maxAttempts = 4
	pickPause   = 5 * time.Millisecond
	probeLimit  = time.Second
	fullRetry   = time.Second
)

// Spec configures a Filter.
type Spec struct {
	Pool   *pool.Pool
	Client engine.Client
	Poison *poison.Table
	// OnCrash tells the other daemons of a crash.
	OnCrash func(poison.Record)
	// QueueWait bounds the time for which a request waits for room at an endpoint.
	QueueWait time.Duration
	Now       func() time.Time
	// OnCall is called at the end of each model call that an endpoint ran, unless the caller ended it; it may be nil.
	OnCall func(CallResult)
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
}

// New returns a filter.
func New(spec Spec) *Filter { return &Filter{spec: spec, budget: newBudget()} }

// Input is a model request.
type Input struct {
	View        *config.View
	RequestID   string
	Team        string
	Candidates  []choose.Candidate
	Body        []byte
	Priority    int
	Tokens      int64 // estimated prompt tokens
	MaxTokens   int64 // limit of the answer
	Fingerprint uint64
	// Once forbids another attempt after one that may have run.
	Once bool
	// Renew returns the newest configuration and the candidates under it, or an error if it no longer allows the request.
	// It is called before each attempt and while the request waits, if View is not the newest one. Nil keeps the input.
	Renew func(*config.View) (*config.View, []choose.Candidate, error)
}

// renew applies the newest configuration to a request that has not been sent yet.
func (in *Input) renew() error {
	if in.Renew == nil {
		return nil
	}
	view, candidates, err := in.Renew(in.View)
	if err != nil {
		return err
	}
	in.View, in.Candidates = view, candidates
	return nil
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
	a := &Answer{filter: f, in: in, ctx: ctx}
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

// reserve waits for room at an endpoint of one of the candidates, the preferred one first. Each try uses the newest
// configuration. A begun answer is continued by its own version only.
func (f *Filter) reserve(ctx context.Context, in *Input, begun *choose.Candidate, exclude []string, suspect bool) (room, error) {
	deadline := f.spec.Now().Add(f.spec.QueueWait)
	for {
		candidates, err := in.newest(begun)
		if err != nil {
			return room{}, err
		}
		r, short, ok := f.pick(in, candidates, exclude, suspect)
		if ok {
			return r, nil
		}
		if !f.spec.Now().Before(deadline) {
			return room{}, noEndpoint(short)
		}
		if err := pause(ctx, pickPause); err != nil {
			return room{}, err
		}
	}
}

// newest returns the candidates under the newest configuration.
func (in *Input) newest(begun *choose.Candidate) ([]choose.Candidate, error) {
	if err := in.renew(); err != nil {
		return nil, err
	}
	if begun != nil {
		return in.continued(*begun)
	}
	return in.Candidates, nil
}

func (f *Filter) pick(in *Input, candidates []choose.Candidate, exclude []string, suspect bool) (room, pool.Shortage, bool) {
	var short pool.Shortage
	for _, c := range candidates {
		q := pool.Query{Service: c.Service, Version: c.Version.Name, Tokens: in.Tokens + in.MaxTokens, Exclude: exclude, Suspect: suspect}
		q.OnlyRankZero = suspect && f.spec.Pool.HasRankZero(c.Service, c.Version.Name)
		r, s, ok := f.spec.Pool.Pick(q, f.spec.Now())
		if ok {
			t := in.View.Services[c.Service].Timeouts
			return room{r, c, timeouts{t.FirstByte, t.Progress}}, s, true
		}
		short = s
	}
	return room{}, short, false
}

func noEndpoint(s pool.Shortage) error {
	return result.Newf(result.NoEndpoint, "Of %d endpoints, %d are out of service, %d failed, %d are full, %d lack memory, %d gave no report.",
		s.Listed, s.DomainOut, s.Ejected, s.Full, s.TokensFull, s.Stale).WithRetry(fullRetry)
}

// pause waits, or returns the reason why ctx ended.
func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return contextError(ctx, result.NotRun)
	}
}

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
	case errors.Is(err, errStalled):
		return pool.TimedOut
	case errors.Is(err, errCancelled):
		return pool.Cancelled
	default:
		return pool.Broken
	}
}

var (
	errStalled   = errors.New("no progress in time")
	errCancelled = errors.New("request cancelled")
)

// callID names one model call of a request at an endpoint.
func callID(request string, attempt int) string { return fmt.Sprintf("%s-%d", request, attempt) }
