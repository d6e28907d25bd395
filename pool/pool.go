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
	"github.com/bramleytrail/bramleytrail/selection"
)

// shardCount is the number of locks that the endpoints share.
const shardCount = 16

// oldLimitsTTL is how long the previous limits of a service stay in force beside new ones. Every daemon applies a new
// configuration within this time.
const oldLimitsTTL = 20 * time.Second

// Spec configures a Pool.
type Spec struct {
	Self   string // this daemon's ID in the host list
	Domain string // this daemon's failure domain
	// Settle is the time within which every daemon has received a change of the host list.
	Settle time.Duration
	// RestartDetection is the time within which the host list shows that an endpoint has restarted.
	RestartDetection time.Duration
	// Rand returns random numbers for the selection of endpoints. It is called concurrently.
	Rand func() uint64
	// Policy selects one of the endpoints that can take a request.
	Policy Policy
	// Affinity prefers the endpoint that probably has a prompt's prefix in its cache. It has an effect with LeastCost
	// only.
	Affinity bool
	// OnPrefill, if set, is called when a routed request with a long prompt is sent to an endpoint, with the expected
	// prefill time, and when an endpoint stalled before its answer began, with the time waited. No lock of the pool is
	// held.
	OnPrefill func(r Reservation, prefill time.Duration)
	// OnCapacity, if set, is called when an endpoint of the service may have free capacity; an empty service means
	// any endpoint. versions are those that the endpoint serves. No lock of the pool is held.
	OnCapacity func(service string, versions []string)
	// OnEject, if set, is called when an endpoint is ejected for the time wait after consecutive failures. No lock of
	// the pool is held.
	OnEject func(id string, failures int, wait time.Duration)
}

// Pool is the endpoint table of a daemon. It is safe for concurrent use.
type Pool struct {
	spec         Spec
	shards       [shardCount]sync.Mutex
	table        atomic.Pointer[table]
	roundRobin   atomic.Uint64 // next index for RoundRobin
	reachability *reachability

	estimates  *estimates // for the models of routed services
	unnamed    unnamedModels
	statements *statements

	mu        sync.Mutex // serializes rebuild
	list      hostlist.List
	view      *config.View
	endpoints map[string]*endpoint
	placement placement
	members   members
	history   map[string]*limitHistory // by service
	domains   map[string]uint8         // numbers of failure domains
}

// limitHistory holds what stays of a service when the table is rebuilt: its limits, the previous ones that other daemons
// may still apply, and its speed reports.
type limitHistory struct {
	current limits
	earlier []expiringLimits
	reports speedReports
}

type expiringLimits struct {
	limits
	until time.Time // the limits apply before this time
}

// groupKey identifies the endpoints of a service that serve a version. The version is empty for plain services.
type groupKey struct{ service, version string }

// table is a snapshot of the endpoints in use. Its maps and slices don't change once it is stored, so that requests read
// them without a lock.
type table struct {
	groups map[groupKey][]*endpoint
	rules  map[string]*serviceRules // by service
	view   *config.View
	all    []*endpoint
	byID   map[string]*endpoint
	byKey  map[uint64]*endpoint // by hash of the ID

	localDomain uint8 // number of this daemon's failure domain

	models map[modelKey]struct{} // that routes or endpoints name
}

// New returns a pool without endpoints. Call SetView and SetHosts to fill it.
func New(spec Spec) *Pool {
	p := &Pool{spec: spec, endpoints: map[string]*endpoint{}, history: map[string]*limitHistory{}, domains: map[string]uint8{}, estimates: newEstimates(), statements: newStatements(), reachability: newReachability()}
	p.members = members{self: spec.Self, settle: spec.Settle, departed: map[string]departedDaemon{}}
	p.table.Store(&table{})
	return p
}

// SetView applies a new configuration.
func (p *Pool) SetView(v *config.View, now time.Time) {
	p.mu.Lock()
	p.view = v
	p.recordLimits(now)
	p.rebuild()
	p.mu.Unlock()
	p.notifyCapacity("", nil)
}

// SetHosts applies a new host list.
func (p *Pool) SetHosts(list hostlist.List, now time.Time) {
	p.mu.Lock()
	p.list = list
	p.members.update(list.Hosts, now)
	p.rebuild()
	p.mu.Unlock()
	p.notifyCapacity("", nil)
}

// Joined reports whether this daemon may use its shares, because all other daemons take it into account by now.
func (p *Pool) Joined(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.members.listedSince.IsZero() && !now.Before(p.members.joinTime())
}

func (p *Pool) notifyCapacity(service string, versions []string) {
	if p.spec.OnCapacity != nil {
		p.spec.OnCapacity(service, versions)
	}
}

