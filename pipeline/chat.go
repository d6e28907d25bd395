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

// chatStages carries one chat request through the stages.
type chatStages struct {
	*entered
	p      *Pipeline
	r      *Request
	caller relay.Caller

	chat      chat
	prompt    int64
	maxTokens int64
	held      *claim.Claim
	choice    choose.Choice
	answer    *dispatch.Answer
	source    relay.Source  // the answer, or what a cascade held back and the rest
	calls     []ledger.Call // of earlier steps of a cascade
	whole     []byte        // answer of a request without streaming
}

func (p *Pipeline) newChatStages(r *Request, c relay.Caller, e *entered) (*chatStages, error) {
	s := &chatStages{entered: e, p: p, r: r, caller: c}
	var err error
	if s.chat, err = r.parse(); err != nil {
		return nil, err
	}
	s.prompt, s.maxTokens, err = limitTokens(s.chat, r.Body, e.who.Team)
	return s, err
}

// claim makes a claim if the caller forbids a repeat. It reports done if an earlier delivery's answer was replayed.
func (s *chatStages) claim(ctx context.Context) (done bool, err error) {
	if s.who.Repeatable != identify.No {
		return false, nil
	}
	s.r.claimed(chatService, s.who.Key)
	s.at(StageClaim)
	held, earlier, err := s.p.Claim.Do(ctx, claim.Input{
		Service: chatService, Team: s.who.Team.Name, Key: s.who.Key,
		Request: s.r.contentHash(),
	})
	s.noteClaim(chatService, held, earlier)
	if err != nil || earlier == nil {
		s.held = held
		return false, err
	}
	if !earlier.BodyKept || s.chat.Stream {
		return false, &result.Error{Code: result.ClaimUnknown, Ran: result.RunDone, Detail: "The request ran before; its answer can't be replayed."}
	}
	return true, s.r.replay(s.caller, earlier)
}

// fail bills a request that may have run although its answer never began, and settles its claim.
func (s *chatStages) fail(ctx context.Context, err error) error {
	if e := result.From(err); e.Ran != result.NotRun {
		s.p.Bill.Do(ctx, bill.Input{
			Team: s.who.Team.Name, Service: chatService, Key: s.who.Key, RequestID: s.r.ID, Content: s.r.contentHash(), Code: e.Code, Now: s.p.Now(),
		})
	}
	return settleClaim(s.held, err)
}

func (s *chatStages) choose() error {
	s.at(StageChoose)
	var err error
	s.choice, err = s.choiceUnder(s.view, s.who.Team)
	if err != nil {
		return err
	}
	s.outcome.Explored, s.outcome.Cascade = s.choice.Explored, s.choice.Cascade != nil
	choice := s.choice // a copy, since a pointer into the stages would keep the request's body
	s.outcome.Choice = &choice
	s.update(func(p *Position) { p.Choice = &choice })
	return nil
}

func (s *chatStages) choiceUnder(view *config.View, team *object.Team) (choose.Choice, error) {
	return s.p.Choose.Do(choose.Input{
		View: view, Team: team, Model: s.chat.Model, Kind: s.who.Kind, Session: s.who.Session, RequestID: s.r.ID, Now: s.start,
		NoCascade: s.held != nil,
	})
}

