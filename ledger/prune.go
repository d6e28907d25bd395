package ledger

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"github.com/bramleytrail/bramleytrail/kv"
)

const (
	// MinRetention is the shortest time for which bills are kept. A daemon that was cut off may still hold copies of a
	// batch and would write it again after its removal.
	MinRetention = 7 * 24 * time.Hour
	// pruneRate bounds the deletions a second; the key-value service takes several hundred writes.
	pruneRate = 50
)

// Pruned describes a removal of old batches.
type Pruned struct {
	Removed int `json:"removed"`
	Kept    int `json:"kept"`
}

// Prune removes batches all of whose bills are from before a time. Damaged batches stay. With dry, nothing is removed.
func Prune(ctx context.Context, store kv.Store, before time.Time, dry bool) (Pruned, error) {
	var p Pruned
	if time.Since(before) < MinRetention {
		return p, fmt.Errorf("bills must be kept for at least %s", MinRetention)
	}
	entries, err := store.List(ctx, Prefix)
	if err != nil {
		return p, err
	}
	limiter := rate.NewLimiter(pruneRate, pruneRate)
	for _, e := range entries {
		if bills, err := decodeBills(e.Value); err != nil || !allBefore(bills, before) {
			p.Kept++
			continue
		}
		p.Removed++
		if dry {
			continue
		}
		if err := limiter.Wait(ctx); err != nil {
			return p, err
		}
		if err := store.Delete(ctx, e.Key, e.Revision); err != nil && !errors.Is(err, kv.ErrNotFound) {
			return p, err
		}
	}
	return p, nil
}

func allBefore(bills []Bill, before time.Time) bool {
	for i := range bills {
		if !bills[i].Time().Before(before) {
			return false
		}
	}
	return true
}
