package cachemove

import (
	"math"
	"time"
)

const (
	// sampleDecay is the factor by which each new sample reduces the weight of the older ones. The last 23 samples have half
	// of the total weight.
	sampleDecay = 0.97
	// minSamples is the number of first tokens, or of moves, from which a rate counts as known. With fewer, one first token
	// that waited in the engine's queue determines the slope.
	minSamples = 6
	// minWeight is slightly less than the total weight of minSamples samples, since the older ones have decayed.
	minWeight = minSamples - 0.5
	// minSpread is the least standard deviation of the sizes, as a fraction of their mean, from which a slope is computed.
	minSpread = 0.2
	// failureWeight is the weight of the newest move in the moving average of the time lost by failed moves.
	failureWeight = 0.1
)

// regression fits y = base + slope·x by least squares with exponentially decaying weights. It holds the weighted sums of
// the samples; n is the total weight.
type regression struct{ n, x, y, xx, xy float64 }

func (r *regression) add(x, y float64) {
	*r = regression{r.n*sampleDecay + 1, r.x*sampleDecay + x, r.y*sampleDecay + y, r.xx*sampleDecay + x*x, r.xy*sampleDecay + x*y}
}

// slope returns the slope, and false if there are too few samples or if their x differ too little.
func (r *regression) slope() (float64, bool) {
	if r.n < 2 {
		return 0, false
	}
	mean := r.x / r.n
	variance := r.xx/r.n - mean*mean
	if variance < math.Pow(minSpread*mean, 2) || variance <= 0 {
		return 0, false
	}
	return max(0, (r.xy/r.n-mean*r.y/r.n)/variance), true
}

// predict estimates y for x; there must be a sample. If the slope is unknown, the estimate errs upwards: y is treated as
// proportional to x above the mean x, and as constant below.
func (r *regression) predict(x float64) float64 {
	meanX, meanY := r.x/r.n, r.y/r.n
	if slope, ok := r.slope(); ok {
		return max(meanY+slope*(x-meanX), slope*x)
	}
	return meanY * max(1, x/meanX)
}

// rates holds the measured rates of one version of a service.
type rates struct {
	prefill           regression // seconds by tokens, of prompts that were not cached at the endpoint
	prefillMeasuredAt time.Time
	controlAt         time.Time
	size              regression   // bytes by tokens
	paths             [2]pathRates // within a failure domain, and between two of them
}

// pathRates holds what was measured on moves within a failure domain, or on those between two of them.
type pathRates struct {
	move        regression // seconds by bytes
	failureTime float64    // moving average of the seconds that failed moves cost, over all moves
	measuredAt  time.Time
	trialAt     time.Time
}

// trialDue reports whether a trial is needed to measure the rate of moves. It takes several, as moves of one size say little
// about other sizes.
func (p *pathRates) trialDue(now time.Time) bool {
	known := p.move.n >= minWeight && now.Sub(p.measuredAt) <= maxRateAge
	return !known && now.Sub(p.trialAt) > trialInterval
}

// prefillRate returns the seconds that the prefill takes for each token of a prompt, and false if they are not known.
func (r *rates) prefillRate() (float64, bool) {
	if r.prefill.n < minWeight {
		return 0, false
	}
	return r.prefill.slope()
}

// estimate returns the estimated costs for a cache with a number of tokens.
func (r *rates) estimate(p *pathRates, tokens int64) Estimate {
	var e Estimate
	e.TokenPrefill, e.PrefillKnown = r.prefillRate()
	if r.size.n > 0 {
		e.Bytes = int64(r.size.predict(float64(tokens)))
	}
	if p.move.n > 0 && r.size.n > 0 {
		e.MoveKnown = true
		e.Move = seconds(p.move.predict(float64(e.Bytes)) + p.failureTime)
	}
	return e
}

// learnMove updates the rates with a move that has ended. Size is the size in bytes that the source stated, or -1.
func (r *rates) learnMove(p *pathRates, rep *Report, size int64, now time.Time) {
	took := rep.Took.Seconds()
	if size < 0 && rep.Outcome == Moved || rep.Outcome == Oversized {
		size = max(size, rep.Bytes)
	}
	if size > 0 {
		r.size.add(float64(rep.Tokens), float64(size))
	}
	switch rep.Outcome {
	case Moved:
		p.failureTime *= 1 - failureWeight
		p.move.add(float64(rep.Bytes), took)
		p.measuredAt = now
	case Cancelled:
	case TimedOut:
		if size <= 0 || rep.Bytes == 0 {
			p.addFailure(took)
			return
		}
		p.move.add(float64(size), took*float64(size)/float64(rep.Bytes)) // the data that arrived shows the rate
		p.measuredAt = now
	default:
		p.addFailure(took)
	}
}

// addFailure counts a failed move that gives no measurement of the rate; took is in seconds.
func (p *pathRates) addFailure(took float64) { p.failureTime += failureWeight * (took - p.failureTime) }

// seconds converts seconds to a duration of at most maxSeconds.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}

// maxSeconds bounds estimates, so that they fit into a time.Duration.
const maxSeconds = 3600
