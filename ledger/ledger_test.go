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

// cluster connects ledgers and their copy holders without a network.
type cluster struct {
	mu      sync.Mutex
	members []*member
	next    int // number of the next start
}

// member is one start of a daemon.
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
	c.next++
	m := &member{name: fmt.Sprint("d", c.next), cluster: c}
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

func bill(id string) Bill {
	return Bill{ID: id, Team: "growers", Calls: []Call{{Version: "v", Output: 1, Cost: 1}}, At: time.Now().UnixMilli(), Daemon: "d"}
}

// Guards against more key-value calls than one write for each daemon and interval, and against any without bills.
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
				members[0].ledger.Add(ctx, bill(fmt.Sprint(i, "/", j)))
			}
			time.Sleep(testInterval)
			synctest.Wait()
		}
		time.Sleep(5 * testInterval)
		for _, m := range members {
			if err := m.copies.WriteSilent(ctx, time.Now(), m.ledger.Adopt); err != nil {
				t.Error(err)
			}
		}
		if got, want := store.Faults.Counts(), (map[memkv.Call]int{memkv.CallCAS: intervals}); !maps.Equal(got, want) {
			t.Errorf("calls %v for %d intervals with bills, want %v", got, intervals, want)
		}
		cancel()
	})
}

// Guards against bills that are dropped unwritten when a planned stop and the regular write run at the same time.
func TestConcurrentFlushesLoseNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memkv.New()
		m := (&cluster{}).add(store)
		store.Faults.SetDelay(time.Second)
		for i := range 3 {
			m.ledger.Add(t.Context(), bill(fmt.Sprint(i)))
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

// Guards against a batch that exceeds the value limit and can then never be written, with every later one behind it.
func TestBatchesStayBelowTheValueLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringN(0, 300, 400)
		b := Bill{ID: text.Draw(t, "id"), Team: text.Draw(t, "team"), Code: rapid.Int().Draw(t, "code"), At: rapid.Int64().Draw(t, "at"), Daemon: text.Draw(t, "daemon")}
		for range rapid.IntRange(0, 4).Draw(t, "calls") {
			n := rapid.Int64()
			b.Calls = append(b.Calls, Call{Version: text.Draw(t, "version"), Input: n.Draw(t, "input"), Output: n.Draw(t, "output"), Cost: n.Draw(t, "cost")})
		}
		data, err := encodeBills([]Bill{b})
		if bound := compressedBound(b.encodedBound()); err != nil || len(data) > bound {
			t.Fatalf("%d bytes, bound %d, %v", len(data), bound, err)
		}
	})
	if bound := compressedBound(maxBatchBytes); bound > kv.MaxValueBytes {
		t.Errorf("a full batch takes up to %d bytes, more than the value limit of %d", bound, kv.MaxValueBytes)
	}
	store := memkv.New()
	m := (&cluster{}).add(store)
	long := make([]byte, 400)
	for i := range 6000 { // 2.8 MB
		m.ledger.append(t.Context(), bill(fmt.Sprintf("%s%d", long, i)))
	}
	if !m.ledger.Flush(t.Context()) {
		t.Error("batches can't be written")
	}
	if bills, err := Read(t.Context(), store); err != nil || len(bills) != 6000 {
		t.Errorf("%d bills stored, %v; want 6000", len(bills), err)
	}
}

// Guards against a bill of the answered repeat that is dropped because a bill of the failed first delivery was stored.
func TestConflictKeepsBothOutcomesOfARequest(t *testing.T) {
	store := memkv.New()
	failed, answered := bill("x"), bill("x")
	failed.Code, failed.Calls = 501, nil
	id := BatchID{Domain: "north", Incarnation: "d1", Seq: 1}
	for writer, bills := range map[string][]Bill{"holder": {failed}, "d1": {failed, answered}} {
		if err := WriteBatch(t.Context(), store, id, bills, writer); err != nil {
			t.Fatal(err)
		}
	}
	bills, err := Read(t.Context(), store)
	if err != nil || len(bills) != 1 || bills[0].Code != 0 || bills[0].Cost() != 1 {
		t.Errorf("%+v, %v; want the answered one", bills, err)
	}
}

