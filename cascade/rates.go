package cascade

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleytrail/bramleytrail/choose"
)

const (
	rateShards = 16
	// priorRuns is the number of runs that the assumed rate counts as.
	priorRuns = 20
	// rateMemory is the number of runs after which an older one counts 1/e.
	rateMemory = 500
)

// Rates counts how often each cascade climbs at this daemon.
type Rates struct{ shards [rateShards]rateShard }

type rateShard struct {
	mu    sync.Mutex
	rates map[string]counted
}

type counted struct{ runs, climbs float64 }

// NewRates returns empty counts.
func NewRates() *Rates {
	r := &Rates{}
	for i := range r.shards {
		r.shards[i].rates = map[string]counted{}
	}
	return r
}

func (r *Rates) shard(name string) *rateShard { return &r.shards[xxhash.Sum64String(name)%rateShards] }

// Add counts the decision on one answer.
func (r *Rates) Add(cascade string, climbed bool) {
	s := r.shard(cascade)
	s.mu.Lock()
	defer s.mu.Unlock()
	const keep = 1 - 1.0/rateMemory
	c := s.rates[cascade]
	c.runs, c.climbs = c.runs*keep+1, c.climbs*keep
	if climbed {
		c.climbs++
	}
	s.rates[cascade] = c
}

// Rate returns the part of a cascade's answers that climb.
func (r *Rates) Rate(cascade string) float64 {
	s := r.shard(cascade)
	s.mu.Lock()
	c := s.rates[cascade]
	s.mu.Unlock()
	return (c.climbs + priorRuns*choose.AssumedClimbRate) / (c.runs + priorRuns)
}
