package bench

import (
	"cmp"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/rollout"
)

const (
	// rolloutDaemons is the default of RolloutSpec.Daemons.
	rolloutDaemons       = 8
	evidenceInterval     = 10 * time.Second // between two reports of a daemon
	tickInterval         = 3 * time.Second  // between two evaluations by the daemon that holds the duty
	day                  = 24 * time.Hour
	baseFailureRate      = 0.01
	regressedFailureRate = 0.2       // see RolloutSpec.RegressesLate
	regressionDelay      = time.Hour // from the start of the last step
)

// simulationStart is the time at which simulated rollouts begin.
var simulationStart = time.Unix(1_000_000_000, 0)

// MaxHaltDelay is the time within which the rollout of a regressed version must halt once the evidence is sufficient.
const MaxHaltDelay = 20 * time.Second

// RolloutResult is the result of one simulated day of a rollout.
type RolloutResult struct {
	Seed     uint64  `json:"seed"`
	Requests int     `json:"requests"` // during the day
	Halted   bool    `json:"halted"`
	Exposed  float64 `json:"exposed"` // share of the day's requests that reached the new version
	Failed   int     `json:"failed"`  // answers of the new version that failed
	// Delay is the time from the moment at which the same test would halt the rollout if it saw every call immediately, until
	// the halt. It is in nanoseconds, and 0 if that test had not halted the rollout before.
	Delay time.Duration `json:"delay"`
	Step  int           `json:"step"` // index of the last step that was reached
	// RegressedTime is the time from the late regression of the version until the halt or the end of the day; 0 without a
	// late regression.
	RegressedTime time.Duration `json:"badNanoseconds"`
}

// RolloutSpec describes simulated rollouts.
type RolloutSpec struct {
	Requests    int     // per day
	FailureRate float64 // of the new version; that of the old one is baseFailureRate
	PoorRate    float64 // share of the new version's ratings that are poor; that of the old one is 0.1
	Daemons     int     // rolloutDaemons if 0
	Bursts      BurstKind
	// RegressesLate raises the failure rate of the new version to regressedFailureRate once its rollout has been at the last
	// step for regressionDelay.
	RegressesLate bool
}

// RegressedVersion is a new version that fails a fifth of its requests.
var RegressedVersion = RolloutSpec{Requests: 100_000, FailureRate: 0.2, PoorRate: 0.1}

// RegressedVersionManyDaemons is RegressedVersion with the same load distributed over 60 daemons.
var RegressedVersionManyDaemons = RolloutSpec{Requests: 100_000, FailureRate: 0.2, PoorRate: 0.1, Daemons: 60}

// HealthyVersion is a new version that is as good as the old one.
var HealthyVersion = RolloutSpec{Requests: 100_000, FailureRate: baseFailureRate, PoorRate: 0.1}

// CommonBursts and SeparateBursts are healthy versions during bursts of failures, see BurstKind.
var (
	CommonBursts   = RolloutSpec{Requests: 100_000, FailureRate: baseFailureRate, PoorRate: 0.1, Bursts: JointBursts}
	SeparateBursts = RolloutSpec{Requests: 100_000, FailureRate: baseFailureRate, PoorRate: 0.1, Bursts: IndependentBursts}
)

// LateRegression is a new version that is healthy until it regresses at the last step.
var LateRegression = RolloutSpec{Requests: 100_000, FailureRate: baseFailureRate, PoorRate: 0.1, RegressesLate: true}

// simulation is the state of one simulated rollout. Times are offsets from simulationStart.
type simulation struct {
	spec            RolloutSpec
	rng             *rand.Rand
	declared        object.Rollout
	controller      *rollout.Controller
	daemons         []simulatedDaemon
	ratings         map[string]rollout.Ratings
	idealController *rollout.Controller // receives every call immediately, without the delay of reports
	evidenceAt      time.Duration       // when idealController halted the rollout, -1 before
	step            int
	stepStart       time.Duration // when the current step began
	bursts          burstState
	result          RolloutResult
}

