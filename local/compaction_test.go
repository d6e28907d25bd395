package local

import (
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/ledger"
)

// Guards against daemons that don't merge the bills of closed periods of their failure domain, and against a compaction
// duty that no daemon takes over after its first holder was killed.
func TestBillsOfClosedPeriodsAreMerged(t *testing.T) {
	ctx, d := startSample(t, 3, fastEngine)
	domain := d.Daemons[0].State().Domain
	killHolder(ctx, t, d, "bills-"+domain)
	old := ledger.Bill{ID: "growers/chat/id/old", Team: "growers", At: time.Now().Add(-time.Hour).UnixMilli(), Daemon: "gone"}
	id := ledger.BatchID{Domain: domain, Incarnation: "gone", Seq: 1}
	if err := ledger.WriteBatch(ctx, d.Platform.KV, id, []ledger.Bill{old}, "gone"); err != nil {
		t.Fatal(err)
	}
	if _, err := d.AddDaemon(d.Settings("successor", domain)); err != nil {
		t.Fatal(err)
	}
	remaining := func(prefix string) int {
		page, err := d.Platform.KV.List(ctx, kv.Range{Prefix: prefix})
		if err != nil {
			t.Error(err)
		}
		return len(page.Entries)
	}
	if err := Wait(ctx, func() bool { return remaining(ledger.Prefix) == 0 && remaining(ledger.MergedPrefix) == 1 }); err != nil {
		t.Fatalf("bills not merged: %v; %d batches and %d merged values in the store, want 0 and 1", err, remaining(ledger.Prefix), remaining(ledger.MergedPrefix))
	}
	if bills, err := ledger.Read(ctx, d.Platform.KV); err != nil || len(bills) != 1 || bills[0].ID != old.ID {
		t.Errorf("bills %+v, error %v; want only the old bill", bills, err)
	}
}
