package pool

import (
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/keyed"
)

const (
	// popularityWindow is the time for which requests are counted together. A daemon with five requests a second counts 50
	// to 100.
	popularityWindow = 10 * time.Second
	// maxPopularKeys bounds the prompt beginnings that are counted in a window. Those of the team with the most go first, and count as not seen.
	maxPopularKeys = 4096
)

// popularity counts how often this daemon sends prompts with the same beginning to a service, in the current and the
// previous window. It is safe for concurrent use.
type popularity struct {
	mu       sync.Mutex
	since    time.Time
	counts   [2]*keyed.Table[uint64, int] // the current and the previous window; nil before the first request
	requests [2]int
}

// share returns the share of a prompt beginning in the requests of the windows. key is 0 for a prompt without one. add
// counts the request for a team.
func (p *popularity) share(team uint32, key uint64, add bool, now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.counts[0] == nil {
		p.counts = [2]*keyed.Table[uint64, int]{keyed.New[uint64, int](maxPopularKeys), keyed.New[uint64, int](maxPopularKeys)}
	}
	if age := now.Sub(p.since); age >= popularityWindow {
		p.counts[0], p.counts[1] = p.counts[1], p.counts[0]
		p.requests[1] = p.requests[0]
		if age >= 2*popularityWindow {
			p.counts[1] = keyed.New[uint64, int](maxPopularKeys)
			p.requests[1] = 0
		}
		p.counts[0] = keyed.New[uint64, int](maxPopularKeys)
		p.requests[0], p.since = 0, now
	}
	share := 0.0
	current, _ := p.counts[0].Get(key)
	previous, _ := p.counts[1].Get(key)
	if n := current + previous; n > 0 && key != 0 {
		share = float64(n) / float64(p.requests[0]+p.requests[1])
	}
	if !add {
		return share
	}
	p.requests[0]++
	if key != 0 {
		p.counts[0].Put(team, key, current+1)
	}
	return share
}
