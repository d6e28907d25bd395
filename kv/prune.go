package kv

import (
	"context"
	"errors"

	"golang.org/x/time/rate"
)

// pruneRate bounds the deletions a second of Prune; the platform's service takes several hundred writes.
const pruneRate = 50

// Prune deletes the entries below prefix that are due, and returns the number of deleted and of kept entries. An entry
// that changes in the meantime is kept. With dry, nothing is deleted and the due entries are counted.
func Prune(ctx context.Context, store Store, prefix string, due func(Entry) bool, dry bool) (removed, kept int, err error) {
	limiter := rate.NewLimiter(pruneRate, pruneRate)
	for e, err := range All(ctx, store, prefix) {
		if err != nil {
			return removed, kept, err
		}
		if !due(e) {
			kept++
			continue
		}
		if !dry {
			if err := limiter.Wait(ctx); err != nil {
				return removed, kept, err
			}
			err := store.Delete(ctx, e.Key, e.Revision)
			if errors.Is(err, ErrConflict) {
				kept++
				continue
			}
			if err != nil && !errors.Is(err, ErrNotFound) {
				return removed, kept, err
			}
		}
		removed++
	}
	return removed, kept, nil
}