// simulatedDaemon counts the calls of one daemon and holds what it has reported.
type simulatedDaemon struct {
	counter         *rollout.Counter
	pair            rollout.Pair // counts for simulation.idealController
	reportedThrough int64        // Evidence.Through of its last report
	reportedCalls   uint64       // number of calls in its last report
	hasNewCalls     bool         // has calls that idealController has not received
}

// RunRollout simulates one day of a rollout in steps of one second, or until it halts. The same seed gives the same result.
func RunRollout(spec RolloutSpec, seed uint64) RolloutResult {
	s := &simulation{
		spec: spec, rng: rand.New(rand.NewPCG(seed, 0x5011)), ratings: map[string]rollout.Ratings{}, evidenceAt: -1,
		declared: object.Rollout{Name: "r", Model: "m", From: "m-1", To: "m-2", Steps: []float64{0.01, 0.1, 0.5, 1}, MinAnswers: 300, MinTime: time.Hour},
		result:   RolloutResult{Seed: seed, Requests: spec.Requests},
	}
	id := rollout.IDOf(&s.declared)
	s.daemons = make([]simulatedDaemon, cmp.Or(spec.Daemons, rolloutDaemons))
	for i := range s.daemons {
		s.daemons[i] = simulatedDaemon{counter: rollout.NewCounter(), pair: rollout.Pair{ID: id}}
		s.daemons[i].counter.SetRollouts([]object.Rollout{s.declared})
	}
	s.controller = rollout.NewController(rollout.State{}, "self")
	s.idealController = rollout.NewController(rollout.State{}, "shadow")
	exposed := 0
	for at := time.Duration(0); at < day; at += time.Second {
		exposed += s.serveSecond(at)
		if s.hasRegressed(at) {
			s.result.RegressedTime = at - s.stepStart - regressionDelay
		}
		if s.evaluate(at) {
			break
		}
	}
	s.result.Exposed = float64(exposed) / float64(spec.Requests)
	s.result.Step = s.step
	return s.result
}

// serveSecond simulates the requests of one second and returns the number that reached the new version. The request rate
// peaks at noon.
func (s *simulation) serveSecond(at time.Duration) (exposed int) {
	meanRequests := float64(s.spec.Requests) / day.Seconds() * (1 - math.Cos(2*math.Pi*at.Hours()/24))
	n := int(meanRequests)
	if s.rng.Float64() < meanRequests-float64(n) {
		n++
	}
	share := s.declared.Steps[s.step]
	s.bursts.advance(s.spec.Bursts, s.rng)
	for range n {
		d := &s.daemons[s.rng.IntN(len(s.daemons))]
		p := &d.pair
		d.hasNewCalls = true
		counts, version, failureRate, poorRate := &p.From, "m-1", baseFailureRate, 0.1
		if s.rng.Float64() < share {
			counts, version, failureRate, poorRate = &p.To, "m-2", s.spec.FailureRate, s.spec.PoorRate
			exposed++
			if s.hasRegressed(at) {
				failureRate = regressedFailureRate
			}
		}
		counts.Answers++
		failed := s.rng.Float64() < s.bursts.failureRate(version == "m-2", failureRate)
		d.counter.Add(0, rollout.Call{At: simulationStart.Add(at), Version: version, Failed: failed})
		if failed {
			counts.Errors++
			if version == "m-2" {
				s.result.Failed++
			}
		}
		if s.rng.Float64() < 0.25 {
			r := s.ratings[version]
			r.Rated++
			if s.rng.Float64() < poorRate {
				r.Poor++
			}
			s.ratings[version] = r
		}
	}
	return exposed
}

// hasRegressed reports whether the late regression of RolloutSpec.RegressesLate has begun.
func (s *simulation) hasRegressed(at time.Duration) bool {
	return s.spec.RegressesLate && s.step == len(s.declared.Steps)-1 && at-s.stepStart >= regressionDelay
}

