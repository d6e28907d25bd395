package dispatch

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleytrail/bramleytrail/cachemove"
	"github.com/bramleytrail/bramleytrail/choose"
	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/pool"
	"github.com/bramleytrail/bramleytrail/result"
)

// Answer is the streamed answer to one request. It hides failures of endpoints: each event is delivered once and in
// order. It must be used by one goroutine at a time and be closed.
type Answer struct {
	filter *Filter
	in     Input
	ctx    context.Context

	*call                    // newest call that was not abandoned
	winner     *raceResult   // result of a race's winning call that was not processed yet
	firstEvent *engine.Event // read by start and not delivered yet

	callCount          int      // calls to endpoints, including resumptions and hedges
	callsSinceProgress int      // calls since the last part of the answer
	exclude            []string // IDs of the endpoints that failed since the last part of the answer
	crashRecorded      bool     // a crash was, or may be, recorded since the last part of the answer
	text               keptText
	seq                int64 // sequence number of the last event read
	usage              engine.Usage
	finished           bool // the last event was read, but perhaps not the end of the stream
	done               bool // the answer is complete
	ran                result.Ran
	served             *object.Version // version of the newest call; nil before the first one
	attempts           []Attempt
	cacheMove          *cachemove.Report // outcome of the cache move; nil before it is decided
	receivedEvent      atomic.Bool       // at least one event was read
	survival           survival          // of the newest call
	crashProbes        sync.WaitGroup    // probes of endpoints whose calls failed in a race
}

// Attempt records a call to an endpoint for operators.
type Attempt struct {
	Endpoint string `json:"endpoint"`
	Version  string `json:"version"`
	Error    string `json:"error,omitempty"`
	// Cache reports for the first attempt whether the session's KV cache was moved, and why or why not.
	Cache *cachemove.Report `json:"cache,omitempty"`
}

// Version returns the model version that answers.
func (a *Answer) Version() *object.Version { return a.served }

// Usage returns the tokens used so far. It is an estimate until the engine reports its own counts with the last event.
func (a *Answer) Usage() engine.Usage { return a.usage }

// Attempts returns the calls to endpoints so far, in their order. The caller must not change them.
func (a *Answer) Attempts() []Attempt { return a.attempts }

// start sends the request to endpoints until one returns the first event.
func (a *Answer) start() error {
	ev, err := a.nextEvent()
	if errors.Is(err, io.EOF) {
		return &result.Error{Code: result.EndpointFailed, Ran: result.RunUnknown, Detail: "The answer is empty."}
	}
	if err != nil {
		return err
	}
	a.firstEvent = &ev
	return nil
}

// Next returns the next event, or io.EOF after the last one. Other errors are *result.Error values and end the answer.
func (a *Answer) Next() (engine.Event, error) {
	if a.firstEvent != nil {
		ev := *a.firstEvent
		a.firstEvent = nil
		return ev, nil
	}
	return a.nextEvent()
}

// nextEvent reads the next event and resumes or continues the answer as often as the limits on calls allow.
func (a *Answer) nextEvent() (engine.Event, error) {
	for {
		if a.done || a.finished && a.stream == nil { // the answer is complete even if its stream broke
			a.complete()
			return engine.Event{}, io.EOF
		}
		if a.stream == nil {
			if err := a.openStream(); err != nil {
				return engine.Event{}, err
			}
			continue // a.stream is still nil if the call failed
		}
		ev, err := a.readEvent()
		switch {
		case err == nil && ev.Seq <= a.seq:
			continue // a resumed stream repeated an event
		case err == nil:
			a.recordEvent(ev)
			return ev, nil
		case err == io.EOF: // a broken stream wraps io.EOF
			a.complete()
			a.closeStream(nil)
			return engine.Event{}, io.EOF
		}
		if err := a.recover(err); err != nil {
			return engine.Event{}, err
		}
	}
}

// complete records that the answer is complete.
func (a *Answer) complete() {
	if !a.done && a.finished {
		a.filter.sendCleared(a.filter.soundParts(a.in.Team, a.in.Parts))
	}
	a.done = true
}

