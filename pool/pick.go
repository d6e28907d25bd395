package pool

import (
	"slices"
	"time"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/engine"
)

// pickTries bounds the choices of one Pick. A choice fails if another request takes the room between the comparison of
// two endpoints and the reservation.
const pickTries = 3

// Query describes the work for which an endpoint is wanted.
type Query struct {
	Service string
	Version string   // empty for plain services
	Tokens  int64    // estimated tokens that the endpoint holds for the request
	Exclude []string // endpoint identities
	// Prefix is the hash of the prompt's beginning that a session keeps, 0 if there is none.
	Prefix uint64
	Prompt int64 // tokens of the prompt
	// Suspect marks a request that was present at several crashes. It gets an endpoint on which it is this daemon's only
	// suspect. With OnlyRankZero the daemon must have the first rank there, so that it is the only one of all daemons.
	Suspect      bool
	OnlyRankZero bool
	// Spare asks for room that leaves a part of the endpoint's shares free, for work that may be left out.
	Spare bool
	// Dry asks whether there is room without reserving it.
	Dry bool
	// Routed describes a request of a route; nil for other work.
	Routed *RoutedQuery

	expected time.Duration // of the endpoint that was chosen for a routed request
}

// Shortage says why no endpoint was chosen. It counts the endpoints refused for each reason.
type Shortage struct {
	Listed, DomainOut, Ejected, Full, TokensFull, TooLarge, Stale, Suspect, Excluded int
	// Returns is the earliest time at which an ejected endpoint may be used again, zero if none is ejected.
	Returns time.Time
}

// Hopeless reports whether no release of work in flight and no load report can make room for the request.
func (s *Shortage) Hopeless() bool {
	return s.Ejected == 0 && s.Full == 0 && s.TokensFull == 0 && s.Stale == 0 && s.Suspect == 0
}

// Reservation holds an endpoint's slot and tokens for one request.
type Reservation struct {
	ID     string
	Addr   string
	Domain string
	// Expected is the time until a routed request's answer probably begins. It is set for a Dry query only.
	Expected time.Duration
	service  string
	tokens   int64
	prefill  int64 // prompt tokens until the first token
	suspect  bool
	alone    bool // no other daemon may run a suspect at the endpoint
	e        *endpoint
	pool     *Pool
	routed   routedWork
	since    time.Time
}

// Pick chooses an endpoint by the pool's policy and reserves room on it.
func (p *Pool) Pick(q Query, now time.Time) (Reservation, Shortage, bool) {
	t := p.table.Load()
	group := t.groups[groupKey{q.Service, q.Version}]
	short := Shortage{Listed: len(group)}
	if q.Routed != nil {
		q.Routed.prepare(p, &q, group, now)
	}
	for try := 0; try < pickTries && len(group) > 0; try++ {
		short = Shortage{Listed: len(group)}
		best := p.best(group, &q, t, now, &short)
		if best == nil {
			break
		}
		if q.Dry {
			return Reservation{Expected: q.expected}, short, true
		}
		if r, ok := best.reserve(&q, t.rules[q.Service], now); ok {
			r.pool = p
			if q.Routed != nil {
				p.reach.probed(r.Domain, now)
				p.announce(r)
				p.estimates.sent(q.Service, q.Routed.Model, q.Routed.long, q.Routed.Repeat, q.Routed.pace.token*float64(q.Prompt), now)
			}
			return r, short, true
		}
	}
	return Reservation{}, short, false
}

func (e *endpoint) consider(q *Query, view *config.View, rule *rule, now time.Time, short *Shortage) (candidate, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !view.DomainIn(e.host.Domain) {
		short.DomainOut++
		return candidate{}, false
	}
	if slices.Contains(q.Exclude, e.host.ID) {
		short.Excluded++
		return candidate{}, false
	}
	if q.Routed != nil {
		if r, returns := e.admitsRouted(q, rule, now); r != accepted {
			short.count(r, returns)
			return candidate{}, false
		}
		score, wait := e.routedScore(q, now)
		return candidate{e: e, domain: e.host.Domain, score: score, chosen: e.chosen, wait: wait}, true
	}
	if r := e.admits(q, rule, now); r != accepted {
		short.count(r, e.ejected)
		return candidate{}, false
	}
	return candidate{e: e, score: e.score(rule, now), chosen: e.chosen}, true
}

// reserve checks the limits again, since another request may have taken the room in the meantime.
func (e *endpoint) reserve(q *Query, rule *rule, now time.Time) (Reservation, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if q.Routed != nil {
		if r, _ := e.admitsRouted(q, rule, now); r != accepted {
			return Reservation{}, false
		}
		e.reserveRouted(q, now)
	} else if e.admits(q, rule, now) != accepted {
		return Reservation{}, false
	}
	e.inFlight++
	e.chosen = now
	e.tokens += q.Tokens
	e.prefill += q.Prompt
	if q.Suspect {
		e.suspects++
	}
	return Reservation{
		ID: e.host.ID, Addr: e.host.Addr, Domain: e.host.Domain, service: q.Service, tokens: q.Tokens, prefill: q.Prompt,
		suspect: q.Suspect, alone: q.Suspect && e.first(rule, now), e: e, routed: reservedWork(q), since: now,
	}, true
}

func (s *Shortage) count(r refusal, returns time.Time) {
	switch r {
	case refusedEjected:
		s.Ejected++
		if s.Returns.IsZero() || returns.Before(s.Returns) {
			s.Returns = returns
		}
	case refusedSlots:
		s.Full++
	case refusedTokens:
		s.TokensFull++
	case refusedTooLarge:
		s.TooLarge++
	case refusedStale:
		s.Stale++
	case refusedSuspect:
		s.Suspect++
	case refusedCold:
		s.Full++
		if s.Returns.IsZero() || returns.Before(s.Returns) {
			s.Returns = returns
		}
	case refusedRelease, refusedModel:
		s.Excluded++
	}
}

