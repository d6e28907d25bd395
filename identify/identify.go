// Package identify is the second stage of the request pipeline. It finds the caller's team, reads the request's headers
// and applies the team's rate and concurrency limits.
package identify

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/result"
	"github.com/bramleytrail/bramleytrail/session"
)

// Request headers.
const (
	HeaderSession        = "Bramley-Session"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRepeatable     = "Bramley-Repeatable"
	HeaderDeadline       = "Bramley-Deadline-Ms"
	HeaderPriority       = "Bramley-Priority"
	HeaderKind           = "Bramley-Kind" // kind of request, for quality estimates
)

// DefaultKind is the kind of a request without HeaderKind.
const DefaultKind = "default"

const (
	shardCount             = 16
	maxIdempotencyKeyBytes = 128
	maxKindBytes           = 64
	maxDeadline            = 24 * time.Hour
	maxPriority            = 9
	retryAfter             = time.Second // Retry-After of a request that exceeds a team limit
)

// Spec configures a Filter.
type Spec struct {
	Signer *session.Signer
	// Members returns the number of live entry hosts. A team's limits hold for the whole deployment, so each daemon
	// applies its share of them.
	Members func() int
}

// Repeatable says whether a call may be sent more than once.
type Repeatable int

// Values of Repeatable. RepeatableDefault leaves the decision to the service's declaration.
const (
	RepeatableDefault Repeatable = iota
	RepeatableYes
	RepeatableNo
)

// Output describes the caller and the options of its request. The request counts towards the team's concurrency until
// Release.
type Output struct {
	Team           *object.Team
	Session        session.Token
	IdempotencyKey string // empty if the caller sent none
	Kind           string // DefaultKind if the caller sent none
	Repeatable     Repeatable
	Priority       int       // at most the team's
	Deadline       time.Time // zero if the caller sent none
	release        func()
}

// Release stops counting the request against the team's concurrency limit. Further calls have no effect.
func (o *Output) Release() { o.release() }

// Filter identifies callers and applies their teams' limits. It is safe for concurrent use; teams are distributed
// over shards to reduce lock contention.
type Filter struct {
	spec   Spec
	shards [shardCount]shard
}

type shard struct {
	mu    sync.Mutex
	teams map[string]*teamState
}

type teamState struct {
	limiter  *rate.Limiter
	inFlight int
}

// New returns a filter.
func New(spec Spec) *Filter {
	f := &Filter{spec: spec}
	for i := range f.shards {
		f.shards[i].teams = map[string]*teamState{}
	}
	return f
}

// Do identifies the caller of a request with the given header and counts the request against the team's limits. On
// success the caller must call Output.Release. Errors have the codes Unauthenticated, BadSession, BadRequest,
// TeamConcurrency and TeamRate of package result.
func (f *Filter) Do(view *config.View, h http.Header, now time.Time) (*Output, error) {
	team, err := Team(view, h)
	if err != nil {
		return nil, err
	}
	out := &Output{Team: team}
	if err := f.readHeaders(out, h, now); err != nil {
		return nil, err
	}
	if err := f.admit(team, now); err != nil {
		return nil, err
	}
	out.release = sync.OnceFunc(func() { f.finish(team.Name) })
	return out, nil
}

// Team returns the team that owns the bearer key of a request, or an error with code result.Unauthenticated.
func Team(view *config.View, h http.Header) (*object.Team, error) {
	key, ok := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return nil, result.Newf(result.Unauthenticated, "The Authorization header needs a bearer key.")
	}
	team := view.TeamByKey(key)
	if team == nil {
		return nil, result.Newf(result.Unauthenticated, "")
	}
	return team, nil
}

func (f *Filter) readHeaders(out *Output, h http.Header, now time.Time) error {
	tok, err := f.spec.Signer.Parse(h.Get(HeaderSession))
	if err != nil {
		return result.Wrap(result.BadSession, result.NotRun, err)
	}
	if tok.Team != "" && tok.Team != out.Team.Name {
		return result.Newf(result.BadSession, "The session belongs to another team.")
	}
	out.Session = tok
	if out.IdempotencyKey = h.Get(HeaderIdempotencyKey); len(out.IdempotencyKey) > maxIdempotencyKeyBytes {
		return result.Newf(result.BadRequest, "%s has more than %d bytes.", HeaderIdempotencyKey, maxIdempotencyKeyBytes)
	}
	if out.Kind = h.Get(HeaderKind); out.Kind == "" {
		out.Kind = DefaultKind
	}
	if len(out.Kind) > maxKindBytes {
		return result.Newf(result.BadRequest, "%s has more than %d bytes.", HeaderKind, maxKindBytes)
	}
	if out.Repeatable, err = parseRepeatable(h.Get(HeaderRepeatable)); err != nil {
		return err
	}
	if out.Deadline, err = parseDeadline(h.Get(HeaderDeadline), now); err != nil {
		return err
	}
	out.Priority, err = parsePriority(h.Get(HeaderPriority), out.Team.Priority)
	return err
}

func parseRepeatable(v string) (Repeatable, error) {
	switch v {
	case "":
		return RepeatableDefault, nil
	case "yes":
		return RepeatableYes, nil
	case "no":
		return RepeatableNo, nil
	default:
		return RepeatableDefault, result.Newf(result.BadRequest, "%s is %q; want yes or no.", HeaderRepeatable, v)
	}
}

func parseDeadline(v string, now time.Time) (time.Time, error) {
	if v == "" {
		return time.Time{}, nil
	}
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
		return time.Time{}, result.Newf(result.BadRequest, "%s is %q; want 1 to %d.", HeaderDeadline, v, maxDeadline.Milliseconds())
	}
	return now.Add(time.Duration(ms) * time.Millisecond), nil
}

// parsePriority returns the priority that the caller asks for, but at most the team's: a caller may only lower it.
func parsePriority(v string, team int) (int, error) {
	if v == "" {
		return team, nil
	}
	p, err := strconv.Atoi(v)
	if err != nil || p < 0 || p > maxPriority {
		return 0, result.Newf(result.BadRequest, "%s is %q; want 0 to %d.", HeaderPriority, v, maxPriority)
	}
	return min(p, team), nil
}

func (f *Filter) shard(team string) *shard {
	return &f.shards[xxhash.Sum64String(team)%shardCount]
}

// admit counts a request against the team's limits, of which this daemon applies an equal share, rounded up for burst
// and concurrency.
func (f *Filter) admit(team *object.Team, now time.Time) error {
	members := max(1, f.spec.Members())
	s := f.shard(team.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := rate.Limit(team.Limits.RequestsPerSecond / float64(members))
	burst := ceilDiv(team.Limits.Burst, members)
	t, ok := s.teams[team.Name]
	if !ok {
		t = &teamState{limiter: rate.NewLimiter(limit, burst)}
		s.teams[team.Name] = t
	}
	t.limiter.SetLimitAt(now, limit)
	t.limiter.SetBurstAt(now, burst)
	if t.inFlight >= ceilDiv(team.Limits.Concurrent, members) {
		return result.Newf(result.TeamConcurrency, "").WithRetryAfter(retryAfter)
	}
	if !t.limiter.AllowN(now, 1) {
		return result.Newf(result.TeamRate, "").WithRetryAfter(retryAfter)
	}
	t.inFlight++
	return nil
}

// finish ends a request that admit has counted.
func (f *Filter) finish(team string) {
	s := f.shard(team)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.teams[team].inFlight--
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }
