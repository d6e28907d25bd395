package placement

import (
	"cmp"
	"math"
	"slices"
)

// headroom is the fraction by which the demand is raised, so that a plan does not react to every fluctuation.
const headroom = 0.25

// Endpoint is the state of one endpoint of the failure domain that a plan is made for.
type Endpoint struct {
	ID       string
	Addr     string
	Versions []string // loaded and ready
	Running  int      // requests
	// Loading lists the versions that are being loaded. They take capacity and count as placed, but a replica that is not
	// ready yet does not permit the unload of another one.
	Loading []string
	// Reserved is capacity, in versions, that neither Versions nor Loading accounts for.
	Reserved int
	// Avoid lists the versions that must not be loaded here for now.
	Avoid []string
	// Role is the reported role; empty if the engine reports none.
	Role string
	// Busy is set while an order for the endpoint is in progress. A busy endpoint gets no further order.
	Busy bool
}

// occupied returns the number of versions that take capacity at the endpoint, now or once the current orders are done.
func (e *Endpoint) occupied() int { return len(e.Versions) + len(e.Loading) + e.Reserved }

// mayLoad reports whether the endpoint may get an order to load a version, capacity and base version aside.
func (e *Endpoint) mayLoad(version string) bool {
	return !e.Busy && !slices.Contains(e.Versions, version) && !slices.Contains(e.Loading, version) && !slices.Contains(e.Avoid, version)
}

// Demand is the load of one version over the whole deployment.
type Demand struct {
	Version string
	// Running is the number of requests that are running or waiting, in all failure domains.
	Running int
	// Wanted is set if a team or a rollout may use the version. Versions that are not wanted are unloaded. Versions
	// without a Demand are left alone.
	Wanted bool
	// Base is the version that an endpoint must have loaded before it can load this one, an adapter; empty for a version
	// with weights of its own.
	Base string
}

// Input is what Plan needs to know of one service in one failure domain.
type Input struct {
	Endpoints []Endpoint
	Demands   []Demand
	// Domains is the number of failure domains that are in service and have endpoints of the service.
	Domains int
	// Slots is the number of requests that a warm endpoint serves concurrently.
	Slots int
	// VersionsPerEndpoint is the number of versions that fit on an endpoint.
	VersionsPerEndpoint int
	// MaxLoads bounds the load orders of this plan. The executor subtracts the loads in progress from it.
	MaxLoads int
	// SpareReplicas is the number of ready replicas above the required ones that an unload must leave. It is 1 for
	// engines that don't check fencing tokens: a late order of an earlier holder can then take one replica too many, but
	// not two.
	SpareReplicas int
	// Role is the role that all endpoints should have; empty to leave roles unchanged.
	Role string
}

// needsRoleChange reports whether an endpoint has another role than the declared one.
func (in *Input) needsRoleChange(e *Endpoint) bool {
	return in.Role != "" && e.Role != "" && e.Role != in.Role
}

// Action is what an order makes an endpoint do.
type Action string

// The actions of orders.
const (
	Load   Action = "load"
	Unload Action = "unload"
	Role   Action = "role" // the order's version is the name of the role
)

// Order is one change that a plan makes to one endpoint.
type Order struct {
	Endpoint string
	Addr     string
	Action   Action
	Version  string
}

// RequiredReplicas returns the number of replicas of a version that each failure domain must have, so that the other
// domains can serve the whole demand when one is lost.
func RequiredReplicas(d Demand, domains, slots int) int {
	if !d.Wanted {
		return 0
	}
	others := max(1, domains-1)
	return max(1, int(math.Ceil(float64(d.Running)*(1+headroom)/float64(slots*others))))
}

// Plan returns the next orders: unloads, then changes of roles, then loads with the unloads that make capacity for them.
// Plans that are applied one after the other converge until Plan returns no orders.
func Plan(in Input) []Order {
	p := newPlanner(in)
	p.unloadUnwanted()
	p.changeRoles()
	p.loadMissing()
	return p.orders
}

// planner computes one plan. It applies each order to its copy of the endpoints before it chooses the next one.
type planner struct {
	in        Input
	endpoints []Endpoint
	required  map[string]int
	base      map[string]string // base version by adapter
	placed    map[string]int    // replicas that are ready or loading
	ready     map[string]int
	loads     int
	orders    []Order
}

