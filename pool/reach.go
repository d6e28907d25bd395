package pool

import (
	"sync"
	"time"
)

// A failure domain that is cut off looks like many endpoints that fail one by one. Each would cost several requests a
// connection timeout before it is ejected, and all of them again when their ejection ends. Failures of the connection at
// several endpoints of a domain, with no answer from there in between, are therefore evidence on the domain as a whole.
const (
	// unreachedEndpoints is the number of endpoints of one domain without an answer in between from which the domain is
	// taken for cut off: one alone says nothing about the others.
	unreachedEndpoints = 2
	// unreachedTTL is the age at which a failure no longer counts. While a domain is cut off, a request that goes there now
	// and then renews the evidence.
	unreachedTTL = 4 * time.Second
	// unreachedProbe is the time after which a request may go to a domain that was cut off, if it would be preferred.
	unreachedProbe = time.Second
	// unreachedDelay is the part of the request's target by which endpoints of a domain that is cut off count as slower.
	unreachedDelay = 1.0
)

// reach is what a daemon knows of its connections to failure domains.
type reach struct {
	mu      sync.Mutex
	domains map[string]*domainReach
}

// domainReach holds the endpoints that could not be reached since the last answer from their domain.
type domainReach struct {
	failed map[string]time.Time // newest failure, by endpoint
	probe  time.Time            // from which the next request may go there
}

func newReach() *reach { return &reach{domains: map[string]*domainReach{}} }

// lost records that an endpoint of a domain gave no sign in time.
func (r *reach) lost(domain, endpoint string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.domains[domain]
	if d == nil {
		d = &domainReach{failed: map[string]time.Time{}}
		r.domains[domain] = d
	}
	d.failed[endpoint] = now
	d.probe = now.Add(unreachedProbe)
}

// answered records an answer from a domain.
func (r *reach) answered(domain string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.domains, domain)
}

// cutOff reports whether a domain is taken for cut off. It may get a request now and then all the same.
func (r *reach) cutOff(domain string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.domains[domain]
	if d == nil || !now.Before(d.probe) {
		return false
	}
	for id, at := range d.failed {
		if now.Sub(at) >= unreachedTTL {
			delete(d.failed, id)
		}
	}
	return len(d.failed) >= unreachedEndpoints
}

// probed records that a request goes to a domain, so that others wait for its outcome.
func (r *reach) probed(domain string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d := r.domains[domain]; d != nil && !now.Before(d.probe) {
		d.probe = now.Add(unreachedProbe)
	}
}

// quiet reports whether no endpoint has failed to answer since the last answer from its domain.
func (r *reach) quiet() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.domains) == 0
}

// CutOff reports whether the endpoint's failure domain is taken for cut off.
func (r *Reservation) CutOff(now time.Time) bool { return r.pool.reach.cutOff(r.Domain, now) }
