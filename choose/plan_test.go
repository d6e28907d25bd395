package choose

import (
	"fmt"
	"math"
	"testing"
)

// line returns a frontier of two options with margins.
func line(low, high, margin, lowPrice, highPrice float64) *frontier {
	f := &frontier{n: 2}
	f.points[0] = point{mean: low, margin: margin, price: lowPrice}
	f.points[1] = point{mean: high, margin: margin, price: highPrice}
	return f
}

// Guards against a team's mean whose lower bound misses the target or leaves quality to spare, against a kind whose mean
// misses it, and against quality that is bought where it is dear.
func TestPlanSharesTheMargin(t *testing.T) {
	const target, margin = 0.8, 0.02
	cheap, dear := line(0.7, 0.9, margin, 1, 2), line(0.7, 0.9, margin, 1, 100)
	var p plan
	var a, b float64
	for range 100 {
		a, b = p.divide("cheap", cheap, target, 0), p.divide("dear", dear, target, 0)
	}
	meanA, marginA, _ := cheap.at(a)
	meanB, marginB, _ := dear.at(b)
	if bound := (meanA+meanB)/2 - math.Hypot(marginA, marginB)/2; math.Abs(bound-target) > 0.001 {
		t.Errorf("the lower bound of the mean is %.4f; want %.4f", bound, target)
	}
	if math.Abs(meanB-target) > 1e-9 || meanA < target {
		t.Errorf("means %.4f where a score is cheap, %.4f where it is dear; the second should be at the target", meanA, meanB)
	}
}

// Guards against a kind that falls far below the target because another kind has quality to spare.
func TestPlanBoundsTheRiskOfAKind(t *testing.T) {
	const target = 0.8
	spare, uncertain := line(0.95, 0.99, 0.001, 1, 2), line(0.7, 0.9, 0.1, 1, 100)
	uncertain.points[1].margin = 0.01
	var p plan
	var at float64
	for range 100 {
		p.divide("spare", spare, target, 0)
		at = p.divide("uncertain", uncertain, target, 0)
	}
	if mean, margin, _ := uncertain.at(at); mean < target-1e-9 || mean-margin < target-kindTolerance-1e-9 {
		t.Errorf("mean %.4f, lower bound %.4f; want at least %.4f and %.4f", mean, mean-margin, target, target-kindTolerance)
	}
}

// Guards against a caller that makes a plan grow by naming ever new kinds, and against kinds that are kept for ever.
func TestPlanBoundsItsKinds(t *testing.T) {
	var p plan
	f := line(0.7, 0.9, 0.01, 1, 2)
	for i := range 10 * maxKinds {
		p.divide(fmt.Sprint(i), f, 0.8, 0)
	}
	if len(p.kinds) > maxKinds {
		t.Errorf("%d kinds are kept; the limit is %d", len(p.kinds), maxKinds)
	}
	for range 10 * planWindow {
		p.divide("0", f, 0.8, 0)
	}
	if len(p.kinds) != 1 {
		t.Errorf("%d kinds are kept after %d requests of one", len(p.kinds), 10*planWindow)
	}
}

// BenchmarkPlan measures the division among as many kinds as are kept.
func BenchmarkPlan(b *testing.B) {
	var p plan
	f := line(0.7, 0.9, 0.05, 1, 2)
	var names [maxKinds]string
	for i := range names {
		names[i] = fmt.Sprint(i)
	}
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		p.divide(names[i%maxKinds], f, 0.8, 0)
		i++
	}
}
