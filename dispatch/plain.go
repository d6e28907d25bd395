package dispatch

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/poison"
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
	// Fingerprint identifies the content of the call to the crash table.
	Fingerprint uint64
	// Detached lets a call that was sent continue when its caller leaves, so that its outcome is known if it is
	// repeated.
	Detached bool
	// Refresh returns the newest configuration and the service as declared there, or an error if that configuration no
	// longer allows the call. It is called before each attempt and while the call waits. Nil keeps View and Service.
	Refresh func() (*config.View, *object.Service, error)
}

// PlainAnswer is the response of a plain service. The caller must close it.
type PlainAnswer struct {
	*engine.PlainResponse
	Endpoint        string
	filter          *Filter
	reservation     pool.Reservation
	cancel          context.CancelCauseFunc
	progressTimeout time.Duration
	fingerprint     uint64
	err             error // of reading the body; io.EOF after all of it
}

// CallPlain sends a call to a plain service and waits for the response header. A non-repeatable call is sent at most
// once: it is tried at another endpoint only if no connection could be made. Errors are *result.Error values, which say
// whether an endpoint may have run the call.
func (f *Filter) CallPlain(ctx context.Context, in PlainInput) (*PlainAnswer, error) {
	f.budget.deposit()
	var exclude []string
	ran := result.NotRun
	for attempt := 1; ; attempt++ {
		if err := f.checkContent(in.Fingerprint, ran); err != nil {
			return nil, err
		}
		r, err := f.reservePlain(ctx, &in, exclude)
		if err != nil {
			return nil, withRan(err, ran)
		}
		answer, err := f.callOnce(ctx, in, r)
		if err == nil {
			return answer, nil
		}
		r.Release(poolOutcome(err), f.spec.Now())
		if errors.Is(err, errCancelled) {
			return nil, contextError(ctx, max(ran, result.RunUnknown))
		}
		if !errors.Is(err, engine.ErrUnreachable) {
			ran = result.RunUnknown
			f.recordPlainCrash(ctx, &r, in.Fingerprint, err)
		}
		mayRepeat := in.Request.Repeatable || ran == result.NotRun
		if !mayRepeat || attempt >= maxAttempts || !f.budget.withdraw() {
			return nil, plainError(err, ran)
		}
		exclude = append(exclude, r.ID)
	}
}

// plainError returns the result of a call whose last attempt failed with err.
func plainError(err error, ran result.Ran) error {
	code := result.EndpointFailed
	if errors.Is(err, engine.ErrStalled) {
		code = result.EndpointTimeout
	}
	return &result.Error{Code: code, Ran: ran, Err: err, RetryAfter: defaultRetryAfter}
}

// reservePlain waits for capacity at an endpoint of the service.
func (f *Filter) reservePlain(ctx context.Context, in *PlainInput, exclude []string) (pool.Reservation, error) {
	w := reserveRequest{view: in.View, team: in.Team, priority: in.Priority, maxWait: f.spec.QueueWait, queries: []pool.Query{{Service: in.Service.Name, Exclude: exclude}}}
	w.refresh = func(w *reserveRequest) error {
		if in.Refresh == nil {
			return nil
		}
		view, service, err := in.Refresh()
		if err == nil {
			w.view, in.Service = view, service
		}
		return err
	}
	err := f.waitForCapacity(ctx, &w)
	return w.granted, err
}

// callOnce sends the call to a reserved endpoint. If it fails, the caller still holds the reservation.
func (f *Filter) callOnce(ctx context.Context, in PlainInput, r pool.Reservation) (*PlainAnswer, error) {
	if in.Detached {
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
	r.RecordHeader("", now.Sub(start), start)
	return &PlainAnswer{PlainResponse: resp, Endpoint: r.ID, filter: f, reservation: r, cancel: cancel, progressTimeout: in.Service.Timeouts.Progress, fingerprint: in.Fingerprint}, nil
}

// checkContent returns an error if too many endpoints crashed while they ran calls with this content.
func (f *Filter) checkContent(fingerprint uint64, ran result.Ran) error {
	ok, trial, wait := f.spec.Poison.Admit(fingerprint, f.spec.Now())
	if !ok {
		return refuseSuspect(wait, ran)
	}
	if trial && f.spec.OnCrash != nil {
		f.spec.OnCrash(poison.Record{Fingerprint: fingerprint, Trial: true})
	}
	return nil
}

// recordPlainCrash counts a crash against a call's content if the connection broke because the endpoint crashed.
func (f *Filter) recordPlainCrash(ctx context.Context, r *pool.Reservation, fingerprint uint64, err error) {
	if f.spec.IsDown != nil && !errors.Is(err, engine.ErrStalled) && f.isDown(ctx, r.Addr) {
		f.addCrash(poison.Record{Fingerprint: fingerprint, Crash: crashID(r.ID, r.Started)})
	}
}

// detach returns a context with the deadline of ctx that is not cancelled when the caller leaves.
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

// Read reads the body. It cancels the call if the service's progress timeout passes before there is data. The end of a body that ends with
// its connection is an error if the endpoint has crashed.
func (a *PlainAnswer) Read(p []byte) (int, error) {
	if a.err != nil {
		return 0, a.err
	}
	cancel := a.cancel // the runtime keeps a stopped timer until its time; it must not hold the response and its request
	timer := time.AfterFunc(a.progressTimeout, func() { cancel(engine.ErrStalled) })
	n, err := a.Body.Read(p)
	timer.Stop()
	f := a.filter
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF && a.Unframed && f.spec.IsDown != nil && f.isDown(context.Background(), a.reservation.Addr):
		err = io.ErrUnexpectedEOF
		f.addCrash(poison.Record{Fingerprint: a.fingerprint, Crash: crashID(a.reservation.ID, a.reservation.Started)})
	case err == io.EOF && a.Status < 500:
		f.sendCleared(f.spec.Poison.ClearAnswered(a.fingerprint, f.spec.Now()))
	case err != io.EOF:
		f.recordPlainCrash(context.Background(), &a.reservation, a.fingerprint, err)
	}
	a.err = err
	return n, err
}

// Close ends the call and releases its reservation. It must be called exactly once.
func (a *PlainAnswer) Close() {
	a.cancel(nil)
	a.Body.Close()
	err := a.err
	if err == io.EOF {
		err = nil
	}
	a.reservation.Release(poolOutcome(err), a.filter.spec.Now())
}
