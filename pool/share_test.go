package pool

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/bramleytrail/bramleytrail/hostlist"
)

// referenceOrder sorts the daemons for an endpoint: those of its own domain first, each part by falling score.
func referenceOrder(endpoint hostlist.Host, daemons []hostlist.Host) []hostlist.Host {
	out := slices.Clone(daemons)
	slices.SortFunc(out, func(a, b hostlist.Host) int {
		if la, lb := a.Domain == endpoint.Domain, b.Domain == endpoint.Domain; la != lb {
			if la {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(rendezvous(b.ID, endpoint.ID), rendezvous(a.ID, endpoint.ID)), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// Guards against shares that add up to more or less than an endpoint's limit: the ranks that the daemons compute for
// themselves must be 0 to members-1, each once, in the order of the sorted reference.
func TestLocateGivesEachRankOnce(t *testing.T) {
	for _, n := range []int{1, 2, 7, 40} {
		for _, slots := range []int{1, 4, 32, 1000} {
			var daemons []hostlist.Host
			for i := range n {
				daemons = append(daemons, hostlist.Host{ID: fmt.Sprintf("entry-%d", i), Domain: fmt.Sprintf("d%d", i%3)})
			}
			for e := range 30 {
				endpoint := hostlist.Host{ID: fmt.Sprintf("endpoint-%d", e), Domain: fmt.Sprintf("d%d", e%4)}
				var got []string
				ranks := map[int]string{}
				members := 0
				for _, d := range daemons {
					pos := locate(d.ID, endpoint, daemons, slots)
					members = pos.members
					if pos.rank != notAssigned {
						ranks[pos.rank] = d.ID
						got = append(got, d.ID)
					}
				}
				if len(got) != members || len(ranks) != members || members != assignmentSize(n, slots) {
					t.Fatalf("%d daemons, %d slots: %d daemons on %d ranks of %d", n, slots, len(got), len(ranks), members)
				}
				at := 0
				for _, d := range referenceOrder(endpoint, daemons) {
					if ranks[at] == d.ID {
						at++
					}
				}
				if at != members {
					t.Fatalf("%d daemons, %d slots: ranks %v are not in the order of the reference", n, slots, ranks)
				}
			}
		}
	}
}

// BenchmarkRebuild gives the processor time of a change of the host list at 370 daemons and 840 endpoints.
func BenchmarkRebuild(b *testing.B) {
	var daemons []hostlist.Host
	for i := range 370 {
		daemons = append(daemons, hostlist.Host{ID: fmt.Sprintf("domain-%d-entry-%d", i%5, i), Domain: fmt.Sprintf("domain-%d", i%5)})
	}
	for b.Loop() {
		for e := range 840 {
			locate(daemons[0].ID, hostlist.Host{ID: fmt.Sprintf("llm-%04d", e), Domain: fmt.Sprintf("domain-%d", e%5)}, daemons, 32)
		}
	}
}
