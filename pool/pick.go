package pool

import (
	"slices"
	"time"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/selection"
)

// maxPickAttempts bounds the selections in one Pick. A selection fails if another request takes the capacity between
// the comparison of the endpoints and the reservation.
const maxPickAttempts = 3

// Query describes a request that needs an endpoint.
type Query struct {
	Service string
	Version string   // empty for plain services
	Tokens  int64    // estimated tokens that the endpoint holds for the request
	Exclude []string // IDs of endpoints that must not be chosen
	// Prefix is the hash of the prompt's beginning that stays the same within a session; 0 if there is none.
	Prefix uint64
	Prompt int64 // prompt tokens
	// Suspect marks a request that was in flight during several crashes. It is sent to an endpoint where this daemon
	// has no other suspect. With OnlyRankZero, the daemon must also have rank 0 there, so that no other daemon has a
	// suspect there either.
	Suspect      bool
	OnlyRankZero bool
	// KeepHeadroom leaves part of this daemon's shares of the endpoint free. It is for optional work.
	KeepHeadroom bool
	// DryRun checks for capacity without reserving it.
	DryRun bool
	// Routed describes the request of a route; nil for other requests.
	Routed *RoutedQuery

	choice           *routedChoice // of a routed request
	expectedDelay    time.Duration // expected delay at the endpoint chosen for a routed request
	expectedUncached int64         // prompt tokens that this endpoint probably has to process
	preference       selection.Preference
	shortestDelay    time.Duration // shortest expected delay at any endpoint that can take the routed request
}

// Shortage counts why the endpoints of a group could not be chosen.
type Shortage struct {
	Listed, DomainOut, Leaving, Ejected, Full, TokensFull, TooLarge, Stale, Suspect, Excluded int
	// RetryAt is the earliest time at which an ejected endpoint, or a cold one over its rate, may be used again;
	// zero if there is none.
	RetryAt time.Time
}

// Infeasible reports whether neither the end of requests in flight nor a load report can free capacity for the request.
func (s *Shortage) Infeasible() bool {
	return s.Ejected == 0 && s.Full == 0 && s.TokensFull == 0 && s.Stale == 0 && s.Suspect == 0
}

// Reservation holds a slot and tokens of an endpoint for one request until Release.
type Reservation struct {
	ID     string
	Addr   string
	Domain string
	// ExpectedDelay is the expected time until the answer to a routed request begins, and ExpectedUncached the number of
	// prompt tokens that the endpoint probably has to process.
	ExpectedDelay    time.Duration
	ExpectedUncached int64
	// Preference is why the endpoint was preferred for a routed request.
	Preference selection.Preference
	// ShortestDelay is the shortest expected time until any endpoint that can take the request begins the answer. It is set by a dry
	// run for a routed request.
	ShortestDelay time.Duration
	service       string
	tokens        int64
	prefillTokens int64 // prompt tokens in prefill; 0 after the first token
	Started       int64 // start time of the endpoint's process, see hostlist.Host
	suspect       bool
	exclusive     bool // no other daemon may have a suspect at the endpoint
	endpoint      *endpoint
	pool          *Pool
	pending       pendingPrefill
	reservedAt    time.Time
	hadFreeSlots  bool // the endpoint reported free slots with its answer
}

// Pick selects an endpoint by the pool's policy and reserves capacity there. It returns false if no endpoint can take
// the request; the Shortage then says why.
func (p *Pool) Pick(q Query, now time.Time) (Reservation, Shortage, bool) {
	t := p.table.Load()
	group := t.groups[groupKey{q.Service, q.Version}]
	shortage := Shortage{Listed: len(group)}
	if q.Routed != nil {
		c := p.prepareChoice(&q, t, now)
		defer c.free()
	}
	for attempt := 0; attempt < maxPickAttempts && len(group) > 0; attempt++ {
		shortage = Shortage{Listed: len(group)}
		best := p.selectEndpoint(group, &q, t, now, &shortage)
		if best == nil {
			break
		}
		if q.DryRun {
			return Reservation{ExpectedDelay: q.expectedDelay, ExpectedUncached: q.expectedUncached, ShortestDelay: q.shortestDelay}, shortage, true
		}
		if r, ok := best.reserve(&q, t.rules[q.Service], now); ok {
			r.pool = p
			if q.Routed != nil {
				p.reachability.recordProbe(r.Domain, now)
				p.announcePrefill(r)
				p.estimates.recordRequest(q.Service, q.Routed.counted, q.Routed.long, q.Routed.Retry, q.Routed.latency.tokenMs*float64(q.Prompt), now)
			}
			return r, shortage, true
		}
	}
	return Reservation{}, shortage, false
}

