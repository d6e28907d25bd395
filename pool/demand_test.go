package pool

import (
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/hostlist"
)

// Guards against requests at leaving endpoints that are not counted, and against leaving or failed endpoints that count as usable.
func TestDomainLoads(t *testing.T) {
	now := time.Unix(1000, 0)
	p := routedPool("d0", 1, 3, 0, now, nil)
	first, _, _ := p.Pick(routedQuery("", 10), now)
	first.RecordStatement(true, 0, now)
	second, _, ok := p.Pick(routedQuery("", 10), now)
	if !ok || first.Domain != "a" || second.Domain != "a" {
		t.Fatalf("%+v, %+v", first, second)
	}
	r, _, _ := p.Pick(Query{Service: "llm", Exclude: []string{"a0", "a1", "a2", "b0", "b1"}, Routed: &RoutedQuery{}}, now)
	r.Release(ConnectionFailed, now)
	list := p.list
	for i, h := range list.Hosts {
		if h.ID == second.ID {
			list.Hosts[i].State = hostlist.StateLeaving
		}
	}
	p.SetHosts(list, now)
	got := p.DomainLoads("llm", now)
	if a, b := got["a"], got["b"]; a.InFlight != 2 || a.Present != 1 || a.Slots != 8 || b.InFlight != 0 || b.Present != 3 || b.Unusable != 1 {
		t.Errorf("%+v", got)
	}
	if p.Unreachable("b", now) {
		t.Error("a domain with one failed endpoint counts as unreachable")
	}
}
