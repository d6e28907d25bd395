package claim

import (
	"context"
	"fmt"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
)

// MinRetention is the shortest time for which outcomes must be kept. A repeat after the removal of its outcome runs
// again.
const MinRetention = 7 * 24 * time.Hour

// PruneResult describes what Prune removed and kept.
type PruneResult struct {
	Removed    int      `json:"removed"`
	Kept       int      `json:"kept"`
	Unfinished []string `json:"unfinished,omitempty"` // keys of old claims without an outcome, which are never removed
}

// Prune removes the claims that were acquired before the given time and have an outcome or were released. A claim
// without an outcome is kept: its owner may be paused and would send the call after a repeat has run. Prune returns an
// error if before is less than MinRetention ago. With dry, it only counts what it would remove.
func Prune(ctx context.Context, store kv.Store, before time.Time, dry bool) (PruneResult, error) {
	var p PruneResult
	if time.Since(before) < MinRetention {
		return p, fmt.Errorf("prune claims: claims must be kept for at least %s", MinRetention)
	}
	due := func(e kv.Entry) bool {
		r, err := decodeRecord(e.Value)
		if err != nil || !r.At.Before(before) {
			return false
		}
		if r.State == Running {
			p.Unfinished = append(p.Unfinished, e.Key)
			return false
		}
		return true
	}
	var err error
	p.Removed, p.Kept, err = kv.Prune(ctx, store, Prefix, due, dry)
	return p, err
}
