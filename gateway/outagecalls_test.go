package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/kv/memkv"
	"github.com/bramleytrail/bramleytrail/notice"
)

// Guards against daemons that the store refuses and that call it at each notification of a document which they could not read.
func TestNotificationsInOutageCostFewCalls(t *testing.T) {
	const outage, interval, most = 20 * time.Second, 100 * time.Millisecond, 12 // tenths of a read, as without notifications
	synctest.Test(t, func(t *testing.T) {
		inner := memkv.New()
		for i := range 39 {
			if _, err := inner.CAS(t.Context(), fmt.Sprintf("%sa%02d", memberPrefix, i), []byte("a a:1"), kv.Revision{}, 0); err != nil {
				t.Fatal(err)
			}
		}
		store := &meteredStore{Store: inner}
		g := testGateway(store)
		g.spec.Propagation = 4 * time.Second
		defer g.cancel()
		go g.view.run()
		go g.maintainMembership()
		time.Sleep(5 * time.Second)
		store.down.Store(true)
		time.Sleep(5 * time.Second) // until the outage is noticed
		store.tenths.Store(0)
		for n := range int(outage / interval) {
			rev := numbered(uint64(1000 + n))
			g.view.receive(notice.Message{From: "a00", PolledAt: time.Now().UnixNano(), After: numbered(1), Revision: rev, Changes: []notice.Change{{Key: "op", Revision: rev}}})
			time.Sleep(interval)
		}
		if n := store.tenths.Load(); n > most {
			t.Errorf("an outage of %v with %d notifications costs %d tenths of a read, want at most %d", outage, int(outage/interval), n, most)
		}
		if !g.view.mayBeBehind() {
			t.Error("not behind although a document could not be read")
		}
	})
}
