package bill

import (
	"context"
	"testing"

	"github.com/bramleytrail/bramleytrail/ledger"
	"github.com/bramleytrail/bramleytrail/object"
)

type recorder struct{ bills []ledger.Bill }

func (r *recorder) Add(_ context.Context, b ledger.Bill) { r.bills = append(r.bills, b) }
func (r *recorder) Full() bool                           { return false }

// Guards against a cascade of several model calls that is billed more than once, or with the cost of a single call.
func TestCascadeIsOneBill(t *testing.T) {
	r := &recorder{}
	small := &object.Version{Name: "small-1", Prices: object.Prices{Input: 40, Output: 120}}
	large := &object.Version{Name: "large-1", Prices: object.Prices{Input: 900, Output: 2700}}
	New(r, "d").Do(t.Context(), Input{Team: "growers", Service: "chat", RequestID: "r", Calls: []ledger.Call{
		ModelCall(small, 100, 10), ModelCall(large, 100, 10),
	}})
	// 5.2 rounds up to 6 and 117 is exact.
	if merged := ledger.Merge(append(r.bills, r.bills...)); len(merged) != 1 || merged[0].Cost() != 6+117 {
		t.Errorf("%+v, want one bill of 123", merged)
	}
}
