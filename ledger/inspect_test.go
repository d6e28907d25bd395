package ledger

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/kv/memkv"
)

// billsPerBatch is the number of bills of one daemon in one interval of 10 s at the design load: 6,500 a second over
// 370 daemons.
const billsPerBatch = 176

// typicalBills returns n bills of the 10 s before end whose identities, times, tokens and costs vary as in production,
// so that they compress realistically.
func typicalBills(r *rand.Rand, n int, end time.Time) []Bill {
	const letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZ234567"
	teams := []string{"growers", "intake", "contracts", "scale-house", "moisture"}
	bills := make([]Bill, n)
	for i := range bills {
		id := make([]byte, 26)
		for j := range id {
			id[j] = letters[r.IntN(len(letters))]
		}
		team := teams[r.IntN(len(teams))]
		bills[i] = Bill{
			ID: fmt.Sprintf("%s/chat/id/%s", team, id), Team: team, Daemon: "entry-17-ABCDEFGHIJ", At: end.UnixMilli() - r.Int64N(10_000),
			Calls: []Call{{Version: fmt.Sprint("nogal-v", r.IntN(18)), Input: r.Int64N(4000), Output: r.Int64N(800), Cost: r.Int64N(9000)}},
		}
	}
	return bills
}

// storeBatches stores n batches with the given number of bills each, spread evenly over the keys of 370 daemons.
func storeBatches(tb testing.TB, store kv.Store, n, bills int, end time.Time) {
	tb.Helper()
	r := rand.New(rand.NewPCG(1, 1))
	for i := range n {
		id := BatchID{Domain: "north", Incarnation: fmt.Sprintf("entry-%d-ABCDEFGHIJ", i%370), Seq: uint64(i / 370)}
		if err := WriteBatch(tb.Context(), store, id, typicalBills(r, bills, end), id.Incarnation); err != nil {
			tb.Fatal(err)
		}
	}
}

// BenchmarkInspect reports the store calls and the stored bytes of keys and values for several numbers of batches.
func BenchmarkInspect(b *testing.B) {
	for _, n := range []int{1000, 2000, 4000, 8000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			store := memkv.New()
			storeBatches(b, store, n, billsPerBatch, time.Now())
			size := 0
			for e := range kv.All(b.Context(), store, Prefix) {
				size += len(e.Key) + len(e.Value)
			}
			for b.Loop() {
				before := store.Faults.Counts()[memkv.CallList]
				if _, err := Inspect(b.Context(), store); err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(store.Faults.Counts()[memkv.CallList]-before), "calls")
			}
			b.ReportMetric(float64(size), "bytes")
			b.ReportMetric(float64(n*billsPerBatch), "bills")
		})
	}
}