// Guards against one damaged value that hides all bills or blocks the batches behind it.
func TestDamagedBatch(t *testing.T) {
	store := memkv.New()
	id := BatchID{Domain: "north", Incarnation: "d1", Seq: 1}
	if _, err := store.CAS(t.Context(), id.Key(), []byte("damaged"), 0, 0); err != nil {
		t.Fatal(err)
	}
	if err := WriteBatch(t.Context(), store, id, []Bill{bill("x")}, "d1"); err != nil {
		t.Fatal(err)
	}
	bills, err := Read(t.Context(), store)
	if len(bills) != 1 || err == nil {
		t.Errorf("%d bills, error %v; want the readable one and an error", len(bills), err)
	}
}

// Guards against memory that grows without limit while the key-value service is down, at the owner and at the holder.
func TestMemoryIsBoundedDuringAnOutage(t *testing.T) {
	store := memkv.New()
	store.Faults.SetDown(true)
	m, holder := (&cluster{}).add(store), (&cluster{}).add(store)
	n := 0
	for ; !m.ledger.Full(); n++ {
		m.ledger.append(t.Context(), bill(fmt.Sprint("growers/chat/id/XXXXXXXXXXXXXXXXXXXXXXXXXX", n)))
	}
	const perHour = 18 * 3600 // bills of one daemon at the target
	if n < perHour {
		t.Errorf("full after %d bills; an hour has %d", n, perHour)
	}
	one := bill("y")
	set := func(change func(*Copies)) { // copies of the appended bills may still arrive
		holder.copies.mu.Lock()
		defer holder.copies.mu.Unlock()
		change(holder.copies)
	}
	set(func(c *Copies) { c.bytes = MaxHeldBytes })
	if err := holder.copies.Keep(Copy{ID: BatchID{"north", "other", 1}, Bills: []Bill{one}}, time.Now()); !errors.Is(err, ErrCopiesFull) {
		t.Errorf("%v, want a refusal", err)
	}
	set(func(c *Copies) { c.closed = true })
	if err := holder.copies.Keep(Copy{ID: BatchID{"north", "other", 1}, Bills: []Bill{one}}, time.Now()); !errors.Is(err, ErrCopiesClosed) {
		t.Errorf("%v, want a leaving daemon to refuse copies", err)
	}
}

// Guards against a crash on damaged or foreign values, and against bills that change when they are stored again.
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
			t.Errorf("%+v decodes as %+v: %v", bills, same, err)
		}
	})
}

type acceptAll struct{}

func (acceptAll) CopyBills(context.Context, Copy) (string, error)      { return "holder", nil }
func (acceptAll) AnnounceBills(context.Context, Copy) (names []string) { return nil }

// BenchmarkAdd measures one bill without the network, with as many callers as processors; batches are written on the way.
func BenchmarkAdd(b *testing.B) {
	l := New(Spec{Store: memkv.New(), Replicator: acceptAll{}, Domain: "north", Incarnation: "d1", CopyTimeout: time.Second, OnUncopied: func() {}})
	one := bill("growers/chat/id/XXXXXXXXXXXXXXXXXXXXXXXXXX")
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

// BenchmarkEncode measures the encoding of one interval's batch at the target: 180 bills of one daemon.
func BenchmarkEncode(b *testing.B) {
	bills := make([]Bill, 180)
	for i := range bills {
		bills[i] = bill(fmt.Sprint("growers/chat/id/XXXXXXXXXXXXXXXXXXXXXXXXXX", i))
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

// Guards against the removal of a batch that holds a recent bill or that can't be read.
func TestPruneKeepsRecentAndDamagedBatches(t *testing.T) {
	store := memkv.New()
	old, recent := bill("old"), bill("recent")
	old.At -= (60 * 24 * time.Hour).Milliseconds()
	for seq, bills := range [][]Bill{{old}, {old, recent}, {recent}} {
		if err := WriteBatch(t.Context(), store, BatchID{"north", "d1", uint64(seq)}, bills, "d1"); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := store.CAS(t.Context(), Prefix+"north/d2/1", []byte("damaged"), 0, 0); err != nil {
		t.Fatal(err)
	}
	if _, err := Prune(t.Context(), store, time.Now(), false); err == nil {
		t.Error("recent bills may be removed")
	}
	for _, dry := range []bool{true, false} {
		if p, err := Prune(t.Context(), store, time.Now().Add(-2*MinRetention), dry); err != nil || p != (Pruned{Removed: 1, Kept: 3}) {
			t.Errorf("dry %t: %+v, %v", dry, p, err)
		}
	}
	if left, err := store.List(t.Context(), kv.Range{Prefix: Prefix}); err != nil || len(left.Entries) != 3 {
		t.Errorf("%d batches left, %v; want 3", len(left.Entries), err)
	}
}
