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

	"github.com/cespare/xxhash/v2"
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
	"github.com/bramleytrail/bramleytrail/intake"
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
	"github.com/bramleytrail/bramleytrail/suspect"
	"github.com/bramleytrail/bramleytrail/weight"
)

const (
	// ownerTimeoutIntervals is the number of bill intervals without a message after which the owner of bill copies is
	// considered dead and its bills are written by the daemons that hold the copies.
	ownerTimeoutIntervals = 3
	// shutdownTimeout bounds each phase of a shutdown: writing bills and outcomes, handing over what could not be
	// written, and closing the port for callers. It also bounds each attempt to write the bills of dead daemons.
	shutdownTimeout = 10 * time.Second
	// maxBodyBytes bounds the total size of the request bodies in flight. It is a quarter of the memory that a daemon may
	// use.
	maxBodyBytes = 64 << 20
	// shutdownDelay is the time for which a stopping daemon still admits requests after it reports that it is not ready.
	// It lets the load balancer stop sending new requests first.
	shutdownDelay = 2 * time.Second
)

// Platform holds the clients of the platform's services.
type Platform struct {
	Store   kv.Store
	Hosts   hostlist.Source
	Ratings rating.Source // nil if there is no rating service
	Weights weight.Store  // nil if this daemon never holds a placement duty
}

// Daemon is the request router on one entry host. Run, or Start followed by Drain or Kill, is called once. The methods that
// report addresses and state may be called concurrently after Start.
type Daemon struct {
	settings    *settings.Settings
	network     *Network // nil for sockets
	log         *logrus.Entry
	platform    Platform
	engines     engine.Client
	incarnation string

	config         *config.Holder
	pool           *pool.Pool
	poison         *poison.Table
	dispatch       atomic.Pointer[dispatch.Filter] // nil until Start
	cacheMover     *cachemove.Mover                // nil if KV caches are not moved
	ledger         *ledger.Ledger
	billCopies     *ledger.Copies
	claims         *claim.Filter
	suspects       *suspect.Keeper
	admit          *admit.Filter
	docs           *documents
	node           *peer.Node
	entry          *entry.Server
	operators      *operatorServer
	metrics        *observe.Metrics
	inFlight       *observe.InFlight
	recentRequests *observe.Recent
	refusals       *observe.RefusalLog

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

// NewFromSettings returns a daemon that connects to the platform, its peers and the endpoints over TCP.
func NewFromSettings(s *settings.Settings, log *logrus.Logger) *Daemon {
	return NewWithNetwork(s, nil, log)
}

// NewWithNetwork returns a daemon like NewFromSettings that uses n for all its ports and connections. A nil n means TCP
// sockets.
func NewWithNetwork(s *settings.Settings, n *Network, log *logrus.Logger) *Daemon {
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
	d := newDaemon(s, p, httpengine.NewClientWith(dial), log, m)
	d.network = n
	return d
}

// New returns a daemon with the given clients of the platform and the endpoints. Ports are opened by Start.
func New(s *settings.Settings, p Platform, engines engine.Client, log *logrus.Logger) *Daemon {
	return newDaemon(s, p, engines, log, observe.NewMetrics())
}

func newDaemon(s *settings.Settings, p Platform, engines engine.Client, log *logrus.Logger, m *observe.Metrics) *Daemon {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		settings: s, engines: engines, incarnation: s.ID + "-" + rand.Text()[:10],
		log:    log.WithFields(logrus.Fields{"daemon": s.ID, "domain": s.Domain}),
		config: &config.Holder{}, poison: poison.NewTable(), metrics: m, inFlight: observe.NewInFlight(), recentRequests: observe.NewRecent(),
		decisions: newDecisions(),
		ctx:       ctx, cancel: cancel,
	}
	d.refusals = observe.NewRefusalLog(d.log)
	d.platform = Platform{Store: observe.InstrumentedStore{Store: p.Store, Metrics: d.metrics}, Hosts: p.Hosts, Ratings: p.Ratings, Weights: p.Weights}
	d.pool = pool.New(pool.Spec{Self: s.ID, Domain: s.Domain, Settle: s.Settle, Rand: mathrand.Uint64, Affinity: true, OnCapacity: d.signalCapacity})
	d.docs = &documents{ctx: ctx, spec: documentsSpec{
		Platform: d.platform, Config: d.config, Metrics: d.metrics, Log: d.log,
		OnHosts: func(list hostlist.List) { d.pool.SetHosts(list, time.Now()) },
	}}
	d.cacheMover = d.newCacheMover()
	d.config.OnChange(func(v *config.View) {
		d.pool.SetView(v, time.Now())
		d.decisions.setView(v)
		d.applyPlacement()
	})
	return d
}

