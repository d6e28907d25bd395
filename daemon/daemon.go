package daemon

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleytrail/bramleytrail/admit"
	"github.com/bramleytrail/bramleytrail/bill"
	"github.com/bramleytrail/bramleytrail/cachemove"
	"github.com/bramleytrail/bramleytrail/claim"
	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/dispatch"
	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/engine/httpengine"
	"github.com/bramleytrail/bramleytrail/entry"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/identify"
	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/kv/httpkv"
	"github.com/bramleytrail/bramleytrail/ledger"
	"github.com/bramleytrail/bramleytrail/observe"
	"github.com/bramleytrail/bramleytrail/pause"
	"github.com/bramleytrail/bramleytrail/peer"
	"github.com/bramleytrail/bramleytrail/pipeline"
	"github.com/bramleytrail/bramleytrail/poison"
	"github.com/bramleytrail/bramleytrail/pool"
	"github.com/bramleytrail/bramleytrail/rating"
	"github.com/bramleytrail/bramleytrail/secure"
	"github.com/bramleytrail/bramleytrail/session"
	"github.com/bramleytrail/bramleytrail/settings"
	"github.com/bramleytrail/bramleytrail/weight"
)

const (
	// silentIntervals is the number of bill intervals after which a daemon that sent nothing is taken for dead.
	silentIntervals = 3
	stopTimeout     = 10 * time.Second // for writing bills and outcomes at the end
	// maxBodies bounds the request bodies in flight; a quarter of the memory that a daemon may use.
	maxBodies = 64 << 20
	// leaveNotice is the time for which a stopping daemon still admits requests after it reports that it is not ready,
	// so that the balancer stops sending it new ones first.
	leaveNotice = 2 * time.Second
)

// Platform gives access to the platform's services.
type Platform struct {
	Store   kv.Store
	Hosts   hostlist.Source
	Ratings rating.Source // nil if there is no rating service
	Weights weight.Store  // nil if this daemon places no versions
}

// Daemon is one entry process.
type Daemon struct {
	settings    *settings.Settings
	network     *Network // nil for sockets
	log         *logrus.Entry
	platform    Platform
	engines     engine.Client
	incarnation string

	config   *config.Holder
	pool     *pool.Pool
	poison   *poison.Table
	dispatch atomic.Pointer[dispatch.Filter] // nil until Start
	moves    *cachemove.Mover                // nil if KV caches are not moved
	ledger   *ledger.Ledger
	copies   *ledger.Copies
	claims   *claim.Filter
	admit    *admit.Filter
	docs     *documents
	node     *peer.Node
	entry    *entry.Server
	ops      *operatorServer
	metrics  *observe.Metrics
	inFlight *observe.InFlight
	recent   *observe.Recent

	callerTLS *tls.Config        // nil for plain HTTP
	peerTLS   *secure.CertSource // nil for plain TCP
	decisions *decisions
	placement placementState
	leaving   atomic.Bool
	peerAddr  string

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// FromSettings returns a daemon that reaches the platform and the endpoints over TCP.
func FromSettings(s *settings.Settings, log *logrus.Logger) *Daemon { return FromNetwork(s, nil, log) }

// FromNetwork is FromSettings with another network; nil stands for TCP sockets.
func FromNetwork(s *settings.Settings, n *Network, log *logrus.Logger) *Daemon {
	m := observe.NewMetrics()
	agent := "bramleyd/" + s.ID
	p := Platform{
		Store: httpkv.NewClientWith(s.Store, agent, m.CountingDial(observe.KindStore, n.dialPlatform())),
		Hosts: hostlist.NewHTTPSourceWith(s.Hosts, agent, m.CountingDial(observe.KindHosts, n.dialPlatform())),
	}
	if s.Ratings != "" {
		p.Ratings = rating.NewHTTPSourceWith(s.Ratings, n.dialPlatform())
	}
	if s.Weights != "" {
		p.Weights = weight.NewHTTPStoreWith(s.Weights, n.dialPlatform())
	}
	dial := n.dialEndpoint()
	dial.Control = m.CountingDial(observe.KindLoad, dial.Control)
	d := build(s, p, httpengine.NewClientWith(dial), log, m)
	d.network = n
	return d
}

// New returns a daemon. It opens no port.
func New(s *settings.Settings, p Platform, engines engine.Client, log *logrus.Logger) *Daemon {
	return build(s, p, engines, log, observe.NewMetrics())
}

func build(s *settings.Settings, p Platform, engines engine.Client, log *logrus.Logger, m *observe.Metrics) *Daemon {
	logEngine(log)
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		settings: s, engines: engines, incarnation: s.ID + "-" + rand.Text()[:10],
		log:    log.WithFields(logrus.Fields{"daemon": s.ID, "domain": s.Domain}),
		config: &config.Holder{}, poison: poison.NewTable(), metrics: m, inFlight: observe.NewInFlight(), recent: observe.NewRecent(),
		decisions: newDecisions(),
		ctx:       ctx, cancel: cancel,
	}
	d.platform = Platform{Store: observe.InstrumentedStore{Store: p.Store, Metrics: d.metrics}, Hosts: p.Hosts, Ratings: p.Ratings, Weights: p.Weights}
	d.pool = pool.New(pool.Spec{Self: s.ID, Domain: s.Domain, Settle: s.Settle, Rand: mathrand.Uint64, Affinity: true, OnCapacity: d.signalRoom})
	d.docs = &documents{ctx: ctx, spec: documentsSpec{
		Platform: d.platform, Config: d.config, Metrics: d.metrics, Log: d.log,
		OnHosts: func(list hostlist.List) { d.pool.SetHosts(list, time.Now()) },
	}}
	d.moves = d.buildMoves()
	d.config.OnChange(func(v *config.View) {
		d.pool.SetView(v, time.Now())
		d.decisions.setView(v)
		d.applyPlacement()
	})
	return d
}

