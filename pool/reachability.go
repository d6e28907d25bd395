package pool

import (
	"sync"
	"time"
)

// When a failure domain is unreachable, its endpoints seem to fail one by one. Each would cost several requests a
// connection timeout before it is ejected, and again whenever its ejection ends. Connection failures at several
// endpoints of a domain, without an answer from the domain in between, therefore count as evidence about the whole
// domain.
const (
	// unreachableThreshold is the number of endpoints of a domain that must fail, without an answer from the domain in
	// between, until the domain counts as unreachable. A single endpoint says nothing about the others.
	unreachableThreshold = 2
	// unreachableTTL is the age at which a failure no longer counts. While a domain is unreachable, occasional requests
	// to it renew the evidence.
	unreachableTTL = 4 * time.Second
	// unreachableProbeInterval is the time after which another request may go to an unreachable domain if it is
	// preferred otherwise.
	unreachableProbeInterval = time.Second
)

// reachability records which failure domains this daemon can connect to. It is safe for concurrent use.
type reachability struct {
	mu      sync.Mutex
	domains map[string]*domainFailures
}

// domainFailures holds the endpoints of a domain that did not respond since the last answer from the domain.
type domainFailures struct {
	lastFailure map[string]time.Time // by endpoint
	probeAt     time.Time            // when the next request may go to the domain
}

func newReachability() *reachability { return &reachability{domains: map[string]*domainFailures{}} }

// recordTimeout records that an endpoint did not respond in time.
func (r *reachability) recordTimeout(domain, endpoint string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.domains[domain]
	if d == nil {
		d = &domainFailures{lastFailure: map[string]time.Time{}}
		r.domains[domain] = d
	}
	d.lastFailure[endpoint] = now
	d.probeAt = now.Add(unreachableProbeInterval)
}

// recordAnswer records that an endpoint of the domain answered.
func (r *reachability) recordAnswer(domain string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.domains, domain)
}

// unreachable reports whether the domain counts as unreachable now. It returns false when a probe is due, so that one
// request may go there.
func (r *reachability) unreachable(domain string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.domains[domain]
	if d == nil || !now.Before(d.probeAt) {
		return false
	}
	for id, at := range d.lastFailure {
		if now.Sub(at) >= unreachableTTL {
			delete(d.lastFailure, id)
		}
	}
	return len(d.lastFailure) >= unreachableThreshold
}

// recordProbe records that a request is sent to the domain, so that other requests wait for its outcome.
func (r *reachability) recordProbe(domain string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d := r.domains[domain]; d != nil && !now.Before(d.probeAt) {
		d.probeAt = now.Add(unreachableProbeInterval)
	}
}

// allReachable reports whether every domain has answered since the last timeout there.
func (r *reachability) allReachable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.domains) == 0
}

// DomainUnreachable reports whether the endpoint's failure domain counts as unreachable.
func (r *Reservation) DomainUnreachable(now time.Time) bool {
	return r.pool.reachability.unreachable(r.Domain, now)
}
