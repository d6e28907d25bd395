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

// Pipeline serves requests. Its fields must not change after the first request; Chat, Plain and Route may be called
// concurrently. Route uses only Config, Admit, Dispatch, Routes, Now, OnStart and OnFinish.
type Pipeline struct {
	Config *config.Holder

	Admit    *admit.Filter
	Identify *identify.Filter
	Claim    *claim.Filter
	Choose   *choose.Filter
	Dispatch *dispatch.Filter
	Bill     *bill.Filter

	// Routes holds what only requests of routes need; nil if there are no routes.
	Routes *Routes
	// Closing is the planned stop of this daemon, for requests of routes; nil if their requests need not end with it.
	Closing *Closing

	Escalations *cascade.EscalationRates // counts how often each cascade escalates
	Signer      *session.Signer          // signs the session tokens in answers
	// PauseAfter is the time for which a write to the caller of a streamed answer may block before the answer releases its
	// endpoint; 0 for never.
	PauseAfter time.Duration
	Now        func() time.Time
	// Started is when the daemon started, for AwaitConfiguration; the zero time for requests that do not wait.
	Started time.Time
	// OnStart is called when a request arrives, OnFinish once it has ended. Both are called on the request's goroutine.
	OnStart  func(*Progress)
	OnFinish func(Outcome)
}

// Outcome describes a finished request.
type Outcome struct {
	RequestID string
	Team      string
	Kind      string        // "chat", "plain" or "routed"
	Version   string        // version that answered; the service for plain calls and requests of routes
	Route     *object.Route // nil if the request is not one of a route
	Code      result.Code
	FirstByte time.Duration // from the arrival until the answer began; 0 if none did
	Total     time.Duration // from the arrival until the end
	Attempts  []dispatch.Attempt
	Explored  bool // the version or cascade was chosen to gather ratings of it
	Cascade   bool // a cascade was chosen
	// RequestKind and RatedVersion identify what a rating of the answer counts for. Confidence is the model's confidence in
	// the answer, 0 if the engine reported none. All three are set for chat requests only.
	RequestKind  string
	RatedVersion string
	Confidence   float64
	Choice       *choose.Choice // chat requests only; nil if the request ended before the choice
	ClaimHolder
	// NotRepeated is why the failure of an endpoint was the answer although the route allows another attempt; empty if admission allowed
	// it.
	NotRepeated string
	// Stream describes a routed stream; nil for other answers.
	Stream *StreamOutcome
	Err    error // nil for a request that was answered completely
}

// StreamOutcome describes a finished routed stream.
type StreamOutcome struct {
	Model     string
	Endpoint  string // ID of the first endpoint
	Release   string // software version of the first endpoint
	Session   uint64 // hash, see routedStages.sessionHash
	Prompt    int64  // tokens
	MaxTokens int64  // limit of the answer
	Events    int    // with data
	// MaxGap is the longest time between two events with data. After an interruption, it counts from the start of the new
	// endpoint's stream.
	MaxGap  time.Duration
	Resumes int // interruptions after which the stream was continued, or a continuation was attempted
}

// requestState holds what the first stages of a request determine for the later ones. Only its progress is shared with other
// goroutines.
type requestState struct {
	view          *config.View
	requestHeader http.Header
	identity      *identify.Output
	start         time.Time
	outcome       *Outcome

	progress *Progress
	permit   *admit.Permit
}

// reauthenticate returns the caller's team as declared in view, a newer configuration than that of the request. It fails if
// the caller's key was removed.
func (rs *requestState) reauthenticate(view *config.View) (*object.Team, error) {
	return identify.Team(view, rs.requestHeader)
}

// serve admits a request, runs the later stages in next, and reports the outcome to OnFinish.
func (p *Pipeline) serve(ctx context.Context, r *Request, kind string, next func(context.Context, *requestState) error) error {
	rs := &requestState{requestHeader: r.Header, start: p.Now(), outcome: &Outcome{RequestID: r.ID, Kind: kind}}
	rs.progress = &Progress{ID: r.ID, Kind: kind, Start: rs.start, position: Position{Stage: StageAdmit}}
	p.OnStart(rs.progress)
	err := p.admit(ctx, r, rs, next)
	rs.outcome.Err = err
	if err != nil {
		rs.outcome.Code = result.From(err).Code
	}
	rs.outcome.Total = p.Now().Sub(rs.start)
	p.OnFinish(*rs.outcome)
	return err
}

