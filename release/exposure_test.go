package release

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/object"
)

// simulation plays the requests of a service during a release. Each route has its own rate and its own failure rate.
type simulation struct {
	rng      *rand.Rand
	rate     float64 // requests a second
	duration time.Duration
	version  badVersion
	// outlier is the number of the new version's endpoint that fails half of its requests whatever the version; -1 for none.
	outlier int
}

// badVersion says which answers of the new version are bad. The zero value is a sound version.
type badVersion struct {
	failing   float64 // share of the answers that fail
	slow      float64 // share of the answers that take slowFactor times as long
	route     int     // route that is affected; -1 for all
	from      float64 // part of the duration from which answers are bad
	underLoad bool    // only while the version gets all requests
}

const (
	simRoutes     = 3
	simEndpoints  = 3
	slowFactor    = 8
	exposureShare = 0.15
	exposureSlack = 30
	// detectionLimit is the time after the 50th bad answer from which the version must get no request.
	detectionLimit = 5 * time.Second
	// promptEvaluation is the time between two evaluations of the release.
	promptEvaluation = 300 * time.Millisecond
)

var oldFailureRates = [simRoutes]float64{0.004, 0.14, 0}

// outcome is what callers got until some time after the deadline.
type outcome struct {
	requests, exposed int // between the order and the deadline
	afterLimit        int // requests of the new version later than detectionLimit after its 50th bad answer
	phase             Phase
	completedAt       time.Duration
}

// run plays the release, and as long again after its deadline.
func (s simulation) run() outcome {
	var out outcome
	r := newRecorder(s.duration)
	phase := Canary
	nextEvaluation := promptEvaluation
	badAnswers, fiftieth := 0, time.Duration(0)
	for at := time.Duration(0); at < 2*s.duration; at += time.Duration(s.rng.ExpFloat64() / s.rate * float64(time.Second)) {
		for at >= nextEvaluation {
			if next := r.next(phase, nextEvaluation); next != phase {
				phase = next
				if phase == Completed {
					out.completedAt = nextEvaluation
				}
			}
			nextEvaluation += promptEvaluation
		}
		isNew := phase == Promoted || phase == Completed || phase == Canary && InCanary(s.rng.Uint64(), false, exposureShare)
		route := s.rng.IntN(simRoutes)
		failed, latency := s.rng.Float64() < oldFailureRates[route], time.Duration((20+20*s.rng.ExpFloat64())*float64(time.Millisecond))
		endpoint := s.rng.IntN(simEndpoints)
		if isNew && s.bad(at, route, phase) {
			failed = failed || s.rng.Float64() < s.version.failing
			slow := s.rng.Float64() < s.version.slow
			if slow {
				latency *= slowFactor
			}
			if failed || slow {
				if badAnswers++; badAnswers == 50 {
					fiftieth = at
				}
			}
		}
		if isNew && endpoint == s.outlier {
			failed = failed || s.rng.IntN(2) == 0
		}
		r.record(isNew, route, endpoint, failed, latency)
		if at < s.duration {
			out.requests++
			if isNew {
				out.exposed++
			}
		}
		if isNew && fiftieth > 0 && at > fiftieth+detectionLimit {
			out.afterLimit++
		}
	}
	out.phase = phase
	return out
}

func (s simulation) bad(at time.Duration, route int, phase Phase) bool {
	v := s.version
	return (v.failing > 0 || v.slow > 0) && (v.route < 0 || v.route == route) && at.Seconds() >= v.from*s.duration.Seconds() && (!v.underLoad || phase != Canary)
}

// badVersions holds versions that are bad in different ways, all of them before their deadline but the last.
var badVersions = map[string]badVersion{
	"errors":           {failing: 0.3, route: -1},
	"few errors":       {failing: 0.08, route: -1},
	"slow":             {slow: 0.3, route: -1},
	"late":             {failing: 0.4, route: -1, from: 0.5},
	"one route":        {failing: 0.4, route: 2},
	"under load":       {failing: 0.1, route: -1, underLoad: true},
	"slow under load":  {slow: 0.3, route: -1, underLoad: true},
	"bad after it all": {failing: 0.4, route: -1, from: 1.5},
}

