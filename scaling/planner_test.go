package scaling

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// The tests use the deployment for which the thresholds are designed: three failure domains of 26 to 60 endpoints with 32 slots each, which
// serve 8 s after they are ordered.
var testLimits = Limits{Minimum: 26, Maximum: 60, BootTime: 8 * time.Second}

// fleet simulates the endpoints of a service. Its load divides evenly among the domains that are up.
type fleet struct {
	planner *Planner
	rand    *rand.Rand
	present map[string]int
	booting map[string][]boot
	down    map[string]bool // domains whose endpoints are lost
	unsure  bool            // reports of a domain are missing
	hold    string
	orders  []order
	full    int // domain seconds in which requests waited
}

type boot struct {
	second, count int
}

type order struct {
	second int
	Decision
}

var testDomains = []string{"a", "b", "c"}

func newFleet() *fleet {
	return &fleet{planner: NewPlanner(), rand: rand.New(rand.NewPCG(1, 2)), present: map[string]int{"a": 30, "b": 30, "c": 30}, booting: map[string][]boot{}, down: map[string]bool{}}
}

// run simulates the seconds from start to end under a load, in slots of the whole service.
func (f *fleet) run(start, end int, load func(second float64) float64) {
	for second := start; second < end; second++ {
		now := time.Unix(int64(second), 0)
		var list []Domain
		for _, name := range testDomains {
			for len(f.booting[name]) > 0 && f.booting[name][0].second <= second {
				f.present[name] += f.booting[name][0].count
				f.booting[name] = f.booting[name][1:]
			}
			d := Domain{Name: name, Present: f.present[name], Slots: 32}
			if f.unsure && name == "b" {
				d.Incomplete = "reports are missing"
			}
			if f.down[name] {
				d.Present = 0
			} else {
				need := int(load(float64(second)) / float64(3-len(f.down)) * (1 + 0.03*f.rand.NormFloat64()))
				d.Demand = Demand{InFlight: min(need, 32*d.Present), Waiting: max(0, need-32*d.Present), Arrived: need}
			}
			if d.Demand.Waiting > 0 {
				f.full++
			}
			list = append(list, d)
		}
		for _, d := range f.planner.Decide(now, testLimits, list, f.hold) {
			f.planner.Ordered(now, d.Domain, d.Count)
			f.orders = append(f.orders, order{second, d})
			coming := 0
			for _, b := range f.booting[d.Domain] {
				coming += b.count
			}
			if change := d.Count - f.present[d.Domain] - coming; change > 0 {
				f.booting[d.Domain] = append(f.booting[d.Domain], boot{second + 8, change})
			} else {
				f.present[d.Domain] += change
			}
		}
	}
}

func constant(utilization float64) func(float64) float64 {
	return func(float64) float64 { return 90 * 32 * utilization }
}

func wave(utilization, amplitude float64) func(float64) float64 {
	return func(s float64) float64 { return 90 * 32 * utilization * (1 + amplitude*math.Sin(2*math.Pi*s/11)) }
}

// Guards against orders for waves and for bursts that end before new endpoints would serve.
func TestShortRisesCauseNoOrders(t *testing.T) {
	for _, amplitude := range []float64{0.15, 0.27} {
		for _, utilization := range []float64{0.5, 0.6, 0.68} {
			f := newFleet()
			f.run(0, 300, wave(utilization, amplitude))
			if len(f.orders) > 0 {
				t.Errorf("wave of %g around %g: %+v", amplitude, utilization, f.orders)
			}
		}
	}
	for _, factor := range []float64{1.4, 1.7} {
		f := newFleet()
		f.run(0, 120, func(s float64) float64 {
			if math.Mod(s, 30) >= 25 {
				return factor * constant(0.6)(s)
			}
			return constant(0.6)(s)
		})
		if len(f.orders) > 0 {
			t.Errorf("bursts of %g: %+v", factor, f.orders)
		}
	}
}

// Guards against a lasting rise that is answered late, with too few endpoints, or with one order after the other.
func TestLastingRise(t *testing.T) {
	f := newFleet()
	f.run(0, 40, wave(0.5, 0.15))
	f.run(40, 160, wave(1.1, 0.15))
	if f.present["a"] < 42 || f.present["a"] > 56 || len(f.orders) == 0 || f.orders[0].second > 50 || len(f.orders) > 9 {
		t.Errorf("%d endpoints after %+v", f.present["a"], f.orders)
	}
	ramp := newFleet()
	ramp.run(0, 100, func(s float64) float64 { return constant(0.5 + max(0, s-30)*0.012)(s) })
	if ramp.full > 3 {
		t.Errorf("requests waited for %d domain seconds while the load rose by 1.2 %% a second: %+v", ramp.full, ramp.orders)
	}
}

