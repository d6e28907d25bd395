package placement_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleytrail/bramleytrail/duty"
	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/kv/memkv"
	"github.com/bramleytrail/bramleytrail/placement"
	"github.com/bramleytrail/bramleytrail/standin"
	"github.com/bramleytrail/bramleytrail/weight"
)

const (
	dutyTTL   = 9 * time.Second
	tickEvery = 3 * time.Second
	settle    = 20 * time.Second
	loadRate  = 1 // loads a second of the weight store
	loadBurst = 4
	slots     = 10
	// wrongRoles is the number of endpoints of the first domain that start with another role than the declared one.
	wrongRoles = 2
)

// sim simulates a deployment of one service under the fake clock of synctest.
type sim struct {
	ctx     context.Context
	store   *memkv.Store
	fleet   *standin.Fleet
	weights *weight.Fake

	mu          sync.Mutex
	domains     map[string]*placement.Fleet
	requests    map[string]int // running in each domain, by version
	tables      map[string]placement.Table
	withdrawnAt map[[2]string]time.Time // when a version at an endpoint was last removed from the served ones
	lastReady   map[string]int          // last count of ready replicas, by domain and version
	violations  []string                // of invariants
	writes      int                     // tables saved
	largest     []byte                  // table saved
}

// newSim returns a deployment whose domains have a number of endpoints each; held gives the versions that an endpoint
// starts with.
func newSim(ctx context.Context, spec standin.FleetSpec, base placement.Fleet, domains, endpoints int, held func(domain, i int) []string) *sim {
	s := &sim{
		ctx: ctx, store: memkv.New(), fleet: standin.NewFleet(spec), weights: weight.NewFake(loadRate, loadBurst, 1),
		domains: map[string]*placement.Fleet{}, requests: map[string]int{}, tables: map[string]placement.Table{}, lastReady: map[string]int{}, withdrawnAt: map[[2]string]time.Time{},
	}
	base.Service, base.Domains, base.VersionsPerEndpoint = "llm", domains, spec.MaxVersions
	if base.Slots = slots; !spec.ChecksFencing {
		base.SpareReplicas, base.OneAtATime = 1, true
	}
	for d := range domains {
		f := base
		f.Demands = slices.Clone(base.Demands)
		name := fmt.Sprintf("d%d", d)
		for i := range endpoints {
			id := fmt.Sprintf("%s-e%03d", name, i)
			f.Endpoints = append(f.Endpoints, placement.Target{ID: id, Addr: id})
			role := base.Role
			if role != "" && d == 0 && i < wrongRoles {
				role = "prefill"
			}
			s.fleet.Add(id, name, role, held(d, i)...)
		}
		s.domains[name] = &f
	}
	s.fleet.OnChange(s.check)
	return s
}

func (s *sim) addViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// check verifies each event of an endpoint: no order interrupts a request or exhausts the endpoint's memory, and none
// unloads a version that daemons may still use, for example with a stale fencing token.
func (s *sim) check(e standin.FleetEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tables[e.Domain]
	switch {
	case e.InterruptedRequests > 0:
		s.addViolation("%s interrupted %d requests at %s", e.Order.Action, e.InterruptedRequests, e.Endpoint)
	case e.Changed && e.Order.Action == "":
		s.addViolation("%s ran out of memory", e.Endpoint)
	case e.Changed && e.Order.Action == "unload" && e.At.Sub(s.withdrawnAt[[2]string{e.Endpoint, e.Order.Target}]) < settle:
		s.addViolation("%s was unloaded from %s before all daemons knew", e.Order.Target, e.Endpoint)
	case e.Changed && e.Order.Action == "unload" && slices.Contains(t.Serve[e.Endpoint], e.Order.Target):
		s.addViolation("%s was unloaded from %s while it served, fence %d of %d", e.Order.Target, e.Endpoint, e.Order.Fence, t.Fence)
	}
	if e.Versions != nil {
		s.checkCapacity(e.Domain, e.Versions)
	}
}

// checkCapacity verifies that the ready replicas of a version in a domain don't fall below the required number.
func (s *sim) checkCapacity(domain string, held map[string][]string) {
	t := s.tables[domain]
	for v, status := range t.Versions {
		n := 0
		for id, served := range t.Serve {
			if slices.Contains(served, v) && slices.Contains(held[id], v) {
				n++
			}
		}
		if key := domain + v; n < s.lastReady[key] && n < status.Need {
			s.addViolation("%s has %d replicas in %s, need %d", v, n, domain, status.Need)
			s.lastReady[key] = n
		} else {
			s.lastReady[key] = n
		}
	}
}

// holder is a daemon that competes for a domain's placement duty.
type holder struct {
	sim               *sim
	domain            string
	job               *duty.Duty
	exec              *placement.Executor
	fence             uint64
	paused            atomic.Pointer[chan struct{}] // if set, orders wait until it is closed
	*memkv.Unreliable                               // unreliable while it is partitioned from the key-value store
}

