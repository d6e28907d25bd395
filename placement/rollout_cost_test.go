package placement_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleytrail/bramleytrail/kv/memkv"
	"github.com/bramleytrail/bramleytrail/placement"
	"github.com/bramleytrail/bramleytrail/standin"
)

const (
	measuredDomains  = 5
	measuredVersions = 18
	// rolloutShare is the fraction of the largest version's requests that the rollout's next step moves.
	rolloutShare = 0.25
)

// Measures the orders, the writes to the key-value store and the time until a rollout's new version has its replicas.
// Guards against a number of table writes that grows faster than the number of orders.
func TestRolloutCost(t *testing.T) {
	for _, endpoints := range []int{10, 20, 40, 80, 168} {
		t.Run(fmt.Sprint(endpoints), func(t *testing.T) { measureRollout(t, endpoints) })
	}
}

// measureRollout simulates a rollout with a number of endpoints in each domain and logs its cost.
func measureRollout(t *testing.T, endpoints int) {
	versions := min(measuredVersions-1, endpoints/4)
	// Two thirds of the slots that may be used after the loss of a domain are in use, most of them by version v00.
	total := endpoints * slots * (measuredDomains - 1) * 2 / 3
	base := placement.Fleet{}
	requests := map[string]int{}
	for v := range versions {
		name := fmt.Sprintf("v%02d", v)
		requests[name] = total / 2 / versions / measuredDomains
		base.Demands = append(base.Demands, placement.Demand{Version: name, Wanted: true})
	}
	requests["v00"] += total / 2 / measuredDomains / 2
	base.Demands = append(base.Demands, placement.Demand{Version: "new", Wanted: true, Running: int(rolloutShare * float64(requests["v00"]*measuredDomains))})
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newSim(ctx, standin.FleetSpec{LoadTime: loadTime, MaxVersions: 1}, base, measuredDomains, endpoints, func(_, i int) []string {
			if i < endpoints/2 {
				return []string{"v00"}
			}
			return []string{base.Demands[i%versions].Version}
		})
		s.requests = requests
		for name, f := range s.domains {
			serve := map[string][]string{}
			for _, e := range f.Endpoints {
				serve[e.ID] = s.fleet.Versions()[e.ID]
			}
			s.route(placement.Table{Domain: name, Serve: serve})
			s.start(ctx, name, name)
		}
		start := time.Now()
		for !s.placedEverywhere("new") && time.Since(start) < time.Hour {
			time.Sleep(time.Second)
		}
		orders, took := s.fleet.OrdersSent(), time.Since(start)
		counts := s.store.Faults.Counts()
		writes := counts[memkv.CallCAS] + counts[memkv.CallGrant] + counts[memkv.CallKeepAlive]
		ready := s.ready("new")
		cancel()
		synctest.Wait()
		s.checkLoads()
		var packed bytes.Buffer
		zw := gzip.NewWriter(&packed)
		if _, err := zw.Write(s.largest); err != nil || zw.Close() != nil {
			t.Fatal("compressing the largest table failed")
		}
		t.Logf("largest table %d B, %d B compressed", len(s.largest), packed.Len())
		t.Logf("%d endpoints a domain, %d versions: new version has %d replicas a domain after %s; %d orders, %d writes, %d of them renewals",
			endpoints, versions+1, ready, took, orders, writes, counts[memkv.CallKeepAlive])
		if ready < 1 {
			t.Error("the new version has no replicas")
		}
		// An operation is recorded at its start and at its end, and a table is published every 30 s.
		if tables, limit := s.writes, 2*orders+measuredDomains*int(took/(30*time.Second)+2); tables > limit {
			t.Errorf("%d table writes for %d orders, limit %d", tables, orders, limit)
		}
		for _, f := range s.violations {
			t.Error(f)
		}
	})
}

// placedEverywhere reports whether a version has its required replicas in each domain, and at least one.
func (s *sim) placedEverywhere(version string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.domains {
		if st := s.tables[name].Versions[version]; st.Ready == 0 || st.Ready < st.Need {
			return false
		}
	}
	return true
}

// BenchmarkPlan measures a plan with 168 endpoints and 18 versions, the size of the target deployment.
func BenchmarkPlan(b *testing.B) {
	in := placement.Input{Domains: measuredDomains, Slots: slots, VersionsPerEndpoint: 1, MaxLoads: 8, SpareReplicas: 1}
	for v := range measuredVersions {
		in.Demands = append(in.Demands, placement.Demand{Version: fmt.Sprintf("v%02d", v), Wanted: true, Running: 200})
	}
	for i := range 168 {
		in.Endpoints = append(in.Endpoints, placement.Endpoint{ID: fmt.Sprintf("e%03d", i), Versions: []string{fmt.Sprintf("v%02d", i%(measuredVersions-1))}})
	}
	b.ReportAllocs()
	for b.Loop() {
		placement.Plan(in)
	}
}
