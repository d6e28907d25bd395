package claim

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleytrail/bramleytrail/kv/memkv"
	"github.com/bramleytrail/bramleytrail/result"
)

// testInput is the call whose claim is lost in the tests of restores.
var testInput = Input{Service: "lots", Team: "growers", Key: "k", Request: 1}

// runAfterRestore runs test with two daemons after the store was restored to a snapshot from before the owner's claim
// of a call that ran, or if claimKept from before its outcome. The store is unavailable for outage before the restore. It runs for a store
// that reports eras and one that does not.
func runAfterRestore(t *testing.T, outage time.Duration, claimKept bool, test func(t *testing.T, owner, other *Filter)) {
	t.Helper()
	for name, restore := range map[string]func(*memkv.Store, memkv.Snapshot){"numbers": (*memkv.Store).Restore, "eras": (*memkv.Store).RestoreInNewEra} {
		t.Run(name, func(t *testing.T) { runAfterRestoreWith(t, outage, claimKept, restore, test) })
	}
}

func runAfterRestoreWith(t *testing.T, outage time.Duration, claimKept bool, restore func(*memkv.Store, memkv.Snapshot), test func(t *testing.T, owner, other *Filter)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := memkv.New()
		ctx, cancel := context.WithCancel(context.Background())
		var filters []*Filter
		var notified atomic.Int32
		for _, name := range []string{"owner", "other"} {
			f := New(Spec{Store: store, Owner: name, WritesPerSecond: 100, Now: time.Now, OnSuspectedRestore: func() { notified.Add(1) }})
			filters = append(filters, f)
			go f.Run(ctx)
		}
		time.Sleep(2 * probeInterval)
		earlier := testInput
		earlier.Key = "earlier"
		c, _, err := filters[0].Do(t.Context(), earlier)
		if err != nil {
			t.Fatal(err)
		}
		c.Finish(Done, 200, nil, []byte("ran"), true)
		synctest.Wait()
		snapshot := store.Snapshot()
		if c, _, err = filters[0].Do(t.Context(), testInput); err != nil {
			t.Fatal(err)
		}
		if claimKept {
			snapshot = store.Snapshot()
		}
		c.Finish(Done, 200, nil, []byte("ran"), true)
		synctest.Wait()
		store.Faults.SetDown(outage > 0)
		time.Sleep(outage)
		restore(store, snapshot)
		store.Faults.SetDown(false)
		test(t, filters[0], filters[1])
		if notified.Load() == 0 {
			t.Error("OnSuspectedRestore was not called on any daemon")
		}
		cancel()
		for _, f := range filters {
			f.cancel()
		}
	})
}

// repeatCall repeats the call and reports an error if the repeat may run. It returns whether the recorded outcome was
// replayed.
func repeatCall(t *testing.T, f *Filter, when string) (replayed bool) {
	t.Helper()
	c, earlier, err := f.Do(t.Context(), testInput)
	if c != nil {
		t.Errorf("%s: repeat of a call that ran acquired a claim", when)
		c.Release()
	}
	if err != nil && result.From(err).Code != result.ClaimUnavailable {
		t.Errorf("%s: repeat: %v, want the outcome or claim_unavailable", when, err)
	}
	return earlier != nil && earlier.State == Done
}

// Guards against a second run of a call whose claim the store lost in an outage, on any daemon and at any time
// afterwards.
func TestRestoreAfterAnOutage(t *testing.T) {
	runAfterRestore(t, 3*probeInterval, false, func(t *testing.T, owner, other *Filter) {
		for range 20 {
			repeatCall(t, owner, "owner")
			repeatCall(t, other, "other")
			time.Sleep(restoreHold / 10)
		}
		if !repeatCall(t, owner, "owner later") || !repeatCall(t, other, "other later") {
			t.Error("the outcome is not known again")
		}
	})
}

