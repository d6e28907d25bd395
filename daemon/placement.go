package daemon

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/duty"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/placement"
)

// Names of the placement duties, their documents and the keys of their states; the failure domain follows.
const (
	dutyPlacement = "placement/"
	docPlacement  = "placement/"
	keyPlacement  = "state/placement/"
)

// placementSettle is the time within which a table is in force at every daemon that can be reached: the same as for a
// configuration.
const placementSettle = 20 * time.Second

// placementState is what a daemon knows of placement.
type placementState struct {
	open atomic.Pointer[map[string]bool] // roll-outs whose new version has its endpoints, by name

	mu     sync.Mutex
	tables map[string]placement.Table // by failure domain, as spread
	heard  map[string]time.Time       // when each was applied
	own    *placement.Executor        // while this daemon holds its domain's duty

	applying sync.Mutex // serialises applyPlacement, so that an older snapshot never replaces a newer one
}

func (s *placementState) snapshot() map[string]placement.Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.tables)
}

func (s *placementState) setOwn(x *placement.Executor) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own = x
}

// dump returns all tables; the one of this daemon's duty has the progress of the steps.
func (s *placementState) dump() map[string]placement.Table {
	out := s.snapshot()
	s.mu.Lock()
	own := s.own
	s.mu.Unlock()
	if own != nil {
		if t := own.Table(); t.Domain != "" {
			out[t.Domain] = t
		}
	}
	return out
}

// outDemandKept is the time for which the demand of a failure domain that was taken out of service still counts. By then,
// its traffic shows in the reports of the other domains.
const outDemandKept = 10 * time.Minute

// counts reports whether the demand of a failure domain's table counts. A domain that is in service counts with its last
// numbers even if it publishes nothing any more, so that its loss lowers no need.
func (s *placementState) counts(view *config.View, domain string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return view.DomainIn(domain) || view.Domains[domain] != nil && time.Since(s.heard[domain]) < outDemandKept
}

func (d *Daemon) startPlacement() {
	d.metrics.Gauge(`bramley_duty_held{duty="placement"}`, func() float64 {
		d.placement.mu.Lock()
		defer d.placement.mu.Unlock()
		if d.placement.own != nil {
			return 1
		}
		return 0
	})
	d.metrics.Gauge("bramley_placement_missing", d.missingReplicas)
	d.wg.Go(d.learnPlacement)
	if d.platform.Weights == nil {
		return
	}
	name := dutyPlacement + d.settings.Domain
	job := d.newJob(name)
	d.wg.Go(func() { d.holdJob(job, name, d.placementWanted, d.startExecutor(job)) })
}

// missingReplicas returns the replicas that this daemon's failure domain lacks.
func (d *Daemon) missingReplicas() float64 {
	n := 0
	for _, s := range d.placement.snapshot()[d.settings.Domain].Versions {
		n += max(0, s.Need-s.Ready)
	}
	return float64(n)
}

// placementWanted reports whether a service of this daemon's failure domain is under placement.
func (d *Daemon) placementWanted() bool { return len(d.placedServices(d.settings.Domain)) > 0 }

// placedServices returns the services under placement that have endpoints in a failure domain in service.
func (d *Daemon) placedServices(domain string) []*object.Service {
	view := d.config.View()
	if view == nil || !view.DomainIn(domain) {
		return nil
	}
	var out []*object.Service
	for i := range view.Set.Services {
		svc := &view.Set.Services[i]
		for _, name := range svc.FailureDomains {
			if svc.Placement.Enabled && name == domain {
				out = append(out, svc)
			}
		}
	}
	return out
}

// learnPlacement reads the table of each failure domain under placement once, unless a peer is faster.
func (d *Daemon) learnPlacement() {
	for d.ctx.Err() == nil {
		if view := d.config.View(); view != nil {
			for _, domain := range view.Set.FailureDomains {
				if len(d.placedServices(domain.Name)) > 0 {
					d.learn(docPlacement+domain.Name, keyPlacement+domain.Name, placement.Table{Domain: domain.Name}.Encode)
				}
			}
		}
		d.sleep(d.settings.EvidenceEvery)
	}
}

