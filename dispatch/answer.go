package dispatch

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleytrail/bramleytrail/cachemove"
	"github.com/bramleytrail/bramleytrail/choose"
	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/result"
)

// Answer is the answer to one request. It hides failures of endpoints: events come once each and in order. It is used
// by one goroutine.
type Answer struct {
	filter *Filter
	in     Input
	ctx    context.Context

	*call               // newest one that is not abandoned
	held  *outcome      // read by a race and not processed yet
	first *engine.Event // read by start and not delivered yet

	calls              int             // at endpoints
	callsSinceProgress int             // calls since the last part of the answer
	exclude            []string        // endpoints that failed since the last part of the answer
	crashRecorded      bool            // a crash was recorded since the last part of the answer
	text               strings.Builder // answer so far, to continue it at another endpoint
	seq                int64
	usage              engine.Usage
	finished           bool // the last event of the answer was read, but perhaps not the end of the stream
	done               bool
	ran                result.Ran
	served             *object.Version
	trace              []Attempt
	moved              *cachemove.Report // what became of the session's KV cache; nil before that is decided
	answered           atomic.Bool       // some part of the answer was read
	discards           sync.WaitGroup    // failed calls of races that are looked into
}

// Attempt records one endpoint that a request was sent to.
type Attempt struct {
	Endpoint string `json:"endpoint"`
	Version  string `json:"version"`
	Error    string `json:"error,omitempty"`
	// Cache says for the first attempt whether the session's KV cache was moved, and why or why not.
	Cache *cachemove.Report `json:"cache,omitempty"`
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
		if a.seq == 0 && a.leave == nil { // a race observes its own
			a.filter.firstTokens.observe(a.served.Name, a.firstByte)
		}
		a.learnPrefill()
	}
	a.seq = ev.Seq
	a.answered.Store(true)
	a.callsSinceProgress, a.exclude = 0, nil
	if a.crashRecorded { // a request that crashes endpoints gets no further at the next one
		a.crashRecorded = false
		a.filter.spec.OnClear(a.filter.spec.Poison.Clear(a.in.Fingerprint, a.filter.spec.Now()))
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
	a.discards.Wait() // a crash has to be known before the request runs again
	if err := a.mayAttempt(); err != nil {
		return err
	}
	var begun *choose.Candidate
	if a.served != nil && a.seq > 0 {
		begun = &a.room.candidate
	}
	r, err := a.reserve(begun)
	if err != nil {
		return withRan(err, a.ran)
	}
	a.served = r.candidate.Version
	req := a.begin(r)
	if limit, ok := a.hedgeAfter(); ok {
		err = a.race(req, limit)
	} else {
		err = a.send(req)
	}
	if err != nil {
		return a.recover(err)
	}
	return nil
}

// begin makes a call at a reserved endpoint the newest one and returns its request.
func (a *Answer) begin(r room) engine.Request {
	a.count()
	a.call = &call{filter: a.filter, ctx: a.ctx, room: r, reserved: true, boot: r.Boot(), opened: a.filter.spec.Now(),
		callID: callID(a.in.RequestID, a.calls), attempt: len(a.trace)}
	a.trace = append(a.trace, Attempt{Endpoint: r.ID, Version: r.candidate.Version.Name, Cache: a.cacheReport()})
	return engine.Request{
		ID: a.callID, Version: r.candidate.Version.Name, Body: a.in.Body, Priority: a.in.Priority,
		MaxTokens: a.in.MaxTokens, Prior: a.text.String(), PriorTokens: a.seq, Session: a.cacheName(r),
	}
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

// read returns the next event under a progress deadline.
func (a *Answer) read() (engine.Event, error) {
	if h := a.held; h != nil {
		a.held = nil
		return h.event, h.err
	}
	limit := a.room.timeouts.progress
	if a.seq == 0 {
		limit = a.room.timeouts.firstByte
	}
	return a.call.next(limit)
}

// recover handles a failed attempt. It returns nil if the answer can go on.
func (a *Answer) recover(err error) error {
	a.note(err)
	a.cacheLost(err)
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
	if r := a.probe(cause); r != resumed {
		return r
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
	err := a.connect(probeLimit, func(ctx context.Context) (engine.Stream, error) {
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

// recordCrash blames this request for the crash that ended the call unless a request that ran in isolation is the cause.
func (a *Answer) recordCrash() {
	a.crashRecorded = a.call.recordCrash(a.in.Fingerprint) || a.crashRecorded
}

func (a *Answer) note(err error) { a.trace[a.attempt].Error = err.Error() }

// withRan sets the run state of the attempts so far on an error of a later one.
func withRan(err error, ran result.Ran) error {
	e := *result.From(err)
	e.Ran = max(e.Ran, ran)
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
	a.call.cancelStream(a.in.RequestID)
}

// closeStream ends the newest call and gives its room back.
func (a *Answer) closeStream(err error) { a.call.closeStream(a.in.RequestID, err) }
