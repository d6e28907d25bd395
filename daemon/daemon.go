package daemon

import (
	"context"
	"crypto/rand"
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
	"github.com/bramleytrail/bramleytrail/choose"
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
	"github.com/bramleytrail/bramleytrail/peer"
	"github.com/bramleytrail/bramleytrail/pipeline"
	"github.com/bramleytrail/bramleytrail/poison"
	"github.com/bramleytrail/bramleytrail/pool"
	"github.com/bramleytrail/bramleytrail/session"
	"github.com/bramleytrail/bramleytrail/settings"
)

const (
	// silentIntervals is the number of bill intervals after which a daemon that sent nothing is taken for dead.
	silentIntervals = 3
	stopTimeout     = 10 * time.Second // for writing bills and outcomes at the end
	// leaveNotice is the time for which a stopping daemon still admits requests after it reports that it is not ready,
	// so that the balancer stops sending it new ones first.
	leaveNotice = 2 * time.Second
)

// Platform gives access to the platform's services.
type Platform struct {
	Store kv.Store
	Hosts hostlist.Source
}

// Daemon is one entry process.
type Daemon struct {
	settings    *settings.Settings
	log         *logrus.Entry
	platform    Platform
	engines     engine.Client
	incarnation string

	config  *config.Holder
	pool    *pool.Pool
	poison  *poison.Table
	ledger  *ledger.Ledger
	copies  *ledger.Copies
	claims  *claim.Filter
	admit   *admit.Filter
	node    *peer.Node
	entry   *entry.Server
	ops     *operatorServer
	metrics *observe.Metrics
	recent  *observe.Recent

	members  atomic.Int64 // live entry hosts
	watcher  atomic.Bool
	list     atomic.Pointer[hostlist.List]
	leaving  atomic.Bool
	peerAddr string

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// FromSettings returns a daemon that reaches the platform and the endpoints over the network.
func FromSettings(s *settings.Settings, log *logrus.Logger) *Daemon {
	m := observe.NewMetrics()
	agent := "bramleyd/" + s.ID
	p := Platform{
		Store: httpkv.NewClientWith(s.Store, agent, m.Dial(observe.KindStore, &net.Dialer{})),
		Hosts: hostlist.NewHTTPSourceWith(s.Hosts, agent, m.Dial(observe.KindHosts, &net.Dialer{})),
	}
	return build(s, p, httpengine.NewClientWith(m.Dial(observe.KindLoad, httpengine.Dialer())), log, m)
}

// New returns a daemon. It opens no port.
func New(s *settings.Settings, p Platform, engines engine.Client, log *logrus.Logger) *Daemon {
	return build(s, p, engines, log, observe.NewMetrics())
}

func build(s *settings.Settings, p Platform, engines engine.Client, log *logrus.Logger, m *observe.Metrics) *Daemon {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		settings: s, engines: engines, incarnation: s.ID + "-" + rand.Text()[:10],
		log:    log.WithFields(logrus.Fields{"daemon": s.ID, "domain": s.Domain}),
		config: &config.Holder{}, poison: poison.NewTable(), metrics: m, recent: observe.NewRecent(),
		ctx: ctx, cancel: cancel,
	}
	d.platform = Platform{Store: observe.Store{Store: p.Store, Metrics: d.metrics}, Hosts: p.Hosts}
	d.pool = pool.New(pool.Spec{Self: s.ID, Domain: s.Domain, Settle: s.Settle, Rand: mathrand.Uint64})
	d.config.OnChange(func(v *config.View) { d.pool.SetView(v, time.Now()) })
	return d
}

