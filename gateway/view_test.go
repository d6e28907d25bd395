package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/dispatch"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/kv/memkv"
	"github.com/bramleytrail/bramleytrail/notice"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/observe"
	"github.com/bramleytrail/bramleytrail/release"
)

// watchTimeout is the time after which the watch of an unresponsive store ends.
const watchTimeout = 3500 * time.Millisecond

// fakeStore is a key-value store that can become unresponsive. Its content is set by the tests.
type fakeStore struct {
	kv.Store
	mu           sync.Mutex
	unresponsive bool
	revision     kv.Revision
	reset        []kv.Entry // returned by the next watch as the whole content
	changes      []kv.Entry // returned by the next watch as changes
	calls        int
	noWait       bool // watches return at once, even without changes
}

// set makes the store unresponsive or responsive, with a new content if reset is not nil.
func (s *fakeStore) set(unresponsive bool, reset []kv.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unresponsive, s.reset = unresponsive, reset
}

// change makes the store responsive, with changes.
func (s *fakeStore) change(changes []kv.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unresponsive, s.changes = false, changes
}

// wait blocks until ctx is done or the limit has passed, and returns kv.ErrUnavailable.
func (s *fakeStore) wait(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	<-ctx.Done()
	return kv.ErrUnavailable
}

// Get implements kv.Store.
func (s *fakeStore) Get(ctx context.Context, _ string) (kv.Entry, error) {
	s.mu.Lock()
	unresponsive := s.unresponsive
	s.calls++
	s.mu.Unlock()
	if unresponsive {
		return kv.Entry{}, s.wait(ctx, time.Second)
	}
	return kv.Entry{}, kv.ErrNotFound
}

// Watch implements kv.Store. It returns when there is new content, else after its time limit.
func (s *fakeStore) Watch(ctx context.Context, _ string, _ kv.Revision) (kv.Changes, error) {
	for range 100 {
		s.mu.Lock()
		unresponsive, reset := s.unresponsive, s.reset
		changes := s.changes
		s.reset, s.changes = nil, nil
		if reset != nil || changes != nil {
			s.revision.Number++
		}
		revision := s.revision
		s.mu.Unlock()
		switch {
		case unresponsive:
			return kv.Changes{}, s.wait(ctx, watchTimeout)
		case reset != nil:
			return kv.Changes{Reset: true, Entries: reset, Revision: revision}, nil
		case changes != nil:
			return kv.Changes{Entries: changes, Revision: revision}, nil
		}
		if s.noWait {
			break
		}
		_ = s.wait(ctx, 25*time.Millisecond)
	}
	return kv.Changes{Revision: s.revision}, nil
}

// fakeDocuments decodes endpoints only. Their values are their addresses; a key's first letter is its kind.
type fakeDocuments struct{}

func (fakeDocuments) Set(map[string]kv.Entry) (object.Set, uint64, bool, error) {
	return object.Set{}, 0, false, nil
}

func (fakeDocuments) Endpoint(e kv.Entry, _ time.Time) (hostlist.Host, error) {
	return hostlist.Host{ID: e.Key, Role: hostlist.RoleEndpoint, Service: "s", Domain: "a", Addr: string(e.Value), State: hostlist.StateLive, Release: "v1"}, nil
}

func (fakeDocuments) Kind(key string) Kind {
	switch key[0] {
	case 'e':
		return KindEndpoint
	case 'o':
		return KindOperator
	}
	return KindOther
}

func (fakeDocuments) Status(object.Release) (string, []byte, error) { return "", nil, nil }

func (fakeDocuments) OrderKey(string) string { return "" }

// testGateway returns a gateway of daemon "d0" in failure domain "a", with a plain service "s".
func testGateway(store kv.Store) *Gateway {
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := New(Spec{Name: "d0", Domain: "a", CallerAddr: "127.0.0.1:0", ReadyAddr: "127.0.0.1:0", Grace: time.Second, MemoryBytes: 64 << 20, Store: store,
		Documents: fakeDocuments{}, Log: log, Metrics: observe.NewMetrics()})
	set := object.Set{FailureDomains: []object.FailureDomain{{Name: "a", State: object.DomainIn}}, Services: []object.Service{{Name: "s", Type: object.ServicePlain, Routed: &object.RoutedService{}}}}
	g.config.ApplyView(config.Index(config.Revision{Number: 1}, set))
	return g
}

