package pool

import (
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/hostlist"
)

// Guards against an endpoint that has said that it leaves, or wants a pause, and is used again because it was listed anew.
func TestStatementsOutliveTheList(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p := routedPool("d0", 1, 1, 0, now, nil)
	list := func(started int64, listed bool) {
		l := hostlist.List{Hosts: []hostlist.Host{{ID: "d0", Role: hostlist.RoleEntry, Domain: "a"}}}
		if listed {
			l.Hosts = append(l.Hosts, hostlist.Host{ID: "e", Role: hostlist.RoleEndpoint, Service: "llm", Domain: "a", Addr: "a:1", State: hostlist.StateLive, Release: "v1", Slots: 4, Started: started})
		}
		p.SetHosts(l, now)
	}
	pick := func() (Reservation, bool) {
		r, _, ok := p.Pick(routedQuery("m", 10), now)
		if ok {
			r.Release(Succeeded, now)
		}
		return r, ok
	}
	relist := func() { list(1, false); list(1, true) }

	list(1, true)
	r, ok := pick()
	if !ok {
		t.Fatal("the endpoint can't be used")
	}
	r.RecordStatement(false, 3*time.Second, now)
	relist()
	if _, ok := pick(); ok {
		t.Error("used in the pause that it had asked for")
	}
	now = now.Add(3 * time.Second)
	if _, ok := pick(); !ok {
		t.Error("not used after the pause")
	}
	r.RecordStatement(true, 0, now)
	relist()
	if _, ok := pick(); ok {
		t.Error("used after it had said that it leaves")
	}
	if n := p.CountUsable("llm", "v1", now); n != 0 {
		t.Errorf("%d endpoints count as usable", n)
	}
	list(2, true)
	if _, ok := pick(); !ok {
		t.Error("a new process of the endpoint is not used")
	}
	r.RecordStatement(true, 0, now) // a late answer of the process before
	if _, ok := pick(); !ok {
		t.Error("a new process is not used for what the one before said")
	}
}
