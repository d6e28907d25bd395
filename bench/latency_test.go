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

// latency runs a variant for one seed under a fake clock.
func latency(t *testing.T, v LatencyVariant, fault Fault, seed uint64) LatencyResult {
	var out LatencyResult
	synctest.Test(t, func(t *testing.T) { out = RunLatency(t.Context(), v, fault, seed) })
	return out
}

// skipUnderRace leaves a test to the step of .ci/test without the race detector, which makes the runs ten times as long.
func skipUnderRace(t *testing.T) {
	if raceDetector {
		t.Skip("runs without the race detector")
	}
}

// Guards against latencies above the target at 80 % of capacity while one replica in ten is cold or silent, against
// failed requests, and against overload of a cold engine.
func TestLatencyWithFaults(t *testing.T) {
	skipUnderRace(t)
	for _, run := range latencyRuns(func(v LatencyVariant) bool { return v.Affinity && v.HedgeShare > 0 }) {
		t.Run(run.name(), func(t *testing.T) {
			t.Parallel()
			r := latency(t, run.variant, run.fault, run.seed)
			t.Logf("%+v", r)
			if r.First95 > MaxFirstToken || r.Between95 > MaxBetweenToken {
				t.Errorf("95th percentiles %s to the first token, %s between tokens; want at most %s and %s", r.First95, r.Between95, MaxFirstToken, MaxBetweenToken)
			}
			if r.Failed > 0 || r.Overloads > 0 {
				t.Errorf("%d of %d requests failed; %d cold engines overloaded", r.Failed, r.Requests, r.Overloads)
			}
		})
	}
}

// Guards against results of the latency benchmark that differ under the same seed.
func TestLatencyRepeats(t *testing.T) {
	skipUnderRace(t)
	const seed = 2 // has the longest queues
	for _, fault := range Faults {
		if a, b := latency(t, LatencyVariants[0], fault, seed), latency(t, LatencyVariants[0], fault, seed); !reflect.DeepEqual(a, b) {
			t.Errorf("%s: %+v and %+v", fault, a, b)
		}
	}
}

// TestLatencyVariants prints all variants if -latency.all is set. It holds no bound.
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
			t.Logf("%-25s %-7s seed %d: requests %d, failed %d, first token p95 %s p99 %s, between tokens p95 %s, overloads %d, hedges %d, not hedged %d, hit rate %.2f, balance %.2f",
				r.Variant, r.Fault, r.Seed, r.Requests, r.Failed, r.First95, r.First99, r.Between95, r.Overloads, r.Hedges, r.Refused, r.HitRate, r.Balance)
		})
	}
}

// latencyCase is one run of the benchmark.
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
