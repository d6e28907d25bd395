package dispatch

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/poison"
)

// call is one model call at an endpoint. It is used by one goroutine at a time.
type call struct {
	filter *Filter
	ctx    context.Context // of the request, or of one side of a race
	leave  func()          // ends ctx; nil outside races
	lost   bool            // failed in a race that goes on

	room      room
	reserved  bool
	stream    engine.Stream
	ctxCall   context.Context // context of stream
	cancel    context.CancelCauseFunc
	timer     *time.Timer // cancels stream when it makes no progress
	callID    string
	attempt   int           // index in the trace
	lastSign  time.Time     // the endpoint sent the newest event after this time
	boot      string        // boot identity of the endpoint when the call began
	failedAt  time.Time     // when the call failed
	opened    time.Time     // when the call began
	firstByte time.Duration // time to the first token, 0 if there was none
	crash     string        // the endpoint's crash that ended the call
}

// bufferedRead is the duration of a read from which the event was not in a buffer before the read began. Engines send a token
// every few tens of milliseconds, and reading a buffered one takes microseconds.
const bufferedRead = 5 * time.Millisecond

// send opens the stream of a request.
func (c *call) send(req engine.Request) error {
	return c.connect(c.room.timeouts.firstByte, func(ctx context.Context) (engine.Stream, error) {
		return c.filter.spec.Client.Stream(ctx, c.room.Addr, req)
	})
}

// connect opens a stream under a deadline for its response header.
func (c *call) connect(limit time.Duration, open func(context.Context) (engine.Stream, error)) error {
	ctx, cancel := context.WithCancelCause(c.ctx)
	timer := time.AfterFunc(limit, func() { cancel(engine.ErrStalled) })
	start := c.filter.spec.Now()
	s, err := open(ctx)
	if !timer.Stop() && err == nil {
		s.Close()
		err = engine.ErrStalled
	}
	if err != nil {
		err = c.cause(ctx, err)
		cancel(nil)
		return err
	}
	c.stream, c.ctxCall, c.cancel, c.timer = s, ctx, cancel, timer
	now := c.filter.spec.Now()
	c.room.Opened(s.Boot(), now.Sub(start), start)
	c.lastSign, c.boot = start, s.Boot()
	return nil
}

// next returns the next event under a progress deadline.
func (c *call) next(limit time.Duration) (engine.Event, error) {
	c.timer.Reset(limit)
	start := c.filter.spec.Now()
	ev, err := c.stream.Next()
	c.timer.Stop()
	if c.filter.spec.Now().Sub(start) >= bufferedRead {
		c.lastSign = start
	}
	if err != nil && err != io.EOF {
		err = c.cause(c.ctxCall, err)
	}
	return ev, err
}

// cause replaces the error of a cancelled call by the reason for the cancellation.
func (c *call) cause(ctx context.Context, err error) error {
	if c.ctx.Err() != nil {
		return errCancelled
	}
	if cause := context.Cause(ctx); errors.Is(cause, engine.ErrStalled) {
		return engine.ErrStalled
	}
	return err
}

// probe tells a lost connection from a lost endpoint. It returns resumed if the endpoint still runs as it did.
func (c *call) probe(cause error) resumption {
	ctx, cancel := context.WithTimeout(c.ctx, probeLimit)
	defer cancel()
	asked := c.filter.spec.Now()
	load, err := c.filter.spec.Client.Load(ctx, c.room.Addr)
	if err == nil {
		defer c.filter.spec.Pool.Report(c.room.ID, load, asked)
	}
	switch {
	case err == nil && load.Boot == c.boot:
		return resumed
	case errors.Is(cause, engine.ErrBroken):
		return crashed
	case err == nil:
		return crashed // it went silent and started anew
	default:
		return unknown
	}
}

// recordCrash blames a request for the crash that ended the call. It returns false if a request that ran in isolation
// is the cause.
func (c *call) recordCrash(fingerprint uint64) bool {
	now := c.filter.spec.Now()
	if c.room.BesideSuspect(now) {
		return false
	}
	r := poison.Record{Fingerprint: fingerprint, Crash: c.room.ID + "/" + c.boot, Isolated: c.room.Isolated(now)}
	c.crash = r.Crash
	if c.filter.spec.Poison.Add(r, now) {
		c.filter.spec.OnCrash(r)
	}
	return true
}

// closeStream ends the call and gives its room back.
func (c *call) closeStream(request string, err error) {
	if c.stream != nil {
		c.cancel(nil)
		c.stream.Close()
		c.stream, c.cancel = nil, nil
	}
	if c.leave != nil {
		c.leave()
	}
	if c.reserved {
		c.reserved = false
		c.room.Release(outcomeOf(err), c.failedAt)
		c.report(request, err)
	}
}

// cancelStream ends the call at the endpoint. The room is given back after the endpoint has ended the stream: until then
// the endpoint bears it, and a cold one may not bear another request beside it. The closed connection ends the stream if
// the cancellation fails.
func (c *call) cancelStream(request string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), probeLimit)
	defer cancel()
	_ = c.filter.spec.Client.Cancel(ctx, c.room.Addr, c.callID)
	c.closeStream(request, errCancelled)
}

// report reports the call, unless its outcome says nothing about the version.
func (c *call) report(request string, err error) {
	failed := errors.Is(err, engine.ErrFailed) || errors.Is(err, engine.ErrBroken) || errors.Is(err, engine.ErrStalled)
	if c.filter.spec.OnCall == nil || err != nil && !failed {
		return
	}
	c.filter.spec.OnCall(CallResult{
		RequestID: request, Version: c.room.candidate.Version.Name, Failed: failed, Crash: c.crash, FirstByte: c.firstByte,
	})
}
