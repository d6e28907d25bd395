package pool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleytrail/bramleytrail/engine"
)

// Endpoints of routed services refuse requests beyond their limits and report their load, so daemons need no shares of
// their slots. A daemon compares endpoints by what it knows of their load: its own requests exactly, and those of other
// daemons as of the last answer. Scores are milliseconds of expected delay.
const (
	// contentionDelay is the delay for each request running at the endpoint, as a fraction of the mean prefill time:
	// requests that this daemon does not know of may be about to start their prefill there.
	contentionDelay = 0.25
	// batchDelay is the delay from other requests in the batch when all slots are in use, as a fraction of the base
	// latency.
	batchDelay = 1.0
	// prefillInterference is the delay that a prefill causes for each request running beside it, as a fraction of the
	// prefill time. The cost of an endpoint includes the sum over these requests.
	prefillInterference = 0.1
	// crossDomainDelay and crossDomainDelayPerKB represent the price of traffic between failure domains, in
	// milliseconds for each request and for each kilobyte of it.
	crossDomainDelay, crossDomainDelayPerKB = 10.0, 2.0
	// affinityCachedShare is the fraction of a prompt's shared tokens that counts as cached at the endpoint that their
	// hash selects. All daemons send them there if they have no other information.
	affinityCachedShare = 0.7
	// delayTolerance is the difference, in milliseconds, up to which scores count as equal.
	delayTolerance = 2.0
	// peerRequestsTTL is the age at which a reported load no longer counts. Requests take about a second.
	peerRequestsTTL = time.Second
	// slowdownHalfLife is the age at which a measured slowdown has half its effect. A slow endpoint is tried again
	// after a few of these periods.
	slowdownHalfLife = 4 * time.Second
	// cachedPartTTL is the age at which a prompt part that was sent to an endpoint no longer counts as cached there.
	cachedPartTTL = 15 * time.Second
	// maxCachedParts bounds the prompt parts that are remembered for an endpoint.
	maxCachedParts = 512
	// coldUtilization is the fraction of a cold endpoint's limit that all daemons together use, because requests arrive
	// irregularly.
	coldUtilization = 0.8
	// coldGrace extends the time for which an endpoint counts as cold: its limit applies to one-second periods, and the
	// last one begins while the endpoint is cold. All daemons learn the end of the cold time at once, and the endpoint
	// then looks like the least loaded one to all of them, so within coldSpread they return to their full share one
	// after the other.
	coldGrace, coldSpread = time.Second, time.Second
	// failureAlpha is the weight of the latest outcome in the moving average of failures.
	failureAlpha = 0.15
	// failurePenalty is added to the cost of an endpoint that always fails, as a multiple of the target time. A failed
	// request is sent again, or is lost if it may run only once.
	failurePenalty = 2.0
	// minAnnouncedPrefill is the prefill time from which a prompt is announced to other daemons. Shorter ones end
	// before they would change another daemon's choice.
	minAnnouncedPrefill = 20 * time.Millisecond
	// maxPeerPrefill bounds the prefill time that a single announcement or stall can add to an endpoint.
	maxPeerPrefill = 10 * time.Second
	// ejectStreak is the number of consecutive failed answers from which an incomplete one ejects the endpoint.
	ejectStreak = 3
)

// RoutedQuery describes a request to a routed service.
type RoutedQuery struct {
	Model string // empty if every endpoint can serve the request
	// Parts are the parts of the prompt that other requests may share, in order. The last one belongs to this request
	// only.
	Parts []engine.PromptPart
	// Release and NotRelease restrict the choice to endpoints that run, or do not run, a software version; empty for no
	// restriction.
	Release, NotRelease string
	// Target is the time within which the answer should begin.
	Target time.Duration
	Bytes  int // size of the request body
	// Retry marks a request that was sent before.
	Retry bool

	// Gap is the longest pause within a streamed answer that is still on time; 0 for other answers.
	Gap time.Duration

	latency       latencyModel // of Model
	affinityKey   uint64       // key of the endpoint that the hash of the prompt's shared parts selects; 0 for none
	segment       segment      // endpoints that the model prefers
	meanPrefillMs float64      // mean prefill time of the service's requests, in milliseconds
	long          bool         // the prefill pauses the streams at the endpoint noticeably
}