// recordLimits records the current limits of each service and keeps the ones they replace for oldLimitsTTL.
func (p *Pool) recordLimits(now time.Time) {
	var maxRequest int64
	for _, t := range p.view.Teams {
		maxRequest = max(maxRequest, t.Limits.MaxTokens)
	}
	for name, svc := range p.view.Services {
		next := limits{EndpointLimits: svc.Limits, maxRequestTokens: maxRequest}
		h := p.history[name]
		switch {
		case h == nil:
			p.history[name] = &limitHistory{current: next}
		case h.current != next:
			unexpired := slices.DeleteFunc(slices.Clone(h.earlier), func(l expiringLimits) bool { return !now.Before(l.until) })
			h.earlier = append(unexpired, expiringLimits{h.current, now.Add(oldLimitsTTL)})
			h.current = next
		}
	}
}

// rebuild recomputes the groups and this daemon's assignments, and publishes them as a new table. The caller holds
// p.mu.
func (p *Pool) rebuild() {
	if p.view == nil {
		return
	}
	t := &table{groups: map[groupKey][]*endpoint{}, rules: map[string]*serviceRules{}, byID: map[string]*endpoint{}, byKey: map[uint64]*endpoint{}, view: p.view, localDomain: p.domainIndex(p.spec.Domain)}
	withDeparted, departedUntil := p.members.withDeparted()
	for name := range p.view.Services {
		h := p.history[name]
		t.rules[name] = &serviceRules{limits: h.current, earlier: h.earlier, sharesFrom: p.members.joinTime(), departedUntil: departedUntil,
			routed: p.view.Services[name].Routed, daemons: len(withDeparted), reports: &h.reports}
	}
	endpoints := make(map[string]*endpoint, len(p.endpoints))
	for _, h := range p.list.Hosts {
		svc := p.view.Services[h.Service]
		if h.Role != hostlist.RoleEndpoint || svc == nil {
			continue
		}
		h.Versions = p.placement.versions(h)
		e := p.updateEndpoint(h, assignmentFor(p.spec.Self, h, p.members.listed), assignmentFor(p.spec.Self, h, withDeparted))
		endpoints[h.ID] = e
		if h.State == hostlist.StateLive && (svc.Routed != nil || e.assignment.hasShare(svc.Limits.Slots)) {
			t.all = append(t.all, e)
			t.byID[h.ID], t.byKey[e.key] = e, e
			t.add(e, svc.Type)
		}
	}
	t.models = p.namedModels()
	p.retainBusy(endpoints)
	p.endpoints = endpoints
	assignPositions(t.all)
	p.table.Store(t)
}

// retainBusy keeps unlisted endpoints that still have requests in flight, so that these requests are counted if the
// endpoint is listed again.
func (p *Pool) retainBusy(endpoints map[string]*endpoint) {
	for id, e := range p.endpoints {
		if endpoints[id] != nil {
			continue
		}
		e.mu.Lock()
		if e.inFlight > 0 {
			endpoints[id] = e
		}
		e.mu.Unlock()
	}
}

// updateEndpoint returns the state of a listed endpoint after applying its host entry and assignments. It creates the
// state for a new endpoint or a changed address, and resets failures after a restart.
func (p *Pool) updateEndpoint(h hostlist.Host, a, conservative assignment) *endpoint {
	e := p.endpoints[h.ID]
	if e == nil || e.host.Addr != h.Addr {
		key := xxhash.Sum64String(h.ID)
		e = &endpoint{key: key, mu: &p.shards[key%shardCount], properties: &selection.Endpoint{}}
		e.stagger = float64(selection.Rendezvous(xxhash.Sum64String(p.spec.Self), key)>>11) / (1 << 53)
		e.stated = p.statements.of(h.ID, h.Started)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if h.Started != e.host.Started && e.host.ID != "" { // the process restarted with the same ID
		e.routed = routedState{}
		e.failures, e.ejectedUntil = 0, time.Time{}
		e.stated = p.statements.of(h.ID, h.Started)
	}
	e.host = h
	e.local = h.Domain == p.spec.Domain
	e.properties = &selection.Endpoint{
		ID: h.ID, Domain: h.Domain, Release: h.Release, Models: h.Models, Key: e.key, Slots: h.Slots, Local: e.local, DomainIndex: p.domainIndex(h.Domain),
		InService: p.view.DomainInService(h.Domain), Stagger: e.stagger, Position: e.properties.Position, GroupSize: e.properties.GroupSize,
	}
	e.assignment, e.conservativeAssignment = a, conservative
	return e
}

// domainIndex returns the number of a failure domain for package selection. The last number is that of all domains beyond
// selection.MaxDomains. The caller holds p.mu.
func (p *Pool) domainIndex(domain string) uint8 {
	i, ok := p.domains[domain]
	if !ok {
		i = uint8(min(len(p.domains), selection.MaxDomains-1))
		if len(p.domains) < selection.MaxDomains {
			p.domains[domain] = i
		}
	}
	return i
}

// add adds the endpoint to the groups of the versions that it serves.
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
