package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/kv/memkv"
	"github.com/bramleytrail/bramleytrail/notice"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/observe"
	"github.com/bramleytrail/bramleytrail/release"
)

// watchTimeout is the time after which a silent store's watch ends.
const watchTimeout = 3500 * time.Millisecond

// fakeStore is a key-value store that can fall silent.
type fakeStore struct {
	kv.Store
	mu       sync.Mutex
	silent   bool
	revision uint64
	reset    []kv.Entry // the next watch returns these as the whole content
	changes  []kv.Entry // the next watch returns these as changes
	calls    int
	quick    bool // watches do not wait for changes
}

func (s *fakeStore) set(silent bool, reset []kv.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent, s.reset = silent, reset
}

// change lets the store answer again, with changes.
func (s *fakeStore) change(changes []kv.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent, s.changes = false, changes
}

func (s *fakeStore) wait(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	<-ctx.Done()
	return kv.ErrUnavailable
}

// Get implements kv.Store.
func (s *fakeStore) Get(ctx context.Context, _ string) (kv.Entry, error) {
	s.mu.Lock()
	silent := s.silent
	s.calls++
	s.mu.Unlock()
	if silent {
		return kv.Entry{}, s.wait(ctx, time.Second)
	}
	return kv.Entry{}, kv.ErrNotFound
}

// Watch implements kv.Store. It returns at once when there is a new content, else after its time limit.
func (s *fakeStore) Watch(ctx context.Context, _ string, _ uint64) (kv.Changes, error) {
	for range 100 {
		s.mu.Lock()
		silent, reset := s.silent, s.reset
		changes := s.changes
		s.reset, s.changes = nil, nil
		if reset != nil || changes != nil {
			s.revision++
		}
		revision := s.revision
		s.mu.Unlock()
		switch {
		case silent:
			return kv.Changes{}, s.wait(ctx, watchTimeout)
		case reset != nil:
			return kv.Changes{Reset: true, Entries: reset, Revision: revision}, nil
		case changes != nil:
			return kv.Changes{Entries: changes, Revision: revision}, nil
		}
		if s.quick {
			break
		}
		_ = s.wait(ctx, 25*time.Millisecond)
	}
	return kv.Changes{Revision: s.revision}, nil
}

// fakeDocuments knows endpoints only, whose values are their addresses.
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

func testGateway(store kv.Store) *Gateway {
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := New(Spec{Name: "d0", Domain: "a", CallerAddr: "127.0.0.1:0", ReadyAddr: "127.0.0.1:0", Grace: time.Second, MemoryBytes: 64 << 20, Store: store,
		Documents: fakeDocuments{}, Log: log, Metrics: observe.NewMetrics()})
	set := object.Set{FailureDomains: []object.FailureDomain{{Name: "a", State: object.DomainIn}}, Services: []object.Service{{Name: "s", Type: object.ServicePlain, Routed: &object.RoutedService{}}}}
	g.config.Put(config.Index(config.Revision{Number: 1}, set))
	return g
}

// Guards against a daemon that asks a silent store again only after the watch's own time limit, and then serves with an
// old configuration after the store is back (CONFIG, nac-hulling trouble-3).
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
			back := time.Now()
			for g.pool.Usable("s", "v1", time.Now()) < 2 {
				time.Sleep(10 * time.Millisecond)
			}
			if d := time.Since(back); d > 1500*time.Millisecond {
				t.Errorf("store noticed %v after its return", d)
			}
			store.set(false, []kv.Entry{{Key: "e1", Value: []byte("a:1")}})
			time.Sleep(lapsedKeep + 3*time.Second)
			if n := g.pool.Usable("s", "v1", time.Now()); n != 1 {
				t.Errorf("%d endpoints after one is gone for longer than %v", n, lapsedKeep)
			}
		}
		g.cancel()
	})
}

