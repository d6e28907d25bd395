package peer

import (
	"context"
	"encoding/base32"
	"fmt"
	"math/rand/v2"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/ledger"
	"github.com/bramleytrail/bramleytrail/poison"
)

// rpcReplicator is a ledger.Replicator that sends copies over one connection and no announcements.
type rpcReplicator struct{ client *rpc.Client }

func (r rpcReplicator) CopyBills(_ context.Context, c ledger.Copy) (string, error) {
	var reply BillsReply
	err := r.client.Call(serviceName+".CopyBills", newBillsArgs(c), &reply)
	return reply.Holder, err
}

func (rpcReplicator) AnnounceBills(context.Context, ledger.Copy) []string { return nil }

// stubBillHolder accepts all copies and returns an incarnation of realistic length.
type stubBillHolder struct{ nopHandler }

func (stubBillHolder) KeepBills(ledger.Copy) (string, error) {
	return "domain-3-entry-117-KLMNOPQRST", nil
}

// sampleBill returns a bill of one call, with random values, for a request without an idempotency key.
func sampleBill(rng *rand.Rand, owner string) ledger.Bill {
	id := make([]byte, 26)
	for i := range id {
		id[i] = base32.StdEncoding.EncodeToString([]byte{byte(rng.Uint32())})[0]
	}
	team := fmt.Sprintf("team-%d", rng.IntN(10))
	return ledger.Bill{
		ID: team + "/chat/id/" + string(id), Team: team, At: time.Now().UnixMilli(), Daemon: owner,
		Calls: ledger.Calls{{Version: fmt.Sprintf("model-%d-v1", rng.IntN(9)), Input: rng.Int64N(4000), Output: rng.Int64N(1000), Cost: rng.Int64N(9000)}},
	}
}

// Guards against copies of bills that exceed their part of a daemon's control traffic of 5 KB/s. 17.6 bills a second
// are one daemon's share of 6,500 requests a second.
func TestBillCopyBytes(t *testing.T) {
	const bills = 1760
	for _, c := range []struct{ burst, limit int }{{1, 65}, {10, 37}} {
		synctest.Test(t, func(t *testing.T) {
			traffic := newCountedTraffic()
			n, err := New(Spec{Self: hostlist.Host{ID: "a"}, Handler: stubBillHolder{}, Poison: poison.NewTable(), Now: time.Now, Dial: noDial}, nil)
			if err != nil {
				t.Fatal(err)
			}
			a, b := net.Pipe()
			var wg sync.WaitGroup
			wg.Go(func() { n.server.ServeCodec(serverCodec{newCodec(b, nil)}) })
			client := rpc.NewClientWithCodec(newClientCodec(a, traffic))
			const owner = "domain-2-entry-339-ABCDEFGHIJ"
			l := ledger.New(ledger.Spec{
				Replicator: rpcReplicator{client}, Domain: "domain-2", Incarnation: owner, CopyTimeout: 100 * time.Millisecond,
				CopyDelay: ledger.DefaultCopyDelay, OnUncopied: func() { t.Error("bill was not copied") },
			})
			rng := rand.New(rand.NewPCG(1, 1))
			for range bills / c.burst {
				for range c.burst { // the bills of a burst are added within 1 ms
					bill := sampleBill(rng, owner)
					wg.Go(func() { l.Add(t.Context(), bill) })
					time.Sleep(time.Millisecond / time.Duration(c.burst))
				}
				time.Sleep(time.Duration(rng.ExpFloat64() * float64(c.burst) / 17.6 * float64(time.Second)))
			}
			time.Sleep(time.Second)
			_ = client.Close()
			wg.Wait()
			out, in := traffic.takeBytes("peer/copybills out"), traffic.takeBytes("peer/copybills in")
			t.Logf("bursts of %d bills: %d messages, %.1f B sent per bill, %.1f B received", c.burst, traffic.messages["peer/copybills out"],
				float64(out)/bills, float64(in)/bills)
			if out+in > c.limit*bills {
				t.Errorf("bursts of %d bills: %d B per bill; want at most %d", c.burst, (out+in)/bills, c.limit)
			}
		})
	}
}

// Guards against packing that changes a bill, since the copy would then be counted in addition to the owner's bill, and
// against a message from a peer that makes the daemon panic.
func FuzzPackedBills(f *testing.F) {
	rng := rand.New(rand.NewPCG(1, 1))
	valid := newBillsArgs(ledger.Copy{ID: ledger.BatchID{Incarnation: "d"}, Bills: []ledger.Bill{
		sampleBill(rng, "d"), {}, {ID: "growers/lots/key/0/x", Team: "other", Daemon: "e", At: -1}, sampleBill(rng, "e"),
	}})
	data, err := msgpack.Marshal(valid.Packed)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Fuzz(func(t *testing.T, data []byte) {
		var p packedBills
		if msgpack.Unmarshal(data, &p) != nil {
			return
		}
		bills, err := p.unpack("d")
		if err != nil {
			return
		}
		repacked, err := packBills(bills, "d").unpack("d")
		if err != nil || !reflect.DeepEqual(bills, repacked) {
			t.Errorf("packed and unpacked %+v to %+v: %v", bills, repacked, err)
		}
	})
}

// Guards against fields of bills that get lost in packing or unpacking.
func TestPackedBillsRoundTrip(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 1))
	bills := []ledger.Bill{{ID: "a/key", Team: "b", Code: 501, At: 7, Daemon: "e"}, sampleBill(rng, "d"), sampleBill(rng, "e")}
	bills[1].Calls = append(bills[1].Calls, ledger.Call{Version: "v", Input: 1, Output: 2, Cost: 3})
	got, err := newBillsArgs(ledger.Copy{ID: ledger.BatchID{Incarnation: "d"}, Bills: bills}).ledgerCopy()
	if err != nil || !reflect.DeepEqual(got.Bills, bills) {
		t.Errorf("packed and unpacked %+v to %+v: %v", bills, got.Bills, err)
	}
}
