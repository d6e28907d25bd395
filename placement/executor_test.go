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

// pair is a service with an old version and a new one that a roll-out wants.
func pair() placement.Fleet {
	return placement.Fleet{Demands: []placement.Demand{{Version: "old", Wanted: true}, {Version: "new", Wanted: true}}}
}

func onlyOld(_, _ int) []string { return []string{"old"} }

// run runs a deployment with a holder and a candidate in each domain for a time; do may cause failures. It returns after
// the invariants were checked.
func run(t *testing.T, spec standin.FleetSpec, base placement.Fleet, limit time.Duration, do func(s *sim, first map[string]*holder)) *sim {
	t.Helper()
	var s *sim
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s = newSim(ctx, spec, base, domains, endpoints, onlyOld)
		s.requests["old"] = 16 // need: 3 of 6 endpoints
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
		do(s, first)
		time.Sleep(limit)
		cancel()
		synctest.Wait()
		s.checkLoads()
	})
	for _, f := range s.faults {
		t.Error(f)
	}
	return s
}

// held returns what the endpoints of a domain serve at first.
func held(f *placement.Fleet) map[string][]string {
	serve := map[string][]string{}
	for _, e := range f.Endpoints {
		serve[e.ID] = []string{"old"}
	}
	return serve
}

func each(t *testing.T, test func(t *testing.T, spec standin.FleetSpec)) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks-fencing=%t", checks), func(t *testing.T) {
			test(t, standin.FleetSpec{LoadTime: loadTime, Room: 1, ChecksFencing: checks})
		})
	}
}

// once returns a fault that hits the first n orders of an action.
func once(action string, n int, fault standin.OrderFault) func(string, engine.Order) standin.OrderFault {
	return func(_ string, o engine.Order) standin.OrderFault {
		if o.Action != action || n == 0 {
			return standin.OrderWorks
		}
		n--
		return fault
	}
}

// Guards against an order that is given up, or repeated with another effect, after it was lost, its answer was lost, or
// the endpoint restarted or refused it.
func TestFailedOrders(t *testing.T) {
	faults := map[string]standin.OrderFault{
		"none": standin.OrderWorks, "lost": standin.OrderLost, "answer": standin.OrderAnswerLost, "crash": standin.OrderCrash, "memory": standin.OrderNoMemory,
	}
	for name, fault := range faults {
		for _, action := range []string{"load", "unload"} {
			t.Run(name+"/"+action, func(t *testing.T) {
				each(t, func(t *testing.T, spec standin.FleetSpec) {
					s := run(t, spec, pair(), 15*time.Minute, func(s *sim, _ map[string]*holder) { s.fleet.SetFault(once(action, 2, fault)) })
					if n := s.ready("new"); n < 1 {
						t.Errorf("the new version has %d replicas in a domain", n)
					}
				})
			})
		}
	}
}

// Guards against harm by a holder that is paused just before it sends an order and wakes up when its successor has been
// at work for a while: a late order may only do what the successor accounts for.
func TestPausedHolder(t *testing.T) {
	each(t, func(t *testing.T, spec standin.FleetSpec) {
		for _, pause := range []time.Duration{5 * time.Second, 12 * time.Second, time.Minute, 5 * time.Minute} {
			s := run(t, spec, pair(), 25*time.Minute, func(s *sim, first map[string]*holder) {
				for _, before := range []time.Duration{0, 40 * time.Second} { // before a drain ends, before a load
					time.Sleep(before)
					wait := make(chan struct{})
					for _, h := range first {
						h.stall.Store(&wait)
					}
					time.Sleep(27 * time.Second) // the order is due
					s.demand("old", 36)          // more than the endpoints bear: the successor would rather unload nothing
					time.Sleep(pause)
					s.demand("old", 16)
					for _, h := range first {
						h.stall.Store(nil)
					}
					close(wait)
				}
			})
			if n := s.ready("new"); n < 1 {
				t.Errorf("pause of %s: the new version has %d replicas in a domain", pause, n)
			}
		}
	})
}

// Guards against orders without a lease that lasts: key-value service down, domain cut off, holder lost. The next holder
// goes on.
func TestNoOrderWithoutLease(t *testing.T) {
	quiet := func(t *testing.T, cut func(s *sim, first map[string]*holder, off bool), want bool) {
		each(t, func(t *testing.T, spec standin.FleetSpec) {
			s := run(t, spec, pair(), 10*time.Minute, func(s *sim, first map[string]*holder) {
				time.Sleep(16 * time.Second) // drains are under way, the first order is due at 21 s
				cut(s, first, true)
				time.Sleep(dutyTTL / 2) // the rest of the time in which orders may be sent
				sent, served := s.fleet.Sent(), s.ready("old")
				time.Sleep(3 * time.Minute)
				if n := s.fleet.Sent(); want && n != sent {
					t.Errorf("%d orders without a lease", n-sent)
				}
				if n := s.ready("old"); want && n != served {
					t.Errorf("%d replicas serve, %d before", n, served)
				}
				cut(s, first, false)
			})
			if n := s.ready("new"); n < 1 {
				t.Errorf("the new version has %d replicas in a domain", n)
			}
		})
	}
	t.Run("store", func(t *testing.T) {
		quiet(t, func(s *sim, _ map[string]*holder, off bool) { s.store.Faults.SetDown(off) }, true)
	})
	t.Run("holders", func(t *testing.T) {
		quiet(t, func(_ *sim, first map[string]*holder, off bool) {
			for _, h := range first {
				h.SetReliable(!off)
			}
		}, false)
	})
}

