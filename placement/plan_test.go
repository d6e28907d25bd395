package placement

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// apply carries out the orders of a plan.
func apply(in *Input, orders []Order) {
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
		Spare: rapid.IntRange(0, 1).Draw(t, "spare"),
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

// Guards against plans that unload a needed version, exceed the weight store's limit or an endpoint's room, or never
// come to rest.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		for step := 0; ; step++ {
			orders := Plan(in)
			if len(orders) == 0 {
				break
			}
			if step > 500 {
				t.Fatalf("no rest after %d plans, last %v", step, orders)
			}
			checkStep(t, in, orders)
			apply(&in, orders)
		}
		checkRest(t, in)
	})
}

func checkStep(t *rapid.T, in Input, orders []Order) {
	before, loads := replicas(in), 0
	after := in
	after.Endpoints = slices.Clone(in.Endpoints)
	apply(&after, orders)
	have := replicas(after)
	for _, o := range orders {
		if o.Action == Load {
			loads++
		}
	}
	if loads > in.MaxLoads {
		t.Fatalf("%d loads, limit %d", loads, in.MaxLoads)
	}
	for _, d := range in.Demands {
		need := Need(d, in.Domains, in.Slots)
		if have[d.Version] < before[d.Version] && have[d.Version] < need+in.Spare && need > 0 {
			t.Fatalf("%s went from %d to %d replicas, need %d and %d spare", d.Version, before[d.Version], have[d.Version], need, in.Spare)
		}
	}
	for _, e := range after.Endpoints {
		if len(e.Versions) > in.VersionsPerEndpoint {
			t.Fatalf("%s has %v", e.ID, e.Versions)
		}
	}
}

// checkRest verifies that a missing replica remains only when no endpoint has room and no version has a surplus.
func checkRest(t *rapid.T, in Input) {
	have := replicas(in)
	for _, d := range in.Demands {
		if in.MaxLoads == 0 || have[d.Version] >= Need(d, in.Domains, in.Slots) {
			continue
		}
		for _, e := range in.Endpoints {
			if len(e.Versions) < in.VersionsPerEndpoint && !slices.Contains(e.Versions, d.Version) {
				t.Fatalf("%s is missing although %s has room", d.Version, e.ID)
			}
		}
	}
}

// Guards against a target that the loss of one failure domain makes too small.
func TestNeedCoversDomainLoss(t *testing.T) {
	for domains := 2; domains <= 5; domains++ {
		for running := 0; running <= 5000; running += 137 {
			need := Need(Demand{Running: running, Wanted: true}, domains, 32)
			if left := need * (domains - 1) * 32; left < running {
				t.Errorf("%d domains, %d requests: %d slots are left after a loss", domains, running, left)
			}
		}
	}
}
