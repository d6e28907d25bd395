package rating

import (
	"context"
	"errors"
	"sync"
)

// errDown is returned by a Fake that is down.
var errDown = errors.New("rating service: unavailable")

// Fake is an in-process Source with fault injection.
type Fake struct {
	mu      sync.Mutex
	ratings []Rating
	down    bool
}

// Add appends ratings.
func (f *Fake) Add(r ...Rating) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ratings = append(f.ratings, r...)
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
