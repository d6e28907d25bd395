package quality

import (
	"math"
	"sync/atomic"

	"github.com/bramleytrail/bramleytrail/choose"
)

const (
	// priorWeight is the weight of the declared quality, in ratings.
	priorWeight = 10
	// priorVariance is the assumed variance of ratings before any is seen: a standard deviation of 0.2.
	priorVariance = 0.04
	// boundZScore is the half-width of the confidence bounds in standard errors: 98.2 % one-sided. With 97.5 % and
	// estimates that use the confidence of answers, which lead to more use of cascades, six of the benchmark's 1,138
	// windows were below the target.
	boundZScore = 2.1
	// reliableRatings is the effective number of ratings from which an estimate ignores the declared quality.
	reliableRatings = 20
)

// Estimates implements choose.Estimator with the summary that was set last. It is safe for concurrent use, and readers
// take no lock.
type Estimates struct{ snapshot atomic.Pointer[snapshot] }

// snapshot is a summary with the regression that is computed once from it.
type snapshot struct {
	summary          *Summary
	pooledRegression regression // over the pairs of all cells
	pooledUsable     bool
}

// Set replaces the summary. The caller must not modify it afterwards.
func (e *Estimates) Set(s *Summary) {
	var all Paired
	for _, cells := range s.Cells {
		for _, c := range cells {
			all = all.merge(c.Paired)
		}
	}
	c := &snapshot{summary: s}
	c.pooledRegression, c.pooledUsable = all.regression()
	c.pooledUsable = c.pooledUsable && all.N >= minPooledPairs
	e.snapshot.Store(c)
}

// Summary returns the summary in use, or nil before the first one.
func (e *Estimates) Summary() *Summary {
	if c := e.snapshot.Load(); c != nil {
		return c.summary
	}
	return nil
}

// Estimate implements choose.Estimator. Without ratings, the bounds follow from the declared quality alone.
func (e *Estimates) Estimate(kind, label string, declared float64) choose.Estimate {
	current := e.snapshot.Load()
	if current == nil {
		return Cell{}.estimate(declared)
	}
	cells, ok := current.summary.Cells[kind]
	if !ok {
		cells = current.summary.Cells[otherKind]
	}
	c := cells[label]
	if current.pooledUsable {
		declared = current.pooledRegression.expectedQuality(c.Answers, declared)
	}
	return c.estimate(declared)
}

// estimate returns the estimate of a cell. From reliableRatings on, it uses only the ratings, because the declared
// quality may be wrong. With fewer ratings, the mean is shrunk towards the declared quality. The lower bound then
// reflects only the noise of the ratings, so that a version without ratings is treated as having its declared quality.
// The upper bound also reflects the uncertainty of the declared quality, so that a version with few ratings is worth
// exploring.
func (c Cell) estimate(declared float64) choose.Estimate {
	sumSquares := priorWeight * priorVariance
	if c.N > 0 {
		sumSquares += max(0, c.Sum2-c.Sum*c.Sum/c.N)
	}
	deviation := boundZScore * math.Sqrt(sumSquares/(c.N+priorWeight))
	if c.N >= reliableRatings {
		mean, margin := c.Sum/c.N, deviation/math.Sqrt(c.N)
		if m, v, ok := c.regressionEstimate(); ok && boundZScore*math.Sqrt(v) < margin {
			mean, margin = m, boundZScore*math.Sqrt(v)
		}
		return choose.Estimate{Mean: mean, Lower: mean - margin, Upper: mean + margin, N: c.N, Reliable: true}
	}
	n := c.N + priorWeight
	mean := (c.Sum + priorWeight*declared) / n
	return choose.Estimate{Mean: mean, Lower: mean - deviation*math.Sqrt(c.N)/n, Upper: mean + deviation/math.Sqrt(c.N+1), N: c.N}
}
