package pipeline

import (
	"context"
	"io"
	"net/http"
	"slices"

	"github.com/bramleytrail/bramleytrail/bill"
	"github.com/bramleytrail/bramleytrail/claim"
	"github.com/bramleytrail/bramleytrail/config"
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
	svc, err := allowedService(e.view, e.who.Team, service)
	if err != nil {
		return nil, err
	}
	e.outcome.Version = service
	e.update(func(p *Position) { p.Target = service })
	return &plainStages{entered: e, p: p, r: r, caller: c, service: svc}, nil
}

func allowedService(view *config.View, team *object.Team, name string) (*object.Service, error) {
	svc := view.Services[name]
	if svc == nil || svc.Type != object.ServicePlain {
		return nil, result.Newf(result.UnknownService, "Service %q.", name)
	}
	if !slices.Contains(team.Services, name) {
		return nil, result.Newf(result.ModelNotAllowed, "Service %q.", name)
	}
	return svc, nil
}

// renew returns the service under the newest configuration.
func (s *plainStages) renew() (*config.View, *object.Service, error) {
	view := s.p.Config.View()
	if view == s.view {
		return view, s.service, nil
	}
	team, err := s.teamUnder(view)
	if err != nil {
		return nil, nil, err
	}
	svc, err := allowedService(view, team, s.service.Name)
	if err != nil {
		return nil, nil, err
	}
	s.view, s.service = view, svc
	return view, svc, nil
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
	s.r.claimed(s.service.Name, s.who.Key)
	s.at(StageClaim)
	held, earlier, err := s.p.Claim.Do(ctx, claim.Input{
		Service: s.service.Name, Team: s.who.Team.Name, Key: s.who.Key,
		Request: s.r.contentHash(),
	})
	s.noteClaim(s.service.Name, held, earlier)
	if err != nil || earlier == nil {
		s.held = held
		return false, err
	}
	if !earlier.BodyKept {
		return false, &result.Error{Code: result.ClaimUnknown, Ran: result.RunDone, Detail: "The call ran before; its answer was not kept."}
	}
	return true, s.r.replay(s.caller, earlier)
}

// fail bills a call that may have run although it gave no answer, and settles its claim. Its cost is not known to be
// due, so it is 0.
func (s *plainStages) fail(ctx context.Context, err error) error {
	if e := result.From(err); e.Ran != result.NotRun {
		s.p.Bill.Do(ctx, bill.Input{
			Team: s.who.Team.Name, Service: s.service.Name, Key: s.who.Key, RequestID: s.r.ID, Content: s.r.contentHash(), Code: e.Code, Now: s.p.Now(),
			Calls: []ledger.Call{{Version: s.service.Name}},
		})
	}
	return settleClaim(s.held, err)
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
	s.at(StageDispatch)
	answer, err := s.p.Dispatch.CallPlain(ctx, dispatch.PlainInput{
		View: s.view, Team: s.who.Team.Name, Priority: s.who.Priority, Service: s.service, Detached: s.held != nil, Refresh: s.renew,
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
	s.at(StageRelay)
	s.header = s.r.answerHeader()
	for name, values := range s.answer.Header {
		if name == "Connection" || name == "Transfer-Encoding" || name == "Content-Length" || name == "Keep-Alive" {
			continue
		}
		s.header[name] = values
	}
	err := s.caller.Begin(s.answer.Status, s.header)
	if err != nil {
		err = &result.Error{Code: result.CallerGone, Ran: result.RunDone, Err: err}
		s.kept = true
	} else {
		s.body, s.kept, err = relay.Copy(s.answer, s.caller, claim.MaxBody)
	}
	if err != nil {
		s.keepRest(err)
	}
	return err
}

// keepRest reads the rest of a claimed call's answer after its caller has left, so that a repeat gets it.
func (s *plainStages) keepRest(err error) {
	if s.held == nil || !s.kept || result.From(err).Code != result.CallerGone {
		s.kept = false
		return
	}
	rest, readErr := io.ReadAll(io.LimitReader(s.answer, int64(claim.MaxBody-len(s.body)+1)))
	s.body = append(s.body, rest...)
	s.kept = readErr == nil && len(s.body) <= claim.MaxBody
}

func (s *plainStages) bill(ctx context.Context, err error) {
	s.at(StageBill)
	s.outcome.Attempts = []dispatch.Attempt{{Endpoint: s.answer.Endpoint, Version: s.service.Name}}
	code := result.OK
	if err != nil {
		code = result.From(err).Code
	}
	s.p.Bill.Do(ctx, bill.Input{
		Team: s.who.Team.Name, Service: s.service.Name, Key: s.who.Key, RequestID: s.r.ID, Content: s.r.contentHash(), Code: code, Now: s.p.Now(),
		Calls: []ledger.Call{bill.PlainCall(s.service)},
	})
}

// finish records the outcome of a claimed call and ends the answer. The endpoint gave a status, so the call ran; the
// answer is kept for repeats if it is whole.
func (s *plainStages) finish(err error) error {
	s.at(StageFinish)
	if s.held != nil {
		s.held.Finish(claim.Done, s.answer.Status, s.header, s.body, s.kept)
	}
	if err != nil {
		return err
	}
	if err := s.caller.End(); err != nil {
		return &result.Error{Code: result.CallerGone, Ran: result.RunDone, Err: err}
	}
	return nil
}
