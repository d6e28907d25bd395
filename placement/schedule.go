package placement

import (
	"context"
	"errors"
	"slices"

	"github.com/bramleytrail/bramleytrail/weight"
)

// plan turns the orders of a plan into steps. A drain whose version has become short is revoked if its order was not
// sent by anybody.
func (x *Executor) plan(ctx context.Context, f Fleet) {
	demands := x.demands(f)
	in := x.input(f, demands)
	if x.revoke(f, in) {
		in = x.input(f, demands)
	}
	for _, d := range demands {
		s := x.status[d.Version]
		s.Need, s.Ready = Need(d, f.Domains, f.Slots), ready(in, d.Version)
		x.status[d.Version] = s
	}
	if _, held := x.window(); !held {
		x.problem = errNotHeld.Error()
		return
	}
	x.adopt(ctx, f, Plan(in))
}

func ready(in Input, version string) int {
	n := 0
	for _, e := range in.Endpoints {
		if slices.Contains(e.Versions, version) {
			n++
		}
	}
	return n
}

// input describes the fleet to the plan. A version that is being unloaded no longer counts, because it gets no requests;
// one that is being loaded counts as placed and not as ready.
func (x *Executor) input(f Fleet, demands []Demand) Input {
	in := Input{Demands: demands, Domains: f.Domains, Slots: f.Slots, VersionsPerEndpoint: f.VersionsPerEndpoint, MaxLoads: maxLoads, Spare: f.Spare, Role: f.Role}
	byEndpoint := map[string][]*Step{}
	for _, s := range x.steps {
		byEndpoint[s.Endpoint] = append(byEndpoint[s.Endpoint], s)
		if s.Service == f.Service && s.active() && (s.Action == Load || s.Then != "") {
			in.MaxLoads--
		}
	}
	in.MaxLoads = max(0, in.MaxLoads)
	now := x.spec.Now()
	for _, t := range f.Endpoints {
		e := x.seen[t.ID]
		if e.lost(now) {
			continue
		}
		p := Endpoint{ID: t.ID, Addr: t.Addr, Running: e.load.Running, Role: e.load.Role}
		if e.fresh(now) {
			p.Versions = slices.Clone(e.load.Versions)
		} else {
			p.Loading, p.Busy = slices.Clone(e.load.Versions), true
		}
		for _, s := range byEndpoint[t.ID] {
			p.apply(s)
		}
		in.Endpoints = append(in.Endpoints, p)
	}
	return in
}

// apply adds the effect of a step to an endpoint of the plan.
func (e *Endpoint) apply(s *Step) {
	held := slices.Contains(e.Versions, s.Version) || slices.Contains(e.Loading, s.Version)
	remove := func(list []string) []string {
		return slices.DeleteFunc(list, func(v string) bool { return v == s.Version })
	}
	switch {
	case s.active() && s.Action == Role:
		e.Versions, e.Loading = nil, append(e.Loading, e.Versions...)
		e.Busy = true
	case s.active() && s.Action == Unload:
		e.Versions, e.Loading = remove(e.Versions), remove(e.Loading)
		e.Busy = true
		if s.Then != "" {
			e.Loading = append(e.Loading, s.Then) // it takes the room of the version that leaves
		} else if held {
			e.Reserved++
		}
	case s.active() && !held:
		e.Loading, e.Busy = append(e.Loading, s.Version), true
	case s.active():
		e.Busy = true
	default:
		e.Avoid = append(e.Avoid, s.Version)
		if s.Action == Load && s.Unsure && !held {
			e.Reserved++ // the load may still happen
		}
	}
}

// revoke gives up the drains of versions that have too few ready replicas. Orders that an earlier holder may have sent
// are not revoked.
func (x *Executor) revoke(f Fleet, in Input) bool {
	short := map[string]int{}
	for _, d := range in.Demands {
		short[d.Version] = Need(d, f.Domains, f.Slots) - ready(in, d.Version)
	}
	n := len(x.steps)
	x.steps = slices.DeleteFunc(x.steps, func(s *Step) bool {
		e := x.seen[s.Endpoint]
		if s.Service != f.Service || s.Attempts > 0 || s.Inherited || e == nil {
			return false
		}
		gained := slices.DeleteFunc(slices.Clone(e.load.Versions), func(v string) bool { return !s.stops(v) })
		if !slices.ContainsFunc(gained, func(v string) bool { return short[v] > 0 }) {
			return false
		}
		for _, v := range gained {
			short[v]--
		}
		return true
	})
	return len(x.steps) != n
}

// adopt makes steps of orders. An unload and the load that takes its place become one step first.
func (x *Executor) adopt(ctx context.Context, f Fleet, orders []Order) {
	adapter := map[string]bool{}
	for _, d := range f.Demands {
		adapter[d.Version] = d.Base != ""
	}
	limited := false
	for i, o := range orders {
		s := &Step{Service: f.Service, Endpoint: o.Endpoint, Addr: o.Addr, Action: o.Action, Version: o.Version, Adapter: adapter[o.Version]}
		s.boot = x.seen[o.Endpoint].load.Boot
		switch {
		case o.Action == Unload:
			for _, next := range orders[i+1:] {
				if next.Endpoint == o.Endpoint && next.Action == Load {
					s.Then = next.Version
				}
			}
			s.enter(StageDrain, x.spec.Now())
		case o.Action == Role:
			s.enter(StageDrain, x.spec.Now())
		case limited || x.follows(o) || !x.reserve(ctx, s):
			limited = limited || !x.follows(o)
			continue
		default:
			s.enter(StageSend, x.spec.Now())
		}
		x.steps = append(x.steps, s)
	}
}

// follows reports whether a load takes the place of a version that is being unloaded.
func (x *Executor) follows(o Order) bool {
	return slices.ContainsFunc(x.steps, func(s *Step) bool { return s.active() && s.Endpoint == o.Endpoint && s.Then == o.Version })
}

// reserve obtains a ticket of the weight store for an attempt to load.
func (x *Executor) reserve(ctx context.Context, s *Step) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	t, err := x.spec.Weights.Reserve(ctx, s.Version)
	switch {
	case errors.Is(err, weight.ErrRateLimited):
		x.problem = "the weight store's rate limit is reached"
	case err != nil:
		x.problem = "the weight store does not answer"
	}
	s.notBefore, s.ticket, s.waits = x.spec.Now().Add(t.Wait), err == nil, t.Wait > 0
	return s.ticket
}
