package pipeline

import (
	"context"
	"net/http"
	"slices"

	"github.com/bramleytrail/bramleytrail/bill"
	"github.com/bramleytrail/bramleytrail/cachemove"
	"github.com/bramleytrail/bramleytrail/choose"
	"github.com/bramleytrail/bramleytrail/claim"
	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/dispatch"
	"github.com/bramleytrail/bramleytrail/identify"
	"github.com/bramleytrail/bramleytrail/ledger"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/poison"
	"github.com/bramleytrail/bramleytrail/relay"
	"github.com/bramleytrail/bramleytrail/result"
)

// chatService is the service name of chat requests in claims and bills.
const chatService = "chat"

// chatStages holds the state of one chat request. Its methods are the stages.
type chatStages struct {
	*requestState
	p      *Pipeline
	r      *Request
	caller relay.Caller

	chat         chat
	promptTokens int64
	maxTokens    int64
	heldClaim    *claim.Claim
	choice       choose.Choice
	answer       *dispatch.Answer
	source       relay.Source  // events of the answer, including those that a cascade has already read
	calls        []ledger.Call // model calls to bill: earlier steps of a cascade, then the answer
	respBody     []byte        // response body of a request without streaming
}

func (p *Pipeline) newChatStages(r *Request, c relay.Caller, rs *requestState) (*chatStages, error) {
	s := &chatStages{requestState: rs, p: p, r: r, caller: c}
	var err error
	if s.chat, err = r.parse(); err != nil {
		return nil, err
	}
	s.promptTokens, s.maxTokens, err = limitTokens(s.chat, r.Body, rs.identity.Team)
	return s, err
}

// claim claims the request if the caller marked it as not repeatable. It reports whether the answer of an earlier delivery
// was replayed to the caller, which ends the request.
func (s *chatStages) claim(ctx context.Context) (replayed bool, err error) {
	if s.identity.Repeatable != identify.RepeatableNo {
		return false, nil
	}
	s.r.setClaim(chatService, s.identity.IdempotencyKey)
	s.setStage(StageClaim)
	heldClaim, earlier, err := s.p.Claim.Do(ctx, claim.Input{
		Service: chatService, Team: s.identity.Team.Name, Key: s.identity.IdempotencyKey,
		Request: s.r.contentHash(),
	})
	s.recordClaimHolder(chatService, heldClaim, earlier)
	if err != nil || earlier == nil {
		s.heldClaim = heldClaim
		return false, err
	}
	if !earlier.BodyKept || s.chat.Stream {
		return false, &result.Error{Code: result.ClaimUnknown, Ran: result.DidRun, Detail: "The request ran before; its answer can't be replayed."}
	}
	return true, s.r.replay(s.caller, earlier)
}

// fail settles the claim of a request that failed with err before its answer began, and returns err. A request that may have
// run gets a bill without model calls.
func (s *chatStages) fail(ctx context.Context, err error) error {
	if e := result.From(err); e.Ran != result.NotRun {
		s.p.Bill.Do(ctx, bill.Input{
			Team: s.identity.Team.Name, Service: chatService, Key: s.identity.IdempotencyKey, RequestID: s.r.ID, Content: s.r.contentHash(), Code: e.Code, Now: s.p.Now(),
		})
	}
	return settleClaim(s.heldClaim, err)
}

// choose selects the candidates to which the request may be sent, or a cascade of them.
func (s *chatStages) choose() error {
	s.setStage(StageChoose)
	var err error
	s.choice, err = s.chooseWith(s.view, s.identity.Team)
	if err != nil {
		return err
	}
	s.outcome.Explored, s.outcome.Cascade = s.choice.Explored, s.choice.Cascade != nil
	choice := s.choice // a pointer to the field would keep the request's body in memory
	s.outcome.Choice = &choice
	s.updatePosition(func(p *Position) { p.Choice = &choice })
	return nil
}

// chooseWith chooses with the given configuration and the team as declared in it.
func (s *chatStages) chooseWith(view *config.View, team *object.Team) (choose.Choice, error) {
	return s.p.Choose.Do(choose.Input{
		View: view, Team: team, Model: s.chat.Model, Kind: s.identity.Kind, Session: s.identity.Session, RequestID: s.r.ID, Now: s.start,
		NoCascade: s.heldClaim != nil,
	})
}

