package gateway

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/dispatch"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/scaling"
)

// termGap is the time between two steps from which on the holder starts over without history: steps are made once a second, so another
// daemon may have held the duty in between, or this one was frozen.
const termGap = 2500 * time.Millisecond

// serviceDomain identifies the endpoints of a service in a failure domain.
type serviceDomain struct{ service, domain string }

func (k serviceDomain) compare(o serviceDomain) int {
	return cmp.Or(cmp.Compare(k.service, o.service), cmp.Compare(k.domain, o.domain))
}

// demandCounter counts this daemon's requests of services with scaling since the last report. Its keys are bounded by the configuration.
type demandCounter struct {
	mu     sync.Mutex
	counts map[serviceDomain]scaling.Demand
}

func (c *demandCounter) add(service, domain string, count func(*scaling.Demand)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := serviceDomain{service, domain}
	d := c.counts[k]
	count(&d)
	c.counts[k] = d
}

// take returns the counts and starts over.
func (c *demandCounter) take() map[serviceDomain]scaling.Demand {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.counts
	c.counts = map[serviceDomain]scaling.Demand{}
	return counts
}

// scalingOf returns the bounds on a service's endpoints, or nil if they are not scaled.
func scalingOf(view *config.View, service string) *object.Scaling {
	if view == nil || view.Services[service] == nil || view.Services[service].Routed == nil {
		return nil
	}
	return view.Services[service].Routed.Scaling
}

// countSend counts the arrival of a request that is sent for the first time.
func (g *Gateway) countSend(a dispatch.RoutedAttempt) {
	if a.Retry || a.LastEventID > 0 || scalingOf(g.config.View(), a.Service) == nil {
		return
	}
	g.demands.add(a.Service, a.Domain, func(d *scaling.Demand) { d.Arrived++ })
}

// countLate counts an answer that began after its target. The wait for capacity is part of the time.
func (g *Gateway) countLate(a dispatch.RoutedAttempt) {
	if a.Err != nil || a.Target <= 0 || a.Wait+a.Latency <= a.Target || a.LastEventID > 0 || scalingOf(g.config.View(), a.Service) == nil {
		return
	}
	g.demands.add(a.Service, a.Domain, func(d *scaling.Demand) { d.Late++ })
}

// countRefusal counts a request that was refused because all endpoints are full. It would have preferred this daemon's failure domain.
func (g *Gateway) countRefusal(service string) {
	if scalingOf(g.config.View(), service) == nil {
		return
	}
	g.demands.add(service, g.spec.Domain, func(d *scaling.Demand) { d.Arrived, d.Refused = d.Arrived+1, d.Refused+1 })
}

// serviceScaler orders endpoints for the services whose configuration bounds their number. Every daemon uses demand; the holder of the
// duty also uses step. One goroutine calls both; mu guards what the metrics read.
type serviceScaler struct {
	g         *Gateway
	planners  map[string]*scaling.Planner // by service
	steppedAt time.Time                   // end of the last step

	mu     sync.Mutex
	shown  map[serviceDomain]scaledState
	gauges map[serviceDomain]bool // registered
}

// scaledState is what the metrics show of a service's endpoints in a failure domain.
type scaledState struct {
	wanted, present int
	at              time.Time
}

func newServiceScaler(g *Gateway) *serviceScaler {
	return &serviceScaler{g: g, planners: map[string]*scaling.Planner{}, shown: map[serviceDomain]scaledState{}, gauges: map[serviceDomain]bool{}}
}

