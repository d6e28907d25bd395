package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/object"
)

// routedPool returns the pool of a daemon in domain a, with a routed service "llm" that has n endpoints in each of the
// domains a and b.
func routedPool(self string, daemons, n int, coldPerSecond float64, now time.Time, modify func(*hostlist.Host)) *Pool {
	p := New(Spec{Self: self, Domain: "a", Settle: time.Second, Rand: func() uint64 { return 0 }})
	set := object.Set{
		FailureDomains: []object.FailureDomain{{Name: "a", State: object.DomainIn}, {Name: "b", State: object.DomainIn}},
		Services:       []object.Service{{Name: "llm", Type: object.ServicePlain, Routed: &object.RoutedService{ColdPerSecond: coldPerSecond}}},
	}
	p.SetView(config.Index(config.Revision{Number: 1}, set), now)
	var list hostlist.List
	for i := range daemons {
		list.Hosts = append(list.Hosts, hostlist.Host{ID: fmt.Sprintf("d%d", i), Role: hostlist.RoleEntry, Domain: "a"})
	}
	for _, domain := range []string{"a", "b"} {
		for i := range n {
			h := hostlist.Host{ID: fmt.Sprintf("%s%d", domain, i), Role: hostlist.RoleEndpoint, Domain: domain, State: hostlist.StateLive,
				Addr: fmt.Sprintf("%s%d:1", domain, i), Service: "llm", Release: "v1", Slots: 8}
			if modify != nil {
				modify(&h)
			}
			list.Hosts = append(list.Hosts, h)
		}
	}
	p.SetHosts(list, now)
	return p
}

func routedQuery(model string, prompt int64, parts ...engine.PromptPart) Query {
	return Query{Service: "llm", Prompt: prompt, Routed: &RoutedQuery{Model: model, Parts: parts, Target: time.Second, Gap: time.Second}}
}

// Guards against daemons that together exceed the limit of a cold endpoint within a second, including when it becomes
// cold. This was seen with 60 daemons.
func TestColdEndpointOverAllDaemons(t *testing.T) {
	const limit = 18.0
	for _, daemons := range []int{1, 9, 60, 370} {
		start := time.Unix(1000, 0)
		cold := func(h *hostlist.Host) { h.ColdUntil = start.Add(time.Minute) }
		const tick = 10   // milliseconds
		var sent [400]int // requests by tick
		var pools []*Pool
		for i := range daemons {
			pools = append(pools, routedPool(fmt.Sprintf("d%d", i), daemons, 1, limit, start, cold))
		}
		for ms := range sent {
			now := start.Add(time.Duration(ms) * tick * time.Millisecond)
			for _, p := range pools {
				q := routedQuery("m", 10)
				q.Exclude = []string{"b0"}
				if r, _, ok := p.Pick(q, now); ok {
					sent[ms]++
					r.Release(Succeeded, now)
				}
			}
		}
		most, total := 0, 0
		for from := 0; from+1000/tick <= len(sent); from += 5 {
			n := 0
			for _, c := range sent[from : from+1000/tick] {
				n += c
			}
			most = max(most, n)
		}
		for _, c := range sent {
			total += c
		}
		if most > limit*1.5+5 {
			t.Errorf("%d daemons sent %d requests in a second, the limit of the cold endpoint is %.0f", daemons, most, limit)
		}
		if total < limit {
			t.Errorf("%d daemons sent only %d requests in 4 s, the limit of the cold endpoint is %.0f per second", daemons, total, limit)
		}
	}
}

// Guards against sending a request to a software version that it excludes.
func TestQueryReleaseRestriction(t *testing.T) {
	now := time.Unix(1000, 0)
	p := routedPool("d0", 1, 4, 0, now, func(h *hostlist.Host) {
		if h.ID == "a1" || h.ID == "b2" {
			h.Release = "v2"
		}
	})
	for range 50 {
		q := routedQuery("m", 10)
		q.Routed.Release = "v2"
		r, _, ok := p.Pick(q, now)
		if !ok || r.SoftwareRelease() != "v2" {
			t.Fatalf("a request for v2 went to %q", r.ID)
		}
		r.Release(Succeeded, now)
		q = routedQuery("m", 10)
		q.Routed.NotRelease = "v2"
		r, _, ok = p.Pick(q, now)
		if !ok || r.SoftwareRelease() == "v2" {
			t.Fatalf("a request that excludes v2 went to %q", r.ID)
		}
		r.Release(Succeeded, now)
	}
}

