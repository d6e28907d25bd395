package ledger

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/kv/memkv"
)

// cluster connects several ledgers and sets of copies without a network.
type cluster struct {
	mu      sync.Mutex
	members []*member
	starts  int // number of members started so far
}

// member is one incarnation of a daemon. It implements Replicator over the other members of its cluster.
type member struct {
	name    string
	cluster *cluster
	ledger  *Ledger
	copies  *Copies
	down    bool
	cancel  context.CancelFunc
}

const testInterval = 10 * time.Second

func (c *cluster) add(store kv.Store) *member {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	m := &member{name: fmt.Sprint("d", c.starts), cluster: c}
	m.ledger = New(Spec{
		Store: store, Replicator: m, Domain: "north", Incarnation: m.name, Interval: testInterval, CopyTimeout: 100 * time.Millisecond,
		OnUncopied: func() {}, OnStoreError: func(error) {},
	})
	m.copies = NewCopies(store, m.name, 3*testInterval)
	c.members = append(c.members, m)
	return m
}

var errNoMember = errors.New("no member is up")

// CopyBills implements Replicator.
func (m *member) CopyBills(_ context.Context, c Copy) (string, error) {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	for _, other := range m.cluster.members {
		if other == m || other.down || m.down {
			continue
		}
		if err := other.copies.Keep(c, time.Now()); err == nil {
			return other.name, nil
		}
	}
	return "", errNoMember
}

// AnnounceBills implements Replicator.
func (m *member) AnnounceBills(_ context.Context, c Copy) []string {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	var names []string
	for _, other := range m.cluster.members {
		if other != m && !other.down && !m.down && other.copies.Keep(c, time.Now()) == nil {
			names = append(names, other.name)
		}
	}
	return names
}

// testBill returns a bill of the current time with one call.
func testBill(id string) Bill {
	return Bill{ID: id, Team: "growers", Calls: []Call{{Version: "v", Output: 1, Cost: 1}}, At: time.Now().UnixMilli(), Daemon: "d"}
}

// Guards against more key-value store calls than one write for each daemon and interval, and against calls of daemons
// that have no bills.
func TestCallsPerInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memkv.New()
		c := &cluster{}
		ctx, cancel := context.WithCancel(t.Context())
		members := []*member{c.add(store), c.add(store)}
		for _, m := range members {
			go m.ledger.Run(ctx)
		}
		const intervals = 4
		for i := range intervals {
			for j := range 100 {
				members[0].ledger.Add(ctx, testBill(fmt.Sprint(i, "/", j)))
			}
			time.Sleep(testInterval)
			synctest.Wait()
		}
		time.Sleep(5 * testInterval)
		for _, m := range members {
			if err := m.copies.WriteOrphaned(ctx, time.Now(), m.ledger.Adopt); err != nil {
				t.Error(err)
			}
		}
		if got, want := store.Faults.Counts(), (map[memkv.Call]int{memkv.CallCAS: intervals}); !maps.Equal(got, want) {
			t.Errorf("calls %v for %d intervals with bills, want %v", got, intervals, want)
		}
		cancel()
	})
}

// Guards against bills that are dropped unwritten when the drain of a shutdown runs concurrently with the periodic
// write.
func TestConcurrentFlushesLoseNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memkv.New()
		m := (&cluster{}).add(store)
		store.Faults.SetDelay(time.Second)
		for i := range 3 {
			m.ledger.Add(t.Context(), testBill(fmt.Sprint(i)))
			m.ledger.mu.Lock()
			m.ledger.seal()
			m.ledger.mu.Unlock()
		}
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() { m.ledger.Drain(t.Context()) })
		}
		wg.Wait()
		if bills, err := Read(t.Context(), store); err != nil || len(bills) != 3 {
			t.Errorf("%d bills stored, %v; want 3", len(bills), err)
		}
	})
}

