package placement_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/placement"
	"github.com/bramleytrail/bramleytrail/standin"
	"github.com/bramleytrail/bramleytrail/weight"
)

const (
	domains   = 3
	endpoints = 6
	loadTime  = 30 * time.Second
)

// twoVersions returns a service with an old version and a new one that a rollout uses.
func twoVersions() placement.Fleet {
	return placement.Fleet{Demands: []placement.Demand{{Version: "old", Wanted: true}, {Version: "new", Wanted: true}}}
}

// onlyOld makes every endpoint start with the old version.
func onlyOld(_, _ int) []string { return []string{"old"} }

// runSim simulates a deployment with a holder of the duty and a candidate in each domain. It calls inject, which may cause
// failures, with the first holders, and runs the simulation for limit. It reports violated invariants.
func runSim(t *testing.T, spec standin.FleetSpec, base placement.Fleet, limit time.Duration, inject func(s *sim, first map[string]*holder)) *sim {
	t.Helper()
	var s *sim
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s = newSim(ctx, spec, base, domains, endpoints, onlyOld)
		s.requests["old"] = 16 // requires 3 of 6 endpoints
		for name, f := range s.domains {
			s.route(placement.Table{Domain: name, Serve: held(f)})
		}
		first := map[string]*holder{}
		for name := range s.domains {
			first[name] = s.start(ctx, name, name+"-first")
		}
		synctest.Wait()
		for name := range s.domains {
			s.start(ctx, name, name+"-second")
		}
		inject(s, first)
		time.Sleep(limit)
		cancel()
		synctest.Wait()
		s.checkLoads()
	})
	for _, f := range s.violations {
		t.Error(f)
	}
	return s
}

// held returns the versions that the endpoints of a domain serve at the start, by endpoint.
func held(f *placement.Fleet) map[string][]string {
	serve := map[string][]string{}
	for _, e := range f.Endpoints {
		serve[e.ID] = []string{"old"}
	}
	return serve
}

// forEachEngine runs a test with engines that check fencing tokens and with engines that don't.
func forEachEngine(t *testing.T, test func(t *testing.T, spec standin.FleetSpec)) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks-fencing=%t", checks), func(t *testing.T) {
			test(t, standin.FleetSpec{LoadTime: loadTime, MaxVersions: 1, ChecksFencing: checks})
		})
	}
}

// failFirst returns a function that makes the first n orders of an action fail with a fault.
func failFirst(action string, n int, fault standin.OrderFault) func(string, engine.Order) standin.OrderFault {
	return func(_ string, o engine.Order) standin.OrderFault {
		if o.Action != action || n == 0 {
			return standin.OrderSucceeds
		}
		n--
		return fault
	}
}

// Guards against an order that is given up, or has another effect when it is sent again, after the order or its answer was
// lost, or after the endpoint restarted or refused it.
func TestFailedOrders(t *testing.T) {
	faults := map[string]standin.OrderFault{
		"none": standin.OrderSucceeds, "lost": standin.OrderLost, "answer": standin.OrderReplyLost, "crash": standin.OrderCrash, "memory": standin.OrderOutOfMemory,
	}
	for name, fault := range faults {
		for _, action := range []string{"load", "unload"} {
			t.Run(name+"/"+action, func(t *testing.T) {
				forEachEngine(t, func(t *testing.T, spec standin.FleetSpec) {
					s := runSim(t, spec, twoVersions(), 15*time.Minute, func(s *sim, _ map[string]*holder) { s.fleet.SetFault(failFirst(action, 2, fault)) })
					if n := s.ready("new"); n < 1 {
						t.Errorf("the new version has %d replicas in a domain, want at least 1", n)
					}
				})
			})
		}
	}
}

