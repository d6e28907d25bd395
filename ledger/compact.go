package ledger

import (
	"context"
	"errors"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/bramleytrail/bramleytrail/kv"
)

const (
	// CompactPeriod is the length of the periods whose batches are merged. Every pass also reads the batches of the
	// current period, which it can't merge yet. With a shorter period, passes would read such batches more often.
	CompactPeriod = 10 * time.Minute
	// compactDelay is the time between the end of a period and its closing. It covers one batch interval, and three
	// more until a daemon that holds copies writes the batches of an unresponsive owner. A batch that is written later
	// is merged in the next pass.
	compactDelay = time.Minute
	// compactDeletesPerSecond limits the deletions in one failure domain. At the design load, 37 batches a second are
	// written in 5 domains, so a rate of 20 catches up after an outage and keeps all writes for bills below 140 a
	// second.
	compactDeletesPerSecond = 20
	// compactDeleteBurst is the number of deletions that may be made at once.
	compactDeleteBurst = 10
)

// CompactorSpec configures a Compactor. All fields are required.
type CompactorSpec struct {
	Store  kv.Store
	Domain string // failure domain whose batches are merged
	// OnError is called by Run when a pass fails. The next pass continues with the remaining batches.
	OnError func(error)
}

// Compactor merges the batches of a failure domain's closed periods into a few large values. Several compactors may run
// at the same time, for example a paused holder of the duty and its successor. That is safe because a merged value is
// created but never overwritten, under a key derived from its first batch, and because a batch is deleted only at the
// revision that was read and only after a stored value was seen to contain all its bills. A single Compactor is not
// safe for concurrent use.
type Compactor struct {
	spec      CompactorSpec
	limiter   *rate.Limiter
	fillBytes int // estimated total size of the stored batches that fill a merged value, in bytes
}

// CompactStats counts the work of one pass.
type CompactStats struct {
	Batches int // batches deleted
	Values  int // merged values created
}

// NewCompactor returns a compactor. The caller starts it with Run.
func NewCompactor(spec CompactorSpec) *Compactor {
	return &Compactor{spec: spec, limiter: rate.NewLimiter(compactDeletesPerSecond, compactDeleteBurst), fillBytes: mergedTargetBytes}
}

