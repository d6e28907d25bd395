package claim

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/kv/memkv"
	"github.com/bramleytrail/bramleytrail/result"
)

var lotInput = Input{Service: "lots", Team: "growers", Key: "lot-1", Request: 7}

func newFilter(store kv.Store) *Filter {
	return New(Spec{Store: store, Owner: "a", WritesPerSecond: 1000, Now: time.Now})
}

// mustClaim acquires the claim of lotInput and ends the test if that fails.
func mustClaim(t *testing.T, f *Filter) *Claim {
	t.Helper()
	c, earlier, err := f.Do(t.Context(), lotInput)
	if c == nil {
		t.Fatalf("no claim: earlier %+v, error %v", earlier, err)
	}
	return c
}

// Guards against more key-value store calls than the two writes for each claimed call that the design allows.
func TestCallsPerClaim(t *testing.T) {
	for name, c := range map[string]struct {
		run  func(t *testing.T, f *Filter)
		want map[memkv.Call]int
	}{
		"finished": {func(t *testing.T, f *Filter) { mustClaim(t, f).Finish(Done, 200, http.Header{}, []byte("ok"), true) },
			map[memkv.Call]int{memkv.CallCAS: 2}},
		"released": {func(t *testing.T, f *Filter) { mustClaim(t, f).Release() },
			map[memkv.Call]int{memkv.CallCAS: 2}},
		"replayed": {func(t *testing.T, f *Filter) {
			mustClaim(t, f).Finish(Done, 200, http.Header{}, []byte("ok"), true)
			f.pending.Wait()
			if _, earlier, err := f.Do(t.Context(), lotInput); earlier == nil || string(earlier.Body) != "ok" {
				t.Errorf("earlier %+v, error %v", earlier, err)
			}
		}, map[memkv.Call]int{memkv.CallCAS: 3, memkv.CallGet: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			store := memkv.New()
			f := newFilter(store)
			c.run(t, f)
			f.Close(t.Context())
			if got := store.Faults.Counts(); !maps.Equal(got, c.want) {
				t.Errorf("store calls %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a takeover of a claim whose owner is paused. The pause exceeds the longest deadline, after which the
// claim is reported as unknown, and the owner still sends its call when it resumes.
func TestPausedOwnerKeepsItsClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memkv.New()
		a, b := newFilter(store), newFilter(store)
		held := mustClaim(t, a)
		for _, want := range []result.Code{result.ClaimRunning, result.ClaimUnknown} { // the lookup below needs the age of the last iteration
			age := time.Duration(0)
			if want == result.ClaimUnknown {
				age = 2 * maxRunningAge
			}
			b.spec.Now = func() time.Time { return time.Now().Add(age) }
			_, _, err := b.Do(t.Context(), lotInput)
			if e := result.From(err); e.Code != want || e.Ran != result.RunUnknown || (e.RetryAfter > 0) != (age == 0) {
				t.Errorf("repeat at age %s: %+v, want code %d with unknown run state", age, e, want)
			}
		}
		if rec, err := b.Lookup(t.Context(), "lots", "growers", "lot-1"); err != nil || rec.State != Unknown {
			t.Errorf("lookup of the old claim: %+v, %v", rec, err)
		}
		held.Finish(Done, 200, nil, []byte("ran"), true)
		a.Close(t.Context())
		if _, earlier, err := b.Do(t.Context(), lotInput); earlier == nil || string(earlier.Body) != "ran" {
			t.Errorf("repeat after the owner resumed: %+v, %v", earlier, err)
		}
		b.Close(t.Context())
	})
}

// Guards against a claim that stays running without an owner when the reply to its write is lost and reading it back
// fails. The caller is told that the call did not run, so a repeat must be able to run it.
func TestLostReplyAndFailedReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memkv.New()
		store.Faults.LoseReplies(1)
		store.Faults.OnCall(func(memkv.Call) { store.Faults.SetDown(true) }) // the current call still takes effect
		a, b := newFilter(store), newFilter(store)
		_, _, err := a.Do(t.Context(), lotInput)
		if e := result.From(err); e.Code != result.ClaimUnavailable || e.Ran != result.NotRun {
			t.Errorf("delivery during the outage: %v, want claim_unavailable with the call not run", err)
		}
		store.Faults.OnCall(nil)
		store.Faults.SetDown(false)
		a.Close(t.Context())
		mustClaim(t, b).Finish(Done, 200, nil, nil, true)
		b.Close(t.Context())
	})
}