// eachBadVersion plays the release of each bad version at several rates.
func eachBadVersion(check func(name string, v badVersion, out outcome)) {
	for name, v := range badVersions {
		for _, rate := range []float64{2, 28, 300} {
			for seed := range uint64(20) {
				s := simulation{rng: rand.New(rand.NewPCG(seed, uint64(rate))), rate: rate, duration: 18 * time.Second, version: v, outlier: -1}
				check(fmt.Sprintf("%s, %v requests a second, seed %d", name, rate, seed), v, s.run())
			}
		}
	}
}

// Guards against versions that reach more requests than operators allow because the test has not recognised them, or not yet.
func TestBadVersionStaysWithinExposure(t *testing.T) {
	eachBadVersion(func(name string, _ badVersion, out outcome) {
		if allowed := exposureShare*float64(out.requests) + exposureSlack; float64(out.exposed) > allowed {
			t.Errorf("%s: the version got %d of %d requests, %.0f allowed", name, out.exposed, out.requests, allowed)
		}
	})
}

// Guards against versions that stay in use long after callers got many bad answers.
func TestNoRequestsLongAfterBadAnswers(t *testing.T) {
	eachBadVersion(func(name string, v badVersion, out outcome) {
		if v.from < 1 && out.afterLimit > 0 {
			t.Errorf("%s: %d requests later than %v after the 50th bad answer", name, out.afterLimit, detectionLimit)
		}
	})
}

// eachSoundVersion plays the releases of sound versions, some of them with an endpoint that fails, and returns how often each result
// occurred in 100 runs.
func eachSoundVersion(t *testing.T, check func(t *testing.T, reverted, late int)) {
	for _, rate := range []float64{2, 28, 300} {
		for _, outlier := range []int{-1, 0} {
			t.Run(fmt.Sprintf("%v a second, outlier %d", rate, outlier), func(t *testing.T) {
				late, reverted := 0, 0
				for seed := range uint64(100) {
					s := simulation{rng: rand.New(rand.NewPCG(seed, uint64(rate))), rate: rate, duration: 18 * time.Second, outlier: outlier}
					switch out := s.run(); {
					case out.phase == Reverted:
						reverted++
					case out.phase != Completed || out.completedAt > s.duration:
						late++
					}
				}
				check(t, reverted, late)
			})
		}
	}
}

// Guards against sound versions that are taken back, by chance or for what one endpoint does.
func TestSoundVersionIsNotTakenBack(t *testing.T) {
	eachSoundVersion(t, func(t *testing.T, reverted, _ int) {
		if reverted > 2 {
			t.Errorf("%d of 100 sound versions were taken back", reverted)
		}
	})
}

// Guards against sound versions that are not completed in time.
func TestSoundVersionIsCompleted(t *testing.T) {
	eachSoundVersion(t, func(t *testing.T, _, late int) {
		if late > 10 {
			t.Errorf("%d of 100 sound versions were not completed in time", late)
		}
	})
}

// recorder collects the evidence of a simulation and decides on the release.
type recorder struct {
	release     *object.Release
	baseline    *Baseline
	evidence    Evidence
	atPromotion Evidence
	promotedAt  time.Duration
	requestsAt  []int64 // at each evaluation
}

func newRecorder(d time.Duration) *recorder {
	return &recorder{release: &object.Release{Service: "s", TargetVersion: "v2", Duration: d}, baseline: NewBaseline()}
}

func (r *recorder) record(isNew bool, route, endpoint int, failed bool, latency time.Duration) {
	a := Answer{Route: strconv.Itoa(route), Endpoint: strconv.Itoa(endpoint), New: isNew, Failed: failed}
	r.evidence.Requests++
	if isNew {
		r.evidence.Exposed++
		a.Latency = r.baseline.CompareLatency("s", a.Route, "", latency)
	} else if !failed {
		a.Scaled = r.baseline.CompareScaled("s", a.Route, "", latency)
		r.baseline.Add("s", a.Route, "", latency)
	}
	r.evidence.Record(a)
}

func (r *recorder) next(p Phase, elapsed time.Duration) Phase {
	r.requestsAt = append(r.requestsAt, r.evidence.Requests)
	first := max(0, len(r.requestsAt)-7)
	rate := float64(r.evidence.Requests-r.requestsAt[first]) / max(1, (time.Duration(len(r.requestsAt)-1-first)*promptEvaluation).Seconds())
	next := NextPhase(State{p, elapsed, r.evidence, r.atPromotion, r.promotedAt, rate, simEndpoints}, r.release, Limit{exposureShare, exposureSlack})
	if next == Promoted && p == Canary {
		r.atPromotion, r.promotedAt = r.evidence.Clone(), elapsed
	}
	return next
}
