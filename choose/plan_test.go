package choose

import (
	"fmt"
	"math"
	"testing"
)

// twoOptionFrontier returns a frontier of two options with the same margin.
func twoOptionFrontier(low, high, margin, lowPrice, highPrice float64) *frontier {
	f := &frontier{n: 2}
	f.points[0] = frontierPoint{mean: low, margin: margin, price: lowPrice}
	f.points[1] = frontierPoint{mean: high, margin: margin, price: highPrice}
	return f
}

// Guards against a team's mean whose lower bound misses the target or exceeds it at needless cost, against a kind whose
// mean misses the target, and against raising the quality of the kind where it costs more.
func TestPlanSharesTheMargin(t *testing.T) {
	const target, margin = 0.8, 0.02
	cheap, expensive := twoOptionFrontier(0.7, 0.9, margin, 1, 2), twoOptionFrontier(0.7, 0.9, margin, 1, 100)
	var p marginPlan
	var a, b float64
	for range 100 {
		a, b = p.allocate("cheap", cheap, target, 0), p.allocate("dear", expensive, target, 0)
	}
	meanA, marginA, _ := cheap.at(a)
	meanB, marginB, _ := expensive.at(b)
	if bound := (meanA+meanB)/2 - math.Hypot(marginA, marginB)/2; math.Abs(bound-target) > 0.001 {
		t.Errorf("the lower bound of the team's mean is %.4f; want %.4f", bound, target)
	}
	if math.Abs(meanB-target) > 1e-9 || meanA < target {
		t.Errorf("mean %.4f where quality is cheap, %.4f where it is expensive; want at least, and exactly, the target %.4f", meanA, meanB, target)
	}
}

// Guards against a kind that falls far below the target because another kind exceeds it.
func TestPlanBoundsTheRiskOfAKind(t *testing.T) {
	const target = 0.8
	surplus, uncertain := twoOptionFrontier(0.95, 0.99, 0.001, 1, 2), twoOptionFrontier(0.7, 0.9, 0.1, 1, 100)
	uncertain.points[1].margin = 0.01
	var p marginPlan
	var at float64
	for range 100 {
		p.allocate("spare", surplus, target, 0)
		at = p.allocate("uncertain", uncertain, target, 0)
	}
	if mean, margin, _ := uncertain.at(at); mean < target-1e-9 || mean-margin < target-kindTolerance-1e-9 {
		t.Errorf("mean %.4f, lower bound %.4f; want at least %.4f and %.4f", mean, mean-margin, target, target-kindTolerance)
	}
}

// Guards against unbounded growth of a plan when a caller names ever new kinds, and against keeping unused kinds
// forever.
func TestPlanBoundsItsKinds(t *testing.T) {
	var p marginPlan
	f := twoOptionFrontier(0.7, 0.9, 0.01, 1, 2)
	for i := range 10 * maxKinds {
		p.allocate(fmt.Sprint(i), f, 0.8, 0)
	}
	if len(p.kinds) > maxKinds {
		t.Errorf("%d kinds are kept; the limit is %d", len(p.kinds), maxKinds)
	}
	for range 10 * planWindow {
		p.allocate("0", f, 0.8, 0)
	}
	if len(p.kinds) != 1 {
		t.Errorf("%d kinds are kept after %d requests of one kind; want 1", len(p.kinds), 10*planWindow)
	}
}

// BenchmarkPlan measures the allocation of one request with the maximum number of kinds.
func BenchmarkPlan(b *testing.B) {
	var p marginPlan
	f := twoOptionFrontier(0.7, 0.9, 0.05, 1, 2)
	var names [maxKinds]string
	for i := range names {
		names[i] = fmt.Sprint(i)
	}
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		p.allocate(names[i%maxKinds], f, 0.8, 0)
		i++
	}
}