// Guards against late orders that the next holder does not account for. A holder is paused just before it sends an order
// and sends it after its successor has been planning for a while.
func TestPausedHolder(t *testing.T) {
	forEachEngine(t, func(t *testing.T, spec standin.FleetSpec) {
		for _, pause := range []time.Duration{5 * time.Second, 12 * time.Second, time.Minute, 5 * time.Minute} {
			s := runSim(t, spec, twoVersions(), 25*time.Minute, func(s *sim, first map[string]*holder) {
				for _, before := range []time.Duration{0, 40 * time.Second} { // before a drain ends, before a load
					time.Sleep(before)
					wait := make(chan struct{})
					for _, h := range first {
						h.paused.Store(&wait)
					}
					time.Sleep(27 * time.Second) // the order is due
					s.setDemand("old", 36)       // more than the endpoints can serve, so that the successor has no reason to unload
					time.Sleep(pause)
					s.setDemand("old", 16)
					for _, h := range first {
						h.paused.Store(nil)
					}
					close(wait)
				}
			})
			if n := s.ready("new"); n < 1 {
				t.Errorf("pause of %s: the new version has %d replicas in a domain, want at least 1", pause, n)
			}
		}
	})
}

// Guards against orders that are sent without a valid lease, when the key-value store is down or a holder loses its
// connection to it, and against a successor that does not complete the rollout.
func TestNoOrderWithoutLease(t *testing.T) {
	testOutage := func(t *testing.T, cut func(s *sim, first map[string]*holder, out bool), noOrders bool) {
		forEachEngine(t, func(t *testing.T, spec standin.FleetSpec) {
			s := runSim(t, spec, twoVersions(), 10*time.Minute, func(s *sim, first map[string]*holder) {
				time.Sleep(16 * time.Second) // drains are in progress, the first order is due at 21 s
				cut(s, first, true)
				time.Sleep(dutyTTL / 2) // the rest of the send window
				sent, served := s.fleet.OrdersSent(), s.ready("old")
				time.Sleep(3 * time.Minute)
				if n := s.fleet.OrdersSent(); noOrders && n != sent {
					t.Errorf("%d orders were sent without a valid lease", n-sent)
				}
				if n := s.ready("old"); noOrders && n != served {
					t.Errorf("%d replicas of the old version are served, want %d as before the outage", n, served)
				}
				cut(s, first, false)
			})
			if n := s.ready("new"); n < 1 {
				t.Errorf("the new version has %d replicas in a domain, want at least 1", n)
			}
		})
	}
	t.Run("store", func(t *testing.T) {
		testOutage(t, func(s *sim, _ map[string]*holder, out bool) { s.store.Faults.SetDown(out) }, true)
	})
	t.Run("holders", func(t *testing.T) {
		testOutage(t, func(_ *sim, first map[string]*holder, out bool) {
			for _, h := range first {
				h.SetReliable(!out)
			}
		}, false)
	})
}

// Guards against loads without a ticket or above the weight store's rate, and against an unload that waits for a load that
// can't start while the store is down.
func TestWeightStore(t *testing.T) {
	forEachEngine(t, func(t *testing.T, spec standin.FleetSpec) {
		s := runSim(t, spec, twoVersions(), 10*time.Minute, func(s *sim, _ map[string]*holder) {
			s.weights.SetDown(true)
			time.Sleep(2 * time.Minute)
			for _, e := range s.fleet.Events() {
				if e.Order.Action == "load" {
					t.Errorf("load of version %s while the weight store was down", e.Order.Target)
				}
			}
			s.weights.SetDown(false)
		})
		if n := s.ready("new"); n < 1 {
			t.Errorf("the new version has %d replicas in a domain, want at least 1", n)
		}
	})
}

// Guards against unloads that leave too few replicas in the other domains while the endpoints and the holder of one domain
// have failed.
func TestDomainLost(t *testing.T) {
	forEachEngine(t, func(t *testing.T, spec standin.FleetSpec) {
		runSim(t, spec, twoVersions(), 5*time.Minute, func(s *sim, first map[string]*holder) {
			time.Sleep(5 * time.Minute)
			for _, e := range s.domains["d0"].Endpoints {
				s.fleet.SetDown(e.ID, true)
			}
			first["d0"].SetReliable(false)
			s.mu.Lock()
			s.requests["old"] = s.requests["old"] * domains / (domains - 1)
			s.mu.Unlock()
			time.Sleep(5 * time.Minute)
			for _, name := range []string{"d1", "d2"} {
				if n := s.readyIn(name, "old"); n*slots < s.requests["old"] {
					t.Errorf("%d replicas are too few for %d requests in domain %s", n, s.requests["old"], name)
				}
			}
		})
	})
}