// Guards against traffic between failure domains while the daemon's own domain has idle endpoints.
func TestOwnDomainFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	p := routedPool("d0", 1, 3, 0, now, nil)
	for range 30 {
		r, _, ok := p.Pick(routedQuery("m", 10), now)
		if !ok || r.Domain != "a" {
			t.Fatalf("endpoint %q in domain %q was chosen, want one in a", r.ID, r.Domain)
		}
		r.Release(Succeeded, now)
	}
}

// Guards against daemons that send prompts with the same parts to different endpoints, each of which processes the
// parts again.
func TestDaemonsAgreeOnPromptAffinity(t *testing.T) {
	now := time.Unix(1000, 0)
	agree := 0
	for i := range 40 {
		parts := []engine.PromptPart{{ID: 1, Tokens: 500}, {ID: uint64(100 + i), Tokens: 5000}, {ID: uint64(9000 + i), Tokens: 500}}
		first, _, _ := routedPool("d0", 2, 4, 0, now, nil).Pick(routedQuery("m", 6000, parts...), now)
		second, _, _ := routedPool("d1", 2, 4, 0, now, nil).Pick(routedQuery("m", 6000, parts...), now)
		if first.ID == second.ID {
			agree++
		}
	}
	if agree != 40 {
		t.Errorf("two daemons chose the same endpoint for %d of 40 prompts, want all", agree)
	}
}

// Guards against sending as many requests to an endpoint that is several times slower as to each of the others.
func TestSlowEndpointGetsFewerRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	p := routedPool("d0", 1, 3, 0, now, nil)
	counts := map[string]int{}
	for range 300 {
		r, _, ok := p.Pick(routedQuery("", 0), now)
		if !ok {
			t.Fatal("no endpoint")
		}
		counts[r.ID]++
		latency := 30 * time.Millisecond
		if r.ID == "a0" {
			latency *= 5
		}
		now = now.Add(20 * time.Millisecond)
		r.RecordRoutedHeader(latency, true, nil, 0, now)
		r.Release(Succeeded, now)
	}
	if counts["a0"] > 300/10 {
		t.Errorf("300 requests by endpoint: %v; a0 is slow and should get at most a tenth", counts)
	}
	if counts["a0"] == 0 {
		t.Error("the slow endpoint got no requests at all")
	}
}

// Guards against sending as many requests to an endpoint that loses many answers as to each of the others.
func TestFailingEndpointGetsFewerRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	p := routedPool("d0", 1, 3, 0, now, nil)
	counts := map[string]int{}
	for i := range 300 {
		r, _, ok := p.Pick(routedQuery("", 0), now)
		if !ok {
			t.Fatal("no endpoint")
		}
		counts[r.ID]++
		now = now.Add(20 * time.Millisecond)
		if r.ID == "a0" && i%2 == 0 {
			r.Release(Incomplete, now)
			continue
		}
		r.Release(Succeeded, now)
	}
	if counts["a0"] > 300/5 {
		t.Errorf("300 requests by endpoint: %v; a0 fails and should get at most a fifth", counts)
	}
}

// Guards against sending more requests to a full endpoint although its last answer reported the requests of other
// daemons.
func TestPeerRequestsCount(t *testing.T) {
	now := time.Unix(1000, 0)
	p := routedPool("d0", 1, 1, 0, now, nil)
	r, _, _ := p.Pick(routedQuery("m", 10), now)
	r.RecordRoutedHeader(time.Millisecond, true, &engine.SlotLoad{Running: 8, Slots: 8}, 0, now)
	if next, _, ok := p.Pick(routedQuery("m", 10), now); ok && next.ID == r.ID {
		t.Errorf("an endpoint that reported full slots was chosen again")
	}
	later := now.Add(2 * peerRequestsTTL)
	if _, _, ok := p.Pick(routedQuery("m", 10), later); !ok {
		t.Error("no endpoint after the load report expired")
	}
}

// Guards against attributing the constant part of the latency to the prompt tokens.
func TestLatencyModelFit(t *testing.T) {
	p := newEstimates()
	now := time.Unix(1000, 0)
	for i := range 400 {
		tokens := int64(i * 37 % 5000)
		p.recordLatency("llm", "m", tokens, time.Duration(50+0.02*float64(tokens))*time.Millisecond, now.Add(time.Duration(i)*50*time.Millisecond))
	}
	got := p.latencyModel("llm", "m")
	if got.baseMs < 40 || got.baseMs > 60 || got.tokenMs < 0.015 || got.tokenMs > 0.025 {
		t.Errorf("latency model %+v, want 50 ms and 0.02 ms per token", got)
	}
}

