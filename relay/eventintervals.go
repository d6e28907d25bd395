package relay

import (
	"sync"
	"time"
)

// intervalSmoothing is the weight of the newest interval in the exponential moving average.
const intervalSmoothing = 0.005

// EventIntervals estimates the mean time between two events in the streams of each model of each service. It is safe for
// concurrent use.
type EventIntervals struct {
	mu   sync.Mutex
	mean map[streamKey]float64 // milliseconds
}

type streamKey struct{ service, model string }

// NewEventIntervals returns an EventIntervals without observations.
func NewEventIntervals() *EventIntervals { return &EventIntervals{mean: map[streamKey]float64{}} }

// Observe records the time between two events.
func (e *EventIntervals) Observe(service, model string, interval time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	k := streamKey{service, model}
	ms := float64(interval) / float64(time.Millisecond)
	old, ok := e.mean[k]
	if !ok {
		old = ms
	}
	e.mean[k] = old + intervalSmoothing*(ms-old)
}

// MeanMillis returns the mean time between two events in milliseconds, 0 if none was observed.
func (e *EventIntervals) MeanMillis(service, model string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mean[streamKey{service, model}]
}
