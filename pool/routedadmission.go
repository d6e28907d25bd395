package pool

import "time"

const (
	// peerRequestsTTL is the age at which a reported load no longer counts. Requests take about a second.
	peerRequestsTTL = time.Second
	// coldUtilization is the fraction of a cold endpoint's limit that all daemons together use, because requests arrive
	// irregularly.
	coldUtilization = 0.8
	// coldGrace extends the time for which an endpoint counts as cold: its limit applies to one-second periods, and the
	// last one begins while the endpoint is cold. All daemons learn the end of the cold time at once, and the endpoint
	// then looks like the least loaded one to all of them, so within coldSpread they return to their full share one
	// after the other.
	coldGrace, coldSpread = time.Second, time.Second
)

// estimatedRequests returns the number of requests at the endpoint: this daemon's own and the last known number of the
// others.
func (e *endpoint) estimatedRequests(now time.Time) int {
	n := int(e.inFlight)
	if now.Sub(e.routed.peerRequestsAt) < peerRequestsTTL {
		n += e.routed.peerRequests
	}
	return n
}

// isCold reports whether the endpoint started recently, as far as this daemon knows. An endpoint that failed may have
// restarted: it counts as cold until the host list would show it.
func (e *endpoint) isCold(now time.Time) bool {
	grace := coldGrace + time.Duration(e.stagger*float64(coldSpread))
	return now.Before(e.host.ColdUntil.Add(grace)) || now.Before(e.routed.coldUntil.Add(grace)) || e.routed.down || now.Before(e.routed.maybeColdUntil)
}

// coldRate returns this daemon's share of the requests per second that a cold endpoint can take; 0 if there is no
// limit.
func (r *serviceRules) coldRate() float64 {
	if r.routed == nil || r.routed.ColdPerSecond <= 0 {
		return 0
	}
	return coldUtilization * r.routed.ColdPerSecond / float64(max(1, r.daemons))
}

// coldWait returns the time until this daemon may send a request to a cold endpoint, or 0 if it may do so now. The
// token bucket starts at a fraction that differs for each daemon and endpoint, which spreads the daemons' first
// requests over the time in which a daemon earns one token.
func (e *endpoint) coldWait(r *serviceRules, now time.Time) time.Duration {
	rate := r.coldRate()
	if rate == 0 || !e.isCold(now) {
		e.routed.coldTokensAt = time.Time{}
		return 0
	}
	if e.routed.coldTokensAt.IsZero() {
		e.routed.coldTokens, e.routed.coldTokensAt = e.stagger, now
	}
	e.routed.coldTokens = min(1, e.routed.coldTokens+rate*now.Sub(e.routed.coldTokensAt).Seconds())
	e.routed.coldTokensAt = now
	if e.routed.coldTokens >= 1 {
		return 0
	}
	return time.Duration((1 - e.routed.coldTokens) / rate * float64(time.Second))
}

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
