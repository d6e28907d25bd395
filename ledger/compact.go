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
	// CompactPeriod is the length of the periods whose batches are merged. A pass reads the batches of the period that is
	// open in vain, so that a shorter one reads more often what it can't merge yet.
	CompactPeriod = 10 * time.Minute
	// compactSettle is the time after the end of a period at which it is closed: a batch interval, and three more until a
	// holder of copies writes for a silent owner. A batch that comes later is merged in the next pass.
	compactSettle = time.Minute
	// compactDeletes bounds the deletions a second in one failure domain. At the target 37 batches a second are written in
	// 5 domains, so that 20 catch up after an outage, and all writes for bills stay below 140 a second.
	compactDeletes = 20
	// compactBurst bounds the deletions without a pause.
	compactBurst = 10
)

// CompactorSpec configures a Compactor.
type CompactorSpec struct {
	Store  kv.Store
	Domain string // failure domain whose batches are merged
	// OnError is called when a pass fails. The next pass goes on.
	OnError func(error)
}

// Compactor merges the batches of closed periods of a failure domain into few large values. Several may run at the same time, for example a
// paused holder of the duty and its successor: a merged value is only created, under a name that depends on its first
// batch, and a batch is deleted, at the revision that was read, only after a stored value with all its bills was seen.
type Compactor struct {
	spec    CompactorSpec
	limiter *rate.Limiter
	room    int // bytes of batches that are expected to fill a merged value
}

// Compacted counts the work of one pass.
type Compacted struct {
	Batches int // deleted batches
	Values  int // merged values that were stored
}

// NewCompactor returns a compactor.
func NewCompactor(spec CompactorSpec) *Compactor {
	return &Compactor{spec: spec, limiter: rate.NewLimiter(compactDeletes, compactBurst), room: mergedTarget}
}

// Run makes a pass after the end of each period, and one at once, until ctx ends.
func (c *Compactor) Run(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		if _, err := c.Pass(ctx, now); err != nil && ctx.Err() == nil {
			c.spec.OnError(err)
		}
		next := closedBefore(now).Add(CompactPeriod + compactSettle)
		t := time.NewTimer(max(time.Until(next), compactSettle))
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// closedBefore returns the end of the newest period that is closed.
func closedBefore(now time.Time) time.Time { return now.Add(-compactSettle).Truncate(CompactPeriod) }

// Pass merges every batch all of whose bills are from closed periods. Its memory is bounded by one merged value and one
// page of batches. Damaged batches stay.
func (c *Compactor) Pass(ctx context.Context, now time.Time) (Compacted, error) {
	var done Compacted
	var group []source
	size, end := 0, closedBefore(now)
	for e, err := range kv.All(ctx, c.spec.Store, Prefix+c.spec.Domain+"/") {
		if err != nil {
			return done, err
		}
		bills, err := decodeBills(e.Value)
		if err != nil || !allBefore(bills, end) {
			continue
		}
		if size > 0 && size+len(e.Value) > c.room {
			if err := c.merge(ctx, group, &done); err != nil {
				return done, err
			}
			group, size = nil, 0
		}
		group, size = append(group, source{e.Key, e.Revision, len(e.Value), bills}), size+len(e.Value)
	}
	return done, c.merge(ctx, group, &done)
}

// merge stores the bills of the batches and deletes the batches.
func (c *Compactor) merge(ctx context.Context, group []source, done *Compacted) error {
	for len(group) > 0 {
		v, err := c.store(ctx, group)
		if errors.Is(err, kv.ErrTooLarge) { // one batch that compresses less well than when it was written; it stays
			group = group[1:]
			continue
		}
		if err != nil {
			return err
		}
		if v.created {
			done.Values++
		}
		held, left := v.bills.split(group)
		// The first batch is deleted last: a successor after a crash begins with the same batch, so that it finds the value
		// by its name.
		for _, s := range slices.Backward(held) {
			if err := c.delete(ctx, s); err != nil {
				return err
			}
			done.Batches++
		}
		// A service that was restored in the meantime may have lost the value but not the deletions.
		if _, err := c.spec.Store.CAS(ctx, v.key, v.data, 0, 0); err != nil && !errors.Is(err, kv.ErrConflict) {
			return err
		}
		group = left
	}
	return nil
}

func (c *Compactor) delete(ctx context.Context, s source) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return err
	}
	err := c.spec.Store.Delete(ctx, s.key, s.revision)
	if errors.Is(err, kv.ErrNotFound) || errors.Is(err, kv.ErrConflict) { // deleted, or written anew since
		return nil
	}
	return err
}

// value is a stored merged value.
type value struct {
	key     string
	data    []byte
	bills   merged
	created bool // by this call
}

// store creates the merged value of as many of the batches as fit. If the name is taken, because an earlier write took
// effect or another holder was here, it returns the stored value. The value holds at least the first batch.
func (c *Compactor) store(ctx context.Context, group []source) (value, error) {
	bills, data, err := c.fill(group)
	if err != nil {
		return value{}, err
	}
	for key := mergedKey(group[0]); ; key += nextName {
		_, err := c.spec.Store.CAS(ctx, key, data, 0, 0)
		if err == nil {
			return value{key, data, index(bills), true}, nil
		}
		if !errors.Is(err, kv.ErrConflict) {
			return value{}, err
		}
		e, err := c.spec.Store.Get(ctx, key)
		if err != nil {
			return value{}, err
		}
		have, _ := decodeBills(e.Value) // a damaged value holds nothing and is reported by Inspect
		if m := index(have); m.holds(group[0]) {
			return value{key, e.Value, m, false}, nil
		}
	}
}

// fill merges as many batches from the front as fit into a value, and learns how much it takes to fill one.
func (c *Compactor) fill(group []source) ([]Bill, []byte, error) {
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
			c.room = min(max(size*mergedTarget/len(data), mergedTarget), maxMergedSources)
		}
		if len(group) == 1 || len(data) <= kv.MaxValueBytes {
			return bills, data, nil
		}
		group = group[:len(group)/2]
	}
}