// Guards against endpoints that are forgotten at once when their entries lapsed while the store was away.
func TestLapsedEntriesStayForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{reset: []kv.Entry{{Key: "e1", Value: []byte("a:1")}, {Key: "e2", Value: []byte("a:2")}}}
		g := testGateway(store)
		go g.view.run()
		time.Sleep(time.Second)
		store.set(false, []kv.Entry{})
		time.Sleep(time.Second)
		if n := g.pool.Usable("s", "v1", time.Now()); n != 2 {
			t.Errorf("%d endpoints one second after their entries lapsed", n)
		}
		g.cancel()
	})
}

// Guards against endpoints that are dropped when the store is back because their entries lapsed with it: the first changes
// after an outage then remove all of them, and requests find none until they are back (platform_down with lapse).
func TestRemovalsAfterAnOutageWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{reset: []kv.Entry{{Key: "e1", Value: []byte("a:1")}, {Key: "e2", Value: []byte("a:2")}}}
		g := testGateway(store)
		go g.view.run()
		time.Sleep(time.Second)
		store.set(true, nil)
		time.Sleep(2 * watchTimeout)
		store.change([]kv.Entry{{Key: "e1", Deleted: true}, {Key: "e2", Deleted: true}})
		time.Sleep(lapsedKeep - 100*time.Millisecond)
		if n := g.pool.Usable("s", "v1", time.Now()); n != 2 {
			t.Errorf("%d endpoints shortly after their entries lapsed", n)
		}
		store.change([]kv.Entry{{Key: "e1", Value: []byte("a:1")}})
		time.Sleep(retryMost + watchTimeout + lapsedKeep)
		if n := g.pool.Usable("s", "v1", time.Now()); n != 1 {
			t.Errorf("%d endpoints after one came back", n)
		}
		store.change([]kv.Entry{{Key: "e1", Deleted: true}})
		time.Sleep(time.Second)
		if n := g.pool.Usable("s", "v1", time.Now()); n != 0 {
			t.Errorf("%d endpoints after the last one left, long after the outage", n)
		}
		g.cancel()
	})
}

// Guards against an endpoint that leaves soon after an outage and is taken for one whose entry lapsed with the store: it stayed in use for
// the whole time from then, past the bound for endpoints that leave (DRAIN, nac-hulling, deploy/days/turned-away.toml --vary --seed
// 1017348058013).
func TestLeaveSoonAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{quick: true, reset: []kv.Entry{{Key: "e1", Value: []byte("a:1")}, {Key: "e2", Value: []byte("a:2")}}}
		g := testGateway(store)
		go g.view.run()
		time.Sleep(time.Second)
		store.set(true, nil)
		time.Sleep(2 * watchTimeout)
		store.set(false, nil)
		for g.view.lost.Load() {
			time.Sleep(10 * time.Millisecond)
		}
		back := time.Now()
		time.Sleep(lapsedKeep - 500*time.Millisecond)
		store.change([]kv.Entry{{Key: "e1", Deleted: true}})
		time.Sleep(time.Until(back.Add(lapsedKeep + 100*time.Millisecond)))
		if n := g.pool.Usable("s", "v1", time.Now()); n != 1 {
			t.Errorf("%d endpoints after the time in which those that live are back", n)
		}
		g.cancel()
	})
}

// Guards against endpoints that stay in use while nothing changes although their time to come back is over.
func TestLapsedEntriesEndInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{quick: true, reset: []kv.Entry{{Key: "e1", Value: []byte("a:1")}}}
		g := testGateway(store)
		g.spec.Propagation = time.Hour // one call only
		go g.view.run()
		time.Sleep(time.Second)
		g.view.mu.Lock()
		g.view.lapsed["e1"] = time.Now().Add(lapsedKeep)
		g.view.mu.Unlock()
		g.view.suspect() // run looks at it
		time.Sleep(lapsedKeep + 300*time.Millisecond)
		if n := g.pool.Usable("s", "v1", time.Now()); n != 0 {
			t.Errorf("%d endpoints after their time", n)
		}
		g.cancel()
	})
}

// fakeTold returns a message about the store.
func fakeTold(after, revision uint64, changes ...notice.Change) notice.Message {
	return notice.Message{After: after, Revision: revision, Changes: changes}
}

