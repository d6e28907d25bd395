package pool

import "github.com/bramleytrail/bramleytrail/hostlist"

// placement holds the versions that endpoints may serve according to the placement duties.
type placement struct {
	services map[string]bool
	serve    map[string][]string // by endpoint
}

// versions returns the versions that an endpoint may serve: those of the placement if it covers the service and lists
// the endpoint, otherwise those of the host list.
func (p placement) versions(h hostlist.Host) []string {
	if v, ok := p.serve[h.ID]; ok && p.services[h.Service] {
		return v
	}
	return h.Versions
}

// SetPlacement applies the tables of the placement duties: the services under placement, and the versions to serve by
// endpoint ID. The caller must not modify them afterwards. Endpoints that are not in serve keep the versions of the
// host list.
func (p *Pool) SetPlacement(services map[string]bool, serve map[string][]string) {
	p.mu.Lock()
	p.placement = placement{services, serve}
	p.rebuild()
	p.mu.Unlock()
	p.notifyCapacity("", nil)
}
