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

// slowReplicator acknowledges each copy after a delay.
type slowReplicator struct {
	acceptAll
	delay     time.Duration
	copySizes []int // number of bills in each copy
}

// CopyBills implements Replicator.
func (s *slowReplicator) CopyBills(ctx context.Context, c Copy) (string, error) {
	s.copySizes = append(s.copySizes, len(c.Bills))
	select {
	case <-time.After(s.delay):
		return "holder", nil
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// Guards against an Add that returns before the copy is acknowledged or after the copy timeout, and against the bills
// of a burst being copied one by one.
func TestAddWaitsForDelayedCopy(t *testing.T) {
	const timeout = 100 * time.Millisecond
	for _, c := range []struct{ delay, want time.Duration }{
		{30 * time.Millisecond, DefaultCopyDelay + 30*time.Millisecond}, {time.Hour, timeout},
	} {
		synctest.Test(t, func(t *testing.T) {
			replicator := &slowReplicator{delay: c.delay}
			var uncopied atomic.Int32
			l := New(Spec{Store: memkv.New(), Replicator: replicator, CopyTimeout: timeout, CopyDelay: DefaultCopyDelay, OnUncopied: func() { uncopied.Add(1) }})
			start := time.Now()
			var wg sync.WaitGroup
			var last time.Duration
			wg.Go(func() { l.Add(t.Context(), testBill("a")) })
			time.Sleep(DefaultCopyDelay - time.Millisecond)
			wg.Go(func() { l.Add(t.Context(), testBill("b")); last = time.Since(start) })
			wg.Wait()
			if last != c.want || len(replicator.copySizes) != 1 || replicator.copySizes[0] != 2 {
				t.Errorf("delay %v: ended after %v, want %v; copies of %v bills, want one of 2", c.delay, last, c.want, replicator.copySizes)
			}
			if (uncopied.Load() > 0) != (c.want == timeout) {
				t.Errorf("delay %v: %d bills without a copy", c.delay, uncopied.Load())
			}
		})
	}
}
