package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/object"
)

// warmPool returns a pool with warm endpoints of one version, and other endpoints that it has no use for.
func warmPool(subset, others int) (*Pool, time.Time) {
	now := time.Unix(1e9, 0)
	p := newTestPool("entry-0", 1)
	p.SetView(testView(object.EndpointLimits{Slots: 64, ColdSlots: 8, Tokens: 1e6, WarmAfter: 4}, 100, 1), now)
	list := hostlist.List{Hosts: []hostlist.Host{entryHost(0, 1)}}
	for i := range subset + others {
		h := endpointHost(i, 1, 1)
		if i >= subset {
			h.Versions = []string{fmt.Sprint("other-", i%17)}
		}
		list.Hosts = append(list.Hosts, h)
	}
	p.SetHosts(list, now)
	now = now.Add(joinSettles * testSettle)
	for i := range subset {
		p.Report(endpointHost(i, 1, 1).ID, engine.Load{Boot: "a", Completed: 100}, now)
	}
	return p, now
}

// Guards against garbage for each request in the choice of an endpoint, whether it succeeds or not.
func TestPickDoesNotAllocate(t *testing.T) {
	p, now := warmPool(8, 0)
	exclude := []string{"llm-3"}
	for name, q := range map[string]Query{
		"room":    {Service: testService, Version: "v0", Tokens: 100, Exclude: exclude},
		"no room": {Service: testService, Version: "v0", Tokens: 1e9},
	} {
		if n := testing.AllocsPerRun(1000, func() {
			if r, _, ok := p.Pick(q, now); ok {
				r.Release(Succeeded, now)
			}
		}); n != 0 {
			t.Errorf("%s: %v allocations", name, n)
		}
	}
}

// BenchmarkPick shows that the cost depends neither on the size of the fleet nor, with room, on that of the subset.
func BenchmarkPick(b *testing.B) {
	for _, size := range []struct{ subset, others int }{{8, 0}, {8, 800}, {64, 0}} {
		b.Run(fmt.Sprintf("subset=%d/others=%d", size.subset, size.others), func(b *testing.B) {
			p, now := warmPool(size.subset, size.others)
			b.ReportAllocs()
			for b.Loop() {
				if r, _, ok := p.Pick(Query{Service: testService, Version: "v0", Tokens: 100}, now); ok {
					r.Release(Succeeded, now)
				} else {
					b.Fatal("no room")
				}
			}
		})
	}
}