// Guards against a daemon that calls an unresponsive store again only after the watch's own time limit, and so still serves with an
// old configuration after the store has recovered.
func TestStoreNoticedSoonAfterItsReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{reset: []kv.Entry{{Key: "e1", Value: []byte("a:1")}}}
		g := testGateway(store)
		go g.view.run()
		time.Sleep(time.Second)
		for _, outage := range []time.Duration{2 * time.Second, 7900 * time.Millisecond, 11300 * time.Millisecond} {
			store.set(true, nil)
			time.Sleep(watchTimeout + outage)
			store.set(false, []kv.Entry{{Key: "e1", Value: []byte("a:1")}, {Key: "e2", Value: []byte("a:2")}})
			recoveredAt := time.Now()
			for g.pool.CountUsable("s", "v1", time.Now()) < 2 {
				time.Sleep(10 * time.Millisecond)
			}
			if d := time.Since(recoveredAt); d > 1500*time.Millisecond {
				t.Errorf("changes applied %v after the store recovered", d)
			}
			store.set(false, []kv.Entry{{Key: "e1", Value: []byte("a:1")}})
			time.Sleep(lapsedGrace + 3*time.Second)
			if n := g.pool.CountUsable("s", "v1", time.Now()); n != 1 {
				t.Errorf("%d endpoints after one has been gone for longer than %v, want 1", n, lapsedGrace)
			}
		}
		g.cancel()
	})
}

// Guards against endpoints that are dropped at once when a full read lacks their entries, because these lapsed while the store was
// unavailable.
func TestLapsedEntriesStayForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{reset: []kv.Entry{{Key: "e1", Value: []byte("a:1")}, {Key: "e2", Value: []byte("a:2")}}}
		g := testGateway(store)
		go g.view.run()
		time.Sleep(time.Second)
		store.set(false, []kv.Entry{})
		time.Sleep(time.Second)
		if n := g.pool.CountUsable("s", "v1", time.Now()); n != 2 {
			t.Errorf("%d endpoints one second after their entries lapsed, want 2", n)
		}
		g.cancel()
	})
}

// Guards against endpoints that are dropped when the store recovers because their leases expired during the outage: the first
// changes then remove all of them, and requests find no endpoint until they have written their entries again.
func TestRemovalsAfterAnOutageWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{reset: []kv.Entry{{Key: "e1", Value: []byte("a:1")}, {Key: "e2", Value: []byte("a:2")}}}
		g := testGateway(store)
		go g.view.run()
		time.Sleep(time.Second)
		store.set(true, nil)
		time.Sleep(2 * watchTimeout)
		store.change([]kv.Entry{{Key: "e1", Deleted: true}, {Key: "e2", Deleted: true}})
		time.Sleep(lapsedGrace - 100*time.Millisecond)
		if n := g.pool.CountUsable("s", "v1", time.Now()); n != 2 {
			t.Errorf("%d endpoints shortly after their entries lapsed, want 2", n)
		}
		store.change([]kv.Entry{{Key: "e1", Value: []byte("a:1")}})
		time.Sleep(maxRetryDelay + watchTimeout + lapsedGrace)
		if n := g.pool.CountUsable("s", "v1", time.Now()); n != 1 {
			t.Errorf("%d endpoints after one came back, want 1", n)
		}
		store.change([]kv.Entry{{Key: "e1", Deleted: true}})
		time.Sleep(time.Second)
		if n := g.pool.CountUsable("s", "v1", time.Now()); n != 0 {
			t.Errorf("%d endpoints after the last one left long after the outage, want 0", n)
		}
		g.cancel()
	})
}

// Guards against an endpoint that leaves soon after an outage and is treated as one whose entry lapsed during it. It stayed in use
// for lapsedGrace from its removal on, past the bound for endpoints that leave.
func TestEndpointLeavesSoonAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{noWait: true, reset: []kv.Entry{{Key: "e1", Value: []byte("a:1")}, {Key: "e2", Value: []byte("a:2")}}}
		g := testGateway(store)
		go g.view.run()
		time.Sleep(time.Second)
		store.set(true, nil)
		time.Sleep(2 * watchTimeout)
		store.set(false, nil)
		for g.view.unavailable.Load() {
			time.Sleep(10 * time.Millisecond)
		}
		recoveredAt := time.Now()
		time.Sleep(lapsedGrace - 500*time.Millisecond)
		store.change([]kv.Entry{{Key: "e1", Deleted: true}})
		time.Sleep(time.Until(recoveredAt.Add(lapsedGrace + 100*time.Millisecond)))
		if n := g.pool.CountUsable("s", "v1", time.Now()); n != 1 {
			t.Errorf("%d endpoints after the time in which live ones return, want 1", n)
		}
		g.cancel()
	})
}

// Guards against lapsed endpoints that stay in use after their grace period while the store reports no changes.
func TestLapsedEntriesEndInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{noWait: true, reset: []kv.Entry{{Key: "e1", Value: []byte("a:1")}}}
		g := testGateway(store)
		g.spec.Propagation = time.Hour // a single poll
		go g.view.run()
		time.Sleep(time.Second)
		g.view.mu.Lock()
		g.view.lapsed["e1"] = time.Now().Add(lapsedGrace)
		g.view.mu.Unlock()
		g.view.reportFailure() // wakes run, which then waits for the new expiry
		time.Sleep(lapsedGrace + 300*time.Millisecond)
		if n := g.pool.CountUsable("s", "v1", time.Now()); n != 0 {
			t.Errorf("%d endpoints after their grace period, want 0", n)
		}
		g.cancel()
	})
}

