package duty

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleytrail/bramleytrail/kv/memkv"
)

const ttl = 9 * time.Second

func newDuty(store *memkv.Store, owner string) *Duty {
	return New(Spec{Store: store, Name: "job", Owner: owner, TTL: ttl, Now: time.Now})
}

// acquireOrRenew calls Duty.AcquireOrRenew, fails the test unless it reports want, and returns the fencing token.
func acquireOrRenew(t *testing.T, d *Duty, want bool) uint64 {
	t.Helper()
	held, err := d.AcquireOrRenew(t.Context())
	if err != nil || held != want {
		t.Fatalf("duty held %t, error %v; want %t", held, err, want)
	}
	fence, _ := d.Fence()
	return fence
}

// Guards against a holder that is paused past the end of its lease and then overwrites the state of a newer holder.
func TestPausedHolderCannotWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memkv.New()
		paused, next := newDuty(store, "paused"), newDuty(store, "next")
		fence := acquireOrRenew(t, paused, true)
		old, _, err := OpenState(t.Context(), store, "state", fence)
		if err != nil || old.Save(t.Context(), []byte("one")) != nil {
			t.Fatal(err)
		}
		acquireOrRenew(t, next, false)
		synctest.Wait()
		<-time.After(2 * ttl)
		newFence := acquireOrRenew(t, next, true)
		if newFence <= fence {
			t.Errorf("fencing token %d of the next holder is not higher than %d", newFence, fence)
		}
		current, body, err := OpenState(t.Context(), store, "state", newFence)
		if err != nil || string(body) != "one" {
			t.Fatalf("the next holder read %q, error %v; want %q", body, err, "one")
		}
		for range 3 {
			if err := old.Save(t.Context(), []byte("stale")); !errors.Is(err, ErrSuperseded) {
				t.Errorf("the paused holder's write returned %v, want ErrSuperseded", err)
			}
		}
		if _, _, err := OpenState(t.Context(), store, "state", fence); !errors.Is(err, ErrSuperseded) {
			t.Errorf("opening the state again for the paused holder returned %v, want ErrSuperseded", err)
		}
		if err := current.Save(t.Context(), []byte("two")); err != nil {
			t.Error(err)
		}
		acquireOrRenew(t, paused, false)
	})
}

// Guards against a write that is lost or applied twice after the store's response to it was lost.
func TestLostWriteResponse(t *testing.T) {
	store := memkv.New()
	s, _, err := OpenState(t.Context(), store, "state", 1)
	if err != nil {
		t.Fatal(err)
	}
	store.Faults.LoseReplies(1)
	if err := s.Save(t.Context(), []byte("a")); err == nil {
		t.Fatal("a lost response was reported as success")
	}
	before := s.Number()
	if err := s.Save(t.Context(), []byte("ab")); err != nil {
		t.Fatal(err)
	}
	if s.Number() <= before {
		t.Errorf("number %d of the second write is not higher than %d", s.Number(), before)
	}
	_, body, err := OpenState(context.Background(), store, "state", 2)
	if err != nil || string(body) != "ab" {
		t.Errorf("stored body %q, error %v; want %q", body, err, "ab")
	}
}
