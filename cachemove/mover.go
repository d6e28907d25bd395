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
	// maxTargetLoad is the fraction of the daemon's slots at the new endpoint up to which a move may keep one idle. Hedges
	// have the same limit.
	maxTargetLoad = 0.9
	// maxVersions bounds the versions whose rates are kept; 18 are in use in the target deployment.
	maxVersions = 64
)

// Directory looks up endpoints by what the daemon knows of them.
type Directory interface {
	// Host returns the host list's entry of the endpoint with a hash, as HashEndpoint returns it. The endpoint may be leaving.
	Host(hash uint64) (hostlist.Host, bool)
	// State returns the pool's state of an endpoint, and false for one that gets no requests.
	State(id string) (pool.EndpointState, bool)
}

// Spec configures a Mover.
type Spec struct {
	Client    engine.Client
	Directory Directory
	Limits    Limits
	Now       func() time.Time
	// OnReport, if set, is called with each report before Move returns.
	OnReport func(*Report)
}

// Target is the endpoint at which a request has a slot.
type Target struct {
	ID, Addr, Domain string
	Service, Version string
	Boot             string // last known boot ID
	PromptTokens     int64  // tokens
	RequestsWaiting  bool   // for capacity
}

// Mover moves caches and measures rates on moves and first tokens. It is safe for concurrent use. EndpointFailed and State
// may be called on a nil Mover, which means that moves are disabled.
type Mover struct {
	spec Spec

	mu       sync.Mutex
	inFlight int
	sources  sources
	rates    map[versionKey]*rates
}

type versionKey struct{ service, version string }

// New returns a Mover that has measured nothing yet.
func New(spec Spec) *Mover { return &Mover{spec: spec, rates: map[versionKey]*rates{}} }

// Move moves the session's cache to the target if that is faster than a prefill. It returns when the move has ended or was
// aborted, which the report says. The request goes to the target in any case.
func (m *Mover) Move(ctx context.Context, s Session, t Target) *Report {
	rep := &Report{Target: t.ID, Tokens: min(s.Tokens, t.PromptTokens)}
	from, ok := m.findSource(rep, s, t)
	if ok {
		m.move(ctx, rep, s.CacheName(t.Version), from, t)
	}
	if m.spec.OnReport != nil {
		m.spec.OnReport(rep)
	}
	return rep
}

// findSource returns the endpoint that holds the cache. If the cache can't be moved, it sets the report's outcome and
// returns false.
func (m *Mover) findSource(rep *Report, s Session, t Target) (hostlist.Host, bool) {
	refuse := func(o Outcome) (hostlist.Host, bool) {
		rep.Outcome = o
		return hostlist.Host{}, false
	}
	switch {
	case s.EndpointHash == 0 || s.ID == "":
		return refuse(NoPrevious)
	case s.Version != t.Version:
		return refuse(OtherVersion)
	case s.EndpointHash == HashEndpoint(t.ID):
		return refuse(SameEndpoint)
	}
	from, ok := m.spec.Directory.Host(s.EndpointHash)
	if !ok || from.Service != t.Service || from.Role != hostlist.RoleEndpoint {
		return refuse(NotListed)
	}
	rep.Source = from.ID
	if state, ok := m.spec.Directory.State(from.ID); ok && (state.Ejected || state.Failures > 0) {
		return refuse(SourceDown)
	}
	state, ok := m.spec.Directory.State(t.ID)
	if !ok || t.RequestsWaiting || float64(state.InFlight) > maxTargetLoad*float64(state.Slots) {
		return refuse(TargetFull)
	}
	return from, true
}

// move decides whether to move a cache, does so, and completes the report.
func (m *Mover) move(ctx context.Context, rep *Report, name string, from hostlist.Host, t Target) {
	decision := m.begin(ctx, rep, from, t)
	rep.Outcome, rep.Trial, rep.Prefill = decision.Outcome, decision.Trial, decision.SavedPrefill
	if decision.Outcome != Moved {
		return
	}
	rep.started = true
	start := m.spec.Now()
	limited, cancel := context.WithTimeoutCause(ctx, decision.TimeLimit, errTimeLimit)
	defer cancel()
	x := &transfer{client: m.spec.Client, source: from.Addr, target: t.Addr, cacheName: name, maxBytes: m.spec.Limits.MaxBytes, now: m.spec.Now}
	outcome, err := x.run(limited)
	if outcome == Moved && t.Boot != "" && x.boot != "" && x.boot != t.Boot {
		outcome = TargetRestarted
	}
	rep.Outcome, rep.Bytes, rep.Took = outcome, x.bytesRead.Load(), m.spec.Now().Sub(start)
	if err != nil {
		rep.Detail = err.Error()
	}
	m.end(rep, x, err, from, t, decision.TimeLimit)
}

