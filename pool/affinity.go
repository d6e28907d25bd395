package pool

import "time"

const (
	// requestTokens is the length of a prompt that an engine with continuous batching prefills in one step.
	requestTokens = 256
	// maxAffinity bounds the requests that an endpoint may have more than another one and still be preferred for a prefix
	// that it holds.
	maxAffinity = 4
)

// home returns the endpoint of a group that probably holds a prompt's prefix: the first one by rendezvous hash that
// admits the request, among the first two. All daemons that use the endpoint compute the same hash, so that no table
// and no messages are needed.
func (p *Pool) home(group []*endpoint, q *Query, t *table, now time.Time) (*endpoint, float64) {
	var first, second *endpoint
	var firstHash, secondHash uint64
	for _, e := range group {
		switch h := rendezvous(q.Prefix, e.key); {
		case first == nil || h > firstHash:
			second, secondHash = first, firstHash
			first, firstHash = e, h
		case second == nil || h > secondHash:
			second, secondHash = e, h
		}
	}
	var ignored Shortage // the endpoints are counted when they are compared
	for _, e := range [...]*endpoint{first, second} {
		if e == nil {
			continue
		}
		if c, ok := e.consider(q, t.view, t.rules[q.Service], now, &ignored); ok {
			return e, c.score - e.bonus(q, t.rules[q.Service], now)
		}
	}
	return nil, 0
}

// bonus is the part of the score that the prefill of a prefix is worth. It makes up for requests in flight, at most
// maxAffinity, and for prompts in progress that take no longer than the steps which a cached prompt saves, all but one. It
// is at most the part that stands for requests at the endpoint, so that an endpoint without a queue is never passed over for one
// with a queue that costs more than the prefill.
func (e *endpoint) bonus(q *Query, r *rule, now time.Time) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	requests := min(float64(q.Prompt)/requestTokens, maxAffinity)
	share := max(1, e.place(r, now).share(int64(r.limits.Slots), r.limits.Slots))
	prompts := prefillCost * float64(min(max(0, q.Prompt-requestTokens), e.prefill)) / requestTokens
	return min(requests/float64(share)+prompts, e.queueCost(r, now))
}
