package local

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/daemon"
	"github.com/bramleytrail/bramleytrail/declare"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/settings"
	"github.com/bramleytrail/bramleytrail/standin"
)

// SessionKey is the key that signs the session tokens of a local deployment.
const SessionKey = "local-deployment-session-key"

// pollInterval is the time between two checks of a condition in Wait.
const pollInterval = 10 * time.Millisecond

// cacheMoveTimeout is long enough for a cache move on a busy machine.
const cacheMoveTimeout = 2 * time.Minute

// Deployment is a running deployment in one process. Its owner stops it with Close or Stop. Daemons and endpoints must
// not be added concurrently.
type Deployment struct {
	Platform       *standin.Platform
	PlatformURL    string
	Daemons        []*daemon.Daemon
	Engines        map[string]*standin.Engine       // by name
	PlainEndpoints map[string]*standin.PlainService // by name
	Log            *logrus.Logger
	RelayNetwork   *RelayNetwork  // nil unless UseRelayNetwork was called
	MemoryNetwork  *MemoryNetwork // nil unless the deployment is in memory

	// Settings of the daemons that are added after a change, as in settings.Settings.
	DutyTTL      time.Duration
	CopyTimeout  time.Duration
	Settle       time.Duration
	CacheMoves   int // concurrent moves of a daemon; 0 turns cache moves off
	QueueWait    time.Duration
	StallTimeout time.Duration // longest time for which a caller may read nothing

	name           string // unique, as a later deployment may get the same ports
	platformServer *standin.Server
	servers        map[string]*standin.Server // of engines and plain endpoints, by name
}

// New starts a deployment that has only the platform, on loopback sockets. The daemons' log is discarded if log is nil.
func New(log *logrus.Logger) (*Deployment, error) { return newDeployment(log, nil) }

// NewInMemory is New without sockets: all connections are in memory, so that the deployment works under the fake clock of
// testing/synctest.
func NewInMemory(log *logrus.Logger) (*Deployment, error) {
	return newDeployment(log, newMemoryNetwork())
}

func newDeployment(log *logrus.Logger, memoryNetwork *MemoryNetwork) (*Deployment, error) {
	if log == nil {
		log = logrus.New()
		log.SetOutput(io.Discard)
	}
	p := standin.NewPlatform()
	d := &Deployment{
		Platform: p, Engines: map[string]*standin.Engine{}, PlainEndpoints: map[string]*standin.PlainService{}, Log: log, MemoryNetwork: memoryNetwork,
		DutyTTL: 900 * time.Millisecond, CopyTimeout: 500 * time.Millisecond, QueueWait: 2 * time.Second, StallTimeout: 30 * time.Second,
		name: rand.Text(), servers: map[string]*standin.Server{},
	}
	srv, err := d.serve(platformHost, p.Handler())
	if err != nil {
		return nil, err
	}
	d.platformServer, d.PlatformURL = srv, "http://"+srv.Addr
	return d, nil
}

// AddEngine starts a stand-in engine and adds it to the host list as an endpoint of a service.
func (d *Deployment) AddEngine(domain, service string, spec standin.EngineSpec) (*standin.Engine, error) {
	e := standin.NewEngine(spec)
	srv, err := d.serve(endpointHost, e.Handler())
	if err != nil {
		return nil, err
	}
	d.Engines[spec.Name], d.servers[spec.Name] = e, srv
	d.Platform.Hosts.Put(hostlist.Host{
		ID: spec.Name, Role: hostlist.RoleEndpoint, Domain: domain, State: hostlist.StateLive, Addr: srv.Addr, Service: service, Versions: spec.Versions,
	})
	return e, nil
}

// AddPlainEndpoint starts a stand-in endpoint of a plain service and adds it to the host list.
func (d *Deployment) AddPlainEndpoint(domain, service, name string) (*standin.PlainService, error) {
	p := standin.NewPlainService(name)
	srv, err := d.serve(endpointHost, p.Handler())
	if err != nil {
		return nil, err
	}
	d.PlainEndpoints[name], d.servers[name] = p, srv
	d.Platform.Hosts.Put(hostlist.Host{ID: name, Role: hostlist.RoleEndpoint, Domain: domain, State: hostlist.StateLive, Addr: srv.Addr, Service: service})
	return p, nil
}

// Settings returns settings for a daemon that listens on free ports and has short intervals. The caller may change them.
func (d *Deployment) Settings(id, domain string) *settings.Settings {
	return &settings.Settings{
		ID: id, Deployment: d.name, Domain: domain, Rack: id, Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", OperatorListen: "127.0.0.1:0",
		Store: d.PlatformURL, Hosts: d.PlatformURL, MaxInFlight: 1000, MaxConnections: 1000, QueueWait: d.QueueWait,
		StallTimeout: d.StallTimeout, Settle: d.Settle, BillInterval: 500 * time.Millisecond, CopyTimeout: d.CopyTimeout,
		CacheMoves: d.CacheMoves, CacheMovesPerSource: 1, CacheMoveBytes: 1 << 30, CacheMoveTime: cacheMoveTimeout,
		ClaimWrites: 1000, PollsPerSecond: 50, Ratings: d.PlatformURL, Weights: d.PlatformURL, DutyTTL: d.DutyTTL,
		EvidenceInterval: 100 * time.Millisecond, RatingInterval: 100 * time.Millisecond, ExploreShare: 0.05, ExploreCost: 0.05, LogLevel: "info", SessionKey: []byte(SessionKey),
	}
}

