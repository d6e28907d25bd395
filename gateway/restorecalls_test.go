package gateway

import (
	"context"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/kv/memkv"
	"github.com/bramleytrail/bramleytrail/notice"
	"github.com/bramleytrail/bramleytrail/object"
)

const (
	// maxStoreWrites and maxStoreReads are the platform's limits in calls a second over all daemons of a large deployment.
	maxStoreWrites, maxStoreReads = 1200, 6000
	// snapshotReads are the calls of a full read: the watch that shows the new era, and two pages of the list.
	snapshotReads = 3
)

// callLog holds the times of the calls of all daemons.
type callLog struct {
	mu            sync.Mutex
	reads, writes []time.Time
	down          atomic.Bool   // the store is unavailable
	era           atomic.Uint64 // of the store
}

func (l *callLog) add(list *[]time.Time, n int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for range n {
		*list = append(*list, time.Now())
	}
	if l.down.Load() {
		return kv.ErrUnavailable
	}
	return nil
}

// busiest returns the most calls of a list within any second.
func (l *callLog) busiest(list []time.Time) (most int) {
	first := 0
	for i, at := range list {
		for at.Sub(list[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// loggedStore records the calls of one daemon. A lease renewal counts as a read. Leases of an earlier era are lost.
type loggedStore struct {
	kv.Store
	log    *callLog
	leased atomic.Uint64 // era of the newest lease
}

// Get implements kv.Store.
func (s *loggedStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	if err := s.log.add(&s.log.reads, 1); err != nil {
		return kv.Entry{}, err
	}
	return s.Store.Get(ctx, key)
}

// CAS implements kv.Store.
func (s *loggedStore) CAS(ctx context.Context, key string, value []byte, prev kv.Revision, lease kv.LeaseID) (kv.Revision, error) {
	if err := s.log.add(&s.log.writes, 1); err != nil {
		return kv.Revision{}, err
	}
	return s.Store.CAS(ctx, key, value, prev, lease)
}

// Grant implements kv.Store.
func (s *loggedStore) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	if err := s.log.add(&s.log.writes, 1); err != nil {
		return 0, err
	}
	s.leased.Store(s.log.era.Load())
	return s.Store.Grant(ctx, ttl)
}

// KeepAlive implements kv.Store.
func (s *loggedStore) KeepAlive(ctx context.Context, id kv.LeaseID) error {
	if err := s.log.add(&s.log.reads, 1); err != nil {
		return err
	}
	if s.leased.Load() < s.log.era.Load() {
		return kv.ErrNoLease
	}
	return s.Store.KeepAlive(ctx, id)
}

// Watch implements kv.Store without waiting.
func (s *loggedStore) Watch(ctx context.Context, prefix string, after kv.Revision) (kv.Changes, error) {
	if err := s.log.add(&s.log.reads, 1); err != nil {
		return kv.Changes{}, err
	}
	limited, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	c, err := s.Store.Watch(limited, prefix, after)
	if err != nil && limited.Err() != nil && ctx.Err() == nil {
		return kv.Changes{Revision: after}, nil
	}
	if c.Reset {
		_ = s.log.add(&s.log.reads, snapshotReads-1)
	}
	return c, err
}

// fleetDocuments are orderDocuments with a release.
type fleetDocuments struct{ orderDocuments }

// Set implements Documents.
func (d fleetDocuments) Set(entries map[string]kv.Entry) (object.Set, uint64, bool, error) {
	set, version, found, err := d.orderDocuments.Set(entries)
	if released, _, ok, _ := (releaseDocuments{}).Set(entries); ok {
		set.Releases = released.Releases
	}
	return set, version, found, err
}

// RestoreRule implements RestoreRules.
func (d fleetDocuments) RestoreRule(e kv.Entry) (RestoreRule, uint64) {
	if e.Key == testStatusKey {
		return RestoreNow, 0
	}
	return d.orderDocuments.RestoreRule(e)
}

// Status implements Documents.
func (fleetDocuments) Status(r object.Release) (string, []byte, error) {
	return releaseDocuments{}.Status(r)
}
func (fleetDocuments) OrderKey(string) string { return testOrderKey }

// Guards against a restore after which all daemons together call the store more often than it allows.
func TestRestoreCallsWithinLimits(t *testing.T) {
	for _, daemons := range []int{140, 370} {
		for _, outage := range []time.Duration{0, 3 * time.Second} {
			t.Run(fmt.Sprint(daemons, " daemons, outage ", outage), func(t *testing.T) {
				if raceEnabled {
					t.Skip("runs without the race detector") // in a later step of .ci/test
				}
				synctest.Test(t, func(t *testing.T) { countRestoreCalls(t, daemons, outage) })
			})
		}
	}
}

// countRestoreCalls restores the store of a deployment after an outage. A second later, the operators write five documents again.
func countRestoreCalls(t *testing.T, daemons int, outage time.Duration) {
	const domains = 5
	limit := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(limit) // that of one daemon is too little for all
	store, log := memkv.New(), &callLog{}
	network := &datagramNet{conns: map[string]*datagramConn{}}
	write(t, store, configKey, "4")
	write(t, store, testOrderKey, "v2")
	var list []*Gateway
	for i := range daemons {
		g := testGateway(&loggedStore{Store: store, log: log})
		g.config = &config.Holder{}
		g.spec.Documents, g.spec.Propagation, g.spec.LinkBytes = fleetDocuments{}, 4*time.Second, slowLink
		g.spec.Name, g.spec.Domain = fmt.Sprintf("d%03d", i), fmt.Sprintf("domain%d", i%domains)
		g.view.random = mathrand.New(mathrand.NewPCG(7, uint64(i))).Float64
		conn := network.listen(i)
		g.spec.PeerAddr = conn.addr.String()
		g.exchange.Store(notice.New(conn, g.exchangeSpec()))
		list = append(list, g)
	}
	debug.SetMemoryLimit(limit)
	for i, g := range list {
		time.AfterFunc(time.Duration(i)*7*time.Millisecond, func() {
			go g.view.run()
			go g.maintainMembership()
			go g.releases.run()
		})
	}
	defer func() {
		for _, g := range list {
			g.cancel()
			g.exchange.Load().Close()
		}
		time.Sleep(time.Minute) // all that waits for a time ends
	}()
	time.Sleep(15 * time.Second)
	backup := store.Snapshot()
	write(t, store, configKey, "5")
	write(t, store, testStatusKey, string(object.ReleaseRolledBack))
	time.Sleep(5 * time.Second)
	log.down.Store(outage > 0)
	time.Sleep(outage)
	log.mu.Lock()
	log.reads, log.writes = nil, nil
	log.mu.Unlock()
	store.RestoreInNewEra(backup)
	log.era.Store(1)
	log.down.Store(false)
	time.Sleep(time.Second)
	for key, value := range map[string]string{configKey: "6", testOrderKey: "v2", orderPrefix + "a": "", orderPrefix + "b": "", orderPrefix + "c": ""} {
		write(t, store, key, value)
	}
	time.Sleep(14 * time.Second)
	log.mu.Lock()
	reads, writes := slices.Clone(log.reads), slices.Clone(log.writes)
	log.mu.Unlock()
	mostReads, mostWrites := log.busiest(reads), log.busiest(writes)
	t.Logf("%d reads and %d writes in the busiest second; %.1f reads and %.2f writes a daemon in 15 s", mostReads, mostWrites, float64(len(reads))/float64(daemons), float64(len(writes))/float64(daemons))
	if mostReads > maxStoreReads || mostWrites > maxStoreWrites {
		t.Errorf("%d reads and %d writes in a second, %d and %d are allowed", mostReads, mostWrites, maxStoreReads, maxStoreWrites)
	}
	for _, g := range list {
		if n := g.config.Revision().Number; n != 6 || g.view.era.Load() != 1 || g.view.members() != daemons {
			t.Fatalf("daemon %s: configuration %d, era %d, %d members", g.spec.Name, n, g.view.era.Load(), g.view.members())
		}
	}
	if e, err := store.Get(context.Background(), testStatusKey); string(e.Value) != string(object.ReleaseRolledBack) || errors.Is(err, kv.ErrNotFound) {
		t.Errorf("state %q of the release, error %v", e.Value, err)
	}
}
