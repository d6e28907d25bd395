package gateway

import (
	"context"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/kv/memkv"
	"github.com/bramleytrail/bramleytrail/notice"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/release"
)

// orderDocuments has a configuration op, whose value is its version, and orders op/d/NAME that take failure domain NAME out of service.
type orderDocuments struct{ fakeDocuments }

const (
	configKey   = "op"
	orderPrefix = "op/d/"
)

func (orderDocuments) Set(entries map[string]kv.Entry) (object.Set, uint64, bool, error) {
	c, found := entries[configKey]
	if !found {
		return object.Set{}, 0, false, nil
	}
	version, err := strconv.ParseUint(string(c.Value), 10, 64)
	set := object.Set{Services: []object.Service{{Name: "s", Type: object.ServicePlain, Routed: &object.RoutedService{}}}}
	for key := range entries {
		if name, ok := strings.CutPrefix(key, orderPrefix); ok {
			set.FailureDomains = append(set.FailureDomains, object.FailureDomain{Name: name, State: object.DomainOut})
		}
	}
	return set, version, true, err
}

// RestoreRule implements RestoreRules.
func (orderDocuments) RestoreRule(e kv.Entry) (RestoreRule, uint64) {
	if e.Key == configKey {
		version, _ := strconv.ParseUint(string(e.Value), 10, 64)
		return RestoreByVersion, version
	}
	return RestoreLater, 0
}

// isOut reports whether a failure domain is out of service at a daemon.
func isOut(g *Gateway, domain string) bool {
	view := g.config.View()
	if view == nil {
		return false
	}
	d, ok := view.Domains[domain]
	return ok && d.State == object.DomainOut
}

// withRestore runs a daemon with a store that has been restored to its content before change, and in which after is then called.
func withRestore(t *testing.T, before, change, after func(*memkv.Store), check func(*Gateway, *memkv.Store)) {
	synctest.Test(t, func(t *testing.T) {
		inner := memkv.New()
		g := testGateway(&countingStore{Store: inner})
		g.spec.Documents, g.spec.Propagation = orderDocuments{}, time.Second
		before(inner)
		backup := inner.Snapshot()
		change(inner)
		go g.view.run()
		defer g.cancel()
		time.Sleep(3 * time.Second)
		inner.RestoreInNewEra(backup)
		after(inner)
		time.Sleep(time.Second)
		check(g, inner)
	})
}

// Guards against a configuration that is never served after a restore because its revision is below the known one, and against one that
// goes back to an older version of the backup.
func TestConfigurationAfterRestore(t *testing.T) {
	for name, tc := range map[string]struct {
		written string // after the restore
		want    uint64
	}{"older in the backup": {"", 5}, "newer after the restore": {"6", 6}} {
		t.Run(name, func(t *testing.T) {
			withRestore(t, func(s *memkv.Store) { write(t, s, configKey, "4") }, func(s *memkv.Store) {
				write(t, s, configKey, "5")
				for range 9 {
					write(t, s, "other", "")
				}
			}, func(s *memkv.Store) {
				if tc.written != "" {
					write(t, s, configKey, tc.written)
				}
			}, func(g *Gateway, _ *memkv.Store) {
				if n := g.config.Revision().Number; n != tc.want || g.view.era.Load() != 1 {
					t.Errorf("version %d in era %d, want %d in era 1", n, g.view.era.Load(), tc.want)
				}
			})
		})
	}
}

// Guards against orders that take effect or lose effect only because a backup is older, before operators have written theirs again.
func TestOrdersAreHeldAfterRestore(t *testing.T) {
	start := func(s *memkv.Store) { write(t, s, configKey, "4"); write(t, s, orderPrefix+"removed", "") }
	change := func(s *memkv.Store) {
		e, err := s.Get(t.Context(), orderPrefix+"removed")
		if err != nil || s.Delete(t.Context(), orderPrefix+"removed", e.Revision) != nil {
			t.Fatal(err)
		}
		write(t, s, orderPrefix+"added", "")
	}
	withRestore(t, start, change, func(s *memkv.Store) {
		for range 9 {
			write(t, s, "other", "")
		}
		write(t, s, orderPrefix+"new", "")
	}, func(g *Gateway, s *memkv.Store) {
		if isOut(g, "removed") || !isOut(g, "added") || !isOut(g, "new") {
			t.Errorf("after the restore: removed order in effect %t, added %t, new %t", isOut(g, "removed"), isOut(g, "added"), isOut(g, "new"))
		}
		write(t, s, orderPrefix+"added", "")
		time.Sleep(operatorHold + time.Second)
		if !isOut(g, "removed") || !isOut(g, "added") {
			t.Errorf("after %v: order not removed again in effect %t, order written again %t", operatorHold, isOut(g, "removed"), isOut(g, "added"))
		}
	})
}

