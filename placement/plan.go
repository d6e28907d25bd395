package placement

import (
	"cmp"
	"math"
	"slices"
)

// headroom is the part of demand added to it, so that a plan does not follow every fluctuation.
const headroom = 0.25

// Endpoint is one endpoint of the failure domain that is planned.
type Endpoint struct {
	ID       string
	Addr     string
	Versions []string
	Running  int // requests
	// Loading are versions that are on their way to the endpoint. They take room and count as placed, but a version that
	// is not ready does not permit the unload of another replica.
	Loading []string
	// Reserved is room that neither Versions nor Loading accounts for.
	Reserved int
	// Avoid are versions that must not be loaded here for now.
	Avoid []string
	// Role is the reported role; empty if the engine reports none.
	Role string
	// Busy says that an order for the endpoint is under way, so that it gets no other one.
	Busy bool
}

// occupied returns the number of versions that the endpoint has or will have to hold.
func (e *Endpoint) occupied() int { return len(e.Versions) + len(e.Loading) + e.Reserved }

func (e *Endpoint) mayLoad(version string) bool {
	return !e.Busy && !slices.Contains(e.Versions, version) && !slices.Contains(e.Loading, version) && !slices.Contains(e.Avoid, version)
}

// Demand is the load of one version over the whole deployment.
type Demand struct {
	Version string
	// Running is the number of requests that are running or waiting, in all failure domains.
	Running int
	// Wanted says that a team or roll-out may use the version. Versions that are not wanted are unloaded.
	// Versions without a demand entry are not touched.
	Wanted bool
	// Base is the version that an endpoint must hold to load this one, which is then an adapter; empty for a version with
	// weights of its own.
	Base string
}

// Input of a plan for one service in one failure domain.
type Input struct {
	Endpoints []Endpoint
	Demands   []Demand
	// Domains is the number of failure domains that are in service and have endpoints of the service.
	Domains int
	// Slots is the number of concurrent requests of a warm endpoint.
	Slots int
	// VersionsPerEndpoint is the number of versions that fit on an endpoint.
	VersionsPerEndpoint int
	// MaxLoads bounds the loads of this plan; the weight store's rate limit gives it.
	MaxLoads int
	// Spare is the number of replicas of a version above the need that an unload must leave. It is 1 for engines that
	// don't check fencing numbers: a late order of an earlier holder can then take one replica too many, not two.
	Spare int
	// Role is the role that all endpoints should have; empty to leave roles alone.
	Role string
}

// changesRole reports whether an endpoint should get another role.
func (in *Input) changesRole(e *Endpoint) bool {
	return in.Role != "" && e.Role != "" && e.Role != in.Role
}

// Action of an order.
type Action string

// Actions.
const (
	Load   Action = "load"
	Unload Action = "unload"
	Role   Action = "role" // the order's version is the name of the role
)

// Order is one step of a plan.
type Order struct {
	Endpoint string
	Addr     string
	Action   Action
	Version  string
}

// Need returns the number of replicas of a version that each failure domain must have, so that the others can serve its
// demand when one is lost.
func Need(d Demand, domains, slots int) int {
	if !d.Wanted {
		return 0
	}
	others := max(1, domains-1)
	return max(1, int(math.Ceil(float64(d.Running)*(1+headroom)/float64(slots*others))))
}

// Plan returns the next orders, unloads first. Applied again and again, plans converge.
func Plan(in Input) []Order {
	p := newPlanner(in)
	p.unloadUnwanted()
	p.changeRoles()
	p.loadMissing()
	return p.orders
}

type planner struct {
	in        Input
	endpoints []Endpoint
	need      map[string]int
	base      map[string]string // of adapters
	have      map[string]int    // replicas that are ready or on their way
	ready     map[string]int
	loads     int
	orders    []Order
}