// newPlanner counts the replicas and sorts the endpoints: least loaded first, those that will change their role last.
func newPlanner(in Input) *planner {
	p := &planner{in: in, required: map[string]int{}, base: map[string]string{}, placed: map[string]int{}, ready: map[string]int{}}
	for _, d := range in.Demands {
		p.required[d.Version] = RequiredReplicas(d, in.Domains, in.Slots)
		if d.Base != "" {
			p.base[d.Version] = d.Base
		}
	}
	for _, e := range in.Endpoints {
		e.Versions = slices.Clone(e.Versions)
		p.endpoints = append(p.endpoints, e)
		e.Loading = slices.Clone(e.Loading)
		for _, v := range e.Versions {
			p.placed[v]++
			p.ready[v]++
		}
		for _, v := range e.Loading {
			p.placed[v]++
		}
	}
	rank := func(e *Endpoint) int { // endpoints that will change their role come last
		if in.needsRoleChange(e) {
			return 1
		}
		return 0
	}
	slices.SortFunc(p.endpoints, func(a, b Endpoint) int {
		return cmp.Or(cmp.Compare(rank(&a), rank(&b)), cmp.Compare(a.Running, b.Running), cmp.Compare(a.ID, b.ID))
	})
	return p
}

// mayLoad reports whether an endpoint can load a version, capacity aside.
func (p *planner) mayLoad(e *Endpoint, version string) bool {
	base, adapter := p.base[version]
	return e.mayLoad(version) && (!adapter || slices.Contains(e.Versions, base))
}

// mayUnload reports whether a version can be unloaded from an endpoint: enough other replicas are ready, and no adapter
// at the endpoint needs it.
func (p *planner) mayUnload(e *Endpoint, version string) bool {
	for _, v := range slices.Concat(e.Versions, e.Loading) {
		if p.base[v] == version {
			return false
		}
	}
	need, known := p.required[version]
	if need == 0 {
		return known
	}
	return p.ready[version]-1 >= need+p.in.SpareReplicas
}

func (p *planner) unload(e *Endpoint, version string) {
	e.Versions = slices.DeleteFunc(e.Versions, func(v string) bool { return v == version })
	p.placed[version]--
	p.ready[version]--
	p.orders = append(p.orders, Order{e.ID, e.Addr, Unload, version})
}

// unloadUnwanted unloads versions that nobody may use. An endpoint gets one order at a time.
func (p *planner) unloadUnwanted() {
	for i := range p.endpoints {
		e := &p.endpoints[i]
		for _, v := range slices.Clone(e.Versions) {
			if p.required[v] == 0 && !e.Busy && p.mayUnload(e, v) {
				p.unload(e, v)
				e.Busy, e.Reserved = true, e.Reserved+1
			}
		}
	}
}

// changeRoles gives endpoints the declared role. An endpoint serves nothing during the change, so it must wait until each
// of its versions has a spare replica elsewhere. Versions that lack one get a higher requirement, so that loadMissing
// places the spare replicas first.
func (p *planner) changeRoles() {
	withoutSpare := map[string]bool{}
	for i := range p.endpoints {
		e := &p.endpoints[i]
		if !p.in.needsRoleChange(e) || e.Busy {
			continue
		}
		short := false
		for _, v := range e.Versions {
			if need := p.required[v]; need > 0 && p.ready[v]-1 < need+p.in.SpareReplicas {
				short, withoutSpare[v] = true, true
			}
		}
		if short {
			continue
		}
		for _, v := range e.Versions {
			p.ready[v]--
		}
		e.Busy = true
		p.orders = append(p.orders, Order{e.ID, e.Addr, Role, p.in.Role})
	}
	for v := range withoutSpare {
		p.required[v] += p.in.SpareReplicas + 1
	}
}

// loadMissing loads missing replicas, those of the version with the largest shortage first.
func (p *planner) loadMissing() {
	for p.loads < p.in.MaxLoads {
		version, ok := p.largestShortage()
		if !ok {
			return
		}
		e := p.endpointFor(version)
		if e == nil {
			p.required[version] = p.placed[version] // no endpoint can load it in this plan
			continue
		}
		e.Loading = append(e.Loading, version)
		e.Busy = true
		p.placed[version]++
		p.loads++
		p.orders = append(p.orders, Order{e.ID, e.Addr, Load, version})
	}
}

// largestShortage returns the version that lacks the most replicas, and false if none lacks any.
func (p *planner) largestShortage() (string, bool) {
	best, most := "", 0
	for v, need := range p.required {
		missing := need - p.placed[v]
		if missing > most || missing == most && missing > 0 && v < best {
			best, most = v, missing
		}
	}
	return best, most > 0
}

// endpointFor returns the least loaded endpoint with free capacity for a version. If there is none, it unloads a surplus
// version from the least loaded endpoint that has one, and returns that endpoint. It returns nil if neither exists.
func (p *planner) endpointFor(version string) *Endpoint {
	for i := range p.endpoints {
		e := &p.endpoints[i]
		if e.occupied() < p.in.VersionsPerEndpoint && p.mayLoad(e, version) {
			return e
		}
	}
	for i := range p.endpoints {
		e := &p.endpoints[i]
		if !p.mayLoad(e, version) || e.occupied() > p.in.VersionsPerEndpoint {
			continue
		}
		for _, v := range e.Versions {
			if v != p.base[version] && p.mayUnload(e, v) {
				p.unload(e, v)
				return e
			}
		}
	}
	return nil
}
