package pipeline

import (
	"context"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleytrail/bramleytrail/cascade"
	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/dispatch"
	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/keyed"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/poison"
	"github.com/bramleytrail/bramleytrail/pool"
	"github.com/bramleytrail/bramleytrail/relay"
	"github.com/bramleytrail/bramleytrail/result"
)

// AnyModel is the model name with which a caller leaves the choice to the router.
const AnyModel = "*"

// Metadata describes a request whose body the router does not read.
type Metadata struct {
	Host      string
	APIKey    string        // bearer token, empty if there is none
	Remaining time.Duration // from the arrival until the caller gives up, 0 if unknown
	// Model is the model that the caller names, or AnyModel; empty for services without models.
	Model          string
	Prompt         int64               // tokens
	MaxTokens      int64               // limit of the answer
	ExpectedTokens int64               // caller's estimate for the answer, 0 for none
	Parts          []engine.PromptPart // of the prompt, in order; the last one is the request's own, the others are shared
	LastEventID    int64               // ID of the last event that the caller received of an interrupted stream, 0 for none
}

// Releases decides which version of a service's software serves a request. Implementations must be safe for concurrent use.
type Releases interface {
	// Assign returns the version that must serve the next attempt of a request, and the one that must not; empty strings for
	// no restriction. isSession says that session identifies a session and not only the request. A retry never goes to a version
	// in its canary phase.
	Assign(view *config.View, service string, session uint64, isSession, retry bool) (required, excluded string)
	// Used records that a session of a team is in use on a version. It is called with each answer of an endpoint, when the request may
	// take up to limit longer, and with ended set at the end of the request.
	Used(service, version, team string, session uint64, limit time.Duration, ended bool)
	// BeginStream records the first event of a stream. RecordPace records the mean time between its events, once it has had
	// PaceIntervals of them or has ended; 0 says that there were too few.
	BeginStream(s Stream)
	RecordPace(s Stream, interval time.Duration)
}

// Stream identifies a stream of an endpoint.
type Stream struct{ Request, Service, Version, Route, Model, Endpoint string }

const (
	// PaceIntervals is the number of intervals between events after which the pace of a stream is recorded.
	PaceIntervals = 4
	// minPaceIntervals is the smallest number of intervals whose mean says something about an endpoint.
	minPaceIntervals = 2
)

// Routes holds what only requests of routes need.
type Routes struct {
	Releases Releases // nil if there are no releases
	// Escalator chooses among the models of a route by the confidence in their answers and their prices.
	Escalator *cascade.Escalator
	// AnswerValue is the value of a good answer as a multiple of the largest model's tariff, see cascade.Value.
	AnswerValue float64
	// EventIntervals estimates how long streams take.
	EventIntervals *relay.EventIntervals
	// MayBeBehind reports whether a newer configuration than the one in force may exist; nil for never.
	MayBeBehind func() bool
	// OnSend is called when an attempt at an endpoint begins, and OnAttempt at its end; they may be nil.
	OnSend, OnAttempt func(dispatch.RoutedAttempt)
	// OnAnswer is called once for a request, when the header of its first answer has arrived from an endpoint that ran it. Endpoints send it with
	// the first event or byte of the answer. It may be nil.
	OnAnswer func(team string)
	// OnBroken is called when the connection of an attempt broke; it may be nil.
	OnBroken func(dispatch.BrokenAttempt)
	// OnEscalate is called when an answer is dropped to ask a larger model, and OnKeep when an answer is delivered although it is more likely
	// poor than good; they may be nil.
	OnEscalate func(EscalationOutcome)
	OnKeep     func(KeptAnswer)
}

// routedStages holds the state of one request of a route. Its methods are the stages.
type routedStages struct {
	*requestState
	p      *Pipeline
	r      *Request
	caller relay.Caller

	route       *object.Route
	team        string // empty for a public route without a key
	service     string
	model       int              // index in route.Models
	answers     []cascade.Answer // of the models of a cascade so far
	exchange    *dispatch.Exchange
	answer      *dispatch.RoutedAnswer
	lastEventID int64 // ID of the last event that was sent to the caller
	answered    bool  // OnAnswer was called
	backlog     backlog
}

// Route serves a request of a route, for which r.Meta must be set, and sends the answer, or an error response, to c. It returns
// an error as Chat does. If the answer had begun, the caller of Route must end it visibly incomplete.
func (p *Pipeline) Route(ctx context.Context, r *Request, c relay.Caller) error {
	err := p.serve(ctx, r, "routed", func(ctx context.Context, rs *requestState) error {
		s := &routedStages{requestState: rs, p: p, r: r, caller: c, backlog: backlog{now: p.Now}}
		if err := s.identify(); err != nil {
			return err
		}
		ctx, cancel, err := s.withTimeout(ctx)
		if err != nil {
			return err
		}
		defer cancel()
		s.choose()
		if err := s.dispatch(ctx); err != nil {
			return err
		}
		defer func() {
			s.answer.Close()
			s.recordSessionUse(s.answer.Release, true)
		}()
		err = s.relay(ctx)
		if err == nil && p.Closing != nil && !s.route.MayRepeat() {
			p.Closing.observe(s.route.Name, p.Now().Sub(s.start))
		}
		return err
	})
	return p.reportError(err, r, c)
}

