package dispatch

import (
	"context"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/bramleytrail/bramleytrail/choose"
	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/poison"
	"github.com/bramleytrail/bramleytrail/result"
)

// Answer is the answer to one request. It hides failures of endpoints: events come once each and in order. It is used
// by one goroutine.
type Answer struct {
	filter *Filter
	in     Input
	ctx    context.Context

	room     room
	reserved bool
	stream   engine.Stream
	ctxCall  context.Context // context of stream
	cancel   context.CancelCauseFunc
	timer    *time.Timer // cancels stream when it makes no progress
	callID   string
	first    *engine.Event // read by start and not delivered yet
	lastSign time.Time     // the endpoint sent the newest event after this time

	calls              int             // at endpoints
	callsSinceProgress int             // calls since the last part of the answer
	exclude            []string        // endpoints that failed since the last part of the answer
	boot               string          // boot identity of the endpoint when the call began
	failedAt           time.Time       // when the last call failed
	opened             time.Time       // when the call in progress began
	firstByte          time.Duration   // of the call in progress
	crash              string          // the endpoint's crash that ended the call in progress
	crashRecorded      bool            // a crash was recorded since the last part of the answer
	text               strings.Builder // answer so far, to continue it at another endpoint
	seq                int64
	usage              engine.Usage
	finished           bool // the last event of the answer was read, but perhaps not the end of the stream
	done               bool
	ran                result.Ran
	served             *object.Version
	trace              []Attempt
}

// bufferedRead is the duration of a read from which the event was not in a buffer before the read began. Engines send a token
// every few tens of milliseconds, and reading a buffered one takes microseconds.
const bufferedRead = 5 * time.Millisecond

// Attempt records one endpoint that a request was sent to.
type Attempt struct {
	Endpoint string `json:"endpoint"`
	Version  string `json:"version"`
	Error    string `json:"error,omitempty"`
}

// Version returns the version that answers.
func (a *Answer) Version() *object.Version { return a.served }

// Usage returns the tokens of the answer so far. The engine's own counts replace the estimate at the end.
func (a *Answer) Usage() engine.Usage { return a.usage }

// Attempts returns the endpoints that the request was sent to.
func (a *Answer) Attempts() []Attempt { return a.trace }

// start sends the request until an endpoint gives the first event.
func (a *Answer) start() error {
	ev, err := a.advance()
	if errors.Is(err, io.EOF) {
		return &result.Error{Code: result.EndpointFailed, Ran: result.RunUnknown, Detail: "The answer is empty."}
	}
	if err != nil {
		return err
	}
	a.first = &ev
	return nil
}

// Next returns the next event, or io.EOF after the last one.
func (a *Answer) Next() (engine.Event, error) {
	if a.first != nil {
		ev := *a.first
		a.first = nil
		return ev, nil
	}
	return a.advance()
}

func (a *Answer) advance() (engine.Event, error) {
	for {
		if a.done || a.finished && a.stream == nil { // nothing is left to continue
			a.done = true
			return engine.Event{}, io.EOF
		}
		if a.stream == nil {
			if err := a.open(); err != nil {
				return engine.Event{}, err
			}
			continue // the attempt may have failed
		}
		ev, err := a.read()
		switch {
		case err == nil && ev.Seq <= a.seq:
			continue // a resumed stream repeated an event
		case err == nil:
			a.accept(ev)
			return ev, nil
		case err == io.EOF: // a broken stream wraps io.EOF
			a.done = true
			a.closeStream(nil)
			return engine.Event{}, io.EOF
		}
		if err := a.recover(err); err != nil {
			return engine.Event{}, err
		}
	}
}

func (a *Answer) accept(ev engine.Event) {
	if a.firstByte == 0 {
		a.firstByte = max(1, a.filter.spec.Now().Sub(a.opened))
	}
	a.seq = ev.Seq
	a.callsSinceProgress, a.exclude = 0, nil
	if a.crashRecorded { // a request that crashes endpoints gets no further at the next one
		a.crashRecorded = false
		a.filter.spec.Poison.Clear(a.in.Fingerprint, a.filter.spec.Now())
	}
	a.ran = result.RunDone
	a.finished = ev.FinishReason != ""
	a.text.WriteString(ev.Text)
	a.usage = engine.Usage{InputTokens: a.in.Tokens, OutputTokens: ev.Seq}
	if ev.Usage != nil {
		a.usage = *ev.Usage
	}
	a.room.Progress(a.stream.Boot(), a.lastSign)
}

