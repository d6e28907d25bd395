package pipeline

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleytrail/bramleytrail/cascade"
	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/dispatch"
	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/poison"
	"github.com/bramleytrail/bramleytrail/pool"
	"github.com/bramleytrail/bramleytrail/relay"
	"github.com/bramleytrail/bramleytrail/result"
)

// AnyModel is the model of a caller that leaves the choice to the router.
const AnyModel = "*"

// Metadata is what the router knows of a request whose body is opaque.
type Metadata struct {
	Host string
	Key  string        // bearer key, empty if there is none
	Left time.Duration // until the caller gives up, 0 if it does not say
	// Model is the model that the caller names, or AnyModel; empty for services without models.
	Model     string
	Prompt    int64 // tokens
	MaxTokens int64 // limit of the answer
	Expected  int64 // caller's estimate of the answer's tokens, 0 for none
	Parts     []engine.Part
	After     int64 // last event that the caller has of a stream that broke, 0 for none
}

// Releases decides which version of a service's software serves a request.
type Releases interface {
	// Assign returns the versions to which a request is restricted, see pool.RoutedQuery. One that is sent again goes to no
	// version that is on trial.
	Assign(view *config.View, service string, session uint64, again bool) (release, notRelease string)
	// Used records that a session is in use on a version: from an attempt on, for the given time at most, and when it ended.
	Used(service, release string, session uint64, limit time.Duration, ended bool)
	// Count records the outcome of an answer.
	Count(service, release string, failed bool, latency time.Duration)
}

// Routes holds what serves the requests of routes.
type Routes struct {
	Releases Releases // nil for none
	// Ladder chooses among a route's models by the confidence of their answers.
	Ladder *cascade.Escalator
	// Paces estimates how long streams take.
	Paces *relay.Paces
	// Attempt is called with the end of each attempt at an endpoint; it may be nil.
	Attempt func(dispatch.RoutedAttempt)
	// Climbed is called when an answer is dropped for a larger model's; it may be nil.
	Climbed func(request, from, to string, confidence float64)
}

// routedStages carries one request of a route through the stages.
type routedStages struct {
	*entered
	p      *Pipeline
	r      *Request
	caller relay.Caller

	route   *object.Route
	team    string // empty for a public route without a key
	service string
	model   int // index in route.Models
	asked   int // index of the model that was asked before
	// confidence is that of the answer of the model that was asked before.
	confidence float64
	exchange   *dispatch.Exchange
	answer     *dispatch.RoutedAnswer
	sent       int64 // number of the last event that the caller has
}

// Route serves a request of a route.
func (p *Pipeline) Route(ctx context.Context, r *Request, c relay.Caller) error {
	err := p.run(ctx, r, "routed", func(ctx context.Context, e *entered) error {
		s := &routedStages{entered: e, p: p, r: r, caller: c}
		if err := s.identify(); err != nil {
			return err
		}
		ctx, cancel := s.limit(ctx)
		defer cancel()
		s.choose()
		if err := s.dispatch(ctx); err != nil {
			return err
		}
		defer func() {
			s.answer.Close()
			s.used(s.answer.Release, true)
		}()
		return s.relay(ctx)
	})
	return p.reportError(err, r, c)
}

// identify finds the route and the team.
func (s *routedStages) identify() error {
	s.at(StageIdentify)
	path, _, _ := strings.Cut(s.r.Path, "?")
	if s.route = s.view.Route(s.r.Meta.Host, path); s.route == nil {
		return result.Newf(result.UnknownService, "No route of host %q.", s.r.Meta.Host)
	}
	team := s.view.TeamByKey(s.r.Meta.Key)
	if team == nil && !s.route.Public && len(s.view.Teams) > 0 {
		return result.Newf(result.Unauthenticated, "")
	}
	if team != nil {
		s.team = team.Name
	}
	s.outcome.Team = s.team
	s.update(func(p *Position) { p.Team = s.team })
	return s.permit.Charge(s.team, int64(len(s.r.Body)))
}

// longestAnswer bounds an answer if neither its caller nor its route states a time: an endpoint that never ends one does not hold a
// connection for ever.
const longestAnswer = 10 * time.Minute

// limit bounds the request by the caller's deadline and the route's timeout, counted from its arrival.
func (s *routedStages) limit(ctx context.Context) (context.Context, context.CancelFunc) {
	left := s.route.Timeout
	if d := s.r.Meta.Left; d > 0 && (left <= 0 || d < left) {
		left = d
	}
	if left <= 0 {
		left = longestAnswer
	}
	return context.WithDeadline(ctx, s.start.Add(left))
}

// choose picks the service and the first model.
func (s *routedStages) choose() {
	s.at(StageChoose)
	s.service = backend(s.route, xxhash.Sum64String(s.r.ID))
	s.outcome.Version = s.service
	s.update(func(p *Position) { p.Target = s.service })
}

// cascades reports whether the router chooses the model.
func (s *routedStages) cascades() bool {
	return s.r.Meta.Model == AnyModel && len(s.route.Models) > 0
}

func (s *routedStages) modelName() string {
	if s.cascades() {
		return s.route.Models[s.model]
	}
	return s.r.Meta.Model
}

