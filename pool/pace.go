package pool

import (
	"sync"
	"time"
)

const (
	// paceAlpha is the weight of the newest answer in the moving averages of a model's pace.
	paceAlpha = 0.02
	// firstPace is the time for a prompt token before any answer was seen, in milliseconds: at 100 tokens a millisecond,
	// the order of what a large accelerator reads. leastPace bounds the estimate.
	firstPace, leastPace = 0.01, 0.0005
	// firstBase is the time to the first part of an answer beside the prompt before any answer was seen, in milliseconds.
	firstBase = 30
	// paceSamples is the number of answers from which the pace is estimated.
	paceSamples = 8
)

// pace is how long a model takes until an answer begins: a time for each request and one for each token that is read.
type pace struct {
	base  float64 // milliseconds
	token float64 // milliseconds a token
}

func (p pace) of(tokens int64) float64 { return p.base + p.token*float64(tokens) }

// paces estimates the pace of each model of each service from the answers, by least squares with fading weights. The
// waits behind other requests are in it.
type paces struct {
	mu     sync.Mutex
	models map[paceKey]*fit
}

type paceKey struct{ service, model string }

// fit holds moving averages of tokens x and milliseconds y.
type fit struct {
	n            int
	x, y, xx, xy float64
}

func newPaces() *paces { return &paces{models: map[paceKey]*fit{}} }

func (p *paces) get(service, model string) pace {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.models[paceKey{service, model}]
	if f == nil || f.n < paceSamples {
		return pace{firstBase, firstPace}
	}
	token := leastPace
	if v := f.xx - f.x*f.x; v > 0 {
		token = max(token, (f.xy-f.x*f.y)/v)
	}
	return pace{max(1, f.y-token*f.x), token}
}

// observe records the time to the first part of an answer to a prompt of which so many tokens were read.
func (p *paces) observe(service, model string, tokens int64, latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := paceKey{service, model}
	f := p.models[k]
	if f == nil {
		f = &fit{}
		p.models[k] = f
	}
	f.n++
	alpha := max(paceAlpha, 1/float64(f.n))
	x, y := float64(tokens), float64(latency)/float64(time.Millisecond)
	f.x += alpha * (x - f.x)
	f.y += alpha * (y - f.y)
	f.xx += alpha * (x*x - f.xx)
	f.xy += alpha * (x*y - f.xy)
}
