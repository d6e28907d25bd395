package cachemove

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/pool"
)

const (
	// spareLimit is the part of the daemon's slots at the new endpoint up to which a move may hold one, as for hedges.
	spareLimit = 0.9
	// maxVersions bounds the versions whose rates are kept; 18 are in use at the target.
	maxVersions = 64
)

// Fleet tells what this daemon knows of endpoints.
type Fleet interface {
	// Host returns the entry of the host list for an endpoint, by its Hash. It may be leaving.
	Host(hash uint64) (hostlist.Host, bool)
	// State returns the state of an endpoint that gets work.
	State(id string) (pool.EndpointState, bool)
}

// Spec configures a Mover.
type Spec struct {
	Client engine.Client
	Fleet  Fleet
	Limits Limits
	Now    func() time.Time
	// OnEnd is called with each report; it may be nil.
	OnEnd func(*Report)
}

// Target is the endpoint at which a request has a slot.
type Target struct {
	ID, Addr, Domain string
	Service, Version string
	Boot             string // last known boot identity
	Prompt           int64  // tokens
	Waiting          bool   // requests wait for room
}

// Mover moves caches and learns from moves and first tokens.
type Mover struct {
	spec Spec

	mu       sync.Mutex
	inFlight int
	sources  sources
	rates    map[key]*rates
}

type key struct{ service, version string }

// New returns a mover.
func New(spec Spec) *Mover { return &Mover{spec: spec, rates: map[key]*rates{}} }

// Move moves the session's cache to the target if that is faster than a prefill. It returns when the move has ended or is
// given up. It changes nothing else: the request goes to the target in any case.
func (m *Mover) Move(ctx context.Context, s Session, t Target) *Report {
	rep := &Report{Target: t.ID, Tokens: min(s.Tokens, t.Prompt)}
	from, ok := m.eligible(rep, s, t)
	if ok {
		m.move(ctx, rep, s.Name(t.Version), from, t)
	}
	if m.spec.OnEnd != nil {
		m.spec.OnEnd(rep)
	}
	return rep
}

// eligible returns the endpoint that holds the cache, or notes why the cache can't be moved.
func (m *Mover) eligible(rep *Report, s Session, t Target) (hostlist.Host, bool) {
	refuse := func(o Outcome) (hostlist.Host, bool) {
		rep.Outcome = o
		return hostlist.Host{}, false
	}
	switch {
	case s.Endpoint == 0 || s.ID == "":
		return refuse(NoPrevious)
	case s.Version != t.Version:
		return refuse(OtherVersion)
	case s.Endpoint == Hash(t.ID):
		return refuse(SameEndpoint)
	}
	from, ok := m.spec.Fleet.Host(s.Endpoint)
	if !ok || from.Service != t.Service || from.Role != hostlist.RoleEndpoint {
		return refuse(NotListed)
	}
	rep.Source = from.ID
	if state, ok := m.spec.Fleet.State(from.ID); ok && (state.Ejected || state.Failures > 0) {
		return refuse(SourceDown)
	}
	state, ok := m.spec.Fleet.State(t.ID)
	if !ok || t.Waiting || float64(state.InFlight) > spareLimit*float64(state.Slots) {
		return refuse(TargetFull)
	}
	return from, true
}

func (m *Mover) move(ctx context.Context, rep *Report, name string, from hostlist.Host, t Target) {
	v := m.begin(ctx, rep, from, t)
	rep.Outcome, rep.Trial, rep.Prefill = v.Outcome, v.Trial, v.Prefill
	if v.Outcome != Moved {
		return
	}
	rep.begun = true
	start := m.spec.Now()
	limited, cancel := context.WithTimeoutCause(ctx, v.Limit, errTimeLimit)
	defer cancel()
	x := &transfer{client: m.spec.Client, source: from.Addr, target: t.Addr, name: name, bound: m.spec.Limits.Bytes, now: m.spec.Now}
	outcome, err := x.run(limited)
	if outcome == Moved && t.Boot != "" && x.boot != "" && x.boot != t.Boot {
		outcome = TargetRestarted
	}
	rep.Outcome, rep.Bytes, rep.Took = outcome, x.read.Load(), m.spec.Now().Sub(start)
	if err != nil {
		rep.Detail = err.Error()
	}
	m.end(rep, x, err, from, t, v.Limit)
}