// Guards against a full share of requests for an endpoint that restarted and is cold, while its entry in the host list
// does not show the restart yet because updates from the store are slow.
func TestEndpointThatWasDownIsTakenForCold(t *testing.T) {
	const limit, detection = 18.0, 3 * time.Second
	start := time.Unix(1000, 0)
	p := routedPool("d0", 1, 1, limit, start, nil)
	p.spec.RestartDetection = detection
	countPicked := func(from time.Time, span time.Duration) (n int) {
		for at := from; at.Before(from.Add(span)); at = at.Add(5 * time.Millisecond) {
			q := routedQuery("m", 10)
			q.Exclude = []string{"b0"}
			if r, _, ok := p.Pick(q, at); ok {
				n++
				r.RecordRoutedHeader(time.Millisecond, true, nil, 0, at)
				r.Release(Succeeded, at)
			}
		}
		return n
	}
	if n := countPicked(start, time.Second); n != 200 {
		t.Fatalf("an endpoint that never failed got %d of 200 requests", n)
	}
	q := routedQuery("m", 10)
	q.Exclude = []string{"b0"}
	r, _, ok := p.Pick(q, start.Add(time.Second))
	if !ok {
		t.Fatal("no endpoint")
	}
	r.Release(ConnectionFailed, start.Add(time.Second))
	retryAt := start.Add(time.Second + ejectBase)
	if n := countPicked(retryAt, time.Second); n == 0 || n > limit {
		t.Errorf("%d requests in the second after the ejection, want 1 to %.0f in case the endpoint restarted", n, limit)
	}
	if n := countPicked(retryAt.Add(detection+500*time.Millisecond), time.Second); n != 200 {
		t.Errorf("%d of 200 requests after the host list would show a restart", n)
	}
}

// Guards against daemons that send long prompts to the same endpoint because each knows only about its own.
func TestAnnouncedPrefillCounts(t *testing.T) {
	now := time.Unix(1000, 0)
	p := routedPool("d0", 3, 2, 0, now, nil) // a0 and a1 are in the daemon's domain
	var announced []time.Duration
	p.spec.OnPrefill = func(_ Reservation, prefill time.Duration) { announced = append(announced, prefill) }
	first := pickAndRelease(t, p, now, Cancelled, "b0", "b1")
	p.RecordPeerPrefill(first, 200*time.Millisecond, now)
	for range 3 {
		if id := pickAndRelease(t, p, now.Add(time.Millisecond), Cancelled, "b0", "b1"); id == first {
			t.Error("a request was sent to an endpoint that processes a long prompt of another daemon")
		}
	}
	if len(announced) > 0 {
		t.Errorf("prompts of 10 tokens were announced: %v", announced)
	}
	if id := pickAndRelease(t, p, now.Add(time.Second), Cancelled, "b0", "b1"); id != first {
		t.Errorf("%s was chosen, although the prompt at %s was processed long ago", id, first)
	}
	q := routedQuery("m", 10_000)
	r, _, ok := p.Pick(q, now)
	if !ok || len(announced) != 1 || announced[0] < minAnnouncedPrefill {
		t.Errorf("announcements for a prompt of 10,000 tokens: %v", announced)
	}
	r.Release(Cancelled, now)
	p.RecordPeerPrefill("unknown", time.Second, now)
}

// Guards against an overloaded endpoint that gets requests from each of many daemons until each has waited there in
// vain. One endpoint got 40 requests in 8 s, and 29 of them were given up after 1.5 s or more.
func TestStalledEndpointIsAnnounced(t *testing.T) {
	const limit = time.Second
	now := time.Unix(1000, 0)
	p := routedPool("d0", 58, 2, 0, now, nil)
	var announced time.Duration
	p.spec.OnPrefill = func(_ Reservation, prefill time.Duration) { announced = prefill }
	q := routedQuery("m", 10)
	q.Exclude = []string{"b0", "b1"}
	r, _, ok := p.Pick(q, now)
	if !ok {
		t.Fatal("no endpoint")
	}
	r.Release(Stalled, now.Add(limit))
	if announced != limit {
		t.Errorf("announced %v, the endpoint stalled for %v", announced, limit)
	}
	if id := pickAndRelease(t, p, now.Add(limit+limit/2), Cancelled, "b0", "b1"); id == r.ID {
		t.Error("the stalled endpoint was chosen again at once")
	}
	other := routedPool("d1", 58, 2, 0, now, nil)
	other.RecordPeerPrefill(r.ID, announced, now.Add(limit))
	if id := pickAndRelease(t, other, now.Add(limit+limit/2), Cancelled, "b0", "b1"); id == r.ID {
		t.Error("another daemon chose the stalled endpoint")
	}
}