// storeNotification returns a message about the store.
func storeNotification(after, revision uint64, changes ...notice.Change) notice.Message {
	return notice.Message{After: numbered(after), Revision: numbered(revision), Changes: changes}
}

// Guards against changes from other daemons that are lost, or applied with a gap before them, out of order, or before this daemon
// has read the store itself.
func TestToldChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := testGateway(memkv.New())
		v := g.view
		endpoint := func(n uint64, addr string) notice.Change {
			return notice.Change{Key: "e1", Value: []byte(addr), Revision: numbered(n)}
		}
		usable := func() int { return g.pool.CountUsable("s", "v1", time.Now()) }
		if v.accept(storeNotification(0, 5, endpoint(5, "a:1")), time.Now()) || usable() != 0 {
			t.Error("a daemon that has not read the store accepted a notification")
		}
		v.advance(kv.Changes{Reset: true, Revision: numbered(5), Entries: []kv.Entry{{Key: "e1", Value: []byte("a:1"), Revision: numbered(4)}}}, time.Now())
		for _, c := range []struct {
			name string
			m    notice.Message
			ok   bool
			want uint64 // revision in force after it
			n    int
		}{
			{"with a gap", storeNotification(6, 7, notice.Change{Key: "e1", Revision: numbered(7), Deleted: true}), false, 5, 1},
			{"up to date", storeNotification(5, 5), true, 5, 1},
			{"next", storeNotification(5, 6, notice.Change{Key: "e2", Value: []byte("a:2"), Revision: numbered(6)}), true, 6, 2},
			{"overlapping", storeNotification(4, 8, endpoint(5, "old:1"), notice.Change{Key: "e2", Revision: numbered(8), Deleted: true}), true, 8, 1},
			{"older", storeNotification(4, 7, notice.Change{Key: "e1", Revision: numbered(7), Deleted: true}), false, 8, 1},
		} {
			if ok := v.accept(c.m, time.Now()); ok != c.ok || v.revision != numbered(c.want) || usable() != c.n {
				t.Errorf("%s: accepted %v, revision %s with %d endpoints", c.name, ok, v.revision, usable())
			}
		}
		if h := v.endpoints["e1"]; h.Addr != "a:1" {
			t.Errorf("an older entry of the endpoint was applied: %+v", h)
		}
		g.cancel()
	})
}

// Guards against changes that do not fit in one message and are not sent at all, or sent so that a receiver treats a part as the
// whole. Also guards against messages that grow with the square of the number of daemons, because each notifies all others.
func TestManyChangesAreToldInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender, receiver := testGateway(memkv.New()).view, testGateway(memkv.New()).view
		receiver.revision = numbered(100)
		var c kv.Changes
		for i := range 300 {
			c.Entries = append(c.Entries, kv.Entry{Key: fmt.Sprintf("e%03d", i), Value: bytes.Repeat([]byte("x"), 200), Revision: numbered(uint64(400 - i))})
		}
		c.Revision = numbered(400)
		list := sender.splitChanges(numbered(100), c)
		if len(list) < 2 {
			t.Fatalf("%d messages for 300 changes of 200 bytes", len(list))
		}
		for i, m := range list {
			if data, err := msgpack.Marshal(&m); err != nil || len(data) > notice.MaxMessageBytes || len(m.Changes) > notice.MaxChanges {
				t.Errorf("message %d: %d changes in %d bytes, %v", i, len(m.Changes), len(data), err)
			}
			if !receiver.accept(m, time.Now()) {
				t.Errorf("message %d not accepted", i)
			}
		}
		if receiver.revision != numbered(400) || len(receiver.endpoints) != 300 {
			t.Errorf("revision %s with %d endpoints", receiver.revision, len(receiver.endpoints))
		}
		receiver.revision = numbered(100)
		if receiver.accept(list[1], time.Now()) {
			t.Error("the second message was accepted without the first")
		}
		member := func(name, domain string) kv.Entry {
			return kv.Entry{Key: memberPrefix + name, Value: []byte(domain + " a:1")}
		}
		for _, e := range []kv.Entry{member("d0", "a"), member("c0", "b"), member("d1", "a")} {
			sender.ownEntries[e.Key] = e
		}
		if !sender.isDomainLeader() || sender.domainPeers() != 1 {
			t.Errorf("first daemon of its domain: leader %v, %d peers in the domain, want true and 1", sender.isDomainLeader(), sender.domainPeers())
		}
		sender.ownEntries[memberPrefix+"a0"] = member("a0", "a")
		if sender.isDomainLeader() {
			t.Error("the second daemon of its domain notifies the others")
		}
	})
}

// fixedStore answers reads with a fixed entry and error.
type fixedStore struct {
	kv.Store
	entry kv.Entry
	err   error
}

// Get implements kv.Store.
func (s *fixedStore) Get(context.Context, string) (kv.Entry, error) { return s.entry, s.err }