// begin decides and, if the cache is to be moved, counts the move.
func (m *Mover) begin(ctx context.Context, rep *Report, from hostlist.Host, t Target) Verdict {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.spec.Now()
	if m.sources.barred(from.ID, from.Domain, now) {
		return Verdict{Outcome: SourceDown}
	}
	r := m.version(key{t.Service, t.Version})
	p := r.path(from.Domain == t.Domain)
	s := m.sources.get(from.ID, now)
	q := Question{
		Cached: rep.Tokens, Prompt: t.Prompt, Estimate: r.estimate(p, rep.Tokens), Limits: m.spec.Limits,
		InFlight: m.inFlight, FromSource: s.moves,
		TrialDue:   p.trialDue(now),
		ControlDue: now.Sub(r.prefillAt) > ratesAge && now.Sub(r.controlAt) > trialEvery,
	}
	if d, ok := ctx.Deadline(); ok {
		q.Left = max(1, d.Sub(now))
	}
	v := Decide(q)
	rep.Move = q.Move
	switch {
	case v.Outcome == Moved:
		m.inFlight++
		s.moves++
		if v.Trial {
			p.trialAt = now
		}
	case v.Outcome == Control:
		r.controlAt = now
	}
	return v
}

func (m *Mover) end(rep *Report, x *transfer, err error, from hostlist.Host, t Target, limit time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.spec.Now()
	m.inFlight--
	m.sources.get(from.ID, now).moves--
	r := m.version(key{t.Service, t.Version})
	r.ended(r.path(from.Domain == t.Domain), rep, x.size, now)
	silence := now.Sub(time.Unix(0, x.heard.Load()))
	switch {
	case rep.Outcome == TimedOut && isSilent(silence, limit):
		m.sources.silent(from.ID, from.Domain, now)
	case rep.Outcome == ExportFailed && errors.Is(err, engine.ErrBusy):
		m.sources.bar(from.ID, now.Add(busyTime), now)
	case rep.Outcome == ExportFailed && errors.Is(err, engine.ErrUnreachable):
		m.sources.silent(from.ID, from.Domain, now)
	case rep.Outcome == ExportFailed:
		m.sources.bar(from.ID, now.Add(barTime), now)
	}
}

// EndpointFailed says that a call at an endpoint failed or fell silent; nothing is read from it for a while. It covers
// endpoints that are leaving, of which no load reports are read.
func (m *Mover) EndpointFailed(id string) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.spec.Now()
	m.sources.bar(id, now.Add(barTime), now)
}

// FirstToken learns the prefill time from the first token of a request whose report is rep. It ignores requests that may
// have found a part of their prompt in a cache.
func (m *Mover) FirstToken(rep *Report, service, version string, prompt int64, after time.Duration) {
	if rep == nil || !rep.fresh() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.version(key{service, version})
	r.prefill.add(float64(prompt), after.Seconds())
	r.prefillAt = m.spec.Now()
}

// Stays reports whether an endpoint is still listed as one that gets work.
func (m *Mover) Stays(id string) bool {
	h, ok := m.spec.Fleet.Host(Hash(id))
	return ok && h.State == hostlist.StateLive
}

func (m *Mover) version(k key) *rates {
	r := m.rates[k]
	if r == nil {
		if len(m.rates) >= maxVersions { // versions that are gone
			m.rates = map[key]*rates{}
		}
		r = &rates{}
		m.rates[k] = r
	}
	return r
}

func (r *rates) path(sameDomain bool) *path {
	if sameDomain {
		return &r.paths[0]
	}
	return &r.paths[1]
}