// Outcome is how a request ended at an endpoint.
type Outcome int

// Outcomes.
const (
	Succeeded Outcome = iota
	Rejected          // the endpoint found the request invalid
	Busy              // the endpoint turned it down without running it
	Broken            // the connection broke or could not be made
	TimedOut          // no progress in time
	Cancelled         // the caller left
	Dropped           // a routed request has no whole answer, which says little about the endpoint by itself
	Errored           // the endpoint answered a routed request with a failure of its own
	Unreached         // no connection to a routed request's endpoint in time, as Broken
	Silent            // nothing of a routed request's answer in time, as Dropped
)

// Opened records that the endpoint answered a request that was sent at a time, with the latency of the answer's header.
func (r *Reservation) Opened(boot string, latency time.Duration, sent time.Time) {
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	r.e.confirm(boot, sent)
	r.e.latency += time.Duration(latencyAlpha * float64(latency-r.e.latency))
}

// Overdue records that the endpoint has not given the first token of a request for a time that is late for its version.
// Its load report is read next, so that a silent endpoint is found although its requests are answered elsewhere.
func (r *Reservation) Overdue(waited time.Duration) {
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	r.e.wanted = true
	if waited > r.e.latency {
		r.e.latency += time.Duration(latencyAlpha * float64(waited-r.e.latency))
	}
}

// Progress records that the endpoint, running as boot, sent a part of an answer at or after a time. The time at which
// the part was read is not enough: it may have waited in a buffer for a slow caller.
func (r *Reservation) Progress(boot string, at time.Time) {
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	r.prefilled()
	if boot == r.e.boot {
		r.e.confirm(boot, at)
	}
}

// prefilled records that the prompt is processed, or given up.
func (r *Reservation) prefilled() {
	r.e.prefill -= r.prefill
	r.prefill = 0
	r.e.routed.work -= r.routed.work
	r.routed.work = 0
}

// Boot returns the endpoint's last known boot identity.
func (r *Reservation) Boot() string {
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	return r.e.boot
}

// Isolated reports whether the request is the only suspect of all daemons at its endpoint.
func (r *Reservation) Isolated(now time.Time) bool {
	rule := r.pool.table.Load().rules[r.service]
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	return r.alone && rule != nil && r.e.first(rule, now)
}

// BesideSuspect reports whether another request at the endpoint is the only suspect there.
func (r *Reservation) BesideSuspect(now time.Time) bool {
	rule := r.pool.table.Load().rules[r.service]
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	return !r.suspect && r.e.suspects > 0 && rule != nil && r.e.first(rule, now)
}

// HasRankZero reports whether this daemon has the first rank at an endpoint that serves the version.
func (p *Pool) HasRankZero(service, version string, now time.Time) bool {
	t := p.table.Load()
	for _, e := range t.groups[groupKey{service, version}] {
		e.mu.Lock()
		first := e.first(t.rules[service], now)
		e.mu.Unlock()
		if first {
			return true
		}
	}
	return false
}

// Release ends the reservation. It must be called exactly once.
func (r *Reservation) Release(o Outcome, now time.Time) {
	e := r.e
	silence := time.Duration(0) // of an endpoint that has not begun an answer
	if o == Silent && r.routed.work > 0 {
		silence = min(now.Sub(r.since), maxRemoteWork)
	}
	e.mu.Lock()
	e.inFlight--
	e.tokens -= r.tokens
	e.routed.overloaded(silence, now)
	r.prefilled()
	if r.suspect {
		e.suspects--
	}
	switch o {
	case Succeeded:
		e.failures = 0
		e.routed.succeeded()
	case Errored:
		e.routed.failed()
	case Dropped, Silent:
		if e.routed.failed(); e.routed.streak >= ejectStreak {
			e.fail(now)
		}
	case Busy:
		if until := now.Add(busyBackoff); until.After(e.ejected) {
			e.ejected = until
		}
	case Broken, TimedOut, Unreached:
		e.fail(now)
	}
	versions, ejected := e.host.Versions, e.ejected
	id, failures := e.host.ID, e.failures
	e.mu.Unlock()
	if o == Unreached || o == Silent {
		r.pool.reach.lost(r.Domain, id, now)
	}
	if silence > 0 && r.pool.spec.OnWork != nil {
		r.pool.spec.OnWork(*r, silence)
	}
	if r.pool.spec.OnEject != nil && ejected.After(now) && o != Succeeded && o != Busy {
		r.pool.spec.OnEject(id, failures, ejected.Sub(now))
	}
	r.pool.signal(r.service, versions)
}

// Report applies a load report that was asked for at a time.
func (p *Pool) Report(id string, l engine.Load, asked time.Time) {
	e := p.table.Load().byID[id]
	if e == nil {
		return
	}
	e.mu.Lock()
	if e.confirm(l.Boot, asked) {
		e.completed = l.Completed
		e.load = l
		e.loadAt = asked
		if soon := asked.Add(ejectBase); soon.Before(e.ejected) { // it is back
			e.ejected = soon
		}
	}
	service, versions := e.host.Service, e.host.Versions
	e.mu.Unlock()
	p.signal(service, versions)
}

// ReportFailed records that an endpoint gave no load report.
func (p *Pool) ReportFailed(id string, now time.Time) {
	if e := p.table.Load().byID[id]; e != nil {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.fail(now)
	}
}
