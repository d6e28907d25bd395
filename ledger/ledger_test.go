package ledger

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleytrail/bramleytrail/kv/memkv"
)

// noPeer is a Replicator that sends nothing.
type noPeer struct{}

func (noPeer) CopyBills(context.Context, Copy) error { return nil }
func (noPeer) AnnounceBills(context.Context, Copy)   {}

// Guards against a batch that is dropped unwritten when the periodic write and the one of a stopping daemon overlap.
func TestOverlappingFlushesKeepAllBills(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memkv.New()
		store.Faults.SetDelay(time.Second)
		l := New(Spec{Store: store, Replicator: noPeer{}, Domain: "d", Incarnation: "i", CopyTimeout: time.Second, OnUncopied: func() {}, OnStoreError: func(error) {}})
		ctx := t.Context()
		for _, id := range []string{"a", "b", "c"} {
			l.Add(ctx, Bill{ID: id})
			l.mu.Lock()
			l.seal()
			l.mu.Unlock()
		}
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() { l.Flush(ctx) })
		}
		wg.Wait()
		store.Faults.SetDelay(0)
		if bills, err := Read(ctx, store); err != nil || len(bills) != 3 || l.Held() != 0 {
			t.Errorf("%d bills stored, %d held, %v; 3 were added", len(bills), l.Held(), err)
		}
	})
}