// Guards against a second restore that brings an order of its backup into effect, or one that the first restore held, before its time.
func TestSecondRestoreHoldsAgain(t *testing.T) {
	var backup memkv.Snapshot
	withRestore(t, func(s *memkv.Store) {
		write(t, s, configKey, "4")
		write(t, s, orderPrefix+"removed", "")
		backup = s.Snapshot()
	}, func(s *memkv.Store) {
		e, err := s.Get(t.Context(), orderPrefix+"removed")
		if err != nil || s.Delete(t.Context(), orderPrefix+"removed", e.Revision) != nil {
			t.Fatal(err)
		}
	}, func(*memkv.Store) {}, func(g *Gateway, s *memkv.Store) {
		time.Sleep(operatorHold - 2*time.Second)
		s.RestoreInNewEra(backup)
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			if isOut(g, "removed") {
				t.Fatal("the removed order is in effect again")
			}
		}
		if n := g.view.era.Load(); n != 2 {
			t.Errorf("era %d, want 2", n)
		}
	})
}

// Guards against a backup that removes live endpoints, uses ones that have left, or gives an address back to the endpoint that had it.
func TestEndpointsAfterRestore(t *testing.T) {
	usable := func(g *Gateway) int { return g.pool.CountUsable("s", "v1", time.Now()) }
	withRestore(t, func(s *memkv.Store) {
		write(t, s, "e-same", "a:1")
		write(t, s, "e-left", "a:2")
		write(t, s, "e-previous", "a:3")
	}, func(s *memkv.Store) {
		for _, key := range []string{"e-left", "e-previous"} {
			e, err := s.Get(t.Context(), key)
			if err != nil || s.Delete(t.Context(), key, e.Revision) != nil {
				t.Fatal(err)
			}
		}
		write(t, s, "e-next", "a:3")
		write(t, s, "e-new", "a:4")
	}, func(*memkv.Store) {}, func(g *Gateway, s *memkv.Store) {
		if n := usable(g); n != 3 {
			t.Errorf("%d endpoints after the restore, want the 3 live ones", n)
		}
		write(t, s, "e-next", "a:3")
		time.Sleep(lapsedGrace)
		g.view.mu.Lock()
		defer g.view.mu.Unlock()
		for key, want := range map[string]bool{"e-same": true, "e-next": true, "e-left": true, "e-new": false, "e-previous": false} {
			if _, ok := g.view.endpoints[key]; ok != want {
				t.Errorf("%s in use %t after the grace period, want %t", key, ok, want)
			}
		}
	})
}

// Guards against a daemon that does not learn of a restore from a peer, and one that applies notifications of an earlier era.
func TestNotificationsOfOtherEras(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memkv.New()
		backup := store.Snapshot()
		write(t, store, "e1", "a:1")
		inner := &countingStore{Store: store}
		g := testGateway(inner)
		g.spec.Propagation = time.Hour // polls only when told
		go g.view.run()
		defer g.cancel()
		synctest.Wait()
		store.RestoreInNewEra(backup)
		write(t, store, "e2", "a:2")
		polls := inner.calls.Load()
		g.view.receive(notice.Message{From: "d1", PolledAt: 1, Revision: kv.Revision{Era: 1, Number: 9}, After: kv.Revision{Era: 1, Number: 9}})
		time.Sleep(eraReadSpread + 100*time.Millisecond)
		if n := inner.calls.Load() - polls; n != 1 || g.view.era.Load() != 1 {
			t.Errorf("%d polls after the notification, want 1; era %d", n, g.view.era.Load())
		}
		g.view.receive(storeNotification(0, 20, notice.Change{Key: "e3", Value: []byte("a:3"), Revision: numbered(20)}))
		time.Sleep(time.Second)
		if _, ok := g.view.endpoints["e3"]; ok {
			t.Error("a notification of an earlier era was applied")
		}
	})
}

// Guards against a version that gets requests again, or loses its exposure, because the backup does not have the end of its release.
func TestReleaseContinuesAfterRestore(t *testing.T) {
	for _, state := range []release.Phase{release.Reverted, release.Completed} {
		synctest.Test(t, func(t *testing.T) {
			inner := memkv.New()
			g := testGateway(inner)
			g.spec.Documents, g.spec.Propagation = releaseDocuments{}, time.Second
			store := &gatedStore{Store: inner}
			g.spec.Store = store
			write(t, inner, testOrderKey, "v2")
			backup := inner.Snapshot()
			go g.view.run()
			go g.releases.run()
			defer g.cancel()
			time.Sleep(time.Second)
			final := map[release.Phase]string{release.Reverted: string(object.ReleaseRolledBack), release.Completed: string(object.ReleaseCompleted)}[state]
			write(t, inner, testStatusKey, final)
			time.Sleep(3 * time.Second)
			rel := g.config.View().Releases["s"]
			if p := g.releases.phase(rel); p != state {
				t.Fatalf("phase %s before the restore, want %s", p, state)
			}
			inner.RestoreInNewEra(backup)
			for range 300 {
				time.Sleep(10 * time.Millisecond)
				if p := g.releases.phase(g.config.View().Releases["s"]); p != state {
					t.Fatalf("phase %s after the restore, want %s", p, state)
				}
			}
			if e, err := inner.Get(context.Background(), testStatusKey); err != nil || string(e.Value) != final {
				t.Errorf("state %q after the restore, error %v; want %q", e.Value, err, final)
			}
		})
	}
}