// Guards against loads past the weight store's limit, and against an unload that waits for a load which can't start.
func TestWeightStore(t *testing.T) {
	each(t, func(t *testing.T, spec standin.FleetSpec) {
		s := run(t, spec, pair(), 10*time.Minute, func(s *sim, _ map[string]*holder) {
			s.weights.SetDown(true)
			time.Sleep(2 * time.Minute)
			for _, e := range s.fleet.Events() {
				if e.Order.Action == "load" {
					t.Errorf("load of %s without a ticket", e.Order.Target)
				}
			}
			s.weights.SetDown(false)
		})
		if n := s.ready("new"); n < 1 {
			t.Errorf("the new version has %d replicas in a domain", n)
		}
	})
}

// Guards against orders that make room while a whole domain is lost.
func TestDomainLost(t *testing.T) {
	each(t, func(t *testing.T, spec standin.FleetSpec) {
		run(t, spec, pair(), 5*time.Minute, func(s *sim, first map[string]*holder) {
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
					t.Errorf("%d replicas for %d requests in %s", n, s.requests["old"], name)
				}
			}
		})
	})
}

// Guards against adapters without their base version, and roles that change under traffic or on too many endpoints at once.
func TestAdaptersAndRoles(t *testing.T) {
	spec := standin.FleetSpec{LoadTime: loadTime, Room: 2, ChecksFencing: true}
	base := placement.Fleet{Role: "decode", Demands: []placement.Demand{{Version: "old", Wanted: true}, {Version: "tuned", Base: "old", Wanted: true}}}
	s := run(t, spec, base, 10*time.Minute, func(*sim, map[string]*holder) {})
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

// Guards against tickets of the weight store that are kept during an outage and used all at once.
func TestOldTickets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		base := placement.Fleet{Demands: []placement.Demand{{Version: "new", Wanted: true, Running: 20 * slots}}}
		s := newSim(ctx, standin.FleetSpec{LoadTime: loadTime, Room: 1}, base, domains, 4*endpoints, func(int, int) []string { return nil })
		for name := range s.domains {
			s.start(ctx, name, name)
		}
		for range 5 {
			time.Sleep(10*tickEvery + time.Second)
			s.store.Faults.SetDown(true) // the tables of one tick are not saved
			time.Sleep(tickEvery)
			s.store.Faults.SetDown(false)
		}
		cancel()
		synctest.Wait()
		if s.checkLoads(); len(s.faults) > 0 {
			t.Error(s.faults[0])
		}
	})
}

// Guards against a load into the room of another one that may still arrive from an earlier holder.
func TestRoomOfLateLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := standin.NewFleet(standin.FleetSpec{Room: 1})
		f.Add("e", "d", "")
		previous := placement.Table{Steps: []placement.Step{
			{Service: "llm", Endpoint: "e", Addr: "e", Action: placement.Load, Version: "late", Stage: placement.StageSettled, Unsure: true},
		}}
		x := placement.New(placement.Spec{
			Domain: "d", Engines: f, Weights: weight.NewFake(loadRate, loadBurst, 1), Journal: discard{}, Fence: 1, PollsPerTick: 1, Now: time.Now,
			Lease: func() (uint64, time.Time) { return 1, time.Now().Add(dutyTTL) },
		}, previous)
		fleet := placement.Fleet{Service: "llm", Endpoints: []placement.Target{{ID: "e", Addr: "e"}}, Domains: 1, Slots: 1, VersionsPerEndpoint: 1,
			Demands: []placement.Demand{{Version: "other", Wanted: true}}}
		for start := time.Now(); f.Sent() == 0; time.Sleep(tickEvery) {
			if err := x.Tick(t.Context(), []placement.Fleet{fleet}); err != nil {
				t.Fatal(err)
			}
			if age := time.Since(start); (f.Sent() > 0) != (age > 20*time.Minute) {
				t.Fatalf("%d orders after %s, want the first after 20 min", f.Sent(), age)
			}
		}
	})
}

// discard is a journal that keeps nothing.
type discard struct{}

func (discard) Save(context.Context, []byte) error { return nil }