// prepare computes what does not depend on the endpoint.
func (q *RoutedQuery) prepare(p *Pool, query *Query, group []*endpoint, now time.Time) {
	q.latency = p.estimates.latencyModel(query.Service, q.Model)
	q.segment, q.meanPrefillMs = p.estimates.segment(query.Service, q.Model, now)
	q.long = q.Gap > 0 && q.latency.tokenMs*float64(query.Prompt) > longPromptShare*float64(q.Gap/time.Millisecond)
	q.affinityKey = 0
	if len(q.Parts) < 2 {
		return
	}
	key := partKey(q.Model, q.Parts[len(q.Parts)-2].ID) // the last part belongs to this request only
	var best uint64
	for _, e := range group {
		if h := rendezvous(key, e.key); h >= best && q.allowsRelease(e.host.Release) && e.inSegment(q) {
			best, q.affinityKey = h, e.key
		}
	}
}

func (q *RoutedQuery) allowsRelease(release string) bool {
	return (q.Release == "" || release == q.Release) && (q.NotRelease == "" || release != q.NotRelease)
}

// assignPositions numbers the endpoints of each service, failure domain and software version by their keys.
func assignPositions(all []*endpoint) {
	type groupID struct{ service, domain, release string }
	groups := map[groupID][]*endpoint{}
	for _, e := range all {
		k := groupID{e.host.Service, e.host.Domain, e.host.Release}
		groups[k] = append(groups[k], e)
	}
	for _, list := range groups {
		slices.SortFunc(list, func(a, b *endpoint) int { return cmp.Compare(a.key, b.key) })
		for i, e := range list {
			e.mu.Lock()
			e.position, e.groupSize = i, len(list)
			e.mu.Unlock()
		}
	}
}

func (e *endpoint) inSegment(q *RoutedQuery) bool {
	s := q.segment
	if q.Gap <= 0 { // no stream that a long prompt could pause
		s.longWork = 0
	}
	return s.includes(e.position, e.groupSize, q.long)
}

// pendingPrefill is the prefill work that a request adds to an endpoint until its answer begins.
type pendingPrefill struct {
	service, model string
	tokens         int64   // uncached prompt tokens
	prefillMs      float64 // expected prefill time in milliseconds
}

func pendingPrefillOf(q *Query) pendingPrefill {
	if q.Routed == nil {
		return pendingPrefill{}
	}
	return pendingPrefill{q.Service, q.Routed.Model, q.Prompt, q.Routed.latency.tokenMs * float64(q.Prompt)}
}

// routedState is what this daemon knows about an endpoint of a routed service.
type routedState struct {
	peerRequests   int       // requests of other daemons according to the last report
	peerRequestsAt time.Time // time of that report
	slowdown       float64   // moving average of the latency as a multiple of the expected one
	slowdownAt     time.Time // time of the latest measurement
	cachedParts    map[uint64]time.Time
	coldUntil      time.Time // cold until this time according to the endpoint
	prefillMs      float64   // expected prefill time of this daemon's unanswered requests, in milliseconds
	failureRate    float64   // moving average, 0 to 1
	failureStreak  int       // consecutive failed answers
	coldTokens     float64   // token bucket of requests while the endpoint is cold
	coldTokensAt   time.Time // when coldTokens was computed; zero while the endpoint is warm
	peerPrefillMs  float64   // prefill time of other daemons' prompts at peerPrefillAt, in milliseconds
	peerPrefillAt  time.Time // when peerPrefillMs was computed
	down           bool      // ejected for failures since its last answer, so it may have restarted
	maybeColdUntil time.Time // before this time, the host list may not show a restart yet
}

func partKey(model string, id uint64) uint64 {
	return splitMix64(xxhash.Sum64String(model) + splitMix64(id))
}

// checkRoutedAdmission is checkAdmission for routed services. For ejected endpoints and for cold ones over their rate,
// it also returns when they may take a request.
func (e *endpoint) checkRoutedAdmission(q *Query, r *serviceRules, now time.Time) (refusal, time.Time) {
	routed := q.Routed
	switch {
	case !routed.allowsRelease(e.host.Release):
		return refusedRelease, time.Time{}
	case routed.Model != "" && len(e.host.Models) > 0 && !slices.Contains(e.host.Models, routed.Model):
		return refusedModel, time.Time{}
	case now.Before(e.ejectedUntil):
		return refusedEjected, e.ejectedUntil
	case q.Suspect && e.suspects > 0:
		return refusedSuspect, time.Time{}
	}
	if wait := e.coldWait(r, now); wait > 0 {
		return refusedCold, now.Add(wait)
	}
	if e.host.Slots > 0 && e.estimatedRequests(now) >= e.host.Slots {
		return refusedSlots, time.Time{}
	}
	return accepted, time.Time{}
}

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

