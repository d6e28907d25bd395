package cascade

import (
	"math"
	"sync"
)

const (
	// firstSamples is the number of the newest first answers of a route's smallest model from which the difficulty of its next
	// request is estimated, and minFirstSamples the number below which the smallest model is asked.
	firstSamples, minFirstSamples = 32, 8
	// grantSmoothing is the weight of the newest escalation in the share of escalations that were possible: about the last ten
	// count, which are those of a few seconds.
	grantSmoothing = 0.1
	// sampledShare is the fraction of requests that always ask the smallest model first, so that the difficulty stays known.
	sampledShare = 0.1
)

// FirstChoice chooses the model that a request asks first. It answers a load under which escalations are often impossible: each one
// needs a second call, and the service's budget of repeated calls is used up by failures of endpoints. A request whose smallest answer
// would then be delivered although it is poor asks a larger model at once, which needs one call. It is safe for concurrent use.
type FirstChoice struct {
	escalator *Escalator

	mu      sync.Mutex
	samples map[string]*confidences // by route
	granted map[string]float64      // by service: share of the wanted escalations that were possible
}

// confidences holds the newest confidences of the smallest model.
type confidences struct {
	values [firstSamples]float64
	n      int // number of values seen
}

// NewFirstChoice returns a FirstChoice that judges confidences like an escalator.
func NewFirstChoice(e *Escalator) *FirstChoice {
	return &FirstChoice{escalator: e, samples: map[string]*confidences{}, granted: map[string]float64{}}
}

// RecordAnswer records the confidence of the smallest model in the first answer to a request of a route.
func (f *FirstChoice) RecordAnswer(route string, confidence float64) {
	if math.IsNaN(confidence) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.samples[route]
	if s == nil {
		s = &confidences{}
		f.samples[route] = s
	}
	s.values[s.n%firstSamples] = confidence
	s.n++
}

// RecordEscalation records whether an escalation of a request to a service was possible under the limits of calls.
func (f *FirstChoice) RecordEscalation(service string, possible bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old, ok := f.granted[service]
	if !ok {
		old = 1
	}
	now := 0.0
	if possible {
		now = 1
	}
	f.granted[service] = old + grantSmoothing*(now-old)
}

// Next returns the index of the model that a request of a route asks first. r has no answers yet. draw is in [0, 1) and differs for each
// request.
func (f *FirstChoice) Next(route, service string, r Escalation, draw float64) int {
	f.mu.Lock()
	granted, known := f.granted[service]
	s := f.samples[route]
	if !known || granted > 1-minDenied || s == nil || s.n < minFirstSamples || draw < sampledShare {
		f.mu.Unlock()
		return 0
	}
	values := append([]float64(nil), s.values[:min(s.n, firstSamples)]...)
	f.mu.Unlock()
	return f.escalator.first(&r, values, granted)
}

// minDenied is the share of denied escalations below which requests ask the smallest model: the estimate is not exact enough for less.
const minDenied = 0.05

// first returns the model with the lowest expected cost if the request is as difficult as those of which the smallest model had the given
// confidences, and if an escalation is possible with a given chance.
func (e *Escalator) first(r *Escalation, samples []float64, possible float64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	largest := len(r.Models) - 1
	prices, sums := make([]float64, len(r.Models)), make([]float64, len(r.Models))
	for i := range prices {
		prices[i] = r.Price(i)
	}
	for _, confidence := range samples {
		after := *r
		after.Answers = []Answer{{Confidence: confidence}}
		poor := e.estimateMargin(&after, 0).poorChance() * r.Value
		best := poor
		for i := 1; i <= largest; i++ {
			m := e.estimateMargin(&after, i).poorChance()
			sums[i] += m * r.Value
			best = min(best, prices[i]+(r.loss(i)+(1-r.loss(i))*m)*r.Value)
		}
		sums[0] += possible*best + (1-possible)*poor
	}
	first, lowest := 0, math.Inf(1)
	for i, sum := range sums {
		loss := r.loss(i)
		if cost := prices[i] + loss*r.Value + (1-loss)*sum/float64(len(samples)); cost < lowest {
			first, lowest = i, cost
		}
	}
	return first
}