// Guards against operators' documents that are taken from another daemon's notification, or from a read that is older than the
// notification, and against a poll by each daemon whenever a document changes.
func TestOperatorsDocumentsAreReadFromTheStore(t *testing.T) {
	held := kv.Entry{Key: "o1", Value: []byte("held"), Revision: numbered(4)}
	for _, c := range []struct {
		name     string
		change   notice.Change
		read     kv.Entry
		err      error
		accepted bool
		want     string // value in force; empty for none
	}{
		{"read", notice.Change{Key: "o1", Revision: numbered(6), Value: []byte("word")}, kv.Entry{Key: "o1", Value: []byte("read"), Revision: numbered(6)}, nil, true, "read"},
		{"newer than the word", notice.Change{Key: "o1", Revision: numbered(6)}, kv.Entry{Key: "o1", Value: []byte("newer"), Revision: numbered(9)}, nil, true, "newer"},
		{"old read", notice.Change{Key: "o1", Revision: numbered(6), Value: []byte("word")}, held, nil, false, "held"},
		{"store away", notice.Change{Key: "o1", Revision: numbered(6), Value: []byte("word")}, kv.Entry{}, kv.ErrUnavailable, false, "held"},
		{"removed", notice.Change{Key: "o1", Revision: numbered(6), Deleted: true}, kv.Entry{}, kv.ErrNotFound, true, ""},
		{"said to be removed", notice.Change{Key: "o1", Revision: numbered(6), Deleted: true}, held, nil, false, "held"},
		{"new and not there yet", notice.Change{Key: "o1", Revision: numbered(6)}, kv.Entry{}, kv.ErrNotFound, false, "held"},
	} {
		v := testGateway(&fixedStore{memkv.New(), c.read, c.err}).view
		v.advance(kv.Changes{Reset: true, Revision: numbered(5), Entries: []kv.Entry{held}}, time.Now())
		if got := v.accept(storeNotification(5, 6, c.change), time.Now()); got != c.accepted || v.pollNow == c.accepted {
			t.Errorf("%s: accepted %v, polls the store at once: %v", c.name, got, v.pollNow)
		}
		if got := string(v.operatorDocs["o1"].Value); got != c.want {
			t.Errorf("%s: %q in force, want %q", c.name, got, c.want)
		}
	}
	v := testGateway(memkv.New()).view
	for _, m := range v.splitChanges(numbered(5), kv.Changes{Revision: numbered(6), Entries: []kv.Entry{{Key: "o1", Value: []byte("secret"), Revision: numbered(6)}}}) {
		if len(m.Changes) != 1 || m.Changes[0].Value != nil {
			t.Errorf("sent %+v, want one change without its value", m.Changes)
		}
	}
	putIfNewer(v.operatorDocs, kv.Entry{Key: "o1", Value: []byte("newer"), Revision: numbered(9)})
	putIfNewer(v.operatorDocs, kv.Entry{Key: "o1", Value: []byte("older"), Revision: numbered(7)})
	if got := string(v.operatorDocs["o1"].Value); got != "newer" {
		t.Errorf("%q in force after an older change, want %q", got, "newer")
	}
}

// Guards against outdated notifications of a daemon that was frozen. They contain nothing new, but would defer the polls of daemons
// that are behind.
func TestOldWordOnTheStoreIsNotCurrent(t *testing.T) {
	v := testGateway(memkv.New()).view
	for i, c := range []struct {
		from     string
		polledAt int64
		isNewest bool
	}{
		{"a", 10, true}, {"a", 10, true}, {"a", 20, true}, {"a", 10, false}, {"b", 5, true}, {"a", 20, true}, {"a", 21, true}, {"b", 4, false},
	} {
		if got := v.isNewest(notice.Message{From: c.from, PolledAt: c.polledAt}); got != c.isNewest {
			t.Errorf("message %d: newest %v", i, got)
		}
	}
}

