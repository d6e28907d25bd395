package quality

import (
	"encoding/json"
	"math"
)

const (
	// minPaired is the effective number of pairs from which a regression replaces the mean of the ratings.
	minPaired = 20
	// minSpread is the least variance of the confidence of rated answers, because a slope needs different values.
	minSpread = 1e-4
	// answersMemory is the number of answers after which an older one counts 1/e. A quarter of the answers is rated, so
	// that it is as long as that of the ratings.
	answersMemory = 4 * memory
	// minPooled is the effective number of pairs, of all kinds and labels together, from which the confidence of a cell's
	// answers corrects the declared quality.
	minPooled = 100
	// priorAnswers is the number of answers that the declared quality counts as in this correction.
	priorAnswers = 3
	// maxWithout is the part of answers without confidence from which the others may not stand for all.
	maxWithout = 0.05
)

// Paired holds the discounted moments of ratings (y) of which the answer's confidence (x) is known.
type Paired struct{ N, X, X2, Y, Y2, XY float64 }

// Answers holds the discounted moments of the confidence (x) of all answers, rated or not.
type Answers struct {
	N, X, X2 float64
	Without  float64 // answers of which the engine reported no confidence; N does not count them
}

func (p Paired) scale(f float64) Paired {
	return Paired{p.N * f, p.X * f, p.X2 * f, p.Y * f, p.Y2 * f, p.XY * f}
}

func (p Paired) merge(o Paired) Paired {
	return Paired{p.N + o.N, p.X + o.X, p.X2 + o.X2, p.Y + o.Y, p.Y2 + o.Y2, p.XY + o.XY}
}

func (p Paired) add(x, y float64) Paired {
	return p.scale(1 - 1.0/memory).merge(Paired{1, x, x * x, y, y * y, x * y})
}

func (a Answers) scale(f float64) Answers { return Answers{a.N * f, a.X * f, a.X2 * f, a.Without * f} }

func (a Answers) merge(o Answers) Answers {
	return Answers{a.N + o.N, a.X + o.X, a.X2 + o.X2, a.Without + o.Without}
}

// add discounts the older answers and adds newer ones.
func (a Answers) add(o Answers) Answers {
	return a.scale(math.Exp(-(o.N + o.Without) / answersMemory)).merge(o)
}

// line is a regression of ratings on confidence: y = meanY + slope * (x - meanX).
type line struct {
	meanX, meanY, slope float64
	sxx                 float64 // sum of squares of x about its mean
	residual            float64 // sum of squares of y about the line
}

func (p Paired) line() (l line, ok bool) {
	if p.N < minPaired {
		return l, false
	}
	l.meanX, l.meanY = p.X/p.N, p.Y/p.N
	l.sxx = p.X2 - p.N*l.meanX*l.meanX
	if l.sxx < p.N*minSpread {
		return l, false
	}
	sxy := p.XY - p.N*l.meanX*l.meanY
	l.slope = sxy / l.sxx
	l.residual = max(0, p.Y2-p.N*l.meanY*l.meanY-l.slope*sxy)
	return l, true
}

// expect returns the quality that is assumed of a cell before its own ratings suffice: the declared one, corrected by the
// confidence of its answers, which is known at once and for each answer.
func (l line) expect(a Answers, declared float64) float64 {
	if a.N == 0 || a.Without > maxWithout*(a.N+a.Without) {
		return declared
	}
	expected := min(1, max(0, l.meanY+l.slope*(a.X/a.N-l.meanX)))
	return (priorAnswers*declared + a.N*expected) / (priorAnswers + a.N)
}

// controlled returns the mean rating by regression on the confidence, at the mean confidence of all answers, and the
// square of its standard error: that of the rated answers about the line, more if their mean confidence differs from that
// of all answers, and that of the mean confidence of all answers.
func (c Cell) controlled() (mean, variance float64, ok bool) {
	p, a := c.Paired, c.Answers
	l, ok := p.line()
	if !ok || a.N < p.N || a.Without > maxWithout*(a.N+a.Without) {
		return 0, 0, false
	}
	meanX := a.X / a.N
	shift, spread := meanX-l.meanX, max(0, a.X2/a.N-meanX*meanX)
	residual := (l.residual + priorWeight*priorVariance) / (p.N + priorWeight - 2)
	return l.meanY + l.slope*shift, residual*(1/p.N+shift*shift/l.sxx) + l.slope*l.slope*spread/a.N, true
}

// MarshalJSON implements json.Marshaler with half of the digits, because the summary is spread to all daemons.
func (p Paired) MarshalJSON() ([]byte, error) {
	return json.Marshal([6]float32{float32(p.N), float32(p.X), float32(p.X2), float32(p.Y), float32(p.Y2), float32(p.XY)})
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *Paired) UnmarshalJSON(data []byte) error {
	var v [6]float64
	if err := json.Unmarshal(data, &v); err != nil {
		return err
	}
	*p = Paired{v[0], v[1], v[2], v[3], v[4], v[5]}
	return nil
}

// MarshalJSON implements json.Marshaler, see Paired.MarshalJSON.
func (a Answers) MarshalJSON() ([]byte, error) {
	return json.Marshal([4]float32{float32(a.N), float32(a.X), float32(a.X2), float32(a.Without)})
}

// UnmarshalJSON implements json.Unmarshaler.
func (a *Answers) UnmarshalJSON(data []byte) error {
	var v [4]float64
	if err := json.Unmarshal(data, &v); err != nil {
		return err
	}
	*a = Answers{v[0], v[1], v[2], v[3]}
	return nil
}
