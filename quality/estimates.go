package quality

import (
	"math"
	"sync/atomic"

	"github.com/bramleytrail/bramleytrail/choose"
)

const (
	// priorWeight is the number of ratings that the declared quality counts as.
	priorWeight = 10
	// priorVariance is the variance of a rating before any is seen: a standard deviation of 0.2.
	priorVariance = 0.04
	// deviations is the half-width of the bounds in standard errors: one-sided 95 %.
	deviations = 1.645
	// firmRatings is the effective number of ratings from which an estimate counts as evidence of its own.
	firmRatings = 20
)

// Estimates implements choose.Estimator with the last summary that was set. Readers take no lock.
type Estimates struct{ summary atomic.Pointer[Summary] }

// Set replaces the summary, which must not be changed afterwards.
func (e *Estimates) Set(s *Summary) { e.summary.Store(s) }

// Summary returns the summary in use, or nil before the first one.
func (e *Estimates) Summary() *Summary { return e.summary.Load() }

// Estimate implements choose.Estimator. Without ratings, the bounds are those of the declared quality alone.
func (e *Estimates) Estimate(kind, label string, declared float64) choose.Estimate {
	var c Cell
	if s := e.summary.Load(); s != nil {
		cells, ok := s.Cells[kind]
		if !ok {
			cells = s.Cells[otherKind]
		}
		c = cells[label]
	}
	return c.estimate(declared)
}

// estimate shrinks the mean rating towards the declared quality. The lower bound leaves room for the noise of the
// ratings only, so that a version without ratings is taken at its declared quality. The upper bound leaves room for the
// unknown quality too, so that a version with few ratings is worth exploring.
func (c Cell) estimate(declared float64) choose.Estimate {
	n := c.N + priorWeight
	mean := (c.Sum + priorWeight*declared) / n
	spread := priorWeight * priorVariance
	if c.N > 0 {
		spread += max(0, c.Sum2-c.Sum*c.Sum/c.N)
	}
	deviation := math.Sqrt(spread / n)
	return choose.Estimate{
		Mean:  mean,
		Lower: mean - deviations*deviation*math.Sqrt(c.N)/n,
		Upper: mean + deviations*deviation/math.Sqrt(c.N+1),
		N:     c.N,
		Firm:  c.N >= firmRatings,
	}
}