// backend picks one of a route's services by weight.
func backend(route *object.Route, hash uint64) string {
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

func (s *routedStages) rank() int {
	rank := s.route.Rank
	if t := s.view.Teams[s.team]; t != nil && t.Rank != nil {
		rank = *t.Rank
	}
	return rank
}

func (s *routedStages) input() dispatch.RoutedInput {
	m := s.r.Meta
	in := dispatch.RoutedInput{
		View: s.view, Route: s.route, Service: s.service, Team: s.team, Rank: s.rank(), Prompt: m.Prompt,
		Fingerprint: poison.Fingerprint(s.team+"\x00"+s.r.Path, s.r.Body), Refresh: s.renew, OnAttempt: s.p.Routes.Attempt,
		Request: engine.RoutedRequest{
			ID: s.r.ID, Method: s.r.Method, Host: m.Host, Target: s.r.Path, Header: s.r.Header, Body: s.r.Body, Team: s.team, Rank: s.rank(),
		},
		Query: pool.RoutedQuery{Parts: m.Parts, Target: s.route.Target, Gap: s.route.Gap, Bytes: len(s.r.Body)},
	}
	in.Assign = func(view *config.View, again bool) (release, notRelease string) {
		if s.p.Routes.Releases == nil {
			return "", ""
		}
		return s.p.Routes.Releases.Assign(view, s.service, s.session(), again)
	}
	return in
}

// session identifies the requests that should be answered by one version: those with the same last shared part.
func (s *routedStages) session() uint64 {
	if n := len(s.r.Meta.Parts); n > 0 {
		return s.r.Meta.Parts[max(0, n-2)].ID
	}
	return xxhash.Sum64String(s.r.ID)
}

// renew returns the newest configuration, for the state of failure domains. The request itself was admitted: a key or
// route that is taken away later ends no answer in progress.
func (s *routedStages) renew() (*config.View, error) { return s.p.Config.View(), nil }

// dispatch gets an answer, from a larger model if the one of a smaller is doubtful.
func (s *routedStages) dispatch(ctx context.Context) error {
	s.at(StageDispatch)
	s.exchange = s.p.Dispatch.NewExchange(ctx, s.input())
	for {
		sent := s.p.Now()
		answer, err := s.exchange.Do(s.modelName(), s.r.Meta.After)
		if err != nil {
			return err
		}
		failed := answer.Status >= http.StatusInternalServerError
		s.count(answer, failed, s.p.Now().Sub(sent))
		if failed && answer.Retry() {
			continue
		}
		if !failed && s.climb(ctx, answer) {
			continue
		}
		answer.CountRun()
		s.answer = answer
		break
	}
	s.outcome.FirstByte = s.p.Now().Sub(s.start)
	return nil
}

func (s *routedStages) count(a *dispatch.RoutedAnswer, failed bool, latency time.Duration) {
	if r := s.p.Routes.Releases; r != nil {
		r.Count(s.service, a.Release, failed, latency)
	}
	s.used(a.Release, false)
}

// used tells that the request's session is in use on a version.
func (s *routedStages) used(release string, ended bool) {
	if r := s.p.Routes.Releases; r != nil && len(s.r.Meta.Parts) > 0 {
		r.Used(s.service, release, s.session(), s.route.Timeout, ended)
	}
}

// climb drops a doubtful answer if a larger model may be asked.
func (s *routedStages) climb(ctx context.Context, a *dispatch.RoutedAnswer) bool {
	if !s.cascades() || !a.HasConfidence || !s.route.MayRepeat() || s.r.Meta.After > 0 {
		return false
	}
	ladder := s.p.Routes.Ladder
	if s.model > s.asked {
		ladder.RecordPair(s.route.Models, s.asked, s.confidence, s.model, a.Confidence)
	}
	next := ladder.Next(s.route.Models, s.model, a.Confidence)
	if next < 0 || !s.exchange.MayEscalate(s.route.Models[next], s.start) || !s.endsInTime(ctx, s.route.Models[next]) {
		return false
	}
	if s.p.Routes.Climbed != nil {
		s.p.Routes.Climbed(s.r.ID, s.modelName(), s.route.Models[next], a.Confidence)
	}
	a.CountRun()
	a.MarkCancelled()
	a.Close()
	s.asked, s.confidence, s.model = s.model, a.Confidence, next
	return true
}

// endsInTime reports whether a model's answer of the expected length would probably end before the deadline.
func (s *routedStages) endsInTime(ctx context.Context, model string) bool {
	deadline, ok := ctx.Deadline()
	svc := s.view.Services[s.service]
	if !ok || svc == nil || svc.Routed == nil || svc.Routed.TokensPerEvent <= 0 {
		return true
	}
	tokens := s.r.Meta.Expected
	if tokens <= 0 {
		return true
	}
	events := float64(tokens) / float64(svc.Routed.TokensPerEvent)
	took := s.p.Routes.Paces.Of(s.service, model) * lengthMargin * events
	return s.p.Now().Add(time.Duration(took * float64(time.Millisecond))).Before(deadline)
}

// lengthMargin is by how much longer than expected an answer may take: callers' estimates of the length are right at the
// median only, and the pace varies with what runs beside the stream.
const lengthMargin = 1.5
