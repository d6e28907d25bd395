package placement

import (
	"context"
	"errors"
	"slices"

	"github.com/bramleytrail/bramleytrail/weight"
)

// planService plans one service and starts operations for the orders of the plan. It first revokes drains of versions that
// now have too few ready replicas.
func (x *Executor) planService(ctx context.Context, f Fleet) {
	demands := x.demands(f)
	in := x.planInput(f, demands)
	if x.revokeDrains(f, in) {
		in = x.planInput(f, demands)
	}
	for _, d := range demands {
		s := x.versionStatus[d.Version]
		s.Need, s.Ready = RequiredReplicas(d, f.Domains, f.Slots), readyReplicas(in, d.Version)
		x.versionStatus[d.Version] = s
	}
	if _, held := x.sendWindow(); !held {
		x.problem = errLeaseTooShort.Error()
		return
	}
	x.addOperations(ctx, f, Plan(in))
}

// readyReplicas returns the number of endpoints that have a version ready.
func readyReplicas(in Input, version string) int {
	n := 0
	for _, e := range in.Endpoints {
		if slices.Contains(e.Versions, version) {
			n++
		}
	}
	return n
}

// planInput returns the input of a plan: the reported endpoints with the effects of operations in progress. A version that
// is being unloaded no longer counts, because it gets no requests. One that is being loaded, or whose endpoint gives no
// reports for the moment, counts as placed but not as ready.
func (x *Executor) planInput(f Fleet, demands []Demand) Input {
	in := Input{Demands: demands, Domains: f.Domains, Slots: f.Slots, VersionsPerEndpoint: f.VersionsPerEndpoint, MaxLoads: maxConcurrentLoads, SpareReplicas: f.SpareReplicas, Role: f.Role}
	byEndpoint := map[string][]*Operation{}
	for _, op := range x.operations {
		byEndpoint[op.Endpoint] = append(byEndpoint[op.Endpoint], op)
		if op.Service == f.Service && op.active() && (op.Action == Load || op.ThenLoad != "") {
			in.MaxLoads--
		}
	}
	in.MaxLoads = max(0, in.MaxLoads)
	now := x.spec.Now()
	for _, t := range f.Endpoints {
		e := x.endpoints[t.ID]
		if e.lost(now) {
			continue
		}
		p := Endpoint{ID: t.ID, Addr: t.Addr, Running: e.load.Running, Role: e.load.Role}
		if e.fresh(now) {
			p.Versions = slices.Clone(e.load.Versions)
		} else {
			p.Loading, p.Busy = slices.Clone(e.load.Versions), true
		}
		for _, op := range byEndpoint[t.ID] {
			p.applyOperation(op)
		}
		in.Endpoints = append(in.Endpoints, p)
	}
	return in
}

// applyOperation applies the effect of an operation to the endpoint as the plan sees it.
func (e *Endpoint) applyOperation(op *Operation) {
	held := slices.Contains(e.Versions, op.Version) || slices.Contains(e.Loading, op.Version)
	remove := func(list []string) []string {
		return slices.DeleteFunc(list, func(v string) bool { return v == op.Version })
	}
	switch {
	case op.active() && op.Action == Role:
		e.Versions, e.Loading = nil, append(e.Loading, e.Versions...)
		e.Busy = true
	case op.active() && op.Action == Unload:
		e.Versions, e.Loading = remove(e.Versions), remove(e.Loading)
		e.Busy = true
		if op.ThenLoad != "" {
			e.Loading = append(e.Loading, op.ThenLoad) // takes the capacity that the unload frees
		} else if held {
			e.Reserved++
		}
	case op.active() && !held:
		e.Loading, e.Busy = append(e.Loading, op.Version), true
	case op.active():
		e.Busy = true
	default:
		e.Avoid = append(e.Avoid, op.Version)
		if op.Action == Load && op.OutcomeUnknown && !held {
			e.Reserved++ // an attempt may still arrive and load it
		}
	}
}

// revokeDrains removes operations that drain a version with too few ready replicas, and reports whether it removed any. An
// order that this or an earlier holder may have sent is never revoked.
func (x *Executor) revokeDrains(f Fleet, in Input) bool {
	short := map[string]int{}
	for _, d := range in.Demands {
		short[d.Version] = RequiredReplicas(d, f.Domains, f.Slots) - readyReplicas(in, d.Version)
	}
	n := len(x.operations)
	x.operations = slices.DeleteFunc(x.operations, func(op *Operation) bool {
		e := x.endpoints[op.Endpoint]
		if op.Service != f.Service || op.Attempts > 0 || op.Inherited || e == nil {
			return false
		}
		draining := slices.DeleteFunc(slices.Clone(e.load.Versions), func(v string) bool { return !op.drains(v) })
		if !slices.ContainsFunc(draining, func(v string) bool { return short[v] > 0 }) {
			return false
		}
		for _, v := range draining {
			short[v]--
		}
		return true
	})
	return len(x.operations) != n
}

// addOperations starts an operation for each order of a plan. An unload and the load that replaces it start as one
// operation; the load gets its own once the unload is done. A load starts only with a ticket of the weight store. After
// the first one without a ticket, the others wait for a later plan.
func (x *Executor) addOperations(ctx context.Context, f Fleet, orders []Order) {
	adapter := map[string]bool{}
	for _, d := range f.Demands {
		adapter[d.Version] = d.Base != ""
	}
	ticketsExhausted := false
	for i, o := range orders {
		op := &Operation{Service: f.Service, Endpoint: o.Endpoint, Addr: o.Addr, Action: o.Action, Version: o.Version, Adapter: adapter[o.Version]}
		op.boot = x.endpoints[o.Endpoint].load.Boot
		switch {
		case o.Action == Unload:
			for _, next := range orders[i+1:] {
				if next.Endpoint == o.Endpoint && next.Action == Load {
					op.ThenLoad = next.Version
				}
			}
			op.enter(StageDrain, x.spec.Now())
		case o.Action == Role:
			op.enter(StageDrain, x.spec.Now())
		case ticketsExhausted || x.followsUnload(o) || !x.acquireTicket(ctx, op):
			ticketsExhausted = ticketsExhausted || !x.followsUnload(o)
			continue
		default:
			op.enter(StageSend, x.spec.Now())
		}
		x.operations = append(x.operations, op)
	}
}

// followsUnload reports whether a load has to wait for the unload of the version that it replaces.
func (x *Executor) followsUnload(o Order) bool {
	return slices.ContainsFunc(x.operations, func(op *Operation) bool { return op.active() && op.Endpoint == o.Endpoint && op.ThenLoad == o.Version })
}

// acquireTicket obtains a ticket of the weight store for an attempt to load, and reports whether it did. The ticket may be
// valid only after a delay.
func (x *Executor) acquireTicket(ctx context.Context, op *Operation) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	t, err := x.spec.Weights.Reserve(ctx, op.Version)
	switch {
	case errors.Is(err, weight.ErrRateLimited):
		x.problem = "the weight store's rate limit is reached"
	case err != nil:
		x.problem = "the weight store does not answer"
	}
	op.notBefore, op.hasTicket, op.ticketDelayed = x.spec.Now().Add(t.Wait), err == nil, t.Wait > 0
	return op.hasTicket
}
