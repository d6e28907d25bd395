package pool

import "time"

// Policy is the rule by which one of the endpoints that admit a request is chosen.
type Policy int

// Policies. All but the first are baselines of the benchmarks.
const (
	// LeastCost takes the endpoint with the lowest cost. The cost counts this daemon's own requests exactly and most, so
	// that daemons which read the same lagging reports don't all choose the same endpoint.
	LeastCost Policy = iota
	// TwoChoices takes the better of two random endpoints by the same cost.
	TwoChoices
	// RoundRobin takes the endpoints in turn.
	RoundRobin
	// LeastRequests takes the endpoint with the fewest requests of this daemon in flight.
	LeastRequests
)

// maxCompared bounds the endpoints that are compared for one request, so that a choice costs the same with any number of
// them. At the scale target a daemon uses 8 endpoints of a version.
const maxCompared = 16

// sameCost is the difference of scores below which endpoints count as equal. It is less than remoteCost, so that endpoints
// of the own failure domain go first.
const sameCost = 0.08

// candidate is an endpoint that admits a request.
type candidate struct {
	e      *endpoint
	domain string
	score  float64
	chosen time.Time     // when this daemon last sent it a request
	wait   time.Duration // until a routed request's answer probably begins
}

// best returns the endpoint that the policy chooses, or nil if none admits the request.
func (p *Pool) best(group []*endpoint, q *Query, t *table, now time.Time, short *Shortage) *endpoint {
	if q.Routed != nil {
		return p.bestRouted(group, q, t, now, short)
	}
	start, compared := p.order(len(group))
	var list [maxCompared]candidate
	n := 0
	for i := 0; i < len(group) && n < compared; i++ {
		if c, ok := group[(start+i)%len(group)].consider(q, t.view, t.rules[q.Service], now, short); ok {
			list[n] = c
			n++
		}
	}
	if n == 0 {
		return nil
	}
	best := p.choose(list[:n])
	if p.spec.Affinity && p.spec.Policy == LeastCost && q.Prefix != 0 {
		if e, score := p.home(group, q, t, now); e != nil && score <= best.score {
			return e
		}
	}
	return best.e
}

// order returns the index of the first endpoint that is considered, and how many are compared.
func (p *Pool) order(size int) (start, compared int) {
	switch p.spec.Policy {
	case RoundRobin:
		return int(p.turn.Add(1) % uint64(size)), 1
	case TwoChoices:
		compared = 2
	default:
		compared = maxCompared
	}
	return int(p.spec.Rand() % uint64(size)), compared
}

// choose returns the candidate with the lowest score. With LeastCost, it is the one among equals that was chosen the
// longest time ago, so that prompts are spread in turn.
func (p *Pool) choose(list []candidate) *candidate {
	best := &list[0]
	for i := range list {
		if p.spec.Policy == LeastRequests {
			list[i].score = float64(list[i].e.requests())
		}
		if list[i].score < best.score {
			best = &list[i]
		}
	}
	if p.spec.Policy != LeastCost {
		return best
	}
	limit := best.score + sameCost
	for i := range list {
		if c := &list[i]; c.score < limit && c.chosen.Before(best.chosen) {
			best = c
		}
	}
	return best
}

// requests returns the number of this daemon's requests in flight.
func (e *endpoint) requests() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inFlight
}
