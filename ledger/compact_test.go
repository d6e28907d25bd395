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

// faultStore forwards calls to a store and counts them. Before call number faultCall, which is 1 for the first call, it
// runs onFault. If failing is set, that call and all later ones return an error; with applied, the first of them takes
// effect nevertheless.
type faultStore struct {
	kv.Store
	calls, faultCall int
	onFault          func()
	failing, applied bool
}

func (s *faultStore) call(f func() error) error {
	s.calls++
	if s.calls == s.faultCall && s.onFault != nil {
		s.onFault()
	}
	if !s.failing || s.calls < s.faultCall {
		return f()
	}
	if s.applied && s.calls == s.faultCall {
		_ = f() // takes effect, but its reply is lost
	}
	return kv.ErrUnavailable
}

func (s *faultStore) Get(ctx context.Context, key string) (e kv.Entry, err error) {
	err = s.call(func() error { e, err = s.Store.Get(ctx, key); return err })
	return e, err
}

func (s *faultStore) CAS(ctx context.Context, key string, value []byte, prev kv.Revision, lease kv.LeaseID) (rev kv.Revision, err error) {
	err = s.call(func() error { rev, err = s.Store.CAS(ctx, key, value, prev, lease); return err })
	return rev, err
}

func (s *faultStore) Delete(ctx context.Context, key string, prev kv.Revision) error {
	return s.call(func() error { return s.Store.Delete(ctx, key, prev) })
}

func (s *faultStore) List(ctx context.Context, r kv.Range) (p kv.Page, err error) {
	err = s.call(func() error { p, err = s.Store.List(ctx, r); return err })
	return p, err
}

// afterPeriodClosed returns a time at which the bills of storeSampleBatches are from a closed period.
func afterPeriodClosed() time.Time { return time.Now().Add(CompactPeriod + 2*compactDelay) }

func compactOnce(t *testing.T, store kv.Store) (CompactStats, error) {
	t.Helper()
	return NewCompactor(CompactorSpec{Store: store, Domain: "north"}).RunOnce(t.Context(), afterPeriodClosed())
}

// storeSampleBatches stores four batches of two daemons and returns their bills. The batches of one daemon have failed
// bills and those of the other one answered bills of the same request.
func storeSampleBatches(t *testing.T, store kv.Store) (want []Bill) {
	t.Helper()
	for i := range 4 {
		bills := []Bill{testBill(fmt.Sprint("a", i)), testBill(fmt.Sprint("b", i)), testBill("repeated")}
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

func countKeys(t *testing.T, store kv.Store, prefix string) (n int) {
	t.Helper()
	for _, err := range kv.All(context.Background(), store, prefix) {
		if err != nil {
			t.Fatal(err)
		}
		n++
	}
	return n
}

// forEachCall runs test once for each store call that a pass over the batches of storeSampleBatches makes. call is the
// number of that call, starting at 1.
func forEachCall(t *testing.T, test func(t *testing.T, store *memkv.Store, want []Bill, call int)) {
	for call := 1; ; call++ {
		calls := 0
		synctest.Test(t, func(t *testing.T) {
			counter := &faultStore{Store: memkv.New()}
			storeSampleBatches(t, counter.Store)
			if _, err := compactOnce(t, counter); err != nil {
				t.Fatal(err)
			}
			calls = counter.calls
			store := memkv.New()
			test(t, store, storeSampleBatches(t, store), call)
		})
		if call == calls {
			return
		}
	}
}

// Guards against bills that are lost or counted twice, or batches that the next holder of the duty can't merge, after a
// holder crashed between two store calls or after a call whose reply was lost.
func TestCompactorCrash(t *testing.T) {
	for _, applied := range []bool{false, true} {
		forEachCall(t, func(t *testing.T, store *memkv.Store, want []Bill, call int) {
			when := fmt.Sprintf("crash at call %d, call applied: %t", call, applied)
			if _, err := compactOnce(t, &faultStore{Store: store, faultCall: call, failing: true, applied: applied}); !errors.Is(err, kv.ErrUnavailable) {
				t.Fatalf("%s: pass returned %v, want %v", when, err, kv.ErrUnavailable)
			}
			checkBills(t, when, store, want)
			if _, err := compactOnce(t, store); err != nil {
				t.Fatalf("%s: pass of the next holder: %v", when, err)
			}
			checkBills(t, when+", after the next holder's pass", store, want)
			if batches, values := countKeys(t, store, Prefix), countKeys(t, store, MergedPrefix); batches != 0 || values != 1 {
				t.Errorf("%s: %d batches and %d merged values left, want 0 and 1", when, batches, values)
			}
		})
	}
}

// Guards against lost or wrong bills when a holder of the duty is paused at any call and then resumes. During the pause
// the next holder merges, batches arrive late, and an owner writes a deleted batch again.
func TestCompactorPaused(t *testing.T) {
	forEachCall(t, func(t *testing.T, store *memkv.Store, want []Bill, call int) {
		when := fmt.Sprintf("paused at call %d", call)
		paused := &faultStore{Store: store, faultCall: call, onFault: func() {
			if _, err := compactOnce(t, store); err != nil {
				t.Fatalf("%s: pass of the next holder: %v", when, err)
			}
			late := []Bill{testBill("late")}
			better := testBill("repeated") // takes precedence: the earliest answered bill counts
			better.At -= time.Minute.Milliseconds()
			want = append(want, late[0], better)
			for id, bills := range map[BatchID][]Bill{
				{"north", "d0", 0}: {testBill("a0"), testBill("b0")}, // a deleted batch, written again
				{"north", "d1", 1}: late,                             // other bills under the key of a deleted batch
				{"north", "d2", 1}: {better},
			} {
				if err := WriteBatch(t.Context(), store, id, bills, "d"); err != nil {
					t.Fatal(err)
				}
			}
		}}
		if _, err := compactOnce(t, paused); err != nil {
			t.Fatalf("%s: resumed pass: %v", when, err)
		}
		checkBills(t, when, store, want)
		if _, err := compactOnce(t, store); err != nil {
			t.Fatalf("%s: next pass: %v", when, err)
		}
		checkBills(t, when+", next pass", store, want)
		if n := countKeys(t, store, Prefix); n != 0 {
			t.Errorf("%s: %d batches left", when, n)
		}
	})
}

// Guards against bills that are lost because the store is restored from a snapshot without the merged value before the
// batches are deleted.
func TestRestoreDuringCompaction(t *testing.T) {
	forEachCall(t, func(t *testing.T, store *memkv.Store, want []Bill, call int) {
		snapshot := store.Snapshot()
		if _, err := compactOnce(t, &faultStore{Store: store, faultCall: call, onFault: func() { store.Restore(snapshot) }}); err != nil {
			t.Fatal(err)
		}
		checkBills(t, fmt.Sprintf("restored before call %d", call), store, want)
	})
}

// Guards against a reader that misses bills because they are merged between its reads of two pages.
func TestReadDuringCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counter := &faultStore{Store: memkv.New()}
		storeBatches(t, counter.Store, kv.MaxPageEntries+1, 1, time.Now())
		want, err := Read(t.Context(), counter)
		if err != nil {
			t.Fatal(err)
		}
		for call := 1; call <= counter.calls; call++ {
			store := memkv.New()
			storeBatches(t, store, kv.MaxPageEntries+1, 1, time.Now())
			reader := &faultStore{Store: store, faultCall: call, onFault: func() { _, _ = compactOnce(t, store) }}
			if got, err := Read(t.Context(), reader); err != nil || len(got) != len(want) {
				t.Errorf("merged before call %d: %d bills, %v; want %d", call, len(got), err, len(want))
			}
		}
	})
}

