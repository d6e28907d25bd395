package pipeline

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/bramleytrail/bramleytrail/relay"
	"github.com/bramleytrail/bramleytrail/result"
)

// relay sends the answer to the caller: event by event if it is a stream, else in pieces as they arrive.
func (s *routedStages) relay(ctx context.Context) error {
	s.setStage(StageRelay)
	if s.answer.Status != http.StatusOK || !s.route.Stream {
		return s.relayBody(ctx)
	}
	return s.relayEvents(ctx)
}

// beginAnswer sends the status and header. The header has a Content-Length if the length of the answer is known, except for
// routes with streams. A status that promises that the request has not run is not sent, since the endpoint may have run it.
func (s *routedStages) beginAnswer() error {
	if result.PromisesNotRun(s.answer.Status) {
		return &result.Error{Code: result.EndpointFailed, Ran: result.RunUnknown, Err: fmt.Errorf("status %d of an endpoint that may have run the request", s.answer.Status)}
	}
	h := s.answer.Header
	if s.answer.Length >= 0 && !s.route.Stream {
		h.Set("Content-Length", strconv.FormatInt(s.answer.Length, 10))
	}
	if err := s.caller.Begin(s.answer.Status, h); err != nil {
		s.answer.MarkCancelled()
		return &result.Error{Code: result.CallerGone, Ran: result.DidRun, Err: err}
	}
	return nil
}

// relayBody sends an answer that is not a stream. It reads the start of the body before it sends the header, so that a
// request whose answer breaks off early can be retried.
func (s *routedStages) relayBody(ctx context.Context) error {
	for {
		head, err := prefetch(s.answer.Body)
		if err == nil || err == io.EOF {
			if err := s.beginAnswer(); err != nil {
				return err
			}
			return s.relayFrom(ctx, head, err == io.EOF)
		}
		if err := s.retry(ctx, err); err != nil {
			return err
		}
	}
}

// prefetchBytes is the number of bytes of an answer that are read before its header is sent.
const prefetchBytes = 8 << 10

// prefetch reads up to prefetchBytes bytes. It returns io.EOF if they are the complete body. io.ReadFull can't be used, as it
// returns io.ErrUnexpectedEOF for a short body as well as for one that was truncated.
func prefetch(r io.Reader) ([]byte, error) {
	head := make([]byte, 0, prefetchBytes)
	for len(head) < cap(head) {
		n, err := r.Read(head[len(head):cap(head)])
		head = head[:len(head)+n]
		if err != nil {
			return head, err
		}
	}
	return head, nil
}

// retry asks another endpoint for an answer after the current one failed with cause before any of it was sent to the caller.
// It fails if the request must not be repeated.
func (s *routedStages) retry(ctx context.Context, cause error) error {
	if ctx.Err() != nil {
		s.answer.MarkCancelled()
		return s.contextError(ctx)
	}
	s.answer.Fail(cause)
	if !s.route.MayRepeat() {
		return &result.Error{Code: result.EndpointFailed, Ran: result.RunUnknown, Err: cause}
	}
	next, err := s.exchange.Do(s.modelName(), s.r.Meta.LastEventID)
	if err != nil {
		return err
	}
	next.CountRun()
	s.answer = next
	return nil
}

// relayFrom sends head and then the rest of the body; complete says that head is the complete body.
func (s *routedStages) relayFrom(ctx context.Context, head []byte, complete bool) error {
	if _, err := s.caller.Write(head); err != nil {
		s.answer.MarkCancelled()
		return &result.Error{Code: result.CallerGone, Ran: result.DidRun, Err: err}
	}
	if !complete {
		if _, err := io.Copy(callerWriter{measuredCaller{s.caller, &s.backlog}}, s.answer.Body); err != nil {
			return s.abortAnswer(ctx, err)
		}
	}
	return s.endAnswer()
}

// endAnswer completes the body.
func (s *routedStages) endAnswer() error {
	s.answer.Complete()
	if err := s.caller.End(); err != nil {
		return &result.Error{Code: result.CallerGone, Ran: result.DidRun, Err: err}
	}
	return nil
}

// callerWriter wraps errors of writes to the caller in errCallerWrite, to distinguish them from errors of reading the
// answer. It hides the other methods of the caller from io.Copy.
type callerWriter struct{ relay.Caller }

