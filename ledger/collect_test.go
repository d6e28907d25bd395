package ledger

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleytrail/bramleytrail/kv/memkv"
)

// slowHolder answers each copy after a time.
type slowHolder struct {
	acceptAll
	delay  time.Duration
	copies []int // bills of each copy
}

// CopyBills implements Replicator.
func (s *slowHolder) CopyBills(ctx context.Context, c Copy) (string, error) {
	s.copies = append(s.copies, len(c.Bills))
	select {
	case <-time.After(s.delay):
		return "holder", nil
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// Guards against an answer that ends before its bill's copy is acknowledged, against one that waits longer than the copy
// timeout, and against bills of a burst that are copied one by one.
func TestCollectedBillsWaitForTheirCopy(t *testing.T) {
	const timeout = 100 * time.Millisecond
	for _, c := range []struct{ delay, want time.Duration }{
		{30 * time.Millisecond, CollectTime + 30*time.Millisecond}, {time.Hour, timeout},
	} {
		synctest.Test(t, func(t *testing.T) {
			holder := &slowHolder{delay: c.delay}
			var uncopied atomic.Int32
			l := New(Spec{Store: memkv.New(), Replicator: holder, CopyTimeout: timeout, Collect: CollectTime, OnUncopied: func() { uncopied.Add(1) }})
			start := time.Now()
			var wg sync.WaitGroup
			var last time.Duration
			wg.Go(func() { l.Add(t.Context(), bill("a")) })
			time.Sleep(CollectTime - time.Millisecond)
			wg.Go(func() { l.Add(t.Context(), bill("b")); last = time.Since(start) })
			wg.Wait()
			if last != c.want || len(holder.copies) != 1 || holder.copies[0] != 2 {
				t.Errorf("delay %v: ended after %v, want %v; copies of %v bills, want one of 2", c.delay, last, c.want, holder.copies)
			}
			if (uncopied.Load() > 0) != (c.want == timeout) {
				t.Errorf("delay %v: %d bills without a copy", c.delay, uncopied.Load())
			}
		})
	}
}