// Run makes one pass immediately and one after each period has closed. It returns when ctx ends.
func (c *Compactor) Run(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		if _, err := c.RunOnce(ctx, now); err != nil && ctx.Err() == nil {
			c.spec.OnError(err)
		}
		next := lastClosedPeriodEnd(now).Add(CompactPeriod + compactDelay)
		t := time.NewTimer(max(time.Until(next), compactDelay))
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// lastClosedPeriodEnd returns the end of the most recent closed period.
func lastClosedPeriodEnd(now time.Time) time.Time {
	return now.Add(-compactDelay).Truncate(CompactPeriod)
}

// RunOnce makes one pass. It merges every batch whose bills are all from periods that are closed at now, and leaves
// damaged batches in place. Its memory is bounded by the batches of one merged value and one page of the listing. If it
// returns an error, the statistics count what was done before.
func (c *Compactor) RunOnce(ctx context.Context, now time.Time) (CompactStats, error) {
	var stats CompactStats
	var group []storedBatch
	size, end := 0, lastClosedPeriodEnd(now)
	for e, err := range kv.All(ctx, c.spec.Store, Prefix+c.spec.Domain+"/") {
		if err != nil {
			return stats, err
		}
		bills, err := decodeBills(e.Value)
		if err != nil || !allBefore(bills, end) {
			continue
		}
		if size > 0 && size+len(e.Value) > c.fillBytes {
			if err := c.mergeGroup(ctx, group, &stats); err != nil {
				return stats, err
			}
			group, size = nil, 0
		}
		group, size = append(group, storedBatch{e.Key, e.Revision, len(e.Value), bills}), size+len(e.Value)
	}
	return stats, c.mergeGroup(ctx, group, &stats)
}

// mergeGroup stores the bills of the batches in merged values, deletes the batches and adds the work to stats.
func (c *Compactor) mergeGroup(ctx context.Context, group []storedBatch, stats *CompactStats) error {
	for len(group) > 0 {
		v, err := c.storeMerged(ctx, group)
		if errors.Is(err, kv.ErrTooLarge) { // a single batch that compresses worse than when it was written; it is left in place
			group = group[1:]
			continue
		}
		if err != nil {
			return err
		}
		if v.created {
			stats.Values++
		}
		covered, remaining := v.index.partition(group)
		// The key of the merged value is derived from the first batch. That batch is deleted last, so that after a
		// crash the next holder of the duty starts with the same batch and finds the value.
		for _, s := range slices.Backward(covered) {
			if err := c.deleteBatch(ctx, s); err != nil {
				return err
			}
			stats.Batches++
		}
		// If the store was restored from older data during the pass, it may have lost the value although the deletions
		// took effect. Creating the value again is a no-op if it is still there.
		if _, err := c.spec.Store.CAS(ctx, v.key, v.data, kv.Revision{}, 0); err != nil && !errors.Is(err, kv.ErrConflict) {
			return err
		}
		group = remaining
	}
	return nil
}

// deleteBatch deletes a batch at the revision that was read. It waits for the rate limit. A batch that is already gone
// or was rewritten is no error.
func (c *Compactor) deleteBatch(ctx context.Context, s storedBatch) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return err
	}
	err := c.spec.Store.Delete(ctx, s.key, s.revision)
	if errors.Is(err, kv.ErrNotFound) || errors.Is(err, kv.ErrConflict) { // already deleted, or rewritten since it was read
		return nil
	}
	return err
}

// mergedValue is a merged value as it is stored.
type mergedValue struct {
	key     string
	data    []byte
	index   billIndex
	created bool // by this call of storeMerged
}

// storeMerged creates a merged value from as many of the batches, from the front, as fit. If the key exists because an
// earlier write took effect or another holder of the duty created it, storeMerged returns the stored value. The
// returned value contains at least the first batch.
func (c *Compactor) storeMerged(ctx context.Context, group []storedBatch) (mergedValue, error) {
	bills, data, err := c.encodeGroup(group)
	if err != nil {
		return mergedValue{}, err
	}
	for key := mergedKey(group[0]); ; key += collisionSuffix {
		_, err := c.spec.Store.CAS(ctx, key, data, kv.Revision{}, 0)
		if err == nil {
			return mergedValue{key, data, indexByID(bills), true}, nil
		}
		if !errors.Is(err, kv.ErrConflict) {
			return mergedValue{}, err
		}
		e, err := c.spec.Store.Get(ctx, key)
		if err != nil {
			return mergedValue{}, err
		}
		have, _ := decodeBills(e.Value) // a damaged value counts as empty; Inspect reports it
		if m := indexByID(have); m.covers(group[0]) {
			return mergedValue{key, e.Value, m, false}, nil
		}
	}
}

// encodeGroup merges and encodes as many batches, from the front, as fit into a value. It updates the estimate of how
// many bytes of batches fill one.
func (c *Compactor) encodeGroup(group []storedBatch) ([]Bill, []byte, error) {
	for {
		var all []Bill
		size := 0
		for _, s := range group {
			all = append(all, s.bills...)
			size += s.size
		}
		bills := Merge(all)
		data, err := encodeBills(bills)
		if err != nil {
			return nil, nil, err
		}
		if len(bills) > 0 {
			c.fillBytes = min(max(size*mergedTargetBytes/len(data), mergedTargetBytes), maxMergeInputBytes)
		}
		if len(group) == 1 || len(data) <= kv.MaxValueBytes {
			return bills, data, nil
		}
		group = group[:len(group)/2]
	}
}
