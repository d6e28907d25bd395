package httpkv

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/kv/memkv"
)

// testTimeout ends a test that hangs. Megabytes of values take seconds under the race detector on a busy machine.
const testTimeout = 2 * time.Minute

// eachStore runs a test on the in-memory store, called directly and over the network.
func eachStore(t *testing.T, test func(t *testing.T, ctx context.Context, s kv.Store, fake *memkv.Store)) {
	t.Helper()
	for _, network := range []bool{false, true} {
		name := "direct"
		if network {
			name = "network"
		}
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			fake := memkv.New()
			var s kv.Store = fake
			if network {
				srv := httptest.NewServer(Handler(fake))
				defer srv.Close()
				c := NewClient(srv.URL)
				c.timeout = testTimeout // the tests check results, not response times
				defer c.Close()
				s = c
			}
			test(t, ctx, s, fake)
		})
	}
}

func mustCAS(t *testing.T, ctx context.Context, s kv.Store, key, value string, prev kv.Revision, lease kv.LeaseID) kv.Revision {
	t.Helper()
	rev, err := s.CAS(ctx, key, []byte(value), prev, lease)
	if err != nil {
		t.Fatalf("CAS %s: %v", key, err)
	}
	return rev
}

// Guards against a client or server that maps one of the store's errors to another: not found, conflict, no lease, too
// large, unavailable. Callers decide by these whether a write took effect.
func TestErrors(t *testing.T) {
	eachStore(t, func(t *testing.T, ctx context.Context, s kv.Store, fake *memkv.Store) {
		rev := mustCAS(t, ctx, s, "a/x y?%", "1", kv.Revision{}, 0)
		if e, err := s.Get(ctx, "a/x y?%"); err != nil || string(e.Value) != "1" || e.Revision != rev {
			t.Errorf("get of the written key: %+v, %v", e, err)
		}
		next := kv.Revision{Number: rev.Number + 1}
		check := func(name string, err, want error) {
			t.Helper()
			if !errors.Is(err, want) {
				t.Errorf("%s: %v, want %v", name, err, want)
			}
		}
		_, err := s.Get(ctx, "none")
		check("get", err, kv.ErrNotFound)
		_, err = s.CAS(ctx, "a/x y?%", nil, next, 0)
		check("stale write", err, kv.ErrConflict)
		_, err = s.CAS(ctx, "b", nil, kv.Revision{}, 99)
		check("write without lease", err, kv.ErrNoLease)
		_, err = s.CAS(ctx, "b", make([]byte, kv.MaxValueBytes+1), kv.Revision{}, 0)
		check("large write", err, kv.ErrTooLarge)
		check("stale delete", s.Delete(ctx, "a/x y?%", next), kv.ErrConflict)
		check("delete", s.Delete(ctx, "none", kv.Revision{Number: 1}), kv.ErrNotFound)
		check("keep alive", s.KeepAlive(ctx, 99), kv.ErrNoLease)
		fake.Faults.LoseReplies(1)
		_, err = s.CAS(ctx, "c", []byte("x"), kv.Revision{}, 0)
		check("lost reply", err, kv.ErrUnavailable)
		if e, err := s.Get(ctx, "c"); err != nil || string(e.Value) != "x" {
			t.Errorf("a write whose reply was lost did not take effect: %v", err)
		}
		fake.Faults.SetDown(true)
		_, err = s.List(ctx, kv.Range{})
		check("list while down", err, kv.ErrUnavailable)
	})
}

// Guards against watches that miss a change, a deletion or the loss of writes, or that stay pending when the store goes
// down.
func TestWatch(t *testing.T) {
	eachStore(t, func(t *testing.T, ctx context.Context, s kv.Store, fake *memkv.Store) {
		mustCAS(t, ctx, s, "other", "0", kv.Revision{}, 0)
		snapshot := fake.Snapshot()
		rev := mustCAS(t, ctx, s, "w/a", "1", kv.Revision{}, 0)
		c, err := s.Watch(ctx, "w/", kv.Revision{})
		if err != nil || len(c.Entries) != 1 || c.Revision != rev {
			t.Fatalf("watch from revision 0: %+v, %v; want one entry", c, err)
		}
		next := make(chan kv.Changes, 1)
		go func() {
			c, _ := s.Watch(ctx, "w/", rev)
			next <- c
		}()
		if err := s.Delete(ctx, "w/a", rev); err != nil {
			t.Fatal(err)
		}
		if c := <-next; len(c.Entries) != 1 || !c.Entries[0].Deleted {
			t.Errorf("watch after a deletion: %+v; want one deleted entry", c)
		}
		fake.Restore(snapshot)
		if c, err := s.Watch(ctx, "w/", kv.Revision{Number: rev.Number + 1}); err != nil || !c.Reset || len(c.Entries) != 0 {
			t.Errorf("watch after the store lost writes: %+v, %v; want a reset without entries", c, err)
		}
		failed := make(chan error, 1)
		waiting := make(chan struct{}, 8)
		fake.Faults.OnCall(func(memkv.Call) { waiting <- struct{}{} })
		go func() {
			_, err := s.Watch(ctx, "w/", snapshotRevision(ctx, s))
			failed <- err
		}()
		<-waiting
		<-waiting
		fake.Faults.SetDown(true)
		if err := <-failed; !errors.Is(err, kv.ErrUnavailable) {
			t.Errorf("pending watch when the store goes down: %v; want %v", err, kv.ErrUnavailable)
		}
	})
}

func snapshotRevision(ctx context.Context, s kv.Store) kv.Revision {
	e, err := s.Get(ctx, "other")
	if err != nil {
		return kv.Revision{}
	}
	return e.Revision
}

// Guards against entries that outlive their lease, and against a paused holder that still writes with an expired lease.
func TestLease(t *testing.T) {
	eachStore(t, func(t *testing.T, ctx context.Context, s kv.Store, fake *memkv.Store) {
		id, err := s.Grant(ctx, time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		rev := mustCAS(t, ctx, s, "l", "1", kv.Revision{}, id)
		if err := s.KeepAlive(ctx, id); err != nil {
			t.Error(err)
		}
		fake.ExpireLease(id)
		if _, err := s.Get(ctx, "l"); !errors.Is(err, kv.ErrNotFound) {
			t.Errorf("get after the entry's lease expired: %v; want %v", err, kv.ErrNotFound)
		}
		if _, err := s.CAS(ctx, "l", nil, rev, id); err == nil {
			t.Error("a write with an expired lease is accepted")
		}
		second, err := s.Grant(ctx, time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		if next := mustCAS(t, ctx, s, "l", "2", kv.Revision{}, second); next.Compare(rev) <= 0 {
			t.Errorf("fencing token %s is not above the previous one, %s", next, rev)
		}
		if err := s.Revoke(ctx, second); err != nil {
			t.Error(err)
		}
	})
}
