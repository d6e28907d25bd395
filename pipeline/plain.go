package pipeline

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/bramleytrail/bramleytrail/bill"
	"github.com/bramleytrail/bramleytrail/claim"
	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/dispatch"
	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/identify"
	"github.com/bramleytrail/bramleytrail/ledger"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/poison"
	"github.com/bramleytrail/bramleytrail/relay"
	"github.com/bramleytrail/bramleytrail/result"
)

// plainStages holds the state of one call of a plain service. Its methods are the stages.
type plainStages struct {
	*requestState
	p       *Pipeline
	r       *Request
	caller  relay.Caller
	service *object.Service

	heldClaim    *claim.Claim
	answer       *dispatch.PlainAnswer
	respHeader   http.Header
	respBody     []byte // start of the response body, recorded with the claim for repeated calls
	bodyComplete bool   // respBody is the complete response body
}

func (p *Pipeline) newPlainStages(service string, r *Request, c relay.Caller, rs *requestState) (*plainStages, error) {
	svc, err := allowedService(rs.view, rs.identity.Team, service)
	if err != nil {
		return nil, err
	}
	rs.outcome.Version = service
	rs.updatePosition(func(p *Position) { p.Target = service })
	return &plainStages{requestState: rs, p: p, r: r, caller: c, service: svc}, nil
}

// allowedService returns a plain service that the team may call. It fails with result.UnknownService or
// result.ModelNotAllowed.
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

