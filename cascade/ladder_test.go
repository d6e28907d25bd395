package cascade

import (
	"math"
	"math/rand/v2"
	"testing"
)

var family = []string{"small", "middle", "large"}

// Guards against a doubtful answer that is kept, and a larger model that is asked for nothing.
func TestLadderNext(t *testing.T) {
	l := NewLadder(0.5)
	for _, tc := range []struct {
		at         int
		confidence float64
		want       int
	}{{0, 0.9, -1}, {0, 0.5, -1}, {0, 0.45, 1}, {0, 0.1, 2}, {0, 0, 2}, {1, 0.3, 2}, {1, 0.7, -1}, {2, 0.1, -1}, {0, math.NaN(), -1}} {
		if got := l.Next(family, tc.at, tc.confidence); got != tc.want {
			t.Errorf("model %d at %.2f: %d, want %d", tc.at, tc.confidence, got, tc.want)
		}
	}
}

// Guards against a middle model that is asked although it is hardly better than the small one, and one that is much better
// and is not asked. The load: requests of a difficulty, and models that are confident by how far they exceed it.
func TestLadderLearnsGain(t *testing.T) {
	for _, gain := range []float64{0.0, 0.4} {
		l := NewLadder(0.5)
		rng := rand.New(rand.NewPCG(1, 2))
		middle := 0
		for i := range 3000 {
			difficulty := rng.Float64()
			noise := func() float64 { return 0.05 * rng.NormFloat64() }
			clamp := func(v float64) float64 { return min(1, max(0, v)) }
			small := clamp(0.5 + 0.5 - difficulty + noise())
			next := l.Next(family, 0, small)
			if next == 1 {
				l.Compare(family, 0, small, 1, clamp(0.5+0.5+gain-difficulty+noise()))
				if i >= 1500 {
					middle++
				}
			}
		}
		if gain == 0 && middle > 150 {
			t.Errorf("a middle model without a gain was asked %d times in 1,500", middle)
		}
		if gain == 0.4 && middle < 300 {
			t.Errorf("a middle model with a gain of %.1f was asked %d times in 1,500", gain, middle)
		}
	}
}
