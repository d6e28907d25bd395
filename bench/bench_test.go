package bench

import (
	"reflect"
	"testing"
)

const testSeeds = 5 // runs of each load, with seeds 1 to 5

// choices runs the estimates' policy on both loads once for all tests.
func choices(t *testing.T) []ChoiceResult {
	t.Helper()
	loads := Loads()
	var out []ChoiceResult
	for _, r := range parallel(testSeeds*len(loads), func(i int) []ChoiceResult {
		r, err := RunChoice(loads[i%len(loads)], uint64(1+i/len(loads)), Estimates, Best)
		if err != nil {
			t.Error(err)
			return nil
		}
		return r[:1]
	}) {
		out = append(out, r...)
	}
	return out
}

// Guards against a choice that misses the quality target in some window after the warm-up, or that costs more than half
// of always using the best model although cheap ones suffice for most requests.
func TestChoiceMeetsTargetAtHalfTheCost(t *testing.T) {
	skipUnderRace(t)
	for _, r := range choices(t) {
		if r.Missed > 0 || r.Windows == 0 {
			t.Errorf("%s, seed %d: %d of %d windows below the target, by up to %.4f", r.Load, r.Seed, r.Missed, r.Windows, -r.Margin)
		}
		if r.OfBest > 0.5 {
			t.Errorf("%s, seed %d: cost %.3f of always-best", r.Load, r.Seed, r.OfBest)
		}
	}
}

// Guards against a cost far from the cheapest policy that meets the target with full knowledge, see oracleCost.
func TestCostNearOracle(t *testing.T) {
	skipUnderRace(t)
	for _, r := range choices(t) {
		if r.OfOracle > 1.1 {
			t.Errorf("%s, seed %d: cost %.3f of the oracle's", r.Load, r.Seed, r.OfOracle)
		}
	}
}

// Guards against loads in which the cheapest model suffices for fewer requests than the bounds assume, and against runs
// that differ under the same seed.
func TestLoads(t *testing.T) {
	skipUnderRace(t)
	for _, l := range Loads() {
		truths, enough := l.truths(), 0.0
		for i, tm := range l.teams {
			for j, k := range tm.kinds {
				if truths[i][j][0].score >= tm.target {
					enough += tm.weight * k.weight
				}
			}
		}
		if enough < 0.6 {
			t.Errorf("%s: the cheapest model suffices for %.2f of the requests", l.Name, enough)
		}
		if a, b := l.generate(3), l.generate(3); !reflect.DeepEqual(a, b) {
			t.Errorf("%s: two runs with seed 3 differ", l.Name)
		}
	}
}

// Guards against a bad version that reaches more than 0.5 % of a day's requests.
func TestBadVersionExposure(t *testing.T) {
	skipUnderRace(t)
	sum := RunRollouts("bad", BadVersion, 1, 20)
	if sum.Halted != sum.Runs || sum.MaxExposed > 0.005 {
		t.Errorf("%d of %d halted, at most %.4f of a day's requests exposed", sum.Halted, sum.Runs, sum.MaxExposed)
	}
}

// Guards against a halt later than 20 s after the same test, applied to every call at once, would halt.
func TestHaltDelay(t *testing.T) {
	skipUnderRace(t)
	sum := RunRollouts("bad", BadVersion, 1, 300)
	if sum.Late > 0 {
		t.Errorf("%d of %d halts came later than %s, the latest after %s", sum.Late, sum.Runs, MaxHaltDelay, sum.MaxDelay)
	}
}

// Guards against sound versions that are halted, or never reach the last step, in a whole simulated day.
func TestSoundVersionCompletes(t *testing.T) {
	skipUnderRace(t)
	sum := RunRollouts("sound", SoundVersion, 1, 10)
	if sum.Halted > 0 || sum.Completed != sum.Runs {
		t.Errorf("%d of %d halted, %d completed", sum.Halted, sum.Runs, sum.Completed)
	}
}

// Guards against halts of sound versions when failures of both versions come in common bursts.
func TestCommonBursts(t *testing.T) {
	skipUnderRace(t)
	if sum := RunRollouts("common bursts", CommonBursts, 1, 100); sum.Halted > sum.Runs/100 {
		t.Errorf("%d of %d sound versions were halted", sum.Halted, sum.Runs)
	}
}

// Guards against halts of sound versions when the failures of each version come in bursts of their own.
func TestSeparateBursts(t *testing.T) {
	skipUnderRace(t)
	if sum := RunRollouts("separate bursts", SeparateBursts, 1, 300); sum.Halted > sum.Runs/100 {
		t.Errorf("%d of %d sound versions were halted", sum.Halted, sum.Runs)
	}
}

// Guards against a version that turns bad after its roll-out has reached the last step and stays in service.
func TestTurnsBadAtLastStep(t *testing.T) {
	skipUnderRace(t)
	sum := RunRollouts("turns bad at the last step", LateBadVersion, 1, 20)
	if sum.TurnedBad != sum.Runs || sum.Halted != sum.Runs {
		t.Errorf("%d of %d turned bad, %d halted, the longest bad for %s", sum.TurnedBad, sum.Runs, sum.Halted, sum.MaxBad)
	}
}

// Guards against state that runs at a time share: the race detector reports it. All other tests of the package make runs of
// the same code and are left to the step without the detector.
func TestRunsShareNoState(t *testing.T) {
	if !raceDetector {
		t.Skip("needs the race detector")
	}
	RunRollouts("bad", BadVersion, 1, workers)
	loads := Loads()
	parallel(workers, func(i int) error {
		_, err := RunChoice(loads[i%len(loads)], uint64(1+i), Estimates, Best)
		if err != nil {
			t.Error(err)
		}
		return err
	})
}