// Guards against changes that other daemons tell and that are lost, put in force with a gap before them, out of order, or
// without a list of one's own; and against operators' documents that are taken from another daemon.
func TestToldChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := testGateway(memkv.New())
		v := g.view
		endpoint := func(n uint64, addr string) notice.Change {
			return notice.Change{Key: "e1", Value: []byte(addr), Revision: n}
		}
		usable := func() int { return g.pool.Usable("s", "v1", time.Now()) }
		if v.believe(fakeTold(0, 5, endpoint(5, "a:1")), time.Now()) || usable() != 0 {
			t.Error("a daemon without a list of its own believed another one")
		}
		v.follow(kv.Changes{Reset: true, Revision: 5, Entries: []kv.Entry{{Key: "e1", Value: []byte("a:1"), Revision: 4}}}, time.Now())
		for _, c := range []struct {
			name string
			m    notice.Message
			ok   bool
			want uint64 // revision in force after it
			n    int
		}{
			{"with a gap", fakeTold(6, 7, notice.Change{Key: "e1", Revision: 7, Deleted: true}), false, 5, 1},
			{"up to date", fakeTold(5, 5), true, 5, 1},
			{"next", fakeTold(5, 6, notice.Change{Key: "e2", Value: []byte("a:2"), Revision: 6}), true, 6, 2},
			{"overlapping", fakeTold(4, 8, endpoint(5, "old:1"), notice.Change{Key: "e2", Revision: 8, Deleted: true}), true, 8, 1},
			{"older", fakeTold(4, 7, notice.Change{Key: "e1", Revision: 7, Deleted: true}), false, 8, 1},
		} {
			if ok := v.believe(c.m, time.Now()); ok != c.ok || v.revision != c.want || usable() != c.n {
				t.Errorf("%s: believed %v, revision %d with %d endpoints", c.name, ok, v.revision, usable())
			}
		}
		if h := v.endpoints["e1"]; h.Addr != "a:1" {
			t.Errorf("an older entry of the endpoint was used: %+v", h)
		}
		g.cancel()
	})
}

// Guards against changes that do not fit in one message and are not told at all, or told so that a receiver takes a part for the
// whole; and against messages that grow with the square of the daemons, since each tells all others.
func TestManyChangesAreToldInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender, receiver := testGateway(memkv.New()).view, testGateway(memkv.New()).view
		receiver.revision = 100
		var c kv.Changes
		for i := range 300 {
			c.Entries = append(c.Entries, kv.Entry{Key: fmt.Sprintf("e%03d", i), Value: bytes.Repeat([]byte("x"), 200), Revision: uint64(400 - i)})
		}
		c.Revision = 400
		list := sender.messages(100, c)
		if len(list) < 2 {
			t.Fatalf("%d messages for 300 changes of 200 bytes", len(list))
		}
		for i, m := range list {
			if data, err := msgpack.Marshal(&m); err != nil || len(data) > notice.MaxBytes || len(m.Changes) > notice.MaxChanges {
				t.Errorf("message %d: %d changes in %d bytes, %v", i, len(m.Changes), len(data), err)
			}
			if !receiver.believe(m, time.Now()) {
				t.Errorf("message %d not believed", i)
			}
		}
		if receiver.revision != 400 || len(receiver.endpoints) != 300 {
			t.Errorf("revision %d with %d endpoints", receiver.revision, len(receiver.endpoints))
		}
		receiver.revision = 100
		if receiver.believe(list[1], time.Now()) {
			t.Error("the second message was believed without the first")
		}
		member := func(name, domain string) kv.Entry {
			return kv.Entry{Key: memberPrefix + name, Value: []byte(domain + " a:1")}
		}
		for _, e := range []kv.Entry{member("d0", "a"), member("c0", "b"), member("d1", "a")} {
			sender.own[e.Key] = e
		}
		if !sender.tells() || sender.near() != 1 {
			t.Errorf("the first daemon of its domain tells: %v; %d others are near", sender.tells(), sender.near())
		}
		sender.own[memberPrefix+"a0"] = member("a0", "a")
		if sender.tells() {
			t.Error("the second daemon of its domain tells the others")
		}
	})
}

