package ledger

import (
	"context"
	"fmt"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
)

// MinRetention is the shortest time for which bills are kept. A daemon that was cut off may still hold copies of a
// batch and would write it again after its removal.
const MinRetention = 7 * 24 * time.Hour

// Pruned describes a removal of old batches.
type Pruned struct {
	Removed int `json:"removed"`
	Kept    int `json:"kept"`
}

// Prune removes batches and merged values all of whose bills are from before a time. Damaged batches stay. With dry, nothing is removed.
func Prune(ctx context.Context, store kv.Store, before time.Time, dry bool) (Pruned, error) {
	var p Pruned
	if time.Since(before) < MinRetention {
		return p, fmt.Errorf("bills must be kept for at least %s", MinRetention)
	}
	due := func(e kv.Entry) bool {
		bills, err := decodeBills(e.Value)
		return err == nil && allBefore(bills, before)
	}
	for _, prefix := range []string{Prefix, MergedPrefix} {
		removed, kept, err := kv.Prune(ctx, store, prefix, due, dry)
		p.Removed, p.Kept = p.Removed+removed, p.Kept+kept
		if err != nil {
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