// scaledServices returns the names of the services with scaling, in order.
func scaledServices(view *config.View) []string {
	if view == nil {
		return nil
	}
	var names []string
	for name := range view.Services {
		if scalingOf(view, name) != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// demand returns this daemon's demand for the services with scaling, and starts over with what is counted. It is called once a second.
func (s *serviceScaler) demand(now time.Time) []scaling.Demand {
	g := s.g
	sums := g.demands.take()
	services := scaledServices(g.config.View())
	for _, service := range services {
		for domain, load := range g.pool.DomainLoads(service, now) {
			d := sums[serviceDomain{service, domain}]
			d.InFlight = load.InFlight
			sums[serviceDomain{service, domain}] = d
		}
		d := sums[serviceDomain{service, g.spec.Domain}]
		d.Waiting = g.dispatch.WaitingFor(service)
		sums[serviceDomain{service, g.spec.Domain}] = d
	}
	var list []scaling.Demand
	for _, k := range slices.SortedFunc(maps.Keys(sums), serviceDomain.compare) {
		d := sums[k]
		if d == (scaling.Demand{}) || !slices.Contains(services, k.service) {
			continue
		}
		d.Service, d.Domain = k.service, k.domain
		list = append(list, d)
	}
	return list
}

// step decides on the endpoints of all services with scaling and orders changes. reports are those of all daemons, also of this one. An
// order that fails is decided again in the next step.
func (s *serviceScaler) step(now time.Time, reports []scaling.Report, order func(service, domain string, count int) error) {
	began := time.Now()
	// Round drops the monotonic clock, which does not advance while the host is suspended.
	if gap := now.Round(0).Sub(s.steppedAt.Round(0)); gap > termGap {
		s.planners = map[string]*scaling.Planner{}
	}
	view := s.g.config.View()
	services := scaledServices(view)
	maps.DeleteFunc(s.planners, func(name string, _ *scaling.Planner) bool { return !slices.Contains(services, name) })
	members := s.g.view.memberDomains()
	for _, service := range services {
		if s.planners[service] == nil {
			s.planners[service] = scaling.NewPlanner()
		}
		s.stepService(now, view, service, members, reports, order)
	}
	s.steppedAt = now.Add(time.Since(began)) // calls for orders may take longer than termGap
}

func (s *serviceScaler) stepService(now time.Time, view *config.View, service string, members map[string]string, reports []scaling.Report, order func(service, domain string, count int) error) {
	planner, bounds := s.planners[service], scalingOf(view, service)
	limits := scaling.Limits{Minimum: bounds.Minimum, Maximum: bounds.Maximum, BootTime: bounds.BootTime}
	domains := s.domains(now, view, service, members, reports)
	for _, d := range planner.Decide(now, limits, domains, s.holdReason(view, service)) {
		e := s.g.log.WithFields(logrus.Fields{"service": service, "endpoints_domain": d.Domain, "count": d.Count, "previous": d.Previous, "reason": d.Reason})
		if err := order(service, d.Domain, d.Count); err != nil {
			e.WithError(err).Info("order for endpoints failed")
			continue
		}
		planner.Ordered(now, d.Domain, d.Count)
		e.Info("endpoints ordered")
	}
	for _, d := range domains {
		s.show(serviceDomain{service, d.Name}, scaledState{planner.Desired(d.Name), d.Present, now})
	}
}

// holdReason returns why the endpoints that are listed say nothing about those that were ordered; empty if they do.
func (s *serviceScaler) holdReason(view *config.View, service string) string {
	if r := releaseOf(view, service); r != nil && r.State == object.ReleaseRunning {
		return "a release is running"
	}
	if s.g.view.unavailable.Load() {
		return "the store does not answer"
	}
	return ""
}

// domains returns the state of a service in all failure domains, ordered by name.
func (s *serviceScaler) domains(now time.Time, view *config.View, service string, members map[string]string, reports []scaling.Report) []scaling.Domain {
	names := slices.Sorted(maps.Keys(view.Domains))
	demands, missing := scaling.Sum(service, names, members, reports, now)
	loads := s.g.pool.DomainLoads(service, now)
	var list []scaling.Domain
	for _, name := range names {
		load, known := loads[name]
		if !known && s.planners[service].Desired(name) == 0 {
			continue // the service has no endpoints there
		}
		d := scaling.Domain{Name: name, Present: load.Present, Unusable: load.Unusable, Slots: load.Slots, Demand: demands[name]}
		if !view.DomainInService(name) {
			d.Unreachable = "evacuated"
		} else if s.g.pool.Unreachable(name, now) {
			d.Unreachable = "partitioned"
		}
		if len(missing) > 0 { // any daemon may send requests to any failure domain
			d.Incomplete = "reports are missing"
		}
		list = append(list, d)
	}
	return list
}

// show sets what the metrics show, and registers them for a new failure domain.
func (s *serviceScaler) show(k serviceDomain, state scaledState) {
	s.mu.Lock()
	s.shown[k] = state
	registered := s.gauges[k]
	s.gauges[k] = true
	s.mu.Unlock()
	if registered {
		return
	}
	labels := fmt.Sprintf(`{service=%q,domain=%q}`, k.service, k.domain)
	s.g.spec.Metrics.Gauge("bramley_endpoints_wanted"+labels, func() float64 { return float64(s.current(k).wanted) })
	s.g.spec.Metrics.Gauge("bramley_endpoints_present"+labels, func() float64 { return float64(s.current(k).present) })
}

// current returns the state of a failure domain, zeros if this daemon no longer holds the duty.
func (s *serviceScaler) current(k serviceDomain) scaledState {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.shown[k].at) > 2*termGap {
		return scaledState{}
	}
	return s.shown[k]
}
