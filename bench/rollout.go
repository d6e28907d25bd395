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
	// rolloutDaemons is the number of daemons unless RolloutSpec says otherwise.
	rolloutDaemons   = 8
	evidenceInterval = 10 * time.Second // of a daemon's reports
	tickInterval     = 3 * time.Second  // of the holder's evaluation
	day              = 24 * time.Hour
	goodFailureRate  = 0.01
	lateFailureRate  = 0.2
	lateFailure      = time.Hour
)

// simulationStart is the time at which simulated roll-outs begin.
var simulationStart = time.Unix(1_000_000_000, 0)

// MaxHaltDelay is the time within which a bad version must be out of service after the evidence suffices.
const MaxHaltDelay = 20 * time.Second

// RolloutResult is one simulated day of a roll-out.
type RolloutResult struct {
	Seed     uint64  `json:"seed"`
	Requests int     `json:"requests"` // of the day
	Halted   bool    `json:"halted"`
	Exposed  float64 `json:"exposed"` // part of the day's requests that reached the new version
	Failed   int     `json:"failed"`  // answers of the new version that failed
	// Delay is the time from the moment at which the same test, applied to every call at once, would halt, until the halt.
	Delay time.Duration `json:"delay"`
	Step  int           `json:"step"` // at the end
	// Bad is the time from the moment at which the version turned bad until the halt or the end of the day, 0 if it did not.
	Bad time.Duration `json:"badNanoseconds"`
}

// RolloutSpec describes simulated roll-outs.
type RolloutSpec struct {
	Requests    int     // a day
	FailureRate float64 // of the new version; the old one fails 1 %
	PoorRate    float64 // of the new version's ratings; of the old version's, 10 % are poor
	Daemons     int     // rolloutDaemons if 0
	Bursts      Bursts
	// TurnsBad makes the new version fail lateFailureRate from lateFailure after its roll-out has reached the last step.
	TurnsBad bool
}

// BadVersion is a version that fails a fifth of its answers.
var BadVersion = RolloutSpec{Requests: 100_000, FailureRate: 0.2, PoorRate: 0.1}

// BadVersionAtMany is the bad version at 60 daemons under the same load.
var BadVersionAtMany = RolloutSpec{Requests: 100_000, FailureRate: 0.2, PoorRate: 0.1, Daemons: 60}

// SoundVersion is as good as the old one.
var SoundVersion = RolloutSpec{Requests: 100_000, FailureRate: goodFailureRate, PoorRate: 0.1}

// CommonBursts and SeparateBursts are sound versions whose failures come in bursts, see Bursts.
var (
	CommonBursts   = RolloutSpec{Requests: 100_000, FailureRate: goodFailureRate, PoorRate: 0.1, Bursts: BurstsOfBoth}
	SeparateBursts = RolloutSpec{Requests: 100_000, FailureRate: goodFailureRate, PoorRate: 0.1, Bursts: BurstsOfEach}
)

// LateBadVersion is sound until it turns bad at the last step.
var LateBadVersion = RolloutSpec{Requests: 100_000, FailureRate: goodFailureRate, PoorRate: 0.1, TurnsBad: true}

// simulation is the state of one simulated roll-out.
type simulation struct {
	spec       RolloutSpec
	rng        *rand.Rand
	declared   object.Rollout
	controller *rollout.Controller
	daemons    []simulatedDaemon
	ratings    map[string]rollout.Ratings
	shadow     *rollout.Controller // learns every call at once, without reports
	suffices   time.Duration       // when the evidence sufficed, -1 before
	step       int
	advanced   time.Duration // when the step began
	bursts     burstState
	result     RolloutResult
}

// simulatedDaemon counts the calls of one daemon.
type simulatedDaemon struct {
	counter *rollout.Counter
	pair    rollout.Pair // for the shadow
	sent    int64        // last second reported
	calls   uint64       // reported
	fresh   bool         // has calls that the shadow does not know
}

