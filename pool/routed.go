package pool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleytrail/bramleytrail/engine"
)

// Endpoints of routed services turn down what exceeds their limits and say so. A daemon therefore needs no share of their
// slots: it compares what it knows of their load, which is its own requests exactly and those of the others as of the
// last answer. Scores are milliseconds of expected delay.
const (
	// crowdDelay is the delay by each request that runs at the endpoint, as a part of the mean time for reading a prompt:
	// others that are not known of are about to read theirs.
	crowdDelay = 0.25
	// slotDelay is the delay by other requests that run in a batch, as a part of the latency at the last slot.
	slotDelay = 1.0
	// batchHarm is the part of the time for reading a prompt by which it delays each request that runs beside it, summed up
	// as a cost of the choice.
	batchHarm = 0.1
	// remoteDelay stands for the price of traffic between failure domains: a part for each request, and one for each
	// kilobyte of it, in milliseconds.
	remoteDelay, remoteKilobyte = 10.0, 2.0
	// homeShare is the part of a prompt's shared tokens that count as cached at their home, the endpoint to which the
	// daemons would all send them if they knew nothing else.
	homeShare = 0.7
	// sameWait is the difference of scores below which endpoints count as equal, in milliseconds.
	sameWait = 2.0
	// othersTTL is the age at which a reported load no longer counts; requests take about a second.
	othersTTL = time.Second
	// slowTTL is the age at which a measured slowness counts half. A slow endpoint is tried again after a few of them.
	slowTTL = 4 * time.Second
	// partTTL is the age at which a prompt part that was sent to an endpoint is no longer taken for cached there.
	partTTL = 15 * time.Second
	// maxParts bounds the parts that are remembered for an endpoint.
	maxParts = 512
	// coldShare is the part of a cold endpoint's limit that all daemons together use, since the arrival of requests varies.
	coldShare = 0.8
	// coldTail is added to the time for which an endpoint is cold: its limit holds for a second, and the last one begins
	// while it is cold. Daemons learn of that time together; coldSpread is the time within which they go on to a full share
	// one after the other, since an endpoint that was cold looks the least loaded to all of them.
	coldTail, coldSpread = time.Second, time.Second
	// failAlpha is the weight of the newest outcome in the moving average of failures.
	failAlpha = 0.15
	// failDelay is the part of the target by which an endpoint that always fails counts as slower. A failed request is
	// sent again, or lost if it may run once only.
	failDelay = 2.0
	// announcedWork is the time for reading a prompt from which the other daemons are told of it. Shorter ones pass before
	// a daemon would decide differently.
	announcedWork = 20 * time.Millisecond
	// maxRemoteWork bounds what is believed of other daemons' prompts at an endpoint.
	maxRemoteWork = 10 * time.Second
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
	Bytes  int // of the request's body
	// Repeat says that the request was sent before.
	Repeat bool

	// Gap is the longest pause in a stream with which it is on time; 0 for other answers.
	Gap time.Duration

	pace     pace    // of the model
	home     uint64  // key of the endpoint that is the home of the prompt's shared parts, 0 for none
	segment  segment // of the model
	meanWork float64 // milliseconds for the prompt of a request
	long     bool    // the prompt pauses the streams beside it
}

// prepare computes what is the same for all endpoints.
func (q *RoutedQuery) prepare(p *Pool, all *Query, group []*endpoint, now time.Time) {
	q.pace = p.estimates.pace(all.Service, q.Model)
	q.segment, q.meanWork = p.estimates.segment(all.Service, q.Model, now)
	q.long = q.Gap > 0 && q.pace.token*float64(all.Prompt) > longShare*float64(q.Gap/time.Millisecond)
	q.home = 0
	if len(q.Parts) < 2 {
		return
	}
	key := partKey(q.Model, q.Parts[len(q.Parts)-2].ID) // the last part is the request's own
	var best uint64
	for _, e := range group {
		if h := rendezvous(key, e.key); h >= best && q.releaseFits(e.host.Release) && e.inSegment(q) {
			best, q.home = h, e.key
		}
	}
}

func (q *RoutedQuery) releaseFits(release string) bool {
	return (q.Release == "" || release == q.Release) && (q.NotRelease == "" || release != q.NotRelease)
}

// order numbers the endpoints of each service, failure domain and software version in the order of their keys.
func order(all []*endpoint) {
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
			e.position, e.alike = i, len(list)
			e.mu.Unlock()
		}
	}
}

func (e *endpoint) inSegment(q *RoutedQuery) bool {
	s := q.segment
	if q.Gap <= 0 { // no stream that a long prompt could pause
		s.long = 0
	}
	return s.includes(e.position, e.alike, q.long)
}

