package cachemove

import "time"

const (
	// failureBackoff is the time for which no cache is exported from an endpoint that failed or stalled. Failed load reports
	// keep requests away from an endpoint for as long.
	failureBackoff = 10 * time.Second
	// busyBackoff is the time for which no cache is exported from an endpoint that refused an export because it is busy.
	busyBackoff = time.Second
	// stallDivisor divides the time limit of a move to give the time without a byte after which the old endpoint is treated
	// as stalled.
	stallDivisor = 2
	// minStall is the least such time: that a move with a short limit failed says nothing about the endpoint. The latency
	// between failure domains is about 1 ms.
	minStall = 50 * time.Millisecond
	// maxSources is the number of endpoints from which unused entries are removed. A daemon uses about 145 in the target
	// deployment.
	maxSources = 1024
)

// sources holds the state of the endpoints from which caches are exported, and of their failure domains.
type sources struct {
	byID    map[string]*source
	domains map[string]*sourceDomain
}

// source is the state of one endpoint.
type source struct {
	moves        int // in flight
	backoffUntil time.Time
}

// sourceDomain holds the last endpoint of a failure domain that was unresponsive. If another endpoint of the domain is
// unresponsive as well before the backoff of the first one ends, the domain is treated as unreachable.
type sourceDomain struct {
	unresponsive      string
	unresponsiveUntil time.Time
	backoffUntil      time.Time
}

// get returns the state of an endpoint, which it adds if necessary.
func (s *sources) get(id string, now time.Time) *source {
	src := s.byID[id]
	if src == nil {
		if s.byID == nil || len(s.byID) >= maxSources {
			s.prune(now)
		}
		src = &source{}
		s.byID[id] = src
	}
	return src
}

// prune removes endpoints without moves in flight whose backoff has ended.
func (s *sources) prune(now time.Time) {
	kept := map[string]*source{}
	for id, src := range s.byID {
		if src.moves > 0 || now.Before(src.backoffUntil) {
			kept[id] = src
		}
	}
	s.byID = kept
}

// inBackoff reports whether no cache may be exported from an endpoint because it, or its failure domain, is in backoff.
func (s *sources) inBackoff(id, domainName string, now time.Time) bool {
	if src := s.byID[id]; src != nil && now.Before(src.backoffUntil) {
		return true
	}
	d := s.domains[domainName]
	return d != nil && now.Before(d.backoffUntil)
}

// backOff allows no export from an endpoint until a time. An earlier, longer backoff stays.
func (s *sources) backOff(id string, until, now time.Time) {
	if src := s.get(id, now); until.After(src.backoffUntil) {
		src.backoffUntil = until
	}
}

// isStalled reports whether a source is treated as stalled, given the time since its last byte when a move reached its time
// limit.
func isStalled(sinceLastByte, limit time.Duration) bool {
	return sinceLastByte >= max(limit/stallDivisor, minStall)
}

// recordUnresponsive puts an unresponsive endpoint into backoff. It does the same with the failure domain if another
// endpoint there is in backoff for that reason.
func (s *sources) recordUnresponsive(id, domainName string, now time.Time) {
	s.backOff(id, now.Add(failureBackoff), now)
	if s.domains == nil {
		s.domains = map[string]*sourceDomain{}
	}
	d := s.domains[domainName]
	if d == nil {
		d = &sourceDomain{}
		s.domains[domainName] = d
	}
	if now.Before(d.unresponsiveUntil) && d.unresponsive != id {
		d.backoffUntil = now.Add(failureBackoff)
	}
	d.unresponsive, d.unresponsiveUntil = id, now.Add(failureBackoff)
}
