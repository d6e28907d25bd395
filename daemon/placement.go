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

// Prefixes of the names of the placement duties, of their documents and of the keys of their states. The name of the failure
// domain follows.
const (
	dutyPlacementPrefix = "placement/"
	docPlacementPrefix  = "placement/"
	keyPlacementPrefix  = "state/placement/"
)

// placementSettleTime is the time within which a placement table is in force at every reachable daemon. It is the same as for
// a configuration.
const placementSettleTime = 20 * time.Second

// placementState holds the placement tables of all failure domains and what this daemon derives from them.
type placementState struct {
	placedRollouts atomic.Pointer[map[string]bool] // rollouts whose new version has its replicas, by "name/version"

	mu        sync.Mutex
	tables    map[string]placement.Table // by failure domain, as published; replaced, never modified
	appliedAt map[string]time.Time       // time of arrival of each table
	executor  *placement.Executor        // nil unless this daemon holds its domain's duty

	applyMu sync.Mutex // serializes applyPlacement, so that an older snapshot never replaces a newer one
}

func (s *placementState) snapshot() map[string]placement.Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.tables)
}

func (s *placementState) setExecutor(x *placement.Executor) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executor = x
}

// dump returns all tables. The table of this daemon's own duty, if any, includes the progress of its operations.
func (s *placementState) dump() map[string]placement.Table {
	out := s.snapshot()
	s.mu.Lock()
	executor := s.executor
	s.mu.Unlock()
	if executor != nil {
		if t := executor.Table(); t.Domain != "" {
			out[t.Domain] = t
		}
	}
	return out
}

// disabledDomainDemandTTL is the time for which the demand of a failure domain that was taken out of service still counts. By
// then, its traffic shows in the reports of the other domains.
const disabledDomainDemandTTL = 10 * time.Minute

// countsDemandOf reports whether the demand in a failure domain's table counts. A domain in service counts with its last table
// even if it no longer publishes, so that the loss of a domain does not lower the demand.
func (s *placementState) countsDemandOf(view *config.View, domain string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return view.DomainInService(domain) || view.Domains[domain] != nil && time.Since(s.appliedAt[domain]) < disabledDomainDemandTTL
}

// startPlacement loads the placement tables and, if the daemon has a client of the weight store, competes for its domain's
// placement duty.
func (d *Daemon) startPlacement() {
	d.metrics.Gauge(`bramley_duty_held{duty="placement"}`, func() float64 {
		d.placement.mu.Lock()
		defer d.placement.mu.Unlock()
		if d.placement.executor != nil {
			return 1
		}
		return 0
	})
	d.metrics.Gauge("bramley_placement_missing", d.missingReplicas)
	d.wg.Go(d.loadPlacementTables)
	if d.platform.Weights == nil {
		return
	}
	name := dutyPlacementPrefix + d.settings.Domain
	job := d.newDuty(name)
	d.wg.Go(func() { d.runDutyWhile(job, name, d.placementWanted, d.startPlacementTerm(job)) })
}

// missingReplicas returns the number of replicas that this daemon's failure domain needs but does not have ready.
func (d *Daemon) missingReplicas() float64 {
	n := 0
	for _, s := range d.placement.snapshot()[d.settings.Domain].Versions {
		n += max(0, s.Need-s.Ready)
	}
	return float64(n)
}

// placementWanted reports whether any service with endpoints in this daemon's failure domain is under placement.
func (d *Daemon) placementWanted() bool { return len(d.placedServices(d.settings.Domain)) > 0 }

