package bench

import (
	"flag"
	"fmt"
	"reflect"
	"sync"
	"testing"
	"testing/synctest"
)

var (
	latencySeeds = flag.Int("latency.seeds", 5, "seeds of the latency benchmark")
	latencyAll   = flag.Bool("latency.all", false, "measure every variant and print the results")
)

// latency runs a variant with one seed under a fake clock.
func latency(t *testing.T, v LatencyVariant, fault Fault, seed uint64) LatencyResult {
	var out LatencyResult
	synctest.Test(t, func(t *testing.T) { out = RunLatency(t.Context(), v, fault, seed) })
	return out
}

// skipUnderRace skips a test under the race detector, which makes it ten times as long. The step of .ci/test without the race
// detector runs it.
func skipUnderRace(t *testing.T) {
	if raceDetector {
		t.Skip("runs without the race detector")
	}
}

// Guards against latencies above the target, failed requests and overloaded cold engines. The load is 80 % of capacity, and one
// replica in ten is cold or unresponsive.
func TestLatencyWithFaults(t *testing.T) {
	skipUnderRace(t)
	for _, run := range latencyRuns(func(v LatencyVariant) bool { return v.Affinity && v.HedgeShare > 0 }) {
		t.Run(run.name(), func(t *testing.T) {
			t.Parallel()
			r := latency(t, run.variant, run.fault, run.seed)
			t.Logf("%+v", r)
			if r.FirstTokenP95 > MaxFirstToken || r.InterTokenP95 > MaxInterToken {
				t.Errorf("95th percentiles %s to the first token, %s between tokens; want at most %s and %s", r.FirstTokenP95, r.InterTokenP95, MaxFirstToken, MaxInterToken)
			}
			if r.Failed > 0 || r.Overloads > 0 {
				t.Errorf("%d of %d requests failed; %d cold engines overloaded", r.Failed, r.Requests, r.Overloads)
			}
		})
	}
}

// Guards against a latency benchmark whose results differ between runs with the same seed.
func TestLatencyRepeats(t *testing.T) {
	skipUnderRace(t)
	const seed = 2 // gives the longest queues
	for _, fault := range Faults {
		if a, b := latency(t, LatencyVariants[0], fault, seed), latency(t, LatencyVariants[0], fault, seed); !reflect.DeepEqual(a, b) {
			t.Errorf("fault %s: two runs with the same seed differ: %+v and %+v", fault, a, b)
		}
	}
}

// TestLatencyVariants prints the results of all variants if -latency.all is set. It checks no bound.
func TestLatencyVariants(t *testing.T) {
	if !*latencyAll {
		t.Skip("needs -latency.all")
	}
	var mu sync.Mutex
	for _, run := range latencyRuns(func(LatencyVariant) bool { return true }) {
		t.Run(run.name(), func(t *testing.T) {
			t.Parallel()
			r := latency(t, run.variant, run.fault, run.seed)
			mu.Lock()
			defer mu.Unlock()
			t.Logf("%-25s %-7s seed %d: requests %d, failed %d, first token p95 %s p99 %s, between tokens p95 %s, overloads %d, hedges %d, not hedged %d, hit rate %.2f, imbalance %.2f",
				r.Variant, r.Fault, r.Seed, r.Requests, r.Failed, r.FirstTokenP95, r.FirstTokenP99, r.InterTokenP95, r.Overloads, r.HedgesSent, r.NotHedged, r.HitRate, r.Imbalance)
		})
	}
}

// latencyCase is one run of the latency benchmark.
type latencyCase struct {
	variant LatencyVariant
	fault   Fault
	seed    uint64
}

func (c latencyCase) name() string { return fmt.Sprintf("%s/%s/%d", c.variant.Name, c.fault, c.seed) }

// latencyRuns returns the runs of the selected variants with all faults and seeds.
func latencyRuns(selected func(LatencyVariant) bool) []latencyCase {
	var out []latencyCase
	for _, v := range LatencyVariants {
		for _, fault := range Faults {
			for seed := range *latencySeeds {
				if selected(v) {
					out = append(out, latencyCase{v, fault, uint64(seed + 1)})
				}
			}
		}
	}
	return out
}
