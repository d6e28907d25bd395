package pool

import (
	"time"
)

// Policy is the rule by which one of the endpoints that admit a request is chosen.
type Policy int

// Policies. All but the first are baselines of the benchmarks.
const (
	// TwoChoices takes the better of two random endpoints, since choosing the best of all with lagging reports sends every
	// daemon to the same one.
	TwoChoices Policy = iota
	// RoundRobin takes the endpoints in turn.
	RoundRobin
	// LeastRequests takes the endpoint with the fewest requests of this daemon in flight.
	LeastRequests
)

// best returns the endpoint that the policy chooses, or nil if none admits the request.
func (p *Pool) best(group []*endpoint, q *Query, t *table, now time.Time, short *Shortage) *endpoint {
	start, compared := 0, 1
	switch p.spec.Policy {
	case RoundRobin:
		start = int(p.turn.Add(1) % uint64(len(group)))
	case LeastRequests:
		start, compared = int(p.spec.Rand()%uint64(len(group))), len(group)
	default:
		start, compared = int(p.spec.Rand()%uint64(len(group))), 2
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
	if p.spec.Affinity && p.spec.Policy == TwoChoices && q.Prefix != 0 && best != nil {
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