// routedWork is what a request adds to an endpoint until its answer begins.
type routedWork struct {
	service, model string
	tokens         int64   // to be read
	work           float64 // milliseconds
}

func reservedWork(q *Query) routedWork {
	if q.Routed == nil {
		return routedWork{}
	}
	return routedWork{q.Service, q.Routed.Model, q.Prompt, q.Routed.pace.token * float64(q.Prompt)}
}

// routedState is what a daemon knows of an endpoint of a routed service.
type routedState struct {
	others   int       // requests of other daemons at the last report
	othersAt time.Time // of the report
	slow     float64   // moving average of the time to the first byte as a multiple of what the others take
	slowAt   time.Time // newest measurement
	parts    map[uint64]time.Time
	cold     time.Time // until which the endpoint is cold by its own answers
	work     float64   // milliseconds for the prompts of this daemon's requests that have no answer yet
	failures float64   // moving average of failed requests, 0 to 1
	streak   int       // answers lost since the last one that was not
	tokens   float64   // requests that may be sent while it is cold
	filled   time.Time // when tokens was computed
	remote   float64   // milliseconds for prompts of other daemons, at remoteAt
	remoteAt time.Time // when remote was computed
	down     bool      // it could not be reached since its last answer, so that it may have started anew
	unsure   time.Time // until which the list may not show yet that it has
}

func partKey(model string, id uint64) uint64 { return mix(xxhash.Sum64String(model) + mix(id)) }

func (e *endpoint) admitsRouted(q *Query, r *rule, now time.Time) (refusal, time.Time) {
	rq := q.Routed
	switch {
	case !rq.releaseFits(e.host.Release):
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

// isCold reports whether the endpoint has started a short time ago, as far as is known. One that could not be reached may
// have started anew: it is taken for cold until the list would show it.
func (e *endpoint) isCold(now time.Time) bool {
	tail := coldTail + time.Duration(e.stagger*float64(coldSpread))
	return now.Before(e.host.ColdUntil.Add(tail)) || now.Before(e.routed.cold.Add(tail)) || e.routed.down || now.Before(e.routed.unsure)
}

// coldRate returns this daemon's part of the requests a second that a cold endpoint bears.
func (r *rule) coldRate() float64 {
	if r.routed == nil || r.routed.ColdPerSecond <= 0 {
		return 0
	}
	return coldShare * r.routed.ColdPerSecond / float64(max(1, r.daemons))
}

// coldWait returns the time until a cold endpoint may get a request of this daemon, 0 if it may now. The daemons' first
// requests are spread over the time that each earns one in, by a fraction that differs with daemon and endpoint.
func (e *endpoint) coldWait(r *rule, now time.Time) time.Duration {
	rate := r.coldRate()
	if rate == 0 || !e.isCold(now) {
		e.routed.filled = time.Time{}
		return 0
	}
	if e.routed.filled.IsZero() {
		e.routed.tokens, e.routed.filled = e.stagger, now
	}
	e.routed.tokens = min(1, e.routed.tokens+rate*now.Sub(e.routed.filled).Seconds())
	e.routed.filled = now
	if e.routed.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - e.routed.tokens) / rate * float64(time.Second))
}

