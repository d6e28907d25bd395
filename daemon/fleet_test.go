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

// settleTime is the time within which a configuration must be in force everywhere.
const settleTime = 20 * time.Second

var errCutOff = errors.New("cut off from the platform")

// gate cuts a daemon off from the platform.
type gate struct {
	store kv.Store
	hosts hostlist.Source

	mu  sync.Mutex
	cut context.Context // ends pending calls; done while cut off
	end context.CancelFunc

	open     context.Context // done when the connections of pending calls go silent
	closeAll context.CancelFunc
}

func newGate(f *fleet) *gate {
	g := &gate{store: f.store, hosts: f.hosts}
	g.set(false)
	g.open, g.closeAll = context.WithCancel(context.Background())
	return g
}

// silence makes the connections of pending calls go silent for good, while new calls work.
func (g *gate) silence() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closeAll()
	g.open, g.closeAll = context.WithCancel(context.Background())
}

// pending makes a call that waits for a change. Its answer does not arrive if its connection goes silent.
func (g *gate) pending(ctx context.Context, call func(context.Context) error) error {
	ctx, cancel, err := g.enter(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	callCtx, end := context.WithCancel(ctx)
	defer end()
	defer context.AfterFunc(open, end)()
	err = call(callCtx)
	if open.Err() != nil {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

func (g *gate) set(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.end != nil && cut {
		g.end()
	}
	if !cut && (g.end == nil || g.cut.Err() != nil) {
		g.cut, g.end = context.WithCancel(context.Background())
	}
}

func (g *gate) enter(ctx context.Context) (context.Context, context.CancelFunc, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cut.Err() != nil {
		return nil, nil, errCutOff
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(g.cut, cancel)
	return ctx, func() { stop(); cancel() }, nil
}

// gatedStore is the part of kv.Store that documents use.
type gatedStore struct {
	kv.Store
	gate *gate
}

func (s gatedStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	ctx, cancel, err := s.gate.enter(ctx)
	if err != nil {
		return kv.Entry{}, err
	}
	defer cancel()
	return s.Store.Get(ctx, key)
}

func (s gatedStore) CAS(ctx context.Context, key string, v []byte, prev uint64, l kv.LeaseID) (uint64, error) {
	ctx, cancel, err := s.gate.enter(ctx)
	if err != nil {
		return 0, err
	}
	defer cancel()
	return s.Store.CAS(ctx, key, v, prev, l)
}

func (s gatedStore) Watch(ctx context.Context, prefix string, after uint64) (c kv.Changes, err error) {
	err = s.gate.pending(ctx, func(ctx context.Context) (err error) {
		c, err = s.Store.Watch(ctx, prefix, after)
		return err
	})
	return c, err
}

func (g *gate) List(ctx context.Context, known uint64) (l hostlist.List, err error) {
	err = g.pending(ctx, func(ctx context.Context) (err error) {
		g.mu.Lock()
		hosts := g.hosts
		g.mu.Unlock()
		l, err = hosts.List(ctx, known)
		return err
	})
	return l, err
}

// part is the part of a daemon that keeps documents in force.
type part struct {
	host   hostlist.Host
	docs   *documents
	node   *peer.Node
	gate   *gate
	cancel context.CancelFunc
	done   chan struct{}
}

// fleet is a set of such parts on a network in memory, under a fake clock.
type fleet struct {
	t     *testing.T
	net   *standin.MemNet
	store *memkv.Store
	hosts hostlist.Source
	list  *hostlist.Fake
	parts []*part

	mu         sync.Mutex
	violations []string
}

func newFleet(t *testing.T) *fleet {
	list := hostlist.NewFake()
	return &fleet{t: t, net: standin.NewMemNet(), store: memkv.New(), hosts: list, list: list}
}

// start starts a daemon's part. Each configuration that comes into force there must be newer than the one before.
func (f *fleet) start(id, domain string, seeds ...string) *part {
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	p := &part{gate: newGate(f), cancel: cancel, done: make(chan struct{})}
	p.host = hostlist.Host{ID: id, Addr: id, Domain: domain, Role: hostlist.RoleEntry, State: hostlist.StateLive}
	holder := &config.Holder{}
	var last config.Revision
	holder.OnChange(func(v *config.View) {
		if !v.Revision.Newer(last) {
			f.violate("%s went from revision %d to %d", id, last.Number, v.Revision.Number)
		}
		last = v.Revision
	})
	p.docs = &documents{ctx: ctx, spec: documentsSpec{
		Platform: Platform{Store: gatedStore{f.store, p.gate}, Hosts: p.gate}, Config: holder, Metrics: observe.NewMetrics(), Log: log,
		OnHosts: func(hostlist.List) {},
	}}
	rng := rand.New(rand.NewPCG(1, uint64(len(f.parts))))
	var err error
	p.node, err = peer.New(peer.Spec{
		Self: p.host, Handler: docsHandler{p.docs}, Poison: poison.NewTable(), Log: log, Now: time.Now, Dial: f.net.Dial(id), Rand: rng.Int64N, Seeds: seeds, Differ: differ{},
	}, f.net.Listen(id))
	if err != nil {
		f.t.Fatal(err)
	}
	p.docs.node = p.node
	p.node.Start()
	go func() { defer close(p.done); p.docs.run() }()
	f.parts = append(f.parts, p)
	return p
}

// grow starts and lists daemons in failure domains d0, d1 and so on.
func (f *fleet) grow(daemons, domains int) {
	for i := range daemons {
		p := f.start(fmt.Sprintf("host-%d", i), fmt.Sprintf("d%d", i%domains))
		f.list.Put(p.host)
	}
}

func (p *part) stop() {
	p.cancel()
	p.node.Close()
	<-p.done
}

func (f *fleet) stop() {
	f.net.SetMode(func(_, _ string) standin.Link { return standin.Pass })
	for _, p := range f.parts {
		p.stop()
	}
	time.Sleep(time.Second) // lets dials in progress end
}

func (f *fleet) violate(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// cut applies to the links of the daemons of some failure domains: the platform, those of other domains, or both.
func (f *fleet) cut(platform, peers map[string]bool) {
	domain, peers := map[string]string{}, maps.Clone(peers) // the mode outlives this call
	for _, p := range f.parts {
		domain[p.host.Addr] = p.host.Domain
		p.gate.set(platform[p.host.Domain])
	}
	f.net.SetMode(func(from, to string) standin.Link {
		if a, b := domain[from], domain[to]; a != b && (peers[a] || peers[b]) {
			return standin.Freeze
		}
		return standin.Pass
	})
}

func (f *fleet) heal() { f.cut(nil, nil) }

// revision returns a valid revision whose content depends on label.
func revision(t *testing.T, number uint64, label string) config.Revision {
	set := object.Set{FailureDomains: []object.FailureDomain{{Name: "d0", Region: label, State: object.DomainIn}}}
	body, digest, err := declare.Encode(set)
	if err != nil {
		t.Fatal(err)
	}
	return config.Revision{Number: number, Digest: digest, Publisher: label, Body: body}
}

// publish stores a revision on top of the stored one, as an operator does.
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

// stored returns the stored revision, or the zero value.
func (f *fleet) stored() (r config.Revision) {
	if e, err := f.store.Get(context.Background(), config.Key); err == nil {
		r, _ = config.UnmarshalRevision(e.Value) // a value that can't be read counts as none
	}
	return r
}

// newest returns the newest revision that any daemon has.
func (f *fleet) newest() (r config.Revision) {
	for _, p := range f.parts {
		if mine := p.docs.spec.Config.Revision(); mine.Newer(r) {
			r = mine
		}
	}
	return r
}

// lagging returns the daemons that don't have a revision.
func (f *fleet) lagging(want config.Revision) (out []string) {
	for _, p := range f.parts {
		if r := p.docs.spec.Config.Revision(); r.Number != want.Number || r.Digest != want.Digest {
			out = append(out, fmt.Sprintf("%s has %d", p.host.ID, r.Number))
		}
	}
	return out
}

// docsHandler is a peer.Handler that takes documents only.
type docsHandler struct{ *documents }

func (docsHandler) KeepBills(ledger.Copy) (string, error) { return "", nil }
func (docsHandler) TakeEvidence(rollout.Evidence) error   { return nil }
func (docsHandler) TakeAnswers(quality.Report) error      { return nil }