// recordEvent updates the answer, the endpoint's state and the latency statistics with an event that was read.
func (a *Answer) recordEvent(ev engine.Event) {
	if a.timeToFirstToken == 0 {
		a.timeToFirstToken = max(1, a.filter.spec.Now().Sub(a.startedAt))
		if a.seq == 0 && a.cancelCtx == nil { // finishRace observes those of races
			a.filter.firstTokenTimes.observe(a.served.Name, a.timeToFirstToken)
		}
		a.observePrefill()
	}
	a.seq = ev.Seq
	a.receivedEvent.Store(true)
	a.callsSinceProgress, a.exclude = 0, nil
	if a.crashRecorded { // a request that causes crashes would not make progress at the next endpoint
		a.crashRecorded = false
		a.filter.spec.OnClear(a.filter.spec.Poison.Clear(a.in.Fingerprint, a.filter.spec.Now()))
	}
	a.survival.progress(a.filter, a.in.Team, a.in.Parts, a.filter.spec.Now())
	a.ran = result.DidRun
	a.finished = ev.FinishReason != ""
	a.text.add(ev.Text)
	a.usage = engine.Usage{InputTokens: a.in.Tokens, OutputTokens: ev.Seq}
	if ev.Usage != nil {
		a.usage = *ev.Usage
	}
	a.reservation.RecordProgress(a.stream.Boot(), a.sentAfter)
}

// openStream reserves capacity at an endpoint and sends the request, or its continuation, there. It returns nil after a
// failure from which the answer can recover; the stream is then still nil.
func (a *Answer) openStream() error {
	a.crashProbes.Wait() // a crash must be recorded before the request runs again
	if err := a.checkAttempt(); err != nil {
		return err
	}
	var servedBy *choose.Candidate
	if a.served != nil && a.seq > 0 {
		servedBy = &a.reservation.candidate
	}
	r, err := a.reserve(servedBy)
	if err != nil {
		return withRan(err, a.ran)
	}
	if err := a.filter.admitParts(a.ctx, a.in.Parts, a.ran); err != nil {
		r.Release(pool.Cancelled, a.filter.spec.Now())
		return err
	}
	a.served = r.candidate.Version
	req := a.beginCall(r)
	if delay, ok := a.hedgeAfter(); ok {
		err = a.race(req, delay)
	} else {
		err = a.send(req)
	}
	if err != nil {
		return a.recover(err)
	}
	return nil
}

// beginCall makes a call at a reserved endpoint the newest one and returns the request to send.
func (a *Answer) beginCall(r reservation) engine.Request {
	a.countCall()
	a.survival = survival{}
	a.call = &call{filter: a.filter, ctx: a.ctx, reservation: r, reserved: true, boot: r.Boot(), startedAt: a.filter.spec.Now(),
		callID: callID(a.in.RequestID, a.callCount), attempt: len(a.attempts)}
	a.attempts = append(a.attempts, Attempt{Endpoint: r.ID, Version: r.candidate.Version.Name, Cache: a.cacheReport()})
	return engine.Request{
		ID: a.callID, Version: r.candidate.Version.Name, Body: a.in.Body, Priority: a.in.Priority,
		MaxTokens: a.in.MaxTokens, PriorText: a.text.String(), PriorTokens: a.seq, Session: a.cacheName(r),
	}
}

func (a *Answer) countCall() {
	a.callCount++
	a.callsSinceProgress++
}

// checkAttempt returns an error if another attempt is forbidden by the limits on crashes, calls or retries, or has no text to go on from.
func (a *Answer) checkAttempt() error {
	if a.text.lost {
		return &result.Error{Code: result.StreamBroken, Ran: a.ran, Detail: "There was no memory to keep the answer for another endpoint.", RetryAfter: defaultRetryAfter}
	}
	if a.filter.spec.Poison.Refused(a.in.Fingerprint, a.filter.spec.Now()) {
		return &result.Error{Code: result.PoisonRequest, Ran: a.ran}
	}
	if err := a.filter.checkParts(a.in.Parts, a.ran); err != nil {
		return err
	}
	if a.callCount > 0 && !a.mayCall() {
		return a.exhaustedError()
	}
	return nil
}

// mayCall reports whether another call is allowed, and charges the retry budget for it. The first calls after a part of
// the answer are not charged: since they follow progress, an outage can't multiply them, and without the rest of the
// answer the caller could not use the parts that it has.
func (a *Answer) mayCall() bool {
	if a.callCount >= maxCalls || a.callsSinceProgress >= maxAttempts {
		return false
	}
	return a.seq > 0 && a.callsSinceProgress < unbudgetedCalls || a.filter.budget.withdraw()
}

func (a *Answer) exhaustedError() error {
	code := result.EndpointFailed
	if a.seq > 0 {
		code = result.StreamBroken
	}
	return &result.Error{Code: code, Ran: a.ran, RetryAfter: defaultRetryAfter}
}

// readEvent returns the next event of the call, or engine.ErrStalled if there is none within the service's timeout.
func (a *Answer) readEvent() (engine.Event, error) {
	if r := a.winner; r != nil {
		a.winner = nil
		return r.event, r.err
	}
	timeout := a.reservation.timeouts.progress
	if a.seq == 0 {
		timeout = a.reservation.timeouts.firstByte
	}
	return a.call.next(timeout)
}