// Guards against a daemon that fills its link, and the links between failure domains, with news of thousands of endpoints for
// hundreds of daemons (sweep of nac-hulling-grown at 300 daemons: 9.6 MB a second).
func TestToldBytesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := testGateway(memkv.New()).view
		for i := range 300 {
			key := fmt.Sprintf("%sd%03d", memberPrefix, i)
			v.own[key] = kv.Entry{Key: key, Value: fmt.Appendf(nil, "%c a:1", 'a'+i%5)}
		}
		m := notice.Message{Revision: 2, After: 1, Changes: []notice.Change{{Key: "servers/i-0123456789", Value: make([]byte, 200), Revision: 2}}}
		const span = 20 * time.Second
		sent := 0
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			if v.mayTell(m, true) {
				sent += (v.near() + v.relays()) * messageSize(m)
			}
		}
		if limit := leastTold * int(span/time.Second+2); sent == 0 || sent > limit {
			t.Errorf("%d bytes in %v, the limit is %d", sent, span, limit)
		}
	})
}

// staleStore gives what it holds to stale reads.
type staleStore struct {
	kv.Store
	entry kv.Entry
	err   error
}

// GetStale implements kv.StaleReader.
func (s *staleStore) GetStale(context.Context, string) (kv.Entry, error) { return s.entry, s.err }

// Guards against operators' documents that are taken from another daemon's word, or from a read that is older than the word; and
// against a call for changes by each daemon whenever a document changes.
func TestOperatorsDocumentsAreReadFromTheStore(t *testing.T) {
	held := kv.Entry{Key: "o1", Value: []byte("held"), Revision: 4}
	for _, c := range []struct {
		name     string
		told     notice.Change
		read     kv.Entry
		err      error
		believed bool
		want     string // value in force; empty for none
	}{
		{"read", notice.Change{Key: "o1", Revision: 6, Value: []byte("word")}, kv.Entry{Key: "o1", Value: []byte("read"), Revision: 6}, nil, true, "read"},
		{"newer than the word", notice.Change{Key: "o1", Revision: 6}, kv.Entry{Key: "o1", Value: []byte("newer"), Revision: 9}, nil, true, "newer"},
		{"old read", notice.Change{Key: "o1", Revision: 6, Value: []byte("word")}, held, nil, false, "held"},
		{"store away", notice.Change{Key: "o1", Revision: 6, Value: []byte("word")}, kv.Entry{}, kv.ErrUnavailable, false, "held"},
		{"removed", notice.Change{Key: "o1", Revision: 6, Deleted: true}, kv.Entry{}, kv.ErrNotFound, true, ""},
		{"said to be removed", notice.Change{Key: "o1", Revision: 6, Deleted: true}, held, nil, false, "held"},
		{"new and not there yet", notice.Change{Key: "o1", Revision: 6}, kv.Entry{}, kv.ErrNotFound, false, "held"},
	} {
		v := testGateway(&staleStore{memkv.New(), c.read, c.err}).view
		v.follow(kv.Changes{Reset: true, Revision: 5, Entries: []kv.Entry{held}}, time.Now())
		if got := v.believe(fakeTold(5, 6, c.told), time.Now()); got != c.believed || v.behind == c.believed {
			t.Errorf("%s: believed %v, asks the store at once: %v", c.name, got, v.behind)
		}
		if got := string(v.operator["o1"].Value); got != c.want {
			t.Errorf("%s: %q in force, want %q", c.name, got, c.want)
		}
	}
	v := testGateway(memkv.New()).view
	for _, m := range v.messages(5, kv.Changes{Revision: 6, Entries: []kv.Entry{{Key: "o1", Value: []byte("secret"), Revision: 6}}}) {
		if len(m.Changes) != 1 || m.Changes[0].Value != nil {
			t.Errorf("told %+v", m.Changes)
		}
	}
	put(v.operator, kv.Entry{Key: "o1", Value: []byte("newer"), Revision: 9})
	put(v.operator, kv.Entry{Key: "o1", Value: []byte("older"), Revision: 7})
	if got := string(v.operator["o1"].Value); got != "newer" {
		t.Errorf("%q in force after an older read", got)
	}
}

