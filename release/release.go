// Package release decides how a service's requests shift to endpoints that run a new version of its software: which share
// of the sessions is in the canary, when all requests follow, and when the release is rolled back. Decisions are pure
// functions of the evidence that all daemons report.
package release

import (
	"time"

	"github.com/bramleytrail/bramleytrail/object"
)

const (
	// canaryShare is the part of the operators' exposure limit that the canary uses. The rest is a reserve for daemons that
	// have not received a decision yet.
	canaryShare = 0.6
	// promoteAt is the part of the release's duration after which a healthy version gets all requests; completeAt is the
	// part after which the old endpoints may be removed. Streams that began on them end in between.
	promoteAt, completeAt = 0.52, 0.78
	// minAnswers is the number of answers of the new version that are required to promote it.
	minAnswers = 10
	// minFailures is the number of failures that are required to roll a version back for its failure rate.
	minFailures = 3
	// failureExcess is the difference between the versions' failure rates at which the new one is rolled back.
	failureExcess = 0.15
	// latencyRatio is the ratio of the versions' mean latencies at which the new one is rolled back. Endpoints that have
	// just started are slower for some seconds, but by less than this.
	latencyRatio = 3.0
	// minLatencyAnswers is the number of successful answers of the new version that are required to compare latencies.
	minLatencyAnswers = 8
)

// Counts holds the results of one version's answers.
type Counts struct {
	Answers  int64
	Failures int64
	Latency  time.Duration // sum over the answers that did not fail
}

// Add adds o to c.
func (c *Counts) Add(o Counts) {
	c.Answers += o.Answers
	c.Failures += o.Failures
	c.Latency += o.Latency
}

// failureRate returns the share of answers that failed, 0 without answers.
func (c Counts) failureRate() float64 {
	if c.Answers == 0 {
		return 0
	}
	return float64(c.Failures) / float64(c.Answers)
}

// MeanLatency returns the mean over the successful answers, 0 if there are none.
func (c Counts) MeanLatency() time.Duration {
	if ok := c.Answers - c.Failures; ok > 0 {
		return c.Latency / time.Duration(ok)
	}
	return 0
}

// Evidence holds the results of both versions during a release, of one or more daemons.
type Evidence struct{ New, Old Counts }

// Encode returns the evidence in the form in which messages carry it.
func (e Evidence) Encode() [6]int64 {
	return [6]int64{e.New.Answers, e.New.Failures, int64(e.New.Latency), e.Old.Answers, e.Old.Failures, int64(e.Old.Latency)}
}

// DecodeEvidence decodes the result of Encode. It returns false for impossible counts.
func DecodeEvidence(n [6]int64) (Evidence, bool) {
	e := Evidence{Counts{n[0], n[1], time.Duration(n[2])}, Counts{n[3], n[4], time.Duration(n[5])}}
	for _, c := range []Counts{e.New, e.Old} {
		if c.Answers < 0 || c.Failures < 0 || c.Failures > c.Answers || c.Latency < 0 {
			return Evidence{}, false
		}
	}
	return e, true
}

// Add adds o to e.
func (e *Evidence) Add(o Evidence) {
	e.New.Add(o.New)
	e.Old.Add(o.Old)
}

// Regressed reports whether the new version fails clearly more often than the old one, or is much slower.
func (e Evidence) Regressed() bool {
	if e.New.Failures >= minFailures && e.New.failureRate() >= e.Old.failureRate()+failureExcess {
		return true
	}
	succeeded := e.New.Answers - e.New.Failures
	oldLatency := e.Old.MeanLatency()
	return succeeded >= minLatencyAnswers && oldLatency > 0 && float64(e.New.MeanLatency()) >= latencyRatio*float64(oldLatency)
}

// Phase is the progress of a release. Its values are sent and stored.
type Phase string

// Phases of a release. The comments say which requests the new version gets.
const (
	Canary    Phase = "trial"     // those of a share of the sessions
	Promoted  Phase = "moved"     // all, while the old endpoints finish their streams
	Completed Phase = "completed" // all; the old endpoints may be removed
	Reverted  Phase = "reverted"  // none
)

// NextPhase returns the phase that follows p, or p itself if it is not over. Elapsed is the time since the release was
// ordered.
func NextPhase(p Phase, e Evidence, r *object.Release, elapsed time.Duration) Phase {
	if p == Completed || p == Reverted {
		return p
	}
	if e.Regressed() {
		return Reverted
	}
	fraction := float64(elapsed) / float64(max(1, r.Duration))
	switch {
	case p == Canary && fraction >= promoteAt && e.New.Answers >= minAnswers:
		return Promoted
	case p == Promoted && fraction >= completeAt:
		return Completed
	}
	return p
}

// InCanary reports whether a session belongs to the share that goes to the new version first. Exposure is the operators'
// limit of that share, in [0, 1]. All daemons get the same result.
func InCanary(session uint64, exposure float64) bool {
	return float64(mixBits(session)>>11)/(1<<53) < canaryShare*exposure
}

// mixBits distributes session IDs that are not random over all values. It is the finalizer of SplitMix64.
func mixBits(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
