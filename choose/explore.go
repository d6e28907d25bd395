package choose

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	exploreShards = 16
	// exploreWindow is the number of a team's requests after which its counts are halved, so that an unused budget is
	// not saved up without limit.
	exploreWindow = 10_000
)

// Budget bounds exploration at each daemon, and so in the deployment, as fractions of a team's requests and of its cost.
type Budget struct {
	Requests float64
	Cost     float64
}

// DefaultBudget is the budget of a daemon.
var DefaultBudget = Budget{Requests: 0.05, Cost: 0.05}

type explorer struct {
	budget Budget
	shards [exploreShards]exploreShard
}

type exploreShard struct {
	mu    sync.Mutex
	teams map[string]*spent
}

// spent counts a team's requests and their expected cost.
type spent struct {
	requests, explored  float64
	cost, exploringCost float64
}

func (e *explorer) init(b Budget) {
	e.budget = b
	for i := range e.shards {
		e.shards[i].teams = map[string]*spent{}
	}
}

// take counts a request with its usual cost and reports whether it may be used to explore a choice of the given cost.
func (e *explorer) take(team string, cost, usual float64, wanted bool) bool {
	if e.budget.Requests <= 0 {
		return false
	}
	s := e.shard(team)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.team(team)
	t.add(usual)
	ok := wanted && t.explored+1 <= e.budget.Requests*t.requests && t.exploringCost+cost <= e.budget.Cost*t.cost
	if ok {
		t.explored++
		t.exploringCost += cost
	}
	return ok
}

// count counts a request that had no choice.
func (e *explorer) count(team string, cost float64, explored bool) {
	s := e.shard(team)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.team(team)
	t.add(cost)
	if explored {
		t.explored++
		t.exploringCost += cost
	}
}

func (e *explorer) shard(team string) *exploreShard {
	return &e.shards[xxhash.Sum64String(team)%exploreShards]
}

func (s *exploreShard) team(name string) *spent {
	t := s.teams[name]
	if t == nil {
		t = &spent{}
		s.teams[name] = t
	}
	return t
}

func (t *spent) add(cost float64) {
	if t.requests >= exploreWindow {
		*t = spent{t.requests / 2, t.explored / 2, t.cost / 2, t.exploringCost / 2}
	}
	t.requests++
	t.cost += cost
}