// refresh chooses again if a newer configuration than used is in force. A step of a cascade keeps its model; if the new
// choice does not contain that model, the step fails with result.NoVersion.
func (s *chatStages) refresh(used *config.View, candidates []choose.Candidate) (*config.View, []choose.Candidate, error) {
	view := s.p.Config.View()
	if view == used {
		return used, candidates, nil
	}
	team, err := s.reauthenticate(view)
	if err != nil {
		return nil, nil, err
	}
	choice, err := s.chooseWith(view, team)
	if err != nil {
		return nil, nil, err
	}
	s.view = view
	if s.choice.Cascade == nil {
		return view, choice.Candidates, nil
	}
	model := candidates[0].Version.Model
	for i, c := range choice.Candidates {
		if c.Version.Model == model {
			return view, choice.Candidates[i : i+1], nil
		}
	}
	return nil, nil, result.Newf(result.NoVersion, "Model %q.", model)
}

// dispatch gets the start of an answer from an endpoint, or from the steps of a cascade.
func (s *chatStages) dispatch(ctx context.Context) error {
	s.setStage(StageDispatch)
	if s.choice.Cascade != nil {
		if err := s.runCascade(ctx); err != nil {
			return err
		}
	} else {
		answer, err := s.p.Dispatch.Do(ctx, s.dispatchInput(s.r.ID, s.choice.Candidates))
		if err != nil {
			return err
		}
		s.answer, s.source = answer, answer
	}
	s.outcome.FirstByte = s.p.Now().Sub(s.start)
	s.outcome.Version = s.answer.Version().Name
	s.updatePosition(func(p *Position) { p.Target = s.outcome.Version })
	return nil
}

// dispatchInput describes the request to the dispatch filter. id is the request ID at the endpoint.
func (s *chatStages) dispatchInput(id string, candidates []choose.Candidate) dispatch.Input {
	current := candidates
	refresh := func(used *config.View) (*config.View, []choose.Candidate, error) {
		view, refreshed, err := s.refresh(used, current)
		if err == nil {
			current = refreshed
		}
		return view, refreshed, err
	}
	return dispatch.Input{
		View: s.view, RequestID: id, Team: s.identity.Team.Name, Candidates: candidates, Body: s.r.Body, Priority: s.identity.Priority,
		Tokens: s.promptTokens, MaxTokens: s.maxTokens, Prefix: s.chat.prefixHash(), Fingerprint: poison.Fingerprint(s.identity.Team.Name, s.r.Body), Parts: s.chat.sharedParts(), AtMostOnce: s.heldClaim != nil, Answer: s.r.Answer,
		Refresh: refresh, Cache: s.cacheSession(),
	}
}

// relay sends a streamed answer except for its final marker, or collects the answer of a request without streaming. The
// caller must not see the end of the answer before the request is billed; finish sends it.
func (s *chatStages) relay() error {
	s.setStage(StageRelay)
	source := &confidenceRecorder{Source: s.source}
	defer func() {
		s.outcome.RequestKind, s.outcome.RatedVersion = s.identity.Kind, s.ratedVersion(s.answer.Version().Name)
		s.outcome.Confidence = source.confidence
	}()
	meta := relay.AnswerMeta{ID: "chatcmpl-" + s.r.ID, Model: s.answer.Version().Name, Created: s.start.Unix(), PauseAfter: s.p.PauseAfter}
	if !s.chat.Stream {
		var err error
		s.respBody, err = relay.Collect(source, meta, s.r.Answer)
		return err
	}
	h, err := s.header()
	if err != nil {
		return err
	}
	if err := s.caller.Begin(http.StatusOK, relay.SetStreamHeaders(h)); err != nil {
		return &result.Error{Code: result.CallerGone, Ran: result.DidRun, Err: err}
	}
	return relay.Stream(source, s.caller, meta)
}