// evaluate returns the endpoint as a candidate for a request of a service without routes, or counts in shortage why it can't take the request.
func (e *endpoint) evaluate(q *Query, view *config.View, rules *serviceRules, now time.Time, shortage *Shortage) (candidate, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !view.DomainInService(e.host.Domain) {
		shortage.DomainOut++
		return candidate{}, false
	}
	if slices.Contains(q.Exclude, e.host.ID) {
		shortage.Excluded++
		return candidate{}, false
	}
	if r := e.checkAdmission(q, rules, now); r != accepted {
		shortage.count(r, e.ejectedUntil)
		return candidate{}, false
	}
	return candidate{e: e, score: e.score(rules, now), lastChosen: e.lastChosen}, true
}

// reserve checks the limits again, because another request may have taken the capacity in the meantime.
func (e *endpoint) reserve(q *Query, rules *serviceRules, now time.Time) (Reservation, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if q.Routed != nil {
		var c selection.Candidate
		e.snapshot(&c, q.choice, rules, now)
		if q.choice.request.Check(&c) != selection.Usable {
			return Reservation{}, false
		}
		e.reserveRouted(q, now)
	} else if e.checkAdmission(q, rules, now) != accepted {
		return Reservation{}, false
	}
	e.inFlight++
	e.lastChosen = now
	e.tokens += q.Tokens
	e.prefillTokens += q.Prompt
	if q.Suspect {
		e.suspects++
	}
	return Reservation{
		ID: e.host.ID, Addr: e.host.Addr, Domain: e.host.Domain, service: q.Service, tokens: q.Tokens, prefillTokens: q.Prompt,
		Started: e.host.Started, suspect: q.Suspect, exclusive: q.Suspect && e.hasRankZero(rules, now), endpoint: e, pending: pendingPrefillOf(q), reservedAt: now,
		ExpectedDelay: q.expectedDelay, ExpectedUncached: q.Prompt, Preference: q.preference,
	}, true
}

// count counts a refusal. retryAt is used for ejected endpoints.
func (s *Shortage) count(r refusal, retryAt time.Time) {
	switch r {
	case refusedEjected:
		s.Ejected++
		s.retryAt(retryAt)
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
	}
}

func (s *Shortage) retryAt(at time.Time) {
	if s.RetryAt.IsZero() || at.Before(s.RetryAt) {
		s.RetryAt = at
	}
}

// Outcome says how a request ended at an endpoint.
type Outcome int

// Outcomes.
const (
	Succeeded        Outcome = iota
	Rejected                 // the endpoint found the request invalid
	Busy                     // the endpoint refused it without running it
	ConnectionFailed         // the connection failed or could not be established
	TimedOut                 // no progress in time
	Cancelled                // the request was cancelled, for example by its caller, which says nothing about the endpoint
	Incomplete               // the answer to a routed request is incomplete, which says little about the endpoint
	EndpointError            // the endpoint answered a routed request with an error
	ConnectTimedOut          // connecting to a routed request's endpoint timed out; handled as ConnectionFailed
	Stalled                  // no part of a routed answer arrived in time; handled as Incomplete
)

// RecordHeader records that the endpoint answered a request. latency is the time from sent to the answer's header.
func (r *Reservation) RecordHeader(boot string, latency time.Duration, sent time.Time) {
	r.endpoint.mu.Lock()
	defer r.endpoint.mu.Unlock()
	r.endpoint.confirm(boot, sent)
	r.endpoint.latency += time.Duration(latencyAlpha * float64(latency-r.endpoint.latency))
}

// RecordOverdue records that the endpoint has not returned the first token of a request within the usual time for its
// version. Its load report is requested next, so that an unresponsive endpoint is detected even if hedges answer its
// requests elsewhere.
func (r *Reservation) RecordOverdue(waited time.Duration) {
	r.endpoint.mu.Lock()
	defer r.endpoint.mu.Unlock()
	r.endpoint.pollWanted = true
	if waited > r.endpoint.latency {
		r.endpoint.latency += time.Duration(latencyAlpha * float64(waited-r.endpoint.latency))
	}
}

// RecordProgress records that the endpoint, running as boot, sent part of an answer at or after a time. The time at
// which the part was read would not do, because the part may have been buffered for a slow caller.
func (r *Reservation) RecordProgress(boot string, at time.Time) {
	r.endpoint.mu.Lock()
	defer r.endpoint.mu.Unlock()
	r.endPrefill()
	if boot == r.endpoint.boot {
		r.endpoint.confirm(boot, at)
	}
}

