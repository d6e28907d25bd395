package quality

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/rating"
)

func addMany(s *Summary, seed uint64, n int, version string, quality float64) {
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

// Guards against bounds that miss the true quality more often than stated, and against a prior that ratings can't move.
func TestBoundsCoverTheTrueQuality(t *testing.T) {
	const trials, truth = 1000, 0.8
	missed := 0
	for seed := range uint64(trials) {
		s := NewSummary()
		addMany(s, seed, 300, "v", truth)
		if lower, _, _ := estimateOf(s, "v", 0.5); lower > truth {
			missed++
		}
		if _, mean, _ := estimateOf(s, "v", 0.5); math.Abs(mean-truth) > 0.15 {
			t.Fatalf("seed %d: mean %.3f after 300 ratings; truth %.2f", seed, mean, truth)
		}
	}
	if missed > trials/20 {
		t.Errorf("the lower bound exceeded the true quality in %d of %d trials; stated are 5 %%", missed, trials)
	}
}

// Guards against ratings that are dropped although the quality did not change.
func TestSteadyQualityIsRemembered(t *testing.T) {
	const trials = 100
	forgot := 0
	for seed := range uint64(trials) {
		s := NewSummary()
		addMany(s, seed, 2*memory, "v", 0.8)
		if s.Cells["k"]["v"].N < memory/2 {
			forgot++
		}
	}
	if forgot > trials/20 {
		t.Errorf("older ratings were dropped in %d of %d trials with a steady quality", forgot, trials)
	}
}

// Guards against a version whose quality falls and that is still taken for good.
func TestChangeOfQualityIsNoticed(t *testing.T) {
	s := NewSummary()
	addMany(s, 1, 5000, "v", 0.9)
	addMany(s, 2, 2*recent, "v", 0.4)
	if lower, _, _ := estimateOf(s, "v", 0.9); lower > 0.7 {
		t.Errorf("lower bound %.3f, %d ratings after the quality fell from 0.9 to 0.4", lower, 2*recent)
	}
	s.Updated = time.Unix(0, 0)
	s.Age(time.Unix(0, 0).Add(10 * halfLife))
	if lower, _, upper := estimateOf(s, "v", 0.9); upper < 0.9 {
		t.Errorf("bounds %.3f to %.3f after ten half-lives without ratings; the declared quality 0.9 must be possible again", lower, upper)
	}
}

// Guards against a merge that depends on order or loses ratings, and against a lossy encoding.
func TestMergeOfDisjointRatings(t *testing.T) {
	parts := [2]*Summary{NewSummary(), NewSummary()}
	for i, s := range parts {
		s.Updated = time.Unix(int64(1000*i), 0)
		addMany(s, uint64(i), 50, "v", 0.7)
		addMany(s, uint64(i), 50, "c/v", 0.7)
	}
	a, b := parts[0].Clone(), parts[1].Clone()
	a.Merge(parts[1])
	b.Merge(parts[0])
	if x, y := a.Cells["k"]["v"], b.Cells["k"]["v"]; math.Abs(x.Sum-y.Sum) > 1e-9 || math.Abs(x.N-y.N) > 1e-9 {
		t.Errorf("merged in one order %+v, in the other %+v", x, y)
	}
	if got := a.Totals["v"].Rated; got != 200 {
		t.Errorf("%d ratings of the version after the merge; want 200, those of the cascade included", got)
	}
	body, err := a.Encode()
	if err != nil {
		t.Fatal(err)
	}
	back, err := Decode(body)
	if err != nil || back.Cells["k"]["c/"] != a.Cells["k"]["c/"] {
		t.Errorf("decoded %+v, %v; want %+v", back, err, a)
	}
}

// Guards against a caller that makes the summary grow by naming ever new kinds.
func TestKindsAreBounded(t *testing.T) {
	s := NewSummary()
	for i := range 10 * maxKinds {
		s.Add(rating.Rating{Version: "v", Kind: fmt.Sprint(i), Score: 1})
	}
	if len(s.Cells) > maxKinds+1 {
		t.Errorf("%d kinds are kept; the limit is %d and one for the rest", len(s.Cells), maxKinds)
	}
}
