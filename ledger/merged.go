package ledger

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
)

// MergedPrefix of the keys of merged batches. Whoever reads all bills reads the keys with Prefix first: a batch that is
// deleted before it is read is then found in the merged value, which was stored earlier.
const MergedPrefix = "bill-merged/"

const (
	// mergedTarget is the size at which a merged value counts as full. The rest of the limit is room for batches that
	// compress less well than those before them.
	mergedTarget = kv.MaxValueBytes * 9 / 10
	// maxMergedSources bounds the bytes of the batches for one merged value, and so the memory of a pass.
	maxMergedSources = 4 * kv.MaxValueBytes
	// nextName is appended to the name of a merged value that is taken by foreign or damaged content.
	nextName = "+"
	// mergedNameBytes is the length of the hash in a name.
	mergedNameBytes = 16
)

// source is a batch that is due to be merged.
type source struct {
	key      string
	revision uint64
	size     int // bytes stored
	bills    []Bill
}

// mergedKey returns the name of the merged value that begins with a batch. Each holder of the duty computes the same one.
// The period is that of the batch's last bill.
func mergedKey(first source) string {
	var last int64
	for i := range first.bills {
		last = max(last, first.bills[i].At)
	}
	sum := sha256.Sum256(fmt.Appendf(nil, "%s %d", first.key, first.revision))
	period := time.UnixMilli(last).UTC().Truncate(CompactPeriod).Format("20060102T1504")
	return MergedPrefix + period + "/" + hex.EncodeToString(sum[:mergedNameBytes])
}

// merged holds the bills of a merged value by identity.
type merged map[string]Bill

func index(bills []Bill) merged {
	m := make(merged, len(bills))
	for _, b := range bills {
		m[b.ID] = b
	}
	return m
}

// holds reports whether Merge would prefer no bill of a batch to those of the value.
func (m merged) holds(s source) bool {
	for _, b := range s.bills {
		if have, ok := m[b.ID]; !ok || before(b, have) {
			return false
		}
	}
	return true
}

// split returns the batches whose bills the value holds, and the others.
func (m merged) split(group []source) (held, left []source) {
	for _, s := range group {
		if m.holds(s) {
			held = append(held, s)
		} else {
			left = append(left, s)
		}
	}
	return held, left
}
