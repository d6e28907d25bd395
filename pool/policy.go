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

// best returns the endpoint that the policy chooses, or nil if none admits the request.
func (p *Pool) best(group []*endpoint, q *Query, t *table, now time.Time, short *Shortage) *endpoint {
	start, compared := 0, 1
	switch p.spec.Policy {
	case RoundRobin:
		start = int(p.turn.Add(1) % uint64(len(group)))
	case LeastRequests:
		start, compared = int(p.spec.Rand()%uint64(len(group))), len(group)
	case TwoChoices:
		start, compared = int(p.spec.Rand()%uint64(len(group))), 2
	default:
		start, compared = int(p.spec.Rand()%uint64(len(group))), maxCompared
	}
	var best *endpoint
	var bestScore float64
	found := 0
	for i := 0; i < len(group) && found < compared; i++ {
		e := group[(start+i)%len(group)]
		score, ok := e.consider(q, t.view, t.rules[q.Service], now, short)
		if !ok {
			continue
		}
		found++
		if p.spec.Policy == LeastRequests {
			score = float64(e.requests())
		}
		if best == nil || score < bestScore {
			best, bestScore = e, score
		}
	}
	if p.spec.Affinity && p.spec.Policy == LeastCost && q.Prefix != 0 && best != nil {
		if e, score := p.home(group, q, t, now); e != nil && score <= bestScore {
			return e
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