// header returns the headers of a complete answer or stream. They include a session token that names the version which
// answered and the location of the session's KV cache.
func (s *chatStages) header() (http.Header, error) {
	h := s.r.answerHeader()
	v := s.answer.Version()
	h.Set(relay.HeaderVersion, s.ratedVersion(v.Name))
	tok := s.identity.Session
	tok.ID = s.sessionID()
	if tok.Issued.IsZero() || choose.Expired(s.view, s.identity.Team, tok, s.start) {
		tok.Issued, tok.Versions = s.start, nil
	}
	tok.Team = s.identity.Team.Name
	tok.Versions = slices.DeleteFunc(slices.Clone(tok.Versions), func(name string) bool {
		old := s.view.Versions[name]
		return old == nil || old.Model == v.Model
	})
	tok.Versions = append(tok.Versions, v.Name)
	tok.Cache = s.answer.CacheLocation()
	value, err := s.p.Signer.Encode(tok)
	if err != nil {
		return nil, result.Wrap(result.Internal, result.DidRun, err)
	}
	h.Set(identify.HeaderSession, value)
	return h, nil
}

// sessionID returns the ID of the request's session. A request without a session begins one, whose ID is the request ID.
func (s *chatStages) sessionID() string {
	if s.identity.Session.ID == "" {
		return s.r.ID
	}
	return s.identity.Session.ID
}

// cacheSession returns the session with the location of its KV cache, if its token has one.
func (s *chatStages) cacheSession() cachemove.Session {
	tok := s.identity.Session
	c := cachemove.Session{Team: s.identity.Team.Name, ID: s.sessionID()}
	if tok.Cache != nil && len(tok.Versions) > 0 {
		c.Version, c.EndpointHash, c.Tokens = tok.Versions[len(tok.Versions)-1], tok.Cache.Endpoint, tok.Cache.Tokens
	}
	return c
}

// ratedVersion returns the name under which answers of a version are rated. It differs within a cascade, whose answers are
// rated separately from those of the version alone, see quality.Summary.
func (s *chatStages) ratedVersion(name string) string {
	if s.choice.Cascade != nil {
		return s.choice.Cascade.Label() + name
	}
	return name
}

// bill writes the bill of a request whose answer began. err is the error that ended the answer, nil if it is complete.
func (s *chatStages) bill(ctx context.Context, err error) {
	s.setStage(StageBill)
	s.outcome.Attempts = append(s.outcome.Attempts, s.answer.Attempts()...)
	code := result.OK
	if err != nil {
		code = result.From(err).Code
	}
	u := s.answer.Usage()
	s.calls = append(s.calls, bill.ModelCall(s.answer.Version(), u.InputTokens, u.OutputTokens))
	s.writeBill(ctx, code)
}

// writeBill writes one bill with all model calls of the request.
func (s *chatStages) writeBill(ctx context.Context, code result.Code) {
	s.p.Bill.Do(ctx, bill.Input{
		Team: s.identity.Team.Name, Service: chatService, Key: s.identity.IdempotencyKey, RequestID: s.r.ID, Content: s.r.contentHash(), Code: code, Now: s.p.Now(),
		Calls: s.calls,
	})
}

// finish settles the claim and sends the end of the answer, or an error event for err in a stream. It returns err, or the
// error of sending the end.
func (s *chatStages) finish(err error) error {
	s.setStage(StageFinish)
	if err != nil {
		settleClaim(s.heldClaim, err)
		if s.chat.Stream {
			_ = relay.FailStream(s.caller, result.From(err)) // the caller may have left
		}
		return err
	}
	if s.chat.Stream {
		if s.heldClaim != nil {
			s.heldClaim.Finish(claim.Done, http.StatusOK, nil, nil, false)
		}
		return relay.FinishStream(s.caller)
	}
	h, err := s.header()
	if err != nil {
		return err
	}
	h.Set("Content-Type", "application/json")
	if s.heldClaim != nil {
		s.heldClaim.Finish(claim.Done, http.StatusOK, h, s.respBody, true)
	}
	if err := s.caller.Reply(http.StatusOK, h, s.respBody); err != nil {
		return &result.Error{Code: result.CallerGone, Ran: result.DidRun, Err: err}
	}
	return nil
}
