package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/declare"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/kv/memkv"
	"github.com/bramleytrail/bramleytrail/ledger"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/observe"
	"github.com/bramleytrail/bramleytrail/peer"
	"github.com/bramleytrail/bramleytrail/poison"
	"github.com/bramleytrail/bramleytrail/quality"
	"github.com/bramleytrail/bramleytrail/rollout"
	"github.com/bramleytrail/bramleytrail/standin"
)

// convergenceTime is the time within which a configuration must be in force at all daemons.
const convergenceTime = 20 * time.Second

var errPlatformUnreachable = errors.New("platform unreachable")

// platformGate is a daemon's connection to the platform, which tests can block or stall.
type platformGate struct {
	store kv.Store
	hosts hostlist.Source

	mu        sync.Mutex
	reachable context.Context // done while blocked, which ends pending calls
	block     context.CancelFunc

	connected    context.Context // done when the connections of pending long polls stall
	stallPending context.CancelFunc
}

func newPlatformGate(f *fleet) *platformGate {
	g := &platformGate{store: f.store, hosts: f.hosts}
	g.setBlocked(false)
	g.connected, g.stallPending = context.WithCancel(context.Background())
	return g
}

// stallConnections stalls the connections of pending long polls for good. New calls work.
func (g *platformGate) stallConnections() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stallPending()
	g.connected, g.stallPending = context.WithCancel(context.Background())
}

