package pool

import (
	"time"

	"github.com/bramleytrail/bramleytrail/selection"
)

const (
	// prefillStepTokens is the number of prompt tokens that an engine with continuous batching processes in one step.
	prefillStepTokens = 256
	// maxAffinityRequests is how many more requests than another endpoint an endpoint may have and still be preferred
	// for a cached prefix.
	maxAffinityRequests = 4
)

// affinityEndpoint returns the endpoint that probably has a prompt's prefix in its cache, and its score: of the first
// two endpoints by rendezvous hash, the first that can take the request, or nil. All daemons that use the endpoint
// compute the same hash, so no table and no messages are needed.
func (p *Pool) affinityEndpoint(group []*endpoint, q *Query, t *table, now time.Time) (*endpoint, float64) {
	var first, second *endpoint
	var firstHash, secondHash uint64
	for _, e := range group {
		switch h := selection.Rendezvous(q.Prefix, e.key); {
		case first == nil || h > firstHash:
			second, secondHash = first, firstHash
			first, firstHash = e, h
		case second == nil || h > secondHash:
			second, secondHash = e, h
		}
	}
	var ignored Shortage // selectEndpoint counts these endpoints
	for _, e := range [...]*endpoint{first, second} {
		if e == nil {
			continue
		}
		if c, ok := e.evaluate(q, t.view, t.rules[q.Service], now, &ignored); ok {
			return e, c.score - e.affinityBonus(q, t.rules[q.Service], now)
		}
	}
	return nil, 0
}

// affinityBonus returns the reduction of the score for a cached prefix. It offsets requests in flight, up to
// maxAffinityRequests, and prompts in prefill up to one engine step less than the cached prefix saves. It is at most
// queueCost, so that an idle endpoint is never passed over for one whose queue costs more than the prefill.
func (e *endpoint) affinityBonus(q *Query, r *serviceRules, now time.Time) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	requests := min(float64(q.Prompt)/prefillStepTokens, maxAffinityRequests)
	share := max(1, e.currentAssignment(r, now).share(int64(r.limits.Slots), r.limits.Slots))
	prompts := prefillCost * float64(min(max(0, q.Prompt-prefillStepTokens), e.prefillTokens)) / prefillStepTokens
	return min(requests/float64(share)+prompts, e.queueCost(r, now))
}
