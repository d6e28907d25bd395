package scaling

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// The thresholds are designed for this deployment: 30 endpoints of 32 slots in each of three failure domains, which serve 8 s after an order.
var testLimits = Limits{Minimum: 26, Maximum: 60, BootTime: 8 * time.Second}

const testSlots = 3 * 30 * 32

// fleet simulates a service whose load divides evenly among the failure domains that are up.
type fleet struct {
	planner          *Planner
	rand             *rand.Rand
	second           int
	present, ordered map[string]int
	booting          []boot
	lost, hold       string
	incomplete       string
	orders           []order
	waited           int // domain seconds in which requests waited
}

type boot struct {
	second, count int
	domain        string
}

type order struct {
	second int
	Decision
}

func newFleet() *fleet {
	return &fleet{planner: NewPlanner(), rand: rand.New(rand.NewPCG(1, 2)), present: map[string]int{"a": 30, "b": 30, "c": 30}, ordered: map[string]int{"a": 30, "b": 30, "c": 30}}
}

// run simulates the time until end, in seconds, under a load as a fraction of testSlots.
func (f *fleet) run(end int, load func(second float64) float64) {
	for ; f.second < end; f.second++ {
		for len(f.booting) > 0 && f.booting[0].second <= f.second {
			f.present[f.booting[0].domain] += f.booting[0].count
			f.booting = f.booting[1:]
		}
		var list []Domain
		for _, name := range []string{"a", "b", "c"} {
			d := Domain{Name: name, Incomplete: f.incomplete}
			if name != f.lost {
				share := 3.0
				if f.lost != "" {
					share = 2
				}
				need := int(testSlots * load(float64(f.second)) / share * (1 + 0.03*f.rand.NormFloat64()))
				d.Present, d.Slots = f.present[name], 32
				d.Demand = Demand{InFlight: min(need, 32*d.Present), Waiting: max(0, need-32*d.Present), Arrived: need}
				f.waited += min(1, d.Demand.Waiting)
			}
			list = append(list, d)
		}
		now := time.Unix(int64(f.second), 0)
		for _, d := range f.planner.Decide(now, testLimits, list, f.hold) {
			f.planner.Ordered(now, d.Domain, d.Count)
			f.orders = append(f.orders, order{f.second, d})
			if change := d.Count - f.ordered[d.Domain]; change > 0 {
				f.booting = append(f.booting, boot{f.second + 8, change, d.Domain})
			} else {
				f.present[d.Domain] += change
			}
			f.ordered[d.Domain] = d.Count
		}
	}
}

func wave(mean, amplitude float64) func(float64) float64 {
	return func(s float64) float64 { return mean * (1 + amplitude*math.Sin(2*math.Pi*s/11)) }
}

// Guards against orders for waves of 11 s and for bursts of 5 s, which end before new endpoints serve.
func TestShortRisesCauseNoOrders(t *testing.T) {
	for _, c := range []struct{ mean, amplitude, burst float64 }{{0.5, 0.15, 1}, {0.5, 0.27, 1}, {0.68, 0.15, 1}, {0.68, 0.27, 1}, {0.6, 0, 1.4}, {0.6, 0, 1.7}} {
		f := newFleet()
		f.run(300, func(s float64) float64 {
			if math.Mod(s, 30) >= 25 {
				return c.burst * wave(c.mean, c.amplitude)(s)
			}
			return wave(c.mean, c.amplitude)(s)
		})
		if len(f.orders) > 0 {
			t.Errorf("%+v: %+v", c, f.orders)
		}
	}
}

// Guards against a lasting rise that is answered late, with too few endpoints, or with one order after the other.
func TestLastingRise(t *testing.T) {
	f := newFleet()
	f.run(40, wave(0.5, 0.15))
	f.run(160, wave(1.1, 0.15))
	if f.present["a"] < 42 || f.present["a"] > 56 || len(f.orders) == 0 || f.orders[0].second > 50 || len(f.orders) > 9 {
		t.Errorf("step: %d endpoints after %+v", f.present["a"], f.orders)
	}
	f = newFleet()
	f.run(20, wave(0.5, 0))
	f.run(33, wave(1.05, 0))
	f.run(36, wave(1.3, 0))
	f.run(50, wave(1.05, 0))
	if len(f.orders) != 3 || f.present["a"] > 43 {
		t.Errorf("burst while ordered endpoints boot: %+v", f.orders)
	}
	ramp := newFleet()
	ramp.run(100, func(s float64) float64 { return 0.5 + max(0, s-30)*0.012 })
	if ramp.waited > 3 || len(ramp.orders) > 24 {
		t.Errorf("ramp: requests waited for %d domain seconds, %d orders: %+v", ramp.waited, len(ramp.orders), ramp.orders)
	}
}

