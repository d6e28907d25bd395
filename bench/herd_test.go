package bench

import (
	"fmt"
	"testing"
	"testing/synctest"
)

// Guards against daemons that all choose the endpoint whose lagging report shows the least load.
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
				if v.Affinity && (r.Running > MaxHerdRatio || r.Failed > 0) {
					t.Errorf("%.2f times the mean of requests at the endpoint with the most; want at most %.2f; %d failed", r.Running, MaxHerdRatio, r.Failed)
				}
			})
		}
	}
}
