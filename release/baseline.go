package release

import (
	"math"
	"sync"
	"time"
)

const (
	// minBaseline is the number of answers from which latencies are compared, and maxBaseline the number from which older ones
	// count half.
	minBaseline, maxBaseline = 6, 1024
	// slowTail is the share of the latencies of the versions in use that are longer than the quantile that others are compared
	// with, and slowRatio the multiple of that quantile from which a latency counts as slow. Endpoints that have just started, or
	// have empty caches, are slower for some seconds, but by less than this. A longer quantile is uncertain with the few answers of one
	// daemon, and no answer counts before it is as old as the multiple of it: with 0.05 and a deviation of the logarithm of 0.8, 7.5 times
	// the median, with 0.15 4.6 times.
	slowTail, slowRatio = 0.15, 2.0
	// intervalRatio is the ratio to the median interval of the versions in use up to which another version is about as fast.
	intervalRatio = 1.35
	// minDeviation is the smallest standard deviation of the logarithm of intervals, since that of few of them is uncertain.
	minDeviation = 0.4
	// maxDifference bounds a standardized difference, so that single times don't decide.
	maxDifference = 3.0
	// bucketsPerDoubling and buckets define the histogram of latencies, which begins at shortestLatency.
	bucketsPerDoubling, buckets = 4, 96
	shortestLatency             = time.Millisecond / 4
	// maxBaselines bounds the routes and models whose latencies are kept.
	maxBaselines = 4096
)

// Baseline holds times of the versions in use, by service, route and model. It is safe for concurrent use.
type Baseline struct {
	mu         sync.Mutex
	histograms map[baselineKey]*histogram
}

type baselineKey struct{ service, route, model string }

type histogram struct {
	total  int
	counts [buckets]int
}

// NewBaseline returns an empty baseline.
func NewBaseline() *Baseline { return &Baseline{histograms: map[baselineKey]*histogram{}} }

// Add records a time of a version in use.
func (b *Baseline) Add(service, route, model string, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := baselineKey{service, route, model}
	h := b.histograms[key]
	if h == nil {
		if len(b.histograms) >= maxBaselines {
			return
		}
		h = &histogram{}
		b.histograms[key] = h
	}
	h.add(d)
}

// CompareLatency reports whether the time until an answer of another version began is slow. Few times to compare with give the
// zero value.
func (b *Baseline) CompareLatency(service, route, model string, d time.Duration) Timing {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.histograms[baselineKey{service, route, model}]
	if h == nil || h.total < minBaseline {
		return Timing{}
	}
	quantile, tail := h.quantile(slowTail)
	median, _ := h.quantile(0.5)
	t := Timing{Timed: 1, Expected: tail}
	if float64(d) > slowRatio*float64(quantile) {
		t.Slow = 1
	}
	if d > median {
		t.Above = 1
	}
	return t
}

// CompareInterval returns by how much the mean time between the events of a stream of another version differs. Few times to
// compare with give the zero value.
func (b *Baseline) CompareInterval(service, route, model string, d time.Duration) Shift {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.histograms[baselineKey{service, route, model}]
	if h == nil || h.total < minBaseline || d <= 0 {
		return Shift{}
	}
	median, _ := h.quantile(0.5)
	upper, _ := h.quantile(upperDeviation)
	deviation := max(minDeviation, math.Log(float64(upper)/float64(median)))
	difference := math.Log(float64(d)/(intervalRatio*float64(median))) / deviation
	return Shift{1, min(max(difference, -maxDifference), maxDifference)}
}

// upperDeviation is the share of a normal distribution above one standard deviation.
const upperDeviation = 0.16

func (h *histogram) add(d time.Duration) {
	if h.total >= maxBaseline {
		h.total = 0
		for i := range h.counts {
			h.counts[i] /= 2
			h.total += h.counts[i]
		}
	}
	i := int(bucketsPerDoubling * math.Log2(max(1, float64(d)/float64(shortestLatency))))
	h.counts[min(i, buckets-1)]++
	h.total++
}

// quantile returns a time that at most the share tail exceeds, and the share that does, with an allowance for their number.
func (h *histogram) quantile(tail float64) (time.Duration, float64) {
	above := 0
	i := buckets - 1
	for i > 0 && float64(above+h.counts[i]) <= tail*float64(h.total) {
		above += h.counts[i]
		i--
	}
	upper := float64(shortestLatency) * math.Exp2(float64(i+1)/bucketsPerDoubling)
	return time.Duration(upper), float64(above+1) / float64(h.total+1)
}

// CompareScaled compares the time until an answer of a version in use began with those before it, for the expectation of how many
// answers of another version are slow.
func (b *Baseline) CompareScaled(service, route, model string, d time.Duration) (out Scaled) {
	for i := range out {
		scale := math.Pow(slowRatio, float64(i)/(scales-1))
		out[i] = b.CompareLatency(service, route, model, time.Duration(scale*float64(d)))
	}
	return out
}
