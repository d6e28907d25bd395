package kv

import (
	"context"
	"errors"

	"golang.org/x/time/rate"
)

// pruneRate bounds Prune's deletions per second. The platform's key-value store takes several hundred writes per
// second.
const pruneRate = 50

// Prune deletes the entries below prefix for which due returns true, and returns the number of removed and of kept
// entries. An entry that changes between its listing and its deletion is kept. With dryRun, nothing is deleted and
// removed counts the due entries. On an error, the counts cover the entries processed so far.
func Prune(ctx context.Context, store Store, prefix string, due func(Entry) bool, dryRun bool) (removed, kept int, err error) {
	limiter := rate.NewLimiter(pruneRate, pruneRate)
	for e, err := range All(ctx, store, prefix) {
		if err != nil {
			return removed, kept, err
		}
		if !due(e) {
			kept++
			continue
		}
		if !dryRun {
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
