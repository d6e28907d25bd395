package pool

import (
	"fmt"
	"testing"
	"time"
)

// knowledge is what the daemons of a simulation know of the endpoints.
type knowledge int

const (
	oldReports knowledge = iota // as in the product
	exactLoads                  // the number of requests at each endpoint, at the time of each choice
	bestChoice                  // also what they did in the current window; the request goes to the least used one
)

// setExactLoads replaces what the daemon knows of the endpoints' load by the truth.
func (p *Pool) setExactLoads(endpoints []slotQueue, byID map[string]int, now time.Time) {
	for _, e := range p.table.Load().all {
		truth := &endpoints[byID[e.host.ID]]
		e.routed.peerRequests, e.routed.peerRequestsAt = max(0, truth.busy+len(truth.waiting)-int(e.inFlight)), now
	}
}

// leastUsed returns the endpoint of a domain with the fewest requests and the least use in a window, or that of another one if all its slots are in use.
func (l speedSimulation) leastUsed(endpoints []slotQueue, domain string, window int) int {
	best, least := -1, 0.0
	for i := range endpoints {
		e := &endpoints[i]
		cost := float64(e.busy + len(e.waiting))
		if fmt.Sprint("d", i/l.endpoints) != domain {
			cost = max(cost, 0.95*float64(l.slots)) + 0.5
		}
		if window < len(e.served) {
			cost += e.served[window] / 2
		}
		if best < 0 || cost < least {
			best, least = i, cost
		}
	}
	return best
}

func (l speedSimulation) allBut(endpoint int) (ids []string) {
	for i := range l.domains * l.endpoints {
		if i != endpoint {
			ids = append(ids, fmt.Sprint(i))
		}
	}
	return ids
}

// Guards against a bound that no choice can meet, and against a choice that does not meet it even with fresh reports.
func TestSpreadBoundIsMetWithKnowledge(t *testing.T) {
	for _, k := range []knowledge{exactLoads, bestChoice} {
		for _, c := range unevenLoads {
			c.seed, c.knowledge, c.lostReports = 3, k, 0.2
			r := c.run()
			t.Logf("%d endpoints of %d slots, knowledge %d: %.2f", c.endpoints, c.slots, k, r.overuse)
			if r.overuse > maxOveruse {
				t.Errorf("%+v: the busiest endpoint has %.2f times the mean utilization", c.speedSimulation, r.overuse)
			}
		}
	}
}
