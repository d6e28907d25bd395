package pool

import (
	"slices"
	"testing"
	"time"
)

// Guards against sending all requests with a common prefix to one endpoint, and against an affinity bonus that makes
// Pick pass over an idle endpoint.
func TestAffinityDoesNotHerd(t *testing.T) {
	p, now := warmPool(8, 0)
	q := Query{Service: testService, Version: "v0", Tokens: 100, Prefix: 7, Prompt: 1 << 20}
	for range 200 {
		if _, _, ok := p.Pick(q, now); !ok {
			t.Fatal("no free endpoint")
		}
		var counts []int64
		for _, s := range p.Dump(now, 8) {
			counts = append(counts, s.InFlight)
		}
		slices.Sort(counts)
		// The endpoint of the prefix may have maxAffinityRequests more than the one it was preferred to, plus the new
		// request.
		if counts[7]-counts[6] > maxAffinityRequests+1 {
			t.Fatalf("requests in flight by endpoint: %d", counts)
		}
	}
}

// Guards against sending all requests with a common prefix to one endpoint while they generate, when none of them is in
// prefill.
func TestAffinityDoesNotHerdGenerating(t *testing.T) {
	p, now := warmPool(8, 0)
	for range 200 {
		r, _, ok := p.Pick(Query{Service: testService, Version: "v0", Tokens: 100, Prefix: 7, Prompt: 1 << 20}, now)
		if !ok {
			t.Fatal("no free endpoint")
		}
		r.RecordProgress("a", now)
		now = now.Add(time.Millisecond)
	}
	least, most := int64(200), int64(0)
	for _, s := range p.Dump(now, 8) {
		least, most = min(least, s.InFlight), max(most, s.InFlight)
	}
	// Endpoints whose scores differ by less than costTolerance count as equal.
	if limit := float64(maxAffinityRequests+1) + costTolerance*64; float64(most-least) > limit {
		t.Errorf("endpoints have from %d to %d requests in flight; want a difference of at most %.0f", least, most, limit)
	}
}

// Guards against a one-step prompt that waits for another one because of its prefix, and against a long prompt that is
// processed again elsewhere although waiting would be shorter.
func TestAffinityWaitsOnlyForSavedSteps(t *testing.T) {
	p, now := warmPool(8, 0)
	first, _, _ := p.Pick(Query{Service: testService, Version: "v0", Prefix: 7, Prompt: 2 * prefillStepTokens}, now)
	if r, _, _ := p.Pick(Query{Service: testService, Version: "v0", Prefix: 7, Prompt: prefillStepTokens}, now); r.ID == first.ID {
		t.Error("a one-step prompt waits for a two-step prompt")
	}
	if r, _, _ := p.Pick(Query{Service: testService, Version: "v0", Prefix: 7, Prompt: 4 * prefillStepTokens}, now); r.ID != first.ID {
		t.Errorf("a four-step prompt went to %s; its prefix is cached at %s", r.ID, first.ID)
	}
}

// Guards against daemons that send the turns of a conversation to different endpoints, and against sending all
// conversations to the same one.
func TestAffinityAgreesAmongDaemons(t *testing.T) {
	used := map[string]bool{}
	for prefix := range uint64(64) {
		var ids []string
		for seed := range uint64(4) {
			p, now := warmPool(8, 0)
			p.spec.Rand = func() uint64 { return seed }
			r, _, ok := p.Pick(Query{Service: testService, Version: "v0", Prefix: prefix + 1, Prompt: 1000}, now)
			if !ok {
				t.Fatal("no free endpoint")
			}
			ids = append(ids, r.ID)
		}
		for _, id := range ids {
			used[id] = true
			if id != ids[0] {
				t.Errorf("prefix %d: daemons chose different endpoints %v", prefix, ids)
				break
			}
		}
	}
	if len(used) != 8 {
		t.Errorf("%d of 8 endpoints were used", len(used))
	}
}

// Guards against sending requests to a failed endpoint because it has their prefix in its cache.
func TestAffinityAvoidsFailedEndpoint(t *testing.T) {
	p, now := warmPool(8, 0)
	q := Query{Service: testService, Version: "v0", Prefix: 7, Prompt: 1000}
	r, _, _ := p.Pick(q, now)
	r.Release(ConnectionFailed, now)
	now = now.Add(time.Millisecond)
	var next string
	for range 4 {
		s, _, ok := p.Pick(q, now)
		if !ok || s.ID == r.ID || next != "" && s.ID != next {
			t.Errorf("chose endpoint %q after %q; endpoint %s failed", s.ID, next, r.ID)
		}
		next = s.ID
		s.Release(Succeeded, now)
	}
}
