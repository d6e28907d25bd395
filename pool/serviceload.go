package pool

import "time"

// ServiceLoad is what this daemon knows of the load of a routed service's usable endpoints: those that are in service, reachable and
// neither leaving nor ejected.
type ServiceLoad struct {
	Slots  int // 0 if those of an endpoint are not known
	InUse  int // requests at endpoints, up to the slots of each; those of other daemons as of the last report, for up to peerRequestsTTL
	Queued int // requests beyond the slots
}

// ServiceLoad returns the load of a routed service.
func (p *Pool) ServiceLoad(service string, now time.Time) ServiceLoad {
	t := p.table.Load()
	load, known := ServiceLoad{}, true
	allReachable := p.reachability.allReachable()
	for _, e := range t.groups[groupKey{service, ""}] {
		e.mu.Lock()
		slots, requests := e.host.Slots, e.estimatedRequests(now)
		usable := !e.stated.leaving && !now.Before(e.ejectedUntil) && !now.Before(e.stated.busyUntil) && t.view.DomainInService(e.host.Domain)
		domain := e.host.Domain
		e.mu.Unlock()
		if !usable || !allReachable && p.reachability.unreachable(domain, now) {
			continue
		}
		known = known && slots > 0
		load.Slots += slots
		load.InUse += min(slots, requests)
		load.Queued += max(0, requests-slots)
	}
	if !known {
		load.Slots = 0
	}
	return load
}