// Guards against daemons of other failure domains that receive nothing about the store or a release, because only the relays of
// each domain are sent a message. This keeps the traffic between domains independent of the number of daemons.
func TestMessagesReachAllDomains(t *testing.T) {
	const domains, each = 3, 4
	type arrival struct {
		daemon string
		from   string
	}
	got := make(chan arrival, 1000)
	var daemons []*Gateway
	var entries []kv.Entry
	for i := range domains * each {
		g := testGateway(memkv.New())
		g.spec.Name, g.spec.Domain = fmt.Sprintf("d%02d", i), fmt.Sprintf("domain%d", i%domains)
		x, err := notice.Listen("127.0.0.1:0", func(m notice.Message) {
			g.receive(m)
			if !m.Relay {
				got <- arrival{g.spec.Name, m.From}
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		defer x.Close()
		g.exchange.Store(x)
		daemons = append(daemons, g)
		entries = append(entries, kv.Entry{Key: memberPrefix + g.spec.Name, Value: []byte(g.spec.Domain + " " + x.Addr()), Revision: numbered(uint64(i + 1))})
	}
	for _, g := range daemons {
		g.view.advance(kv.Changes{Reset: true, Revision: numbered(100), Entries: entries}, time.Now())
	}
	change := kv.Changes{Revision: numbered(101), Entries: []kv.Entry{{Key: "e1", Value: []byte("a:1"), Revision: numbered(101)}}}
	daemons[0].view.notifyPeers(numbered(100), change, time.Now())
	received := map[string]int{}
	for len(received) < domains*each-1 { // if a daemon is not notified, the test times out
		a := <-got
		received[a.daemon]++
	}
	if received["d00"] > 0 {
		t.Error("the sender received its own message")
	}
	for _, g := range daemons[1:] {
		m := <-g.view.notifications
		if !g.view.accept(m.Message, time.Now()) || g.view.revision != numbered(101) {
			t.Errorf("%s did not apply the change: revision %s", g.spec.Name, g.view.revision)
		}
	}
}

// countingStore counts the polls for changes.
type countingStore struct {
	kv.Store
	calls atomic.Int64
}

// Watch implements kv.Store without waiting.
func (s *countingStore) Watch(ctx context.Context, prefix string, after kv.Revision) (kv.Changes, error) {
	s.calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	c, err := s.Store.Watch(ctx, prefix, after)
	if err != nil && ctx.Err() != nil {
		return kv.Changes{Revision: after}, nil
	}
	return c, err
}

// Guards against daemons of a failure domain that each poll the store although one has just notified the others, and against
// daemons that never poll when no notification comes.
func TestNotifiedDaemonsDoNotPoll(t *testing.T) {
	const propagation, span = 2 * time.Second, 20 * time.Second
	for _, notified := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			store := &countingStore{Store: memkv.New()}
			revision, err := store.CAS(t.Context(), memberPrefix+"a", nil, kv.Revision{}, 0) // the leader is another daemon
			if err != nil {
				t.Fatal(err)
			}
			g := testGateway(store)
			g.spec.Propagation = propagation
			go g.view.run()
			time.Sleep(100 * time.Millisecond)
			store.calls.Store(0)
			for range int(span / (100 * time.Millisecond)) {
				time.Sleep(100 * time.Millisecond)
				if notified {
					g.view.receive(storeNotification(revision.Number, revision.Number))
				}
			}
			n := store.calls.Load()
			if most := int64(span / (propagation / 4)); notified && n > 0 || !notified && (n < int64(span/propagation) || n > most) {
				t.Errorf("notified %v: %d polls in %v", notified, n, span)
			}
			g.cancel()
		})
	}
}

// meteredStore sums up the cost of its calls in tenths of a read, as the platform charges them, also while it is unavailable.
type meteredStore struct {
	kv.Store
	down   atomic.Bool
	tenths atomic.Int64
}

// call charges one call, and returns kv.ErrUnavailable while the store is unavailable.
func (s *meteredStore) call(tenths int64) error {
	s.tenths.Add(tenths)
	if s.down.Load() {
		return kv.ErrUnavailable
	}
	return nil
}

// Get implements kv.Store.
func (s *meteredStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	if err := s.call(10); err != nil {
		return kv.Entry{}, err
	}
	return s.Store.Get(ctx, key)
}

// CAS implements kv.Store.
func (s *meteredStore) CAS(ctx context.Context, key string, value []byte, prev kv.Revision, lease kv.LeaseID) (kv.Revision, error) {
	if err := s.call(10); err != nil {
		return kv.Revision{}, err
	}
	return s.Store.CAS(ctx, key, value, prev, lease)
}

// Grant implements kv.Store.
func (s *meteredStore) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	if err := s.call(10); err != nil {
		return 0, err
	}
	return s.Store.Grant(ctx, ttl)
}

// KeepAlive implements kv.Store.
func (s *meteredStore) KeepAlive(ctx context.Context, id kv.LeaseID) error {
	if err := s.call(1); err != nil {
		return err
	}
	return s.Store.KeepAlive(ctx, id)
}