// recover handles the failure of the newest call. It returns nil if the answer can continue, on a resumed stream or
// with another call.
func (a *Answer) recover(err error) error {
	a.recordError(err)
	a.reportCacheSourceFailure(err)
	a.failedAt = a.filter.spec.Now()
	if errors.Is(err, errCancelled) {
		a.closeStream(err)
		return contextError(a.ctx, max(a.ran, result.RunUnknown)) // the endpoint may have received the request
	}
	if errors.Is(err, engine.ErrRejected) {
		a.closeStream(err)
		return result.Wrap(result.EndpointRejected, a.ran, err)
	}
	if !errors.Is(err, engine.ErrUnreachable) && !errors.Is(err, engine.ErrBusy) {
		a.ran = max(a.ran, result.RunUnknown)
		switch a.tryResume(err) {
		case resumeOK:
			return nil
		case resumeRefused:
			err = errCancelled // the endpoint is healthy, only this stream is lost
		case resumeCrashed:
			if err := a.handleCrash(err); err != nil {
				return err
			}
			if a.in.AtMostOnce {
				return a.exhaustedError()
			}
			return nil
		}
		if a.in.AtMostOnce {
			a.closeStream(err)
			return a.exhaustedError()
		}
	}
	a.exclude = append(a.exclude, a.reservation.ID)
	a.closeStream(err)
	return nil
}

// resumeOutcome is the result of an attempt to resume a stream, or of the probe before it.
type resumeOutcome int

const (
	resumeOK      resumeOutcome = iota
	resumeRefused               // the endpoint is healthy but does not resume the stream, or no further call is allowed
	resumeCrashed               // the endpoint has restarted or is down since the connection broke
	resumeUnknown               // the endpoint does not respond, or reported a failure
)

// tryResume resumes the stream unless the endpoint itself reported a failure.
func (a *Answer) tryResume(cause error) resumeOutcome {
	if errors.Is(cause, engine.ErrFailed) {
		return resumeUnknown
	}
	return a.resume(cause)
}

// resume requests the rest of the stream from the same endpoint on a new connection, if a probe finds that only the
// connection was lost.
func (a *Answer) resume(cause error) resumeOutcome {
	if r := a.probe(cause); r != resumeOK {
		return r
	}
	if !a.mayCall() {
		return resumeRefused
	}
	a.countCall()
	if a.stream != nil {
		a.cancel(nil)
		a.stream.Close()
		a.stream = nil
	}
	err := a.connect(probeTimeout, func(ctx context.Context) (engine.Stream, error) {
		return a.filter.spec.Client.Resume(ctx, a.reservation.Addr, a.callID, a.seq)
	})
	if err != nil {
		return resumeRefused
	}
	return resumeOK
}

// handleCrash records the crash and releases the reservation. A request whose answer has not begun then backs off until
// the other answers that the crash interrupted continue at other endpoints: if the request caused the crash, they are
// not interrupted by the next one, too.
func (a *Answer) handleCrash(err error) error {
	a.recordCrash()
	a.exclude = append(a.exclude, a.reservation.ID)
	a.closeStream(err)
	if a.seq > 0 {
		return nil
	}
	backoff := minCrashBackoff + time.Duration(a.filter.spec.Rand()%uint64(minCrashBackoff))
	return sleep(a.ctx, backoff, a.ran)
}

// recordCrash counts the crash that ended the call against this request, unless another request that ran in isolation
// caused it.
func (a *Answer) recordCrash() {
	a.crashRecorded = a.call.recordCrash(&a.in) || a.crashRecorded
}

func (a *Answer) recordError(err error) { a.attempts[a.attempt].Error = err.Error() }

// withRan returns err with a run state that covers earlier attempts, whose state is ran.
func withRan(err error, ran result.Ran) error {
	e := *result.From(err)
	e.Ran = max(e.Ran, ran)
	return &e
}

// Pause cancels the stream at the endpoint and releases its capacity while the caller does not read. Next continues the
// answer with another call. An answer that may run at most once is not paused.
func (a *Answer) Pause() {
	if a.stream == nil || a.in.AtMostOnce {
		return
	}
	a.recordError(errPaused)
	a.cancelStream()
}

// Close ends the answer and releases its reservation. An unfinished stream is cancelled at the endpoint.
func (a *Answer) Close() {
	if a.stream == nil {
		a.closeStream(errCancelled)
		return
	}
	a.cancelStream()
}

func (a *Answer) cancelStream() {
	a.call.cancelStream(a.in.RequestID)
}

// closeStream ends the newest call with err and releases its reservation.
func (a *Answer) closeStream(err error) { a.call.closeStream(a.in.RequestID, err) }
