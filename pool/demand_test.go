package pool

import (
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
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

// Guards against refusals at idle endpoints because reports are old, and against slots of endpoints that are not usable.
func TestServiceLoad(t *testing.T) {
	now := time.Unix(1000, 0)
	p := routedPool("d0", 1, 2, 0, now, nil)
	before := p.ServiceLoad("llm", now)
	r, _, ok := p.Pick(routedQuery("m", 10), now)
	if !ok || before.Slots == 0 || before.InUse != 0 {
		t.Fatalf("%+v before requests", before)
	}
	slots := r.endpoint.host.Slots
	r.RecordRoutedHeader(time.Millisecond, true, &engine.SlotLoad{Running: slots, Waiting: 3, Slots: slots, Slowness: 1}, 0, now)
	if got := p.ServiceLoad("llm", now); got != (ServiceLoad{before.Slots, slots, 3}) {
		t.Errorf("%+v with a full endpoint", got)
	}
	if got := p.ServiceLoad("llm", now.Add(peerRequestsTTL)); got != (ServiceLoad{before.Slots, 1, 0}) {
		t.Errorf("%+v with an old report", got)
	}
	r.RecordStatement(true, 0, now)
	if got := p.ServiceLoad("llm", now); got != (ServiceLoad{before.Slots - slots, 0, 0}) {
		t.Errorf("%+v after the endpoint said that it leaves", got)
	}
}