// refresh returns the newest configuration and the service as declared there. It fails if that configuration no longer
// allows the call.
func (s *plainStages) refresh() (*config.View, *object.Service, error) {
	view := s.p.Config.View()
	if view == s.view {
		return view, s.service, nil
	}
	team, err := s.reauthenticate(view)
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

// repeatable reports whether the call may be sent more than once: as the caller says, else if the service is declared
// repeatable or the method is GET or HEAD.
func (s *plainStages) repeatable() bool {
	switch s.identity.Repeatable {
	case identify.RepeatableYes:
		return true
	case identify.RepeatableNo:
		return false
	default:
		return s.service.Repeatable || s.r.Method == http.MethodGet || s.r.Method == http.MethodHead
	}
}

// claim claims a call that is not repeatable. It reports whether the answer of an earlier delivery was replayed to the
// caller, which ends the call.
func (s *plainStages) claim(ctx context.Context) (replayed bool, err error) {
	if s.repeatable() {
		return false, nil
	}
	s.r.setClaim(s.service.Name, s.identity.IdempotencyKey)
	s.setStage(StageClaim)
	heldClaim, earlier, err := s.p.Claim.Do(ctx, claim.Input{
		Service: s.service.Name, Team: s.identity.Team.Name, Key: s.identity.IdempotencyKey,
		Request: s.r.contentHash(),
	})
	s.recordClaimHolder(s.service.Name, heldClaim, earlier)
	if err != nil || earlier == nil {
		s.heldClaim = heldClaim
		return false, err
	}
	if !earlier.BodyKept {
		return false, &result.Error{Code: result.ClaimUnknown, Ran: result.DidRun, Detail: "The call ran before; its answer was not kept."}
	}
	return true, s.r.replay(s.caller, earlier)
}

// fail settles the claim of a call that failed with err before its answer began, and returns err. A call that may have run
// is billed at no cost, because it is not known whether a cost is due.
func (s *plainStages) fail(ctx context.Context, err error) error {
	if e := result.From(err); e.Ran != result.NotRun {
		s.p.Bill.Do(ctx, bill.Input{
			Team: s.identity.Team.Name, Service: s.service.Name, Key: s.identity.IdempotencyKey, RequestID: s.r.ID, Content: s.r.contentHash(), Code: e.Code, Now: s.p.Now(),
			Calls: []ledger.Call{{Version: s.service.Name}},
		})
	}
	return settleClaim(s.heldClaim, err)
}

// endpointHeader returns the headers for the endpoint: the caller's without those that are meant for the router, and the
// name of the team.
func (s *plainStages) endpointHeader() http.Header {
	h := s.r.Header.Clone()
	for _, name := range []string{"Authorization", identify.HeaderSession, identify.HeaderRepeatable, identify.HeaderDeadline, identify.HeaderPriority, identify.HeaderKind} {
		h.Del(name)
	}
	h.Set("Bramley-Team", s.identity.Team.Name)
	return h
}

// dispatch sends the call to an endpoint and waits for the response header. A claimed call continues if the caller leaves.
func (s *plainStages) dispatch(ctx context.Context) error {
	s.setStage(StageDispatch)
	answer, err := s.p.Dispatch.CallPlain(ctx, dispatch.PlainInput{
		View: s.view, Team: s.identity.Team.Name, Priority: s.identity.Priority, Service: s.service, Detached: s.heldClaim != nil, Refresh: s.refresh,
		Fingerprint: poison.Fingerprint(s.identity.Team.Name+"\x00"+s.service.Name+"\x00"+s.r.Path, s.r.Body),
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

// routerHeaderPrefix is the prefix of the headers in which the router makes statements to callers, as opposed to endpoints.
const routerHeaderPrefix = "Bramley-"

// relay sends the answer except for its end, and keeps up to claim.MaxBodyBytes bytes of the body of a claimed call.
func (s *plainStages) relay() error {
	s.setStage(StageRelay)
	s.respHeader = s.r.answerHeader()
	for name, values := range s.answer.Header {
		if name == "Connection" || name == "Transfer-Encoding" || name == "Content-Length" || name == "Keep-Alive" || strings.HasPrefix(name, routerHeaderPrefix) {
			continue
		}
		s.respHeader[name] = values
	}
	if result.PromisesNotRun(s.answer.Status) { // only the router can promise that
		s.respHeader.Set(relay.HeaderRan, result.RunUnknown.String())
	}
	err := s.caller.Begin(s.answer.Status, s.respHeader)
	if err != nil {
		err = &result.Error{Code: result.CallerGone, Ran: result.DidRun, Err: err}
		s.bodyComplete = true
	} else {
		maxKept := 0
		if s.heldClaim != nil {
			maxKept = claim.MaxBodyBytes
		}
		s.respBody, s.bodyComplete, err = relay.Copy(s.answer, s.caller, maxKept, s.r.Answer)
	}
	if err != nil {
		s.readRemainder(err)
	}
	return err
}

// readRemainder reads the remaining body of a claimed call whose relay failed because the caller left, so that a repeated
// call gets the complete answer. After any other failure the body counts as incomplete.
func (s *plainStages) readRemainder(err error) {
	if s.heldClaim == nil || !s.bodyComplete || result.From(err).Code != result.CallerGone {
		s.bodyComplete = false
		return
	}
	remainder, readErr := io.ReadAll(io.LimitReader(s.answer, int64(claim.MaxBodyBytes-len(s.respBody)+1)))
	s.respBody = append(s.respBody, remainder...)
	s.bodyComplete = readErr == nil && len(s.respBody) <= claim.MaxBodyBytes
}

// bill writes the bill of a call whose answer began. err is the error that ended the answer, nil if it is complete.
func (s *plainStages) bill(ctx context.Context, err error) {
	s.setStage(StageBill)
	s.outcome.Attempts = []dispatch.Attempt{{Endpoint: s.answer.Endpoint, Version: s.service.Name}}
	code := result.OK
	if err != nil {
		code = result.From(err).Code
	}
	s.p.Bill.Do(ctx, bill.Input{
		Team: s.identity.Team.Name, Service: s.service.Name, Key: s.identity.IdempotencyKey, RequestID: s.r.ID, Content: s.r.contentHash(), Code: code, Now: s.p.Now(),
		Calls: []ledger.Call{bill.PlainCall(s.service)},
	})
}

// finish records the outcome of a claimed call and ends the answer. The call counts as done even if its answer broke off,
// since the endpoint sent a status; the body is recorded for repeated calls only if it is complete. finish returns err, or
// the error of ending the answer.
func (s *plainStages) finish(err error) error {
	s.setStage(StageFinish)
	if s.heldClaim != nil {
		s.heldClaim.Finish(claim.Done, s.answer.Status, s.respHeader, s.respBody, s.bodyComplete)
	}
	if err != nil {
		return err
	}
	if err := s.caller.End(); err != nil {
		return &result.Error{Code: result.CallerGone, Ran: result.DidRun, Err: err}
	}
	return nil
}