// Watch implements kv.Store without waiting.
func (s *meteredStore) Watch(ctx context.Context, prefix string, after kv.Revision) (kv.Changes, error) {
	if err := s.call(10); err != nil {
		return kv.Changes{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	c, err := s.Store.Watch(ctx, prefix, after)
	if err != nil && ctx.Err() != nil {
		return kv.Changes{Revision: after}, nil
	}
	return c, err
}

// Guards against daemons that call a store that is unavailable, or refuses their host, at the full price of a read. Hundreds of
// daemons paid more for an outage than for the rest of the day (11,664 calls).
func TestOutageCostsFewCalls(t *testing.T) {
	const outage = 20 * time.Second
	for _, c := range []struct {
		peers       int // in the failure domain, with names before this daemon's
		least, most int64
	}{{0, 10, 35}, {39, 5, 12}} {
		synctest.Test(t, func(t *testing.T) {
			inner := memkv.New()
			for i := range c.peers {
				if _, err := inner.CAS(t.Context(), fmt.Sprintf("%sa%02d", memberPrefix, i), []byte("a a:1"), kv.Revision{}, 0); err != nil {
					t.Fatal(err)
				}
			}
			store := &meteredStore{Store: inner}
			g := testGateway(store)
			g.spec.Propagation = 4 * time.Second
			go g.view.run()
			go g.maintainMembership()
			time.Sleep(5 * time.Second)
			store.down.Store(true)
			time.Sleep(5 * time.Second) // until the outage is noticed
			store.tenths.Store(0)
			time.Sleep(outage)
			if n := store.tenths.Load(); n < c.least || n > c.most {
				t.Errorf("%d peers: an outage of %v costs %d tenths of a read", c.peers, outage, n)
			}
			store.down.Store(false)
			g.view.receive(notice.Message{From: "a00", Revision: numbered(1), After: numbered(1), StoreRecovered: true})
			time.Sleep(200 * time.Millisecond)
			if g.view.unavailable.Load() {
				t.Errorf("%d peers: the store is treated as unavailable after a notification of its recovery", c.peers)
			}
			g.cancel()
		})
	}
}

// Guards against a start that costs more calls than needed: a daemon read the entry of its earlier process, which the first poll
// had returned, again before it replaced it.
func TestStartCostsFewCalls(t *testing.T) {
	const mostTenths = 3 * 10 // for the first poll, the lease and the entry
	synctest.Test(t, func(t *testing.T) {
		inner := memkv.New()
		lease, err := inner.Grant(t.Context(), memberTTL)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := inner.CAS(t.Context(), memberPrefix+"d0", []byte("a"), kv.Revision{}, lease); err != nil {
			t.Fatal(err)
		}
		store := &meteredStore{Store: inner}
		g := testGateway(store)
		g.spec.Propagation = 4 * time.Second
		go g.view.run()
		go g.maintainMembership()
		time.Sleep(500 * time.Millisecond)
		if n := store.tenths.Load(); n > mostTenths || g.view.lease.Load() == 0 {
			t.Errorf("a start costs %d tenths of a read, lease %d", n, g.view.lease.Load())
		}
		g.cancel()
	})
}

// Guards against daemons that each poll the store while the leader is unresponsive. The leader of each failure domain must poll
// before its peers, so that it can notify them.
func TestDomainLeaderPollsBeforeItsPeers(t *testing.T) {
	g := testGateway(memkv.New())
	g.spec.Name, g.spec.Propagation = "d1", 4*time.Second
	member := func(name, domain string) kv.Entry {
		return kv.Entry{Key: memberPrefix + name, Value: []byte(domain + " a:1"), Revision: numbered(1)}
	}
	g.view.isLoaded.Store(true)
	g.view.advance(kv.Changes{Reset: true, Revision: numbered(5), Entries: []kv.Entry{member("c0", "b"), member("d1", "a"), member("d2", "a")}}, time.Now())
	domainLeader := g.view.pollInterval(g.view.isLeader())
	g.spec.Name = "d2"
	for range 1000 {
		if other := g.view.pollInterval(g.view.isLeader()); other <= domainLeader || other > g.view.maxPollInterval() {
			t.Fatalf("the domain leader polls after %v, another daemon after %v, the longest interval is %v", domainLeader, other, g.view.maxPollInterval())
		}
	}
	if leader := time.Duration((leaderPollShare + leaderWaitShare) * float64(g.view.maxPollInterval())); domainLeader <= leader {
		t.Errorf("the domain leader polls after %v, within the time of up to %v in which the leader sends notifications", domainLeader, leader)
	}
}

// Guards against a membership that is not restored after its lease has expired.
func TestMembershipReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memkv.New()
		g := testGateway(store)
		go g.view.run()
		go g.maintainMembership()
		time.Sleep(time.Second)
		if n := g.members(); n != 1 {
			t.Errorf("%d members, want 1", n)
		}
		if err := store.Revoke(t.Context(), kv.LeaseID(g.view.lease.Load())); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * memberTTL)
		if _, err := store.Get(t.Context(), memberPrefix+"d0"); err != nil {
			t.Errorf("membership after its lease expired: %v", err)
		}
		g.cancel()
	})
}

// Guards against a daemon that can't read the store until the entry of its earlier process has expired: registering failed, which
// was treated as a sign that the store is unavailable. After all hosts lost power, daemons had no configuration for 4.6 s.
func TestRestartBeforeOldEntryEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memkv.New()
		lease, err := store.Grant(t.Context(), memberTTL)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := store.CAS(t.Context(), memberPrefix+"d0", []byte("a"), kv.Revision{}, lease); err != nil {
			t.Fatal(err)
		}
		slow := &slowStore{Store: store}
		g := testGateway(slow)
		go g.view.run()
		go g.maintainMembership()
		time.Sleep(time.Second)
		if !g.view.loaded() {
			t.Error("the store has not been read one second after the start")
		}
		if id := kv.LeaseID(g.view.lease.Load()); id == 0 || id == lease {
			t.Errorf("membership under lease %d, want a new one; the earlier process has lease %d", id, lease)
		}
		g.cancel()
	})
}

// slowStore delays each watch, as the read of a large configuration does.
type slowStore struct{ kv.Store }