// reserveRouted records the work of a request at the endpoint and sets query.Prompt to the uncached tokens. Prompt parts
// count as cached from the time they are sent.
func (e *endpoint) reserveRouted(query *Query, now time.Time) {
	q := query.Routed
	query.Prompt = e.uncachedTokens(query, now)
	e.routed.prefillMs += q.latency.tokenMs * float64(query.Prompt)
	if !e.routed.coldTokensAt.IsZero() { // the endpoint is cold
		e.routed.coldTokens--
	}
	if len(q.Parts) == 0 {
		return
	}
	if e.routed.cachedParts == nil {
		e.routed.cachedParts = map[uint64]time.Time{}
	}
	for _, p := range q.Parts {
		e.routed.cachedParts[partKey(q.Model, p.ID)] = now
	}
	if len(e.routed.cachedParts) > maxCachedParts {
		for k, at := range e.routed.cachedParts {
			if now.Sub(at) > cachedPartTTL || len(e.routed.cachedParts) > maxCachedParts {
				delete(e.routed.cachedParts, k)
			}
		}
	}
}

// announcePrefill calls OnPrefill for a request with a long prompt.
func (p *Pool) announcePrefill(r Reservation) {
	if prefill := time.Duration(r.pending.prefillMs * float64(time.Millisecond)); p.spec.OnPrefill != nil && prefill >= minAnnouncedPrefill {
		p.spec.OnPrefill(r, prefill)
	}
}

// RecordPeerPrefill records prefill work at an endpoint that another daemon announced. It ignores unknown endpoints.
func (p *Pool) RecordPeerPrefill(id string, prefill time.Duration, now time.Time) {
	e := p.table.Load().byID[id]
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.routed.peerPrefillMs = e.routed.remainingPeerPrefillMs(now) + float64(min(prefill, maxPeerPrefill))/float64(time.Millisecond)
	e.routed.peerPrefillAt = now
}

// recordStall records that the endpoint did not begin an answer within a time. Its backlog is unknown, but is expected
// to take as long again.
func (s *routedState) recordStall(stall time.Duration, now time.Time) {
	if ms := float64(stall) / float64(time.Millisecond); ms > s.remainingPeerPrefillMs(now) {
		s.peerPrefillMs, s.peerPrefillAt = ms, now
	}
}

// remainingPeerPrefillMs returns the rest of the prefill time of other daemons' prompts, in milliseconds, if the
// endpoint processes them without a pause.
func (s *routedState) remainingPeerPrefillMs(now time.Time) float64 {
	return max(0, s.peerPrefillMs-float64(now.Sub(s.peerPrefillAt))/float64(time.Millisecond))
}

// Service returns the name of the endpoint's service.
func (r *Reservation) Service() string { return r.service }

// uncachedTokens returns the number of prompt tokens that the endpoint probably has to process. A part counts as cached
// only if all parts before it do.
func (e *endpoint) uncachedTokens(query *Query, now time.Time) int64 {
	q := query.Routed
	uncached, shared := query.Prompt, int64(0)
	for i, p := range q.Parts {
		at, ok := e.routed.cachedParts[partKey(q.Model, p.ID)]
		if !ok || now.Sub(at) > cachedPartTTL {
			if e.key == q.affinityKey && i < len(q.Parts)-1 {
				for _, later := range q.Parts[i : len(q.Parts)-1] {
					shared += later.Tokens
				}
			}
			break
		}
		uncached -= p.Tokens
	}
	return max(0, uncached-int64(affinityCachedShare*float64(shared)))
}

func (s *routedState) countFailure() {
	s.failureRate += failureAlpha * (1 - s.failureRate)
	s.failureStreak++
}

func (s *routedState) countSuccess() {
	s.failureRate -= failureAlpha * s.failureRate
	s.failureStreak = 0
}

// precedes reports whether the endpoint is preferred over another one with the same score: the least recently chosen
// one goes first. Among endpoints that were never chosen, which is most of them at a daemon with few requests, each
// daemon starts with a different one.
func (c *candidate) precedes(other *candidate) bool {
	return cmp.Or(c.lastChosen.Compare(other.lastChosen), cmp.Compare(c.e.stagger, other.e.stagger)) < 0
}