// Guards against a lookup that reports that a call did not run because the key-value store is down.
func TestLookupDuringOutage(t *testing.T) {
	store := memkv.New()
	store.Faults.SetDown(true)
	_, err := newFilter(store).Lookup(t.Context(), "lots", "growers", "lot-1")
	if e := result.From(err); e.Code != result.StoreUnavailable || e.Ran != result.RunUnknown {
		t.Errorf("lookup during the outage: %+v, want store_unavailable with an unknown run state", e)
	}
}

// Guards against the removal of claims that still prevent a second run: recent ones and those without an outcome.
func TestPruneKeepsClaimsThatProtect(t *testing.T) {
	store := memkv.New()
	old, recent := time.Now().Add(-60*24*time.Hour), time.Now()
	put := func(name string, s State, at time.Time) string {
		key := StoreKey("lots", "growers", name)
		if _, err := newFilter(store).writeRecord(t.Context(), key, Record{State: s, Key: name, At: at}, kv.Revision{}); err != nil {
			t.Fatal(err)
		}
		return key
	}
	removed := map[string]bool{put("1", Done, old): true, put("2", Unknown, old): true, put("3", Released, old): true}
	running := put("4", Running, old)
	kept := []string{running, put("5", Done, recent), put("6", Running, recent)}
	if _, err := Prune(t.Context(), store, time.Now().Add(-MinRetention/2), false); err == nil {
		t.Error("Prune accepts a time less than MinRetention ago")
	}
	p, err := Prune(t.Context(), store, time.Now().Add(-30*24*time.Hour), false)
	if err != nil || p.Removed != len(removed) || fmt.Sprint(p.Unfinished) != fmt.Sprint([]string{running}) {
		t.Errorf("%+v, %v", p, err)
	}
	for key := range removed {
		if _, err := store.Get(t.Context(), key); !errors.Is(err, kv.ErrNotFound) {
			t.Errorf("%s: %v, want it removed", key, err)
		}
	}
	for _, key := range kept {
		if _, err := store.Get(t.Context(), key); err != nil {
			t.Errorf("%s: %v, want it kept", key, err)
		}
	}
}

// Guards against a crash, or a record that changes when it is stored again, when a stored claim is damaged or was
// written by another version.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{"state":"running","key":"k","nonce":"n","owner":"a","request":7,"at":"2026-01-02T03:04:05Z"}`,
		`{"state":"done","status":200,"header":{"A":["b"]},"body":"b2s=","bodyKept":true}`,
		`{"state":"released"`, `{"request":-1}`, `{"at":"x"}`, `[]`, `null`, ``, "\xff\xfe", `{"state":"future","extra":{}}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := decodeRecord(data)
		if err != nil {
			return
		}
		store := memkv.New()
		filter := newFilter(store)
		defer filter.Close(context.Background())
		if _, err := filter.writeRecord(context.Background(), "claim/x", r, kv.Revision{}); err != nil {
			t.Skip() // times outside the years 0 to 9999 can't be encoded
		}
		again, _, err := filter.readRecord(context.Background(), "claim/x")
		if err != nil || again.State != r.State || again.Nonce != r.Nonce || again.Request != r.Request || string(again.Body) != string(r.Body) {
			t.Errorf("record %+v is %+v after writing and reading, error %v", r, again, err)
		}
		if r.State != Done {
			if _, earlier, _ := filter.answerRepeat(&Claim{record: Record{Request: r.Request}}, r); earlier != nil {
				t.Errorf("claim in state %q is replayed to a repeat", r.State)
			}
		}
	})
}
