package cascade

import (
	"math"
	"math/rand/v2"
	"testing"
)

var modelFamily = []string{"small", "middle", "large"}

// Guards against accepting an answer below the threshold, and against calling a larger model without need.
func TestEscalatorNext(t *testing.T) {
	l := NewEscalator(0.5)
	for _, tc := range []struct {
		at         int
		confidence float64
		want       int
	}{{0, 0.9, -1}, {0, 0.5, -1}, {0, 0.45, 1}, {0, 0.1, 2}, {0, 0, 2}, {1, 0.3, 2}, {1, 0.7, -1}, {2, 0.1, -1}, {0, math.NaN(), -1}} {
		if got := l.Next(modelFamily, tc.at, tc.confidence); got != tc.want {
			t.Errorf("next model after model %d with confidence %.2f is %d, want %d", tc.at, tc.confidence, got, tc.want)
		}
	}
}

// Guards against calling a middle model that is hardly better than the small one, and against skipping one that is much
// better. Each request has a random difficulty, and a model's confidence falls with it.
func TestEscalatorLearnsGain(t *testing.T) {
	for _, gain := range []float64{0.0, 0.4} {
		l := NewEscalator(0.5)
		rng := rand.New(rand.NewPCG(1, 2))
		middleCalls := 0
		for i := range 3000 {
			difficulty := rng.Float64()
			noise := func() float64 { return 0.05 * rng.NormFloat64() }
			clamp := func(v float64) float64 { return min(1, max(0, v)) }
			small := clamp(0.5 + 0.5 - difficulty + noise())
			next := l.Next(modelFamily, 0, small)
			if next == 1 {
				l.RecordPair(modelFamily, 0, small, 1, clamp(0.5+0.5+gain-difficulty+noise()))
				if i >= 1500 {
					middleCalls++
				}
			}
		}
		if gain == 0 && middleCalls > 150 {
			t.Errorf("a middle model without a gain was called %d times in 1,500", middleCalls)
		}
		if gain == 0.4 && middleCalls < 300 {
			t.Errorf("a middle model with a gain of %.1f was called %d times in 1,500", gain, middleCalls)
		}
	}
}
