package ledger

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// Guards against an encoding that loses bills, can't decode batches stored without compression, or exceeds the 80 bytes
// a bill that the design assumes. 176 bills are the batch of one daemon for 10 s, at 6,500 requests a second over 370
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
			t.Errorf("%s: decoded bills differ from the encoded ones, error %v", name, err)
		}
	}
	if got := len(compressed) / len(bills); got > 80 {
		t.Errorf("%d bytes a bill; want at most 80", got)
	}
	if _, err := decodeBills(compressed[:len(compressed)/2]); err == nil {
		t.Error("truncated batch decoded without an error")
	}
}