// endPrefill records that the prompt was processed, or that the request ended before that.
func (r *Reservation) endPrefill() {
	r.endpoint.prefillTokens -= r.prefillTokens
	r.prefillTokens = 0
	r.endpoint.routed.prefillMs -= r.pending.prefillMs
	r.pending.prefillMs = 0
}

// Boot returns the last known boot ID of the endpoint.
func (r *Reservation) Boot() string {
	r.endpoint.mu.Lock()
	defer r.endpoint.mu.Unlock()
	return r.endpoint.boot
}

// Isolated reports whether the request is the only suspect at its endpoint, over all daemons.
func (r *Reservation) Isolated(now time.Time) bool {
	rules := r.pool.table.Load().rules[r.service]
	r.endpoint.mu.Lock()
	defer r.endpoint.mu.Unlock()
	return r.exclusive && rules != nil && r.endpoint.hasRankZero(rules, now)
}

// BesideSuspect reports whether another request at the endpoint is the only suspect there, over all daemons.
func (r *Reservation) BesideSuspect(now time.Time) bool {
	rules := r.pool.table.Load().rules[r.service]
	r.endpoint.mu.Lock()
	defer r.endpoint.mu.Unlock()
	return !r.suspect && r.endpoint.suspects > 0 && rules != nil && r.endpoint.hasRankZero(rules, now)
}

// HasRankZero reports whether this daemon has rank 0 for an endpoint that serves the version.
func (p *Pool) HasRankZero(service, version string, now time.Time) bool {
	t := p.table.Load()
	for _, e := range t.groups[groupKey{service, version}] {
		e.mu.Lock()
		hasRank := e.hasRankZero(t.rules[service], now)
		e.mu.Unlock()
		if hasRank {
			return true
		}
	}
	return false
}

// Release ends the reservation. It must be called exactly once.
func (r *Reservation) Release(o Outcome, now time.Time) {
	e := r.endpoint
	stall := time.Duration(0) // time waited for an answer that did not begin
	if o == Stalled && r.pending.prefillMs > 0 {
		stall = min(now.Sub(r.reservedAt), maxPeerPrefill)
	}
	e.mu.Lock()
	e.inFlight--
	e.tokens -= r.tokens
	e.routed.recordStall(stall, now)
	r.endPrefill()
	if r.suspect {
		e.suspects--
	}
	switch o {
	case Succeeded:
		e.failures = 0
		e.routed.countSuccess()
		r.recordHold(now)
	case EndpointError:
		e.routed.countFailure()
	case Incomplete, Stalled:
		if e.routed.countFailure(); e.routed.failureStreak >= ejectStreak {
			e.recordFailure(now)
		}
	case Busy:
		until := now.Add(busyBackoff)
		switch {
		case r.hadFreeSlots: // it has no memory for a prompt of this size
			e.routed.refused = refusedPrompt{r.pending.prompt, until}
		case until.After(e.ejectedUntil):
			e.ejectedUntil = until
		}
	case ConnectionFailed, TimedOut, ConnectTimedOut:
		e.recordFailure(now)
	}
	versions, ejectedUntil := e.host.Versions, e.ejectedUntil
	id, failures := e.host.ID, e.failures
	e.mu.Unlock()
	if o == ConnectTimedOut || o == Stalled {
		r.pool.reachability.recordTimeout(r.Domain, id, now)
	}
	if stall > 0 && r.pool.spec.OnPrefill != nil {
		r.pool.spec.OnPrefill(*r, stall)
	}
	if r.pool.spec.OnEject != nil && ejectedUntil.After(now) && o != Succeeded && o != Busy {
		r.pool.spec.OnEject(id, failures, ejectedUntil.Sub(now))
	}
	r.pool.notifyCapacity(r.service, versions)
}

// RecordLoad applies the load report that an endpoint sent in reply to a request made at the time asked.
func (p *Pool) RecordLoad(id string, l engine.Load, asked time.Time) {
	e := p.table.Load().byID[id]
	if e == nil {
		return
	}
	e.mu.Lock()
	if e.confirm(l.Boot, asked) {
		e.completed = l.Completed
		e.load = l
		e.loadAt = asked
		if retryAt := asked.Add(ejectBase); retryAt.Before(e.ejectedUntil) { // the endpoint is back
			e.ejectedUntil = retryAt
		}
	}
	service, versions := e.host.Service, e.host.Versions
	e.mu.Unlock()
	p.notifyCapacity(service, versions)
}

// RecordLoadFailure records that an endpoint did not return a load report, and ejects it.
func (p *Pool) RecordLoadFailure(id string, now time.Time) {
	if e := p.table.Load().byID[id]; e != nil {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.recordFailure(now)
	}
}