// placedServices returns the services under placement in a failure domain. It returns nil if the domain is not in service.
func (d *Daemon) placedServices(domain string) []*object.Service {
	view := d.config.View()
	if view == nil || !view.DomainInService(domain) {
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

// loadPlacementTables loads the table of each failure domain under placement once, unless a peer delivers it first.
func (d *Daemon) loadPlacementTables() {
	for d.ctx.Err() == nil {
		if view := d.config.View(); view != nil {
			for _, domain := range view.Set.FailureDomains {
				if len(d.placedServices(domain.Name)) > 0 {
					d.loadDocument(docPlacementPrefix+domain.Name, keyPlacementPrefix+domain.Name, placement.Table{Domain: domain.Name}.Encode)
				}
			}
		}
		d.sleep(d.settings.EvidenceInterval)
	}
}

// applyPlacementTable puts a table in force that the holder of a placement duty has published.
func (d *Daemon) applyPlacementTable(domain string, body []byte) error {
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
	if d.placement.appliedAt == nil {
		d.placement.appliedAt = map[string]time.Time{}
	}
	d.placement.appliedAt[domain] = time.Now()
	d.placement.tables = tables
	d.placement.mu.Unlock()
	d.applyPlacement()
	return nil
}

// applyPlacement updates the pool and the rollouts from the placement tables and the configuration in force.
func (d *Daemon) applyPlacement() {
	view := d.config.View()
	if view == nil {
		return
	}
	d.placement.applyMu.Lock()
	defer d.placement.applyMu.Unlock()
	services, serve := map[string]bool{}, map[string][]string{}
	for name, svc := range view.Services {
		services[name] = svc.Placement.Enabled
	}
	tables := d.placement.snapshot()
	for _, t := range tables {
		maps.Copy(serve, t.Serve)
	}
	d.pool.SetPlacement(services, serve)
	d.updatePlacedRollouts(view, tables)
}

// placementTerm runs the placement executor during one term of the placement duty.
type placementTerm struct {
	daemon   *Daemon
	executor *placement.Executor
}

// startPlacementTerm returns the function that starts a term with an executor that continues from the stored table.
func (d *Daemon) startPlacementTerm(job *duty.Duty) func(ctx context.Context, fence uint64) (dutyTerm, error) {
	domain := d.settings.Domain
	return func(ctx context.Context, fence uint64) (dutyTerm, error) {
		state, body, err := d.openState(ctx, keyPlacementPrefix+domain, docPlacementPrefix+domain, fence)
		if err != nil {
			return nil, err
		}
		previous, err := placement.DecodeTable(body)
		if err != nil {
			return nil, err
		}
		polls := float64(d.settings.PollsPerSecond) * d.dutyInterval(job).Seconds()
		x := placement.New(placement.Spec{
			Domain: domain, Engines: d.engines, Weights: d.platform.Weights, Journal: tableJournal{d, state}, Fence: fence, Lease: job.Lease,
			LeaseMargin: d.settings.DutyTTL / 2, SettleTime: placementSettleTime, PollsPerTick: max(1, int(polls)), Now: time.Now, OnOrder: d.recordOrder,
		}, previous)
		d.placement.setExecutor(x)
		return &placementTerm{d, x}, nil
	}
}

func (t *placementTerm) tick(ctx context.Context) error {
	if t.daemon.docs.hostList.Load() == nil {
		return nil // without a host list, the table would contain no endpoints
	}
	return t.executor.Tick(ctx, t.daemon.placementFleets())
}

func (t *placementTerm) end() { t.daemon.placement.setExecutor(nil) }

// recordOrder counts and logs an order to an endpoint. A non-nil err means that the endpoint did not confirm it;
// after a timeout, the order may still take effect.
func (d *Daemon) recordOrder(s placement.Operation, err error) {
	outcome := "accepted"
	if err != nil {
		outcome = "failed"
	}
	d.metrics.Counter(fmt.Sprintf(`bramley_placement_orders_total{action=%q,outcome=%q}`, s.Action, outcome)).Inc()
	d.log.WithField("endpoint", s.Endpoint).WithField("version", s.Version).WithError(err).Infof("placement order %s sent", s.Action)
}

// tableJournal implements placement.Journal. It writes a table to the key-value store and then publishes it to the peers.
type tableJournal struct {
	daemon *Daemon
	state  *duty.State
}

// Save implements placement.Journal. It returns duty.ErrSuperseded if a newer holder has written the state.
func (j tableJournal) Save(ctx context.Context, body []byte) error {
	if err := j.state.Save(ctx, body); err != nil {
		return err
	}
	return j.daemon.offerState(docPlacementPrefix+j.daemon.settings.Domain, j.state.Number(), body)
}