// admit runs next if the request is within the daemon's limits and a configuration is in force. It holds the permit until
// next returns.
func (p *Pipeline) admit(ctx context.Context, r *Request, rs *requestState, next func(context.Context, *requestState) error) error {
	permit, err := p.Admit.Do()
	if err != nil {
		return err
	}
	defer permit.Release()
	rs.permit = permit
	if rs.view = p.Config.View(); rs.view == nil {
		return result.Newf(result.NoConfiguration, "").WithRetryAfter(noConfigRetryAfter)
	}
	return next(ctx, rs)
}

// withIdentity returns a stage that authenticates the caller, counts the body towards the team's limits and applies the
// caller's deadline before it runs next. It refuses requests whose bill could not be held in memory.
func (p *Pipeline) withIdentity(r *Request, next func(context.Context, *requestState) error) func(context.Context, *requestState) error {
	return func(ctx context.Context, rs *requestState) (err error) {
		if p.Bill.Full() {
			return result.Newf(result.Overloaded, "There is no room for the request's bill.").WithRetryAfter(billsFullRetryAfter)
		}
		rs.setStage(StageIdentify)
		if rs.identity, err = p.Identify.Do(rs.view, r.Header, rs.start); err != nil {
			return err
		}
		defer rs.identity.Release()
		rs.outcome.Team = rs.identity.Team.Name
		rs.updatePosition(func(p *Position) { p.Team = rs.identity.Team.Name })
		if err := rs.permit.Charge(rs.identity.Team.Name, int64(len(r.Body))); err != nil {
			return err
		}
		if !rs.identity.Deadline.IsZero() {
			var cancel context.CancelFunc
			ctx, cancel = context.WithDeadline(ctx, rs.identity.Deadline)
			defer cancel()
		}
		return next(ctx, rs)
	}
}

const (
	// noConfigRetryAfter is the delay after which a caller is told to retry if the daemon has no configuration. A daemon
	// loads one within 500 ms of its start unless the store is unavailable.
	noConfigRetryAfter = 500 * time.Millisecond
	// billsFullRetryAfter is the delay after which a caller is told to retry if the daemon can hold no more bills.
	billsFullRetryAfter = 5 * time.Second
)

// Chat serves a chat completion request and sends the answer, or an error response, to c. It returns an error if the answer
// is not complete; that was already reported to OnFinish and, where possible, to the caller.
func (p *Pipeline) Chat(ctx context.Context, r *Request, c relay.Caller) error {
	err := p.serve(ctx, r, "chat", p.withIdentity(r, func(ctx context.Context, rs *requestState) error {
		s, err := p.newChatStages(r, c, rs)
		if err != nil {
			return err
		}
		done, err := s.claim(ctx)
		if done || err != nil {
			return err
		}
		if err := s.choose(); err != nil {
			return settleClaim(s.heldClaim, err)
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

// Plain serves a call of a plain service and sends the answer, or an error response, to c. It returns an error as Chat does.
func (p *Pipeline) Plain(ctx context.Context, service string, r *Request, c relay.Caller) error {
	err := p.serve(ctx, r, "plain", p.withIdentity(r, func(ctx context.Context, rs *requestState) error {
		s, err := p.newPlainStages(service, r, c, rs)
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

// replay sends the recorded answer of an earlier delivery of the request, with the headers of this one.
func (r *Request) replay(c relay.Caller, earlier *claim.Record) error {
	h := earlier.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	for name, values := range r.answerHeader() {
		h[name] = values
	}
	h.Set(relay.HeaderRan, result.DidRun.String())
	return c.Reply(earlier.Status, h, earlier.Body)
}

// settleClaim ends the claim of a request that failed with err, and returns err. The claim is released if the request did
// not run; otherwise its outcome is recorded as unknown. c may be nil.
func settleClaim(c *claim.Claim, err error) error {
	if c == nil {
		return err
	}
	if result.From(err).Ran == result.NotRun {
		c.Release()
	} else {
		c.Finish(claim.Unknown, 0, nil, nil, false)
	}
	return err
}

// reportError sends an error response for err, if it is not nil, and returns it as a *result.Error. Once an answer has begun,
// no response is sent: the stage that failed has dealt with the unfinished answer.
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
	relay.SetErrorHeaders(h, e)
	_ = c.Reply(e.Code.Info().Status, h, relay.ErrorBody(e)) // the caller may have left
	return e
}
