package cascade

import "sync"

const (
	// gainAlpha is the weight of the newest pair of answers in the moving average of a model's gain.
	gainAlpha = 0.1
	// firstGain is the gain for each step of a ladder before any answers were compared.
	firstGain = 0.15
	// gainMargin is the confidence above the threshold that a model between the smallest and the largest must promise: if
	// its answer is doubtful too, a third one is needed.
	gainMargin = 0.02
)

// Ladder chooses among models of one family, smallest first, by nothing but the confidence of their answers: it learns by
// how much a larger model is more confident of the same request than a smaller one. It may be used by several goroutines.
type Ladder struct {
	// Threshold is the confidence from which an answer is kept, 0 to 1.
	Threshold float64

	mu    sync.Mutex
	gains map[pair]float64
}

// pair names two models.
type pair struct{ from, to string }

// NewLadder returns a ladder that has compared no answers.
func NewLadder(threshold float64) *Ladder {
	return &Ladder{Threshold: threshold, gains: map[pair]float64{}}
}

// Next returns the index of the model to ask after the answer of one with a confidence, or -1 to keep the answer: the
// smallest model that will probably be confident enough, else the largest. A model that asked before is not asked again.
func (l *Ladder) Next(models []string, at int, confidence float64) int {
	last := len(models) - 1
	if at >= last || !(confidence < l.Threshold) {
		return -1
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := at + 1; i < last; i++ {
		if confidence > 0 && confidence+l.gain(models, at, i) >= l.Threshold+gainMargin {
			return i
		}
	}
	return last
}

func (l *Ladder) gain(models []string, from, to int) float64 {
	if g, ok := l.gains[pair{models[from], models[to]}]; ok {
		return g
	}
	return firstGain * float64(to-from)
}

// Compare records the confidences of two models' answers to the same request. A confidence of 0 or 1 says only that it is
// at the end of the scale, so that it is left out.
func (l *Ladder) Compare(models []string, from int, confidence float64, to int, later float64) {
	if confidence <= 0 || confidence >= 1 || later <= 0 || later >= 1 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.gain(models, from, to)
	l.gains[pair{models[from], models[to]}] = g + gainAlpha*(later-confidence-g)
}
