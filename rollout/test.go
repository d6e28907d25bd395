package rollout

import "math"

const (
	// FalseAlarmRate bounds the part of roll-outs of sound versions that are halted.
	FalseAlarmRate = 0.01
	// ceiling is the failure rate up to which a new version counts as sound when no old version answers beside it.
	ceiling = 0.1
	// fewOld is the number of calls of the new version for each call of the old one beyond which the new version is held
	// to ceiling instead.
	fewOld = 20
	// alternatives is the number of alternatives of each hypothesis.
	alternatives = 4
)

// hypothesis is what the test holds a new version to.
type hypothesis struct {
	// tolerance is the odds ratio of failures, new to old version, up to which a new version counts as sound.
	tolerance float64
	// alternatives are the odds ratios that the test is good at telling from tolerance.
	alternatives [alternatives]float64
	// alone adds a test against ceiling for times at which only the new version answers.
	alone bool
}

// ceilingAlternatives are the failure rates that the test is good at telling from ceiling.
var ceilingAlternatives = [alternatives]float64{0.15, 0.25, 0.5, 0.9}

// alternativeWeights sum to 1. The second and third alternative have to stop a version that fails a tenth to a quarter of its
// answers.
var alternativeWeights = ratios{0.1, 0.35, 0.4, 0.15}

// outcome counts calls of one version.
type outcome struct{ calls, failed uint64 }

// ratios holds the logarithm of a likelihood ratio for each alternative.
type ratios [alternatives]float64

// compare returns the likelihood ratios of a block of calls that both versions answered within the same time. They are
// those of the new version's part in the block's failures, given their number (non-central hypergeometric). The common
// rate of failures cancels out, so that it may change from block to block: an outage that hits both versions is no
// evidence. If the new version's calls fail independently, with odds of at most tolerance times the old version's, their
// expected value is at most 1. Without failures of the new version they are at most 1.
func (h *hypothesis) compare(old, new outcome) (r ratios) {
	few := old.calls < new.calls/fewOld // too few calls of the old version to compare with
	switch {
	case new.calls == 0:
	case !few && old.failed+new.failed > 0:
		base := logNormaliser(old, new, h.tolerance)
		for i, a := range h.alternatives {
			r[i] = float64(new.failed)*math.Log(a/h.tolerance) - logNormaliser(old, new, a) + base
		}
	case few && h.alone:
		for i, p := range ceilingAlternatives {
			failed, fine := float64(new.failed), float64(new.calls-min(new.calls, new.failed))
			r[i] = failed*math.Log(p/ceiling) + fine*math.Log((1-p)/(1-ceiling))
		}
	}
	return r
}

// logMean returns the logarithm of the weighted mean over the alternatives.
func (r ratios) logMean() float64 {
	largest := max(r[0], r[1], r[2], r[3])
	if math.IsInf(largest, -1) {
		return largest
	}
	sum := 0.0
	for i, l := range r {
		sum += alternativeWeights[i] * math.Exp(l-largest)
	}
	return largest + math.Log(sum)
}

// plus returns the product of the ratios.
func (r ratios) plus(o ratios) ratios {
	for i := range r {
		r[i] += o[i]
	}
	return r
}

// logNormaliser returns the logarithm of the sum over all possible numbers j of failures of the new version of
// choose(new.calls, j) * choose(old.calls, failures-j) * odds^j, relative to the first term's binomials.
func logNormaliser(old, new outcome, odds float64) float64 {
	failures := old.failed + new.failed
	low := uint64(0)
	if failures > old.calls {
		low = failures - old.calls
	}
	high := min(failures, new.calls)
	term := float64(low) * math.Log(odds)
	largest, sum := term, 1.0
	for j := low; j < high; j++ {
		up := float64(new.calls-j) * float64(failures-j)
		down := float64(j+1) * float64(old.calls+j+1-failures)
		term += math.Log(up/down) + math.Log(odds)
		if term > largest {
			sum = sum*math.Exp(largest-term) + 1
			largest = term
		} else {
			sum += math.Exp(term - largest)
		}
	}
	return largest + math.Log(sum)
}
