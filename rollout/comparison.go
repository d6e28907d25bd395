package rollout

import "math"

const (
	// FalseAlarmRate is the largest share of rollouts of healthy versions that may be halted.
	FalseAlarmRate = 0.01
	// maxFailureRate is the failure rate up to which a new version counts as healthy when no old version answers at the
	// same time.
	maxFailureRate = 0.1
	// maxNewPerOld is the number of calls of the new version per call of the old one beyond which the new version is
	// compared with maxFailureRate instead of the old version.
	maxNewPerOld = 20
)

// hypothesis states when a new version counts as healthy by one metric.
type hypothesis struct {
	// tolerance is the odds ratio of failures, new to old version, up to which a new version counts as healthy.
	tolerance float64
	// alternatives are the odds ratios that the test is most sensitive to.
	alternatives [4]float64
	// absolute adds a test against maxFailureRate for times at which only the new version answers.
	absolute bool
}

// absoluteAlternatives are the failure rates above maxFailureRate that the absolute test is most sensitive to.
var absoluteAlternatives = [...]float64{0.15, 0.25, 0.5, 0.9}

// outcome holds the number of calls of one version, and how many of them failed by the metric.
type outcome struct{ calls, failed uint64 }

// comparison is an e-process for the hypothesis that the new version's odds of failure are at most tolerance times the
// old one's. Each block of calls contributes the likelihood ratio of the new version's share of the block's failures,
// given their number (noncentral hypergeometric distribution). The common failure rate cancels out, so that it may change
// from block to block: an outage that hits both versions equally is no evidence against the new one. Under the hypothesis,
// the expected value of the process is at most 1 at any time, so that the probability that it ever exceeds x is at most
// 1/x.
type comparison struct {
	logRelative [4]float64                         // logarithm of the likelihood ratio for each of the alternatives
	logAbsolute [len(absoluteAlternatives)]float64 // the same for each of absoluteAlternatives
}

// add adds a block of calls that both versions answered in the same period.
func (c *comparison) add(h *hypothesis, old, new outcome) {
	tooFewOld := old.calls < new.calls/maxNewPerOld // too few to compare with
	switch {
	case new.calls == 0:
	case !tooFewOld && old.failed+new.failed > 0:
		base := logNormaliser(old, new, h.tolerance)
		for i, a := range h.alternatives {
			c.logRelative[i] += float64(new.failed)*math.Log(a/h.tolerance) - logNormaliser(old, new, a) + base
		}
	case tooFewOld && h.absolute:
		for i, p := range absoluteAlternatives {
			failed, succeeded := float64(new.failed), float64(new.calls-min(new.calls, new.failed))
			c.logAbsolute[i] += failed*math.Log(p/maxFailureRate) + succeeded*math.Log((1-p)/(1-maxFailureRate))
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

// eValue returns the mean e-value over the alternatives of each test, averaged over the relative and the absolute test
// with equal weights.
func (c *comparison) eValue() float64 {
	relative, absolute := 0.0, 0.0
	for _, l := range c.logRelative {
		relative += math.Exp(l) / float64(len(c.logRelative))
	}
	for _, l := range c.logAbsolute {
		absolute += math.Exp(l) / float64(len(c.logAbsolute))
	}
	return (relative + absolute) / 2
}