// Guards against a batch that exceeds the value limit: it could never be written and would block all later batches.
func TestBatchesStayBelowTheValueLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringN(0, 300, 400)
		b := Bill{ID: text.Draw(t, "id"), Team: text.Draw(t, "team"), Code: rapid.Int().Draw(t, "code"), At: rapid.Int64().Draw(t, "at"), Daemon: text.Draw(t, "daemon")}
		for range rapid.IntRange(0, 4).Draw(t, "calls") {
			n := rapid.Int64()
			b.Calls = append(b.Calls, Call{Version: text.Draw(t, "version"), Input: n.Draw(t, "input"), Output: n.Draw(t, "output"), Cost: n.Draw(t, "cost")})
		}
		data, err := encodeBills([]Bill{b})
		if bound := maxCompressedBytes(b.maxEncodedBytes()); err != nil || len(data) > bound {
			t.Fatalf("encoded bill takes %d bytes, computed bound is %d, error %v", len(data), bound, err)
		}
	})
	if bound := maxCompressedBytes(maxBatchBytes); bound > kv.MaxValueBytes {
		t.Errorf("a full batch takes up to %d bytes, more than the value limit of %d", bound, kv.MaxValueBytes)
	}
	store := memkv.New()
	m := (&cluster{}).add(store)
	long := make([]byte, 400)
	for i := range 6000 { // 2.8 MB
		m.ledger.appendBill(t.Context(), testBill(fmt.Sprintf("%s%d", long, i)))
	}
	if !m.ledger.Flush(t.Context()) {
		t.Error("batches can't be written")
	}
	if bills, err := Read(t.Context(), store); err != nil || len(bills) != 6000 {
		t.Errorf("%d bills stored, %v; want 6000", len(bills), err)
	}
}

// Guards against the bill of an answered repeat being dropped because a bill of the failed first delivery is already
// stored under the batch's key.
func TestConflictKeepsBothOutcomesOfARequest(t *testing.T) {
	store := memkv.New()
	failed, answered := testBill("x"), testBill("x")
	failed.Code, failed.Calls = 501, nil
	id := BatchID{Domain: "north", Incarnation: "d1", Seq: 1}
	for writer, bills := range map[string][]Bill{"holder": {failed}, "d1": {failed, answered}} {
		if err := WriteBatch(t.Context(), store, id, bills, writer); err != nil {
			t.Fatal(err)
		}
	}
	bills, err := Read(t.Context(), store)
	if err != nil || len(bills) != 1 || bills[0].Code != 0 || bills[0].Cost() != 1 {
		t.Errorf("%+v, %v; want only the bill of the answered delivery", bills, err)
	}
}

// Guards against a damaged value that makes all bills unreadable, or that blocks the batch with its key and all later
// ones.
func TestDamagedBatch(t *testing.T) {
	store := memkv.New()
	id := BatchID{Domain: "north", Incarnation: "d1", Seq: 1}
	if _, err := store.CAS(t.Context(), id.Key(), []byte("damaged"), kv.Revision{}, 0); err != nil {
		t.Fatal(err)
	}
	if err := WriteBatch(t.Context(), store, id, []Bill{testBill("x")}, "d1"); err != nil {
		t.Fatal(err)
	}
	bills, err := Read(t.Context(), store)
	if len(bills) != 1 || err == nil {
		t.Errorf("%d bills, error %v; want the readable bill and an error", len(bills), err)
	}
}

// Guards against memory that grows without limit while the key-value store is down, on the owner of bills and on the
// daemon that holds their copies.
func TestMemoryIsBoundedDuringAnOutage(t *testing.T) {
	store := memkv.New()
	store.Faults.SetDown(true)
	m, holder := (&cluster{}).add(store), (&cluster{}).add(store)
	n := 0
	for ; !m.ledger.Full(); n++ {
		m.ledger.appendBill(t.Context(), testBill(fmt.Sprint("growers/chat/id/XXXXXXXXXXXXXXXXXXXXXXXXXX", n)))
	}
	const perHour = 18 * 3600 // bills of one daemon at the design load
	if n < perHour {
		t.Errorf("full after %d bills; an hour has %d", n, perHour)
	}
	one := testBill("y")
	set := func(change func(*Copies)) { // under the lock: copies of the appended bills may still arrive
		holder.copies.mu.Lock()
		defer holder.copies.mu.Unlock()
		change(holder.copies)
	}
	set(func(c *Copies) { c.bytes = MaxHeldBytes })
	if err := holder.copies.Keep(Copy{ID: BatchID{"north", "other", 1}, Bills: []Bill{one}}, time.Now()); !errors.Is(err, ErrCopiesFull) {
		t.Errorf("Keep at the memory limit: %v, want %v", err, ErrCopiesFull)
	}
	set(func(c *Copies) { c.closed = true })
	if err := holder.copies.Keep(Copy{ID: BatchID{"north", "other", 1}, Bills: []Bill{one}}, time.Now()); !errors.Is(err, ErrCopiesClosed) {
		t.Errorf("Keep after Close: %v, want %v", err, ErrCopiesClosed)
	}
}