// Guards against a daemon that was frozen and passes on what has become old: its word on the store, which then changes nothing,
// would put off the calls of daemons that are behind.
func TestOldWordOnTheStoreIsNotCurrent(t *testing.T) {
	v := testGateway(memkv.New()).view
	for i, c := range []struct {
		from    string
		asked   int64
		current bool
	}{
		{"a", 10, true}, {"a", 10, true}, {"a", 20, true}, {"a", 10, false}, {"b", 5, true}, {"a", 20, true}, {"a", 21, true}, {"b", 4, false},
	} {
		if got := v.current(notice.Message{From: c.from, Asked: c.asked}); got != c.current {
			t.Errorf("message %d: current %v", i, got)
		}
	}
}

// Guards against daemons of other failure domains that hear nothing of the store, or of a release, because few of them are sent
// the message; and against bytes between domains that grow with the number of daemons.
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
			g.hear(m)
			if !m.Relay {
				got <- arrival{g.spec.Name, m.From}
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		defer x.Close()
		g.notices.Store(x)
		daemons = append(daemons, g)
		entries = append(entries, kv.Entry{Key: memberPrefix + g.spec.Name, Value: []byte(g.spec.Domain + " " + x.Addr()), Revision: uint64(i + 1)})
	}
	for _, g := range daemons {
		g.view.follow(kv.Changes{Reset: true, Revision: 100, Entries: entries}, time.Now())
	}
	change := kv.Changes{Revision: 101, Entries: []kv.Entry{{Key: "e1", Value: []byte("a:1"), Revision: 101}}}
	daemons[0].view.tell(100, change, time.Now())
	heard := map[string]int{}
	for len(heard) < domains*each-1 { // a daemon that is not told lets the test time out
		a := <-got
		heard[a.daemon]++
	}
	if heard["d00"] > 0 {
		t.Error("the sender got its own message")
	}
	for _, g := range daemons[1:] {
		m := <-g.view.told
		if !g.view.believe(m.Message, time.Now()) || g.view.revision != 101 {
			t.Errorf("%s did not take the change over: revision %d", g.spec.Name, g.view.revision)
		}
	}
}

// countedStore counts the calls for changes.
type countedStore struct {
	kv.Store
	calls atomic.Int64
}

// Watch implements kv.Store without waiting.
func (s *countedStore) Watch(ctx context.Context, prefix string, after uint64) (kv.Changes, error) {
	s.calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	c, err := s.Store.Watch(ctx, prefix, after)
	if err != nil && ctx.Err() != nil {
		return kv.Changes{Revision: after}, nil
	}
	return c, err
}

// Guards against daemons of a failure domain that each ask the store for changes although one has just told the others, and
// against daemons that rely on a word that does not come.
func TestToldDaemonsLeaveTheStoreAlone(t *testing.T) {
	const propagation, span = 2 * time.Second, 20 * time.Second
	for _, told := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			store := &countedStore{Store: memkv.New()}
			revision, err := store.CAS(t.Context(), memberPrefix+"a", nil, 0, 0) // the first daemon is another one
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
				if told {
					g.view.hear(fakeTold(revision, revision))
				}
			}
			n := store.calls.Load()
			if most := int64(span / (propagation / 4)); told && n > 0 || !told && (n < int64(span/propagation) || n > most) {
				t.Errorf("told %v: %d calls in %v", told, n, span)
			}
			g.cancel()
		})
	}
}

// meteredStore counts its calls as the platform prices them, in tenths of a read, also while it is away.
type meteredStore struct {
	kv.Store
	away   atomic.Bool
	tenths atomic.Int64
}

