package dispatch

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/pool"
	"github.com/bramleytrail/bramleytrail/result"
)

// PlainInput is a call of a plain service.
type PlainInput struct {
	View     *config.View
	Team     string
	Priority int
	Service  *object.Service
	Request  engine.PlainRequest
	// KeepOn lets a call that was sent go on when its caller leaves, so that its outcome is known to a repeat.
	KeepOn bool
	// Renew returns the newest configuration and the service as it declares it, or an error if it no longer allows the
	// call. It is called before each attempt and while the call waits. Nil keeps View and Service.
	Renew func() (*config.View, *object.Service, error)
}

// PlainAnswer is the response of a plain service. Close must be called.
type PlainAnswer struct {
	*engine.PlainResponse
	Endpoint string
	filter   *Filter
	room     pool.Reservation
	cancel   context.CancelCauseFunc
	progress time.Duration
	err      error
}

// Call sends a call to a plain service and waits for the response header. A non-repeatable call is sent once; it moves
// to another endpoint only if no connection could be made.
func (f *Filter) Call(ctx context.Context, in PlainInput) (*PlainAnswer, error) {
	f.budget.deposit()
	var exclude []string
	ran := result.NotRun
	for attempt := 1; ; attempt++ {
		r, err := f.reservePlain(ctx, &in, exclude)
		if err != nil {
			return nil, withRan(err, ran)
		}
		answer, err := f.callOnce(ctx, in, r)
		if err == nil {
			return answer, nil
		}
		r.Release(outcomeOf(err), f.spec.Now())
		if errors.Is(err, errCancelled) {
			return nil, contextError(ctx, max(ran, result.RunUnknown))
		}
		if !errors.Is(err, engine.ErrUnreachable) {
			ran = result.RunUnknown
		}
		mayRepeat := in.Request.Repeatable || ran == result.NotRun
		if !mayRepeat || attempt >= maxAttempts || !f.budget.withdraw() {
			return nil, plainError(err, ran)
		}
		exclude = append(exclude, r.ID)
	}
}

func plainError(err error, ran result.Ran) error {
	code := result.EndpointFailed
	if errors.Is(err, engine.ErrStalled) {
		code = result.EndpointTimeout
	}
	return &result.Error{Code: code, Ran: ran, Err: err, RetryAfter: fullRetry}
}

func (f *Filter) reservePlain(ctx context.Context, in *PlainInput, exclude []string) (pool.Reservation, error) {
	w := want{view: in.View, team: in.Team, priority: in.Priority, longest: f.spec.QueueWait, queries: []pool.Query{{Service: in.Service.Name, Exclude: exclude}}}
	w.renew = func(w *want) error {
		if in.Renew == nil {
			return nil
		}
		view, service, err := in.Renew()
		if err == nil {
			w.view, in.Service = view, service
		}
		return err
	}
	err := f.wait(ctx, &w)
	return w.got, err
}

func (f *Filter) callOnce(ctx context.Context, in PlainInput, r pool.Reservation) (*PlainAnswer, error) {
	if in.KeepOn {
		ctx = detach(ctx)
	}
	callCtx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(in.Service.Timeouts.FirstByte, func() { cancel(engine.ErrStalled) })
	start := f.spec.Now()
	resp, err := f.spec.Client.Call(callCtx, r.Addr, in.Request)
	if !timer.Stop() && err == nil {
		resp.Body.Close()
		err = engine.ErrStalled
	}
	if err != nil {
		switch {
		case ctx.Err() != nil:
			err = errCancelled
		case errors.Is(context.Cause(callCtx), engine.ErrStalled):
			err = engine.ErrStalled
		}
		cancel(nil)
		return nil, err
	}
	now := f.spec.Now()
	r.Opened("", now.Sub(start), start)
	return &PlainAnswer{PlainResponse: resp, Endpoint: r.ID, filter: f, room: r, cancel: cancel, progress: in.Service.Timeouts.Progress}, nil
}

// detach returns a context that keeps ctx's deadline but does not end when the caller leaves.
func detach(ctx context.Context) context.Context {
	out := context.WithoutCancel(ctx)
	deadline, ok := ctx.Deadline()
	if !ok {
		return out
	}
	out, cancel := context.WithDeadline(out, deadline)
	context.AfterFunc(out, cancel)
	return out
}

// Read reads the body under the service's progress deadline.
func (a *PlainAnswer) Read(p []byte) (int, error) {
	timer := time.AfterFunc(a.progress, func() { a.cancel(engine.ErrStalled) })
	n, err := a.Body.Read(p)
	timer.Stop()
	if err != nil && !errors.Is(err, io.EOF) {
		a.err = err
	}
	return n, err
}

// Close ends the call and gives its room back.
func (a *PlainAnswer) Close() {
	a.cancel(nil)
	a.Body.Close()
	a.room.Release(outcomeOf(a.err), a.filter.spec.Now())
}
