package cachemove

import (
	"math"
	"time"
)

const (
	// keep is the weight that a sample loses to each newer one; half of the weight is in the last 23 samples.
	keep = 0.97
	// leastSamples is the number of first tokens, or of moves, from which a rate is known. Below it, one first token that
	// waited in the engine's queue decides the slope.
	leastSamples = 6
	// leastWeight is less than the weight of that number of samples, which fade from the first one on.
	leastWeight = leastSamples - 0.5
	// leastSpread is the least standard deviation of sizes, as a part of their mean, from which a slope is computed.
	leastSpread = 0.2
	// lostWeight is the weight of the newest move in the mean time that moves lose by failing.
	lostWeight = 0.1
)

// line fits y = base + slope·x by least squares. Older samples count less.
type line struct{ n, x, y, xx, xy float64 }

func (l *line) add(x, y float64) {
	*l = line{l.n*keep + 1, l.x*keep + x, l.y*keep + y, l.xx*keep + x*x, l.xy*keep + x*y}
}

// slope returns false if the samples are too few or too much alike.
func (l *line) slope() (float64, bool) {
	if l.n < 2 {
		return 0, false
	}
	mean := l.x / l.n
	variance := l.xx/l.n - mean*mean
	if variance < math.Pow(leastSpread*mean, 2) || variance <= 0 {
		return 0, false
	}
	return max(0, (l.xy/l.n-mean*l.y/l.n)/variance), true
}

// at estimates y. Without a slope it errs upwards: it takes y for proportional to x above the mean sample, and for
// constant below.
func (l *line) at(x float64) float64 {
	meanX, meanY := l.x/l.n, l.y/l.n
	if slope, ok := l.slope(); ok {
		return max(meanY+slope*(x-meanX), slope*x)
	}
	return meanY * max(1, x/meanX)
}

// rates are the measured rates of one version of a service.
type rates struct {
	prefill   line // seconds by tokens, of prompts that the endpoint did not hold
	prefillAt time.Time
	controlAt time.Time
	size      line    // bytes by tokens
	paths     [2]path // within a failure domain, and between two
}

// path holds what is known of moves over the same distance.
type path struct {
	move    line    // seconds by bytes
	lost    float64 // mean seconds that a move loses by failing
	movedAt time.Time
	trialAt time.Time
}

// trialDue reports whether another move is needed to know the rates: those of one size say little about others.
func (p *path) trialDue(now time.Time) bool {
	known := p.move.n >= leastWeight && now.Sub(p.movedAt) <= ratesAge
	return !known && now.Sub(p.trialAt) > trialEvery
}

// prefillRate returns the seconds that a token of a prompt takes.
func (r *rates) prefillRate() (float64, bool) {
	if r.prefill.n < leastWeight {
		return 0, false
	}
	return r.prefill.slope()
}

// estimate returns what the rates say of a cache of some tokens.
func (r *rates) estimate(p *path, tokens int64) Estimate {
	var e Estimate
	e.TokenPrefill, e.PrefillKnown = r.prefillRate()
	if r.size.n > 0 {
		e.Bytes = int64(r.size.at(float64(tokens)))
	}
	if p.move.n > 0 && r.size.n > 0 {
		e.MoveKnown = true
		e.Move = seconds(p.move.at(float64(e.Bytes)) + p.lost)
	}
	return e
}

// ended learns from a move that began. Size is -1 if the source did not state it.
func (r *rates) ended(p *path, rep *Report, size int64, now time.Time) {
	took := rep.Took.Seconds()
	if size < 0 && rep.Outcome == Moved || rep.Outcome == Oversized {
		size = max(size, rep.Bytes)
	}
	if size > 0 {
		r.size.add(float64(rep.Tokens), float64(size))
	}
	switch rep.Outcome {
	case Moved:
		p.lost *= 1 - lostWeight
		p.move.add(float64(rep.Bytes), took)
		p.movedAt = now
	case Cancelled:
	case TimedOut:
		if size <= 0 || rep.Bytes == 0 {
			p.lose(took)
			return
		}
		p.move.add(float64(size), took*float64(size)/float64(rep.Bytes)) // the part that came shows the rate
		p.movedAt = now
	default:
		p.lose(took)
	}
}

// lose counts a move that failed and says nothing about the rate.
func (p *path) lose(took float64) { p.lost += lostWeight * (took - p.lost) }

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}

// maxSeconds bounds estimates, so that they fit in a time.Duration.
const maxSeconds = 3600
