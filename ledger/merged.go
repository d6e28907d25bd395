package ledger

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
)

// MergedPrefix is the prefix of the keys of merged values. A reader of all bills must read the keys with Prefix first.
// It then finds the bills of a batch that is deleted before it was read in a merged value, which was stored before the
// deletion.
const MergedPrefix = "bill-merged/"

const (
	// mergedTargetBytes is the size at which a merged value counts as full. The rest of the value limit is headroom for
	// batches that compress worse than those before them.
	mergedTargetBytes = kv.MaxValueBytes * 9 / 10
	// maxMergeInputBytes limits the total stored size of the batches for one merged value, and thereby the memory of a
	// pass.
	maxMergeInputBytes = 4 * kv.MaxValueBytes
	// collisionSuffix is appended to the key of a merged value if the key exists with other or damaged content.
	collisionSuffix = "+"
	// mergedHashBytes is the length of the hash in the key of a merged value, before hex encoding.
	mergedHashBytes = 16
)

// storedBatch is a batch that was read from the key-value store to be merged.
type storedBatch struct {
	key      string
	revision kv.Revision
	size     int // stored size in bytes
	bills    []Bill
}

// mergedKey returns the key of the merged value whose first batch is first. Every holder of the duty computes the same
// key. The period in the key is that of the batch's latest bill.
func mergedKey(first storedBatch) string {
	var last int64
	for i := range first.bills {
		last = max(last, first.bills[i].At)
	}
	sum := sha256.Sum256(fmt.Appendf(nil, "%s %s", first.key, first.revision))
	period := time.UnixMilli(last).UTC().Truncate(CompactPeriod).Format("20060102T1504")
	return MergedPrefix + period + "/" + hex.EncodeToString(sum[:mergedHashBytes])
}

// billIndex maps the identities of a merged value's bills to the bills.
type billIndex map[string]Bill

func indexByID(bills []Bill) billIndex {
	m := make(billIndex, len(bills))
	for _, b := range bills {
		m[b.ID] = b
	}
	return m
}

// covers reports whether the index has, for each bill of the batch, a bill with the same identity that Merge would not
// replace by it. The batch can then be deleted without changing what readers see.
func (m billIndex) covers(s storedBatch) bool {
	for _, b := range s.bills {
		if have, ok := m[b.ID]; !ok || preferred(b, have) {
			return false
		}
	}
	return true
}

// partition splits the batches into those that the index covers and the others, in order.
func (m billIndex) partition(group []storedBatch) (covered, remaining []storedBatch) {
	for _, s := range group {
		if m.covers(s) {
			covered = append(covered, s)
		} else {
			remaining = append(remaining, s)
		}
	}
	return covered, remaining
}
