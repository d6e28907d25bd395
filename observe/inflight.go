package observe

import (
	"cmp"
	"hash/maphash"
	"slices"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/choose"
	"github.com/bramleytrail/bramleytrail/pipeline"
)

// inFlightShards is the number of shards of InFlight, each with its own lock, to reduce contention.
const inFlightShards = 16

// RequestInFlight describes a request in flight in a state dump. It holds no prompt, answer or key.
type RequestInFlight struct {
	ID   string        `json:"id"`
	Kind string        `json:"kind"`
	Age  time.Duration `json:"ageNs"`
	pipeline.Position
	Decision *choose.Decision `json:"decision,omitempty"` // why the versions were chosen; nil before the choice
}

// InFlight is the set of requests in flight. It is safe for concurrent use.
type InFlight struct {
	seed   maphash.Seed
	shards [inFlightShards]inFlightShard
}

type inFlightShard struct {
	mu   sync.Mutex
	byID map[string]*pipeline.Progress
}

// NewInFlight returns an empty set.
func NewInFlight() *InFlight {
	f := &InFlight{seed: maphash.MakeSeed()}
	for i := range f.shards {
		f.shards[i].byID = map[string]*pipeline.Progress{}
	}
	return f
}

func (f *InFlight) shard(id string) *inFlightShard {
	return &f.shards[maphash.String(f.seed, id)%inFlightShards]
}

// Add adds a request. Remove must be called when it ends.
func (f *InFlight) Add(p *pipeline.Progress) {
	s := f.shard(p.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[p.ID] = p
}

// Remove removes a request that has ended.
func (f *InFlight) Remove(id string) {
	s := f.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byID, id)
}

// Find returns the request in flight with an ID, and whether there is one.
func (f *InFlight) Find(id string, now time.Time) (RequestInFlight, bool) {
	s := f.shard(id)
	s.mu.Lock()
	p := s.byID[id]
	s.mu.Unlock()
	if p == nil {
		return RequestInFlight{}, false
	}
	return describeInFlight(p, now), true
}

// Oldest returns the n oldest requests, or all if there are fewer, oldest first.
func (f *InFlight) Oldest(n int, now time.Time) []RequestInFlight {
	var all []*pipeline.Progress
	for i := range f.shards {
		s := &f.shards[i]
		s.mu.Lock()
		for _, p := range s.byID {
			all = append(all, p)
		}
		s.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b *pipeline.Progress) int {
		return cmp.Or(a.Start.Compare(b.Start), cmp.Compare(a.ID, b.ID))
	})
	out := make([]RequestInFlight, 0, min(n, len(all)))
	for _, p := range all[:min(n, len(all))] {
		out = append(out, describeInFlight(p, now))
	}
	return out
}

func describeInFlight(p *pipeline.Progress, now time.Time) RequestInFlight {
	position := p.Position()
	return RequestInFlight{ID: p.ID, Kind: p.Kind, Age: now.Sub(p.Start), Position: position, Decision: position.Choice.Explain()}
}
