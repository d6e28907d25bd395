package pool

import "github.com/bramleytrail/bramleytrail/hostlist"

// placed are the versions that the placement duties let daemons send to endpoints.
type placed struct {
	services map[string]bool
	serve    map[string][]string // by endpoint
}

// versions returns the versions that may be sent to an endpoint: those of the placement if its service has one and the
// endpoint is known there, otherwise those of the host list.
func (p placed) versions(h hostlist.Host) []string {
	if v, ok := p.serve[h.ID]; ok && p.services[h.Service] {
		return v
	}
	return h.Versions
}

// SetPlacement applies the tables of the placement duties: the services under placement, and the versions to serve by
// endpoint. Both must not be changed afterwards. Endpoints that are not in serve keep the versions of the host list.
func (p *Pool) SetPlacement(services map[string]bool, serve map[string][]string) {
	p.mu.Lock()
	p.placed = placed{services, serve}
	p.rebuild()
	p.mu.Unlock()
	p.signal("", nil)
}
