package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/object"
)

// warmPool returns a pool with warm endpoints of one version, and others whose versions the tests don't request.
func warmPool(subset, others int) (*Pool, time.Time) {
	now := time.Unix(1e9, 0)
	p := newTestPool("entry-0", 1)
	p.spec.Affinity = true
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
	now = now.Add(joinSettleTimes * testSettle)
	for i := range subset {
		p.RecordLoad(endpointHost(i, 1, 1).ID, engine.Load{Boot: "a", Completed: 100}, now)
	}
	return p, now
}

// Guards against allocations on every Pick, whether it succeeds or not.
func TestPickDoesNotAllocate(t *testing.T) {
	p, now := warmPool(8, 0)
	exclude := []string{"llm-3"}
	for name, q := range map[string]Query{
		"room":    {Service: testService, Version: "v0", Tokens: 100, Exclude: exclude},
		"prefix":  {Service: testService, Version: "v0", Tokens: 100, Exclude: exclude, Prefix: 7, Prompt: 1000},
		"no room": {Service: testService, Version: "v0", Tokens: 1e9},
	} {
		if n := testing.AllocsPerRun(1000, func() {
			if r, _, ok := p.Pick(q, now); ok {
				r.Release(Succeeded, now)
			}
		}); n != 0 {
			t.Errorf("%s: %v allocations per Pick", name, n)
		}
	}
}

// Guards against sending a prompt to an endpoint with a long prompt in prefill while another endpoint has none, and
// against counting prompts after their first token or after the end of the request.
func TestPromptsInProgressCount(t *testing.T) {
	p, now := warmPool(2, 0)
	q := Query{Service: testService, Version: "v0", Tokens: 100, Prompt: 4 * prefillStepTokens}
	first, _, _ := p.Pick(q, now)
	for range 3 {
		r, _, ok := p.Pick(Query{Service: testService, Version: "v0", Tokens: 100}, now)
		if !ok || r.ID == first.ID {
			t.Fatalf("a request went to %s, which has a prompt in prefill", r.ID)
		}
	}
	first.RecordProgress("a", now)
	if n := first.endpoint.prefillTokens; n != 0 {
		t.Errorf("%d prompt tokens in prefill after the first token", n)
	}
	first.Release(Succeeded, now)
	second, _, _ := p.Pick(q, now)
	second.Release(Cancelled, now)
	if n := second.endpoint.prefillTokens; n != 0 {
		t.Errorf("%d prompt tokens in prefill after the end of the request", n)
	}
}

// Guards against sending consecutive prompts to one endpoint because of small differences between the load reports.
func TestEqualEndpointsAreChosenInTurn(t *testing.T) {
	p, now := warmPool(8, 0)
	for i := range 8 {
		p.RecordLoad(endpointHost(i, 1, 1).ID, engine.Load{Boot: "a", Completed: 100, Running: i % 4}, now)
	}
	chosen := map[string]int{}
	for range 24 {
		now = now.Add(time.Millisecond)
		r, _, _ := p.Pick(Query{Service: testService, Version: "v0", Prompt: prefillStepTokens}, now)
		chosen[r.ID]++
		r.Release(Succeeded, now)
	}
	for id, n := range chosen {
		if n != 3 {
			t.Errorf("%s was chosen %d times in 24 picks among 8 endpoints, want 3", id, n)
		}
	}
}

// BenchmarkPick shows that the cost depends neither on the number of unrelated endpoints nor, with free capacity, on
// the number of candidates.
func BenchmarkPick(b *testing.B) {
	for _, size := range []struct{ subset, others int }{{8, 0}, {8, 800}, {64, 0}} {
		b.Run(fmt.Sprintf("subset=%d/others=%d", size.subset, size.others), func(b *testing.B) {
			p, now := warmPool(size.subset, size.others)
			b.ReportAllocs()
			for b.Loop() {
				if r, _, ok := p.Pick(Query{Service: testService, Version: "v0", Tokens: 100, Prefix: 7, Prompt: 1000}, now); ok {
					r.Release(Succeeded, now)
				} else {
					b.Fatal("no free endpoint")
				}
			}
		})
	}
}

// Guards against token shares so small that no daemon can send a request that a team may send and an endpoint can hold.
func TestLargestRequestFitsSomewhere(t *testing.T) {
	const daemons, largest = 10, 300
	now := time.Unix(1e9, 0)
	list := hostlist.List{Hosts: []hostlist.Host{endpointHost(0, 1, 1)}}
	for i := range daemons {
		list.Hosts = append(list.Hosts, entryHost(i, 1))
	}
	fits, held := 0, int64(0)
	for i := range daemons {
		p := newTestPool(entryHost(i, 1).ID, 1)
		p.SetView(testView(object.EndpointLimits{Slots: 20, ColdSlots: 20, Tokens: 1000}, largest, 1), now)
		p.SetHosts(list, now)
		now := now.Add(joinSettleTimes * testSettle)
		size := int64(largest)
		_, short, ok := p.Pick(Query{Service: testService, Version: "v0", Tokens: size}, now)
		if ok {
			fits++
		} else {
			if !short.Infeasible() {
				t.Errorf("%+v: the request would wait for capacity that never becomes free", short)
			}
			size = 50
			if _, _, ok := p.Pick(Query{Service: testService, Version: "v0", Tokens: size}, now); !ok {
				t.Error("a daemon has no capacity for an ordinary request")
			}
		}
		held += size
	}
	if fits == 0 || held > 1000 {
		t.Errorf("%d daemons took the largest request; %d tokens are held at a limit of 1000", fits, held)
	}
}

// Guards against forgetting the requests in flight of an endpoint that leaves the list and returns, and against polling
// only an endpoint that gives no reports.
func TestEndpointKeepsItsState(t *testing.T) {
	p, now := warmPool(2, 0)
	if _, _, ok := p.Pick(Query{Service: testService, Version: "v0", Exclude: []string{"llm-1"}}, now); !ok {
		t.Fatal("no free endpoint")
	}
	list := p.list
	p.SetHosts(hostlist.List{Hosts: list.Hosts[:1]}, now)
	p.SetHosts(list, now)
	if s := p.Dump(now, 1); s[0].InFlight != 1 {
		t.Errorf("%d requests in flight after the endpoint was listed again; want 1", s[0].InFlight)
	}
	asked := map[string]int{}
	for range 10 {
		for _, target := range p.NextPolls(1, now) {
			asked[target.ID]++
			if target.ID == "llm-0" {
				p.RecordLoadFailure(target.ID, now)
			} else {
				p.RecordLoad(target.ID, engine.Load{Boot: "a"}, now)
			}
		}
		now = now.Add(100 * time.Millisecond)
	}
	if asked["llm-0"] != 5 || asked["llm-1"] != 5 {
		t.Errorf("polls by endpoint: %v; want 5 each", asked)
	}
}
