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

func step(t *testing.T, d *Duty, want bool) uint64 {
	t.Helper()
	held, err := d.Step(t.Context())
	if err != nil || held != want {
		t.Fatalf("held %t, %v; want %t", held, err, want)
	}
	fence, _ := d.Fence()
	return fence
}

// Guards against a holder that was paused past its lease and writes after, or at the same time as, a newer holder.
func TestPausedHolderCannotWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memkv.New()
		paused, next := newDuty(store, "paused"), newDuty(store, "next")
		fence := step(t, paused, true)
		old, _, err := Open(t.Context(), store, "state", fence)
		if err != nil || old.Save(t.Context(), []byte("one")) != nil {
			t.Fatal(err)
		}
		step(t, next, false)
		synctest.Wait()
		<-time.After(2 * ttl)
		newFence := step(t, next, true)
		if newFence <= fence {
			t.Errorf("fencing number %d after %d", newFence, fence)
		}
		current, body, err := Open(t.Context(), store, "state", newFence)
		if err != nil || string(body) != "one" {
			t.Fatalf("next holder read %q, %v", body, err)
		}
		for range 3 {
			if err := old.Save(t.Context(), []byte("stale")); !errors.Is(err, ErrSuperseded) {
				t.Errorf("the paused holder's write returned %v", err)
			}
		}
		if _, _, err := Open(t.Context(), store, "state", fence); !errors.Is(err, ErrSuperseded) {
			t.Errorf("the paused holder opened the state again: %v", err)
		}
		if err := current.Save(t.Context(), []byte("two")); err != nil {
			t.Error(err)
		}
		step(t, paused, false)
	})
}

// Guards against a write whose response was lost and that is then lost or applied twice.
func TestLostResponseOfAWrite(t *testing.T) {
	store := memkv.New()
	s, _, err := Open(t.Context(), store, "state", 1)
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
		t.Errorf("number %d after %d", s.Number(), before)
	}
	_, body, err := Open(context.Background(), store, "state", 2)
	if err != nil || string(body) != "ab" {
		t.Errorf("stored %q, %v", body, err)
	}
}
