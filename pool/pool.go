package pool

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/object"
)

const shardCount = 16

// limitSettle is the time for which a service's earlier limits still apply beside new ones: within it a configuration
// is in effect at every daemon.
const limitSettle = 20 * time.Second

// Spec configures a Pool.
type Spec struct {
	Self   string // identity of this daemon in the host list
	Domain string // this daemon's failure domain
	// Settle is the time within which every daemon has seen a change of the host list.
	Settle time.Duration
	// RestartKnown is the time within which the host list shows that an endpoint has started anew.
	RestartKnown time.Duration
	// Rand returns random numbers for the choice among endpoints.
	Rand func() uint64
	// Policy is the rule of the choice.
	Policy Policy
	// Affinity lets an endpoint that probably holds a prompt's prefix go first, with LeastCost only.
	Affinity bool
	// OnWork, if set, is called when a routed request with a long prompt is sent to an endpoint, with the time that reading
	// it probably takes. No lock of the pool is held.
	OnWork func(r Reservation, work time.Duration)
	// OnRoom, if set, is called when an endpoint of the service may have got room, or any endpoint if service is empty.
	// versions are those that the endpoint serves. No lock of the pool is held.
	OnRoom func(service string, versions []string)
	// OnEject, if set, is called when an endpoint gets no requests for a time after failures in a row. No lock of the pool
	// is held.
	OnEject func(id string, failures int, wait time.Duration)
}

// Pool is the endpoint table of a daemon.
type Pool struct {
	spec   Spec
	shards [shardCount]sync.Mutex
	table  atomic.Pointer[table]
	turn   atomic.Uint64 // of RoundRobin
	reach  *reach

	estimates *estimates // of the models of routed services

	mu      sync.Mutex // serialises rebuild
	list    hostlist.List
	view    *config.View
	known   map[string]*endpoint
	placed  placed
	members members
	history map[string]*limitHistory // by service
}

// limitHistory holds a service's limits and the earlier ones that other daemons may still use.
type limitHistory struct {
	current limits
	earlier []expiringLimits
}

type expiringLimits struct {
	limits
	until time.Time
}

// groupKey selects the endpoints that serve a version; the version is empty for plain services.
type groupKey struct{ service, version string }

type table struct {
	groups map[groupKey][]*endpoint
	rules  map[string]*rule // by service
	view   *config.View
	all    []*endpoint
	byID   map[string]*endpoint
}

// New returns an empty pool.
func New(spec Spec) *Pool {
	p := &Pool{spec: spec, known: map[string]*endpoint{}, history: map[string]*limitHistory{}, estimates: newEstimates(), reach: newReach()}
	p.members = members{self: spec.Self, settle: spec.Settle, departed: map[string]departed{}}
	p.table.Store(&table{})
	return p
}

// SetView applies a configuration.
func (p *Pool) SetView(v *config.View, now time.Time) {
	p.mu.Lock()
	p.view = v
	p.noteLimits(now)
	p.rebuild()
	p.mu.Unlock()
	p.signal("", nil)
}

// SetHosts applies a host list.
func (p *Pool) SetHosts(list hostlist.List, now time.Time) {
	p.mu.Lock()
	p.list = list
	p.members.update(list.Hosts, now)
	p.rebuild()
	p.mu.Unlock()
	p.signal("", nil)
}

// Joined reports whether this daemon may use its shares: all other daemons count it.
func (p *Pool) Joined(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.members.since.IsZero() && !now.Before(p.members.joined())
}

func (p *Pool) signal(service string, versions []string) {
	if p.spec.OnRoom != nil {
		p.spec.OnRoom(service, versions)
	}
}

// noteLimits records the limits of each service and keeps the ones that they replace.
func (p *Pool) noteLimits(now time.Time) {
	var largest int64
	for _, t := range p.view.Teams {
		largest = max(largest, t.Limits.MaxTokens)
	}
	for name, svc := range p.view.Services {
		next := limits{EndpointLimits: svc.Limits, largest: largest}
		h := p.history[name]
		switch {
		case h == nil:
			p.history[name] = &limitHistory{current: next}
		case h.current != next:
			live := slices.DeleteFunc(slices.Clone(h.earlier), func(l expiringLimits) bool { return !now.Before(l.until) })
			h.earlier = append(live, expiringLimits{h.current, now.Add(limitSettle)})
			h.current = next
		}
	}
}

// rebuild computes the groups and this daemon's places.
func (p *Pool) rebuild() {
	if p.view == nil {
		return
	}
	t := &table{groups: map[groupKey][]*endpoint{}, rules: map[string]*rule{}, byID: map[string]*endpoint{}, view: p.view}
	counted, until := p.members.counted()
	for name := range p.view.Services {
		h := p.history[name]
		t.rules[name] = &rule{limits: h.current, earlier: h.earlier, joined: p.members.joined(), until: until,
			routed: p.view.Services[name].Routed, daemons: len(counted)}
	}
	known := make(map[string]*endpoint, len(p.known))
	for _, h := range p.list.Hosts {
		svc := p.view.Services[h.Service]
		if h.Role != hostlist.RoleEndpoint || svc == nil {
			continue
		}
		h.Versions = p.placed.versions(h)
		e := p.adopt(h, locate(p.spec.Self, h, p.members.present), locate(p.spec.Self, h, counted))
		known[h.ID] = e
		if h.State == hostlist.StateLive && (svc.Routed != nil || e.settled.assigned(svc.Limits.Slots)) {
			t.all = append(t.all, e)
			t.byID[h.ID] = e
			t.add(e, svc.Type)
		}
	}
	p.keepBusy(known)
	p.known = known
	order(t.all)
	p.table.Store(t)
}

// keepBusy keeps endpoints that are off the list while requests are in flight there, so that they count if the endpoint
// comes back.
func (p *Pool) keepBusy(known map[string]*endpoint) {
	for id, e := range p.known {
		if known[id] != nil {
			continue
		}
		e.mu.Lock()
		if e.inFlight > 0 {
			known[id] = e
		}
		e.mu.Unlock()
	}
}

// adopt returns the endpoint's state with its new host entry and places.
func (p *Pool) adopt(h hostlist.Host, settled, counted place) *endpoint {
	e := p.known[h.ID]
	if e == nil || e.host.Addr != h.Addr {
		key := xxhash.Sum64String(h.ID)
		e = &endpoint{key: key, mu: &p.shards[key%shardCount]}
		e.stagger = float64(rendezvous(xxhash.Sum64String(p.spec.Self), key)>>11) / (1 << 53)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if h.Started != e.host.Started && e.host.ID != "" { // a new process under the same identity
		e.routed = routedState{}
		e.failures, e.ejected = 0, time.Time{}
	}
	e.host = h
	e.local = h.Domain == p.spec.Domain
	e.settled, e.counted = settled, counted
	return e
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
