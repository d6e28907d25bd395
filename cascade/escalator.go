package cascade

import "sync"

const (
	// gainSmoothing is the weight of the newest pair of answers in the exponential moving average of a confidence gain.
	gainSmoothing = 0.1
	// defaultGainPerStep is the confidence gain assumed for each step to a larger model before any pair is recorded.
	defaultGainPerStep = 0.15
	// intermediateMargin is how far the predicted confidence of a model other than the largest must exceed the threshold.
	// If its answer is rejected too, the request needs a third call.
	intermediateMargin = 0.02
)

// Escalator decides whether a request escalates, and to which larger model of a family. It uses only the confidence of
// the answers, and learns how much more confident a larger model is than a smaller one for the same request. Lists of
// models are ordered from the smallest to the largest. It is safe for concurrent use.
type Escalator struct {
	// Threshold is the lowest confidence at which an answer is accepted, from 0 to 1.
	Threshold float64

	mu    sync.Mutex
	gains map[modelPair]float64
}

// modelPair identifies a confidence gain by the names of the smaller and the larger model.
type modelPair struct{ from, to string }

// NewEscalator returns an escalator with the default gains.
func NewEscalator(threshold float64) *Escalator {
	return &Escalator{Threshold: threshold, gains: map[modelPair]float64{}}
}

// Next returns the index of the model to call after models[current] has answered with the given confidence, or -1 to
// accept the answer. It selects the smallest larger model whose predicted confidence suffices, or else the largest
// model, and so never a model that was called before. A confidence of 0 escalates to the largest model, and NaN accepts
// the answer.
func (e *Escalator) Next(models []string, current int, confidence float64) int {
	largest := len(models) - 1
	if current >= largest || !(confidence < e.Threshold) {
		return -1
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := current + 1; i < largest; i++ {
		if confidence > 0 && confidence+e.gain(models, current, i) >= e.Threshold+intermediateMargin {
			return i
		}
	}
	return largest
}

// gain returns the expected difference in confidence between two models. The caller holds mu.
func (e *Escalator) gain(models []string, from, to int) float64 {
	if g, ok := e.gains[modelPair{models[from], models[to]}]; ok {
		return g
	}
	return defaultGainPerStep * float64(to-from)
}

// RecordPair updates the gain between two models with the confidences of their answers to the same request. It ignores
// a pair with a confidence of 0 or 1: such a value is clipped at the end of the scale, so the difference is unknown.
func (e *Escalator) RecordPair(models []string, from int, fromConfidence float64, to int, toConfidence float64) {
	if fromConfidence <= 0 || fromConfidence >= 1 || toConfidence <= 0 || toConfidence >= 1 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.gain(models, from, to)
	e.gains[modelPair{models[from], models[to]}] = g + gainSmoothing*(toConfidence-fromConfidence-g)
}