// Guards against reductions that come too soon, take several endpoints at a time, or are undone by orders for more.
func TestReductionIsLateAndSteady(t *testing.T) {
	f := newFleet()
	f.run(0, 30, constant(0.6))
	f.run(30, 200, wave(0.3, 0.27))
	last := map[string]order{}
	for _, o := range f.orders {
		before, again := last[o.Domain]
		if o.second < 30+24 || o.Count != o.Previous-1 || again && o.second < before.second+4 {
			t.Errorf("second %d: %+v", o.second, o.Decision)
		}
		last[o.Domain] = o
	}
	if f.present["a"] != 26 {
		t.Errorf("%d endpoints under a low load, want the minimum", f.present["a"])
	}
}

// Guards against reductions while load may still move between the domains, and against orders for a lost one.
func TestLostDomain(t *testing.T) {
	f := newFleet()
	f.run(0, 20, constant(0.4))
	f.down["b"] = true
	f.run(20, 100, constant(0.4))
	if len(f.orders) > 0 {
		t.Errorf("orders while a domain is lost: %+v", f.orders)
	}
	delete(f.down, "b")
	f.run(100, 123, constant(0.4))
	if len(f.orders) > 0 {
		t.Errorf("orders soon after a domain returned: %+v", f.orders)
	}
	f.down["b"] = true
	f.run(123, 150, constant(0.65))
	for _, o := range f.orders {
		if o.Domain == "b" || o.Count < 33 {
			t.Errorf("%+v", o)
		}
	}
	if len(f.orders) == 0 {
		t.Error("no orders although the load of a lost domain fills the others")
	}
}

// Guards against reductions while reports are missing or a release doubles the endpoints.
func TestNoReductionWithoutKnowledge(t *testing.T) {
	f := newFleet()
	f.unsure = true
	f.run(0, 100, constant(0.2))
	f.unsure, f.hold = false, "release"
	f.present["a"] = 60
	f.run(100, 200, constant(0.2))
	f.present["a"], f.hold = 30, ""
	f.run(200, 223, constant(0.2))
	if len(f.orders) > 0 {
		t.Errorf("%+v", f.orders)
	}
	if f.planner.Desired("a") != 30 {
		t.Errorf("%d endpoints count as ordered after a release, want 30", f.planner.Desired("a"))
	}
}

// Guards against a successor that cancels an order of its predecessor or reduces before it knows the load.
func TestTakeover(t *testing.T) {
	f := newFleet()
	f.run(0, 30, constant(0.5))
	f.run(30, 40, constant(0.95))
	n := len(f.orders)
	if n == 0 {
		t.Fatal("no order before the takeover")
	}
	f.planner = NewPlanner()
	f.run(40, 64, constant(0.45))
	if len(f.orders) > n || f.planner.Desired("a") != f.present["a"] {
		t.Errorf("%+v; %d endpoints count as ordered, %d present", f.orders[n:], f.planner.Desired("a"), f.present["a"])
	}
}

// Guards against demand that counts twice, that outlives its daemon, or that makes the state grow.
func TestSumOfReports(t *testing.T) {
	now := time.Unix(100, 0)
	demand := func(n int) []Demand {
		return []Demand{{Service: "s", Domain: "a", InFlight: n}, {Service: "s", Domain: "odd", InFlight: 1}, {Service: "t", Domain: "a", InFlight: 1}}
	}
	sum, missing := Sum("s", []string{"a", "b"}, map[string]string{"d1": "a", "d2": "a", "d3": "b"}, []Report{
		{Daemon: "d1", At: now.Add(-time.Second), Demands: demand(5)}, {Daemon: "d1", At: now, Demands: demand(7)},
		{Daemon: "d2", At: now.Add(-2 * time.Second), Demands: demand(1)}, {Daemon: "d3", At: now.Add(-reportTTL), Demands: demand(100)},
	}, now)
	if len(sum) != 2 || sum["a"].InFlight != 8 || len(missing) != 1 || !missing["b"] {
		t.Errorf("%+v, missing %v", sum, missing)
	}
}

// Guards against late answers that bring no endpoints although the slots are in use, or that bring some although they are idle, and
// against a lasting lack of usable endpoints that is not made up for.
func TestLateAnswersAndUnusableEndpoints(t *testing.T) {
	for _, c := range []struct{ inFlight, late, unusable, want int }{{600, 100, 0, 38}, {600, 0, 0, 0}, {400, 100, 0, 0}, {740, 0, 4, 35}} {
		p, got := NewPlanner(), 0
		for second := range 12 {
			d := Domain{Name: "a", Present: 30, Unusable: c.unusable, Slots: 32, Demand: Demand{InFlight: c.inFlight, Arrived: 500, Late: c.late}}
			for _, o := range p.Decide(time.Unix(int64(second), 0), testLimits, []Domain{d}, "") {
				got = o.Count
			}
		}
		if got != c.want {
			t.Errorf("%+v: ordered %d", c, got)
		}
	}
}