// selectRouted compares all endpoints of a group, because few endpoints of a large group are in the request's segment
// and failure domain.
func (p *Pool) selectRouted(group []*endpoint, q *Query, t *table, now time.Time, shortage *Shortage) *endpoint {
	var best candidate
	allReachable := p.reachability.allReachable()
	for _, e := range group {
		c, ok := e.evaluate(q, t.view, t.rules[q.Service], now, shortage)
		if !ok {
			continue
		}
		if !allReachable && p.reachability.unreachable(c.domain, now) {
			c.score += unreachablePenalty * float64(q.Routed.Target/time.Millisecond)
		}
		better := c.score < best.score-delayTolerance
		tied := math.Abs(c.score-best.score) <= delayTolerance
		if best.e == nil || better || tied && c.precedes(&best) {
			best = c
		}
	}
	q.expectedDelay, q.expectedUncached = best.delay, best.uncached
	return best.e
}

// routedScore returns the cost of sending the request to the endpoint, in milliseconds, and its expected delay. uncached is
// the number of prompt tokens that the endpoint has to process. The cost also includes the delay for other requests, and penalties for failures, other segments and other domains.
func (e *endpoint) routedScore(query *Query, uncached int64, now time.Time) (score float64, expected time.Duration) {
	q := query.Routed
	target := float64(q.Target / time.Millisecond)
	prefill := q.latency.tokenMs * float64(uncached)
	requests := float64(e.estimatedRequests(now))
	delay := e.routed.prefillMs + prefill + q.latency.baseMs
	if e.host.Slots > 0 {
		delay += q.latency.baseMs * batchDelay * requests / float64(e.host.Slots)
	}
	slowdown := e.currentSlowdown(now)
	delay += e.routed.remainingPeerPrefillMs(now)
	delay *= slowdown
	cost := delay + slowdown*prefill*prefillInterference*requests + contentionDelay*q.meanPrefillMs*requests + failurePenalty*e.routed.failureRate*target
	if !e.inSegment(q) {
		cost += outOfSegmentPenalty * target
	}
	if !e.local {
		cost += crossDomainDelay + crossDomainDelayPerKB*float64(q.Bytes)/1024
	}
	return cost, time.Duration(delay * float64(time.Millisecond))
}

// currentSlowdown returns the endpoint's latency as a multiple of the expected one. It decays to 1 with the age of the
// measurement.
func (e *endpoint) currentSlowdown(now time.Time) float64 {
	if e.routed.slowdownAt.IsZero() {
		return 1
	}
	age := float64(now.Sub(e.routed.slowdownAt)) / float64(slowdownHalfLife)
	return 1 + (e.routed.slowdown-1)/(1+age*age)
}

// RecordRoutedHeader records the header of a routed answer: its latency, the load that the endpoint reports (nil if
// none), and how long the endpoint stays cold. If measured is false, the latency is ignored because it says nothing
// about the endpoint's speed.
func (r *Reservation) RecordRoutedHeader(latency time.Duration, measured bool, load *engine.SlotLoad, cold time.Duration, now time.Time) {
	r.pool.reachability.recordAnswer(r.Domain)
	e := r.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	r.endPrefill()
	if e.routed.down {
		e.routed.down, e.routed.maybeColdUntil = false, now.Add(r.pool.spec.RestartDetection)
	}
	if measured {
		expected := r.pool.estimates.latencyModel(r.pending.service, r.pending.model).predict(r.pending.tokens)
		r.pool.estimates.recordLatency(r.pending.service, r.pending.model, r.pending.tokens, latency, now)
		e.routed.slowdown = e.currentSlowdown(now) // earlier measurements keep part of their effect
		e.routed.slowdown += latencyAlpha * (float64(latency)/float64(time.Millisecond)/expected - e.routed.slowdown)
		e.routed.slowdownAt = now
	}
	if load != nil {
		e.routed.peerRequests = max(0, load.Running+load.Waiting-int(e.inFlight))
		e.routed.peerRequestsAt = now
	}
	if until := now.Add(cold); cold > 0 && until.After(e.routed.coldUntil) {
		e.routed.coldUntil = until
	}
}

// CountUsable returns the number of endpoints of a service that run a software version, are not ejected, and are in a
// failure domain in service.
func (p *Pool) CountUsable(service, release string, now time.Time) int {
	n := 0
	t := p.table.Load()
	for _, e := range t.groups[groupKey{service, ""}] {
		e.mu.Lock()
		if e.host.Release == release && !now.Before(e.ejectedUntil) && t.view.DomainInService(e.host.Domain) {
			n++
		}
		e.mu.Unlock()
	}
	return n
}

// SoftwareRelease returns the software version of the endpoint according to the current host list.
func (r *Reservation) SoftwareRelease() string {
	r.endpoint.mu.Lock()
	defer r.endpoint.mu.Unlock()
	return r.endpoint.host.Release
}
