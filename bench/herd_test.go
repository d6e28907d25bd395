package bench

import (
	"fmt"
	"testing"
	"testing/synctest"
)

// Guards against a herd effect: all daemons choose the endpoint whose outdated report shows the least load, which overloads it.
func TestLatencyManyDaemonsShareEndpoints(t *testing.T) {
	skipUnderRace(t)
	for _, v := range LatencyVariants {
		if v.Sessions {
			continue
		}
		for seed := range *latencySeeds {
			t.Run(fmt.Sprintf("%s/%d", v.Name, seed+1), func(t *testing.T) {
				t.Parallel()
				var r HerdResult
				synctest.Test(t, func(t *testing.T) { r = RunHerd(t.Context(), v, uint64(seed+1)) })
				t.Logf("%+v", r)
				if v.Affinity && (r.MaxOverMean > MaxHerdRatio || r.Failed > 0) {
					t.Errorf("the busiest endpoint has %.2f times the mean number of requests, want at most %.2f; %d requests failed, want 0", r.MaxOverMean, MaxHerdRatio, r.Failed)
				}
			})
		}
	}
}
