package pipeline

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/bramleytrail/bramleytrail/relay"
	"github.com/bramleytrail/bramleytrail/result"
)

// relay sends the answer on.
func (s *routedStages) relay(ctx context.Context) error {
	s.at(StageRelay)
	if s.answer.Status != http.StatusOK || !s.route.Stream {
		return s.relayBody(ctx)
	}
	return s.relayEvents(ctx)
}

func (s *routedStages) begin() error {
	h := s.answer.Header
	if s.answer.Length >= 0 && !s.route.Stream {
		h.Set("Content-Length", strconv.FormatInt(s.answer.Length, 10))
	}
	if err := s.caller.Begin(s.answer.Status, h); err != nil {
		s.answer.MarkCancelled()
		return &result.Error{Code: result.CallerGone, Ran: result.RunDone, Err: err}
	}
	return nil
}

// relayBody sends an answer of one piece. The first part is read before the answer begins, so that one which breaks at
// once can be asked for again.
func (s *routedStages) relayBody(ctx context.Context) error {
	for {
		first, err := readStart(s.answer.Body)
		if err == nil || err == io.EOF {
			if err := s.begin(); err != nil {
				return err
			}
			return s.relayRest(ctx, first, err == io.EOF)
		}
		if err := s.again(ctx, err); err != nil {
			return err
		}
	}
}

// wholeBody is the size up to which an answer is read before it begins.
const wholeBody = 8 << 10

// readStart reads up to wholeBody bytes. It returns io.EOF if they are all there are. io.ReadFull would not do: it gives the
// error of a cut body also for one that is merely short.
func readStart(r io.Reader) ([]byte, error) {
	start := make([]byte, 0, wholeBody)
	for len(start) < cap(start) {
		n, err := r.Read(start[len(start):cap(start)])
		start = start[:len(start)+n]
		if err != nil {
			return start, err
		}
	}
	return start, nil
}

// again asks another endpoint for an answer of which the caller has nothing yet.
func (s *routedStages) again(ctx context.Context, cause error) error {
	if ctx.Err() != nil {
		s.answer.MarkCancelled()
		return s.ended(ctx)
	}
	s.answer.Fail(cause)
	if !s.route.MayRepeat() {
		return &result.Error{Code: result.EndpointFailed, Ran: result.RunUnknown, Err: cause}
	}
	next, err := s.exchange.Do(s.modelName(), s.r.Meta.After)
	if err != nil {
		return err
	}
	next.CountRun()
	s.answer = next
	return nil
}

func (s *routedStages) relayRest(ctx context.Context, first []byte, whole bool) error {
	if _, err := s.caller.Write(first); err != nil {
		s.answer.MarkCancelled()
		return &result.Error{Code: result.CallerGone, Ran: result.RunDone, Err: err}
	}
	if !whole {
		if _, err := io.Copy(callerWriter{s.caller}, s.answer.Body); err != nil {
			return s.broken(ctx, err)
		}
	}
	return s.end()
}

func (s *routedStages) end() error {
	if err := s.caller.End(); err != nil {
		return &result.Error{Code: result.CallerGone, Ran: result.RunDone, Err: err}
	}
	return nil
}

// callerWriter hides the other methods of a caller from io.Copy.
type callerWriter struct{ relay.Caller }

// Write implements io.Writer.
func (w callerWriter) Write(p []byte) (int, error) {
	n, err := w.Caller.Write(p)
	if err != nil {
		err = fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	return n, err
}

var errCallerWrite = errors.New("write to the caller")

// broken describes an answer that ended early after the caller got a part of it.
func (s *routedStages) broken(ctx context.Context, err error) error {
	if errors.Is(err, errCallerWrite) {
		s.answer.MarkCancelled()
		return &result.Error{Code: result.CallerGone, Ran: result.RunDone, Err: err}
	}
	if ctx.Err() != nil {
		s.answer.MarkCancelled()
		return s.ended(ctx)
	}
	s.answer.Fail(err)
	return &result.Error{Code: result.StreamBroken, Ran: result.RunDone, Err: err}
}

func (s *routedStages) ended(ctx context.Context) error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return &result.Error{Code: result.DeadlineExceeded, Ran: result.RunUnknown}
	}
	return &result.Error{Code: result.CallerGone, Ran: result.RunUnknown}
}

// relayEvents sends a stream event by event. One that breaks goes on at another endpoint, with the header of the first.
func (s *routedStages) relayEvents(ctx context.Context) error {
	s.sent = s.r.Meta.After
	s.outcome.Stream = &StreamOutcome{Model: s.modelName(), Endpoint: s.answer.Endpoint, Release: s.answer.Release, Session: s.session(), Prompt: s.r.Meta.Prompt, Limit: s.r.Meta.MaxTokens}
	begun := false
	for {
		err := s.copyEvents(ctx, &begun)
		if err == nil {
			return s.end()
		}
		if err := s.resume(ctx, begun, err); err != nil {
			return err
		}
	}
}

// copyEvents sends the events of one endpoint's stream. It returns nil at the stream's end.
func (s *routedStages) copyEvents(ctx context.Context, begun *bool) error {
	events := relay.NewEventReader(s.answer.Body)
	last := s.p.Now()
	out := s.outcome.Stream
	silence := s.answer.StartGapTimer()
	defer silence.Stop()
	for {
		event, number, err := events.Next()
		switch {
		case err == io.EOF:
			if !*begun { // an empty stream
				*begun = true
				return s.begin()
			}
			return nil
		case err != nil:
			return err
		case number > 0 && number <= s.sent:
			continue // sent before the stream broke
		case number > 0 && s.sent > 0 && number != s.sent+1:
			return fmt.Errorf("%w: event %d after %d", relay.ErrEvent, number, s.sent)
		}
		if !*begun {
			*begun = true
			if err := s.begin(); err != nil {
				return err
			}
		}
		if _, err := s.caller.Write(event); err != nil {
			return fmt.Errorf("%w: %w", errCallerWrite, err)
		}
		s.sent = max(s.sent, number)
		if !relay.Advances(event) {
			continue
		}
		silence.Progress()
		now := s.p.Now()
		if out.Events > 0 {
			out.LongGap = max(out.LongGap, now.Sub(last))
			s.p.Routes.Paces.Observe(s.service, out.Model, now.Sub(last))
		}
		out.Events++
		last = now
	}
}

// resume goes on with a broken stream at another endpoint after the last event that the caller has.
func (s *routedStages) resume(ctx context.Context, begun bool, cause error) error {
	if errors.Is(cause, errCallerWrite) || ctx.Err() != nil || !s.route.Resumable {
		return s.broken(ctx, cause)
	}
	var e *result.Error
	if errors.As(cause, &e) {
		return cause
	}
	s.answer.Fail(cause)
	s.outcome.Stream.Resumed++
	for {
		next, err := s.exchange.Do(s.modelName(), s.sent)
		if err != nil {
			if begun && result.From(err).Code != result.CallerGone {
				return &result.Error{Code: result.StreamBroken, Ran: result.RunDone, Err: errors.Join(cause, err)}
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
			return &result.Error{Code: result.StreamBroken, Ran: result.RunDone, Err: fmt.Errorf("%w; status %d when resumed", cause, next.Status)}
		}
	}
}
