package pool

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/object"
)

const shardCount = 16

// Spec configures a Pool.
type Spec struct {
	Self   string // identity of this daemon in the host list
	Domain string // this daemon's failure domain
	// Settle is the time within which every daemon has seen a change of the host list.
	Settle time.Duration
	// Rand returns random numbers for the choice among endpoints.
	Rand func() uint64
}

// Pool is the endpoint table of a daemon.
type Pool struct {
	spec   Spec
	shards [shardCount]sync.Mutex
	table  atomic.Pointer[table]

	mu             sync.Mutex // serialises rebuild
	list           hostlist.List
	view           *config.View
	known          map[string]*endpoint
	daemons        []string  // identities of the entry hosts
	daemonsChanged time.Time // last change of daemons
}

// groupKey selects the endpoints that serve a version; the version is empty for plain services.
type groupKey struct{ service, version string }

type table struct {
	groups map[groupKey][]*endpoint
	view   *config.View
	all    []*endpoint
	byID   map[string]*endpoint
}

// New returns an empty pool.
func New(spec Spec) *Pool {
	p := &Pool{spec: spec, known: map[string]*endpoint{}}
	p.table.Store(&table{})
	return p
}

// SetView applies a configuration.
func (p *Pool) SetView(v *config.View, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view = v
	p.rebuild(now)
}

// SetHosts applies a host list.
func (p *Pool) SetHosts(list hostlist.List, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = list
	p.rebuild(now)
}

// rebuild computes the groups and this daemon's positions. Daemons that are leaving keep their shares until they are
// off the list, because their requests in flight still use them.
func (p *Pool) rebuild(now time.Time) {
	if p.view == nil {
		return
	}
	t := &table{groups: map[groupKey][]*endpoint{}, byID: map[string]*endpoint{}, view: p.view}
	var daemons []hostlist.Host
	for _, h := range p.list.Hosts {
		if h.Role == hostlist.RoleEntry {
			daemons = append(daemons, h)
		}
	}
	p.noteDaemons(daemons, now)
	known := make(map[string]*endpoint, len(p.known))
	for _, h := range p.list.Hosts {
		svc := p.view.Services[h.Service]
		if h.Role != hostlist.RoleEndpoint || svc == nil {
			continue
		}
		pos := locate(p.spec.Self, h, daemons, svc.Limits.Slots)
		e := p.adopt(h, pos, now)
		known[h.ID] = e
		if e.usable() {
			t.all = append(t.all, e)
			t.byID[h.ID] = e
			t.add(e, svc.Type)
		}
	}
	p.known = known
	p.table.Store(t)
}

func (p *Pool) noteDaemons(daemons []hostlist.Host, now time.Time) {
	ids := make([]string, len(daemons))
	for i, h := range daemons {
		ids[i] = h.ID
	}
	if !slices.Equal(ids, p.daemons) {
		p.daemons, p.daemonsChanged = ids, now
	}
}

// adopt returns the endpoint's state with its new host entry and position.
func (p *Pool) adopt(h hostlist.Host, pos position, now time.Time) *endpoint {
	e := p.known[h.ID]
	if e == nil || e.host.Addr != h.Addr {
		e = &endpoint{mu: &p.shards[xxhash.Sum64String(h.ID)%shardCount]}
		// Until the set of daemons has settled, others may assume other shares of this endpoint.
		e.pos = positions{current: pos, earlier: []expiring{{position{rank: notAssigned}, p.daemonsChanged.Add(p.spec.Settle)}}}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.host = h
	e.local = h.Domain == p.spec.Domain
	e.pos.change(pos, now, p.spec.Settle)
	return e
}

// usable reports whether this daemon may give the endpoint work, now or once its share has settled.
func (e *endpoint) usable() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.host.State == hostlist.StateLive && e.pos.current.rank != notAssigned
}

func (t *table) add(e *endpoint, typ object.ServiceType) {
	if typ == object.ServicePlain {
		k := groupKey{e.host.Service, ""}
		t.groups[k] = append(t.groups[k], e)
		return
	}
	for _, v := range e.host.Versions {
		k := groupKey{e.host.Service, v}
		t.groups[k] = append(t.groups[k], e)
	}
}

// Query describes the work for which an endpoint is wanted.
type Query struct {
	Service string
	Version string   // empty for plain services
	Tokens  int64    // estimated tokens that the endpoint holds for the request
	Exclude []string // endpoint identities
	// Suspect marks a request that was present at several crashes. It gets an endpoint on which it is this daemon's only
	// suspect. With OnlyRankZero the daemon must have the first rank there, so that it is the only one of all daemons.
	Suspect      bool
	OnlyRankZero bool
}