// offerPlacement applies a table that a holder has spread.
func (d *Daemon) offerPlacement(domain string, body []byte) error {
	t, err := placement.DecodeTable(body)
	if err != nil {
		return err
	}
	d.placement.mu.Lock()
	tables := maps.Clone(d.placement.tables)
	if tables == nil {
		tables = map[string]placement.Table{}
	}
	tables[domain] = t
	if d.placement.heard == nil {
		d.placement.heard = map[string]time.Time{}
	}
	d.placement.heard[domain] = time.Now()
	d.placement.tables = tables
	d.placement.mu.Unlock()
	d.applyPlacement()
	return nil
}

// applyPlacement has the pool and the roll-outs follow the tables and the configuration in force.
func (d *Daemon) applyPlacement() {
	view := d.config.View()
	if view == nil {
		return
	}
	d.placement.applying.Lock()
	defer d.placement.applying.Unlock()
	services, serve := map[string]bool{}, map[string][]string{}
	for name, svc := range view.Services {
		services[name] = svc.Placement.Enabled
	}
	tables := d.placement.snapshot()
	for _, t := range tables {
		maps.Copy(serve, t.Serve)
	}
	d.pool.SetPlacement(services, serve)
	d.openRollouts(view, tables)
}

// executorTerm runs the executor while this daemon holds the duty.
type executorTerm struct {
	daemon   *Daemon
	executor *placement.Executor
}

func (d *Daemon) startExecutor(job *duty.Duty) func(ctx context.Context, fence uint64) (term, error) {
	domain := d.settings.Domain
	return func(ctx context.Context, fence uint64) (term, error) {
		state, body, err := d.openState(ctx, keyPlacement+domain, docPlacement+domain, fence)
		if err != nil {
			return nil, err
		}
		previous, err := placement.DecodeTable(body)
		if err != nil {
			return nil, err
		}
		polls := float64(d.settings.PollsPerSecond) * d.dutyPause(job).Seconds()
		x := placement.New(placement.Spec{
			Domain: domain, Engines: d.engines, Weights: d.platform.Weights, Journal: tableJournal{d, state}, Fence: fence, Lease: job.Lease,
			LeaseMargin: d.settings.DutyTTL / 2, SettleTime: placementSettle, PollsPerTick: max(1, int(polls)), Now: time.Now, OnOrder: d.countOrder,
		}, previous)
		d.placement.setOwn(x)
		return &executorTerm{d, x}, nil
	}
}

func (t *executorTerm) tick(ctx context.Context) error {
	if t.daemon.docs.list.Load() == nil {
		return nil // without a host list, the table would name no endpoint
	}
	return t.executor.Tick(ctx, t.daemon.fleets())
}

func (t *executorTerm) end() { t.daemon.placement.setOwn(nil) }

func (d *Daemon) countOrder(s placement.Operation, err error) {
	outcome := "accepted"
	if err != nil {
		outcome = "failed"
	}
	d.metrics.Counter(fmt.Sprintf(`bramley_placement_orders_total{action=%q,outcome=%q}`, s.Action, outcome)).Inc()
	d.log.WithField("endpoint", s.Endpoint).WithField("version", s.Version).WithError(err).Infof("order %s sent", s.Action)
}

// tableJournal records a table in the key-value service and then spreads it.
type tableJournal struct {
	daemon *Daemon
	state  *duty.State
}

// Save implements placement.Journal.
func (j tableJournal) Save(ctx context.Context, body []byte) error {
	if err := j.state.Save(ctx, body); err != nil {
		return err
	}
	return j.daemon.offerState(docPlacement+j.daemon.settings.Domain, j.state.Number(), body)
}
