package bench

import (
	"reflect"
	"testing"
)

const testSeeds = 5 // runs of each load, with seeds 1 to 5

// choices returns the results of the estimates policy on each load with each test seed.
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

// Guards against a choice that misses the quality target in a window after the warm-up, or that costs more than half of
// always using the best model although cheaper models are good enough for most requests.
func TestChoiceMeetsTargetAtHalfTheCost(t *testing.T) {
	skipUnderRace(t)
	for _, r := range choices(t) {
		if r.MissedWindows > 0 || r.Windows == 0 {
			t.Errorf("%s, seed %d: %d of %d windows below the target, by up to %.4f", r.Load, r.Seed, r.MissedWindows, r.Windows, -r.Margin)
		}
		if r.BestRatio > 0.5 {
			t.Errorf("%s, seed %d: cost is %.3f of that of always using the best model; want at most 0.5", r.Load, r.Seed, r.BestRatio)
		}
	}
}

// Guards against a cost more than 10 % above that of the oracle, which knows the expected score and cost of each option; see
// oracleCost.
func TestCostNearOracle(t *testing.T) {
	skipUnderRace(t)
	for _, r := range choices(t) {
		if r.OracleRatio > 1.1 {
			t.Errorf("%s, seed %d: cost is %.3f of the oracle's; want at most 1.1", r.Load, r.Seed, r.OracleRatio)
		}
	}
}

// Guards against loads in which the cheapest model is good enough for fewer requests than the bounds on cost assume, and
// against two runs with the same seed that differ.
func TestLoads(t *testing.T) {
	skipUnderRace(t)
	for _, l := range Loads() {
		truths, cheapestShare := l.groundTruths(), 0.0
		for i, team := range l.teams {
			for j, k := range team.kinds {
				if truths[i][j][0].score >= team.target {
					cheapestShare += team.weight * k.weight
				}
			}
		}
		if cheapestShare < 0.6 {
			t.Errorf("%s: the cheapest model meets the target for %.2f of the requests; want at least 0.6", l.Name, cheapestShare)
		}
		if a, b := l.generate(3), l.generate(3); !reflect.DeepEqual(a, b) {
			t.Errorf("%s: two runs with seed 3 differ", l.Name)
		}
	}
}

// Guards against a regressed version that serves more than 0.5 % of a day's requests before its rollout halts.
func TestRegressedVersionExposure(t *testing.T) {
	skipUnderRace(t)
	summary := RunRollouts("bad", RegressedVersion, 1, 20)
	if summary.Halted != summary.Runs || summary.MaxExposed > 0.005 {
		t.Errorf("%d of %d rollouts halted, at most %.4f of a day's requests exposed; want all halted and at most 0.005", summary.Halted, summary.Runs, summary.MaxExposed)
	}
}

// Guards against late halts: a rollout must halt within 20 s of the moment at which the same statistical test would halt it
// if it saw every call immediately.
func TestHaltDelay(t *testing.T) {
	skipUnderRace(t)
	summary := RunRollouts("bad", RegressedVersion, 1, 300)
	if summary.LateHalts > 0 {
		t.Errorf("%d of %d halts came later than %s, the latest after %s", summary.LateHalts, summary.Runs, MaxHaltDelay, summary.MaxDelay)
	}
}

// Guards against healthy versions whose rollout is halted, or has not reached the last step after a simulated day.
func TestHealthyVersionCompletes(t *testing.T) {
	skipUnderRace(t)
	summary := RunRollouts("sound", HealthyVersion, 1, 10)
	if summary.Halted > 0 || summary.Completed != summary.Runs {
		t.Errorf("%d of %d rollouts halted, %d completed; want all completed", summary.Halted, summary.Runs, summary.Completed)
	}
}

// Guards against halts of healthy versions while bursts of failures hit the old and the new version at the same time.
func TestCommonBursts(t *testing.T) {
	skipUnderRace(t)
	if summary := RunRollouts("common bursts", CommonBursts, 1, 100); summary.Halted > summary.Runs/100 {
		t.Errorf("%d of %d healthy versions were halted; want at most 1 %%", summary.Halted, summary.Runs)
	}
}

// Guards against halts of healthy versions while bursts of failures hit the old and the new version independently.
func TestSeparateBursts(t *testing.T) {
	skipUnderRace(t)
	if summary := RunRollouts("separate bursts", SeparateBursts, 1, 300); summary.Halted > summary.Runs/100 {
		t.Errorf("%d of %d healthy versions were halted; want at most 1 %%", summary.Halted, summary.Runs)
	}
}

// Guards against a version that regresses after its rollout has reached the last step and then stays in service.
func TestRegressionAtLastStep(t *testing.T) {
	skipUnderRace(t)
	summary := RunRollouts("turns bad at the last step", LateRegression, 1, 20)
	if summary.Regressed != summary.Runs || summary.Halted != summary.Runs {
		t.Errorf("%d of %d versions regressed, %d rollouts halted, the longest regression lasted %s; want all regressed and halted", summary.Regressed, summary.Runs, summary.Halted, summary.MaxRegressedTime)
	}
}

// Guards against state that is shared by concurrent runs, which the race detector reports. The other tests of the package
// execute the same code and run without the detector only.
func TestRunsShareNoState(t *testing.T) {
	if !raceDetector {
		t.Skip("needs the race detector")
	}
	RunRollouts("bad", RegressedVersion, 1, workers)
	loads := Loads()
	parallel(workers, func(i int) error {
		_, err := RunChoice(loads[i%len(loads)], uint64(1+i), Estimates, Best)
		if err != nil {
			t.Error(err)
		}
		return err
	})
}