// begin decides whether a cache is moved. If it is, begin counts the move as in flight, and end must be called.
func (m *Mover) begin(ctx context.Context, rep *Report, from hostlist.Host, t Target) Decision {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.spec.Now()
	if m.sources.inBackoff(from.ID, from.Domain, now) {
		return Decision{Outcome: SourceDown}
	}
	r := m.ratesOf(versionKey{t.Service, t.Version})
	path := r.path(from.Domain == t.Domain)
	src := m.sources.get(from.ID, now)
	in := Input{
		CachedTokens: rep.Tokens, PromptTokens: t.PromptTokens, Estimate: r.estimate(path, rep.Tokens), Limits: m.spec.Limits,
		InFlight: m.inFlight, InFlightFromSource: src.moves,
		TrialDue:   path.trialDue(now),
		ControlDue: now.Sub(r.prefillMeasuredAt) > maxRateAge && now.Sub(r.controlAt) > trialInterval,
	}
	if deadline, ok := ctx.Deadline(); ok {
		in.TimeLeft = max(1, deadline.Sub(now))
	}
	decision := Decide(in)
	rep.Move = in.Move
	switch {
	case decision.Outcome == Moved:
		m.inFlight++
		src.moves++
		if decision.Trial {
			path.trialAt = now
		}
	case decision.Outcome == Control:
		r.controlAt = now
	}
	return decision
}

// end updates the rates and the state of the source after a move.
func (m *Mover) end(rep *Report, x *transfer, err error, from hostlist.Host, t Target, limit time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.spec.Now()
	m.inFlight--
	m.sources.get(from.ID, now).moves--
	r := m.ratesOf(versionKey{t.Service, t.Version})
	r.learnMove(r.path(from.Domain == t.Domain), rep, x.size, now)
	sinceLastByte := now.Sub(time.Unix(0, x.lastByteAt.Load()))
	switch {
	case rep.Outcome == TimedOut && isStalled(sinceLastByte, limit):
		m.sources.recordUnresponsive(from.ID, from.Domain, now)
	case rep.Outcome == ExportFailed && errors.Is(err, engine.ErrBusy):
		m.sources.backOff(from.ID, now.Add(busyBackoff), now)
	case rep.Outcome == ExportFailed && errors.Is(err, engine.ErrUnreachable):
		m.sources.recordUnresponsive(from.ID, from.Domain, now)
	case rep.Outcome == ExportFailed:
		m.sources.backOff(from.ID, now.Add(failureBackoff), now)
	}
}

// EndpointFailed records that a call at an endpoint failed or stalled. No cache is exported from the endpoint for a while.
// Failures of endpoints that are leaving become known only this way, because their load reports are not read.
func (m *Mover) EndpointFailed(id string) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.spec.Now()
	m.sources.backOff(id, now.Add(failureBackoff), now)
}

// ObserveFirstToken measures the prefill time on the first token of the request whose report is rep; after is the time to
// that token. Requests that may have found a part of their prompt in a cache are ignored.
func (m *Mover) ObserveFirstToken(rep *Report, service, version string, prompt int64, after time.Duration) {
	if rep == nil || !rep.needsFullPrefill() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.ratesOf(versionKey{service, version})
	r.prefill.add(float64(prompt), after.Seconds())
	r.prefillMeasuredAt = m.spec.Now()
}

// IsLive reports whether the host list has an endpoint in the live state, in which it gets requests.
func (m *Mover) IsLive(id string) bool {
	h, ok := m.spec.Directory.Host(HashEndpoint(id))
	return ok && h.State == hostlist.StateLive
}

// ratesOf returns the rates of a version, which it adds if necessary. The caller must hold m.mu.
func (m *Mover) ratesOf(k versionKey) *rates {
	r := m.rates[k]
	if r == nil {
		if len(m.rates) >= maxVersions { // most of them belong to retired versions
			m.rates = map[versionKey]*rates{}
		}
		r = &rates{}
		m.rates[k] = r
	}
	return r
}

// path returns the rates within a failure domain, or between two of them.
func (r *rates) path(sameDomain bool) *pathRates {
	if sameDomain {
		return &r.paths[0]
	}
	return &r.paths[1]
}