// RunRollout simulates one day of a roll-out in steps of one second.
func RunRollout(spec RolloutSpec, seed uint64) RolloutResult {
	s := &simulation{
		spec: spec, rng: rand.New(rand.NewPCG(seed, 0x5011)), ratings: map[string]rollout.Ratings{}, suffices: -1,
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
	s.shadow = rollout.NewController(rollout.State{}, "shadow")
	exposed := 0
	for at := time.Duration(0); at < day; at += time.Second {
		exposed += s.traffic(at)
		if s.bad(at) {
			s.result.Bad = at - s.advanced - lateFailure
		}
		if s.evaluate(at) {
			break
		}
	}
	s.result.Exposed = float64(exposed) / float64(spec.Requests)
	s.result.Step = s.step
	return s.result
}

// traffic answers the requests of one second, densest at noon, and returns the number that reached the new version.
func (s *simulation) traffic(at time.Duration) (exposed int) {
	mean := float64(s.spec.Requests) / day.Seconds() * (1 - math.Cos(2*math.Pi*at.Hours()/24))
	n := int(mean)
	if s.rng.Float64() < mean-float64(n) {
		n++
	}
	share := s.declared.Steps[s.step]
	s.bursts.next(s.spec.Bursts, s.rng)
	for range n {
		d := &s.daemons[s.rng.IntN(len(s.daemons))]
		p := &d.pair
		d.fresh = true
		counts, version, fails, poor := &p.From, "m-1", goodFailureRate, 0.1
		if s.rng.Float64() < share {
			counts, version, fails, poor = &p.To, "m-2", s.spec.FailureRate, s.spec.PoorRate
			exposed++
			if s.bad(at) {
				fails = lateFailureRate
			}
		}
		counts.Answers++
		failed := s.rng.Float64() < s.bursts.rate(version == "m-2", fails)
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
			if s.rng.Float64() < poor {
				r.Poor++
			}
			s.ratings[version] = r
		}
	}
	return exposed
}

// bad reports whether a version that turns bad at the last step has done so.
func (s *simulation) bad(at time.Duration) bool {
	return s.spec.TurnsBad && s.step == len(s.declared.Steps)-1 && at-s.advanced >= lateFailure
}

// evaluate reports the evidence that is due and evaluates it. It reports whether the roll-out was halted.
func (s *simulation) evaluate(at time.Duration) bool {
	now := simulationStart.Add(at)
	if s.suffices < 0 && s.enough(now) {
		s.suffices = at
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
		s.step, s.advanced = s.controller.State().Records["r"].Step, at
	}
	if halted {
		s.result.Halted = true
		if s.suffices >= 0 {
			s.result.Delay = at - s.suffices
		}
	}
	return halted
}

// report sends the report of a daemon if it has new calls.
func (s *simulation) report(daemon int, now time.Time) {
	d := &s.daemons[daemon]
	e := d.counter.Evidence(strconv.Itoa(daemon), d.sent, now)
	calls := e.Calls()
	if calls == d.calls {
		return
	}
	s.controller.Report(e, now)
	d.sent, d.calls = e.Through, calls
}

func (s *simulation) ratingsOf(version string) rollout.Ratings { return s.ratings[version] }

// enough reports whether the calls so far suffice for a halt. It is asked only when the version fails.
func (s *simulation) enough(now time.Time) bool {
	if s.spec.FailureRate <= goodFailureRate {
		return false
	}
	for i := range s.daemons {
		d := &s.daemons[i]
		if !d.fresh {
			continue
		}
		d.fresh = false
		s.shadow.Report(rollout.Evidence{Sender: strconv.Itoa(i), Pairs: []rollout.Pair{d.pair}}, now)
	}
	_, halted := s.shadow.Tick([]object.Rollout{s.declared}, s.ratingsOf, now)
	return halted
}

// RolloutSummary sums up many roll-outs with seeds 1 to Runs.
type RolloutSummary struct {
	Name       string        `json:"name"`
	Runs       int           `json:"runs"`
	Halted     int           `json:"halted"`
	Completed  int           `json:"completed"`  // reached the last step within the day
	MaxExposed float64       `json:"maxExposed"` // part of the day's requests
	MaxDelay   time.Duration `json:"maxDelayNanoseconds"`
	MeanDelay  time.Duration `json:"meanDelayNanoseconds"` // of the halts
	TurnedBad  int           `json:"turnedBad"`            // runs in which the version turned bad at the last step
	MaxBad     time.Duration `json:"maxBadNanoseconds"`    // from then until the halt or the end of the day
	Late       int           `json:"late"`                 // halts later than MaxHaltDelay
}

// RunRollouts runs roll-outs with seeds from first on.
func RunRollouts(name string, spec RolloutSpec, first uint64, runs int) RolloutSummary {
	sum := RolloutSummary{Name: name, Runs: runs}
	results := parallel(runs, func(i int) RolloutResult { return RunRollout(spec, first+uint64(i)) })
	for _, r := range results {
		if r.Halted {
			sum.Halted++
			sum.MeanDelay += r.Delay
		}
		if r.Step == 3 {
			sum.Completed++
		}
		sum.MaxExposed = max(sum.MaxExposed, r.Exposed)
		sum.MaxDelay = max(sum.MaxDelay, r.Delay)
		if r.Bad > 0 {
			sum.TurnedBad++
		}
		sum.MaxBad = max(sum.MaxBad, r.Bad)
		if r.Delay > MaxHaltDelay {
			sum.Late++
		}
	}
	sum.MeanDelay /= time.Duration(max(1, sum.Halted))
	return sum
}