// Guards against a crash on damaged or arbitrary values, and against bills that change when they are encoded again.
func FuzzDecodeBills(f *testing.F) {
	valid, err := encodeBills([]Bill{{ID: "growers/lots/id/1", Team: "growers", Calls: []Call{{Version: "lots", Cost: 500}}, At: 1, Daemon: "d"}, {}})
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range [][]byte{valid, valid[:len(valid)/2], {}, {0x90}, {0xc0}, {0xdd, 0xff, 0xff, 0xff, 0xff}, {0x91, 0x80}, {0x91, 0x81, 0xa1, 'r', 0xdb, 0xff, 0xff, 0xff, 0xff}, []byte("text")} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		bills, err := decodeBills(data)
		if err != nil {
			return
		}
		again, err := encodeBills(bills)
		if err != nil {
			t.Fatal(err)
		}
		same, err := decodeBills(again)
		if err != nil || len(missing(bills, same)) > 0 || len(missing(same, bills)) > 0 {
			t.Errorf("bills %+v are %+v after encoding and decoding, error %v", bills, same, err)
		}
	})
}

// acceptAll is a Replicator that acknowledges every copy immediately.
type acceptAll struct{}

func (acceptAll) CopyBills(context.Context, Copy) (string, error)      { return "holder", nil }
func (acceptAll) AnnounceBills(context.Context, Copy) (names []string) { return nil }

// BenchmarkAdd measures adding one bill without a network, with GOMAXPROCS concurrent callers. It includes writing
// batches.
func BenchmarkAdd(b *testing.B) {
	l := New(Spec{Store: memkv.New(), Replicator: acceptAll{}, Domain: "north", Incarnation: "d1", CopyTimeout: time.Second, OnUncopied: func() {}})
	one := testBill("growers/chat/id/XXXXXXXXXXXXXXXXXXXXXXXXXX")
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			l.Add(b.Context(), one)
			if l.Full() {
				l.Flush(b.Context())
			}
		}
	})
}

// BenchmarkEncode measures the encoding of one daemon's batch of one interval at the design load: 180 bills.
func BenchmarkEncode(b *testing.B) {
	bills := make([]Bill, 180)
	for i := range bills {
		bills[i] = testBill(fmt.Sprint("growers/chat/id/XXXXXXXXXXXXXXXXXXXXXXXXXX", i))
	}
	b.ReportAllocs()
	for b.Loop() {
		data, err := encodeBills(bills)
		if err != nil {
			b.Fatal(err)
		}
		b.SetBytes(int64(len(data)))
	}
}

// Guards against the removal of a batch that contains a recent bill or can't be decoded.
func TestPruneKeepsRecentAndDamagedBatches(t *testing.T) {
	store := memkv.New()
	old, recent := testBill("old"), testBill("recent")
	old.At -= (60 * 24 * time.Hour).Milliseconds()
	for seq, bills := range [][]Bill{{old}, {old, recent}, {recent}} {
		if err := WriteBatch(t.Context(), store, BatchID{"north", "d1", uint64(seq)}, bills, "d1"); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := store.CAS(t.Context(), Prefix+"north/d2/1", []byte("damaged"), kv.Revision{}, 0); err != nil {
		t.Fatal(err)
	}
	if _, err := Prune(t.Context(), store, time.Now(), false); err == nil {
		t.Error("Prune accepts a time less than MinRetention ago")
	}
	for _, dry := range []bool{true, false} {
		if p, err := Prune(t.Context(), store, time.Now().Add(-2*MinRetention), dry); err != nil || p != (PruneResult{Removed: 1, Kept: 3}) {
			t.Errorf("dry %t: %+v, %v", dry, p, err)
		}
	}
	if left, err := store.List(t.Context(), kv.Range{Prefix: Prefix}); err != nil || len(left.Entries) != 3 {
		t.Errorf("%d batches left, %v; want 3", len(left.Entries), err)
	}
}
