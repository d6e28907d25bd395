package quality

import (
	"encoding/json"
	"math"
)

const (
	// minPairs is the effective number of pairs of rating and confidence from which a regression is computed.
	minPairs = 20
	// minConfidenceVariance is the minimum variance of the confidence of rated answers. With less, the slope is
	// undetermined.
	minConfidenceVariance = 1e-4
	// answerDecayCount is the number of newer answers after which the weight of an answer has decayed to 1/e. A quarter of
	// the answers is rated, so answers and ratings decay over the same period.
	answerDecayCount = 4 * ratingDecayCount
	// minPooledPairs is the effective number of pairs, over all kinds and labels, from which the declared quality is
	// corrected by the confidence of a cell's answers.
	minPooledPairs = 100
	// priorAnswers is the weight of the declared quality in this correction, in answers.
	priorAnswers = 3
	// maxUnreportedShare is the share of answers without a reported confidence above which the other answers are not
	// considered representative.
	maxUnreportedShare = 0.05
)

// Paired holds the exponentially discounted sums over pairs of an answer's confidence (x) and rating (y).
type Paired struct{ N, X, X2, Y, Y2, XY float64 }

// Answers holds the exponentially discounted sums over the confidence (x) of all answers, rated or not.
type Answers struct {
	N, X, X2 float64
	Without  float64 // answers without a reported confidence; N does not include them
}

func (p Paired) scale(f float64) Paired {
	return Paired{p.N * f, p.X * f, p.X2 * f, p.Y * f, p.Y2 * f, p.XY * f}
}

func (p Paired) merge(o Paired) Paired {
	return Paired{p.N + o.N, p.X + o.X, p.X2 + o.X2, p.Y + o.Y, p.Y2 + o.Y2, p.XY + o.XY}
}

// add discounts the older pairs and adds one.
func (p Paired) add(x, y float64) Paired {
	return p.scale(1 - 1.0/ratingDecayCount).merge(Paired{1, x, x * x, y, y * y, x * y})
}

func (a Answers) scale(f float64) Answers { return Answers{a.N * f, a.X * f, a.X2 * f, a.Without * f} }

func (a Answers) merge(o Answers) Answers {
	return Answers{a.N + o.N, a.X + o.X, a.X2 + o.X2, a.Without + o.Without}
}

// add discounts the older answers and adds newer ones.
func (a Answers) add(o Answers) Answers {
	return a.scale(math.Exp(-(o.N + o.Without) / answerDecayCount)).merge(o)
}

// regression is the linear regression of ratings on confidence: y = meanY + slope*(x-meanX).
type regression struct {
	meanX, meanY, slope float64
	sxx                 float64 // sum of squared deviations of x from its mean
	residual            float64 // sum of squared residuals of y
}

// regression fits a line to the pairs. ok is false if there are fewer than minPairs or their confidence varies too
// little.
func (p Paired) regression() (fit regression, ok bool) {
	if p.N < minPairs {
		return fit, false
	}
	fit.meanX, fit.meanY = p.X/p.N, p.Y/p.N
	fit.sxx = p.X2 - p.N*fit.meanX*fit.meanX
	if fit.sxx < p.N*minConfidenceVariance {
		return fit, false
	}
	sxy := p.XY - p.N*fit.meanX*fit.meanY
	fit.slope = sxy / fit.sxx
	fit.residual = max(0, p.Y2-p.N*fit.meanY*fit.meanY-fit.slope*sxy)
	return fit, true
}

// expectedQuality returns the prior quality of a cell, used until its own ratings suffice: the declared quality,
// corrected by the confidence of the cell's answers. Unlike ratings, confidence is known immediately and for every
// answer.
func (r regression) expectedQuality(a Answers, declared float64) float64 {
	if a.N == 0 || a.Without > maxUnreportedShare*(a.N+a.Without) {
		return declared
	}
	expected := min(1, max(0, r.meanY+r.slope*(a.X/a.N-r.meanX)))
	return (priorAnswers*declared + a.N*expected) / (priorAnswers + a.N)
}

// regressionEstimate returns the mean rating predicted at the mean confidence of all answers, and the square of its
// standard error. The latter includes the residuals of the rated answers, the distance of their mean confidence from
// that of all answers, and the standard error of the mean confidence of all answers. ok is false if the confidence is
// not known of enough answers.
func (c Cell) regressionEstimate() (mean, variance float64, ok bool) {
	paired, answers := c.Paired, c.Answers
	fit, ok := paired.regression()
	if !ok || answers.N < paired.N || answers.Without > maxUnreportedShare*(answers.N+answers.Without) {
		return 0, 0, false
	}
	meanX := answers.X / answers.N
	xShift, xVariance := meanX-fit.meanX, max(0, answers.X2/answers.N-meanX*meanX)
	residual := (fit.residual + priorWeight*priorVariance) / (paired.N + priorWeight - 2)
	return fit.meanY + fit.slope*xShift, residual*(1/paired.N+xShift*xShift/fit.sxx) + fit.slope*fit.slope*xVariance/answers.N, true
}

// MarshalJSON implements json.Marshaler. It encodes 32-bit floats, with half the digits, because the summary is sent to
// all daemons.
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

// MarshalJSON implements json.Marshaler in the manner of Paired.MarshalJSON.
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
