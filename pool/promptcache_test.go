package pool

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/object"
)

// poolsOfTwoDomains returns the pools of n daemons in each of the domains a and b, with a routed service "llm" that has
// endpoints in both.
func poolsOfTwoDomains(n, endpoints int, now time.Time) []*Pool {
	set := object.Set{
		FailureDomains: []object.FailureDomain{{Name: "a", State: object.DomainIn}, {Name: "b", State: object.DomainIn}},
		Services:       []object.Service{{Name: "llm", Type: object.ServicePlain, Routed: &object.RoutedService{}}},
	}
	var list hostlist.List
	var pools []*Pool
	for _, domain := range []string{"a", "b"} {
		for i := range endpoints {
			list.Hosts = append(list.Hosts, hostlist.Host{ID: fmt.Sprintf("%s%d", domain, i), Role: hostlist.RoleEndpoint, Domain: domain,
				State: hostlist.StateLive, Addr: fmt.Sprintf("%s%d:1", domain, i), Service: "llm", Release: "v1", Slots: 128})
		}
	}
	for _, domain := range []string{"a", "b"} {
		for i := range n {
			p := New(Spec{Self: fmt.Sprintf("d%s%d", domain, i), Domain: domain, Settle: time.Second, Rand: func() uint64 { return 0 }})
			p.SetView(config.Index(config.Revision{Number: 1}, set), now)
			p.SetHosts(list, now)
			pools = append(pools, p)
		}
	}
	return pools
}

// Answers the load of callers in two failure domains who ask about the same long documents every few seconds, of a small
// model that reads them in some milliseconds. Guards against daemons that each let a near endpoint read a document which
// another endpoint has in its cache, and against a queue at the endpoint that has it: nine in ten of the tokens that can be
// found must be found, and 95 in 100 answers must begin within a tenth of the target.
func TestCachedPromptsAreFoundAcrossDomains(t *testing.T) {
	const (
		documents, documentTokens = 120, 5000
		requestsPerSecond         = 20
		baseMs, tokenMs           = 40.0, 0.0027
		warmUp, length            = 10 * time.Second, 40 * time.Second
		cacheTTL                  = 8 * time.Second
		target                    = 3 * time.Second
	)
	start := time.Unix(1000, 0)
	rng := rand.New(rand.NewPCG(5, 6))
	pools := poolsOfTwoDomains(3, 6, start)
	type cached struct {
		endpoint string
		document uint64
	}
	readAt := map[cached]time.Time{}
	lastReadAt := map[uint64]time.Time{} // at any endpoint
	idleAt := map[string]time.Time{}     // when each endpoint has processed all its prompts
	possible, found := 0, 0
	var latencies []time.Duration
	for now := start; now.Before(start.Add(length)); now = now.Add(time.Duration(rng.ExpFloat64() / requestsPerSecond * float64(time.Second))) {
		document := 1 + rng.Uint64N(documents)
		parts := []engine.PromptPart{{ID: 1000, Tokens: 500}, {ID: document, Tokens: documentTokens}, {ID: rng.Uint64(), Tokens: 2000}}
		q := Query{Service: "llm", Prompt: 500 + documentTokens + 2000, Routed: &RoutedQuery{Model: "small", Parts: parts, Target: target, Gap: time.Second, Bytes: 12 << 10}}
		r, _, ok := pools[rng.IntN(len(pools))].Pick(q, now)
		if !ok {
			t.Fatal("no endpoint")
		}
		key := cached{r.ID, document}
		hit := now.Sub(readAt[key]) < cacheTTL
		if now.Sub(start) > warmUp && now.Sub(lastReadAt[document]) < cacheTTL {
			possible++
			if hit {
				found++
			}
		}
		readAt[key], lastReadAt[document] = now, now
		tokens := 2000.0
		if !hit {
			tokens += documentTokens
		}
		begin := now
		if idleAt[r.ID].After(now) {
			begin = idleAt[r.ID]
		}
		idleAt[r.ID] = begin.Add(time.Duration(tokenMs * tokens * float64(time.Millisecond)))
		latency := idleAt[r.ID].Add(time.Duration(baseMs * float64(time.Millisecond))).Sub(now)
		latencies = append(latencies, latency)
		r.RecordRoutedHeader(latency, true, nil, 0, now)
		r.Release(Succeeded, now)
	}
	slices.Sort(latencies)
	p95 := latencies[len(latencies)*95/100]
	if possible == 0 || float64(found) < 0.9*float64(possible) {
		t.Errorf("documents found at the chosen endpoint: %d of %d", found, possible)
	}
	if p95 > target/10 {
		t.Errorf("95th percentile of the latency is %v, the target is %v", p95, target)
	}
	t.Logf("found %d of %d, 95th percentile of the latency %v", found, possible, p95)
}