// Shortage says why no endpoint was chosen. It counts the endpoints refused for each reason.
type Shortage struct {
	Listed, DomainOut, Ejected, Full, TokensFull, Stale, Suspect int
}

// Reservation holds an endpoint's slot and tokens for one request.
type Reservation struct {
	ID      string
	Addr    string
	Domain  string
	tokens  int64
	suspect bool
	e       *endpoint
}

// Pick chooses an endpoint and reserves room on it. It takes the better of two random endpoints that admit the request,
// since choosing the best of all with lagging reports sends every daemon to the same one.
func (p *Pool) Pick(q Query, now time.Time) (Reservation, Shortage, bool) {
	t := p.table.Load()
	group := t.groups[groupKey{q.Service, q.Version}]
	short := Shortage{Listed: len(group)}
	if len(group) == 0 {
		return Reservation{}, short, false
	}
	lim := t.view.Services[q.Service].Limits
	start := int(p.spec.Rand() % uint64(len(group)))
	var best *endpoint
	var bestScore float64
	found := 0
	for i := 0; i < len(group) && found < 2; i++ {
		e := group[(start+i)%len(group)]
		score, ok := e.consider(&q, t.view, lim, now, &short)
		if !ok {
			continue
		}
		found++
		if best == nil || score < bestScore {
			best, bestScore = e, score
		}
	}
	if best == nil {
		return Reservation{}, short, false
	}
	return best.reserve(&q, lim, now, &short)
}

func (e *endpoint) consider(q *Query, view *config.View, lim object.EndpointLimits, now time.Time, short *Shortage) (float64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !view.DomainIn(e.host.Domain) {
		short.DomainOut++
		return 0, false
	}
	if slices.Contains(q.Exclude, e.host.ID) {
		return 0, false
	}
	if r := e.admits(q, lim, now); r != accepted {
		short.count(r)
		return 0, false
	}
	return e.score(lim, now), true
}

// reserve checks the limits again, since another request may have taken the room in the meantime.
func (e *endpoint) reserve(q *Query, lim object.EndpointLimits, now time.Time, short *Shortage) (Reservation, Shortage, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.admits(q, lim, now); r != accepted {
		short.count(r)
		return Reservation{}, *short, false
	}
	e.inFlight++
	e.tokens += q.Tokens
	if q.Suspect {
		e.suspects++
	}
	return Reservation{ID: e.host.ID, Addr: e.host.Addr, Domain: e.host.Domain, tokens: q.Tokens, suspect: q.Suspect, e: e}, *short, true
}

func (s *Shortage) count(r refusal) {
	switch r {
	case refusedEjected:
		s.Ejected++
	case refusedSlots:
		s.Full++
	case refusedTokens:
		s.TokensFull++
	case refusedStale:
		s.Stale++
	case refusedSuspect:
		s.Suspect++
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
)

// Opened records that the endpoint began to answer.
func (r *Reservation) Opened(boot string, latency time.Duration, now time.Time) {
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	r.e.confirm(boot, now)
	r.e.latency += time.Duration(latencyAlpha * float64(latency-r.e.latency))
}

// Progress records that the endpoint sent a part of the answer.
func (r *Reservation) Progress(now time.Time) {
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	r.e.evidence = now
}

// Boot returns the endpoint's last known boot identity.
func (r *Reservation) Boot() string {
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	return r.e.boot
}

// Isolated reports whether the request is the only suspect of all daemons at its endpoint.
func (r *Reservation) Isolated() bool {
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	return r.suspect && r.e.pos.current.rank == 0
}

// BesideSuspect reports whether another request at the endpoint is the only suspect there.
func (r *Reservation) BesideSuspect() bool {
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	return !r.suspect && r.e.suspects > 0 && r.e.pos.current.rank == 0
}

// HasRankZero reports whether this daemon has the first rank at an endpoint that serves the version.
func (p *Pool) HasRankZero(service, version string) bool {
	for _, e := range p.table.Load().groups[groupKey{service, version}] {
		e.mu.Lock()
		first := e.pos.current.rank == 0
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
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
	e.tokens -= r.tokens
	if r.suspect {
		e.suspects--
	}
	switch o {
	case Succeeded:
		e.failures = 0
	case Busy:
		e.ejected = now.Add(busyBackoff)
	case Broken, TimedOut:
		e.fail(now)
	}
}

// Report applies a load report.
func (p *Pool) Report(id string, l engine.Load, now time.Time) {
	e := p.table.Load().byID[id]
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.confirm(l.Boot, now)
	e.completed = l.Completed
	e.load = l
	e.loadAt = now
	e.wanted = false
}

// ReportFailed records that an endpoint gave no load report.
func (p *Pool) ReportFailed(id string, now time.Time) {
	if e := p.table.Load().byID[id]; e != nil {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.wanted = false
		e.fail(now)
	}
}
