package pool

import (
	"slices"
	"testing"
	"time"
)

// Guards against a prefix that all requests share and that draws them to one endpoint, and against a bonus that passes
// over an idle endpoint.
func TestAffinityDoesNotHerd(t *testing.T) {
	p, now := warmPool(8, 0)
	q := Query{Service: testService, Version: "v0", Tokens: 100, Prefix: 7, Prompt: 1 << 20}
	for range 200 {
		if _, _, ok := p.Pick(q, now); !ok {
			t.Fatal("no room")
		}
		var counts []int64
		for _, s := range p.Dump(now, 8) {
			counts = append(counts, s.InFlight)
		}
		slices.Sort(counts)
		// The endpoint of the prefix has at most maxAffinity more than the one that it is preferred to, and the new request.
		if counts[7]-counts[6] > maxAffinity+1 {
			t.Fatalf("%d in flight", counts)
		}
	}
}

// Guards against a prefix that all requests share and that draws generating requests, which have no prompt in progress, to
// one endpoint.
func TestAffinityDoesNotHerdGenerating(t *testing.T) {
	p, now := warmPool(8, 0)
	for range 200 {
		r, _, ok := p.Pick(Query{Service: testService, Version: "v0", Tokens: 100, Prefix: 7, Prompt: 1 << 20}, now)
		if !ok {
			t.Fatal("no room")
		}
		r.Progress("a", now)
		now = now.Add(time.Millisecond)
	}
	least, most := int64(200), int64(0)
	for _, s := range p.Dump(now, 8) {
		least, most = min(least, s.InFlight), max(most, s.InFlight)
	}
	// Endpoints whose scores differ by less than sameCost count as equal.
	if limit := float64(maxAffinity+1) + sameCost*64; float64(most-least) > limit {
		t.Errorf("from %d to %d requests in flight; want a difference of at most %.0f", least, most, limit)
	}
}

// Guards against a prompt of one step that waits for another one because of its prefix, and against a long one that is
// processed anew elsewhere instead of waiting for a shorter time.
func TestAffinityWaitsOnlyForSavedSteps(t *testing.T) {
	p, now := warmPool(8, 0)
	first, _, _ := p.Pick(Query{Service: testService, Version: "v0", Prefix: 7, Prompt: 2 * requestTokens}, now)
	if r, _, _ := p.Pick(Query{Service: testService, Version: "v0", Prefix: 7, Prompt: requestTokens}, now); r.ID == first.ID {
		t.Error("a prompt of one step waits for a prompt of two")
	}
	if r, _, _ := p.Pick(Query{Service: testService, Version: "v0", Prefix: 7, Prompt: 4 * requestTokens}, now); r.ID != first.ID {
		t.Errorf("a prompt of four steps went to %s; its prefix is at %s", r.ID, first.ID)
	}
}

// Guards against daemons that send the turns of a conversation to different endpoints, and conversations that all have
// the same one.
func TestAffinityAgreesAmongDaemons(t *testing.T) {
	used := map[string]bool{}
	for prefix := range uint64(64) {
		var ids []string
		for seed := range uint64(4) {
			p, now := warmPool(8, 0)
			p.spec.Rand = func() uint64 { return seed }
			r, _, ok := p.Pick(Query{Service: testService, Version: "v0", Prefix: prefix + 1, Prompt: 1000}, now)
			if !ok {
				t.Fatal("no room")
			}
			ids = append(ids, r.ID)
		}
		for _, id := range ids {
			used[id] = true
			if id != ids[0] {
				t.Errorf("prefix %d: endpoints %v", prefix, ids)
				break
			}
		}
	}
	if len(used) != 8 {
		t.Errorf("%d of 8 endpoints were used", len(used))
	}
}

// Guards against requests that wait for an endpoint which failed, because it holds their prefix.
func TestAffinityAvoidsFailedEndpoint(t *testing.T) {
	p, now := warmPool(8, 0)
	q := Query{Service: testService, Version: "v0", Prefix: 7, Prompt: 1000}
	r, _, _ := p.Pick(q, now)
	r.Release(Broken, now)
	now = now.Add(time.Millisecond)
	var next string
	for range 4 {
		s, _, ok := p.Pick(q, now)
		if !ok || s.ID == r.ID || next != "" && s.ID != next {
			t.Errorf("endpoint %s after %s and failed %s", s.ID, next, r.ID)
		}
		next = s.ID
		s.Release(Succeeded, now)
	}
}