// open reserves room and sends the request, or its continuation, to an endpoint.
func (a *Answer) open() error {
	if err := a.mayAttempt(); err != nil {
		return err
	}
	var begun *choose.Candidate
	if a.served != nil && a.seq > 0 {
		begun = &a.room.candidate
	}
	r, err := a.filter.reserve(a.ctx, &a.in, begun, a.exclude)
	if err != nil {
		return a.withRan(err)
	}
	a.room, a.reserved, a.served = r, true, r.candidate.Version
	a.boot = r.Boot()
	a.opened, a.firstByte, a.crash = a.filter.spec.Now(), 0, ""
	a.count()
	a.callID = callID(a.in.RequestID, a.calls)
	a.trace = append(a.trace, Attempt{Endpoint: r.ID, Version: r.candidate.Version.Name})
	req := engine.Request{
		ID: a.callID, Version: r.candidate.Version.Name, Body: a.in.Body, Priority: a.in.Priority,
		MaxTokens: a.in.MaxTokens, Prior: a.text.String(), PriorTokens: a.seq,
	}
	err = a.connect(r.timeouts.firstByte, func(ctx context.Context) (engine.Stream, error) {
		return a.filter.spec.Client.Stream(ctx, r.Addr, req)
	})
	if err != nil {
		return a.recover(err)
	}
	return nil
}

func (a *Answer) count() {
	a.calls++
	a.callsSinceProgress++
}

// mayAttempt checks the limits on attempts, crashes and retries.
func (a *Answer) mayAttempt() error {
	if a.filter.spec.Poison.Refused(a.in.Fingerprint, a.filter.spec.Now()) {
		return &result.Error{Code: result.PoisonRequest, Ran: a.ran}
	}
	if a.calls > 0 && !a.mayCall() {
		return a.exhausted()
	}
	return nil
}

// mayCall reports whether another call is allowed. The first calls after a part of the answer are free: an outage can't
// multiply them, since they follow progress, and the parts that the caller has would be worthless without the rest.
func (a *Answer) mayCall() bool {
	if a.calls >= maxCalls || a.callsSinceProgress >= maxAttempts {
		return false
	}
	return a.seq > 0 && a.callsSinceProgress < freeCalls || a.filter.budget.withdraw()
}

func (a *Answer) exhausted() error {
	code := result.EndpointFailed
	if a.seq > 0 {
		code = result.StreamBroken
	}
	return &result.Error{Code: code, Ran: a.ran, RetryAfter: fullRetry}
}

// connect opens a stream under a deadline for its response header.
func (a *Answer) connect(limit time.Duration, open func(context.Context) (engine.Stream, error)) error {
	ctx, cancel := context.WithCancelCause(a.ctx)
	timer := time.AfterFunc(limit, func() { cancel(engine.ErrStalled) })
	start := a.filter.spec.Now()
	s, err := open(ctx)
	if !timer.Stop() && err == nil {
		s.Close()
		err = engine.ErrStalled
	}
	if err != nil {
		err = a.cause(ctx, err)
		cancel(nil)
		return err
	}
	a.stream, a.ctxCall, a.cancel, a.timer = s, ctx, cancel, timer
	now := a.filter.spec.Now()
	a.room.Opened(s.Boot(), now.Sub(start), start)
	a.lastSign, a.boot = start, s.Boot()
	return nil
}

// read returns the next event under a progress deadline.
func (a *Answer) read() (engine.Event, error) {
	limit := a.room.timeouts.progress
	if a.seq == 0 {
		limit = a.room.timeouts.firstByte
	}
	a.timer.Reset(limit)
	start := a.filter.spec.Now()
	ev, err := a.stream.Next()
	a.timer.Stop()
	if a.filter.spec.Now().Sub(start) >= bufferedRead {
		a.lastSign = start
	}
	if err != nil && err != io.EOF {
		err = a.cause(a.ctxCall, err)
	}
	return ev, err
}

// cause replaces the error of a cancelled call by the reason for the cancellation.
func (a *Answer) cause(ctx context.Context, err error) error {
	if a.ctx.Err() != nil {
		return errCancelled
	}
	if c := context.Cause(ctx); errors.Is(c, engine.ErrStalled) {
		return engine.ErrStalled
	}
	return err
}

// recover handles a failed attempt. It returns nil if the answer can go on.
func (a *Answer) recover(err error) error {
	a.note(err)
	a.failedAt = a.filter.spec.Now()
	if errors.Is(err, errCancelled) {
		a.closeStream(err)
		return contextError(a.ctx, max(a.ran, result.RunUnknown)) // the endpoint may have the request
	}
	if errors.Is(err, engine.ErrRejected) {
		a.closeStream(err)
		return result.Wrap(result.EndpointRejected, a.ran, err)
	}
	if !errors.Is(err, engine.ErrUnreachable) && !errors.Is(err, engine.ErrBusy) {
		a.ran = max(a.ran, result.RunUnknown)
		switch a.rescue(err) {
		case resumed:
			return nil
		case refused:
			err = errCancelled // the endpoint is in order; only this stream is lost
		case crashed:
			if err := a.afterCrash(err); err != nil {
				return err
			}
			if a.in.Once {
				return a.exhausted()
			}
			return nil
		}
		if a.in.Once {
			a.closeStream(err)
			return a.exhausted()
		}
	}
	a.exclude = append(a.exclude, a.room.ID)
	a.closeStream(err)
	return nil
}

