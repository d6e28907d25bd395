package pool

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleytrail/bramleytrail/engine"
)

// Endpoints of routed services turn down what exceeds their limits and say so. A daemon therefore needs no share of their
// slots: it compares what it knows of their load, which is its own requests exactly and those of the others as of the
// last answer. Scores are milliseconds of expected delay.
const (
	// tokenDelay is the delay by one prompt token that the endpoint has to read first, in milliseconds: at 100 tokens a
	// millisecond, the order of what a large accelerator reads.
	tokenDelay = 0.01
	// slotDelay is the delay by other requests that run in a batch, as a part of the latency at the last slot.
	slotDelay = 1.0
	// remoteShare is the part of the request's target by which an endpoint in another failure domain has to be better.
	// Traffic between failure domains is dear.
	remoteShare = 0.15
	// sameWait is the difference of scores below which endpoints count as equal, in milliseconds.
	sameWait = 2.0
	// othersTTL is the age at which a reported load no longer counts; requests take about a second.
	othersTTL = time.Second
	// latencyTTL is the age at which a measured latency counts half. A slow endpoint is tried again after a few of them.
	latencyTTL = 4 * time.Second
	// partTTL is the age at which a prompt part that was sent to an endpoint is no longer taken for cached there.
	partTTL = 15 * time.Second
	// maxParts bounds the parts that are remembered for an endpoint.
	maxParts = 512
	// coldBurst is the number of requests that a daemon may send to a cold endpoint at once.
	coldBurst = 1.0
	// coldShare is the part of a cold endpoint's limit that all daemons together use, since their clocks and the arrival of
	// requests vary.
	coldShare = 0.7
	// failAlpha is the weight of the newest outcome in the moving average of failures.
	failAlpha = 0.15
	// failDelay is the part of the target by which an endpoint that always fails counts as slower. A failed request is
	// sent again, or lost if it may run once only.
	failDelay = 2.0
	// ejectStreak is the number of answers lost in a row after which an endpoint gets no requests for a time.
	ejectStreak = 3
)

// RoutedQuery describes a routed request.
type RoutedQuery struct {
	Model string
	Parts []engine.Part
	// Release and NotRelease restrict the choice to endpoints with or without a version of the software; empty for any.
	Release, NotRelease string
	// Target is the time within which the answer should begin.
	Target time.Duration
}

// routedState is what a daemon knows of an endpoint of a routed service.
type routedState struct {
	others   int       // requests of other daemons at the last report
	othersAt time.Time // of the report
	first    float64   // moving average of the time to the first byte, in milliseconds
	firstAt  time.Time // newest measurement
	parts    map[uint64]time.Time
	cold     time.Time // until which the endpoint is cold by its own answers
	failures float64   // moving average of failed requests, 0 to 1
	streak   int       // answers lost since the last one that was not
	tokens   float64   // requests that may be sent while it is cold
	filled   time.Time // when tokens was computed
}

func partKey(model string, id uint64) uint64 { return mix(xxhash.Sum64String(model) + mix(id)) }

func (e *endpoint) admitsRouted(q *Query, r *rule, now time.Time) (refusal, time.Time) {
	rq := q.Routed
	switch {
	case rq.Release != "" && e.host.Release != rq.Release, rq.NotRelease != "" && e.host.Release == rq.NotRelease:
		return refusedRelease, time.Time{}
	case rq.Model != "" && len(e.host.Models) > 0 && !slices.Contains(e.host.Models, rq.Model):
		return refusedModel, time.Time{}
	case now.Before(e.ejected):
		return refusedEjected, e.ejected
	case q.Suspect && e.suspects > 0:
		return refusedSuspect, time.Time{}
	}
	if wait := e.coldWait(r, now); wait > 0 {
		return refusedCold, now.Add(wait)
	}
	if e.host.Slots > 0 && e.busy(now) >= e.host.Slots {
		return refusedSlots, time.Time{}
	}
	return accepted, time.Time{}
}

// busy estimates the requests at the endpoint.
func (e *endpoint) busy(now time.Time) int {
	n := int(e.inFlight)
	if now.Sub(e.routed.othersAt) < othersTTL {
		n += e.routed.others
	}
	return n
}

func (e *endpoint) isCold(now time.Time) bool {
	return now.Before(e.host.ColdUntil) || now.Before(e.routed.cold)
}

// coldRate returns this daemon's part of the requests a second that a cold endpoint bears.
func (r *rule) coldRate() float64 {
	if r.routed == nil || r.routed.ColdPerSecond <= 0 {
		return 0
	}
	return coldShare * r.routed.ColdPerSecond / float64(max(1, r.daemons))
}