// Watch implements kv.Store.
func (s *slowStore) Watch(ctx context.Context, prefix string, after kv.Revision) (kv.Changes, error) {
	timer := time.NewTimer(400 * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return s.Store.Watch(ctx, prefix, after)
	case <-ctx.Done():
		return kv.Changes{}, kv.ErrUnavailable
	}
}

// canaryGateway returns a gateway with a release of service "s" from "v1" to "v2" in its canary phase, and one endpoint of each
// version.
func canaryGateway(t *testing.T) (*Gateway, *object.Release) {
	t.Helper()
	g := testGateway(memkv.New())
	g.spec.Exposure, g.spec.SessionGap = release.Limit{Share: 1}, 2*time.Second
	rel := &object.Release{Service: "s", TargetVersion: "v2", Duration: time.Minute, State: object.ReleaseRunning, Order: numbered(7)}
	g.pool.SetHosts(hostlist.List{Hosts: []hostlist.Host{
		{ID: "e1", Role: hostlist.RoleEndpoint, Service: "s", Domain: "a", Addr: "a:1", State: hostlist.StateLive, Release: "v1"},
		{ID: "e2", Role: hostlist.RoleEndpoint, Service: "s", Domain: "a", Addr: "a:2", State: hostlist.StateLive, Release: "v2"},
	}}, time.Now())
	g.releases.track(rel, time.Now())
	return g, rel
}

// canarySession returns a session that belongs to the canary share.
func canarySession(g *Gateway) uint64 {
	for s := uint64(1); ; s++ {
		if release.InCanary(s, true, g.spec.Exposure.Share) {
			return s
		}
	}
}

// Guards against a session that changes its version while it is in use, at this daemon or another one.
func TestTrialLeavesSessionsInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, rel := canaryGateway(t)
		session := canarySession(g)
		view := config.Index(config.Revision{Number: 2}, object.Set{Releases: []object.Release{*rel}})
		inCanary := func() bool {
			only, _ := g.releases.Assign(view, "s", session, true, false)
			return only == "v2"
		}
		if inCanary() {
			t.Error("in the canary before the daemons could notify each other of the sessions in use")
		}
		time.Sleep(3 * time.Second)
		g.releases.receive(notice.Message{Service: "s", Order: numbered(7), Session: session, InUseFor: 4 * time.Second})
		if inCanary() {
			t.Error("a session that another daemon serves on the old version is in the canary")
		}
		g.releases.receive(notice.Message{Service: "s", Order: numbered(6), Session: session, InUseFor: time.Minute})
		time.Sleep(4 * time.Second)
		if !inCanary() {
			t.Error("a session that is no longer in use is not in the canary")
		}
		if only, not := g.releases.Assign(view, "s", session, true, true); only != "" || not != "v2" {
			t.Errorf("a retry is restricted to %q and excluded from %q, want \"\" and \"v2\"", only, not)
		}
		g.releases.Used("s", "v1", "team", session, 5*time.Second, false)
		if inCanary() {
			t.Error("a session with a request on the old version is in the canary")
		}
		g.releases.receive(notice.Message{Service: "s", Order: numbered(7), Phase: string(release.Promoted)})
		if !inCanary() {
			t.Error("a session stays on the old version in the phase in which all are moved")
		}
		g.releases.receive(notice.Message{Service: "s", Order: numbered(7), Phase: string(release.Reverted)})
		if inCanary() {
			t.Error("a session goes to a version that was reverted")
		}
		g.releases.receive(notice.Message{Service: "s", Order: numbered(7), Phase: string(release.Promoted)})
		if inCanary() {
			t.Error("an outdated message brings back a version that was reverted")
		}
		g.cancel()
	})
}

// attempt is the result of an attempt at an endpoint of the service "s".
func attempt(version, endpoint string, failed bool) dispatch.RoutedAttempt {
	a := dispatch.RoutedAttempt{Route: "r", Service: "s", Release: version, Endpoint: endpoint, Status: 200, Latency: 100 * time.Millisecond}
	if failed {
		a.Status = 500
	}
	return a
}

// sendAttempt records the beginning and the end of an attempt.
func sendAttempt(g *Gateway, a dispatch.RoutedAttempt) {
	g.releases.begin(a)
	g.releases.end(a)
}

// peerEvidenceOf returns the evidence of a daemon whose old version answered 50 requests, and whose new one failed some.
func peerEvidenceOf(answers, failures int) release.Evidence {
	e := release.Evidence{Requests: int64(50 + answers), Exposed: int64(answers)}
	for range 50 {
		e.Record(release.Answer{Route: "r"})
	}
	for i := range answers {
		e.Record(release.Answer{Route: "r", Endpoint: strconv.Itoa(i), New: true, Failed: i < failures})
	}
	return e
}

