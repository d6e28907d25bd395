package pool

import (
	"time"

	"github.com/bramleytrail/bramleytrail/hostlist"
)

// DomainLoad is what this daemon knows of a service's endpoints in one failure domain.
type DomainLoad struct {
	InFlight int // this daemon's requests, also those at endpoints that leave
	Present  int // live endpoints
	Unusable int // of these, ejected for failures
	Slots    int // mean of the live endpoints; 0 if not known
}

// DomainLoads returns the load of a service by the failure domain of its endpoints.
func (p *Pool) DomainLoads(service string, now time.Time) map[string]DomainLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	slots := 0 // of an endpoint that does not report them
	if p.view != nil && p.view.Services[service] != nil {
		slots = p.view.Services[service].Limits.Slots
	}
	listed := p.table.Load().byID
	loads := map[string]DomainLoad{}
	for id, e := range p.endpoints {
		e.mu.Lock()
		if e.host.Service == service {
			l := loads[e.host.Domain]
			l.InFlight += int(e.inFlight)
			if listed[id] == e && e.host.State == hostlist.StateLive && !e.stated.leaving {
				l.Present++
				if e.failures > 0 && now.Before(e.ejectedUntil) {
					l.Unusable++
				}
				if e.host.Slots > 0 {
					l.Slots += e.host.Slots
				} else {
					l.Slots += slots
				}
			}
			loads[e.host.Domain] = l
		}
		e.mu.Unlock()
	}
	for domain, l := range loads {
		l.Slots /= max(1, l.Present)
		loads[domain] = l
	}
	return loads
}

// Unreachable reports whether a failure domain counts as unreachable for this daemon, also while a probe is due.
func (p *Pool) Unreachable(domain string, now time.Time) bool {
	p.reachability.mu.Lock()
	defer p.reachability.mu.Unlock()
	d := p.reachability.domains[domain]
	if d == nil {
		return false
	}
	recent := 0
	for _, at := range d.lastFailure {
		if now.Sub(at) < unreachableTTL {
			recent++
		}
	}
	return recent >= unreachableThreshold
}