// Start opens the ports and starts serving. Ports are opened in the order operators, peers, callers, so that operators can
// inspect every daemon that answers callers.
func (d *Daemon) Start() error {
	if err := d.loadCertificates(); err != nil {
		return err
	}
	d.operators = newOperatorServer(d)
	if err := d.operators.start(d.settings.OperatorListen); err != nil {
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
		Self: d.selfHost(), Handler: peerHandler{d}, Poison: d.poison, Log: d.log, Now: time.Now, Seeds: d.settings.Seeds, Traffic: d.metrics, Differ: hostsDiffer{}, OnLimit: d.recordPeerEnd,
	}, ln)
	if err != nil {
		return err
	}
	d.docs.node = d.node
	d.setupLedger()
	d.node.Start()
	d.suspects = d.newSuspects()
	d.entry = d.newEntryServer()
	if err := d.entry.Start(); err != nil {
		return err
	}
	d.registerGauges()
	d.wg.Go(func() { d.ledger.Run(d.ctx) })
	d.wg.Go(func() { d.suspects.Run(d.ctx) })
	d.wg.Go(d.writeOrphanedCopies)
	d.wg.Go(func() { d.claims.Run(d.ctx) })
	d.wg.Go(d.docs.run)
	d.wg.Go(d.pollLoads)
	d.startDecisions()
	d.startPlacement()
	d.log.WithFields(logrus.Fields{"listen": d.entry.Addr(), "peers": d.peerAddr, "operators": d.operators.addr}).Info("daemon started")
	return nil
}

// suspectPartsKey is the key of the prompt parts that all daemons refuse.
const suspectPartsKey = "suspect-parts"

// suspectRanks is the number of ranks over which daemons spread their writes of refused prompt parts.
const suspectRanks = 16

// newSuspects returns the keeper of the refused prompt parts. It reads the entry only when its own conclusions change.
func (d *Daemon) newSuspects() *suspect.Keeper {
	store := d.platform.Store
	rank := int(xxhash.Sum64String(d.incarnation) % suspectRanks)
	return suspect.New(suspect.Spec{
		Parts: d.poison.Parts, Store: store, Key: suspectPartsKey, Log: d.log,
		Entry: func(ctx context.Context) (kv.Entry, error) {
			e, err := store.Get(ctx, suspectPartsKey)
			if errors.Is(err, kv.ErrNotFound) {
				return kv.Entry{}, nil
			}
			return e, err
		},
		Rank:    func() int { return rank },
		OnTrial: d.metrics.Counter(`bramley_suspect_requests_total{kind="part_trial"}`).Inc,
	})
}

func (d *Daemon) setupLedger() {
	s := d.settings
	uncopied := d.metrics.Counter("bramley_bills_uncopied_total")
	failed := d.metrics.Counter("bramley_bill_write_errors_total")
	d.ledger = ledger.New(ledger.Spec{
		Store: d.platform.Store, Replicator: d.node, Domain: s.Domain, Incarnation: d.incarnation, Interval: s.BillInterval,
		CopyTimeout: s.CopyTimeout, CopyDelay: ledger.DefaultCopyDelay, OnUncopied: uncopied.Inc,
		OnStoreError: func(err error) {
			failed.Inc()
			d.log.WithError(err).Warn("could not write bills to the key-value store; keeping them in memory")
		},
	})
	d.billCopies = ledger.NewCopies(d.platform.Store, d.incarnation, ownerTimeoutIntervals*s.BillInterval)
}