// evaluate sends the reports of daemons that are due and evaluates the rollout every tickInterval. It reports whether the
// rollout was halted.
func (s *simulation) evaluate(at time.Duration) bool {
	now := simulationStart.Add(at)
	if s.evidenceAt < 0 && s.evidenceSuffices(now) {
		s.evidenceAt = at
	}
	for i := range s.daemons {
		offset := time.Duration(i) * evidenceInterval / time.Duration(len(s.daemons))
		if (at-offset.Truncate(time.Second))%evidenceInterval == 0 {
			s.report(i, now)
		}
	}
	if at%tickInterval != 0 {
		return false
	}
	changed, halted := s.controller.Tick([]object.Rollout{s.declared}, s.ratingsOf, now)
	if changed {
		s.step, s.stepStart = s.controller.State().Records["r"].Step, at
	}
	if halted {
		s.result.Halted = true
		if s.evidenceAt >= 0 {
			s.result.Delay = at - s.evidenceAt
		}
	}
	return halted
}

// report sends a daemon's evidence to the controller if the daemon has new calls.
func (s *simulation) report(daemon int, now time.Time) {
	d := &s.daemons[daemon]
	e := d.counter.Evidence(strconv.Itoa(daemon), d.reportedThrough, now)
	calls := e.Calls()
	if calls == d.reportedCalls {
		return
	}
	s.controller.Report(e, now)
	d.reportedThrough, d.reportedCalls = e.Through, calls
}

func (s *simulation) ratingsOf(version string) rollout.Ratings { return s.ratings[version] }

// evidenceSuffices reports whether a controller that received all calls so far would halt. It is always false if the new
// version's failure rate is not above that of the old one.
func (s *simulation) evidenceSuffices(now time.Time) bool {
	if s.spec.FailureRate <= baseFailureRate {
		return false
	}
	for i := range s.daemons {
		d := &s.daemons[i]
		if !d.hasNewCalls {
			continue
		}
		d.hasNewCalls = false
		s.idealController.Report(rollout.Evidence{Sender: strconv.Itoa(i), Pairs: []rollout.Pair{d.pair}}, now)
	}
	_, halted := s.idealController.Tick([]object.Rollout{s.declared}, s.ratingsOf, now)
	return halted
}

// RolloutSummary summarizes many simulated rollouts of one RolloutSpec.
type RolloutSummary struct {
	Name             string        `json:"name"`
	Runs             int           `json:"runs"`
	Halted           int           `json:"halted"`
	Completed        int           `json:"completed"`  // reached the last step within the day
	MaxExposed       float64       `json:"maxExposed"` // share of the day's requests
	MaxDelay         time.Duration `json:"maxDelayNanoseconds"`
	MeanDelay        time.Duration `json:"meanDelayNanoseconds"` // of the halted rollouts
	Regressed        int           `json:"turnedBad"`            // runs in which the version regressed at the last step
	MaxRegressedTime time.Duration `json:"maxBadNanoseconds"`    // from the regression until the halt or the end of the day
	LateHalts        int           `json:"late"`                 // halts later than MaxHaltDelay
}

// RunRollouts simulates a number of rollouts with consecutive seeds, the first of which is firstSeed.
func RunRollouts(name string, spec RolloutSpec, firstSeed uint64, runs int) RolloutSummary {
	summary := RolloutSummary{Name: name, Runs: runs}
	results := parallel(runs, func(i int) RolloutResult { return RunRollout(spec, firstSeed+uint64(i)) })
	for _, r := range results {
		if r.Halted {
			summary.Halted++
			summary.MeanDelay += r.Delay
		}
		if r.Step == 3 {
			summary.Completed++
		}
		summary.MaxExposed = max(summary.MaxExposed, r.Exposed)
		summary.MaxDelay = max(summary.MaxDelay, r.Delay)
		if r.RegressedTime > 0 {
			summary.Regressed++
		}
		summary.MaxRegressedTime = max(summary.MaxRegressedTime, r.RegressedTime)
		if r.Delay > MaxHaltDelay {
			summary.LateHalts++
		}
	}
	summary.MeanDelay /= time.Duration(max(1, summary.Halted))
	return summary
}