// coldWait returns the time until a cold endpoint may get a request of this daemon, 0 if it may now.
func (e *endpoint) coldWait(r *rule, now time.Time) time.Duration {
	rate := r.coldRate()
	if rate == 0 || !e.isCold(now) {
		return 0
	}
	missing := coldBurst - e.coldTokens(rate, now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / rate * float64(time.Second))
}

func (e *endpoint) coldTokens(rate float64, now time.Time) float64 {
	if e.routed.filled.IsZero() {
		return coldBurst
	}
	return min(coldBurst, e.routed.tokens+rate*now.Sub(e.routed.filled).Seconds())
}

// reserveRouted notes what a request takes. Parts count as cached from when they are sent.
func (e *endpoint) reserveRouted(q *RoutedQuery, r *rule, now time.Time) {
	if rate := r.coldRate(); rate > 0 {
		e.routed.tokens, e.routed.filled = e.coldTokens(rate, now)-1, now
	}
	if len(q.Parts) == 0 {
		return
	}
	if e.routed.parts == nil {
		e.routed.parts = map[uint64]time.Time{}
	}
	for _, p := range q.Parts {
		e.routed.parts[partKey(q.Model, p.ID)] = now
	}
	if len(e.routed.parts) > maxParts {
		for k, at := range e.routed.parts {
			if now.Sub(at) > partTTL || len(e.routed.parts) > maxParts {
				delete(e.routed.parts, k)
			}
		}
	}
}

// uncached returns the prompt tokens that the endpoint probably has to read. A part counts as cached only if all parts
// before it are.
func (e *endpoint) uncached(q *RoutedQuery, now time.Time) int64 {
	var sum int64
	missing := false
	for _, p := range q.Parts {
		at, ok := e.routed.parts[partKey(q.Model, p.ID)]
		missing = missing || !ok || now.Sub(at) > partTTL
		if missing {
			sum += p.Tokens
		}
	}
	return sum
}

func (s *routedState) failed() {
	s.failures += failAlpha * (1 - s.failures)
	s.streak++
}

func (s *routedState) succeeded() {
	s.failures -= failAlpha * s.failures
	s.streak = 0
}

func (e *endpoint) routedScore(q *RoutedQuery, now time.Time) float64 {
	s := tokenDelay * float64(e.prefill+e.uncached(q, now))
	first := e.latencyNow(now)
	s += first
	if e.host.Slots > 0 {
		s += slotDelay * max(first, 1) * float64(e.busy(now)) / float64(e.host.Slots)
	}
	s += failDelay * e.routed.failures * float64(q.Target/time.Millisecond)
	if !e.local {
		s += remoteShare * float64(q.Target/time.Millisecond)
	}
	return s
}

// latencyNow returns the measured latency, fading with its age.
func (e *endpoint) latencyNow(now time.Time) float64 {
	if e.routed.firstAt.IsZero() {
		return 0
	}
	age := float64(now.Sub(e.routed.firstAt)) / float64(latencyTTL)
	return e.routed.first / (1 + age*age)
}

// Answered records the header of an endpoint's answer: its latency, the load that it reports, and for how long it is cold.
// A measured of false leaves the latency out, for answers that say nothing about the endpoint's speed.
func (r *Reservation) Answered(latency time.Duration, measured bool, load *engine.SlotLoad, cold time.Duration, now time.Time) {
	e := r.e
	e.mu.Lock()
	defer e.mu.Unlock()
	r.prefilled()
	if measured {
		ms := float64(latency) / float64(time.Millisecond)
		if e.routed.firstAt.IsZero() {
			e.routed.first = ms
		}
		e.routed.first += latencyAlpha * (ms - e.routed.first)
		e.routed.firstAt = now
	}
	if load != nil {
		e.routed.others = max(0, load.Running+load.Waiting-int(e.inFlight))
		e.routed.othersAt = now
	}
	if until := now.Add(cold); cold > 0 && until.After(e.routed.cold) {
		e.routed.cold = until
	}
}

// Usable returns the number of endpoints of a service that run a version of the software and are not ejected.
func (p *Pool) Usable(service, release string, now time.Time) int {
	n := 0
	t := p.table.Load()
	for _, e := range t.groups[groupKey{service, ""}] {
		e.mu.Lock()
		if e.host.Release == release && !now.Before(e.ejected) && t.view.DomainIn(e.host.Domain) {
			n++
		}
		e.mu.Unlock()
	}
	return n
}

// SoftwareRelease returns the version of the software that the endpoint runs, as listed now.
func (r *Reservation) SoftwareRelease() string {
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	return r.e.host.Release
}