// Guards against evidence of other daemons that is ignored or counted twice, and against impossible evidence that is counted.
func TestEvidenceOfOtherDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, rel := canaryGateway(t)
		bad := peerEvidenceOf(6, 2)
		for range 5 { // the same evidence again from one daemon
			g.releases.receive(notice.Message{Service: "s", Order: numbered(7), From: "d1", Evidence: bad.Encode()})
		}
		g.releases.receive(notice.Message{Service: "s", Order: numbered(7), From: "d9", Evidence: []byte{1, 9}})
		g.releases.receive(notice.Message{Service: "s", Order: numbered(6), From: "d8", Evidence: bad.Encode()})
		g.releases.evaluate(rel, time.Now())
		if p := g.releases.phase(rel); p != release.Canary {
			t.Errorf("phase %s after two failures, want %s", p, release.Canary)
		}
		g.releases.receive(notice.Message{Service: "s", Order: numbered(7), From: "d2", Evidence: bad.Encode()})
		g.releases.receive(notice.Message{Service: "s", Order: numbered(7), From: "d3", Evidence: bad.Encode()})
		g.releases.evaluate(rel, time.Now())
		if p := g.releases.phase(rel); p != release.Reverted {
			t.Errorf("phase %s after 6 of 18 answers failed at three daemons, want %s", p, release.Reverted)
		}
		g.cancel()
	})
}

// Guards against a release that ends late because daemons started during it and count its duration from their own start.
func TestReleaseAgeAfterStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, rel := canaryGateway(t)
		rel.Duration = 20 * time.Second
		for i := range 400 {
			sendAttempt(g, attempt("v1", "", false))
			if i < 20 {
				sendAttempt(g, attempt("v2", strconv.Itoa(i), false))
			}
		}
		g.releases.receive(notice.Message{Service: "s", Order: numbered(7), From: "d1", Age: 19 * time.Second})
		g.releases.evaluate(rel, time.Now())
		g.releases.evaluate(rel, time.Now())
		if p := g.releases.phase(rel); p != release.Promoted {
			t.Errorf("phase %s 19 s after an order with a duration of 20 s, want %s", p, release.Promoted)
		}
		g.cancel()
	})
}

// Guards against evidence that a restart of its daemon, or of this one, takes away.
func TestEvidenceSurvivesRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, rel := canaryGateway(t)
		total := func() int64 {
			g.releases.mu.Lock()
			defer g.releases.mu.Unlock()
			return g.releases.tracked["s"].evidence.total(g.releases.baselines, time.Now()).Requests
		}
		for _, m := range []struct {
			incarnation int64
			answers     int
			want        int64
		}{{1, 6, 56}, {1, 8, 58}, {1, 6, 58}, {2, 2, 58 + 52}, {1, 9, 58 + 52}, {2, 4, 58 + 54}} {
			g.releases.receive(notice.Message{Service: "s", Order: numbered(7), From: "d1", Incarnation: m.incarnation, Evidence: peerEvidenceOf(m.answers, 0).Encode()})
			if got := total(); got != m.want {
				t.Errorf("%d requests after those of incarnation %d with %d answers, want %d", got, m.incarnation, m.answers, m.want)
			}
		}
		all := peerEvidenceOf(400, 0)
		g.releases.receive(notice.Message{Service: "s", Order: numbered(7), From: "d1", Domain: g.spec.Domain, Evidence: all.Encode()})
		if got := total(); got != all.Requests {
			t.Errorf("%d requests although the domain's other daemons know of %d", got, all.Requests)
		}
		_ = rel
		g.cancel()
	})
}

// Guards against a release that continues although this daemon's own evidence is enough to revert it.
func TestBadReleaseTakenBackAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, rel := canaryGateway(t)
		for range 60 {
			sendAttempt(g, attempt("v1", "", false))
		}
		for i := range 8 {
			sendAttempt(g, attempt("v2", strconv.Itoa(i), i%2 == 0))
		}
		g.releases.evaluate(rel, time.Now())
		if p := g.releases.phase(rel); p != release.Reverted {
			t.Errorf("phase %s, want %s", p, release.Reverted)
		}
		g.cancel()
	})
}

// Guards against slow answers that count only when they come, and so are missed until it is too late.
func TestUnansweredAttemptsCountAsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, rel := canaryGateway(t)
		for range 60 {
			sendAttempt(g, attempt("v1", "", false))
		}
		for i := range 12 {
			a := attempt("v2", strconv.Itoa(i), false)
			a.Request = strconv.Itoa(i)
			g.releases.begin(a)
		}
		g.releases.evaluate(rel, time.Now())
		if p := g.releases.phase(rel); p != release.Canary {
			t.Errorf("phase %s when the requests have just been sent, want %s", p, release.Canary)
		}
		time.Sleep(time.Second)
		g.releases.evaluate(rel, time.Now())
		if p := g.releases.phase(rel); p != release.Reverted {
			t.Errorf("phase %s with 12 of 12 answers outstanding for ten times the usual latency, want %s", p, release.Reverted)
		}
		g.cancel()
	})
}

// numbered returns a revision of era 0.
func numbered(n uint64) kv.Revision { return kv.Revision{Number: n} }
