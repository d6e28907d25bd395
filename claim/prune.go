package claim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"github.com/bramleytrail/bramleytrail/kv"
)

const (
	// MinRetention is the shortest time for which an outcome is kept. A repeat after its removal runs again.
	MinRetention = 7 * 24 * time.Hour
	// pruneRate bounds the deletions a second; the key-value service takes several hundred writes.
	pruneRate = 50
)

// Pruned describes a removal of old claims.
type Pruned struct {
	Removed    int      `json:"removed"`
	Kept       int      `json:"kept"`
	Unfinished []string `json:"unfinished,omitempty"` // old claims without an outcome, which are never removed
}

// Prune removes claims that were made before a time and have an outcome or were released. A claim without an outcome
// stays: its owner may be paused and would send the call after a repeat has run. With dry, nothing is removed.
func Prune(ctx context.Context, store kv.Store, before time.Time, dry bool) (Pruned, error) {
	var p Pruned
	if time.Since(before) < MinRetention {
		return p, fmt.Errorf("claims must be kept for at least %s", MinRetention)
	}
	entries, err := store.List(ctx, Prefix)
	if err != nil {
		return p, err
	}
	limiter := rate.NewLimiter(pruneRate, pruneRate)
	for _, e := range entries {
		r, err := decode(e.Value)
		if err != nil || !r.At.Before(before) || r.State == Running {
			if err == nil && r.At.Before(before) {
				p.Unfinished = append(p.Unfinished, e.Key)
			}
			p.Kept++
			continue
		}
		if !dry {
			if err := limiter.Wait(ctx); err != nil {
				return p, err
			}
			err := store.Delete(ctx, e.Key, e.Revision)
			if errors.Is(err, kv.ErrConflict) { // a repeat has replaced a released claim
				p.Kept++
				continue
			}
			if err != nil && !errors.Is(err, kv.ErrNotFound) {
				return p, err
			}
		}
		p.Removed++
	}
	return p, nil
}
