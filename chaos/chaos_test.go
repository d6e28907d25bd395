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

func runFaults(t *testing.T, seed uint64, hold time.Duration, faults ...Fault) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { checkRun(t, Spec{Seed: seed, Faults: faults, Hold: hold, InMemory: true}) })
}

func checkRun(t *testing.T, spec Spec) {
	t.Helper()
	report, err := Run(context.Background(), spec)
	if err != nil {
		t.Fatalf("%s: %v", spec, err)
	}
	for i, v := range report.Violations {
		if i == 10 {
			t.Errorf("%s: %d more", spec, len(report.Violations)-i)
			break
		}
		t.Errorf("%s: %s", spec, v)
	}
	if report.Requests == 0 {
		t.Error("no request was sent")
	}
}

// Guards each invariant against each failure alone. The failure lasts longer than the time after which new work must
// have ended.
func TestFailuresAlone(t *testing.T) {
	for i, f := range Faults() {
		t.Run(f.Name, func(t *testing.T) {
			t.Parallel()
			runFaults(t, uint64(i), noNewWorkAfter+time.Second, f)
		})
	}
}

// Guards each invariant against each pair of failures at the same time.
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

// Guards each invariant against up to four failures at the same time and one after the other.
func TestRandomFailures(t *testing.T) {
	spec := RandomSpec{MaxFaults: 4, MaxHold: 5 * time.Second}
	for seed := firstRandomSeed; seed < firstRandomSeed+randomRuns; seed++ {
		run := spec.draw(seed)
		run.InMemory = true
		t.Run(run.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { checkRun(t, run) })
		})
	}
}

// Guards against new work at what is out, withdrawn or leaving, 3 s after the change, at daemons that are cut off from other
// daemons or from the platform, or whose connections have gone silent.
func TestChangesReachDisturbedDaemons(t *testing.T) {
	named := map[string]Fault{}
	for _, f := range Faults() {
		named[f.Name] = f
	}
	for i, change := range []string{"domain-out", "version-withdrawn", "endpoint-leaving"} {
		for j, cut := range []string{faultPeersCut, faultPlatformCut, "connections-silent"} {
			t.Run(change+"+"+cut, func(t *testing.T) {
				t.Parallel()
				runFaults(t, uint64(3000+10*i+j), noNewWorkAfter+time.Second, named[change], named[cut])
			})
		}
	}
}