// Start opens the ports and begins to serve. Ports are opened in the order operators, peers, callers, so that a daemon
// that answers callers can be inspected.
func (d *Daemon) Start() error {
	if err := d.loadCertificates(); err != nil {
		return err
	}
	d.ops = newOperatorServer(d)
	if err := d.ops.start(d.settings.OperatorListen); err != nil {
		return err
	}
	ln, err := d.network.listen(d.settings.PeerListen)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	d.peerAddr = ln.Addr().String()
	ln, dial := d.securePeers(ln)
	d.node, err = peer.New(peer.Spec{
		Dial: dial,
		Self: d.self(), Handler: handler{d}, Poison: d.poison, Log: d.log, Now: time.Now, Seeds: d.settings.Seeds, Traffic: d.metrics, Differ: differ{},
	}, ln)
	if err != nil {
		return err
	}
	d.docs.node = d.node
	d.buildLedger()
	d.node.Start()
	d.entry = d.buildEntry()
	if err := d.entry.Start(); err != nil {
		return err
	}
	d.registerGauges()
	d.wg.Go(func() { d.ledger.Run(d.ctx) })
	d.wg.Go(d.writeSilentCopies)
	d.wg.Go(func() { d.claims.Run(d.ctx) })
	d.wg.Go(d.docs.run)
	d.wg.Go(d.pollLoads)
	d.startDecisions()
	d.startPlacement()
	d.log.WithFields(logrus.Fields{"listen": d.entry.Addr(), "peers": d.peerAddr, "operators": d.ops.addr}).Info("daemon started")
	return nil
}

func (d *Daemon) buildLedger() {
	s := d.settings
	uncopied := d.metrics.Counter("bramley_bills_uncopied_total")
	failed := d.metrics.Counter("bramley_bill_write_errors_total")
	d.ledger = ledger.New(ledger.Spec{
		Store: d.platform.Store, Replicator: d.node, Domain: s.Domain, Incarnation: d.incarnation, Interval: s.BillInterval,
		CopyTimeout: s.CopyTimeout, Collect: ledger.CollectTime, OnUncopied: uncopied.Inc,
		OnStoreError: func(err error) {
			failed.Inc()
			d.log.WithError(err).Warn("bills not written; they stay in memory")
		},
	})
	d.copies = ledger.NewCopies(d.platform.Store, d.incarnation, silentIntervals*s.BillInterval)
}

