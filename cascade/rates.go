package cascade

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleytrail/bramleytrail/choose"
)

const (
	rateShards = 16
	// priorAnswers is the weight of the assumed rate, in answers.
	priorAnswers = 20
	// decayCount is the number of newer answers after which the weight of an answer has decayed to 1/e.
	decayCount = 500
)

// EscalationRates tracks, for each cascade, the share of answers of which the request escalates at this daemon. It is
// safe for concurrent use.
type EscalationRates struct{ shards [rateShards]rateShard }

type rateShard struct {
	mu    sync.Mutex
	rates map[string]escalationCounts
}

type escalationCounts struct{ answers, escalations float64 }

// NewEscalationRates returns rates without any counted answers.
func NewEscalationRates() *EscalationRates {
	r := &EscalationRates{}
	for i := range r.shards {
		r.shards[i].rates = map[string]escalationCounts{}
	}
	return r
}

func (r *EscalationRates) shard(name string) *rateShard {
	return &r.shards[xxhash.Sum64String(name)%rateShards]
}

// Add counts an answer of a cascade and whether its request escalated.
func (r *EscalationRates) Add(cascade string, escalated bool) {
	s := r.shard(cascade)
	s.mu.Lock()
	defer s.mu.Unlock()
	const decayFactor = 1 - 1.0/decayCount
	c := s.rates[cascade]
	c.answers, c.escalations = c.answers*decayFactor+1, c.escalations*decayFactor
	if escalated {
		c.escalations++
	}
	s.rates[cascade] = c
}

// Rate returns the share of a cascade's answers that escalate, from 0 to 1. It starts at choose.AssumedEscalationRate.
func (r *EscalationRates) Rate(cascade string) float64 {
	s := r.shard(cascade)
	s.mu.Lock()
	c := s.rates[cascade]
	s.mu.Unlock()
	return (c.escalations + priorAnswers*choose.AssumedEscalationRate) / (c.answers + priorAnswers)
}