func (d *Daemon) newEntryServer() *entry.Server {
	s := d.settings
	signer := session.NewSigner(s.SessionKey)
	d.admit = admit.New(admit.Spec{MaxInFlight: s.MaxInFlight, MaxBytes: maxBodyBytes})
	restores := d.metrics.Counter("bramley_claim_restores_suspected_total")
	d.claims = claim.New(claim.Spec{
		Store: d.platform.Store, Owner: d.incarnation, WritesPerSecond: s.ClaimWrites, Now: time.Now,
		Budget: s.ClaimBudget, Members: func() int { return int(d.docs.liveEntryHosts.Load()) },
		OnSuspectedRestore: func() {
			restores.Inc()
			d.log.Warn("key-value store may have lost claims; refusing non-repeatable calls for a minute")
		},
	})
	var isDown func(context.Context, string) bool
	if c, ok := d.engines.(engine.DownChecker); ok {
		isDown = c.IsDown
	}
	d.dispatch.Store(dispatch.New(dispatch.Spec{
		Pool: d.pool, Client: d.engines, IsDown: isDown, Poison: d.poison, OnCrash: d.node.ReportCrash, OnClear: d.node.ReportCleared, GrantTrial: d.suspects.Grant, QueueWait: s.QueueWait, OnCall: d.decisions.countCall,
		Now: time.Now, Rand: mathrand.Uint64, HedgeShare: s.HedgeShare, CacheMover: d.cacheMover,
		OnHedge: func(o dispatch.HedgeOutcome) {
			d.metrics.Counter(fmt.Sprintf(`bramley_hedges_total{outcome=%q}`, o)).Inc()
		},
	}))
	p := &pipeline.Pipeline{
		Config:      d.config,
		Admit:       d.admit,
		Identify:    identify.New(identify.Spec{Signer: signer, Members: func() int { return int(d.docs.liveEntryHosts.Load()) }}),
		Claim:       d.claims,
		Choose:      d.newChooseFilter(),
		Escalations: d.decisions.escalations,
		Dispatch:    d.dispatch.Load(),
		Bill:        bill.New(d.ledger, d.incarnation),
		Signer:      signer,
		PauseAfter:  s.PauseAfter,
		Now:         time.Now,
		OnStart:     d.inFlight.Add,
		OnFinish: func(o pipeline.Outcome) {
			d.metrics.RecordRequest(o)
			d.countDecision(o)
			d.decisions.answers.countAnswer(o)
			d.recentRequests.Add(o)
			d.inFlight.Remove(o.RequestID)
			if o.Err != nil {
				d.log.WithFields(logrus.Fields{"request": o.RequestID, "team": o.Team, "code": int(o.Code)}).WithError(o.Err).Info("request failed")
			}
		},
	}
	connectionCost := int64(intake.ConnectionCost)
	if d.callerTLS != nil {
		connectionCost = intake.SecureConnectionCost
	}
	limits, connections := intake.LimitsFor(memoryBytes(s), connectionCost)
	var listen func(string) (net.Listener, error)
	if d.network != nil {
		listen = d.network.Listen
	}
	return entry.New(entry.Spec{
		Addr: s.Listen, Listen: listen, TLS: d.callerTLS, MaxConnections: min(s.MaxConnections, connections), StallTimeout: s.StallTimeout, Pipeline: p, Config: d.config, Ready: d.Ready,
		Intake: limits, OnEnd: d.recordConnectionEnd, OnRefuse: d.refusals.Request,
	})
}

// signalCapacity wakes the queued requests for versions of a service when the pool reports that an endpoint may have
// capacity. Before Start there is no queue.
func (d *Daemon) signalCapacity(service string, versions []string) {
	if f := d.dispatch.Load(); f != nil {
		f.Signal(service, versions)
	}
}

// Addr returns the address at which the daemon listens for callers.
func (d *Daemon) Addr() string { return d.entry.Addr() }

// PeerAddr returns the address at which the daemon listens for its peers.
func (d *Daemon) PeerAddr() string { return d.peerAddr }

// OperatorAddr returns the address at which the daemon serves metrics and state dumps.
func (d *Daemon) OperatorAddr() string { return d.operators.addr }

// Revision returns the configuration revision in force, the zero value if there is none yet.
func (d *Daemon) Revision() config.Revision { return d.config.Revision() }

// Ready reports whether the load balancer may send requests to this daemon: it has a configuration and a host list, may use
// its shares of the endpoints and is not shutting down.
func (d *Daemon) Ready() bool {
	return d.config.View() != nil && d.docs.hostList.Load() != nil && d.pool.Joined(time.Now()) && !d.leaving.Load()
}