// start runs a holder until ctx is cancelled.
func (s *sim) start(ctx context.Context, domain, name string) *holder {
	h := &holder{sim: s, domain: domain, Unreliable: memkv.NewUnreliable(s.store, memkv.UnreliableSpec{LostCall: 1})}
	h.SetReliable(true)
	h.job = duty.New(duty.Spec{Store: h, Name: "placement/" + domain, Owner: name, TTL: dutyTTL, Now: time.Now})
	go func() {
		for ctx.Err() == nil {
			h.tick(ctx)
			select {
			case <-ctx.Done():
			case <-time.After(tickEvery):
			}
		}
	}()
	return h
}

// tick acquires or renews the lease and, while the holder has it, runs one tick of its executor.
func (h *holder) tick(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tickEvery)
	defer cancel()
	held, _ := h.job.AcquireOrRenew(ctx)
	fence, _ := h.job.Fence()
	if !held || fence != h.fence {
		h.exec, h.fence = nil, fence
	}
	if held && h.exec == nil {
		state, body, err := duty.OpenState(ctx, h, "state/placement/"+h.domain, fence)
		previous, decodeErr := placement.DecodeTable(body)
		if err != nil || decodeErr != nil {
			return
		}
		h.exec = placement.New(placement.Spec{
			Domain: h.domain, Engines: h, Weights: h.sim.weights, Journal: journal{h, state}, Fence: fence, Lease: h.job.Lease,
			LeaseMargin: dutyTTL / 2, SettleTime: settle, PollsPerTick: 24, Now: time.Now,
		}, previous)
	}
	if held && h.exec != nil && errors.Is(h.exec.Tick(ctx, []placement.Fleet{h.sim.fleetOf(h.domain)}), duty.ErrSuperseded) {
		h.exec = nil
		h.job.Release(ctx)
	}
}

// fleetOf returns a domain's service with the demand that the other domains have published.
func (s *sim) fleetOf(domain string) placement.Fleet {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := *s.domains[domain]
	f.Demands = slices.Clone(f.Demands)
	for i := range f.Demands {
		for other, t := range s.tables {
			if other != domain {
				f.Demands[i].Running += t.Versions[f.Demands[i].Version].Running
			}
		}
	}
	return f
}

// journal stores a holder's tables and applies them to the simulated daemons.
type journal struct {
	holder *holder
	state  *duty.State
}

// Save stores a table and makes daemons apply it just before the settle time ends.
func (j journal) Save(ctx context.Context, body []byte) error {
	if err := j.state.Save(ctx, body); err != nil {
		return err
	}
	t, err := placement.DecodeTable(body)
	s := j.holder.sim
	held := s.fleet.Versions()
	s.mu.Lock()
	s.writes++
	if len(body) > len(s.largest) {
		s.largest = body
	}
	for id, before := range s.tables[t.Domain].Serve {
		for _, v := range before {
			if !slices.Contains(t.Serve[id], v) {
				s.withdrawnAt[[2]string{id, v}] = time.Now()
			}
		}
	}
	s.tables[t.Domain] = t
	s.checkCapacity(t.Domain, held)
	s.mu.Unlock()
	time.AfterFunc(settle-time.Second, func() { s.route(t) })
	return err
}

// route distributes a domain's requests over the endpoints that serve their version according to a table.
func (s *sim) route(t placement.Table) {
	s.mu.Lock()
	demands, requests := s.domains[t.Domain].Demands, maps.Clone(s.requests)
	s.mu.Unlock() // check takes this lock while the fleet holds its own
	count := map[string]int{}
	for _, served := range t.Serve {
		for _, v := range served {
			count[v]++
		}
	}
	for id, served := range t.Serve {
		for _, d := range demands {
			n := 0
			if slices.Contains(served, d.Version) {
				n = (requests[d.Version] + count[d.Version] - 1) / count[d.Version]
			}
			s.fleet.SetRunning(id, d.Version, n)
		}
	}
}

func (h *holder) Load(ctx context.Context, addr string) (engine.Load, error) {
	return h.sim.fleet.Load(ctx, addr)
}

// Order delivers an order. If the holder is paused, the order waits for the end of the pause.
func (h *holder) Order(ctx context.Context, addr string, o engine.Order) error {
	if wait := h.paused.Load(); wait != nil {
		<-*wait
	}
	return h.sim.fleet.Order(ctx, addr, o)
}

// setDemand sets the running requests of a version in each domain.
func (s *sim) setDemand(version string, n int) {
	s.mu.Lock()
	s.requests[version] = n
	tables := maps.Clone(s.tables)
	s.mu.Unlock()
	for _, t := range tables {
		s.route(t)
	}
}

// ready returns the smallest number of served replicas of a version in any domain.
func (s *sim) ready(version string) int {
	var counts []int
	for name := range s.domains {
		counts = append(counts, s.readyIn(name, version))
	}
	return slices.Min(counts)
}

// readyIn returns the number of endpoints of a domain that serve a version.
func (s *sim) readyIn(domain, version string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, served := range s.tables[domain].Serve {
		if slices.Contains(served, version) {
			n++
		}
	}
	return n
}

// checkLoads verifies that the loads stayed within the weight store's rate and burst over any interval.
func (s *sim) checkLoads() {
	if n, within := s.fleet.ExcessLoads(loadRate, loadBurst); n > 0 {
		s.addViolation("%d loads in %s", n, within)
	}
}
