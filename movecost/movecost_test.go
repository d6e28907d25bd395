package movecost

import (
	"testing"
	"testing/synctest"

	"github.com/bramleytrail/bramleytrail/cachemove"
)

// decisiveRatio is the ratio of two times above which the decision must be right. It is the square of one plus the margin, as
// each of the two estimates may be wrong by the margin.
const decisiveRatio = (1 + cachemove.Margin) * (1 + cachemove.Margin)

// TestDecisionPicksFasterWay prints for which lengths moves are faster than prefill. It guards against a decision that, after
// the rates are learned, picks a way that is slower by more than the margins of both estimates, and against first tokens
// that come later than without moves.
func TestDecisionPicksFasterWay(t *testing.T) {
	for _, h := range Cases {
		synctest.Test(t, func(t *testing.T) {
			for _, r := range Compare(h, []int64{500, 1000, 2000, 4000, 8000, 16_000, 32_000}, 40) {
				t.Logf("| %s | %d | %d | %d | %d of %d | %d | %d |", h.Name, r.Tokens, r.PrefillTime.Milliseconds(), r.MoveTime.Milliseconds(), r.Moved, r.Turns,
					r.WithoutMoves.Milliseconds(), r.WithMoves.Milliseconds())
				limited := r.Tokens*h.TokenBytes > Limits.MaxBytes || float64(r.MoveTime)*decisiveRatio > float64(Limits.MaxDuration)
				pays := !limited && float64(r.MoveTime)*decisiveRatio < float64(r.PrefillTime)
				if pays && r.Moved < r.Turns*9/10 || r.MoveTime > r.PrefillTime && r.Moved > r.Turns/10 {
					t.Errorf("moved the cache in %d of %d turns, although the other way is faster", r.Moved, r.Turns)
				}
				if float64(r.WithMoves) > float64(r.WithoutMoves)*(1+cachemove.Margin) {
					t.Errorf("mean time to the first token is %s with moves, %s without", r.WithMoves, r.WithoutMoves)
				}
			}
		})
	}
}

// TestCostOfDomainLeaving prints the time to the first token in the next turns of the sessions of a leaving failure domain, with
// and without moves. It guards against moves that increase the mean over all sessions.
func TestCostOfDomainLeaving(t *testing.T) {
	for _, h := range Cases {
		var withoutMoves Departure
		for _, moves := range []struct{ all, perSource int }{{0, 0}, {1, 1}, {2, 1}, {4, 2}, {8, 4}} {
			synctest.Test(t, func(t *testing.T) {
				d := SimulateDeparture(h, moves.all, moves.perSource)
				t.Logf("| %s | %d, %d | %d | %d of %d | %d | %d | %d |", h.Name, moves.all, moves.perSource, d.LearningMean.Milliseconds(), d.Moved, d.Sessions,
					d.Mean.Milliseconds(), d.Median.Milliseconds(), d.P95.Milliseconds())
				if moves.all == 0 {
					withoutMoves = d
				}
				if float64(d.Mean) > float64(withoutMoves.Mean)*(1+cachemove.Margin) {
					t.Errorf("mean time to the first token is %s with moves, %s without", d.Mean, withoutMoves.Mean)
				}
			})
		}
	}
}
