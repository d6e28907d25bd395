package dispatch

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/keyed"
	"github.com/bramleytrail/bramleytrail/poison"
)

// call is one model call at an endpoint. It is used by one goroutine at a time.
type call struct {
	filter       *Filter
	ctx          context.Context // of the request, or of this call alone in a race
	cancelCtx    func()          // cancels ctx; nil outside races
	failedInRace bool            // the call failed and the other one of its race is still in progress

	reservation      reservation
	reserved         bool // reservation is held
	stream           engine.Stream
	streamCtx        context.Context         // context of stream
	cancel           context.CancelCauseFunc // cancels streamCtx
	progressTimer    *time.Timer             // cancels stream if it makes no progress
	callID           string
	attempt          int       // index in Answer.attempts
	sentAfter        time.Time // lower bound of the time at which the endpoint sent the newest event
	boot             string    // boot ID of the endpoint when the call began
	failedAt         time.Time
	startedAt        time.Time
	timeToFirstToken time.Duration // 0 if there was no token
	crashID          string        // endpoint and boot ID of the crash that ended the call, or empty
}

// minUnbufferedRead is the duration of a read from which on its event was not buffered when the read began. Engines
// send a token every few tens of milliseconds, and reading a buffered one takes microseconds.
const minUnbufferedRead = 5 * time.Millisecond

// send sends a request and opens its stream.
func (c *call) send(req engine.Request) error {
	return c.connect(c.reservation.timeouts.firstByte, func(ctx context.Context) (engine.Stream, error) {
		return c.filter.spec.Client.Stream(ctx, c.reservation.Addr, req)
	})
}

// connect opens a stream with a timeout for its response header. It returns engine.ErrStalled after the timeout and
// errCancelled if the request was cancelled.
func (c *call) connect(timeout time.Duration, open func(context.Context) (engine.Stream, error)) error {
	ctx, cancel := context.WithCancelCause(c.ctx)
	progressTimer := time.AfterFunc(timeout, func() { cancel(engine.ErrStalled) })
	start := c.filter.spec.Now()
	s, err := open(ctx)
	if !progressTimer.Stop() && err == nil {
		s.Close()
		err = engine.ErrStalled
	}
	if err != nil {
		err = c.cause(ctx, err)
		cancel(nil)
		return err
	}
	c.stream, c.streamCtx, c.cancel, c.progressTimer = s, ctx, cancel, progressTimer
	now := c.filter.spec.Now()
	c.reservation.RecordHeader(s.Boot(), now.Sub(start), start)
	c.sentAfter, c.boot = start, s.Boot()
	return nil
}

// next returns the next event, or engine.ErrStalled if there is none within the timeout.
func (c *call) next(timeout time.Duration) (engine.Event, error) {
	c.progressTimer.Reset(timeout)
	start := c.filter.spec.Now()
	ev, err := c.stream.Next()
	c.progressTimer.Stop()
	if c.filter.spec.Now().Sub(start) >= minUnbufferedRead {
		c.sentAfter = start
	}
	if err != nil && err != io.EOF {
		err = c.cause(c.streamCtx, err)
	}
	return ev, err
}

// cause returns the reason for the cancellation if the call was cancelled, and err otherwise.
func (c *call) cause(ctx context.Context, err error) error {
	if c.ctx.Err() != nil {
		return errCancelled
	}
	if cause := context.Cause(ctx); errors.Is(cause, engine.ErrStalled) {
		return engine.ErrStalled
	}
	return err
}

// probe reads the endpoint's load report to distinguish a lost connection from a lost endpoint. It returns resumeOK
// if the endpoint has not restarted since the call began.
func (c *call) probe(cause error) resumeOutcome {
	ctx, cancel := context.WithTimeout(c.ctx, probeTimeout)
	defer cancel()
	asked := c.filter.spec.Now()
	load, err := c.filter.spec.Client.Load(ctx, c.reservation.Addr)
	if err == nil {
		defer c.filter.spec.Pool.RecordLoad(c.reservation.ID, load, asked)
	}
	switch {
	case err == nil && load.Boot == c.boot:
		return resumeOK
	case errors.Is(cause, engine.ErrBroken):
		return resumeCrashed
	case err == nil:
		return resumeCrashed // it stalled and restarted
	default:
		return resumeUnknown
	}
}

// recordCrash counts the crash that ended the call against the content and the prompt's parts of its request, and notifies the other
// daemons. It returns false if the content did not count, because another request that ran in isolation caused the crash.
func (c *call) recordCrash(in *Input) bool {
	now := c.filter.spec.Now()
	r := poison.Record{
		Crash: c.reservation.ID + "/" + c.boot, Team: keyed.OwnerOf(in.Team), Request: xxhash.Sum64String(in.RequestID), Parts: c.filter.spec.Poison.Parts.Suspicious(in.Parts),
		Ran: now.Sub(c.startedAt),
	}
	counts := !c.reservation.BesideSuspect(now)
	if counts {
		r.Fingerprint, r.Isolated = in.Fingerprint, c.reservation.Isolated(now)
		c.crashID = r.Crash
	}
	if (counts || len(r.Parts) > 0) && c.filter.spec.Poison.Add(r, now) {
		c.filter.spec.OnCrash(r)
	}
	return counts
}

// closeStream ends the call with err, releases its reservation and reports the call.
func (c *call) closeStream(request string, err error) {
	if c.stream != nil {
		c.cancel(nil)
		c.stream.Close()
		c.stream, c.cancel = nil, nil
	}
	if c.cancelCtx != nil {
		c.cancelCtx()
	}
	if c.reserved {
		c.reserved = false
		c.reservation.Release(poolOutcome(err), c.failedAt)
		c.reportResult(request, err)
	}
}

// cancelStream cancels the call at the endpoint. The reservation is released only after the endpoint has ended the
// stream: until then the stream loads the endpoint, and a cold endpoint may not cope with another request at the same
// time. If the cancellation fails, the closed connection ends the stream.
func (c *call) cancelStream(request string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), probeTimeout)
	defer cancel()
	_ = c.filter.spec.Client.Cancel(ctx, c.reservation.Addr, c.callID)
	c.closeStream(request, errCancelled)
}

// reportResult passes the result of the call to OnCall, unless it says nothing about the version.
func (c *call) reportResult(request string, err error) {
	failed := errors.Is(err, engine.ErrFailed) || errors.Is(err, engine.ErrBroken) || errors.Is(err, engine.ErrStalled)
	if c.filter.spec.OnCall == nil || err != nil && !failed {
		return
	}
	c.filter.spec.OnCall(CallResult{
		RequestID: request, Version: c.reservation.candidate.Version.Name, Failed: failed, Crash: c.crashID, FirstByte: c.timeToFirstToken,
	})
}
