package pipeline

import (
	"context"
	"net/http"
	"slices"

	"github.com/bramleytrail/bramleytrail/bill"
	"github.com/bramleytrail/bramleytrail/claim"
	"github.com/bramleytrail/bramleytrail/dispatch"
	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/identify"
	"github.com/bramleytrail/bramleytrail/ledger"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/relay"
	"github.com/bramleytrail/bramleytrail/result"
)

// plainStages carries one call of a plain service through the stages.
type plainStages struct {
	*entered
	p       *Pipeline
	r       *Request
	caller  relay.Caller
	service *object.Service

	held   *claim.Claim
	answer *dispatch.PlainAnswer
	header http.Header
	body   []byte // start of the answer's body, for repeats
	kept   bool   // body is the whole body
}

func (p *Pipeline) newPlainStages(service string, r *Request, c relay.Caller, e *entered) (*plainStages, error) {
	svc := e.view.Services[service]
	if svc == nil || svc.Type != object.ServicePlain {
		return nil, result.Newf(result.UnknownService, "Service %q.", service)
	}
	if !slices.Contains(e.who.Team.Services, service) {
		return nil, result.Newf(result.ModelNotAllowed, "Service %q.", service)
	}
	e.outcome.Version = service
	return &plainStages{entered: e, p: p, r: r, caller: c, service: svc}, nil
}

// repeatable says whether the call may be sent more than once.
func (s *plainStages) repeatable() bool {
	switch s.who.Repeatable {
	case identify.Yes:
		return true
	case identify.No:
		return false
	default:
		return s.service.Repeatable || s.r.Method == http.MethodGet || s.r.Method == http.MethodHead
	}
}

func (s *plainStages) claim(ctx context.Context) (done bool, err error) {
	if s.repeatable() {
		return false, nil
	}
	held, earlier, err := s.p.Claim.Do(ctx, claim.Input{
		Service: s.service.Name, Team: s.who.Team.Name, Key: s.who.Key,
		Request: claim.RequestHash(s.r.Method, s.r.Path, s.r.Body),
	})
	if err != nil || earlier == nil {
		s.held = held
		return false, err
	}
	if !earlier.BodyKept {
		return false, &result.Error{Code: result.ClaimUnknown, Ran: result.RunDone, Detail: "The call ran before; its answer was too large to keep."}
	}
	h := earlier.Header.Clone()
	h.Set(relay.HeaderRequestID, s.r.ID)
	h.Set(relay.HeaderRan, result.RunDone.String())
	return true, s.caller.Reply(earlier.Status, h, earlier.Body)
}

func (s *plainStages) release(err error) error {
	if s.held == nil {
		return err
	}
	if result.From(err).Ran == result.NotRun {
		s.held.Release()
	} else {
		s.held.Finish(claim.Unknown, 0, nil, nil, false)
	}
	return err
}

// endpointHeader returns the caller's headers without those that are meant for the router.
func (s *plainStages) endpointHeader() http.Header {
	h := s.r.Header.Clone()
	for _, name := range []string{"Authorization", identify.HeaderSession, identify.HeaderRepeatable, identify.HeaderDeadline, identify.HeaderPriority, identify.HeaderKind} {
		h.Del(name)
	}
	h.Set("Bramley-Team", s.who.Team.Name)
	return h
}

func (s *plainStages) dispatch(ctx context.Context) error {
	answer, err := s.p.Dispatch.Call(ctx, dispatch.PlainInput{
		View: s.view, Team: s.who.Team.Name, Priority: s.who.Priority, Service: s.service,
		Request: engine.PlainRequest{
			ID: s.r.ID, Method: s.r.Method, Path: s.r.Path, Header: s.endpointHeader(), Body: s.r.Body, Repeatable: s.repeatable(),
		},
	})
	if err != nil {
		return err
	}
	s.answer = answer
	s.outcome.FirstByte = s.p.Now().Sub(s.start)
	return nil
}

func (s *plainStages) relay() error {
	s.header = header(s.r.ID)
	for name, values := range s.answer.Header {
		if name == "Connection" || name == "Transfer-Encoding" || name == "Content-Length" || name == "Keep-Alive" {
			continue
		}
		s.header[name] = values
	}
	if err := s.caller.Begin(s.answer.Status, s.header); err != nil {
		return &result.Error{Code: result.CallerGone, Ran: result.RunDone, Err: err}
	}
	var err error
	s.body, s.kept, err = relay.Copy(s.answer, s.caller, claim.MaxBody)
	return err
}

func (s *plainStages) bill(ctx context.Context, err error) {
	s.outcome.Attempts = []dispatch.Attempt{{Endpoint: s.answer.Endpoint, Version: s.service.Name}}
	code := result.OK
	if err != nil {
		code = result.From(err).Code
	}
	s.p.Bill.Do(ctx, bill.Input{
		Team: s.who.Team.Name, Service: s.service.Name, Key: s.who.Key, RequestID: s.r.ID, Code: code, Now: s.p.Now(),
		Calls: []ledger.Call{bill.PlainCall(s.service)},
	})
}

// finish records the outcome of a claimed call and ends the answer.
func (s *plainStages) finish(err error) error {
	if s.held != nil {
		s.recordOutcome(err)
	}
	if err != nil {
		return err
	}
	if err := s.caller.End(); err != nil {
		return &result.Error{Code: result.CallerGone, Ran: result.RunDone, Err: err}
	}
	return nil
}

// recordOutcome keeps the answer for repeats. The endpoint gave a status, so the call ran; if the body broke off, only
// that is recorded.
func (s *plainStages) recordOutcome(err error) {
	if err != nil || !s.kept {
		s.held.Finish(claim.Done, s.answer.Status, s.header, nil, false)
		return
	}
	s.held.Finish(claim.Done, s.answer.Status, s.header, s.body, true)
}