// resumption is the result of an attempt to resume a stream.
type resumption int

const (
	resumed resumption = iota
	refused            // the endpoint is in order and doesn't give the rest
	crashed            // the endpoint has started anew or is down since the connection broke
	unknown            // the endpoint does not respond, or reported a failure
)

// rescue resumes the stream unless the endpoint itself reported a failure.
func (a *Answer) rescue(cause error) resumption {
	if errors.Is(cause, engine.ErrFailed) {
		return unknown
	}
	return a.resume(cause)
}

// resume asks the same endpoint for the rest of the stream on a new connection, after a probe that tells a lost
// connection from a lost endpoint.
func (a *Answer) resume(cause error) resumption {
	ctx, cancel := context.WithTimeout(a.ctx, probeLimit)
	defer cancel()
	asked := a.filter.spec.Now()
	load, err := a.filter.spec.Client.Load(ctx, a.room.Addr)
	if err == nil {
		defer a.filter.spec.Pool.Report(a.room.ID, load, asked)
	}
	switch {
	case err == nil && load.Boot == a.boot:
	case errors.Is(cause, engine.ErrBroken):
		return crashed
	case err == nil:
		return crashed // it went silent and started anew
	default:
		return unknown
	}
	if !a.mayCall() {
		return refused
	}
	a.count()
	if a.stream != nil {
		a.cancel(nil)
		a.stream.Close()
		a.stream = nil
	}
	err = a.connect(probeLimit, func(ctx context.Context) (engine.Stream, error) {
		return a.filter.spec.Client.Resume(ctx, a.room.Addr, a.callID, a.seq)
	})
	if err != nil {
		return refused
	}
	return resumed
}

// afterCrash records the crash and gives the room back. A request without any part of its answer then waits, so that the
// answers in progress that the crash interrupted go on elsewhere before it runs again: if it is the cause of the crash,
// they are not there when it causes the next one.
func (a *Answer) afterCrash(err error) error {
	a.recordCrash()
	a.exclude = append(a.exclude, a.room.ID)
	a.closeStream(err)
	if a.seq > 0 {
		return nil
	}
	pause := crashPause + time.Duration(a.filter.spec.Rand()%uint64(crashPause))
	return sleep(a.ctx, pause, a.ran)
}

// recordCrash blames this request for a crash unless a request that ran in isolation is the cause.
func (a *Answer) recordCrash() {
	now := a.filter.spec.Now()
	if a.room.BesideSuspect(now) {
		return
	}
	r := poison.Record{Fingerprint: a.in.Fingerprint, Crash: a.room.ID + "/" + a.boot, Isolated: a.room.Isolated(now)}
	a.crashRecorded, a.crash = true, r.Crash
	if a.filter.spec.Poison.Add(r, now) {
		a.filter.spec.OnCrash(r)
	}
}

func (a *Answer) note(err error) { a.trace[len(a.trace)-1].Error = err.Error() }

// closeStream ends the attempt and gives its room back.
func (a *Answer) closeStream(err error) {
	if a.stream != nil {
		a.cancel(nil)
		a.stream.Close()
		a.stream, a.cancel = nil, nil
	}
	if a.reserved {
		a.reserved = false
		a.room.Release(outcomeOf(err), a.failedAt)
		a.reportCall(err)
	}
}

// reportCall reports the attempt, unless its outcome says nothing about the version.
func (a *Answer) reportCall(err error) {
	failed := errors.Is(err, engine.ErrFailed) || errors.Is(err, engine.ErrBroken) || errors.Is(err, engine.ErrStalled)
	if a.filter.spec.OnCall == nil || err != nil && !failed {
		return
	}
	a.filter.spec.OnCall(CallResult{
		RequestID: a.in.RequestID, Version: a.served.Name, Failed: failed, Crash: a.crash, FirstByte: a.firstByte,
	})
}

// withRan sets the run state of the attempts so far on an error of a later one.
func (a *Answer) withRan(err error) error {
	e := *result.From(err)
	e.Ran = max(e.Ran, a.ran)
	return &e
}

// Pause cancels the stream at the endpoint and gives its room back. Next continues the answer. An answer that may run
// only once is not paused.
func (a *Answer) Pause() {
	if a.stream == nil || a.in.Once {
		return
	}
	a.note(errPaused)
	a.cancelStream()
}

// Close ends the answer. An unfinished stream is cancelled at the endpoint.
func (a *Answer) Close() {
	if a.stream == nil {
		a.closeStream(errCancelled)
		return
	}
	a.cancelStream()
}

func (a *Answer) cancelStream() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(a.ctx), probeLimit)
	defer cancel()
	// The room is given back after the endpoint has ended the stream: until then the endpoint bears it, and a cold one
	// may not bear another request beside it. The closed connection ends the stream if the call fails.
	_ = a.filter.spec.Client.Cancel(ctx, a.room.Addr, a.callID)
	a.closeStream(errCancelled)
}
