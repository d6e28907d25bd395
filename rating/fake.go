package rating

import (
	"context"
	"errors"
	"sync"
	"time"
)

// errDown is the error of a Fake that is set down.
var errDown = errors.New("rating service: unavailable")

// Fake is an in-process Source with fault injection. The zero value is ready for use.
type Fake struct {
	mu        sync.Mutex
	ratings   []Rating
	down      bool
	delay     time.Duration
	keepEvery int // drop all but each nth rating; 0 keeps all
	added     int // ratings passed to Add
}

// SetLag delays the ratings that are added from now on.
func (f *Fake) SetLag(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// KeepEvery drops all but each nth of the ratings that are added from now on; 0 keeps all.
func (f *Fake) KeepEvery(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keepEvery = n
}

// Add appends ratings, subject to SetLag and KeepEvery.
func (f *Fake) Add(ratings ...Rating) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range ratings {
		f.added++
		if f.keepEvery > 1 && f.added%f.keepEvery != 0 {
			continue
		}
		if f.delay == 0 {
			f.ratings = append(f.ratings, r)
			continue
		}
		time.AfterFunc(f.delay, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.ratings = append(f.ratings, r)
		})
	}
}

// SetDown makes every call of After fail until SetDown is called with false.
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