// Guards against adapters that are loaded without their base version, and against roles that change while requests run or
// on too many endpoints at once.
func TestAdaptersAndRoles(t *testing.T) {
	spec := standin.FleetSpec{LoadTime: loadTime, MaxVersions: 2, ChecksFencing: true}
	base := placement.Fleet{Role: "decode", Demands: []placement.Demand{{Version: "old", Wanted: true}, {Version: "tuned", Base: "old", Wanted: true}}}
	s := runSim(t, spec, base, 10*time.Minute, func(*sim, map[string]*holder) {})
	adapters, roles := 0, 0
	for _, e := range s.fleet.Events() {
		if e.Changed && e.Order.Action == "adapter" {
			adapters++
		}
		if e.Changed && e.Order.Action == "role" {
			roles++
		}
	}
	if adapters != domains || roles != wrongRoles {
		t.Errorf("%d adapters loaded and %d roles changed, want %d and %d", adapters, roles, domains, wrongRoles)
	}
}

// Guards against a burst of loads after an outage of the key-value store, with tickets of the weight store that were
// obtained during the outage.
func TestExpiredTicketsAreNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		base := placement.Fleet{Demands: []placement.Demand{{Version: "new", Wanted: true, Running: 20 * slots}}}
		s := newSim(ctx, standin.FleetSpec{LoadTime: loadTime, MaxVersions: 1}, base, domains, 4*endpoints, func(int, int) []string { return nil })
		for name := range s.domains {
			s.start(ctx, name, name)
		}
		for range 5 {
			time.Sleep(10*tickEvery + time.Second)
			s.store.Faults.SetDown(true) // one tick's tables can't be saved
			time.Sleep(tickEvery)
			s.store.Faults.SetDown(false)
		}
		cancel()
		synctest.Wait()
		if s.checkLoads(); len(s.violations) > 0 {
			t.Error(s.violations[0])
		}
	})
}

// Guards against a load that takes the capacity of an earlier holder's unanswered load, which may still arrive.
func TestLateLoadKeepsItsCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := standin.NewFleet(standin.FleetSpec{MaxVersions: 1})
		f.Add("e", "d", "")
		previous := placement.Table{Operations: []placement.Operation{
			{Service: "llm", Endpoint: "e", Addr: "e", Action: placement.Load, Version: "late", Stage: placement.StageSettled, OutcomeUnknown: true},
		}}
		x := placement.New(placement.Spec{
			Domain: "d", Engines: f, Weights: weight.NewFake(loadRate, loadBurst, 1), Journal: discardJournal{}, Fence: 1, PollsPerTick: 1, Now: time.Now,
			Lease: func() (uint64, time.Time) { return 1, time.Now().Add(dutyTTL) },
		}, previous)
		fleet := placement.Fleet{Service: "llm", Endpoints: []placement.Target{{ID: "e", Addr: "e"}}, Domains: 1, Slots: 1, VersionsPerEndpoint: 1,
			Demands: []placement.Demand{{Version: "other", Wanted: true}}}
		for start := time.Now(); f.OrdersSent() == 0; time.Sleep(tickEvery) {
			if err := x.Tick(t.Context(), []placement.Fleet{fleet}); err != nil {
				t.Fatal(err)
			}
			if age := time.Since(start); (f.OrdersSent() > 0) != (age > 20*time.Minute) {
				t.Fatalf("%d orders after %s, want the first after 20 min", f.OrdersSent(), age)
			}
		}
	})
}

// discardJournal is a placement.Journal that stores nothing.
type discardJournal struct{}

func (discardJournal) Save(context.Context, []byte) error { return nil }
