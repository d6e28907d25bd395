package claim

import (
	"context"
	"fmt"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
)

// MinRetention is the shortest time for which an outcome is kept. A repeat after its removal runs again.
const MinRetention = 7 * 24 * time.Hour

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
	due := func(e kv.Entry) bool {
		r, err := decode(e.Value)
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
