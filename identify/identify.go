// Package identify is the second stage: it finds the caller's team, reads the request's headers and applies the team's
// rate and concurrency limits.
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
	HeaderSession    = "Bramley-Session"
	HeaderKey        = "Idempotency-Key"
	HeaderRepeatable = "Bramley-Repeatable"
	HeaderDeadline   = "Bramley-Deadline-Ms"
	HeaderPriority   = "Bramley-Priority"
	HeaderKind       = "Bramley-Kind" // kind of request, for quality estimates
)

// DefaultKind is the kind of requests that name none.
const DefaultKind = "default"

const (
	shardCount   = 16
	maxKeyBytes  = 128
	maxKindBytes = 64
	maxDeadline  = 24 * time.Hour
	maxPriority  = 9
	rateRetry    = time.Second
)

// Spec configures a Filter.
type Spec struct {
	Signer *session.Signer
	// Members returns the number of live entry hosts. A team's limits hold for the deployment, so each daemon applies
	// its part of them.
	Members func() int
}

// Repeatable says whether a call may be sent more than once.
type Repeatable int

// Values of Repeatable. Default leaves the decision to the service's declaration.
const (
	Default Repeatable = iota
	Yes
	No
)

// Output describes the caller and the terms of its request.
type Output struct {
	Team       *object.Team
	Session    session.Token
	Key        string // idempotency key, may be empty
	Kind       string
	Repeatable Repeatable
	Priority   int
	Deadline   time.Time // zero if the caller stated none
	release    func()
}

// Release ends the request's part in the team's concurrency.
func (o *Output) Release() { o.release() }

// Filter identifies callers.
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

// Do identifies the caller of a request with the given header.
func (f *Filter) Do(view *config.View, h http.Header, now time.Time) (*Output, error) {
	team, err := Team(view, h)
	if err != nil {
		return nil, err
	}
	out := &Output{Team: team}
	if err := f.readHeaders(out, h, now); err != nil {
		return nil, err
	}
	if err := f.enter(team, now); err != nil {
		return nil, err
	}
	out.release = sync.OnceFunc(func() { f.leave(team.Name) })
	return out, nil
}

// Team returns the team that owns the bearer key of a request.
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
	if out.Key = h.Get(HeaderKey); len(out.Key) > maxKeyBytes {
		return result.Newf(result.BadRequest, "%s has more than %d bytes.", HeaderKey, maxKeyBytes)
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
		return Default, nil
	case "yes":
		return Yes, nil
	case "no":
		return No, nil
	default:
		return Default, result.Newf(result.BadRequest, "%s is %q; want yes or no.", HeaderRepeatable, v)
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

// parsePriority lets a caller lower its priority below the team's, never raise it.
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

func (f *Filter) enter(team *object.Team, now time.Time) error {
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
		return result.Newf(result.TeamConcurrency, "").WithRetryAfter(rateRetry)
	}
	if !t.limiter.AllowN(now, 1) {
		return result.Newf(result.TeamRate, "").WithRetryAfter(rateRetry)
	}
	t.inFlight++
	return nil
}

func (f *Filter) leave(team string) {
	s := f.shard(team)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.teams[team].inFlight--
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }
