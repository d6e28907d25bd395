package release

import (
	"math"
	"slices"
)

// A suspicion is the logarithm of the likelihood ratio between "the new version's answers are bad as often as counted" and "as
// often as the old version's". Each phase of a release ends below or above a level of it.
const (
	// revertSuspicion is reached by chance in about one of 10,000 evaluations of a sound version.
	revertSuspicion = 7.0
	// promoteSuspicion keeps a version in its canary phase, and completeSuspicion keeps a promoted one from its completion.
	promoteSuspicion, completeSuspicion = 4.0, 1.0
	// routePenalty is subtracted from the suspicion by one route alone, since there are several.
	routePenalty = 1.5
	// outlierShare is the largest part of the endpoint groups that may be outliers.
	outlierShare = 0.2
	// possibleOutlier and clearOutlier are logarithms of the likelihood ratio between an outlier and a group like the others.
	// A version is not taken back for the former, and not completed in spite of any but the latter.
	possibleOutlier, clearOutlier = 0.7, 3.0
	// fewGroups is the number of groups up to which possibleOutlier applies as it is. The worst of more groups is further from the others by
	// chance, and leaving out the worst 4 of 16 would hide a slow version.
	fewGroups = 3.0
	// singleGroupLimit bounds the suspicion while only one group of several endpoints has been tried.
	singleGroupLimit = 0.55 * revertSuspicion
	// minBad is the number of bad answers that are required, and minExcess by how much their share must be larger than expected.
	minBad, minExcess = 3, 0.04
	// tolerance is the difference in the share of bad answers that must be improbable before a version is completed, if it has
	// at least minProof answers.
	tolerance, minProof = 0.1, 12
	// slowTolerance takes the place of tolerance for late beginnings: among times of very unequal length, only half of the answers that
	// take five times as long are later than the limit.
	slowTolerance = 0.06
	// priorCalls is the weight of all routes' failure rate in that of one route, and priorFailures is added to its failures, so
	// that few calls of the old version count as uncertain.
	priorCalls, priorFailures = 4.0, 0.5
)

// Suspicion returns how much more likely the evidence is if the new version has regressed than if it is as good as the old one.
// endpoints is the number of usable endpoints of the new version.
func (e Evidence) Suspicion(endpoints int) float64 { return e.suspicion(endpoints, possibleOutlier) }

// suspicion is Suspicion without the groups that are outliers by the given evidence.
func (e Evidence) suspicion(endpoints int, outlier float64) float64 {
	all, byRoute := e.compare()
	suspicion := suspicionOf(all, endpoints, outlier)
	for _, groups := range byRoute {
		suspicion = max(suspicion, suspicionOf(groups, endpoints, outlier)-routePenalty)
	}
	return suspicion
}

// comparisons holds the comparisons of groups of endpoints.
type comparisons map[uint8]*comparison

// compare compares the new version's answers with the old one's, over all routes and by route.
func (e Evidence) compare() (all comparisons, byRoute map[uint32]comparisons) {
	rates, shares := e.failureRates(), e.slowShares()
	all, byRoute = comparisons{}, map[uint32]comparisons{}
	for key, c := range e.cells {
		if key.group == oldVersion || c == (Counts{}) {
			continue
		}
		if byRoute[key.route] == nil {
			byRoute[key.route] = comparisons{}
		}
		for _, groups := range []comparisons{all, byRoute[key.route]} {
			if groups[key.group] == nil {
				groups[key.group] = &comparison{}
			}
			groups[key.group].add(c, rates.of(key.route), key.route, shares)
		}
	}
	return all, byRoute
}

// failureRates holds the old version's failure rates.
type failureRates struct {
	routes map[uint32]float64
	other  float64 // of routes without calls
}

func (r failureRates) of(route uint32) float64 {
	if rate, ok := r.routes[route]; ok {
		return rate
	}
	return r.other
}

func (e Evidence) failureRates() failureRates {
	_, old := e.Totals()
	all := float64(old.Failures+1) / float64(old.Answers+2)
	r := failureRates{map[uint32]float64{}, all}
	for key, c := range e.cells {
		if key.group == oldVersion {
			r.routes[key.route] = (float64(c.Failures) + priorCalls*all + priorFailures) / (float64(c.Answers) + priorCalls + priorFailures)
		}
	}
	return r
}

// comparison compares the answers of a group of endpoints with those expected of the old version.
type comparison struct {
	failures, latencies tally
	intervals           drift
}

func (c *comparison) add(counts Counts, failureRate float64, route uint32, shares slowShares) {
	c.failures = c.failures.plus(tally{float64(counts.Answers), float64(counts.Failures), failureRate * float64(counts.Answers)})
	if timed := float64(counts.Latency.Timed); timed > 0 {
		c.latencies = c.latencies.plus(tally{timed, float64(counts.Latency.Slow), timed * shares.of(route, counts.Latency.Expected/timed)})
	}
	c.intervals = c.intervals.plus(drift{float64(counts.Interval.Timed), counts.Interval.Sum})
}

// sample is a sum over answers that can be compared with what is expected of the old version.
type sample[S any] interface {
	plus(S) S
	minus(S) S
	size() float64 // number of answers
	// logLikelihoodRatio compares the sample with what is expected of the old version. It is 0 for a sample that is as good.
	logLikelihoodRatio() float64
	// unlike compares the sample with the others of its version. It is 0 for a sample that is as good.
	unlike(others S) float64
	// isWorse reports whether the sample is more probable with tolerance more bad answers than expected.
	isWorse(tolerance float64) bool
}

// tally is a number of answers, how many of them were bad, and how many were expected to be.
type tally struct{ answers, bad, expected float64 }

func (t tally) size() float64 { return t.answers }

func (t tally) plus(o tally) tally {
	return tally{t.answers + o.answers, t.bad + o.bad, t.expected + o.expected}
}

func (t tally) minus(o tally) tally {
	return tally{t.answers - o.answers, t.bad - o.bad, t.expected - o.expected}
}

// logLikelihoodRatio compares the numbers of bad answers as Poisson variables.
func (t tally) logLikelihoodRatio() float64 {
	if t.bad < minBad || t.bad-t.expected < minExcess*t.answers {
		return 0
	}
	return t.poissonRatio()
}

func (t tally) poissonRatio() float64 {
	if t.bad <= t.expected || t.expected <= 0 {
		return 0
	}
	return t.bad*math.Log(t.bad/t.expected) - (t.bad - t.expected)
}

func (t tally) unlike(others tally) float64 {
	if others.expected <= 0 {
		return 0
	}
	return tally{t.answers, t.bad, max(1, others.bad/others.expected) * t.expected}.poissonRatio()
}

func (t tally) isWorse(tolerance float64) bool {
	more := tolerance * t.answers
	return t.expected > 0 && t.bad*math.Log1p(more/t.expected) > more
}

// drift is a number of standardized differences and their sum.
type drift struct{ n, sum float64 }

func (d drift) size() float64 { return d.n }

func (d drift) plus(o drift) drift { return drift{d.n + o.n, d.sum + o.sum} }

func (d drift) minus(o drift) drift { return drift{d.n - o.n, d.sum - o.sum} }

// logLikelihoodRatio compares the mean of the differences with 0, as a normal variable.
func (d drift) logLikelihoodRatio() float64 {
	if d.n < minBad || d.sum <= 0 {
		return 0
	}
	return d.sum * d.sum / (2 * d.n)
}

func (d drift) unlike(others drift) float64 {
	if others.n <= 0 {
		return 0
	}
	return drift{max(d.n, minBad), d.sum - max(0, others.sum/others.n)*d.n}.logLikelihoodRatio()
}

func (d drift) isWorse(float64) bool { return d.sum > 0 }

// samplesOf returns one sample of each group that has answers.
func samplesOf[S sample[S]](groups comparisons, of func(*comparison) S) (out []S) {
	for _, c := range groups {
		if s := of(c); s.size() > 0 {
			out = append(out, s)
		}
	}
	return out
}

func failuresOf(c *comparison) tally  { return c.failures }
func latenciesOf(c *comparison) tally { return c.latencies }
func intervalsOf(c *comparison) drift { return c.intervals }

// suspicionOf returns the largest one of the suspicions by failures, by late beginnings and by slow streams.
func suspicionOf(groups comparisons, endpoints int, outlier float64) float64 {
	return max(
		spreadSuspicion(samplesOf(groups, failuresOf), endpoints, outlier),
		spreadSuspicion(samplesOf(groups, latenciesOf), endpoints, outlier),
		spreadSuspicion(samplesOf(groups, intervalsOf), endpoints, outlier),
	)
}

// spreadSuspicion returns the suspicion by samples of endpoint groups. Groups that are worse than the others are left out, so that
// single endpoints don't make a version suspicious.
func spreadSuspicion[S sample[S]](groups []S, endpoints int, outlier float64) float64 {
	suspicion := withoutOutliers(groups, outlier).logLikelihoodRatio()
	if len(groups) == 1 && endpoints > 1 {
		return min(suspicion, singleGroupLimit)
	}
	return suspicion
}

// withoutOutliers returns the sum of the groups without those that are worse than the others: endpoints fail or turn slow by
// themselves, and say nothing about their version then. evidence is the logarithm of the likelihood ratio from which a group is
// one of them; they are at most outlierShare of all.
func withoutOutliers[S sample[S]](groups []S, evidence float64) (total S) {
	for _, g := range groups {
		total = total.plus(g)
	}
	evidence = max(evidence, possibleOutlier+math.Log(float64(len(groups))/fewGroups))
	left := slices.Clone(groups)
	for range int(math.Ceil(outlierShare * float64(len(groups)))) {
		worst, largest := -1, evidence
		for i, g := range left {
			if e := g.unlike(total.minus(g)); e >= largest {
				worst, largest = i, e
			}
		}
		if worst < 0 {
			break
		}
		total = total.minus(left[worst])
		left = slices.Delete(left, worst, worst+1)
	}
	return total
}

// Unproven reports whether a promoted version must not be completed yet: its answers raise a suspicion, even if only by endpoints
// that may be outliers, or they are more probable if it is bad more often than the old one, by tolerance. Few answers speak for
// neither.
func (e Evidence) Unproven(endpoints int) bool {
	if e.suspicion(endpoints, clearOutlier) >= completeSuspicion {
		return true
	}
	all, _ := e.compare()
	return unproven(samplesOf(all, failuresOf), tolerance) || unproven(samplesOf(all, latenciesOf), slowTolerance) || unproven(samplesOf(all, intervalsOf), tolerance)
}

func unproven[S sample[S]](groups []S, tolerance float64) bool {
	total := withoutOutliers(groups, clearOutlier)
	return total.size() >= minProof && total.isWorse(tolerance)
}
