package cascade

import (
	"math"
	"sync"
)

const (
	// gainSmoothing is the weight of the newest pair of answers in the exponential moving averages of gains and spread.
	gainSmoothing = 0.1
	// defaultGainPerStep is the confidence gain assumed for each step to a larger model before any pair is recorded, and
	// defaultLargestGain that of the largest model.
	defaultGainPerStep, defaultLargestGain = 0.15, 0.6
	// defaultSpread is the spread assumed before any pair is recorded; minSpread and maxSpread bound the learned one.
	defaultSpread, minSpread, maxSpread = 0.1, 0.02, 0.3
	// minPoorChance is the chance of a poor answer below which no larger model is considered.
	minPoorChance = 0.001
)

// Escalator decides whether a request escalates, and to which larger model of a family. It derives the chance that an
// answer is poor from its confidence and weighs the value of a good answer against the price of another call. It learns
// how much more confident a larger model is than a smaller one about the same request, and how widely confidences
// scatter. It answers a load of requests that differ in length, worth and difficulty, of which the difficulty is not known.
// Lists of models are ordered from the smallest to the largest. It is safe for concurrent use.
type Escalator struct {
	evenConfidence float64

	mu       sync.Mutex
	gains    map[modelPair]float64
	variance float64 // of a confidence around the one that the difficulty of the request justifies
}

// modelPair identifies a confidence gain by the names of the smaller and the larger model.
type modelPair struct{ from, to string }

// NewEscalator returns an escalator with the default gains and spread. evenConfidence is the confidence, from 0 to 1, at
// which an answer is as likely poor as good.
func NewEscalator(evenConfidence float64) *Escalator {
	return &Escalator{evenConfidence: evenConfidence, gains: map[modelPair]float64{}, variance: defaultSpread * defaultSpread}
}

// Answer is what is known about a model's answer to a request.
type Answer struct {
	Model      int     // index of the model
	Confidence float64 // of the model in its answer, from 0 to 1
}

// Escalation describes a request for which an answer is at hand.
type Escalation struct {
	Models  []string
	Answers []Answer // by different models in the order of the calls; the last one is at hand
	// MaxCalls is the number of further calls that the request may make.
	MaxCalls int
	// Value is what a good answer is worth compared with a poor one, in the unit of Price.
	Value float64
	// Price returns the price of an answer by a model, or +Inf if the model can't be asked.
	Price func(model int) float64
}

// Next returns the index of the model to call next, or -1 to accept the answer at hand. It minimizes the sum of the prices
// to pay and the expected loss from a poor answer. An answer without a confidence (NaN) is accepted.
func (e *Escalator) Next(r Escalation) int {
	current, largest := r.Answers[len(r.Answers)-1], len(r.Models)-1
	if current.Model >= largest || r.MaxCalls < 1 || math.IsNaN(current.Confidence) {
		return -1
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	poor := e.estimateMargin(&r, current.Model).poorChance()
	if poor < minPoorChance {
		return -1
	}
	next, lowest := -1, poor*r.Value
	for i := current.Model + 1; i <= largest; i++ {
		price := r.Price(i)
		if price >= lowest {
			continue
		}
		if cost := price + e.remainingCost(&r, i, largest); cost < lowest {
			next, lowest = i, cost
		}
	}
	return next
}

// LikelyPoor reports whether an answer with this confidence is more likely poor than good.
func (e *Escalator) LikelyPoor(confidence float64) bool { return confidence < e.evenConfidence }

// remainingCost returns the expected cost after a call to a larger model: its answer is poor too, or its confidence gives
// reason to call the largest model.
func (e *Escalator) remainingCost(r *Escalation, model, largest int) float64 {
	m := e.estimateMargin(r, model)
	if model == largest || r.MaxCalls < 2 {
		return m.poorChance() * r.Value
	}
	price, sum := r.Price(largest), 0.0
	for _, z := range normalQuantiles {
		sum += min(price, m.afterAnswer(z, e.variance).poorChance()*r.Value)
	}
	return sum / float64(len(normalQuantiles))
}

// normalQuantiles are equally likely values of a standard normal distribution.
var normalQuantiles = [...]float64{-1.534, -0.887, -0.489, -0.157, 0.157, 0.489, 0.887, 1.534}

// margin is the estimate of how far the confidence that the difficulty of a request justifies lies above the even one, for
// one model. It is normally distributed.
type margin struct{ mean, variance float64 }

// poorChance returns the chance that the model's answer is poor: that the margin is negative.
func (m margin) poorChance() float64 {
	if m.variance == 0 {
		if m.mean < 0 {
			return 1
		}
		return 0
	}
	return 0.5 * math.Erfc(m.mean/math.Sqrt(2*m.variance))
}

// afterAnswer returns the margin once another confidence is known, which scatters with the given variance. The new mean is
// z standard deviations from its expectation.
func (m margin) afterAnswer(z, variance float64) margin {
	if m.variance == 0 {
		return m
	}
	remaining := m.variance * variance / (m.variance + variance)
	return margin{m.mean + z*math.Sqrt(m.variance-remaining), remaining}
}

// estimateMargin returns a model's margin for the request, given the answers so far. A confidence at the end of the scale is
// clipped: how far it is from the next model's is unknown, so only the largest model is expected to do better. e.mu must be
// held.
func (e *Escalator) estimateMargin(r *Escalation, model int) margin {
	current := r.Answers[len(r.Answers)-1]
	if clipped(current.Confidence) {
		if model == len(r.Models)-1 {
			return margin{mean: 1}
		}
		return margin{mean: current.Confidence - e.evenConfidence}
	}
	sum, n := 0.0, 0.0
	for _, a := range r.Answers {
		if !clipped(a.Confidence) {
			sum += a.Confidence + e.gain(r.Models, a.Model, model)
			n++
		}
	}
	return margin{sum/n - e.evenConfidence, e.variance / n}
}

// clipped reports whether a confidence is at an end of the scale, beyond which models do not distinguish. An invalid one
// (NaN) counts as clipped.
func clipped(confidence float64) bool { return !(confidence > 0 && confidence < 1) }

// gain returns the expected difference in confidence between two models. The largest model is the best that the operators
// offer, so its answer is expected to be good until pairs say otherwise. e.mu must be held.
func (e *Escalator) gain(models []string, from, to int) float64 {
	if from == to {
		return 0
	}
	if g, ok := e.gains[modelPair{models[from], models[to]}]; ok {
		return g
	}
	if to == len(models)-1 {
		return defaultLargestGain
	}
	return defaultGainPerStep * float64(to-from)
}

// RecordPair updates the gain between two models, and the spread, with the confidences of their answers to the same
// request. It ignores a pair with a clipped confidence, because the difference is unknown.
func (e *Escalator) RecordPair(models []string, from, to Answer) {
	if clipped(from.Confidence) || clipped(to.Confidence) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	gain := e.gain(models, from.Model, to.Model)
	deviation := to.Confidence - from.Confidence - gain
	e.gains[modelPair{models[from.Model], models[to.Model]}] = gain + gainSmoothing*deviation
	// The deviation is the sum of two independent ones.
	e.variance += gainSmoothing * (deviation*deviation/2 - e.variance)
	e.variance = min(max(e.variance, minSpread*minSpread), maxSpread*maxSpread)
}