// Run starts the daemon, serves until ctx is done and then shuts down gracefully. It returns the errors of Start and Drain.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.Start(); err != nil {
		return err
	}
	<-ctx.Done()
	d.leaving.Store(true)
	d.log.Info("daemon is leaving")
	select { // gives the load balancer time to see that the daemon is not ready
	case <-time.After(shutdownDelay):
	case <-d.ctx.Done():
	}
	return d.Drain(context.Background())
}

// Drain stops admitting requests, waits for those in flight, writes all bills and outcomes, and closes the ports. It waits as
// long as the requests take or until ctx is done. The error covers requests that were still in flight when
// ctx ended, bills that could neither be written nor left with a peer, and a port that did not close in time.
func (d *Daemon) Drain(ctx context.Context) error {
	d.leaving.Store(true)
	d.admit.Drain()
	waitErr := d.admit.Wait(ctx)
	ctx = context.WithoutCancel(ctx)
	storeErr := d.flushOrHandOver(ctx)
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	shutdownErr := d.entry.Shutdown(ctx)
	d.stop()
	return errors.Join(waitErr, storeErr, shutdownErr)
}

// flushOrHandOver writes outcomes, bills and copies of other daemons' bills to the key-value store. What can't be written
// within shutdownTimeout is left to peers: the peers that keep copies of this daemon's bills are informed of the last ones,
// and the copies kept here are handed over. It returns an error if unwritten bills have no copy or if the copies could not be
// handed over.
func (d *Daemon) flushOrHandOver(ctx context.Context) error {
	writeCtx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var stored bool
	var copyErr error
	wg.Go(func() { d.claims.Close(writeCtx) })
	wg.Go(func() { stored = d.ledger.Drain(writeCtx) })
	wg.Go(func() { copyErr = d.billCopies.Close(writeCtx) })
	wg.Wait()
	handOverCtx, cancelHandOver := context.WithTimeout(ctx, shutdownTimeout)
	defer cancelHandOver()
	d.ledger.Announce(handOverCtx)
	if copyErr != nil {
		d.log.WithError(copyErr).Warn("could not write the copies of other daemons' bills; handing them over to peers")
		copyErr = d.billCopies.HandOver(handOverCtx, d.node)
	}
	if bills, uncopied := d.ledger.Held(); !stored && uncopied > 0 {
		copyErr = errors.Join(copyErr, fmt.Errorf("write bills on shutdown: %d of %d unwritten bills have no copy on another daemon", uncopied, bills))
	} else if !stored {
		d.log.WithField("bills", bills).Warn("could not write bills; other daemons keep copies of them")
	}
	return copyErr
}

// Kill closes the ports without waiting for requests or writes. Tests use it to simulate the loss of the host.
func (d *Daemon) Kill() {
	d.entry.Abort()
	d.cancel()
	d.node.Close()
	d.claims.Close(d.ctx) // with a cancelled context, so that unwritten outcomes are discarded
	_ = d.entry.Shutdown(context.Background())
	d.stop()
}

func (d *Daemon) stop() {
	d.cancel()
	d.node.Close()
	d.operators.stop()
	d.wg.Wait()
	d.log.Info("daemon stopped")
}

// selfHost returns this daemon's entry in a host list, with the address that peers dial.
func (d *Daemon) selfHost() hostlist.Host {
	addr := d.settings.PeerAdvertise
	if addr == "" {
		addr = d.peerAddr
	}
	return hostlist.Host{ID: d.settings.ID, Role: hostlist.RoleEntry, Domain: d.settings.Domain, Rack: d.settings.Rack, Addr: addr}
}

// sleep waits for the duration or until the daemon stops.
func (d *Daemon) sleep(duration time.Duration) { _ = pause.For(d.ctx, duration) }

// writeOrphanedCopies periodically writes the bills of daemons that are considered dead from the copies kept here.
func (d *Daemon) writeOrphanedCopies() {
	for d.ctx.Err() == nil {
		d.sleep(d.settings.BillInterval)
		ctx, cancel := context.WithTimeout(d.ctx, shutdownTimeout)
		if err := d.billCopies.WriteOrphaned(ctx, time.Now(), d.ledger.Adopt); err != nil && d.ctx.Err() == nil {
			d.log.WithError(err).Warn("could not write the bills of unresponsive daemons; adopting them as this daemon's own")
		}
		cancel()
	}
}