func (d *Daemon) buildEntry() *entry.Server {
	s := d.settings
	signer := session.NewSigner(s.SessionKey)
	d.admit = admit.New(admit.Spec{MaxInFlight: s.MaxInFlight, MaxBytes: maxBodies})
	restores := d.metrics.Counter("bramley_claim_restores_suspected_total")
	d.claims = claim.New(claim.Spec{
		Store: d.platform.Store, Owner: d.incarnation, WritesPerSecond: s.ClaimWrites, Now: time.Now,
		Budget: s.ClaimBudget, Members: func() int { return int(d.docs.members.Load()) },
		OnRestore: func() {
			restores.Inc()
			d.log.Warn("key-value service may have lost claims; non-repeatable calls are refused for a minute")
		},
	})
	d.dispatch.Store(dispatch.New(dispatch.Spec{
		Pool: d.pool, Client: d.engines, Poison: d.poison, OnCrash: d.node.ReportCrash, OnClear: d.node.ReportCleared, QueueWait: s.QueueWait, OnCall: d.decisions.count,
		Now: time.Now, Rand: mathrand.Uint64, HedgeShare: s.HedgeShare, CacheMover: d.moves,
		OnHedge: func(o dispatch.HedgeOutcome) {
			d.metrics.Counter(fmt.Sprintf(`bramley_hedges_total{outcome=%q}`, o)).Inc()
		},
	}))
	p := &pipeline.Pipeline{
		Config:      d.config,
		Admit:       d.admit,
		Identify:    identify.New(identify.Spec{Signer: signer, Members: func() int { return int(d.docs.members.Load()) }}),
		Claim:       d.claims,
		Choose:      d.buildChoice(),
		Escalations: d.decisions.climbs,
		Dispatch:    d.dispatch.Load(),
		Bill:        bill.New(d.ledger, d.incarnation),
		Signer:      signer,
		PauseAfter:  s.PauseAfter,
		Now:         time.Now,
		OnStart:     d.inFlight.Add,
		OnFinish: func(o pipeline.Outcome) {
			d.metrics.RecordRequest(o)
			d.countChoice(o)
			d.decisions.answers.count(o)
			d.recent.Add(o)
			d.inFlight.Remove(o.RequestID)
			if o.Err != nil {
				d.log.WithFields(logrus.Fields{"request": o.RequestID, "team": o.Team, "code": int(o.Code)}).WithError(o.Err).Info("request failed")
			}
		},
	}
	var listen func(string) (net.Listener, error)
	if d.network != nil {
		listen = d.network.Listen
	}
	return entry.New(entry.Spec{
		Addr: s.Listen, Listen: listen, TLS: d.callerTLS, MaxConnections: s.MaxConnections, StallTimeout: s.StallTimeout, Pipeline: p, Config: d.config, Ready: d.Ready,
	})
}

// signalRoom passes news of the pool to the requests that wait for room.
func (d *Daemon) signalRoom(service string, versions []string) {
	if f := d.dispatch.Load(); f != nil {
		f.Signal(service, versions)
	}
}

// Addr returns the callers' address.
func (d *Daemon) Addr() string { return d.entry.Addr() }

// PeerAddr returns the address at which the daemon listens for other daemons.
func (d *Daemon) PeerAddr() string { return d.peerAddr }

// OperatorAddr returns the operators' address.
func (d *Daemon) OperatorAddr() string { return d.ops.addr }

// Revision returns the configuration revision in force.
func (d *Daemon) Revision() config.Revision { return d.config.Revision() }

