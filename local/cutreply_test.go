package local

import (
	"net/http"
	"testing"

	"github.com/bramleytrail/bramleytrail/identify"
	"github.com/bramleytrail/bramleytrail/ledger"
	"github.com/bramleytrail/bramleytrail/relay"
	"github.com/bramleytrail/bramleytrail/result"
)

// Guards against a part of an answer that passes for the whole one, at the caller, in the claim or in the bill, when the
// endpoint drops the connection in the middle of the body.
func TestEndpointCutsTheBody(t *testing.T) {
	for name, c := range map[string]struct {
		method string
		key    string
		runs   int // after the repeat
		bills  int
		repeat int // status
		ran    string
		code   result.Code // of the first bill
	}{
		"may be repeated":             {method: http.MethodGet, runs: 2, bills: 2, repeat: http.StatusOK, code: result.StreamBroken},
		"may be repeated, with a key": {method: http.MethodGet, key: "lot-1", runs: 2, bills: 1, repeat: http.StatusOK, code: result.OK},
		"may not be repeated":         {method: http.MethodPost, key: "lot-1", runs: 1, bills: 1, repeat: http.StatusConflict, ran: "yes", code: result.StreamBroken},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, d := startSample(t, 2, fastEngine)
			runs := func() (n int) {
				for _, p := range d.Plains {
					n += len(p.Runs())
				}
				return n
			}
			for _, p := range d.Plains {
				p.CutReplies(1)
			}
			header := map[string]string{}
			if c.key != "" {
				header[identify.HeaderIdempotencyKey] = c.key
			}
			a, err := sampleClient(d, 0).Call(ctx, c.method, "/v1/services/lots/release", nil, header)
			if err == nil {
				t.Errorf("the caller took a part of the body for the whole: %+v", a)
			}
			expectRuns(t, runs(), 1)
			for _, p := range d.Plains {
				p.CutReplies(0)
			}
			if c.ran != "" {
				expectState(ctx, t, d, 1, c.key, "done")
			}
			a, err = sampleClient(d, 1).Call(ctx, c.method, "/v1/services/lots/release", nil, header)
			expect(t, a, err, c.repeat, c.ran)
			if c.ran != "" && a.Header.Get(relay.HeaderClaim) == "" {
				t.Error("the refusal names no address of the outcome")
			}
			expectRuns(t, runs(), c.runs)
			drainAll(ctx, t, d)
			checkCutBills(t, billsOf(ctx, t, d), c.bills, c.code)
		})
	}
}

// checkCutBills expects that one bill has the code and the price of a call, and that the others are of whole answers.
func checkCutBills(t *testing.T, bills []ledger.Bill, n int, code result.Code) {
	t.Helper()
	found := 0
	for _, b := range bills {
		if b.Code == int(code) {
			found++
		}
		if len(b.Calls) != 1 || b.Calls[0].Cost != 500 {
			t.Errorf("bill %+v; want one call at 500", b)
		}
	}
	if len(bills) != n || found == 0 {
		t.Errorf("bills %+v; want %d, one of them with code %d", bills, n, code)
	}
}