// AddDaemon starts a daemon and adds it to the host list.
func (d *Deployment) AddDaemon(s *settings.Settings) (*daemon.Daemon, error) {
	dm, err := d.StartDaemon(s)
	if err != nil {
		return nil, err
	}
	d.RegisterDaemon(s, dm)
	return dm, nil
}

// StartDaemon starts a daemon without adding it to the host list, as RegisterDaemon does. It may change addresses in s.
func (d *Deployment) StartDaemon(s *settings.Settings) (*daemon.Daemon, error) {
	var network *daemon.Network // nil for sockets
	if d.MemoryNetwork != nil {
		network = d.MemoryNetwork.attach(s)
	}
	if d.RelayNetwork != nil {
		if err := d.RelayNetwork.attach(s, d.platformServer.Addr); err != nil {
			return nil, err
		}
	}
	dm := daemon.NewWithNetwork(s, network, d.Log)
	if err := dm.Start(); err != nil {
		return nil, err
	}
	if d.RelayNetwork != nil {
		d.RelayNetwork.Peer(s.ID).SetTarget(dm.PeerAddr())
	}
	d.Daemons = append(d.Daemons, dm)
	return dm, nil
}

// RegisterDaemon adds a daemon that was started with s to the host list.
func (d *Deployment) RegisterDaemon(s *settings.Settings, dm *daemon.Daemon) {
	addr := dm.PeerAddr()
	if s.PeerAdvertise != "" {
		addr = s.PeerAdvertise
	}
	d.Platform.Hosts.Put(hostlist.Host{
		ID: s.ID, Role: hostlist.RoleEntry, Domain: s.Domain, Rack: s.Rack, State: hostlist.StateLive, Addr: addr,
	})
}

// Publish stores a configuration as the next revision. The error is kv.ErrConflict if another revision is stored
// concurrently.
func (d *Deployment) Publish(ctx context.Context, set object.Set) (config.Revision, error) {
	return d.Edit(ctx, func(s *object.Set) { *s = set })
}

// Edit reads the stored configuration, or an empty one if none is stored, lets edit change it and stores it as the next
// revision. The error is kv.ErrConflict if another revision was stored in the meantime.
func (d *Deployment) Edit(ctx context.Context, edit func(*object.Set)) (config.Revision, error) {
	stored, err := d.Platform.KV.Get(ctx, config.Key)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return config.Revision{}, err
	}
	var last config.Revision
	var set object.Set
	if err == nil {
		if last, err = config.UnmarshalRevision(stored.Value); err != nil {
			return config.Revision{}, err
		}
		if set, err = declare.Decode(last.Body); err != nil {
			return config.Revision{}, err
		}
	}
	edit(&set)
	body, digest, err := declare.Encode(set)
	if err != nil {
		return config.Revision{}, err
	}
	rev := config.Revision{Number: last.Number + 1, Digest: digest, Publisher: "local", Published: time.Now().UTC(), Body: body}
	data, err := rev.Marshal()
	if err != nil {
		return rev, err
	}
	_, err = d.Platform.KV.CAS(ctx, config.Key, data, stored.Revision, 0)
	return rev, err
}

// WaitRevision waits until every daemon is ready and has revision n of the configuration or a newer one, or until ctx
// ends.
func (d *Deployment) WaitRevision(ctx context.Context, n uint64) error {
	return Wait(ctx, func() bool {
		for _, dm := range d.Daemons {
			if s := dm.State(); s.Revision < n || !s.Ready {
				return false
			}
		}
		return true
	})
}

// WaitEndpoints waits until every daemon has load reports of at least n endpoints, or until ctx ends.
func (d *Deployment) WaitEndpoints(ctx context.Context, n int) error {
	return Wait(ctx, func() bool {
		for _, dm := range d.Daemons {
			reported := 0
			for _, e := range dm.State().Endpoints {
				if e.Boot != "" {
					reported++
				}
			}
			if reported < n {
				return false
			}
		}
		return true
	})
}

// Wait polls cond every 10 ms until it is true. It returns an error if ctx ends first.
func Wait(ctx context.Context, cond func() bool) error {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for !cond() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for condition: %w", ctx.Err())
		case <-t.C:
		}
	}
	return nil
}

// CloseServer stops the server of an engine or a plain endpoint. It does nothing for an unknown name.
func (d *Deployment) CloseServer(name string) {
	if s := d.servers[name]; s != nil {
		s.Close()
	}
}

// Close drains all daemons and then calls Stop. It returns the joined errors of the drains.
func (d *Deployment) Close(ctx context.Context) error {
	var errs []error
	for _, dm := range d.Daemons {
		errs = append(errs, dm.Drain(ctx))
	}
	d.Stop()
	return errors.Join(errs...)
}

// Stop stops the endpoints, the platform and the network. It leaves the daemons running.
func (d *Deployment) Stop() {
	for _, s := range d.servers {
		s.Close()
	}
	d.platformServer.Close()
	if d.RelayNetwork != nil {
		d.RelayNetwork.close()
	}
	if d.MemoryNetwork != nil {
		d.MemoryNetwork.net.Close()
	}
}