// Ready reports whether the balancer may send requests: the daemon has a configuration and a host list,
// may use its shares of the endpoints and is not leaving.
func (d *Daemon) Ready() bool {
	return d.config.View() != nil && d.docs.list.Load() != nil && d.pool.Joined(time.Now()) && !d.leaving.Load()
}

// Run serves until ctx ends, then stops gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.Start(); err != nil {
		return err
	}
	<-ctx.Done()
	d.leaving.Store(true)
	d.log.Info("daemon is leaving")
	select { // the balancer sees that the daemon is not ready
	case <-time.After(leaveNotice):
	case <-d.ctx.Done():
	}
	return d.Drain(context.Background())
}

// Drain admits nothing from now on, waits for every request in flight, writes all bills and outcomes and closes the
// ports. It waits as long as requests take, unless ctx ends.
func (d *Daemon) Drain(ctx context.Context) error {
	d.leaving.Store(true)
	d.admit.Drain()
	waitErr := d.admit.Wait(ctx)
	ctx = context.WithoutCancel(ctx)
	storeErr := d.settle(ctx)
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	shutdownErr := d.entry.Shutdown(ctx)
	d.stop()
	return errors.Join(waitErr, storeErr, shutdownErr)
}

// settle writes outcomes, bills and copies. What can't be written within stopTimeout is left with other daemons: the
// holders of this daemon's copies learn of the last bills, and the copies kept here are handed over.
func (d *Daemon) settle(ctx context.Context) error {
	writeCtx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var stored bool
	var copyErr error
	wg.Go(func() { d.claims.Close(writeCtx) })
	wg.Go(func() { stored = d.ledger.Drain(writeCtx) })
	wg.Go(func() { copyErr = d.copies.Close(writeCtx) })
	wg.Wait()
	handOverCtx, cancelHandOver := context.WithTimeout(ctx, stopTimeout)
	defer cancelHandOver()
	d.ledger.Announce(handOverCtx)
	if copyErr != nil {
		d.log.WithError(copyErr).Warn("copies of bills not written; handing them over")
		copyErr = d.copies.HandOver(handOverCtx, d.node)
	}
	if bills, uncopied := d.ledger.Held(); !stored && uncopied > 0 {
		copyErr = errors.Join(copyErr, fmt.Errorf("%d of %d unwritten bills have no copy", uncopied, bills))
	} else if !stored {
		d.log.WithField("bills", bills).Warn("bills not written; other daemons keep them")
	}
	return copyErr
}

// Kill closes the ports without waiting for anything, as the loss of the host does. It is for tests.
func (d *Daemon) Kill() {
	d.entry.Abort()
	d.cancel()
	d.node.Close()
	d.claims.Close(d.ctx) // ended, so that outcomes are given up
	_ = d.entry.Shutdown(context.Background())
	d.stop()
}

func (d *Daemon) stop() {
	d.cancel()
	d.node.Close()
	d.ops.stop()
	d.wg.Wait()
	d.log.Info("daemon stopped")
}

func (d *Daemon) self() hostlist.Host {
	addr := d.settings.PeerAdvertise
	if addr == "" {
		addr = d.peerAddr
	}
	return hostlist.Host{ID: d.settings.ID, Role: hostlist.RoleEntry, Domain: d.settings.Domain, Rack: d.settings.Rack, Addr: addr}
}

// sleep waits for t, or until the daemon stops.
func (d *Daemon) sleep(t time.Duration) { _ = pause.For(d.ctx, t) }

// writeSilentCopies writes the bills of daemons that have fallen silent.
func (d *Daemon) writeSilentCopies() {
	for d.ctx.Err() == nil {
		d.sleep(d.settings.BillInterval)
		ctx, cancel := context.WithTimeout(d.ctx, stopTimeout)
		if err := d.copies.WriteSilent(ctx, time.Now(), d.ledger.Adopt); err != nil && d.ctx.Err() == nil {
			d.log.WithError(err).Warn("copies of bills not written; this daemon keeps them as its own")
		}
		cancel()
	}
}