// Guards against daemons that all prefer an endpoint at the end of its cold time, so that it gets more than its cold
// limit within the last second of that time. It got 38 requests where 32 were allowed.
func TestEndOfColdTimeOverAllDaemons(t *testing.T) {
	const limit, daemons, tick = 18.0, 58, 10 * time.Millisecond
	start := time.Unix(1000, 0)
	end := start.Add(2 * time.Second)
	var pools []*Pool
	for i := range daemons {
		pools = append(pools, routedPool(fmt.Sprintf("d%d", i), daemons, 1, limit, start, func(h *hostlist.Host) { h.ColdUntil = end }))
	}
	sent := 0
	after := 0
	for now := start; now.Before(end.Add(4 * time.Second)); now = now.Add(tick) {
		for _, p := range pools {
			q := routedQuery("m", 10)
			q.Exclude = []string{"b0"}
			if r, _, ok := p.Pick(q, now); ok {
				switch {
				case now.After(end.Add(-500*time.Millisecond)) && now.Before(end.Add(500*time.Millisecond)):
					sent++
				case now.After(end.Add(3 * time.Second)):
					after++
				}
				r.Release(Succeeded, now)
			}
		}
	}
	if sent > limit*1.5+5 {
		t.Errorf("%d requests in the second around the end of the cold time, the limit is %.0f", sent, limit)
	}
	if want := daemons * int(time.Second/tick) * 9 / 10; after < want {
		t.Errorf("%d requests in the last second, after the cold time; want at least %d", after, want)
	}
}

// Guards against reports with a speed whose load is not used, and a service that is taken for one that reports it.
func TestReportsWithSpeed(t *testing.T) {
	now := time.Unix(1000, 0)
	p := routedPool("d0", 1, 1, 0, now, nil)
	q := routedQuery("m", 10)
	q.Exclude = []string{"b0"}
	r, _, ok := p.Pick(q, now)
	if !ok || p.ReportsSpeed("llm", now) {
		t.Fatal("no endpoint, or a speed without a report")
	}
	r.RecordRoutedHeader(time.Millisecond, true, &engine.SlotLoad{Running: 7, RunningUnknown: true}, 0, now)
	if p.ReportsSpeed("llm", now) {
		t.Error("a report without a speed counts as one with it")
	}
	r.RecordRoutedHeader(time.Millisecond, true, &engine.SlotLoad{Running: 9, Slots: 8, Slowness: 2.5}, 0, now)
	if _, _, ok := p.Pick(q, now); ok {
		t.Error("a full endpoint is chosen")
	}
	if !p.ReportsSpeed("llm", now) || p.ReportsSpeed("other", now) || p.ReportsSpeed("llm", now.Add(2*slownessTTL)) {
		t.Error("wrong services count as reporting their speed")
	}
}

// Guards against one endpoint with an absurd report that makes its whole failure domain look crowded.
func TestAbsurdLoadReport(t *testing.T) {
	now := time.Unix(1000, 0)
	p := routedPool("d0", 1, 4, 0, now, nil)
	p.spec.Rand = rand.New(rand.NewPCG(1, 0)).Uint64
	for i := range 60 {
		r, _, ok := p.Pick(routedQuery("m", 10), now)
		if !ok || r.Domain != "a" {
			t.Fatalf("request %d: endpoint %v, %q", i, ok, r.ID)
		}
		now = now.Add(20 * time.Millisecond)
		r.RecordRoutedHeader(20*time.Millisecond, true, &engine.SlotLoad{Running: 2, Slots: 8, Slowness: 1}, 0, now)
		if i >= 20 {
			p.RecordPeerReports([]PeerReport{{Endpoint: p.table.Load().byID["a0"].key, Requests: 1 << 20, Slowness: 10000}}, now.Add(time.Millisecond))
		}
		r.Release(Succeeded, now)
	}
}
