package chaos

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func runFaults(t *testing.T, seed uint64, hold time.Duration, faults ...Fault) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { checkRun(t, Spec{Seed: seed, Faults: faults, Hold: hold, InMemory: true}) })
}

func checkRun(t *testing.T, spec Spec) {
	t.Helper()
	seed := spec.Seed
	report, err := Run(context.Background(), spec)
	if err != nil {
		t.Fatalf("seed %d: %v", seed, err)
	}
	for i, v := range report.Violations {
		if i == 10 {
			t.Errorf("seed %d: %d more", seed, len(report.Violations)-i)
			break
		}
		t.Errorf("seed %d: %s", seed, v)
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
