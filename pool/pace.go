package pool

import (
	"sync"
	"time"
)

const (
	// paceAlpha is the weight of the newest answer in the moving average of a model's pace.
	paceAlpha = 0.05
	// paceTokens is added to the prompt of a request for what its first token costs beside the prompt.
	paceTokens = 1000
	// firstPace is the time for a prompt token before any answer was seen, in milliseconds: at 100 tokens a millisecond,
	// the order of what a large accelerator reads.
	firstPace = 0.01
)

// paces holds for each model of a service how long it takes to read a prompt token, the wait behind others included.
type paces struct {
	mu   sync.Mutex
	pace map[paceKey]float64 // milliseconds a token
}

type paceKey struct{ service, model string }

func newPaces() *paces { return &paces{pace: map[paceKey]float64{}} }

// get returns a model's pace.
func (p *paces) get(service, model string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v, ok := p.pace[paceKey{service, model}]; ok {
		return v
	}
	return firstPace
}

// observe records the time to the first part of an answer to a prompt.
func (p *paces) observe(service, model string, tokens int64, latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := paceKey{service, model}
	sample := float64(latency) / float64(time.Millisecond) / float64(tokens+paceTokens)
	old, ok := p.pace[k]
	if !ok {
		old = sample
	}
	p.pace[k] = old + paceAlpha*(sample-old)
}
