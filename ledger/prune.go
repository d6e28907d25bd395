package ledger

import (
	"context"
	"fmt"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
)

// MinRetention is the shortest time for which bills must be kept. A daemon that was partitioned may still hold
// copies of a batch, and would write the batch again after its removal.
const MinRetention = 7 * 24 * time.Hour

// PruneResult counts the batches and merged values that Prune removed and kept.
type PruneResult struct {
	Removed int `json:"removed"`
	Kept    int `json:"kept"`
}

// Prune removes the batches and merged values whose bills are all older than before, and keeps damaged ones. It returns
// an error if before is less than MinRetention ago. With dry, it only counts what it would remove.
func Prune(ctx context.Context, store kv.Store, before time.Time, dry bool) (PruneResult, error) {
	var p PruneResult
	if time.Since(before) < MinRetention {
		return p, fmt.Errorf("prune bills: bills must be kept for at least %s", MinRetention)
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

// allBefore reports whether all bills are older than before.
func allBefore(bills []Bill, before time.Time) bool {
	for i := range bills {
		if !bills[i].Time().Before(before) {
			return false
		}
	}
	return true
}
