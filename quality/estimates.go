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
	// deviations is the half-width of the bounds in standard errors: one-sided 98.2 %. With 97.5 % and estimates by
	// confidence, whose cascades answer more requests, six windows of 1,138 of the benchmark were below the target.
	deviations = 2.1
	// firmRatings is the effective number of ratings from which an estimate counts as evidence of its own.
	firmRatings = 20
)

// Estimates implements choose.Estimator with the last summary that was set. Readers take no lock.
type Estimates struct{ current atomic.Pointer[current] }

// current is a summary with what is computed from it once.
type current struct {
	summary *Summary
	pool    line // of the pairs of all cells
	pooled  bool
}

// Set replaces the summary, which must not be changed afterwards.
func (e *Estimates) Set(s *Summary) {
	var all Paired
	for _, cells := range s.Cells {
		for _, c := range cells {
			all = all.merge(c.Paired)
		}
	}
	c := &current{summary: s}
	c.pool, c.pooled = all.line()
	c.pooled = c.pooled && all.N >= minPooled
	e.current.Store(c)
}

// Summary returns the summary in use, or nil before the first one.
func (e *Estimates) Summary() *Summary {
	if c := e.current.Load(); c != nil {
		return c.summary
	}
	return nil
}

// Estimate implements choose.Estimator. Without ratings, the bounds are those of the declared quality alone.
func (e *Estimates) Estimate(kind, label string, declared float64) choose.Estimate {
	now := e.current.Load()
	if now == nil {
		return Cell{}.estimate(declared)
	}
	cells, ok := now.summary.Cells[kind]
	if !ok {
		cells = now.summary.Cells[otherKind]
	}
	c := cells[label]
	if now.pooled {
		declared = now.pool.expect(c.Answers, declared)
	}
	return c.estimate(declared)
}

// estimate returns the bounds. Firm ratings stand for themselves, because the declared quality may be wrong. Fewer are
// shrunk towards the declared quality; the lower bound then leaves room for the noise of the ratings only, so that a
// version without ratings is taken at its declared quality, and the upper bound for the unknown quality too, so that a
// version with few ratings is worth exploring.
func (c Cell) estimate(declared float64) choose.Estimate {
	spread := priorWeight * priorVariance
	if c.N > 0 {
		spread += max(0, c.Sum2-c.Sum*c.Sum/c.N)
	}
	deviation := deviations * math.Sqrt(spread/(c.N+priorWeight))
	if c.N >= firmRatings {
		mean, margin := c.Sum/c.N, deviation/math.Sqrt(c.N)
		if m, v, ok := c.controlled(); ok && deviations*math.Sqrt(v) < margin {
			mean, margin = m, deviations*math.Sqrt(v)
		}
		return choose.Estimate{Mean: mean, Lower: mean - margin, Upper: mean + margin, N: c.N, Firm: true}
	}
	n := c.N + priorWeight
	mean := (c.Sum + priorWeight*declared) / n
	return choose.Estimate{Mean: mean, Lower: mean - deviation*math.Sqrt(c.N)/n, Upper: mean + deviation/math.Sqrt(c.N+1), N: c.N}
}
