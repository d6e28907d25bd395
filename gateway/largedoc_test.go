package gateway

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/kv/memkv"
	"github.com/bramleytrail/bramleytrail/notice"
	"github.com/bramleytrail/bramleytrail/object"
)

// slowLinkStore is a store behind a link on which a read of a document takes readTime. Its cheap reads are behind by lag.
type slowLinkStore struct {
	*memkv.Store
	readTime, lag time.Duration

	mu      sync.Mutex
	history []kv.Entry // states of the document, the newest last
	written []time.Time
}

// publish writes the document and returns its revision.
func (s *slowLinkStore) publish(t *testing.T, value string) uint64 {
	t.Helper()
	rev := write(t, s.Store, versionedKey, value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, kv.Entry{Key: versionedKey, Value: []byte(value), Revision: rev})
	s.written = append(s.written, time.Now())
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

// GetStale implements kv.StaleReader.
func (s *slowLinkStore) GetStale(ctx context.Context, _ string) (kv.Entry, error) {
	e, err := kv.Entry{}, kv.ErrNotFound
	s.mu.Lock()
	for i, at := range s.written {
		if time.Since(at) >= s.lag {
			e, err = s.history[i], nil
		}
	}
	s.mu.Unlock()
	if failed := s.wait(ctx); failed != nil {
		return kv.Entry{}, failed
	}
	return e, err
}

// WatchFor implements kv.TimedWatcher.
func (s *slowLinkStore) WatchFor(ctx context.Context, prefix string, after uint64, _ time.Duration) (kv.Changes, error) {
	limited, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	c, err := s.Store.Watch(limited, prefix, after)
	if limited.Err() != nil && ctx.Err() == nil {
		return kv.Changes{Revision: after}, nil
	}
	for _, e := range c.Entries {
		if e.Key == versionedKey {
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

// Guards against a document that takes effect too late, and endpoints that leave unnoticed meanwhile, because a daemon waits for cheap reads
// that are behind: each of them takes the link as long as the read that would have returned the newest state.
func TestLargeDocumentInForceInTime(t *testing.T) {
	const propagation = 2 * time.Second
	for name, tc := range map[string]struct {
		bytes         int
		readTime, lag time.Duration
	}{
		"small, up to date": {100, time.Millisecond, 0},
		"small, behind":     {100, time.Millisecond, time.Minute},
		"large, up to date": {400_000, 450 * time.Millisecond, 0},
		"large, behind":     {400_000, 450 * time.Millisecond, time.Minute},
		"larger, behind":    {500_000, 570 * time.Millisecond, time.Minute},
		"largest, behind":   {1_000_000, 1100 * time.Millisecond, time.Minute},
		"link in use":       {300_000, 800 * time.Millisecond, time.Minute},
		"catching up":       {400_000, 450 * time.Millisecond, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &slowLinkStore{Store: memkv.New(), readTime: tc.readTime, lag: tc.lag}
				before := store.publish(t, string(make([]byte, tc.bytes)))
				endpoint := write(t, store.Store, "endpoint", "a:1")
				time.Sleep(2 * tc.lag)
				g := testGateway(store)
				g.spec.Documents, g.spec.Propagation, g.spec.LinkBytes = versionedDocuments{}, propagation, 10_000_000/8
				go g.view.run()
				defer g.cancel()
				time.Sleep(5 * time.Second)
				version := func() uint64 { return g.config.Revision().Number }
				if version() != uint64(tc.bytes) || before > endpoint || g.pool.CountUsable("s", "v1", time.Now()) != 1 {
					t.Fatalf("version %d before the change, want %d and an endpoint", version(), tc.bytes)
				}
				published := time.Now()
				rev := store.publish(t, string(make([]byte, tc.bytes+1)))
				g.view.receive(notice.Message{From: "d1", PolledAt: time.Now().UnixNano(), After: endpoint, Revision: rev, Changes: []notice.Change{{Key: versionedKey, Revision: rev}}})
				time.Sleep(50 * time.Millisecond)
				if err := store.Delete(t.Context(), "endpoint", endpoint); err != nil {
					t.Fatal(err)
				}
				for version() == uint64(tc.bytes) || g.pool.CountUsable("s", "v1", time.Now()) > 0 {
					if time.Since(published) > propagation {
						t.Fatalf("%v after the change: version %d, want %d; %d endpoints, want none", time.Since(published), version(), tc.bytes+1, g.pool.CountUsable("s", "v1", time.Now()))
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
		})
	}
}