// identify finds the route and the team of the request, and counts its body towards the team's limits. A key is required
// unless the route is public or no teams are configured.
func (s *routedStages) identify() error {
	s.setStage(StageIdentify)
	var err error
	if s.route, s.team, err = identifyRouted(s.view, s.r); s.route != nil {
		s.outcome.Route = s.route
	}
	if err != nil {
		return s.deny(err)
	}
	s.outcome.Team = s.team
	s.updatePosition(func(p *Position) { p.Team = s.team })
	if s.r.Denied { // a newer configuration allows it, but its body is gone
		return result.Newf(result.OutdatedConfig, "").WithRetryAfter(noConfigRetryAfter)
	}
	return s.permit.Charge(s.team, int64(len(s.r.Body)))
}

// identifyRouted returns the route of a request and its team, which is empty for a public route without a key.
func identifyRouted(view *config.View, r *Request) (route *object.Route, team string, err error) {
	path, _, _ := strings.Cut(r.Path, "?")
	if route = view.Route(r.Meta.Host, path); route == nil {
		return nil, "", result.Newf(result.UnknownService, "No route of host %q.", r.Meta.Host)
	}
	t := view.TeamByKey(r.Meta.APIKey)
	if t == nil && !route.Public && len(view.Teams) > 0 {
		return route, "", result.Newf(result.Unauthenticated, "")
	}
	if t != nil {
		team = t.Name
	}
	return route, team, nil
}

const (
	// maxConfigWait is the longest time for which a request waits for the first configuration. Daemons that start together load it within
	// 600 ms; callers give up requests that are not read within a second.
	maxConfigWait = 700 * time.Millisecond
	// configWaitShare is the fraction of the caller's time that a request waits at most.
	configWaitShare = 0.125
	// startTime is the time from the start of a daemon in which it expects its first configuration. Later, the store is unavailable and
	// requests are rejected at once.
	startTime = 2 * time.Second
)

