package cachemove

import "time"

const (
	// barTime is the time for which nothing is read from an endpoint that failed or fell silent. Load reports that fail
	// keep work away for as long.
	barTime = 10 * time.Second
	// busyTime is the time for which nothing is read from an endpoint that refused an export.
	busyTime = time.Second
	// silentPart is the part of a move's time limit without a byte from which the old endpoint is taken for silent, as
	// 1/silentPart.
	silentPart = 2
	// silentLeast is the least such time: a short limit says nothing about an endpoint. The
	// latency between failure domains is about 1 ms.
	silentLeast = 50 * time.Millisecond
	// maxSources bounds the endpoints that are remembered; a daemon uses about 145 at the target.
	maxSources = 1024
)

// sources holds what is known of the endpoints that moves read from.
type sources struct {
	byID    map[string]*source
	domains map[string]*domain
}

type source struct {
	moves  int // in flight
	barred time.Time
}

// domain remembers the last endpoint of a failure domain that fell silent. If a second one does before the first one is
// asked again, the domain is taken for cut off.
type domain struct {
	silent string
	until  time.Time
	barred time.Time
}

func (s *sources) get(id string, now time.Time) *source {
	e := s.byID[id]
	if e == nil {
		if s.byID == nil || len(s.byID) >= maxSources {
			s.prune(now)
		}
		e = &source{}
		s.byID[id] = e
	}
	return e
}

// prune forgets the endpoints of which nothing is in force.
func (s *sources) prune(now time.Time) {
	kept := map[string]*source{}
	for id, e := range s.byID {
		if e.moves > 0 || now.Before(e.barred) {
			kept[id] = e
		}
	}
	s.byID = kept
}

func (s *sources) barred(id, name string, now time.Time) bool {
	if e := s.byID[id]; e != nil && now.Before(e.barred) {
		return true
	}
	d := s.domains[name]
	return d != nil && now.Before(d.barred)
}

func (s *sources) bar(id string, until, now time.Time) {
	if e := s.get(id, now); until.After(e.barred) {
		e.barred = until
	}
}

// isSilent reports whether a source that gave no byte for a time, at the end of a move's limit, is taken for silent.
func isSilent(silence, limit time.Duration) bool {
	return silence >= max(limit/silentPart, silentLeast)
}

// silent bars an endpoint that gave no sign of life, and its failure domain if it is the second one there.
func (s *sources) silent(id, name string, now time.Time) {
	s.bar(id, now.Add(barTime), now)
	if s.domains == nil {
		s.domains = map[string]*domain{}
	}
	d := s.domains[name]
	if d == nil {
		d = &domain{}
		s.domains[name] = d
	}
	if now.Before(d.until) && d.silent != id {
		d.barred = now.Add(barTime)
	}
	d.silent, d.until = id, now.Add(barTime)
}
