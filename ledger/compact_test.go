package ledger

import (
	"context"
	"errors"
	"fmt"
	"math"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/kv/memkv"
)

// gate passes calls on to a store. Before the call with the number at it runs event, and from then on every call fails
// if dead is set; with lost, that call takes effect first.
type gate struct {
	kv.Store
	calls, at  int
	event      func()
	dead, lost bool
}

func (g *gate) call(f func() error) error {
	g.calls++
	if g.calls == g.at && g.event != nil {
		g.event()
	}
	if !g.dead || g.calls < g.at {
		return f()
	}
	if g.lost && g.calls == g.at {
		_ = f() // its answer is lost
	}
	return kv.ErrUnavailable
}

func (g *gate) Get(ctx context.Context, key string) (e kv.Entry, err error) {
	err = g.call(func() error { e, err = g.Store.Get(ctx, key); return err })
	return e, err
}

func (g *gate) CAS(ctx context.Context, key string, value []byte, prev uint64, lease kv.LeaseID) (rev uint64, err error) {
	err = g.call(func() error { rev, err = g.Store.CAS(ctx, key, value, prev, lease); return err })
	return rev, err
}

func (g *gate) Delete(ctx context.Context, key string, prev uint64) error {
	return g.call(func() error { return g.Store.Delete(ctx, key, prev) })
}

func (g *gate) List(ctx context.Context, r kv.Range) (p kv.Page, err error) {
	err = g.call(func() error { p, err = g.Store.List(ctx, r); return err })
	return p, err
}

// closed is the time of the passes of tests, at which the bills of storeFew are from a closed period.
func closed() time.Time { return time.Now().Add(CompactPeriod + 2*compactSettle) }

func pass(t *testing.T, store kv.Store) (Compacted, error) {
	t.Helper()
	return NewCompactor(CompactorSpec{Store: store, Domain: "north"}).Pass(t.Context(), closed())
}

// storeFew stores batches of two daemons, one of which has a failed and a later answered bill of one request.
func storeFew(t *testing.T, store kv.Store) (want []Bill) {
	t.Helper()
	for i := range 4 {
		bills := []Bill{bill(fmt.Sprint("a", i)), bill(fmt.Sprint("b", i)), bill("repeated")}
		if bills[2].Code = 0; i%2 == 0 {
			bills[2].Code, bills[2].Calls = 501, nil
		}
		id := BatchID{"north", fmt.Sprint("d", i%2), uint64(i)}
		if err := WriteBatch(t.Context(), store, id, bills, "d"); err != nil {
			t.Fatal(err)
		}
		want = append(want, bills...)
	}
	return want
}

func checkBills(t *testing.T, when string, store kv.Store, want []Bill) {
	t.Helper()
	got, err := Read(context.Background(), store)
	if err != nil || !reflect.DeepEqual(got, Merge(want)) {
		t.Errorf("%s: %d bills, %v; want %d: %+v", when, len(got), err, len(Merge(want)), got)
	}
}

func count(t *testing.T, store kv.Store, prefix string) (n int) {
	t.Helper()
	for _, err := range kv.All(context.Background(), store, prefix) {
		if err != nil {
			t.Fatal(err)
		}
		n++
	}
	return n
}

// eachCall runs a test once for each call that a pass over the batches of storeFew makes.
func eachCall(t *testing.T, test func(t *testing.T, store *memkv.Store, want []Bill, at int)) {
	for at := 1; ; at++ {
		calls := 0
		synctest.Test(t, func(t *testing.T) {
			probe := &gate{Store: memkv.New()}
			storeFew(t, probe.Store)
			if _, err := pass(t, probe); err != nil {
				t.Fatal(err)
			}
			calls = probe.calls
			store := memkv.New()
			test(t, store, storeFew(t, store), at)
		})
		if at == calls {
			return
		}
	}
}

// Guards against a holder of the duty that crashes between two steps, or whose call took effect without an answer, and
// leaves bills lost or doubled, or batches that no successor can merge.
func TestCompactorCrash(t *testing.T) {
	for _, lost := range []bool{false, true} {
		eachCall(t, func(t *testing.T, store *memkv.Store, want []Bill, at int) {
			when := fmt.Sprintf("crash at call %d, effect %t", at, lost)
			if _, err := pass(t, &gate{Store: store, at: at, dead: true, lost: lost}); !errors.Is(err, kv.ErrUnavailable) {
				t.Fatalf("%s: %v", when, err)
			}
			checkBills(t, when, store, want)
			if _, err := pass(t, store); err != nil {
				t.Fatalf("%s: %v", when, err)
			}
			checkBills(t, when+", successor", store, want)
			if batches, values := count(t, store, Prefix), count(t, store, MergedPrefix); batches != 0 || values != 1 {
				t.Errorf("%s: %d batches and %d merged values left, want 0 and 1", when, batches, values)
			}
		})
	}
}

// Guards against a holder that is paused at any step while its successor merges, batches arrive late and an owner writes
// a deleted batch again, and that then goes on.
func TestCompactorPaused(t *testing.T) {
	eachCall(t, func(t *testing.T, store *memkv.Store, want []Bill, at int) {
		when := fmt.Sprintf("paused at call %d", at)
		paused := &gate{Store: store, at: at, event: func() {
			if _, err := pass(t, store); err != nil {
				t.Fatalf("%s: %v", when, err)
			}
			late := []Bill{bill("late")}
			better := bill("repeated") // the earliest answer counts
			better.At -= time.Minute.Milliseconds()
			want = append(want, late[0], better)
			for id, bills := range map[BatchID][]Bill{
				{"north", "d0", 0}: {bill("a0"), bill("b0")}, // again
				{"north", "d1", 1}: late,                     // under the name of a deleted batch
				{"north", "d2", 1}: {better},
			} {
				if err := WriteBatch(t.Context(), store, id, bills, "d"); err != nil {
					t.Fatal(err)
				}
			}
		}}
		if _, err := pass(t, paused); err != nil {
			t.Fatalf("%s: %v", when, err)
		}
		checkBills(t, when, store, want)
		if _, err := pass(t, store); err != nil {
			t.Fatalf("%s: %v", when, err)
		}
		checkBills(t, when+", next pass", store, want)
		if n := count(t, store, Prefix); n != 0 {
			t.Errorf("%s: %d batches left", when, n)
		}
	})
}

