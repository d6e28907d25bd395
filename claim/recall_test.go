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

var onceCall = Input{Service: "lots", Team: "growers", Key: "k", Request: 1}

// restored runs test with two daemons on a service that has gone back to before the owner's claim of a call that ran.
func restored(t *testing.T, outage time.Duration, test func(t *testing.T, owner, other *Filter)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := memkv.New()
		ctx, cancel := context.WithCancel(context.Background())
		var filters []*Filter
		var noticed atomic.Int32
		for _, name := range []string{"owner", "other"} {
			f := New(Spec{Store: store, Owner: name, WritesPerSecond: 100, Now: time.Now, OnRestore: func() { noticed.Add(1) }})
			filters = append(filters, f)
			go f.Run(ctx)
		}
		time.Sleep(2 * probeInterval)
		snapshot := store.Snapshot()
		c, _, err := filters[0].Do(t.Context(), onceCall)
		if err != nil {
			t.Fatal(err)
		}
		c.Finish(Done, 200, nil, []byte("ran"), true)
		synctest.Wait()
		store.Faults.SetDown(outage > 0)
		time.Sleep(outage)
		store.Restore(snapshot)
		store.Faults.SetDown(false)
		test(t, filters[0], filters[1])
		if noticed.Load() == 0 {
			t.Error("nobody is told")
		}
		cancel()
		for _, f := range filters {
			f.cancel()
		}
	})
}

// deliver reports an error if a repeat may run.
func deliver(t *testing.T, f *Filter, when string) (replayed bool) {
	t.Helper()
	c, earlier, err := f.Do(t.Context(), onceCall)
	if c != nil {
		t.Errorf("%s: a repeat of a call that ran may run", when)
		c.Release()
	}
	if err != nil && result.From(err).Code != result.ClaimUnavailable {
		t.Errorf("%s: %v", when, err)
	}
	return earlier != nil && earlier.State == Done
}

// Guards against a second run of a call whose claim the service lost in an outage, through any daemon and at any time.
func TestRestoreAfterAnOutage(t *testing.T) {
	restored(t, 3*probeInterval, func(t *testing.T, owner, other *Filter) {
		for range 20 {
			deliver(t, owner, "owner")
			deliver(t, other, "other")
			time.Sleep(recallHold / 10)
		}
		if !deliver(t, owner, "owner later") || !deliver(t, other, "other later") {
			t.Error("the outcome is not known again")
		}
	})
}

// Guards against a second run through the owner, or through another daemon after the owner's next probe, when the service
// loses claims without an outage.
func TestRestoreWithoutAnOutage(t *testing.T) {
	restored(t, 0, func(t *testing.T, owner, other *Filter) {
		deliver(t, owner, "owner at once")
		time.Sleep(probeInterval + 2*recallPause)
		if !deliver(t, owner, "owner") || !deliver(t, other, "other") {
			t.Error("the outcome is not known again")
		}
		time.Sleep(2 * recallHold)
		fresh := onceCall
		fresh.Key = "fresh"
		for _, f := range []*Filter{owner, other} {
			if c, _, err := f.Do(t.Context(), fresh); c == nil {
				t.Errorf("claims are still refused: %v", err)
			} else {
				c.Release()
				synctest.Wait()
			}
		}
	})
}

// runningClaim returns a running filter that holds the claim of onceCall.
func runningClaim(t *testing.T) (*memkv.Store, *Filter, *Claim, context.CancelFunc) {
	t.Helper()
	store := memkv.New()
	f := New(Spec{Store: store, Owner: "a", WritesPerSecond: 100, Now: time.Now})
	ctx, cancel := context.WithCancel(context.Background())
	go f.Run(ctx)
	c, _, err := f.Do(t.Context(), onceCall)
	if err != nil {
		t.Fatal(err)
	}
	return store, f, c, cancel
}

// Guards against an outcome that is overwritten by the running state that this daemon remembers, because the reply of the
// outcome's write was lost.
func TestOutcomeSurvivesRewriting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, f, c, cancel := runningClaim(t)
		store.Faults.LoseReplies(1)
		c.Finish(Done, 200, nil, []byte("ran"), true)
		time.Sleep(time.Second)
		store.Faults.SetDown(true)
		time.Sleep(3 * probeInterval)
		store.Faults.SetDown(false)
		time.Sleep(2 * recallHold)
		if r, err := f.Lookup(t.Context(), onceCall.Service, onceCall.Team, onceCall.Key); err != nil || r == nil || r.State != Done || !r.BodyKept {
			t.Errorf("%+v, %v; want the outcome", r, err)
		}
		cancel()
		f.cancel()
	})
}

// Guards against a claim that operators have removed and that its owner takes for lost.
func TestRemovedClaimsStayRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, f, c, cancel := runningClaim(t)
		c.Finish(Done, 200, nil, nil, true)
		time.Sleep(MinRetention + time.Hour)
		if p, err := Prune(t.Context(), store, time.Now().Add(-MinRetention), false); err != nil || p.Removed != 1 {
			t.Fatalf("%+v, %v", p, err)
		}
		time.Sleep(2 * probeInterval)
		if n := store.Faults.Counts()[memkv.CallCAS]; n != 2 {
			t.Errorf("%d writes, want those of the claim", n)
		}
		cancel()
		f.cancel()
	})
}

// Guards against probes that cost more than one read an interval, and against any write while nothing is lost.
func TestProbesOnlyRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, f, c, cancel := runningClaim(t)
		c.Finish(Done, 200, nil, nil, true)
		time.Sleep(10*probeInterval + time.Second)
		if n := store.Faults.Counts(); n[memkv.CallCAS] != 2 || n[memkv.CallGet] != 10 || len(n) != 2 {
			t.Errorf("calls %v, want 2 writes of the claim and 10 reads", n)
		}
		cancel()
		f.cancel()
	})
}