// Write implements io.Writer.
func (w callerWriter) Write(p []byte) (int, error) {
	n, err := w.Caller.Write(p)
	if err != nil {
		err = fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	return n, err
}

// errCallerWrite is wrapped by the errors of writes to the caller.
var errCallerWrite = errors.New("write answer to caller")

// abortAnswer ends an answer that failed with err after a part of it was sent, and returns the error of the request. Only a
// failure that is neither the caller's nor due to the end of ctx counts as one of the endpoint.
func (s *routedStages) abortAnswer(ctx context.Context, err error) error {
	if errors.Is(err, errCallerWrite) {
		s.answer.MarkCancelled()
		return &result.Error{Code: result.CallerGone, Ran: result.DidRun, Err: err}
	}
	if ctx.Err() != nil {
		s.answer.MarkCancelled()
		return s.contextError(ctx)
	}
	s.failAnswer(err)
	return &result.Error{Code: result.StreamBroken, Ran: result.DidRun, Err: err}
}

// failAnswer closes an answer that failed with err. The endpoint has not failed if it gave the answer up because the caller was slow.
func (s *routedStages) failAnswer(err error) {
	if s.backlog.isLong() {
		s.answer.MarkCancelled()
		s.answer.Close()
		return
	}
	s.answer.Fail(err)
}

// contextError returns the error of a request whose context ended: the deadline passed or the caller left.
func (s *routedStages) contextError(ctx context.Context) error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return &result.Error{Code: result.DeadlineExceeded, Ran: result.RunUnknown}
	}
	return &result.Error{Code: result.CallerGone, Ran: result.RunUnknown}
}

// relayEvents sends a stream event by event. If the stream breaks, it continues at another endpoint; the caller gets only the
// header of the first one.
func (s *routedStages) relayEvents(ctx context.Context) error {
	s.lastEventID = s.r.Meta.LastEventID
	s.outcome.Stream = &StreamOutcome{Model: s.answer.Model, Endpoint: s.answer.Endpoint, Release: s.answer.Release, Session: s.sessionHash(), Prompt: s.r.Meta.Prompt, MaxTokens: s.r.Meta.MaxTokens}
	begun := false
	for {
		err := s.copyEvents(ctx, &begun)
		if err == nil {
			return s.endAnswer()
		}
		if err := s.resume(ctx, begun, err); err != nil {
			return err
		}
	}
}

// copyEvents sends the events of one endpoint's stream, and the header before the first event if *begun is false. It skips
// events that were sent before the stream broke. It returns nil at the end of the stream, and relay.ErrMalformedEvent if an
// event is missing or does not belong to the stream.
func (s *routedStages) copyEvents(ctx context.Context, begun *bool) error {
	events := relay.NewEventReader(s.answer.Body)
	last := s.p.Now()
	stream := s.outcome.Stream
	stallTimer := s.answer.StartGapTimer()
	defer stallTimer.Stop()
	pace := s.newPace()
	defer pace.end()
	resumed, empty := *begun, true
	var held []byte // what precedes the first event with data or an ID; an answer that breaks off before has not begun
	for {
		waitingSince := s.p.Now()
		event, id, err := events.Next()
		s.backlog.read(waitingSince)
		switch {
		case err == io.EOF && resumed && empty && s.answer.Unframed:
			return io.ErrUnexpectedEOF // nothing tells that the endpoint had nothing to add
		case err == io.EOF:
			return s.beginStream(begun, held)
		case err != nil:
			return err
		case id > 0 && id <= s.lastEventID:
			empty = false
			if err := copyRest(events, io.Discard); err != nil {
				return err
			}
			continue // sent before the stream broke
		case id > 0 && s.lastEventID > 0 && id != s.lastEventID+1:
			return fmt.Errorf("%w: event %d follows event %d", relay.ErrMalformedEvent, id, s.lastEventID)
		case resumed && id == 0 && s.lastEventID > 0 && !relay.IsComment(event):
			return fmt.Errorf("%w: an event without an ID after event %d of another endpoint", relay.ErrMalformedEvent, s.lastEventID)
		case !*begun && id == 0 && !relay.HasData(event):
			if held = append(held, event...); len(held) > maxHeldBytes {
				return fmt.Errorf("%w: %d bytes before the first event with data", relay.ErrMalformedEvent, len(held))
			}
			continue
		}
		empty = false
		if err := s.beginStream(begun, held); err != nil {
			return err
		}
		caller := measuredCaller{s.caller, &s.backlog}
		if _, err := caller.Write(event); err != nil {
			return fmt.Errorf("%w: %w", errCallerWrite, err)
		}
		hasData := relay.HasData(event)
		if err := copyRest(events, callerWriter{caller}); err != nil {
			return fmt.Errorf("%w: %w", errTornEvent, err)
		}
		s.lastEventID = max(s.lastEventID, id)
		if !hasData {
			continue
		}
		stallTimer.Progress()
		now := s.p.Now()
		s.answer.Progress(now)
		if stream.Events > 0 {
			stream.MaxGap = max(stream.MaxGap, now.Sub(last))
			s.p.Routes.EventIntervals.Observe(s.service, stream.Model, now.Sub(last))
		}
		stream.Events++
		last = now
		pace.event(now)
	}
}

