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
)

// hypothesis is what the test holds a new version to.
type hypothesis struct {
	// tolerance is the odds ratio of failures, new to old version, up to which a new version counts as sound.
	tolerance float64
	// alternatives are the odds ratios that the test is good at telling from tolerance.
	alternatives [4]float64
	// alone adds a test against ceiling for times at which only the new version answers.
	alone bool
}

// ceilingAlternatives are the failure rates that the test is good at telling from ceiling.
var ceilingAlternatives = [...]float64{0.15, 0.25, 0.5, 0.9}

// outcome counts calls of one version.
type outcome struct{ calls, failed uint64 }

// comparison is an e-process for the hypothesis that the new version's odds of failure are at most tolerance times the
// old one's. Each block of calls contributes the likelihood ratio of the new version's part in the block's failures,
// given their number (non-central hypergeometric). The common rate of failures cancels out, so that it may change from
// block to block: an outage that hits both versions is no evidence. Under the hypothesis, the expected value of the
// process is at most 1 at any time, so that it exceeds x at some time with a probability of at most 1/x.
type comparison struct {
	odds    [4]float64 // logarithm of the likelihood ratio for each alternative
	ceiling [len(ceilingAlternatives)]float64
}

// add takes a block of calls that both versions answered within the same time.
func (c *comparison) add(h *hypothesis, old, new outcome) {
	few := old.calls < new.calls/fewOld // too few calls of the old version to compare with
	switch {
	case new.calls == 0:
	case !few && old.failed+new.failed > 0:
		base := logNormaliser(old, new, h.tolerance)
		for i, a := range h.alternatives {
			c.odds[i] += float64(new.failed)*math.Log(a/h.tolerance) - logNormaliser(old, new, a) + base
		}
	case few && h.alone:
		for i, p := range ceilingAlternatives {
			failed, fine := float64(new.failed), float64(new.calls-min(new.calls, new.failed))
			c.ceiling[i] += failed*math.Log(p/ceiling) + fine*math.Log((1-p)/(1-ceiling))
		}
	}
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

// value returns the e-value: the mean over the alternatives, and over the two tests, each with half of the weight.
func (c *comparison) value() float64 {
	odds, top := 0.0, 0.0
	for _, l := range c.odds {
		odds += math.Exp(l) / float64(len(c.odds))
	}
	for _, l := range c.ceiling {
		top += math.Exp(l) / float64(len(c.ceiling))
	}
	return (odds + top) / 2
}
