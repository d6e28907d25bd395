package relay

import (
	"sync"
	"time"
)

// paceAlpha is the weight of the newest pause between two events in the moving average.
const paceAlpha = 0.005

// Paces estimates the mean time between two events of the streams of each model of each service. It may be used by several
// goroutines.
type Paces struct {
	mu   sync.Mutex
	mean map[streamKey]float64 // milliseconds
}

type streamKey struct{ service, model string }

// NewPaces returns estimates that have seen no stream.
func NewPaces() *Paces { return &Paces{mean: map[streamKey]float64{}} }

// Observe records the time between two events.
func (p *Paces) Observe(service, model string, pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := streamKey{service, model}
	ms := float64(pause) / float64(time.Millisecond)
	old, ok := p.mean[k]
	if !ok {
		old = ms
	}
	p.mean[k] = old + paceAlpha*(ms-old)
}

// Of returns the mean time between two events in milliseconds, 0 before any was seen.
func (p *Paces) Of(service, model string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mean[streamKey{service, model}]
}