// renew chooses again if the configuration has changed since the last choice. A step of a cascade keeps to its model.
func (s *chatStages) renew(used *config.View, candidates []choose.Candidate) (*config.View, []choose.Candidate, error) {
	view := s.p.Config.View()
	if view == used {
		return used, candidates, nil
	}
	team, err := s.teamUnder(view)
	if err != nil {
		return nil, nil, err
	}
	choice, err := s.choiceUnder(view, team)
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

func (s *chatStages) dispatch(ctx context.Context) error {
	s.at(StageDispatch)
	if s.choice.Cascade != nil {
		if err := s.climb(ctx); err != nil {
			return err
		}
	} else {
		answer, err := s.p.Dispatch.Do(ctx, s.call(s.r.ID, s.choice.Candidates))
		if err != nil {
			return err
		}
		s.answer, s.source = answer, answer
	}
	s.outcome.FirstByte = s.p.Now().Sub(s.start)
	s.outcome.Version = s.answer.Version().Name
	s.update(func(p *Position) { p.Target = s.outcome.Version })
	return nil
}

func (s *chatStages) call(id string, candidates []choose.Candidate) dispatch.Input {
	current := candidates
	renew := func(used *config.View) (*config.View, []choose.Candidate, error) {
		view, list, err := s.renew(used, current)
		if err == nil {
			current = list
		}
		return view, list, err
	}
	return dispatch.Input{
		View: s.view, RequestID: id, Team: s.who.Team.Name, Candidates: candidates, Body: s.r.Body, Priority: s.who.Priority,
		Tokens: s.prompt, MaxTokens: s.maxTokens, Prefix: s.chat.prefix(), Fingerprint: poison.Fingerprint(s.who.Team.Name, s.r.Body), AtMostOnce: s.held != nil,
		Refresh: renew, Cache: s.cache(),
	}
}

// relay sends the answer, except for the end that the caller sees only after the bill is kept.
func (s *chatStages) relay() error {
	s.at(StageRelay)
	source := &observed{Source: s.source}
	defer func() {
		s.outcome.RequestKind, s.outcome.RatedVersion = s.who.Kind, s.ratedVersion(s.answer.Version().Name)
		s.outcome.Confidence = source.confidence
	}()
	meta := relay.Meta{ID: "chatcmpl-" + s.r.ID, Model: s.answer.Version().Name, Created: s.start.Unix(), PauseAfter: s.p.PauseAfter}
	if !s.chat.Stream {
		var err error
		s.whole, err = relay.Collect(source, meta)
		return err
	}
	h, err := s.header()
	if err != nil {
		return err
	}
	if err := s.caller.Begin(http.StatusOK, relay.StreamHeader(h)); err != nil {
		return &result.Error{Code: result.CallerGone, Ran: result.RunDone, Err: err}
	}
	return relay.Stream(source, s.caller, meta)
}

func (s *chatStages) header() (http.Header, error) {
	h := s.r.answerHeader()
	v := s.answer.Version()
	h.Set(relay.HeaderVersion, s.ratedVersion(v.Name))
	tok := s.who.Session
	tok.ID = s.sessionID()
	if tok.Issued.IsZero() || choose.Expired(s.view, s.who.Team, tok, s.start) {
		tok.Issued, tok.Versions = s.start, nil
	}
	tok.Team = s.who.Team.Name
	tok.Versions = slices.DeleteFunc(slices.Clone(tok.Versions), func(name string) bool {
		old := s.view.Versions[name]
		return old == nil || old.Model == v.Model
	})
	tok.Versions = append(tok.Versions, v.Name)
	tok.Cache = s.answer.CacheLocation()
	value, err := s.p.Signer.Encode(tok)
	if err != nil {
		return nil, result.Wrap(result.Internal, result.RunDone, err)
	}
	h.Set(identify.HeaderSession, value)
	return h, nil
}

// sessionID returns the identifier of the session. A request without one begins a session of its own.
func (s *chatStages) sessionID() string {
	if s.who.Session.ID == "" {
		return s.r.ID
	}
	return s.who.Session.ID
}

// cache returns what the session's token says of its KV cache.
func (s *chatStages) cache() cachemove.Session {
	tok := s.who.Session
	c := cachemove.Session{Team: s.who.Team.Name, ID: s.sessionID()}
	if tok.Cache != nil && len(tok.Versions) > 0 {
		c.Version, c.EndpointHash, c.Tokens = tok.Versions[len(tok.Versions)-1], tok.Cache.Endpoint, tok.Cache.Tokens
	}
	return c
}

// ratedVersion returns the version under which the answer is rated. A cascade's answers are rated apart from those of
// the version alone, see quality.Summary.
func (s *chatStages) ratedVersion(name string) string {
	if s.choice.Cascade != nil {
		return s.choice.Cascade.Label() + name
	}
	return name
}

func (s *chatStages) bill(ctx context.Context, err error) {
	s.at(StageBill)
	s.outcome.Attempts = append(s.outcome.Attempts, s.answer.Attempts()...)
	code := result.OK
	if err != nil {
		code = result.From(err).Code
	}
	u := s.answer.Usage()
	s.calls = append(s.calls, bill.ModelCall(s.answer.Version(), u.InputTokens, u.OutputTokens))
	s.writeBill(ctx, code)
}

// writeBill writes one bill with all model calls.
func (s *chatStages) writeBill(ctx context.Context, code result.Code) {
	s.p.Bill.Do(ctx, bill.Input{
		Team: s.who.Team.Name, Service: chatService, Key: s.who.Key, RequestID: s.r.ID, Content: s.r.contentHash(), Code: code, Now: s.p.Now(),
		Calls: s.calls,
	})
}

// finish sends the end of the answer, or the error that ended it.
func (s *chatStages) finish(err error) error {
	s.at(StageFinish)
	if err != nil {
		settleClaim(s.held, err)
		if s.chat.Stream {
			_ = relay.Fail(s.caller, result.From(err)) // the caller may have left
		}
		return err
	}
	if s.chat.Stream {
		if s.held != nil {
			s.held.Finish(claim.Done, http.StatusOK, nil, nil, false)
		}
		return relay.Finish(s.caller)
	}
	h, err := s.header()
	if err != nil {
		return err
	}
	h.Set("Content-Type", "application/json")
	if s.held != nil {
		s.held.Finish(claim.Done, http.StatusOK, h, s.whole, true)
	}
	if err := s.caller.Reply(http.StatusOK, h, s.whole); err != nil {
		return &result.Error{Code: result.CallerGone, Ran: result.RunDone, Err: err}
	}
	return nil
}
