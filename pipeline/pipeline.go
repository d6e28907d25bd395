package pipeline

import (
	"context"
	"net/http"
	"time"

	"github.com/bramleytrail/bramleytrail/admit"
	"github.com/bramleytrail/bramleytrail/bill"
	"github.com/bramleytrail/bramleytrail/cascade"
	"github.com/bramleytrail/bramleytrail/choose"
	"github.com/bramleytrail/bramleytrail/claim"
	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/dispatch"
	"github.com/bramleytrail/bramleytrail/identify"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/relay"
	"github.com/bramleytrail/bramleytrail/result"
	"github.com/bramleytrail/bramleytrail/session"
)

// Pipeline holds the stages in their order.
type Pipeline struct {
	Config *config.Holder

	Admit    *admit.Filter
	Identify *identify.Filter
	Claim    *claim.Filter
	Choose   *choose.Filter
	Dispatch *dispatch.Filter
	Bill     *bill.Filter

	// Routes serves requests of routes; nil if there are none.
	Routes *Routes

	Climbs *cascade.EscalationRates
	Signer *session.Signer
	// PauseAfter is the time after which a streamed answer that its caller doesn't read gives up its endpoint; 0 for never.
	PauseAfter time.Duration
	Now        func() time.Time
	// Begin is called at the start of each request, Observe at its end.
	Begin   func(*Progress)
	Observe func(Outcome)
}

// Outcome describes a finished request.
type Outcome struct {
	RequestID string
	Team      string
	Kind      string // "chat" or "plain"
	Version   string // version or service that answered
	Code      result.Code
	FirstByte time.Duration // 0 if no answer began
	Total     time.Duration
	Attempts  []dispatch.Attempt
	Explored  bool // answered to learn about the version or cascade
	Cascade   bool
	// RequestKind, RatedVersion and Confidence say for what the answer is rated and how sure its model was; 0 if its engine
	// reported no confidence. They are empty for calls of plain services.
	RequestKind  string
	RatedVersion string
	Confidence   float64
	Choice       *choose.Choice // nil for calls of plain services and requests that ended before the choice
	ClaimHolder
	// Stream describes a routed stream; nil for other answers.
	Stream *StreamOutcome
	Err    error
}

// StreamOutcome describes how a routed stream went.
type StreamOutcome struct {
	Model    string
	Endpoint string
	Release  string
	Session  uint64
	Prompt   int64 // tokens
	Limit    int64 // tokens of the answer
	Events   int
	LongGap  time.Duration // longest time between two events
	Resumed  int           // times that it went on at another endpoint
}

// entered holds what the first two stages give to the later ones.
type entered struct {
	view    *config.View
	header  http.Header
	who     *identify.Output
	start   time.Time
	outcome *Outcome

	progress *Progress
	permit   *admit.Permit
}

// teamUnder returns the caller's team as a newer configuration declares it. A key that was removed is refused.
func (e *entered) teamUnder(view *config.View) (*object.Team, error) {
	return identify.Team(view, e.header)
}

// run passes a request through admit, then through the given stages, and reports the outcome.
func (p *Pipeline) run(ctx context.Context, r *Request, kind string, rest func(context.Context, *entered) error) error {
	e := &entered{header: r.Header, start: p.Now(), outcome: &Outcome{RequestID: r.ID, Kind: kind}}
	e.progress = &Progress{ID: r.ID, Kind: kind, Start: e.start, where: Position{Stage: StageAdmit}}
	p.Begin(e.progress)
	err := p.enter(ctx, r, e, rest)
	e.outcome.Err = err
	if err != nil {
		e.outcome.Code = result.From(err).Code
	}
	e.outcome.Total = p.Now().Sub(e.start)
	p.Observe(*e.outcome)
	return err
}

// enter admits a request under the configuration in force.
func (p *Pipeline) enter(ctx context.Context, r *Request, e *entered, rest func(context.Context, *entered) error) error {
	permit, err := p.Admit.Do()
	if err != nil {
		return err
	}
	defer permit.Release()
	e.permit = permit
	if e.view = p.Config.View(); e.view == nil {
		return result.Newf(result.NoConfiguration, "").WithRetry(configRetry)
	}
	return rest(ctx, e)
}