// Guards against merged values that exceed the value limit or are needlessly small, against merging the current period,
// and against more store calls than budgeted: two writes for each value and a limited rate of deletions.
func TestMergedValuesAreFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memkv.New()
		const batches = 400
		storeBatches(t, store, batches, billsPerBatch, time.Now())
		if done, err := NewCompactor(CompactorSpec{Store: store, Domain: "north"}).RunOnce(t.Context(), time.Now()); err != nil || done.Batches != 0 {
			t.Errorf("pass in the current period: %+v, %v; want no merged batch", done, err)
		}
		start, before := time.Now(), store.Faults.Counts()
		done, err := compactOnce(t, store)
		if err != nil || done.Batches != batches {
			t.Fatalf("pass: %+v, %v; want %d merged batches", done, err, batches)
		}
		counts := store.Faults.Counts()
		deletes := counts[memkv.CallDelete]
		if limit := int(math.Round(time.Since(start).Seconds()*compactDeletesPerSecond)) + compactDeleteBurst; deletes > limit {
			t.Errorf("%d deletions in %v, want at most %d", deletes, time.Since(start), limit)
		}
		if writes := counts[memkv.CallCAS] - before[memkv.CallCAS]; writes != 2*done.Values || deletes != batches || counts[memkv.CallGet] != before[memkv.CallGet] {
			t.Errorf("store calls %v for a pass with %+v; want 2 writes a value, 1 deletion a batch and no Get", counts, done)
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
			t.Errorf("%d of %d merged values are full, want all but one", full, done.Values)
		}
	})
}

// Guards against a damaged batch that blocks compaction, and against a damaged value under the key of a merged value
// that is treated as containing the bills.
func TestCompactorDamagedValues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memkv.New()
		want := storeSampleBatches(t, store)
		for _, key := range []string{Prefix + "north/a/0", mergedKey(storedBatch{key: Prefix + "north/d0/000000000000", revision: kv.Revision{Number: 1}, bills: want[:3]})} {
			if _, err := store.CAS(t.Context(), key, []byte("damaged"), kv.Revision{}, 0); err != nil {
				t.Fatal(err)
			}
		}
		if done, err := compactOnce(t, store); err != nil || done.Batches != 4 {
			t.Errorf("pass: %+v, %v; want 4 merged batches", done, err)
		}
		if s, err := Inspect(t.Context(), store); err != nil || len(s.Damaged) != 2 || !reflect.DeepEqual(s.Bills, Merge(want)) {
			t.Errorf("inspect: damaged %q, %d bills, %v; want 2 damaged values and all bills", s.Damaged, len(s.Bills), err)
		}
	})
}

// BenchmarkCompact reports the store calls and stored bytes of a pass for several numbers of batches.
func BenchmarkCompact(b *testing.B) {
	for _, n := range []int{1000, 2000, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				store := memkv.New()
				storeBatches(b, store, n, billsPerBatch, time.Now())
				c := NewCompactor(CompactorSpec{Store: store, Domain: "north"})
				c.limiter.SetLimit(1e9) // excludes the rate limit from the measurement
				before := store.Faults.Counts()
				b.StartTimer()
				if _, err := c.RunOnce(b.Context(), afterPeriodClosed()); err != nil {
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