// longPoll makes a call that waits for a change. If its connection stalls, the call does not return before ctx is done.
func (g *platformGate) longPoll(ctx context.Context, call func(context.Context) error) error {
	ctx, cancel, err := g.enter(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	g.mu.Lock()
	connected := g.connected
	g.mu.Unlock()
	callCtx, end := context.WithCancel(ctx)
	defer end()
	defer context.AfterFunc(connected, end)()
	err = call(callCtx)
	if connected.Err() != nil {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

// setBlocked blocks or unblocks all calls. Blocking fails those that are pending.
func (g *platformGate) setBlocked(blocked bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.block != nil && blocked {
		g.block()
	}
	if !blocked && (g.block == nil || g.reachable.Err() != nil) {
		g.reachable, g.block = context.WithCancel(context.Background())
	}
}

// enter returns a context for a call that ends when the platform becomes unreachable, or an error while it is.
func (g *platformGate) enter(ctx context.Context) (context.Context, context.CancelFunc, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.reachable.Err() != nil {
		return nil, nil, errPlatformUnreachable
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(g.reachable, cancel)
	return ctx, func() { stop(); cancel() }, nil
}

// gatedStore is a kv.Store behind a platformGate. Only the methods that documents call are gated.
type gatedStore struct {
	kv.Store
	gate *platformGate
}

func (s gatedStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	ctx, cancel, err := s.gate.enter(ctx)
	if err != nil {
		return kv.Entry{}, err
	}
	defer cancel()
	return s.Store.Get(ctx, key)
}

func (s gatedStore) CAS(ctx context.Context, key string, v []byte, prev kv.Revision, l kv.LeaseID) (kv.Revision, error) {
	ctx, cancel, err := s.gate.enter(ctx)
	if err != nil {
		return kv.Revision{}, err
	}
	defer cancel()
	return s.Store.CAS(ctx, key, v, prev, l)
}

func (s gatedStore) Watch(ctx context.Context, prefix string, after kv.Revision) (c kv.Changes, err error) {
	err = s.gate.longPoll(ctx, func(ctx context.Context) (err error) {
		c, err = s.Store.Watch(ctx, prefix, after)
		return err
	})
	return c, err
}

// List implements hostlist.Source.
func (g *platformGate) List(ctx context.Context, known uint64) (l hostlist.List, err error) {
	err = g.longPoll(ctx, func(ctx context.Context) (err error) {
		g.mu.Lock()
		hosts := g.hosts
		g.mu.Unlock()
		l, err = hosts.List(ctx, known)
		return err
	})
	return l, err
}

// testDaemon runs only the part of a daemon that distributes documents.
type testDaemon struct {
	host   hostlist.Host
	docs   *documents
	node   *peer.Node
	gate   *platformGate
	cancel context.CancelFunc
	done   chan struct{}
}

// fleet is a set of test daemons on an in-memory network, under a fake clock.
type fleet struct {
	t         *testing.T
	net       *standin.MemNet
	store     *memkv.Store
	hosts     hostlist.Source
	fakeHosts *hostlist.Fake
	daemons   []*testDaemon

	mu         sync.Mutex
	violations []string
}

func newFleet(t *testing.T) *fleet {
	list := hostlist.NewFake()
	return &fleet{t: t, net: standin.NewMemNet(), store: memkv.New(), hosts: list, fakeHosts: list}
}

// start starts a test daemon. It records a violation if a configuration comes into force that is not newer than the last one.
func (f *fleet) start(id, domain string, seeds ...string) *testDaemon {
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	d := &testDaemon{gate: newPlatformGate(f), cancel: cancel, done: make(chan struct{})}
	d.host = hostlist.Host{ID: id, Addr: id, Domain: domain, Role: hostlist.RoleEntry, State: hostlist.StateLive}
	holder := &config.Holder{}
	var last config.Revision
	holder.OnChange(func(v *config.View) {
		if !v.Revision.Newer(last) {
			f.addViolation("%s went from revision %d to %d", id, last.Number, v.Revision.Number)
		}
		last = v.Revision
	})
	d.docs = &documents{ctx: ctx, spec: documentsSpec{
		Platform: Platform{Store: gatedStore{f.store, d.gate}, Hosts: d.gate}, Config: holder, Metrics: observe.NewMetrics(), Log: log,
		OnHosts: func(hostlist.List) {},
	}}
	rng := rand.New(rand.NewPCG(1, uint64(len(f.daemons))))
	var err error
	d.node, err = peer.New(peer.Spec{
		Self: d.host, Handler: docsHandler{d.docs}, Poison: poison.NewTable(), Log: log, Now: time.Now, Dial: f.net.DialerFrom(id), Rand: rng.Int64N, Seeds: seeds, Differ: hostsDiffer{},
	}, f.net.Listen(id))
	if err != nil {
		f.t.Fatal(err)
	}
	d.docs.node = d.node
	d.node.Start()
	go func() { defer close(d.done); d.docs.run() }()
	f.daemons = append(f.daemons, d)
	return d
}

// grow starts daemons in failure domains d0, d1 and so on, and adds them to the host list.
func (f *fleet) grow(daemons, domains int) {
	for i := range daemons {
		d := f.start(fmt.Sprintf("host-%d", i), fmt.Sprintf("d%d", i%domains))
		f.fakeHosts.Put(d.host)
	}
}

func (d *testDaemon) stop() {
	d.cancel()
	d.node.Close()
	<-d.done
}

func (f *fleet) stop() {
	f.net.SetMode(func(_, _ string) standin.LinkMode { return standin.Pass })
	for _, d := range f.daemons {
		d.stop()
	}
	time.Sleep(time.Second) // lets pending dials end
}

// addViolation records a violation for the end of the test. It is safe for concurrent use.
func (f *fleet) addViolation(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// partition cuts the links of the given failure domains to the platform and to the daemons of other domains, and restores all
// others.
func (f *fleet) partition(platform, peers map[string]bool) {
	domain, peers := map[string]string{}, maps.Clone(peers) // the closure below outlives this call
	for _, d := range f.daemons {
		domain[d.host.Addr] = d.host.Domain
		d.gate.setBlocked(platform[d.host.Domain])
	}
	f.net.SetMode(func(from, to string) standin.LinkMode {
		if a, b := domain[from], domain[to]; a != b && (peers[a] || peers[b]) {
			return standin.Freeze
		}
		return standin.Pass
	})
}

// heal ends all partitions.
func (f *fleet) heal() { f.partition(nil, nil) }

// revision returns a valid revision whose content depends on label.
func revision(t *testing.T, number uint64, label string) config.Revision {
	set := object.Set{FailureDomains: []object.FailureDomain{{Name: "d0", Region: label, State: object.DomainIn}}}
	body, digest, err := declare.Encode(set)
	if err != nil {
		t.Fatal(err)
	}
	return config.Revision{Number: number, Digest: digest, Publisher: label, Body: body}
}

// publish stores a revision that follows the stored one, as an operator's tool does.
func (f *fleet) publish(label string) (config.Revision, error) {
	ctx := context.Background()
	stored, number := kv.Entry{}, uint64(0)
	e, err := f.store.Get(ctx, config.Key)
	switch {
	case err == nil:
		r, err := config.UnmarshalRevision(e.Value)
		if err != nil {
			return r, err
		}
		stored, number = e, r.Number
	case !errors.Is(err, kv.ErrNotFound):
		return config.Revision{}, err
	}
	rev := revision(f.t, number+1, label)
	data, err := rev.Marshal()
	if err != nil {
		return rev, err
	}
	_, err = f.store.CAS(ctx, config.Key, data, stored.Revision, 0)
	return rev, err
}

// stored returns the stored revision, or the zero value if there is none.
func (f *fleet) stored() (r config.Revision) {
	if e, err := f.store.Get(context.Background(), config.Key); err == nil {
		r, _ = config.UnmarshalRevision(e.Value) // a value that can't be decoded counts as none
	}
	return r
}

// newest returns the newest revision in force at any daemon.
func (f *fleet) newest() (r config.Revision) {
	for _, d := range f.daemons {
		if mine := d.docs.spec.Config.Revision(); mine.Newer(r) {
			r = mine
		}
	}
	return r
}

// lagging returns the daemons at which another revision is in force, each with its number.
func (f *fleet) lagging(want config.Revision) (out []string) {
	for _, d := range f.daemons {
		if r := d.docs.spec.Config.Revision(); r.Number != want.Number || r.Digest != want.Digest {
			out = append(out, fmt.Sprintf("%s has %d", d.host.ID, r.Number))
		}
	}
	return out
}

// docsHandler implements peer.Handler for documents and ignores everything else.
type docsHandler struct{ *documents }

func (docsHandler) KeepBills(ledger.Copy) (string, error) { return "", nil }
func (docsHandler) TakeEvidence(rollout.Evidence) error   { return nil }
func (docsHandler) TakeAnswers(quality.Report) error      { return nil }