// Guards against reductions that come too soon, take several endpoints at a time, or are undone by orders for more.
func TestReductionIsLateAndSteady(t *testing.T) {
	f := newFleet()
	f.run(30, wave(0.6, 0))
	f.run(200, wave(0.3, 0.27))
	last := map[string]int{"a": 49, "b": 49, "c": 49} // 24 s after the step, less the time between two reductions, at least
	for _, o := range f.orders {
		if o.Count != o.Previous-1 || o.second < last[o.Domain]+4 {
			t.Errorf("second %d: %+v", o.second, o.Decision)
		}
		last[o.Domain] = o.second
	}
	if f.present["a"] != 26 {
		t.Errorf("%d endpoints under a low load, want the minimum", f.present["a"])
	}
}

// Guards against orders for a lost domain, and against reductions while it is lost or soon after.
func TestLostDomain(t *testing.T) {
	f := newFleet()
	f.run(20, wave(0.4, 0))
	f.lost = "b"
	f.run(100, wave(0.4, 0))
	f.lost = ""
	f.run(123, wave(0.4, 0))
	if len(f.orders) > 0 {
		t.Errorf("orders although the others have room: %+v", f.orders)
	}
	f.lost = "b"
	f.run(150, wave(0.65, 0))
	if len(f.orders) == 0 || f.ordered["a"] < 33 || f.ordered["b"] != 30 {
		t.Errorf("orders while the others are full: %+v", f.orders)
	}
}

// Guards against reductions while reports are missing, a release doubles the endpoints, or a successor does not know the load yet, and
// against a successor that cancels its predecessor's order.
func TestNoReductionWithoutKnowledge(t *testing.T) {
	f := newFleet()
	f.incomplete = "reports are missing"
	f.run(100, wave(0.2, 0))
	f.incomplete, f.hold, f.present["a"] = "", "release", 60
	f.run(200, wave(0.2, 0))
	f.hold, f.present["a"] = "", 30
	f.run(223, wave(0.2, 0))
	if len(f.orders) > 0 || f.planner.Desired("a") != 30 {
		t.Errorf("%d endpoints count as ordered after %+v", f.planner.Desired("a"), f.orders)
	}
	f = newFleet()
	f.run(40, wave(0.95, 0))
	n := len(f.orders)
	f.planner = NewPlanner()
	f.run(64, wave(0.45, 0))
	if n == 0 || len(f.orders) > n || f.planner.Desired("a") != f.present["a"] {
		t.Errorf("%d endpoints count as ordered, %d present, after %+v", f.planner.Desired("a"), f.present["a"], f.orders)
	}
}

// Guards against late answers and unusable endpoints that are not made up for, and against endpoints for late answers at idle slots.
func TestLateAnswersAndUnusableEndpoints(t *testing.T) {
	for _, c := range []struct{ inFlight, late, unusable, want int }{{600, 100, 0, 38}, {600, 0, 0, 0}, {400, 100, 0, 0}, {740, 0, 4, 35}} {
		p, got := NewPlanner(), 0
		for second := range int64(12) {
			d := Domain{Name: "a", Present: 30, Unusable: c.unusable, Slots: 32, Demand: Demand{InFlight: c.inFlight, Arrived: 500, Late: c.late}}
			for _, o := range p.Decide(time.Unix(second, 0), testLimits, []Domain{d}, "") {
				got = o.Count
			}
		}
		if got != c.want {
			t.Errorf("%+v: ordered %d", c, got)
		}
	}
}

// Guards against demand that counts twice, that outlives its daemon, or that makes the state grow.
func TestSumOfReports(t *testing.T) {
	now := time.Unix(100, 0)
	report := func(daemon string, age time.Duration, n int) Report {
		return Report{Daemon: daemon, At: now.Add(-age), Demands: []Demand{{Service: "s", Domain: "a", InFlight: n}, {Service: "s", Domain: "odd", InFlight: 1}, {Service: "t", Domain: "a", InFlight: 1}}}
	}
	sum, missing := Sum("s", []string{"a", "b"}, map[string]string{"d1": "a", "d2": "a", "d3": "b"},
		[]Report{report("d1", time.Second, 5), report("d1", 0, 7), report("d2", 2*time.Second, 1), report("d3", reportTTL, 100)}, now)
	if len(sum) != 2 || sum["a"].InFlight != 8 || len(missing) != 1 || !missing["b"] {
		t.Errorf("%+v, missing %v", sum, missing)
	}
}
