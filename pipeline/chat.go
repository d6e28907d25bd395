package pipeline

import (
	"context"
	"net/http"
	"slices"

	"github.com/bramleytrail/bramleytrail/bill"
	"github.com/bramleytrail/bramleytrail/choose"
	"github.com/bramleytrail/bramleytrail/claim"
	"github.com/bramleytrail/bramleytrail/dispatch"
	"github.com/bramleytrail/bramleytrail/identify"
	"github.com/bramleytrail/bramleytrail/ledger"
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

	chat       chat
	prompt     int64
	maxTokens  int64
	held       *claim.Claim
	candidates []choose.Candidate
	answer     *dispatch.Answer
	whole      []byte // answer of a request without streaming
}

func (p *Pipeline) newChatStages(r *Request, c relay.Caller, e *entered) (*chatStages, error) {
	s := &chatStages{entered: e, p: p, r: r, caller: c}
	var err error
	if s.chat, err = parseChat(r.Body); err != nil {
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
	held, earlier, err := s.p.Claim.Do(ctx, claim.Input{
		Service: chatService, Team: s.who.Team.Name, Key: s.who.Key,
		Request: claim.RequestHash(s.r.Method, s.r.Path, s.r.Body),
	})
	if err != nil || earlier == nil {
		s.held = held
		return false, err
	}
	if !earlier.BodyKept || s.chat.Stream {
		return false, &result.Error{Code: result.ClaimUnknown, Ran: result.RunDone, Detail: "The request ran before; its answer can't be replayed."}
	}
	return true, s.caller.Reply(earlier.Status, earlier.Header, earlier.Body)
}

// release gives the claim back if the request did not run.
func (s *chatStages) release(err error) error {
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

func (s *chatStages) choose() error {
	var err error
	s.candidates, err = s.p.Choose.Do(choose.Input{
		View: s.view, Team: s.who.Team, Model: s.chat.Model, Kind: s.who.Kind, Session: s.who.Session, RequestID: s.r.ID, Now: s.start,
	})
	return err
}

func (s *chatStages) dispatch(ctx context.Context) error {
	answer, err := s.p.Dispatch.Do(ctx, dispatch.Input{
		View: s.view, RequestID: s.r.ID, Team: s.who.Team.Name, Candidates: s.candidates, Body: s.r.Body, Priority: s.who.Priority,
		Tokens: s.prompt, MaxTokens: s.maxTokens, Fingerprint: poison.Fingerprint(s.who.Team.Name, s.r.Body), Once: s.held != nil,
	})
	if err != nil {
		return err
	}
	s.answer = answer
	s.outcome.FirstByte = s.p.Now().Sub(s.start)
	s.outcome.Version = answer.Version().Name
	return nil
}

// relay sends the answer, except for the end that the caller sees only after the bill is kept.
func (s *chatStages) relay() error {
	meta := relay.Meta{ID: "chatcmpl-" + s.r.ID, Model: s.answer.Version().Name, Created: s.start.Unix(), PauseAfter: s.p.PauseAfter}
	if !s.chat.Stream {
		var err error
		s.whole, err = relay.Collect(s.answer, meta)
		return err
	}
	h, err := s.header()
	if err != nil {
		return err
	}
	if err := s.caller.Begin(http.StatusOK, relay.StreamHeader(h)); err != nil {
		return &result.Error{Code: result.CallerGone, Ran: result.RunDone, Err: err}
	}
	return relay.Stream(s.answer, s.caller, meta)
}

func (s *chatStages) header() (http.Header, error) {
	h := header(s.r.ID)
	v := s.answer.Version()
	h.Set(relay.HeaderVersion, v.Name)
	tok := s.who.Session
	if tok.ID == "" {
		tok.ID = s.r.ID
	}
	if tok.Issued.IsZero() {
		tok.Issued = s.start
	}
	tok.Team = s.who.Team.Name
	tok.Versions = slices.DeleteFunc(slices.Clone(tok.Versions), func(name string) bool {
		old := s.view.Versions[name]
		return old == nil || old.Model == v.Model
	})
	tok.Versions = append(tok.Versions, v.Name)
	value, err := s.p.Signer.Encode(tok)
	if err != nil {
		return nil, result.Wrap(result.Internal, result.RunDone, err)
	}
	h.Set(identify.HeaderSession, value)
	return h, nil
}

func (s *chatStages) bill(ctx context.Context, err error) {
	s.outcome.Attempts = s.answer.Attempts()
	code := result.OK
	if err != nil {
		code = result.From(err).Code
	}
	u := s.answer.Usage()
	s.p.Bill.Do(ctx, bill.Input{
		Team: s.who.Team.Name, Service: chatService, Key: s.who.Key, RequestID: s.r.ID, Code: code, Now: s.p.Now(),
		Calls: []ledger.Call{bill.ModelCall(s.answer.Version(), u.InputTokens, u.OutputTokens)},
	})
}

// finish sends the end of the answer, or the error that ended it.
func (s *chatStages) finish(err error) error {
	if err != nil {
		s.release(err)
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

func header(requestID string) http.Header {
	h := http.Header{}
	h.Set(relay.HeaderRequestID, requestID)
	return h
}
