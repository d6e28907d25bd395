package local

import (
	"context"
	"testing"

	"github.com/bramleytrail/bramleytrail/ledger"
)

// billsOf returns the merged bills.
func billsOf(ctx context.Context, t *testing.T, d *Deployment) []ledger.Bill {
	t.Helper()
	bills, err := ledger.Read(ctx, d.Platform.KV)
	if err != nil {
		t.Error(err)
	}
	return bills
}