// identified returns a stage that finds the caller's team by the request's headers, before the given ones.
func (p *Pipeline) identified(r *Request, rest func(context.Context, *entered) error) func(context.Context, *entered) error {
	return func(ctx context.Context, e *entered) (err error) {
		if p.Bill.Full() {
			return result.Newf(result.Overloaded, "There is no room for the request's bill.").WithRetry(billRetry)
		}
		e.at(StageIdentify)
		if e.who, err = p.Identify.Do(e.view, r.Header, e.start); err != nil {
			return err
		}
		defer e.who.Release()
		e.outcome.Team = e.who.Team.Name
		e.update(func(p *Position) { p.Team = e.who.Team.Name })
		if err := e.permit.Charge(e.who.Team.Name, int64(len(r.Body))); err != nil {
			return err
		}
		if !e.who.Deadline.IsZero() {
			var cancel context.CancelFunc
			ctx, cancel = context.WithDeadline(ctx, e.who.Deadline)
			defer cancel()
		}
		return rest(ctx, e)
	}
}

const (
	// configRetry is the time after which a caller may retry at a daemon without a configuration: it gets one within half a
	// second of its start unless the store is away.
	configRetry = 500 * time.Millisecond
	billRetry   = 5 * time.Second
)

// Chat serves a chat completion request.
func (p *Pipeline) Chat(ctx context.Context, r *Request, c relay.Caller) error {
	err := p.run(ctx, r, "chat", p.identified(r, func(ctx context.Context, e *entered) error {
		s, err := p.newChatStages(r, c, e)
		if err != nil {
			return err
		}
		done, err := s.claim(ctx)
		if done || err != nil {
			return err
		}
		if err := s.choose(); err != nil {
			return settleClaim(s.held, err)
		}
		if err := s.dispatch(ctx); err != nil {
			return s.fail(ctx, err)
		}
		defer func() { s.answer.Close() }()
		err = s.relay()
		s.bill(ctx, err)
		return s.finish(err)
	}))
	return p.reportError(err, r, c)
}

// Plain serves a call of a plain service.
func (p *Pipeline) Plain(ctx context.Context, service string, r *Request, c relay.Caller) error {
	err := p.run(ctx, r, "plain", p.identified(r, func(ctx context.Context, e *entered) error {
		s, err := p.newPlainStages(service, r, c, e)
		if err != nil {
			return err
		}
		done, err := s.claim(ctx)
		if done || err != nil {
			return err
		}
		if err := s.dispatch(ctx); err != nil {
			return s.fail(ctx, err)
		}
		defer s.answer.Close()
		err = s.relay()
		s.bill(ctx, err)
		return s.finish(err)
	}))
	return p.reportError(err, r, c)
}

// replay sends the recorded answer of an earlier delivery.
func (r *Request) replay(c relay.Caller, earlier *claim.Record) error {
	h := earlier.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	for name, values := range r.answerHeader() {
		h[name] = values
	}
	h.Set(relay.HeaderRan, result.RunDone.String())
	return c.Reply(earlier.Status, h, earlier.Body)
}

// settleClaim gives the claim of a failed request back if the request did not run, and returns err. The claim may be nil.
func settleClaim(held *claim.Claim, err error) error {
	if held == nil {
		return err
	}
	if result.From(err).Ran == result.NotRun {
		held.Release()
	} else {
		held.Finish(claim.Unknown, 0, nil, nil, false)
	}
	return err
}

// reportError sends the error to the caller unless an answer has begun, in which case the stage has reported it.
func (p *Pipeline) reportError(err error, r *Request, c relay.Caller) error {
	if err == nil {
		return nil
	}
	e := result.From(err)
	if b, ok := c.(interface{ Begun() bool }); ok && b.Begun() {
		return e
	}
	if f, ok := c.(relay.Failer); ok {
		_ = f.Fail(e) // the caller may have left
		return e
	}
	h := r.answerHeader()
	relay.ErrorHeader(h, e)
	_ = c.Reply(e.Code.Info().Status, h, relay.ErrorBody(e)) // the caller may have left
	return e
}
