package movecost

import (
	"testing"
	"testing/synctest"

	"github.com/bramleytrail/bramleytrail/cachemove"
)

// slack is the square of the decision's margin: a difference that it can't miss although its estimates err by the margin.
const slack = (1 + cachemove.Margin) * (1 + cachemove.Margin)

// TestDecisionPicksFasterWay prints where moves pay. It guards against a decision that, after some measurements, is wrong
// by more than its margin on both sides, or that makes first tokens later than without moves.
func TestDecisionPicksFasterWay(t *testing.T) {
	for _, h := range Cases {
		synctest.Test(t, func(t *testing.T) {
			for _, r := range Compare(h, []int64{500, 1000, 2000, 4000, 8000, 16_000, 32_000}, 40) {
				t.Logf("| %s | %d | %d | %d | %d of %d | %d | %d |", h.Name, r.Tokens, r.Prefill.Milliseconds(), r.Move.Milliseconds(), r.Moved, r.Turns,
					r.Without.Milliseconds(), r.With.Milliseconds())
				bounded := r.Tokens*h.TokenBytes > Limits.MaxBytes || float64(r.Move)*slack > float64(Limits.MaxDuration)
				pays := !bounded && float64(r.Move)*slack < float64(r.Prefill)
				if pays && r.Moved < r.Turns*9/10 || r.Move > r.Prefill && r.Moved > r.Turns/10 {
					t.Errorf("%d of %d moved", r.Moved, r.Turns)
				}
				if float64(r.With) > float64(r.Without)*(1+cachemove.Margin) {
					t.Errorf("%s with moves, %s without", r.With, r.Without)
				}
			}
		})
	}
}

// TestCostOfDomainLeaving prints the times to the first token of the sessions of a failure domain that leaves, in their next
// turns, with and without moves. It guards against moves that make the sessions together slower.
func TestCostOfDomainLeaving(t *testing.T) {
	for _, h := range Cases {
		var off Departure
		for _, moves := range []struct{ all, perSource int }{{0, 0}, {1, 1}, {2, 1}, {4, 2}, {8, 4}} {
			synctest.Test(t, func(t *testing.T) {
				d := Leave(h, moves.all, moves.perSource)
				t.Logf("| %s | %d, %d | %d | %d of %d | %d | %d | %d |", h.Name, moves.all, moves.perSource, d.Learning.Milliseconds(), d.Moved, d.Sessions,
					d.Mean.Milliseconds(), d.Median.Milliseconds(), d.P95.Milliseconds())
				if moves.all == 0 {
					off = d
				}
				if float64(d.Mean) > float64(off.Mean)*(1+cachemove.Margin) {
					t.Errorf("mean %s with moves, %s without", d.Mean, off.Mean)
				}
			})
		}
	}
}