func newPlanner(in Input) *planner {
	p := &planner{in: in, need: map[string]int{}, base: map[string]string{}, have: map[string]int{}, ready: map[string]int{}}
	for _, d := range in.Demands {
		p.need[d.Version] = Need(d, in.Domains, in.Slots)
		if d.Base != "" {
			p.base[d.Version] = d.Base
		}
	}
	for _, e := range in.Endpoints {
		e.Versions = slices.Clone(e.Versions)
		p.endpoints = append(p.endpoints, e)
		e.Loading = slices.Clone(e.Loading)
		for _, v := range e.Versions {
			p.have[v]++
			p.ready[v]++
		}
		for _, v := range e.Loading {
			p.have[v]++
		}
	}
	rank := func(e *Endpoint) int { // endpoints that will change their role are the last choice
		if in.changesRole(e) {
			return 1
		}
		return 0
	}
	slices.SortFunc(p.endpoints, func(a, b Endpoint) int {
		return cmp.Or(cmp.Compare(rank(&a), rank(&b)), cmp.Compare(a.Running, b.Running), cmp.Compare(a.ID, b.ID))
	})
	return p
}

// mayLoad reports whether an endpoint can take a version, apart from room.
func (p *planner) mayLoad(e *Endpoint, version string) bool {
	base, adapter := p.base[version]
	return e.mayLoad(version) && (!adapter || slices.Contains(e.Versions, base))
}

// mayUnload reports whether an endpoint can give up a version: enough other replicas are ready, and no adapter at the
// endpoint needs it.
func (p *planner) mayUnload(e *Endpoint, version string) bool {
	for _, v := range slices.Concat(e.Versions, e.Loading) {
		if p.base[v] == version {
			return false
		}
	}
	need, known := p.need[version]
	if need == 0 {
		return known
	}
	return p.ready[version]-1 >= need+p.in.Spare
}

func (p *planner) unload(e *Endpoint, version string) {
	e.Versions = slices.DeleteFunc(e.Versions, func(v string) bool { return v == version })
	p.have[version]--
	p.ready[version]--
	p.orders = append(p.orders, Order{e.ID, e.Addr, Unload, version})
}

// unloadUnwanted frees endpoints of versions that nobody may use. An endpoint gets one order at a time.
func (p *planner) unloadUnwanted() {
	for i := range p.endpoints {
		e := &p.endpoints[i]
		for _, v := range slices.Clone(e.Versions) {
			if p.need[v] == 0 && !e.Busy && p.mayUnload(e, v) {
				p.unload(e, v)
				e.Busy, e.Reserved = true, e.Reserved+1
			}
		}
	}
}

// changeRoles gives endpoints the declared role. An endpoint serves nothing during the change, so each of its versions
// needs a replica to spare; versions that lack one get it first.
func (p *planner) changeRoles() {
	raised := map[string]bool{}
	for i := range p.endpoints {
		e := &p.endpoints[i]
		if !p.in.changesRole(e) || e.Busy {
			continue
		}
		short := false
		for _, v := range e.Versions {
			if need := p.need[v]; need > 0 && p.ready[v]-1 < need+p.in.Spare {
				short, raised[v] = true, true
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
	for v := range raised {
		p.need[v] += p.in.Spare + 1
	}
}

// loadMissing loads the versions with the largest shortage first.
func (p *planner) loadMissing() {
	for p.loads < p.in.MaxLoads {
		version, ok := p.mostMissing()
		if !ok {
			return
		}
		e := p.place(version)
		if e == nil {
			p.need[version] = p.have[version] // no endpoint can take it in this plan
			continue
		}
		e.Loading = append(e.Loading, version)
		e.Busy = true
		p.have[version]++
		p.loads++
		p.orders = append(p.orders, Order{e.ID, e.Addr, Load, version})
	}
}

func (p *planner) mostMissing() (string, bool) {
	best, most := "", 0
	for v, need := range p.need {
		missing := need - p.have[v]
		if missing > most || missing == most && missing > 0 && v < best {
			best, most = v, missing
		}
	}
	return best, most > 0
}

// place returns the least loaded endpoint that has room for a version, or that can give up a version in surplus.
func (p *planner) place(version string) *Endpoint {
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