// Guards against bills that are lost because the service comes back without the merged value before its batches are
// deleted.
func TestRestoreDuringCompaction(t *testing.T) {
	eachCall(t, func(t *testing.T, store *memkv.Store, want []Bill, at int) {
		snapshot := store.Snapshot()
		if _, err := pass(t, &gate{Store: store, at: at, event: func() { store.Restore(snapshot) }}); err != nil {
			t.Fatal(err)
		}
		checkBills(t, fmt.Sprintf("restored before call %d", at), store, want)
	})
}

// Guards against a reader that misses bills which are merged while it reads, page by page.
func TestReadDuringCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		probe := &gate{Store: memkv.New()}
		storeBatches(t, probe.Store, kv.MaxPageEntries+1, 1, time.Now())
		want, err := Read(t.Context(), probe)
		if err != nil {
			t.Fatal(err)
		}
		for at := 1; at <= probe.calls; at++ {
			store := memkv.New()
			storeBatches(t, store, kv.MaxPageEntries+1, 1, time.Now())
			reader := &gate{Store: store, at: at, event: func() { _, _ = pass(t, store) }}
			if got, err := Read(t.Context(), reader); err != nil || len(got) != len(want) {
				t.Errorf("merged before call %d: %d bills, %v; want %d", at, len(got), err, len(want))
			}
		}
	})
}

// Guards against merged values that exceed the value limit or are small, a merge of the open period, and more calls than
// the key-value service has room for.
func TestMergedValuesAreFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memkv.New()
		const batches = 400
		storeBatches(t, store, batches, billsPerBatch, time.Now())
		if done, err := NewCompactor(CompactorSpec{Store: store, Domain: "north"}).Pass(t.Context(), time.Now()); err != nil || done.Batches != 0 {
			t.Errorf("open period: %+v, %v", done, err)
		}
		start, before := time.Now(), store.Faults.Counts()
		done, err := pass(t, store)
		if err != nil || done.Batches != batches {
			t.Fatalf("%+v, %v", done, err)
		}
		counts := store.Faults.Counts()
		deletes := counts[memkv.CallDelete]
		if limit := int(math.Round(time.Since(start).Seconds()*compactDeletes)) + compactBurst; deletes > limit {
			t.Errorf("%d deletions in %v, want at most %d", deletes, time.Since(start), limit)
		}
		if writes := counts[memkv.CallCAS] - before[memkv.CallCAS]; writes != 2*done.Values || deletes != batches || counts[memkv.CallGet] != before[memkv.CallGet] {
			t.Errorf("calls %v for %+v", counts, done)
		}
		full := 0
		for e, err := range kv.All(t.Context(), store, MergedPrefix) {
			if err != nil || len(e.Value) > kv.MaxValueBytes {
				t.Errorf("%s: %d bytes, %v", e.Key, len(e.Value), err)
			}
			if len(e.Value) > kv.MaxValueBytes*3/4 {
				full++
			}
		}
		if full < done.Values-1 {
			t.Errorf("%d of %d values are full", full, done.Values)
		}
	})
}

// Guards against a foreign value that blocks the duty, and against one under the name of a merged value that is taken for
// the bills.
func TestCompactorDamagedValues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memkv.New()
		want := storeFew(t, store)
		for _, key := range []string{Prefix + "north/a/0", mergedKey(source{key: Prefix + "north/d0/000000000000", revision: 1, bills: want[:3]})} {
			if _, err := store.CAS(t.Context(), key, []byte("damaged"), 0, 0); err != nil {
				t.Fatal(err)
			}
		}
		if done, err := pass(t, store); err != nil || done.Batches != 4 {
			t.Errorf("%+v, %v", done, err)
		}
		if s, err := Inspect(t.Context(), store); err != nil || len(s.Damaged) != 2 || !reflect.DeepEqual(s.Bills, Merge(want)) {
			t.Errorf("damaged %q, %d bills, %v", s.Damaged, len(s.Bills), err)
		}
	})
}

// BenchmarkCompact counts the calls and bytes of merging over the number of batches.
func BenchmarkCompact(b *testing.B) {
	for _, n := range []int{1000, 2000, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				store := memkv.New()
				storeBatches(b, store, n, billsPerBatch, time.Now())
				c := NewCompactor(CompactorSpec{Store: store, Domain: "north"})
				c.limiter.SetLimit(1e9) // the pause is not measured
				before := store.Faults.Counts()
				b.StartTimer()
				if _, err := c.Pass(b.Context(), closed()); err != nil {
					b.Fatal(err)
				}
				b.StopTimer()
				after, size := store.Faults.Counts(), 0
				for e := range kv.All(b.Context(), store, MergedPrefix) {
					size += len(e.Value)
				}
				b.ReportMetric(float64(after[memkv.CallCAS]-before[memkv.CallCAS]), "writes")
				b.ReportMetric(float64(after[memkv.CallDelete]-before[memkv.CallDelete]), "deletions")
				b.ReportMetric(float64(after[memkv.CallList]-before[memkv.CallList]), "lists")
				b.ReportMetric(float64(size), "bytes")
				b.StartTimer()
			}
		})
	}
}
