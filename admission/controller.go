package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// timeConstant is the age at which a request has 1/e of its weight in a sum. A burst takes about six seconds, and a daemon has
	// about ten requests a second.
	timeConstant = 2 * time.Second
	// minServed is the sum of requests served from which the time to serve others is predicted.
	minServed = 8
	// minOffered is the sum of a team's requests from which it may count as one that wants more than its share. A few requests
	// exceed a share by chance.
	minOffered = 8
	// excessFactor is how many times the others' mean demand, by weight, a team must want before it is limited to its share. Below,
	// urgency decides alone, because teams differ by chance and a less urgent kind must not be served more often than a more urgent
	// one.
	excessFactor = 2.0
	// minAdmitted is the fraction of the requests of any team and rank that are not refused, so that none of them starves.
	minAdmitted = 0.05
	// planInterval is the time for which the fractions are used before they are computed again.
	planInterval = 100 * time.Millisecond
	// maxTeams bounds the teams that are counted separately; the others share one count.
	maxTeams = 1024
	// minCapacityShare is the part of the capacity that is left for new requests while many wait.
	minCapacityShare = 0.5
	// minKept is the sum below which a team is forgotten.
	minKept = 0.01
)

// otherTeams is the name under which teams beyond maxTeams are counted. Names of teams have no spaces.
const otherTeams = "other teams"

// sums are exponentially decaying numbers of a team's requests by rank.
type sums struct {
	weight float64
	ranks  [MaxRank + 1]float64
}

func (s *sums) total() float64 {
	total := 0.0
	for _, n := range s.ranks {
		total += n
	}
	return total
}

// Controller counts the requests for one service at one daemon, and decides about them. It is not safe for concurrent use.
type Controller struct {
	teams  map[string]*sums
	peers  map[string]peerSums // by daemon
	others map[uint32]float64  // sums of the other daemons by TeamKey
	served float64             // decaying number of requests that were sent for the first time
	at     time.Time           // as of which the sums are

	plan      plan
	plannedAt time.Time
}

// New returns a controller that has counted nothing.
func New() *Controller {
	return &Controller{teams: map[string]*sums{}, peers: map[string]peerSums{}, others: map[uint32]float64{}}
}

// decayTo updates the sums. A time before the last one leaves them as they are.
func (c *Controller) decayTo(now time.Time) {
	age := now.Sub(c.at)
	if age <= 0 {
		return
	}
	c.at = now
	factor := math.Exp(-float64(age) / float64(timeConstant))
	c.served *= factor
	for name, s := range c.teams {
		for i := range s.ranks {
			s.ranks[i] *= factor
		}
		if s.total() < minKept {
			delete(c.teams, name)
		}
	}
}

// Arrive counts a request, also one that will be refused. Repeats are not counted.
func (c *Controller) Arrive(r *Request, now time.Time) {
	c.decayTo(now)
	name := r.Team
	if c.teams[name] == nil && len(c.teams) >= maxTeams {
		name = otherTeams
	}
	s := c.teams[name]
	if s == nil {
		s = &sums{}
		c.teams[name] = s
	}
	s.weight = max(1, r.Weight)
	s.ranks[min(max(0, r.Rank), MaxRank)]++
}

// Serve counts a request that is sent for the first time.
func (c *Controller) Serve(now time.Time) {
	c.decayTo(now)
	c.served++
}

// drainTime returns the time until a number of waiting requests and one more are sent, and whether it is known.
func (c *Controller) drainTime(waiting int, now time.Time) (time.Duration, bool) {
	c.decayTo(now)
	if c.served < minServed {
		return 0, false
	}
	return time.Duration(float64(waiting+1) / c.served * float64(timeConstant)), true
}

// fractions are the parts of the requests of a team and rank that are admitted by the team's share, and by the rank.
type fractions struct{ team, rank float64 }

// plan holds the fractions of requests that are admitted while the service is overloaded.
type plan struct {
	teams map[string][MaxRank + 1]float64 // only teams that want far more than others
	ranks [MaxRank + 1]float64
}

func (p *plan) admitted(r *Request) fractions {
	rank := min(max(0, r.Rank), MaxRank)
	f := fractions{1, p.ranks[rank]}
	if t, ok := p.teams[r.Team]; ok {
		f.team = t[rank]
	}
	return f
}

func (c *Controller) currentPlan(waiting int, now time.Time) *plan {
	if c.plannedAt.IsZero() || now.Sub(c.plannedAt) >= planInterval {
		c.decayTo(now)
		c.addPeers(now)
		c.plan, c.plannedAt = c.makePlan(waiting), now
	}
	return &c.plan
}

// makePlan divides what was served recently, less what is needed to serve the waiting requests. First, teams that want far more than their share are limited to it, their most
// urgent requests first. Then the most urgent ranks of what remains are served.
func (c *Controller) makePlan(waiting int) plan {
	capacity := max(minCapacityShare*c.served, c.served-float64(waiting))
	offered := 0.0
	for _, s := range c.teams {
		offered += s.total()
	}
	p := plan{teams: map[string][MaxRank + 1]float64{}}
	claims, demand, weights := c.claims()
	level := levelOf(claims, min(1, capacity/max(1, offered))*demand, weights)
	var wanted [MaxRank + 1]float64
	for name, s := range c.teams {
		t, admitted := claims[name], [MaxRank + 1]float64{}
		limited := t.demand*(weights-t.weight) > excessFactor*(demand-t.demand)*t.weight && t.demand >= minOffered
		budget := s.total()
		if limited {
			budget *= level * t.weight / t.demand
		}
		for rank, n := range s.ranks {
			admitted[rank] = fill(&budget, n)
			wanted[rank] += admitted[rank] * n
		}
		if limited {
			p.teams[name] = admitted
		}
	}
	for rank, n := range wanted {
		p.ranks[rank] = fill(&capacity, n)
	}
	return p
}

// fill takes up to n from a budget and returns the fraction of n that it took. Of nothing, it takes all if something is left.
func fill(budget *float64, n float64) float64 {
	taken := min(n, *budget)
	*budget -= taken
	switch {
	case n > 0:
		return taken / n
	case *budget > 0:
		return 1
	}
	return 0
}

// claim is what a team wants of the service: requests of all daemons.
type claim struct{ demand, weight float64 }

// claims returns the claims of the teams of this daemon, and their sums.
func (c *Controller) claims() (claims map[string]claim, demand, weights float64) {
	claims = make(map[string]claim, len(c.teams))
	for name, s := range c.teams {
		t := claim{s.total() + c.others[TeamKey(name)], s.weight}
		claims[name] = t
		demand += t.demand
		weights += t.weight
	}
	return claims, demand, weights
}

// levelOf returns the share of a team of weight 1 in a capacity: teams that want less than their share get all of it, and the others
// divide the rest by weight.
func levelOf(claims map[string]claim, capacity, weights float64) float64 {
	list := slices.SortedFunc(maps.Values(claims), func(a, b claim) int { return cmp.Compare(a.demand/a.weight, b.demand/b.weight) })
	for _, t := range list {
		if t.demand > capacity/weights*t.weight {
			return capacity / weights
		}
		capacity -= t.demand
		weights -= t.weight
	}
	return math.Inf(1)
}