// copyRest copies the parts of an event that follow its first one, if there are any.
func copyRest(events *relay.EventReader, w io.Writer) error {
	for events.Continues() {
		part, _, err := events.Next()
		if err != nil {
			return err
		}
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// errTornEvent is wrapped by the error of a stream that broke off within an event of which a part was sent. It can't be continued: the caller would
// get that part twice.
var errTornEvent = errors.New("stream broke off within a large event")

// maxHeldBytes bounds the events without data before the first one with data.
const maxHeldBytes = 16 << 10

// beginStream sends the header and the held events, unless *begun says that an answer has begun.
func (s *routedStages) beginStream(begun *bool, held []byte) error {
	if *begun {
		return nil
	}
	*begun = true
	if err := s.beginAnswer(); err != nil || len(held) == 0 {
		return err
	}
	if _, err := s.caller.Write(held); err != nil {
		return fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	return nil
}

// resume continues a stream that failed with cause at another endpoint, after the last event that was sent. begun says that
// the header was sent. It fails if the caller left, the deadline passed, or the route does not allow streams to be resumed.
func (s *routedStages) resume(ctx context.Context, begun bool, cause error) error {
	if errors.Is(cause, errCallerWrite) || errors.Is(cause, errTornEvent) || ctx.Err() != nil || !s.route.Resumable {
		return s.abortAnswer(ctx, cause)
	}
	var e *result.Error
	if errors.As(cause, &e) {
		return cause
	}
	s.failAnswer(cause)
	s.backlog.blocked = 0
	if begun {
		s.exchange.MarkBegun()
	}
	s.outcome.Stream.Resumes++
	for {
		next, err := s.exchange.Do(s.modelName(), s.lastEventID)
		if err != nil {
			if begun && result.From(err).Code != result.CallerGone {
				return &result.Error{Code: result.StreamBroken, Ran: result.DidRun, Err: errors.Join(cause, err)}
			}
			return err
		}
		if next.Status == http.StatusOK {
			next.CountRun()
			s.answer = next
			return nil
		}
		if !next.Retry() {
			next.CountRun()
			next.Close()
			return &result.Error{Code: result.StreamBroken, Ran: result.DidRun, Err: fmt.Errorf("%w; resuming the stream at another endpoint returned status %d", cause, next.Status)}
		}
	}
}

// pace measures the time between the first events of an endpoint's stream, and reports it to Releases once.
type pace struct {
	releases        Releases // nil after the report, or if there are none
	stream          Stream
	events          int
	first, lastSeen time.Time
}

func (s *routedStages) newPace() *pace {
	return &pace{releases: s.p.Routes.Releases, stream: Stream{s.r.ID, s.service, s.answer.Release, s.route.Name, s.answer.Model, s.answer.Endpoint}}
}

// event records an event.
func (p *pace) event(now time.Time) {
	if p.releases == nil {
		return
	}
	if p.events++; p.events == 1 {
		p.first = now
		p.releases.BeginStream(p.stream)
	}
	if p.lastSeen = now; p.events > PaceIntervals {
		p.end()
	}
}

// end reports the pace if there were events and it was not reported before.
func (p *pace) end() {
	if p.releases == nil || p.events == 0 {
		return
	}
	interval := time.Duration(0)
	if n := p.events - 1; n >= minPaceIntervals {
		interval = p.lastSeen.Sub(p.first) / time.Duration(n)
	}
	p.releases.RecordPace(p.stream, interval)
	p.releases = nil
}