// Guards against a second run when the store loses claims without an outage: on the owner at any time, and on another
// daemon after the owner's next probe. Also guards against claims that are rejected for longer than the hold.
func TestRestoreWithoutAnOutage(t *testing.T) {
	runAfterRestore(t, 0, false, func(t *testing.T, owner, other *Filter) {
		repeatCall(t, owner, "owner at once")
		time.Sleep(probeInterval + 2*rewriteInterval)
		if !repeatCall(t, owner, "owner") || !repeatCall(t, other, "other") {
			t.Error("the outcome is not known again")
		}
		time.Sleep(2 * restoreHold)
		fresh := testInput
		fresh.Key = "fresh"
		for _, f := range []*Filter{owner, other} {
			if c, _, err := f.Do(t.Context(), fresh); c == nil {
				t.Errorf("new claim after the hold is rejected: %v", err)
			} else {
				c.Release()
				synctest.Wait()
			}
		}
	})
}

// Guards against an outcome that the restored store does not have, and that its owner does not write again because the claim itself is there.
func TestOutcomeLostByRestore(t *testing.T) {
	runAfterRestore(t, 0, true, func(t *testing.T, owner, other *Filter) {
		time.Sleep(probeInterval + 2*rewriteInterval)
		if !repeatCall(t, owner, "owner") || !repeatCall(t, other, "other") {
			t.Error("the outcome is not known again")
		}
	})
}

// startClaim returns a filter that runs and holds the claim of testInput, with its store and a function that ends its
// Run.
func startClaim(t *testing.T) (*memkv.Store, *Filter, *Claim, context.CancelFunc) {
	t.Helper()
	store := memkv.New()
	f := New(Spec{Store: store, Owner: "a", WritesPerSecond: 100, Now: time.Now})
	ctx, cancel := context.WithCancel(context.Background())
	go f.Run(ctx)
	c, _, err := f.Do(t.Context(), testInput)
	if err != nil {
		t.Fatal(err)
	}
	return store, f, c, cancel
}

// Guards against an outcome that is overwritten when claims are rewritten after an outage. The reply to the write of
// the outcome was lost, so the daemon still has the claim in memory as running.
func TestOutcomeSurvivesRewriting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, f, c, cancel := startClaim(t)
		store.Faults.LoseReplies(1)
		c.Finish(Done, 200, nil, []byte("ran"), true)
		time.Sleep(time.Second)
		store.Faults.SetDown(true)
		time.Sleep(3 * probeInterval)
		store.Faults.SetDown(false)
		time.Sleep(2 * restoreHold)
		if r, err := f.Lookup(t.Context(), testInput.Service, testInput.Team, testInput.Key); err != nil || r == nil || r.State != Done || !r.BodyKept {
			t.Errorf("lookup: %+v, %v; want the recorded outcome with its body", r, err)
		}
		cancel()
		f.cancel()
	})
}

// Guards against a claim that operators have pruned being treated as lost and rewritten by its owner.
func TestRemovedClaimsStayRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, f, c, cancel := startClaim(t)
		c.Finish(Done, 200, nil, nil, true)
		time.Sleep(MinRetention + time.Hour)
		if p, err := Prune(t.Context(), store, time.Now().Add(-MinRetention), false); err != nil || p.Removed != 1 {
			t.Fatalf("prune: %+v, %v; want the claim removed", p, err)
		}
		time.Sleep(2 * probeInterval)
		if n := store.Faults.Counts()[memkv.CallCAS]; n != 2 {
			t.Errorf("%d writes, want only the 2 of the claim", n)
		}
		cancel()
		f.cancel()
	})
}

// Guards against probes that cost more than one read per interval, and against writes while no claim is lost.
func TestProbesOnlyRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, f, c, cancel := startClaim(t)
		c.Finish(Done, 200, nil, nil, true)
		time.Sleep(10*probeInterval + time.Second)
		if n := store.Faults.Counts(); n[memkv.CallCAS] != 2 || n[memkv.CallGet] != 10 || len(n) != 2 {
			t.Errorf("store calls %v, want 2 writes of the claim and 10 reads", n)
		}
		cancel()
		f.cancel()
	})
}
