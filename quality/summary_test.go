package quality

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/rating"
)

// addRatings adds n ratings of a version, which are 1 with a probability of quality and 0 otherwise.
func addRatings(s *Summary, seed uint64, n int, version string, quality float64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for range n {
		score := 0.0
		if rng.Float64() < quality {
			score = 1
		}
		s.Add(rating.Rating{Version: version, Kind: "k", Score: score})
	}
}

func estimateOf(s *Summary, label string, declared float64) (lower, mean, upper float64) {
	var e Estimates
	e.Set(s)
	x := e.Estimate("k", label, declared)
	return x.Lower, x.Mean, x.Upper
}

// Guards against a lower bound that exceeds the true quality more often than its confidence level allows, and against a
// declared quality that outweighs 300 ratings.
func TestBoundsCoverTheTrueQuality(t *testing.T) {
	const trials, truth = 1000, 0.8
	missed := 0
	for seed := range uint64(trials) {
		s := NewSummary()
		addRatings(s, seed, 300, "v", truth)
		if lower, _, _ := estimateOf(s, "v", 0.5); lower > truth {
			missed++
		}
		if _, mean, _ := estimateOf(s, "v", 0.5); math.Abs(mean-truth) > 0.15 {
			t.Fatalf("seed %d: mean %.3f after 300 ratings; true quality %.2f", seed, mean, truth)
		}
	}
	if missed > trials/20 {
		t.Errorf("the lower bound exceeded the true quality in %d of %d trials; want at most 5 %%", missed, trials)
	}
}

// Guards against a change detection that drops ratings although the quality did not change.
func TestSteadyQualityIsRemembered(t *testing.T) {
	const trials = 100
	dropped := 0
	for seed := range uint64(trials) {
		s := NewSummary()
		addRatings(s, seed, 2*ratingDecayCount, "v", 0.8)
		if s.Cells["k"]["v"].N < ratingDecayCount/2 {
			dropped++
		}
	}
	if dropped > trials/20 {
		t.Errorf("older ratings were dropped in %d of %d trials with a steady quality", dropped, trials)
	}
}

// Guards against treating a version as good after its quality has fallen, and against never trying it again.
func TestChangeOfQualityIsNoticed(t *testing.T) {
	s := NewSummary()
	addRatings(s, 1, 5000, "v", 0.9)
	addRatings(s, 2, 2*recentDecayCount, "v", 0.4)
	if lower, _, _ := estimateOf(s, "v", 0.9); lower > 0.7 {
		t.Errorf("lower bound %.3f %d ratings after the quality fell from 0.9 to 0.4; want at most 0.7", lower, 2*recentDecayCount)
	}
	s.Updated = time.Unix(0, 0)
	s.DiscountTo(time.Unix(0, 0).Add(10 * halfLife))
	if lower, _, upper := estimateOf(s, "v", 0.9); upper < 0.9 {
		t.Errorf("bounds %.3f to %.3f after ten half-lives without ratings; want an upper bound of at least the declared quality 0.9", lower, upper)
	}
}

// Guards against a merge that depends on the order or loses ratings, and against an encoding that changes cells.
func TestMergeOfDisjointRatings(t *testing.T) {
	parts := [2]*Summary{NewSummary(), NewSummary()}
	for i, s := range parts {
		s.Updated = time.Unix(int64(1000*i), 0)
		addRatings(s, uint64(i), 50, "v", 0.7)
		addRatings(s, uint64(i), 50, "c/v", 0.7)
	}
	a, b := parts[0].Clone(), parts[1].Clone()
	a.Merge(parts[1])
	b.Merge(parts[0])
	if x, y := a.Cells["k"]["v"], b.Cells["k"]["v"]; math.Abs(x.Sum-y.Sum) > 1e-9 || math.Abs(x.N-y.N) > 1e-9 {
		t.Errorf("cell %+v after a merge, %+v after a merge in the other order", x, y)
	}
	if got := a.Totals["v"].Rated; got != 200 {
		t.Errorf("%d ratings of the version after the merge; want 200, including those of the cascade", got)
	}
	body, err := a.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(body)
	if err != nil || decoded.Cells["k"]["c/"] != a.Cells["k"]["c/"] {
		t.Errorf("decoded summary %+v, error %v; want %+v", decoded, err, a)
	}
}

// Guards against unbounded growth of the summary when a caller names ever new kinds.
func TestKindsAreBounded(t *testing.T) {
	s := NewSummary()
	for i := range 10 * maxKinds {
		s.Add(rating.Rating{Version: "v", Kind: fmt.Sprint(i), Score: 1})
	}
	if len(s.Cells) > maxKinds+1 {
		t.Errorf("%d kinds are kept; the limit is %d and one for all others", len(s.Cells), maxKinds)
	}
}
