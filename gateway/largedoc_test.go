package gateway

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/kv/memkv"
	"github.com/bramleytrail/bramleytrail/notice"
	"github.com/bramleytrail/bramleytrail/object"
)

// slowLinkStore is a store behind a link on which each state of a document takes readTime.
type slowLinkStore struct {
	*memkv.Store
	readTime time.Duration

	mu      sync.Mutex
	history []kv.Revision // revisions of the document
}

// publish writes the document and returns its revision.
func (s *slowLinkStore) publish(t *testing.T, value string) kv.Revision {
	t.Helper()
	rev := write(t, s.Store, versionedKey, value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, rev)
	return rev
}

// wait blocks while a document is read.
func (s *slowLinkStore) wait(ctx context.Context) error {
	select {
	case <-time.After(s.readTime):
		return nil
	case <-ctx.Done():
		return kv.ErrUnavailable
	}
}

// Get implements kv.Store.
func (s *slowLinkStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	e, err := s.Store.Get(ctx, key)
	if failed := s.wait(ctx); failed != nil {
		return kv.Entry{}, failed
	}
	return e, err
}

// WatchFor implements kv.TimedWatcher. Like the platform's, it returns each state of the document.
func (s *slowLinkStore) WatchFor(ctx context.Context, prefix string, after kv.Revision, _ time.Duration) (kv.Changes, error) {
	limited, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	c, err := s.Store.Watch(limited, prefix, after)
	if limited.Err() != nil && ctx.Err() == nil {
		return kv.Changes{Revision: after}, nil
	}
	s.mu.Lock()
	history := slices.Clone(s.history)
	s.mu.Unlock()
	for _, rev := range history {
		if rev.Compare(after) > 0 && rev.Compare(c.Revision) <= 0 {
			err = s.wait(ctx)
		}
	}
	return c, err
}

const versionedKey = "op/versioned"

// versionedDocuments holds one document, whose version is its length.
type versionedDocuments struct{ fakeDocuments }

func (versionedDocuments) Set(entries map[string]kv.Entry) (object.Set, uint64, bool, error) {
	e, found := entries[versionedKey]
	set := object.Set{FailureDomains: []object.FailureDomain{{Name: "a", State: object.DomainIn}}, Services: []object.Service{{Name: "s", Type: object.ServicePlain, Routed: &object.RoutedService{}}}}
	return set, uint64(len(e.Value)), found, nil
}

// Guards against a document that takes effect too late, and endpoints that leave unnoticed meanwhile, because a daemon reads it more than
// once, or reads states that it no longer needs.
func TestLargeDocumentInForceInTime(t *testing.T) {
	const propagation = 2 * time.Second
	for name, tc := range map[string]struct {
		bytes    int
		readTime time.Duration
		changes  int // a third of a second apart
	}{
		"small":             {100, time.Millisecond, 1},
		"small, many":       {100, time.Millisecond, 10},
		"large":             {400_000, 450 * time.Millisecond, 1},
		"large, many":       {400_000, 450 * time.Millisecond, 10},
		"largest":           {1_000_000, 1100 * time.Millisecond, 1},
		"link in use":       {300_000, 800 * time.Millisecond, 1},
		"link in use, many": {300_000, 800 * time.Millisecond, 10},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &slowLinkStore{Store: memkv.New(), readTime: tc.readTime}
				before := store.publish(t, string(make([]byte, tc.bytes)))
				endpoint := write(t, store.Store, "endpoint", "a:1")
				g := testGateway(store)
				g.spec.Documents, g.spec.Propagation, g.spec.LinkBytes = versionedDocuments{}, propagation, 10_000_000/8
				go g.view.run()
				defer g.cancel()
				time.Sleep(5 * time.Second)
				version := func() uint64 { return g.config.Revision().Number }
				if version() != uint64(tc.bytes) || before.Compare(endpoint) > 0 || g.pool.CountUsable("s", "v1", time.Now()) != 1 {
					t.Fatalf("version %d before the change, want %d and an endpoint", version(), tc.bytes)
				}
				published, after := time.Now(), endpoint
				for i := range tc.changes {
					if i > 0 {
						time.Sleep(333 * time.Millisecond)
					}
					published = time.Now()
					rev := store.publish(t, string(make([]byte, tc.bytes+1+i)))
					g.view.receive(notice.Message{From: "d1", PolledAt: time.Now().UnixNano(), After: after, Revision: rev, Changes: []notice.Change{{Key: versionedKey, Revision: rev}}})
					after = rev
				}
				time.Sleep(50 * time.Millisecond)
				if err := store.Delete(t.Context(), "endpoint", endpoint); err != nil {
					t.Fatal(err)
				}
				for version() < uint64(tc.bytes+tc.changes) || g.pool.CountUsable("s", "v1", time.Now()) > 0 {
					if time.Since(published) > propagation {
						t.Fatalf("%v after the change: version %d, want %d; %d endpoints, want none", time.Since(published), version(), tc.bytes+tc.changes, g.pool.CountUsable("s", "v1", time.Now()))
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
		})
	}
}