// Start opens the ports and begins to serve. Ports are opened in the order operators, peers, callers, so that a daemon
// that answers callers can be inspected.
func (d *Daemon) Start() error {
	d.ops = newOperatorServer(d)
	if err := d.ops.start(d.settings.OperatorListen); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", d.settings.PeerListen)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	d.peerAddr = ln.Addr().String()
	self := hostlist.Host{ID: d.settings.ID, Role: hostlist.RoleEntry, Domain: d.settings.Domain, Rack: d.settings.Rack, Addr: d.peerAddr}
	d.node, err = peer.New(peer.Spec{Self: self, Handler: d, Poison: d.poison, Log: d.log, Now: time.Now, Traffic: d.metrics}, ln)
	if err != nil {
		return err
	}
	d.buildLedger()
	d.node.Start()
	d.entry = d.buildEntry()
	if err := d.entry.Start(); err != nil {
		return err
	}
	d.registerGauges()
	d.wg.Go(func() { d.ledger.Run(d.ctx) })
	d.wg.Go(d.writeSilentCopies)
	d.wg.Go(d.followHosts)
	d.wg.Go(d.followConfig)
	d.wg.Go(d.pollLoads)
	d.log.WithFields(logrus.Fields{"listen": d.entry.Addr(), "peers": d.peerAddr, "operators": d.ops.addr}).Info("daemon started")
	return nil
}

func (d *Daemon) buildLedger() {
	s := d.settings
	uncopied := d.metrics.Counter("bramley_bills_uncopied_total")
	failed := d.metrics.Counter("bramley_bill_write_errors_total")
	d.ledger = ledger.New(ledger.Spec{
		Store: d.platform.Store, Replicator: d.node, Domain: s.Domain, Incarnation: d.incarnation, Interval: s.BillInterval,
		CopyTimeout: s.CopyTimeout, OnUncopied: uncopied.Inc,
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
	d.admit = admit.New(admit.Spec{MaxInFlight: s.MaxInFlight})
	d.claims = claim.New(claim.Spec{Store: d.platform.Store, Owner: d.incarnation, WritesPerSecond: s.ClaimWrites, Now: time.Now})
	p := &pipeline.Pipeline{
		Config:   d.config,
		Admit:    d.admit,
		Identify: identify.New(identify.Spec{Signer: signer, Members: func() int { return int(d.members.Load()) }}),
		Claim:    d.claims,
		Choose:   choose.New(choose.Declared{}),
		Dispatch: dispatch.New(dispatch.Spec{
			Pool: d.pool, Client: d.engines, Poison: d.poison, OnCrash: d.node.ReportCrash, QueueWait: s.QueueWait, Now: time.Now,
		}),
		Bill:   bill.New(d.ledger, d.incarnation),
		Signer: signer,
		Now:    time.Now,
		Observe: func(o pipeline.Outcome) {
			d.metrics.Request(o)
			d.recent.Add(o)
			if o.Err != nil {
				d.log.WithFields(logrus.Fields{"request": o.RequestID, "team": o.Team, "code": int(o.Code)}).WithError(o.Err).Info("request failed")
			}
		},
	}
	return entry.New(entry.Spec{
		Addr: s.Listen, MaxConnections: s.MaxConnections, StallTimeout: s.StallTimeout, Pipeline: p, Config: d.config, Ready: d.Ready,
	})
}

// Addr returns the callers' address.
func (d *Daemon) Addr() string { return d.entry.Addr() }

// PeerAddr returns the address for other daemons.
func (d *Daemon) PeerAddr() string { return d.peerAddr }

// OperatorAddr returns the operators' address.
func (d *Daemon) OperatorAddr() string { return d.ops.addr }

// Ready reports whether the balancer may send requests: the daemon has a configuration and a host list and is not
// leaving.
func (d *Daemon) Ready() bool {
	return d.config.View() != nil && d.list.Load() != nil && !d.leaving.Load()
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
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	d.claims.Close(ctx)
	stored := d.ledger.Drain(ctx)
	copyErr := d.copies.WriteAll(ctx)
	shutdownErr := d.entry.Shutdown(ctx)
	d.stop()
	var billErr error
	if !stored {
		billErr = fmt.Errorf("%d bills not written; their copies are held by a peer", d.ledger.Held())
	}
	return errors.Join(waitErr, billErr, copyErr, shutdownErr)
}

// Kill closes the ports without waiting for anything, as the loss of the host does. It is for tests.
func (d *Daemon) Kill() {
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
