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

// SessionKey signs session tokens of a local deployment.
const SessionKey = "local-deployment-session-key"

const readyPoll = 10 * time.Millisecond

// cacheMoveTime leaves moves enough time on a busy machine.
const cacheMoveTime = 2 * time.Minute

// Deployment is a running set of processes' parts.
type Deployment struct {
	Platform    *standin.Platform
	PlatformURL string
	Daemons     []*daemon.Daemon
	Engines     map[string]*standin.Engine
	Plains      map[string]*standin.PlainService
	Log         *logrus.Logger
	Network     *Network      // nil unless UseNetwork was called
	Memory      *Memory       // nil unless the deployment is in memory
	DutyTTL     time.Duration // of daemons that are added from now on
	CopyTimeout time.Duration // of daemons that are added from now on
	Settle      time.Duration // of daemons that are added from now on
	CacheMoves  int           // of daemons that are added from now on; 0 for none
	QueueWait   time.Duration // of daemons that are added from now on
	Stall       time.Duration // for which callers of daemons that are added from now on may read nothing

	name     string // another one for each deployment, as ports are used again
	platform *standin.Server
	servers  map[string]*standin.Server
}

// New starts the platform.
func New(log *logrus.Logger) (*Deployment, error) { return newDeployment(log, nil) }

// NewInMemory starts the platform of a deployment that opens no sockets and works under a fake clock.
func NewInMemory(log *logrus.Logger) (*Deployment, error) { return newDeployment(log, newMemory()) }

func newDeployment(log *logrus.Logger, memory *Memory) (*Deployment, error) {
	if log == nil {
		log = logrus.New()
		log.SetOutput(io.Discard)
	}
	p := standin.NewPlatform()
	d := &Deployment{
		Platform: p, Engines: map[string]*standin.Engine{}, Plains: map[string]*standin.PlainService{}, Log: log, Memory: memory,
		DutyTTL: 900 * time.Millisecond, CopyTimeout: 500 * time.Millisecond, QueueWait: 2 * time.Second, Stall: 30 * time.Second,
		name: rand.Text(), servers: map[string]*standin.Server{},
	}
	srv, err := d.serve(platformHost, p.Handler())
	if err != nil {
		return nil, err
	}
	d.platform, d.PlatformURL = srv, "http://"+srv.Addr
	return d, nil
}

// AddEngine starts a model engine and lists it.
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

// AddPlain starts a plain service's endpoint and lists it.
func (d *Deployment) AddPlain(domain, service, name string) (*standin.PlainService, error) {
	p := standin.NewPlainService(name)
	srv, err := d.serve(endpointHost, p.Handler())
	if err != nil {
		return nil, err
	}
	d.Plains[name], d.servers[name] = p, srv
	d.Platform.Hosts.Put(hostlist.Host{ID: name, Role: hostlist.RoleEndpoint, Domain: domain, State: hostlist.StateLive, Addr: srv.Addr, Service: service})
	return p, nil
}

// Settings returns settings for a daemon with free ports and short intervals.
func (d *Deployment) Settings(id, domain string) *settings.Settings {
	return &settings.Settings{
		ID: id, Deployment: d.name, Domain: domain, Rack: id, Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", OperatorListen: "127.0.0.1:0",
		Store: d.PlatformURL, Hosts: d.PlatformURL, MaxInFlight: 1000, MaxConnections: 1000, QueueWait: d.QueueWait,
		StallTimeout: d.Stall, Settle: d.Settle, BillInterval: 500 * time.Millisecond, CopyTimeout: d.CopyTimeout,
		CacheMoves: d.CacheMoves, CacheMovesPerSource: 1, CacheMoveBytes: 1 << 30, CacheMoveTime: cacheMoveTime,
		ClaimWrites: 1000, PollsPerSecond: 50, Ratings: d.PlatformURL, Weights: d.PlatformURL, DutyTTL: d.DutyTTL,
		EvidenceInterval: 100 * time.Millisecond, RatingInterval: 100 * time.Millisecond, ExploreShare: 0.05, ExploreCost: 0.05, LogLevel: "info", SessionKey: []byte(SessionKey),
	}
}

// AddDaemon starts a daemon and lists it.
func (d *Deployment) AddDaemon(s *settings.Settings) (*daemon.Daemon, error) {
	dm, err := d.StartDaemon(s)
	if err != nil {
		return nil, err
	}
	d.ListDaemon(s, dm)
	return dm, nil
}

// StartDaemon starts a daemon that is not in the host list yet.
func (d *Deployment) StartDaemon(s *settings.Settings) (*daemon.Daemon, error) {
	var network *daemon.Network // sockets
	if d.Memory != nil {
		network = d.Memory.place(s)
	}
	if d.Network != nil {
		if err := d.Network.place(s, d.platform.Addr); err != nil {
			return nil, err
		}
	}
	dm := daemon.NewWithNetwork(s, network, d.Log)
	if err := dm.Start(); err != nil {
		return nil, err
	}
	if d.Network != nil {
		d.Network.Peer(s.ID).SetTarget(dm.PeerAddr())
	}
	d.Daemons = append(d.Daemons, dm)
	return dm, nil
}

// ListDaemon adds a daemon to the host list.
func (d *Deployment) ListDaemon(s *settings.Settings, dm *daemon.Daemon) {
	addr := dm.PeerAddr()
	if s.PeerAdvertise != "" {
		addr = s.PeerAdvertise
	}
	d.Platform.Hosts.Put(hostlist.Host{
		ID: s.ID, Role: hostlist.RoleEntry, Domain: s.Domain, Rack: s.Rack, State: hostlist.StateLive, Addr: addr,
	})
}

// Publish stores a set as the next revision. It fails with kv.ErrConflict if another revision is stored at the same time.
func (d *Deployment) Publish(ctx context.Context, set object.Set) (config.Revision, error) {
	return d.Edit(ctx, func(s *object.Set) { *s = set })
}

// Edit changes the stored set, which may be none, and stores it as the next revision. It fails with kv.ErrConflict if
// another revision was stored since it read the set.
func (d *Deployment) Edit(ctx context.Context, change func(*object.Set)) (config.Revision, error) {
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
	change(&set)
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

// WaitRevision waits until every daemon has a revision at least as new as n and is ready.
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

// WaitEndpoints waits until every daemon has a load report of n endpoints.
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

// Wait polls until cond holds or ctx ends.
func Wait(ctx context.Context, cond func() bool) error {
	t := time.NewTicker(readyPoll)
	defer t.Stop()
	for !cond() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("condition not reached: %w", ctx.Err())
		case <-t.C:
		}
	}
	return nil
}

// CloseServer stops the server of an engine or plain service.
func (d *Deployment) CloseServer(name string) {
	if s := d.servers[name]; s != nil {
		s.Close()
	}
}

// Close drains all daemons and stops everything.
func (d *Deployment) Close(ctx context.Context) error {
	var errs []error
	for _, dm := range d.Daemons {
		errs = append(errs, dm.Drain(ctx))
	}
	d.Stop()
	return errors.Join(errs...)
}

// Stop stops the platform and the endpoints.
func (d *Deployment) Stop() {
	for _, s := range d.servers {
		s.Close()
	}
	d.platform.Close()
	if d.Network != nil {
		d.Network.close()
	}
	if d.Memory != nil {
		d.Memory.net.Close()
	}
}
