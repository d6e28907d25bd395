package poison

import (
	"cmp"
	"slices"
	"time"
)

// sighting is a request that was in flight at an endpoint when it crashed.
type sighting struct {
	crash    string // ID of the crash
	request  uint64 // hash of the request's ID
	parts    []uint64
	sent, at time.Time // of the request and of the crash
}

const (
	// minRounds is the number of crashes, each under a request that was sent after the crash before, from which on a part is
	// convicted. Endpoints that fail together give one round, however many they are.
	minRounds = 4
	// minCrashes is the number of crashes, also of requests sent at the same time, from which on a part is convicted if it gets no
	// answer for the time patience.
	minCrashes = 5
	patience   = 1500 * time.Millisecond
	// evidenceDelay is the time within which the records of other daemons arrive. A part is not convicted on evidence younger
	// than this, as another part may explain the same crashes better.
	evidenceDelay = 200 * time.Millisecond
	// minRequests is the least number of different requests that a part is convicted on.
	minRequests = 2
	// survivorFactor multiplies the evidence that is needed against a part with which an endpoint went on answering for a while.
	survivorFactor = 2
)

// suspect sums up the sightings of one part.
type suspect struct {
	part      uint64
	crashes   map[string]time.Time
	requests  map[uint64]bool
	sightings []*sighting
	ran       time.Duration // in total, from the sending of the requests to the crashes
	survived  bool          // an endpoint went on answering a request with the part
}

// rounds returns the largest number of sightings of which each request was sent after the crash of the one before, and the time
// of the last crash of the first n such rounds; zero if there are fewer.
func (s *suspect) rounds(n int) (rounds int, nth time.Time) {
	slices.SortFunc(s.sightings, func(a, b *sighting) int { return a.at.Compare(b.at) })
	var last time.Time
	for _, x := range s.sightings {
		if x.sent.After(last) {
			rounds, last = rounds+1, x.at
			if rounds == n {
				nth = last
			}
		}
	}
	return rounds, nth
}

// nthCrash returns the time of crash number n, from 1; zero if there are fewer.
func (s *suspect) nthCrash(n int) time.Time {
	if len(s.crashes) < n {
		return time.Time{}
	}
	times := make([]time.Time, 0, len(s.crashes))
	for _, at := range s.crashes {
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[n-1]
}

// isConvicted reports whether the evidence is enough at a time.
func (s *suspect) isConvicted(now time.Time) bool {
	factor := 1
	if s.survived {
		factor = survivorFactor
	}
	if len(s.requests) < minRequests || len(s.crashes) < factor*minRounds {
		return false
	}
	if _, at := s.rounds(factor * minRounds); !at.IsZero() && !now.Before(at.Add(evidenceDelay)) {
		return true
	}
	at := s.nthCrash(factor * minCrashes)
	return !at.IsZero() && !now.Before(at.Add(patience))
}

// explainsMore orders suspects by how well they explain crashes: those first that no endpoint survived, then by the number of crashes,
// of rounds, and by how soon the endpoints crashed after the requests were sent.
func explainsMore(a, b *suspect) int {
	if a.survived != b.survived {
		if b.survived {
			return -1
		}
		return 1
	}
	ra, _ := a.rounds(0)
	rb, _ := b.rounds(0)
	meanA, meanB := a.ran/time.Duration(len(a.sightings)), b.ran/time.Duration(len(b.sightings))
	return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(rb, ra), cmp.Compare(meanA, meanB), cmp.Compare(a.part, b.part))
}

// suspects sums up sightings by part. It leaves out parts with too few of them to be convicted, which are most.
func suspects(list []*sighting) []*suspect {
	counts := make(map[uint64]int, len(list))
	for _, x := range list {
		for _, part := range x.parts {
			counts[part]++
		}
	}
	byPart := map[uint64]*suspect{}
	for _, x := range list {
		for _, part := range x.parts {
			if counts[part] < min(minRounds, minCrashes) {
				continue
			}
			s := byPart[part]
			if s == nil {
				s = &suspect{part: part, crashes: map[string]time.Time{}, requests: map[uint64]bool{}}
				byPart[part] = s
			}
			if at, ok := s.crashes[x.crash]; !ok || x.at.Before(at) {
				s.crashes[x.crash] = x.at
			}
			s.requests[x.request] = true
			s.sightings = append(s.sightings, x)
			s.ran += x.at.Sub(x.sent)
		}
	}
	out := make([]*suspect, 0, len(byPart))
	for _, s := range byPart {
		out = append(out, s)
	}
	return out
}

// conclusion is what a review finds.
type conclusion struct {
	sets      [][]uint64      // of parts of which one crashes endpoints: those that came together in all requests of its sightings
	culprits  map[uint64]bool // the part of each set that explains its crashes
	explained map[string]bool // crashes that the sets explain
}

// add adds the set of a suspect.
func (c *conclusion) add(s *suspect, all []*sighting) {
	c.culprits[s.part] = true
	for crash := range s.crashes {
		c.explained[crash] = true
	}
	set := companions(s.part, all)
	if !slices.ContainsFunc(c.sets, func(other []uint64) bool { return slices.Equal(other, set) }) {
		c.sets = append(c.sets, set)
	}
}

// comparable is the share of the crashes of the strongest suspect from which on another one that no endpoint survived is convicted too.
const comparable = 0.85

// convict draws the conclusion from sightings whose parts are not known to be sound. before are the culprits of the review before.
//
// Several crashing parts are in flight at the same endpoints, so those that no endpoint survived are judged by all their crashes. A weaker
// suspect, or one that endpoints survived, is judged by the crashes that those do not explain.
func convict(all []*sighting, survived func(part uint64) bool, before map[uint64]bool, now time.Time) conclusion {
	c := conclusion{culprits: map[uint64]bool{}, explained: map[string]bool{}}
	var strong []*suspect
	most := 0 // crashes of a strong suspect
	for _, s := range suspects(all) {
		if !survived(s.part) && s.isConvicted(now) {
			strong = append(strong, s)
			most = max(most, len(s.crashes))
		}
	}
	slices.SortFunc(strong, explainsMore)
	for _, s := range strong {
		if before[s.part] || float64(len(s.crashes)) >= comparable*float64(most) {
			c.add(s, all)
		}
	}
	for {
		unexplained := slices.DeleteFunc(slices.Clone(all), func(x *sighting) bool { return c.explained[x.crash] })
		var best *suspect
		for _, s := range suspects(unexplained) {
			s.survived = survived(s.part)
			if s.isConvicted(now) && (best == nil || explainsMore(s, best) < 0) {
				best = s
			}
		}
		if best == nil {
			return c
		}
		c.add(best, all)
	}
}

// companions returns the parts that all sighted requests with a part have in common, in ascending order.
func companions(part uint64, all []*sighting) []uint64 {
	var common []uint64
	for _, x := range all {
		switch {
		case !slices.Contains(x.parts, part):
		case common == nil:
			common = slices.Clone(x.parts)
		default:
			common = slices.DeleteFunc(common, func(p uint64) bool { return !slices.Contains(x.parts, p) })
		}
	}
	slices.Sort(common)
	return slices.Compact(common)
}