// reserveRouted notes what a request takes. Parts count as cached from when they are sent.
func (e *endpoint) reserveRouted(all *Query, now time.Time) {
	q := all.Routed
	all.Prompt = e.toRead(all, now)
	e.routed.work += q.pace.token * float64(all.Prompt)
	if !e.routed.filled.IsZero() { // it is cold
		e.routed.tokens--
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

// announce tells of a request with a long prompt.
func (p *Pool) announce(r Reservation) {
	if work := time.Duration(r.routed.work * float64(time.Millisecond)); p.spec.OnWork != nil && work >= announcedWork {
		p.spec.OnWork(r, work)
	}
}

// Announced records that another daemon has sent an endpoint a prompt that takes some time to read.
func (p *Pool) Announced(id string, work time.Duration, now time.Time) {
	e := p.table.Load().byID[id]
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.routed.remote = e.routed.remoteWork(now) + float64(min(work, maxRemoteWork))/float64(time.Millisecond)
	e.routed.remoteAt = now
}

// overloaded records that the endpoint had not begun an answer after a time: what it reads is not known, but it will probably
// take as long again.
func (s *routedState) overloaded(silence time.Duration, now time.Time) {
	if ms := float64(silence) / float64(time.Millisecond); ms > s.remoteWork(now) {
		s.remote, s.remoteAt = ms, now
	}
}

// remoteWork returns what is left of the time for the prompts of other daemons, if the endpoint reads them without a pause.
func (s *routedState) remoteWork(now time.Time) float64 {
	return max(0, s.remote-float64(now.Sub(s.remoteAt))/float64(time.Millisecond))
}

// Service returns the service of the endpoint.
func (r *Reservation) Service() string { return r.service }

// toRead returns the prompt tokens that the endpoint probably has to read. A part counts as cached only if all parts
// before it are.
func (e *endpoint) toRead(all *Query, now time.Time) int64 {
	q := all.Routed
	sum, shared := all.Prompt, int64(0)
	for i, p := range q.Parts {
		at, ok := e.routed.parts[partKey(q.Model, p.ID)]
		if !ok || now.Sub(at) > partTTL {
			if e.key == q.home && i < len(q.Parts)-1 {
				for _, rest := range q.Parts[i : len(q.Parts)-1] {
					shared += rest.Tokens
				}
			}
			break
		}
		sum -= p.Tokens
	}
	return max(0, sum-int64(homeShare*float64(shared)))
}

func (s *routedState) failed() {
	s.failures += failAlpha * (1 - s.failures)
	s.streak++
}

func (s *routedState) succeeded() {
	s.failures -= failAlpha * s.failures
	s.streak = 0
}

// before reports whether an endpoint is taken before another one of the same score: the one that was chosen the longest time
// ago. Of those that were not chosen yet, most of them at a daemon with few requests, each daemon begins with another one.
func (c *candidate) before(other *candidate) bool {
	return cmp.Or(c.chosen.Compare(other.chosen), cmp.Compare(c.e.stagger, other.e.stagger)) < 0
}

// bestRouted compares all endpoints, since few of a large group are in the request's segment and failure domain.
func (p *Pool) bestRouted(group []*endpoint, q *Query, t *table, now time.Time, short *Shortage) *endpoint {
	var best candidate
	quiet := p.reach.quiet()
	for _, e := range group {
		c, ok := e.consider(q, t.view, t.rules[q.Service], now, short)
		if !ok {
			continue
		}
		if !quiet && p.reach.cutOff(c.domain, now) {
			c.score += unreachedDelay * float64(q.Routed.Target/time.Millisecond)
		}
		closer := c.score < best.score-sameWait
		same := math.Abs(c.score-best.score) <= sameWait
		if best.e == nil || closer || same && c.before(&best) {
			best = c
		}
	}
	q.expected = best.wait
	return best.e
}

// routedScore estimates the delay of the request at the endpoint with the harm that it does there, and the delay alone.
func (e *endpoint) routedScore(all *Query, now time.Time) (score float64, wait time.Duration) {
	q := all.Routed
	target := float64(q.Target / time.Millisecond)
	read := q.pace.token * float64(e.toRead(all, now))
	busy := float64(e.busy(now))
	delay := e.routed.work + read + q.pace.base
	if e.host.Slots > 0 {
		delay += q.pace.base * slotDelay * busy / float64(e.host.Slots)
	}
	slow := e.slowness(now)
	delay += e.routed.remoteWork(now)
	delay *= slow
	s := delay + slow*read*batchHarm*busy + crowdDelay*q.meanWork*busy + failDelay*e.routed.failures*target
	if !e.inSegment(q) {
		s += strayShare * target
	}
	if !e.local {
		s += remoteDelay + remoteKilobyte*float64(q.Bytes)/1024
	}
	return s, time.Duration(delay * float64(time.Millisecond))
}

// slowness returns by how much the endpoint is slower than others, fading to 1 with its age.
func (e *endpoint) slowness(now time.Time) float64 {
	if e.routed.slowAt.IsZero() {
		return 1
	}
	age := float64(now.Sub(e.routed.slowAt)) / float64(slowTTL)
	return 1 + (e.routed.slow-1)/(1+age*age)
}

// Answered records the header of an endpoint's answer: its latency, the load that it reports, and for how long it is cold.
// A measured of false leaves the latency out, for answers that say nothing about the endpoint's speed.
func (r *Reservation) Answered(latency time.Duration, measured bool, load *engine.SlotLoad, cold time.Duration, now time.Time) {
	r.pool.reach.answered(r.Domain)
	e := r.e
	e.mu.Lock()
	defer e.mu.Unlock()
	r.prefilled()
	if e.routed.down {
		e.routed.down, e.routed.unsure = false, now.Add(r.pool.spec.RestartKnown)
	}
	if measured {
		expected := r.pool.estimates.pace(r.routed.service, r.routed.model).of(r.routed.tokens)
		r.pool.estimates.observe(r.routed.service, r.routed.model, r.routed.tokens, latency, now)
		e.routed.slow = e.slowness(now) // of old evidence, some is left
		e.routed.slow += latencyAlpha * (float64(latency)/float64(time.Millisecond)/expected - e.routed.slow)
		e.routed.slowAt = now
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
