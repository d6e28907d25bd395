package relay

import (
	"sync"
	"time"
)

const (
	// intervalSmoothing is the weight of the newest interval in the moving average, once there are enough of them. The first ones have
	// equal weights: otherwise the estimate would be that of the first stream for some hundred events.
	intervalSmoothing = 0.02
	// maxIntervalRatio bounds an interval to a multiple of the mean. A stream that waits for an endpoint that has failed says nothing
	// about the pace of others.
	maxIntervalRatio = 8
	// minBaselineIntervals is the number of intervals from which the lowest mean counts as that of an idle service, and baselineGrowth the
	// relative growth of it with each further interval, so that a service that has become slower for good is not taken for a busy one for ever.
	minBaselineIntervals, baselineGrowth = 50, 1e-5
)

// EventIntervals estimates the mean time between two events in the streams of each model of each service. It is safe for
// concurrent use.
type EventIntervals struct {
	mu   sync.Mutex
	mean map[streamKey]intervalMean
}

type intervalMean struct {
	ms       float64
	n        int     // intervals observed
	baseline float64 // lowest mean, slowly rising; 0 until it is known
}

type streamKey struct{ service, model string }

// NewEventIntervals returns an EventIntervals without observations.
func NewEventIntervals() *EventIntervals { return &EventIntervals{mean: map[streamKey]intervalMean{}} }

// Observe records the time between two events.
func (e *EventIntervals) Observe(service, model string, interval time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	k := streamKey{service, model}
	ms := float64(interval) / float64(time.Millisecond)
	m := e.mean[k]
	if m.n > 0 {
		ms = min(ms, maxIntervalRatio*m.ms)
	}
	m.n++
	m.ms += max(intervalSmoothing, 1/float64(m.n)) * (ms - m.ms)
	if m.n >= minBaselineIntervals {
		m.baseline *= 1 + baselineGrowth
		if m.baseline == 0 || m.ms < m.baseline {
			m.baseline = m.ms
		}
	}
	e.mean[k] = m
}

// MeanMillis returns the mean time between two events in milliseconds, 0 if none was observed.
func (e *EventIntervals) MeanMillis(service, model string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mean[streamKey{service, model}].ms
}

// Congestion returns the mean time between two events as a multiple of the lowest one, at least 1.
func (e *EventIntervals) Congestion(service, model string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.mean[streamKey{service, model}]
	if m.baseline <= 0 {
		return 1
	}
	return max(1, m.ms/m.baseline)
}
