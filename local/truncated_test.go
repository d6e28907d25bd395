package local

import (
	"net/http"
	"testing"

	"github.com/bramleytrail/bramleytrail/identify"
	"github.com/bramleytrail/bramleytrail/ledger"
	"github.com/bramleytrail/bramleytrail/relay"
	"github.com/bramleytrail/bramleytrail/result"
)

// Guards against a truncated response that is treated as complete by the caller, in the claim or in the bill, when the
// endpoint drops the connection in the middle of the body.
func TestEndpointCutsTheBody(t *testing.T) {
	for name, c := range map[string]struct {
		method      string
		key         string // idempotency key
		runs        int    // after the retry
		bills       int
		retryStatus int
		retryRan    string
		code        result.Code // of at least one bill
	}{
		"may be repeated":             {method: http.MethodGet, runs: 2, bills: 2, retryStatus: http.StatusOK, code: result.StreamBroken},
		"may be repeated, with a key": {method: http.MethodGet, key: "lot-1", runs: 2, bills: 1, retryStatus: http.StatusOK, code: result.OK},
		"may not be repeated":         {method: http.MethodPost, key: "lot-1", runs: 1, bills: 1, retryStatus: http.StatusConflict, retryRan: "yes", code: result.StreamBroken},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, d := startSample(t, 2, fastEngine)
			runs := func() (n int) {
				for _, p := range d.PlainEndpoints {
					n += len(p.Runs())
				}
				return n
			}
			for _, p := range d.PlainEndpoints {
				p.CutReplies(1)
			}
			header := map[string]string{}
			if c.key != "" {
				header[identify.HeaderIdempotencyKey] = c.key
			}
			a, err := sampleClient(d, 0).Call(ctx, c.method, "/v1/services/lots/release", nil, header)
			if err == nil {
				t.Errorf("the caller received a truncated body without an error: %+v", a)
			}
			expectRuns(t, runs(), 1)
			for _, p := range d.PlainEndpoints {
				p.CutReplies(0)
			}
			if c.retryRan != "" {
				expectClaimState(ctx, t, d, 1, c.key, "done")
			}
			a, err = sampleClient(d, 1).Call(ctx, c.method, "/v1/services/lots/release", nil, header)
			expectResponse(t, a, err, c.retryStatus, c.retryRan)
			if c.retryRan != "" && a.Header.Get(relay.HeaderClaim) == "" {
				t.Error("the rejection has no Bramley-Claim header")
			}
			expectRuns(t, runs(), c.runs)
			drainAll(ctx, t, d)
			checkTruncatedBills(t, readBills(ctx, t, d), c.bills, c.code)
		})
	}
}

// checkTruncatedBills checks that there are n bills, each of one call at the full price, and that at least one has the
// code.
func checkTruncatedBills(t *testing.T, bills []ledger.Bill, n int, code result.Code) {
	t.Helper()
	found := 0
	for _, b := range bills {
		if b.Code == int(code) {
			found++
		}
		if len(b.Calls) != 1 || b.Calls[0].Cost != 500 {
			t.Errorf("bill %+v; want one call with cost 500", b)
		}
	}
	if len(bills) != n || found == 0 {
		t.Errorf("bills %+v; want %d, at least one of them with code %d", bills, n, code)
	}
}
