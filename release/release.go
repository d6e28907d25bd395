// Package release decides how a service's requests move to endpoints that run another version of its software: which
// share of the sessions goes there first, when all follow, and when the release is taken back. The decisions are pure;
// evidence comes from all daemons.
package release

import (
	"time"

	"github.com/bramleytrail/bramleytrail/object"
)

const (
	// trialShare is the part of the operators' exposure limit that the first step uses; the rest is for daemons that have
	// not heard of a decision yet.
	trialShare = 0.6
	// decideAt is the part of the duration after which a sound version gets all requests, completeAt the part after which
	// the old endpoints may go. Streams that began on them end in between.
	decideAt, completeAt = 0.52, 0.78
	// minAnswers is the number of answers of the new version without which it is not taken for sound.
	minAnswers = 10
	// minFailures is the number of failures from which a version may be taken for bad.
	minFailures = 3
	// failExcess is the difference between the versions' shares of failures from which the new one is taken for bad.
	failExcess = 0.15
	// slowRatio is the ratio of the mean latencies from which the new version is taken for bad. Endpoints that have just
	// started are slower for some seconds, but not so much.
	slowRatio = 3.0
	// minSlow is the number of answers from which the latency counts.
	minSlow = 8
)

// Counts are the answers of one version.
type Counts struct {
	Answers  int64
	Failures int64
	Latency  time.Duration // sum over the answers that did not fail
}

// Add adds other counts.
func (c *Counts) Add(o Counts) {
	c.Answers += o.Answers
	c.Failures += o.Failures
	c.Latency += o.Latency
}

func (c Counts) failing() float64 {
	if c.Answers == 0 {
		return 0
	}
	return float64(c.Failures) / float64(c.Answers)
}

func (c Counts) mean() time.Duration {
	if ok := c.Answers - c.Failures; ok > 0 {
		return c.Latency / time.Duration(ok)
	}
	return 0
}

// Evidence is what daemons have seen of a release.
type Evidence struct{ New, Old Counts }

// Numbers returns the evidence as numbers, for messages.
func (e Evidence) Numbers() [6]int64 {
	return [6]int64{e.New.Answers, e.New.Failures, int64(e.New.Latency), e.Old.Answers, e.Old.Failures, int64(e.Old.Latency)}
}

// FromNumbers returns the evidence of a message. Numbers that no daemon can have are not evidence.
func FromNumbers(n [6]int64) (Evidence, bool) {
	e := Evidence{Counts{n[0], n[1], time.Duration(n[2])}, Counts{n[3], n[4], time.Duration(n[5])}}
	for _, c := range []Counts{e.New, e.Old} {
		if c.Answers < 0 || c.Failures < 0 || c.Failures > c.Answers || c.Latency < 0 {
			return Evidence{}, false
		}
	}
	return e, true
}

// Add adds other evidence.
func (e *Evidence) Add(o Evidence) {
	e.New.Add(o.New)
	e.Old.Add(o.Old)
}

// Bad reports whether the new version fails more often than the old one, or answers much later.
func (e Evidence) Bad() bool {
	if e.New.Failures >= minFailures && e.New.failing() >= e.Old.failing()+failExcess {
		return true
	}
	ok := e.New.Answers - e.New.Failures
	old := e.Old.mean()
	return ok >= minSlow && old > 0 && float64(e.New.mean()) >= slowRatio*float64(old)
}

// Phase is how far a release has got.
type Phase string

// Phases of a release.
const (
	Trial     Phase = "trial"     // a share of the sessions
	Moved     Phase = "moved"     // all requests
	Completed Phase = "completed" // the old endpoints are gone
	Reverted  Phase = "reverted"  // no requests
)

// Next returns the phase that follows, given the time since the order.
func Next(p Phase, e Evidence, r *object.Release, elapsed time.Duration) Phase {
	if p == Completed || p == Reverted {
		return p
	}
	if e.Bad() {
		return Reverted
	}
	part := float64(elapsed) / float64(max(1, r.Duration))
	switch {
	case p == Trial && part >= decideAt && e.New.Answers >= minAnswers:
		return Moved
	case p == Moved && part >= completeAt:
		return Completed
	}
	return p
}

// OnTrial reports whether a session belongs to the share that goes to the new version first.
func OnTrial(session uint64, exposure float64) bool {
	return float64(mix(session)>>11)/(1<<53) < trialShare*exposure
}

// mix spreads identities that are not random, with the finalizer of SplitMix64.
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
