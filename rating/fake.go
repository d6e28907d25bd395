package rating

import (
	"context"
	"errors"
	"sync"
	"time"
)

// errDown is returned by a Fake that is down.
var errDown = errors.New("rating service: unavailable")

// Fake is an in-process Source with fault injection.
type Fake struct {
	mu      sync.Mutex
	ratings []Rating
	down    bool
	lag     time.Duration
	every   int // keep each nth rating
	added   int
}

// SetLag delays ratings that are added from now on.
func (f *Fake) SetLag(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lag = d
}

// KeepEvery drops all but each nth rating; 0 keeps all.
func (f *Fake) KeepEvery(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.every = n
}

// Add appends ratings.
func (f *Fake) Add(ratings ...Rating) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range ratings {
		f.added++
		if f.every > 1 && f.added%f.every != 0 {
			continue
		}
		if f.lag == 0 {
			f.ratings = append(f.ratings, r)
			continue
		}
		time.AfterFunc(f.lag, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.ratings = append(f.ratings, r)
		})
	}
}

// SetDown makes every call fail until it is called with false.
func (f *Fake) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// After implements Source.
func (f *Fake) After(_ context.Context, cursor uint64, limit int) (Page, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return Page{}, errDown
	}
	start := min(int(cursor), len(f.ratings))
	end := min(start+limit, len(f.ratings))
	return Page{Ratings: append([]Rating(nil), f.ratings[start:end]...), Next: uint64(end)}, nil
}
