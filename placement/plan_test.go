package placement

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// applyOrders applies the orders of a plan to its input.
func applyOrders(in *Input, orders []Order) {
	for _, o := range orders {
		for i := range in.Endpoints {
			e := &in.Endpoints[i]
			if e.ID != o.Endpoint {
				continue
			}
			e.Versions = slices.DeleteFunc(slices.Clone(e.Versions), func(v string) bool { return v == o.Version })
			if o.Action == Load {
				e.Versions = append(e.Versions, o.Version)
			}
		}
	}
}

// replicas counts the replicas of each version.
func replicas(in Input) map[string]int {
	have := map[string]int{}
	for _, e := range in.Endpoints {
		for _, v := range e.Versions {
			have[v]++
		}
	}
	return have
}

func drawInput(t *rapid.T) Input {
	in := Input{
		Domains: rapid.IntRange(1, 5).Draw(t, "domains"), Slots: rapid.IntRange(1, 64).Draw(t, "slots"),
		VersionsPerEndpoint: rapid.IntRange(1, 3).Draw(t, "perEndpoint"), MaxLoads: rapid.IntRange(0, 4).Draw(t, "loads"),
		SpareReplicas: rapid.IntRange(0, 1).Draw(t, "spare"),
	}
	versions := rapid.IntRange(1, 6).Draw(t, "versions")
	for v := range versions {
		in.Demands = append(in.Demands, Demand{Version: fmt.Sprintf("v%d", v), Running: rapid.IntRange(0, 200).Draw(t, "running"), Wanted: rapid.Bool().Draw(t, "wanted")})
	}
	for e := range rapid.IntRange(0, 20).Draw(t, "endpoints") {
		ep := Endpoint{ID: fmt.Sprintf("e%02d", e), Running: rapid.IntRange(0, 3).Draw(t, "load")}
		for range rapid.IntRange(0, in.VersionsPerEndpoint).Draw(t, "held") {
			if v := fmt.Sprintf("v%d", rapid.IntRange(0, versions-1).Draw(t, "version")); !slices.Contains(ep.Versions, v) {
				ep.Versions = append(ep.Versions, v)
			}
		}
		in.Endpoints = append(in.Endpoints, ep)
	}
	return in
}

// Guards against plans that unload a required replica, exceed MaxLoads or an endpoint's capacity, or never converge.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		for round := 0; ; round++ {
			orders := Plan(in)
			if len(orders) == 0 {
				break
			}
			if round > 500 {
				t.Fatalf("plans have not converged after %d rounds, last orders: %v", round, orders)
			}
			checkPlan(t, in, orders)
			applyOrders(&in, orders)
		}
		checkConverged(t, in)
	})
}

// checkPlan verifies that the orders of one plan keep the limits and the required replicas.
func checkPlan(t *rapid.T, in Input, orders []Order) {
	before, loads := replicas(in), 0
	after := in
	after.Endpoints = slices.Clone(in.Endpoints)
	applyOrders(&after, orders)
	have := replicas(after)
	for _, o := range orders {
		if o.Action == Load {
			loads++
		}
	}
	if loads > in.MaxLoads {
		t.Fatalf("plan has %d loads, limit %d", loads, in.MaxLoads)
	}
	for _, d := range in.Demands {
		need := RequiredReplicas(d, in.Domains, in.Slots)
		if have[d.Version] < before[d.Version] && have[d.Version] < need+in.SpareReplicas && need > 0 {
			t.Fatalf("version %s went from %d to %d replicas, want at least %d and %d spare", d.Version, before[d.Version], have[d.Version], need, in.SpareReplicas)
		}
	}
	for _, e := range after.Endpoints {
		if len(e.Versions) > in.VersionsPerEndpoint {
			t.Fatalf("endpoint %s has more versions than fit: %v", e.ID, e.Versions)
		}
	}
}

// checkConverged verifies that no replica is missing while an endpoint has free capacity for it.
func checkConverged(t *rapid.T, in Input) {
	have := replicas(in)
	for _, d := range in.Demands {
		if in.MaxLoads == 0 || have[d.Version] >= RequiredReplicas(d, in.Domains, in.Slots) {
			continue
		}
		for _, e := range in.Endpoints {
			if len(e.Versions) < in.VersionsPerEndpoint && !slices.Contains(e.Versions, d.Version) {
				t.Fatalf("a replica of version %s is missing although endpoint %s has capacity", d.Version, e.ID)
			}
		}
	}
}

// Guards against a number of replicas that is too small once one failure domain is lost.
func TestRequiredReplicasCoverDomainLoss(t *testing.T) {
	for domains := 2; domains <= 5; domains++ {
		for running := 0; running <= 5000; running += 137 {
			need := RequiredReplicas(Demand{Running: running, Wanted: true}, domains, 32)
			if left := need * (domains - 1) * 32; left < running {
				t.Errorf("%d domains, %d requests: only %d slots are left after the loss of a domain", domains, running, left)
			}
		}
	}
}