func (s *meteredStore) call(tenths int64) error {
	s.tenths.Add(tenths)
	if s.away.Load() {
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
func (s *meteredStore) CAS(ctx context.Context, key string, value []byte, prev uint64, lease kv.LeaseID) (uint64, error) {
	if err := s.call(10); err != nil {
		return 0, err
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
func (s *meteredStore) Watch(ctx context.Context, prefix string, after uint64) (kv.Changes, error) {
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

// Guards against daemons that ask a store which is away, or refuses their host, with calls at the full price: hundreds of them
// paid more for an outage than for the rest of the day (nac-hulling-large trouble-3, 11,664 calls).
func TestOutageCostsFewCalls(t *testing.T) {
	const outage = 20 * time.Second
	for _, c := range []struct {
		near        int // other daemons of the failure domain, with names before this one's
		least, most int64
	}{{0, 10, 35}, {39, 5, 12}} {
		synctest.Test(t, func(t *testing.T) {
			inner := memkv.New()
			for i := range c.near {
				if _, err := inner.CAS(t.Context(), fmt.Sprintf("%sa%02d", memberPrefix, i), []byte("a a:1"), 0, 0); err != nil {
					t.Fatal(err)
				}
			}
			store := &meteredStore{Store: inner}
			g := testGateway(store)
			g.spec.Propagation = 4 * time.Second
			go g.view.run()
			go g.join()
			time.Sleep(5 * time.Second)
			store.away.Store(true)
			time.Sleep(5 * time.Second) // it is noticed
			store.tenths.Store(0)
			time.Sleep(outage)
			if n := store.tenths.Load(); n < c.least || n > c.most {
				t.Errorf("%d others: an outage of %v costs %d tenths of a read", c.near, outage, n)
			}
			store.away.Store(false)
			g.view.hear(notice.Message{From: "a00", Revision: 1, After: 1, Regained: true})
			time.Sleep(200 * time.Millisecond)
			if g.view.lost.Load() {
				t.Errorf("%d others: the store's return is not noticed though it was told", c.near)
			}
			g.cancel()
		})
	}
}

// Guards against a daemon that reads the entry of its earlier process once more before it replaces it.
func TestStartCostsFewCalls(t *testing.T) {
	const mostTenths = 3 * 10 // the list, the lease, the entry
	synctest.Test(t, func(t *testing.T) {
		inner := memkv.New()
		lease, err := inner.Grant(t.Context(), memberTTL)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := inner.CAS(t.Context(), memberPrefix+"d0", []byte("a"), 0, lease); err != nil {
			t.Fatal(err)
		}
		store := &meteredStore{Store: inner}
		g := testGateway(store)
		g.spec.Propagation = 4 * time.Second
		go g.view.run()
		go g.join()
		time.Sleep(500 * time.Millisecond)
		if n := store.tenths.Load(); n > mostTenths || g.view.lease.Load() == 0 {
			t.Errorf("a start costs %d tenths of a read, lease %d", n, g.view.lease.Load())
		}
		g.cancel()
	})
}

// Guards against daemons that each ask the store while the first one of all is silent: the first one of each failure domain asks
// before the others do, which then hear from it.
func TestFirstOfADomainAsksBeforeTheOthers(t *testing.T) {
	g := testGateway(memkv.New())
	g.spec.Name, g.spec.Propagation = "d1", 4*time.Second
	member := func(name, domain string) kv.Entry {
		return kv.Entry{Key: memberPrefix + name, Value: []byte(domain + " a:1"), Revision: 1}
	}
	g.view.hasList.Store(true)
	g.view.follow(kv.Changes{Reset: true, Revision: 5, Entries: []kv.Entry{member("c0", "b"), member("d1", "a"), member("d2", "a")}}, time.Now())
	near := g.view.pause(g.view.leads())
	g.spec.Name = "d2"
	for range 1000 {
		if other := g.view.pause(g.view.leads()); other <= near || other > g.view.longestPause() {
			t.Fatalf("the first daemon of the domain asks after %v, another one after %v, at most %v", near, other, g.view.longestPause())
		}
	}
	if lead := time.Duration((leadPause + leadWait) * float64(g.view.longestPause())); near <= lead {
		t.Errorf("the first daemon of a domain asks after %v, though that of all tells each %v at most", near, lead)
	}
}

// Guards against a membership that is lost for good when its lease lapses.
func TestMembershipReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memkv.New()
		g := testGateway(store)
		go g.view.run()
		go g.join()
		time.Sleep(time.Second)
		if n := g.members(); n != 1 {
			t.Errorf("%d members", n)
		}
		if err := store.Revoke(t.Context(), kv.LeaseID(g.view.lease.Load())); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * memberTTL)
		if _, err := store.Get(t.Context(), memberPrefix+"d0"); err != nil {
			t.Errorf("membership after its lease lapsed: %v", err)
		}
		g.cancel()
	})
}

// Guards against a daemon that can't read the store for as long as the entry of its earlier process stands: entering then
// failed, which counted as a sign that the store is away (nac-hulling-grown trouble-2, 4.6 s without a configuration after
// all hosts lost power).
func TestRestartBeforeOldEntryEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memkv.New()
		lease, err := store.Grant(t.Context(), memberTTL)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := store.CAS(t.Context(), memberPrefix+"d0", []byte("a"), 0, lease); err != nil {
			t.Fatal(err)
		}
		slow := &slowStore{Store: store}
		g := testGateway(slow)
		go g.view.run()
		go g.join()
		time.Sleep(time.Second)
		if !g.view.listed() {
			t.Error("the store is not read one second after the start")
		}
		if id := kv.LeaseID(g.view.lease.Load()); id == 0 || id == lease {
			t.Errorf("membership under lease %d, that of the earlier process is %d", id, lease)
		}
		g.cancel()
	})
}

