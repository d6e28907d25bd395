package chaos

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

const (
	firstRandomSeed = uint64(5000)
	randomRuns      = 20
)

// runFaults runs a deployment with faults under synctest's fake clock and fails the test for each violation.
func runFaults(t *testing.T, seed uint64, duration time.Duration, faults ...Fault) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		checkRun(t, Spec{Seed: seed, Faults: faults, FaultDuration: duration, InMemory: true})
	})
}

// checkRun runs spec and fails the test for each violation, up to 10.
func checkRun(t *testing.T, spec Spec) {
	t.Helper()
	report, err := Run(context.Background(), spec)
	if err != nil {
		t.Fatalf("%s: %v", spec, err)
	}
	for i, v := range report.Violations {
		if i == 10 {
			t.Errorf("%s: %d more violations", spec, len(report.Violations)-i)
			break
		}
		t.Errorf("%s: %s", spec, v)
	}
	if report.Requests == 0 {
		t.Error("the workload sent no request")
	}
}

// Guards against a violation of an invariant by a single failure. Each lasts longer than noNewWorkAfter, so that new work that
// starts too late is noticed.
func TestFailuresAlone(t *testing.T) {
	for i, f := range Faults() {
		t.Run(f.Name, func(t *testing.T) {
			t.Parallel()
			runFaults(t, uint64(i), noNewWorkAfter+time.Second, f)
		})
	}
}

// Guards against a violation of an invariant by two concurrent failures, for each pair.
func TestFailuresInPairs(t *testing.T) {
	faults := Faults()
	for i, a := range faults {
		for j, b := range faults[i+1:] {
			t.Run(a.Name+"+"+b.Name, func(t *testing.T) {
				t.Parallel()
				runFaults(t, uint64(100*i+j), 500*time.Millisecond, a, b)
			})
		}
	}
}

// Guards against a violation of an invariant by up to four concurrent failures in several consecutive rounds.
func TestRandomFailures(t *testing.T) {
	spec := RandomSpec{MaxFaults: 4, MaxFaultDuration: 5 * time.Second}
	for seed := firstRandomSeed; seed < firstRandomSeed+randomRuns; seed++ {
		runSpec := spec.specForSeed(seed)
		runSpec.InMemory = true
		t.Run(runSpec.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { checkRun(t, runSpec) })
		})
	}
}

// Guards against daemons that miss a change: 3 s after a failure domain is taken out, a version withdrawn or an endpoint marked
// as leaving, it must not receive new work, even from daemons that are partitioned from others or from the platform, or whose
// connections no longer deliver anything.
func TestChangesReachDisturbedDaemons(t *testing.T) {
	named := map[string]Fault{}
	for _, f := range Faults() {
		named[f.Name] = f
	}
	for i, change := range []string{"domain-out", "version-withdrawn", "endpoint-leaving"} {
		for j, disturbance := range []string{faultPeerPartition, faultPlatformPartition, "connections-silent"} {
			t.Run(change+"+"+disturbance, func(t *testing.T) {
				t.Parallel()
				runFaults(t, uint64(3000+10*i+j), noNewWorkAfter+time.Second, named[change], named[disturbance])
			})
		}
	}
}
