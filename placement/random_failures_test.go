package placement_test

import (
	"context"
	"flag"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/placement"
	"github.com/bramleytrail/bramleytrail/standin"
)

// randomSchedules is the number of schedules that are drawn; each takes up to half an hour of the fake clock.
const randomSchedules = "60"

// schedule is a random deployment with a random sequence of failures.
type schedule struct {
	spec      standin.FleetSpec
	endpoints int
	requests  map[string]int
	orders    []standin.OrderFault // fault of the nth order
	failures  []failure
}

type failure struct {
	kind     string
	delay    time.Duration // before it
	duration time.Duration
	domain   string
	second   bool // hits the candidate
}

var faultKinds = []string{"pause", "cut", "store", "weights", "endpoint", "domain", "demand"}

func drawSchedule(t *rapid.T) schedule {
	s := schedule{
		spec:      standin.FleetSpec{LoadTime: time.Duration(rapid.IntRange(1, 90).Draw(t, "load")) * time.Second, MaxVersions: rapid.IntRange(1, 2).Draw(t, "room"), ChecksFencing: rapid.Bool().Draw(t, "checks")},
		endpoints: rapid.IntRange(3, 8).Draw(t, "endpoints"),
		requests:  map[string]int{"old": rapid.IntRange(0, 30).Draw(t, "old"), "new": rapid.IntRange(0, 10).Draw(t, "new")},
	}
	s.orders = rapid.SliceOfN(rapid.SampledFrom([]standin.OrderFault{standin.OrderSucceeds, standin.OrderSucceeds, standin.OrderLost, standin.OrderReplyLost, standin.OrderCrash, standin.OrderOutOfMemory}), 0, 30).Draw(t, "orders")
	for range rapid.IntRange(0, 6).Draw(t, "failures") {
		s.failures = append(s.failures, failure{
			kind: rapid.SampledFrom(faultKinds).Draw(t, "kind"), domain: rapid.SampledFrom([]string{"d0", "d1", "d2"}).Draw(t, "domain"), second: rapid.Bool().Draw(t, "second"),
			delay: time.Duration(rapid.IntRange(1, 90).Draw(t, "wait")) * time.Second, duration: time.Duration(rapid.IntRange(1, 120).Draw(t, "lasts")) * time.Second,
		})
	}
	return s
}

// Guards against failures, in any order, that break an invariant: an order that leaves a version with too few replicas,
// interrupts a request or exhausts an endpoint's memory, loads above the weight store's rate, or a late order that changes
// a version in use.
func TestRandomFailures(t *testing.T) {
	checks := flag.Lookup("rapid.checks")
	before := checks.Value.String()
	if err := checks.Value.Set(randomSchedules); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = checks.Value.Set(before) }()
	rapid.Check(t, func(rt *rapid.T) {
		sched := drawSchedule(rt)
		var s *sim
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s = newSim(ctx, sched.spec, twoVersions(), domains, sched.endpoints, onlyOld)
			maps.Copy(s.requests, sched.requests)
			n := 0
			s.fleet.SetFault(func(string, engine.Order) standin.OrderFault {
				if n++; n <= len(sched.orders) {
					return sched.orders[n-1]
				}
				return standin.OrderSucceeds
			})
			holders := map[string][]*holder{}
			for name, f := range s.domains {
				s.route(placement.Table{Domain: name, Serve: held(f)})
				holders[name] = []*holder{s.start(ctx, name, name+"-first"), s.start(ctx, name, name+"-second")}
			}
			for _, f := range sched.failures {
				h := holders[f.domain][0]
				if f.second {
					h = holders[f.domain][1]
				}
				time.Sleep(f.delay)
				s.injectFailure(f, h)
			}
			time.Sleep(5 * time.Minute)
			cancel()
			synctest.Wait()
			s.checkLoads()
		})
		if len(s.violations) > 0 {
			rt.Fatalf("%d violations, first: %s", len(s.violations), s.violations[0])
		}
	})
}

// injectFailure causes a failure and ends it after its duration.
func (s *sim) injectFailure(f failure, h *holder) {
	targets := slices.Clone(s.domains[f.domain].Endpoints)
	if f.kind == "endpoint" {
		targets = targets[:1]
	}
	set := func(failed bool) {
		switch f.kind {
		case "cut":
			h.SetReliable(!failed)
		case "store":
			s.store.Faults.SetDown(failed)
		case "weights":
			s.weights.SetDown(failed)
		case "endpoint", "domain":
			for _, e := range targets {
				s.fleet.SetDown(e.ID, failed)
			}
		}
	}
	wait := make(chan struct{})
	if f.kind == "pause" {
		h.paused.Store(&wait)
	}
	if f.kind == "demand" {
		s.mu.Lock()
		s.requests["old"] = 2 * s.requests["old"] / 3
		s.mu.Unlock()
	}
	set(true)
	time.Sleep(f.duration)
	set(false)
	h.paused.Store(nil)
	close(wait)
}