// slowStore takes a while for each watch, as a list of a large configuration does.
type slowStore struct{ kv.Store }

// Watch implements kv.Store.
func (s *slowStore) Watch(ctx context.Context, prefix string, after uint64) (kv.Changes, error) {
	timer := time.NewTimer(400 * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return s.Store.Watch(ctx, prefix, after)
	case <-ctx.Done():
		return kv.Changes{}, kv.ErrUnavailable
	}
}

// trialGateway is a gateway with a release of service "s" under way, to which one endpoint of each version belongs.
func trialGateway(t *testing.T) (*Gateway, *object.Release) {
	t.Helper()
	g := testGateway(memkv.New())
	g.spec.ExposureShare, g.spec.SessionGap = 1, 2*time.Second
	rel := &object.Release{Service: "s", Target: "v2", Duration: time.Minute, State: object.ReleaseRunning, Order: 7}
	g.pool.SetHosts(hostlist.List{Hosts: []hostlist.Host{
		{ID: "e1", Role: hostlist.RoleEndpoint, Service: "s", Domain: "a", Addr: "a:1", State: hostlist.StateLive, Release: "v1"},
		{ID: "e2", Role: hostlist.RoleEndpoint, Service: "s", Domain: "a", Addr: "a:2", State: hostlist.StateLive, Release: "v2"},
	}}, time.Now())
	g.releases.track(rel, time.Now())
	return g, rel
}

// trialSession returns a session that belongs to the share on trial.
func trialSession(g *Gateway) uint64 {
	for s := uint64(1); ; s++ {
		if release.OnTrial(s, g.spec.ExposureShare) {
			return s
		}
	}
}