// AwaitConfiguration waits a moment for the first configuration if the daemon has just started: after a loss of all daemons, the callers of
// all broken requests return at once. It reduces the remaining time of the request accordingly.
func (p *Pipeline) AwaitConfiguration(ctx context.Context, r *Request) {
	now := p.Now()
	if p.Config.View() != nil || p.Started.IsZero() || now.Sub(p.Started) > startTime {
		return
	}
	wait := maxConfigWait
	if d := r.Meta.Remaining; d > 0 {
		wait = min(wait, time.Duration(configWaitShare*float64(d)))
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	p.Config.Await(ctx)
	if r.Meta.Remaining > 0 {
		r.Meta.Remaining = max(time.Millisecond, r.Meta.Remaining-p.Now().Sub(now))
	}
}

// Denies reports whether Route would deny a request whatever its body is, so that the body need not be kept, and returns its
// team, which is empty for a request without a valid key.
func (p *Pipeline) Denies(r *Request) (team string, denied bool) {
	view := p.Config.View()
	if view == nil {
		return "", true
	}
	_, team, err := identifyRouted(view, r)
	return team, err != nil
}

// deny returns an error that says for good that the request is not allowed, or one for the time being if a newer configuration may allow it.
func (s *routedStages) deny(final error) error {
	if behind := s.p.Routes.MayBeBehind; behind != nil && behind() {
		return result.Newf(result.OutdatedConfig, "").WithRetryAfter(noConfigRetryAfter)
	}
	return final
}

// defaultTimeout bounds a request if neither its caller nor its route has a time limit, so that an endpoint that never ends
// its answer does not hold a connection forever.
const defaultTimeout = 10 * time.Minute

// withTimeout returns a context that ends at the caller's deadline or after the route's timeout, whichever is first. Both
// count from the arrival of the request. The context also ends with a planned stop of the daemon. It returns an error if the request
// must not run because of the stop.
func (s *routedStages) withTimeout(ctx context.Context) (context.Context, context.CancelFunc, error) {
	timeout := s.route.Timeout
	if d := s.r.Meta.Remaining; d > 0 && (timeout <= 0 || d < timeout) {
		timeout = d
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithDeadline(ctx, s.start.Add(timeout))
	if s.p.Closing == nil {
		return ctx, cancel, nil
	}
	if err := s.p.Closing.admit(s.route, timeout, s.start); err != nil {
		cancel()
		return nil, nil, err
	}
	ctx, unbind := s.p.Closing.bound(ctx)
	return ctx, func() { unbind(); cancel() }, nil
}

// choose picks the service among the route's backends. Requests with the same ID get the same service.
func (s *routedStages) choose() {
	s.setStage(StageChoose)
	s.service = pickBackend(s.route, xxhash.Sum64String(s.r.ID))
	s.outcome.Version = s.service
	s.updatePosition(func(p *Position) { p.Target = s.service })
}

// isCascade reports whether the router chooses the model, by a cascade over the models of the route.
func (s *routedStages) isCascade() bool {
	return s.r.Meta.Model == AnyModel && len(s.route.Models) > 0
}

// modelName returns the model for the next attempt.
func (s *routedStages) modelName() string {
	if s.isCascade() {
		return s.route.Models[s.model]
	}
	return s.r.Meta.Model
}

// pickBackend picks one of a route's services at random by weight; hash is the source of randomness. Without positive
// weights, the first service is picked.
func pickBackend(route *object.Route, hash uint64) string {
	total := 0
	for _, b := range route.Backends {
		total += max(0, b.Weight)
	}
	if total == 0 {
		return route.Backends[0].Service
	}
	n := int(hash % uint64(total))
	for _, b := range route.Backends {
		if n -= max(0, b.Weight); n < 0 {
			return b.Service
		}
	}
	return route.Backends[0].Service
}

// rank returns the urgency of the request in the queue, 0 is the most urgent. The team's rank overrides the route's.
func (s *routedStages) rank() int {
	rank := s.route.Rank
	if t := s.view.Teams[s.team]; t != nil && t.Rank != nil {
		rank = *t.Rank
	}
	return rank
}

// input describes the request to the dispatch filter.
func (s *routedStages) input() dispatch.RoutedInput {
	m := s.r.Meta
	in := dispatch.RoutedInput{
		View: s.view, Route: s.route, Service: s.service, Team: s.team, Rank: s.rank(), Prompt: m.Prompt,
		Fingerprint: poison.Fingerprint(s.team+"\x00"+s.r.Path, s.r.Body), Refresh: s.refresh, OnSend: s.p.Routes.OnSend, OnAttempt: s.p.Routes.OnAttempt, OnBroken: s.p.Routes.OnBroken,
		Request: engine.RoutedRequest{
			ID: s.r.ID, Method: s.r.Method, Host: m.Host, Target: s.r.Path, Header: s.r.Header, Body: s.r.Body, Team: s.team, Rank: s.rank(),
		},
		Query: pool.RoutedQuery{Team: keyed.OwnerOf(s.team), Parts: m.Parts, Target: s.route.TargetLatency, Gap: s.route.TargetGap, Bytes: len(s.r.Body)},
	}
	in.Arrived = s.start
	in.Duration = func(model string) time.Duration { return s.expectedDuration(model, m.ExpectedTokens) }
	in.Assign = func(view *config.View, retry bool) (required, excluded string) {
		if s.p.Routes.Releases == nil {
			return "", ""
		}
		return s.p.Routes.Releases.Assign(view, s.service, s.sessionHash(), s.inSession(), retry)
	}
	return in
}

// sessionHash identifies the session of the request: requests with the same last shared part of the prompt belong together
// and should be served by one version. A request without parts is a session of its own.
func (s *routedStages) sessionHash() uint64 {
	if n := len(s.r.Meta.Parts); n > 0 {
		return s.r.Meta.Parts[max(0, n-2)].ID
	}
	return xxhash.Sum64String(s.r.ID)
}

// inSession reports whether the request belongs to a session.
func (s *routedStages) inSession() bool { return len(s.r.Meta.Parts) > 0 }

// refresh returns the newest configuration, which has the current state of failure domains. It never fails: the request was
// admitted, and the removal of its key or route must not end an answer in progress.
func (s *routedStages) refresh() (*config.View, error) { return s.p.Config.View(), nil }

// dispatch gets the start of an answer. It retries after error answers of the endpoint itself, and asks a larger model if
// the answer of a smaller one is doubtful.
func (s *routedStages) dispatch(ctx context.Context) error {
	s.setStage(StageDispatch)
	s.exchange = s.p.Dispatch.NewExchange(ctx, s.input())
	for {
		answer, err := s.exchange.Do(s.modelName(), s.r.Meta.LastEventID)
		if err != nil {
			return err
		}
		s.recordAnswered()
		failed := answer.IsFailure()
		s.recordSessionUse(answer.Release, false)
		if failed && answer.Retry() {
			continue
		}
		if !failed && s.escalate(ctx, answer) {
			continue
		}
		if failed {
			s.outcome.NotRepeated = s.exchange.NotAdmitted()
		}
		answer.CountRun()
		s.answer = answer
		break
	}
	s.outcome.FirstByte = s.p.Now().Sub(s.start)
	return nil
}

// recordAnswered reports the first answer of the request. Further ones, of a retry or of a larger model, are not reported.
func (s *routedStages) recordAnswered() {
	if s.answered || s.p.Routes.OnAnswer == nil {
		return
	}
	s.answered = true
	s.p.Routes.OnAnswer(s.team)
}

// recordSessionUse reports to Releases that the session is in use on a version, or that this request's use has ended.
func (s *routedStages) recordSessionUse(version string, ended bool) {
	if r := s.p.Routes.Releases; r != nil && s.inSession() {
		r.Used(s.service, version, s.team, s.sessionHash(), s.route.Timeout, ended)
	}
}
