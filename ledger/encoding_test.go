package ledger

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// Guards against stored batches that lose bills, that can't be read if they are stored without compression, or that are
// larger than the 80 bytes a bill of the design page. 176 bills are a batch of 10 s at 6,500 requests a second over 370
// daemons.
func TestBatchEncoding(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var bills []Bill
	for i := range 176 {
		bills = append(bills, Bill{
			ID: fmt.Sprintf("%013X%013X", rng.Uint64()>>12, rng.Uint64()>>12), Team: fmt.Sprintf("team-%d", rng.IntN(10)), At: 1796000000000 + int64(i*57),
			Calls:  []Call{{fmt.Sprintf("model-%d-v1", rng.IntN(9)), rng.Int64N(4000), rng.Int64N(1000), rng.Int64N(9000)}},
			Daemon: "domain-2-entry-339-ABCDEFGHIJ",
		})
	}
	compressed, err := encodeBills(bills)
	if err != nil {
		t.Fatal(err)
	}
	plain, err := msgpack.Marshal(bills)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d bills: %d bytes stored, %d before compression", len(bills), len(compressed), len(plain))
	for name, data := range map[string][]byte{"compressed": compressed, "plain": plain} {
		if got, err := decodeBills(data); err != nil || !reflect.DeepEqual(got, bills) {
			t.Errorf("%s: %v; the bills differ", name, err)
		}
	}
	if got := len(compressed) / len(bills); got > 80 {
		t.Errorf("%d bytes a bill; want at most 80", got)
	}
	if _, err := decodeBills(compressed[:len(compressed)/2]); err == nil {
		t.Error("half a batch was read without an error")
	}
}