// Guards against a session that changes its version while it is in use, also at another daemon (PINNED, nac-hulling-grown
// quiet-1 --small).
func TestTrialLeavesSessionsInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, rel := trialGateway(t)
		session := trialSession(g)
		view := config.Index(config.Revision{Number: 2}, object.Set{Releases: []object.Release{*rel}})
		onTrial := func() bool {
			only, _ := g.releases.Assign(view, "s", session, false)
			return only == "v2"
		}
		if onTrial() {
			t.Error("on trial before the daemons could tell each other which sessions are in use")
		}
		time.Sleep(3 * time.Second)
		g.releases.hear(notice.Message{Service: "s", Order: 7, Session: session, For: 4 * time.Second})
		if onTrial() {
			t.Error("a session that another daemon serves on the old version is on trial")
		}
		g.releases.hear(notice.Message{Service: "s", Order: 6, Session: session, For: time.Minute})
		time.Sleep(4 * time.Second)
		if !onTrial() {
			t.Error("a session that is no longer in use is not on trial")
		}
		if only, not := g.releases.Assign(view, "s", session, true); only != "" || not != "v2" {
			t.Errorf("after a failure the session goes to %q, not to %q", only, not)
		}
		g.releases.Used("s", "v1", session, 5*time.Second, false)
		if onTrial() {
			t.Error("a session with a request on the old version is on trial")
		}
		g.releases.hear(notice.Message{Service: "s", Order: 7, Phase: string(release.Moved)})
		if !onTrial() {
			t.Error("a session stays on the old version after all were moved")
		}
		g.releases.hear(notice.Message{Service: "s", Order: 7, Phase: string(release.Reverted)})
		if onTrial() {
			t.Error("a session goes to a version that was taken back")
		}
		g.releases.hear(notice.Message{Service: "s", Order: 7, Phase: string(release.Moved)})
		if onTrial() {
			t.Error("an old message brings back a version that was taken back")
		}
		g.cancel()
	})
}

// Guards against evidence of other daemons that is not counted, or counted twice, or made up.
func TestEvidenceOfOtherDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, rel := trialGateway(t)
		bad := release.Evidence{New: release.Counts{Answers: 4, Failures: 1}, Old: release.Counts{Answers: 50}}
		for range 5 { // repeated, from one daemon
			g.releases.hear(notice.Message{Service: "s", Order: 7, From: "d1", Evidence: bad.Numbers()})
		}
		g.releases.hear(notice.Message{Service: "s", Order: 7, From: "d9", Evidence: [6]int64{-4, 9}})
		g.releases.hear(notice.Message{Service: "s", Order: 6, From: "d8", Evidence: bad.Numbers()})
		g.releases.step(rel, time.Now())
		if p := g.releases.phase(rel); p != release.Trial {
			t.Errorf("phase %s after one failure", p)
		}
		g.releases.hear(notice.Message{Service: "s", Order: 7, From: "d2", Evidence: bad.Numbers()})
		g.releases.hear(notice.Message{Service: "s", Order: 7, From: "d3", Evidence: bad.Numbers()})
		g.releases.step(rel, time.Now())
		if p := g.releases.phase(rel); p != release.Reverted {
			t.Errorf("phase %s after three failures of 12 at three daemons", p)
		}
		g.cancel()
	})
}

// Guards against a release that is late because daemons started during it and count its time anew (gdct-lampdesk scale-1).
func TestReleaseAgeAfterStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, rel := trialGateway(t)
		rel.Duration = 20 * time.Second
		for range 40 {
			g.releases.Count("s", "v1", false, 100*time.Millisecond)
			g.releases.Count("s", "v2", false, 100*time.Millisecond)
		}
		g.releases.hear(notice.Message{Service: "s", Order: 7, From: "d1", Age: 15 * time.Second})
		g.releases.step(rel, time.Now())
		g.releases.step(rel, time.Now())
		if p := g.releases.phase(rel); p != release.Moved {
			t.Errorf("phase %s 15 s after an order for 20 s", p)
		}
		g.cancel()
	})
}

// Guards against a version that goes on although this daemon alone has seen that it fails.
func TestBadReleaseTakenBackAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, rel := trialGateway(t)
		for range 20 {
			g.releases.Count("s", "v1", false, 100*time.Millisecond)
		}
		for i := range 8 {
			g.releases.Count("s", "v2", i%2 == 0, 100*time.Millisecond)
		}
		g.releases.step(rel, time.Now())
		if p := g.releases.phase(rel); p != release.Reverted {
			t.Errorf("phase %s", p)
		}
		g.cancel()
	})
}
