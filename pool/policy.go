package pool

import "time"

// Policy selects one of the endpoints that can take a request.
type Policy int

// All policies but LeastCost are baselines for benchmarks.
const (
	// LeastCost selects the endpoint with the lowest cost. This daemon's own requests are counted exactly and have the
	// largest weight, so that daemons with the same outdated load reports don't all select the same endpoint.
	LeastCost Policy = iota
	// TwoChoices selects the one with the lower cost of two random endpoints.
	TwoChoices
	// RoundRobin selects the endpoints in turn.
	RoundRobin
	// LeastRequests selects the endpoint with the fewest requests of this daemon in flight.
	LeastRequests
)

// maxCandidates bounds the endpoints that are compared for a request, so that the cost of a selection does not grow
// with their number. At the scale target, a daemon uses 8 endpoints of a version.
const maxCandidates = 16

// costTolerance is the difference of scores below which endpoints count as equal. It is less than remoteCost, so that
// endpoints of the daemon's own failure domain go first.
const costTolerance = 0.08

// candidate is an endpoint that can take a request of a service without routes.
type candidate struct {
	e          *endpoint
	score      float64
	lastChosen time.Time // when this daemon last sent a request to it
}

// selectEndpoint returns the endpoint that the policy selects, or nil if none can take the request.
func (p *Pool) selectEndpoint(group []*endpoint, q *Query, t *table, now time.Time, shortage *Shortage) *endpoint {
	if q.Routed != nil {
		return p.selectRouted(group, q, t.rules[q.Service], now, shortage)
	}
	start, compared := p.scanOrder(len(group))
	var list [maxCandidates]candidate
	n := 0
	for i := 0; i < len(group) && n < compared; i++ {
		if c, ok := group[(start+i)%len(group)].evaluate(q, t.view, t.rules[q.Service], now, shortage); ok {
			list[n] = c
			n++
		}
	}
	if n == 0 {
		return nil
	}
	best := p.selectCandidate(list[:n])
	if p.spec.Affinity && p.spec.Policy == LeastCost && q.Prefix != 0 {
		if e, score := p.affinityEndpoint(group, q, t, now); e != nil && score <= best.score {
			return e
		}
	}
	return best.e
}

// scanOrder returns the index of the first endpoint to check, and how many to compare.
func (p *Pool) scanOrder(size int) (start, compared int) {
	switch p.spec.Policy {
	case RoundRobin:
		return int(p.roundRobin.Add(1) % uint64(size)), 1
	case TwoChoices:
		compared = 2
	default:
		compared = maxCandidates
	}
	return int(p.spec.Rand() % uint64(size)), compared
}

// selectCandidate returns the candidate with the lowest score. LeastCost selects the least recently chosen one among
// candidates with about the same score, so that prompts are distributed.
func (p *Pool) selectCandidate(list []candidate) *candidate {
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
	limit := best.score + costTolerance
	for i := range list {
		if c := &list[i]; c.score < limit && c.lastChosen.Before(best.lastChosen) {
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
