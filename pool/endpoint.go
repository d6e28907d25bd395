package pool

import (
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/object"
)

const (
	// evidenceTTL is the time for which a sign of life proves that a warm endpoint has not started anew. An endpoint
	// without a recent sign gets only the work that a cold one can bear.
	evidenceTTL = time.Second
	// loadTTL is the age at which a load report no longer counts in the choice.
	loadTTL     = 10 * time.Second
	ejectBase   = 200 * time.Millisecond
	ejectMax    = 10 * time.Second
	busyBackoff = 100 * time.Millisecond
	// prefillCost is the score of requestTokens prompt tokens of own requests in progress. They delay a first token by a step
	// of the engine, 61 ms at the target; requests in all slots make a step about half as long again.
	prefillCost = 2.0
	remoteCost  = 0.1 // score added for an endpoint in another failure domain
	// spareLimit is the part of this daemon's shares of an endpoint up to which it takes work that may be left out. At 80 %
	// of capacity with one replica in ten lost, the others are at 0.89 of what they bear.
	spareLimit   = 0.9
	latencyAlpha = 0.2 // weight of the newest first-byte latency in the moving average
)

// endpoint is the state of one endpoint. Its fields below mu are guarded by the lock of its shard.
type endpoint struct {
	host  hostlist.Host
	key   uint64 // hash of the identity
	local bool
	mu    *sync.Mutex // lock of the endpoint's shard

	settled   place // among the daemons in the list
	counted   place // among those and the ones that left a short time ago
	inFlight  int64
	tokens    int64
	prefill   int64 // prompt tokens of this daemon's requests that have no first token yet
	suspects  int
	chosen    time.Time // when this daemon last sent a request
	boot      string
	completed int64
	evidence  time.Time // at which the endpoint was surely running as boot
	failedAt  time.Time // signs of life from before do not count
	load      engine.Load
	loadAt    time.Time
	failures  int
	ejected   time.Time // no work before this time
	latency   time.Duration
	askedAt   time.Time // when a load report was last asked for
	wanted    bool      // a request found the evidence too old
	routed    routedState
	position  int     // among the endpoints of its service, failure domain and software version
	alike     int     // number of those
	stagger   float64 // from 0 to 1, different for each daemon
}

// capacity returns the number of requests that the endpoint can bear now, over all daemons. There is no ramp between the
// cold and the warm limit: what a partly warm endpoint bears is not declared.
func (e *endpoint) capacity(lim *limits, now time.Time) int64 {
	if e.stale(now) || e.completed < int64(lim.WarmAfter) {
		return int64(lim.ColdSlots)
	}
	return int64(lim.Slots)
}

func (e *endpoint) stale(now time.Time) bool { return now.Sub(e.evidence) > evidenceTTL }

// rule is what applies to all endpoints of a service at one time: the limits in force, and those in force before for
// as long as other daemons may still use them.
type rule struct {
	limits  limits
	earlier []expiringLimits
	joined  time.Time             // this daemon has no share before; if it is not listed, its places have none
	until   time.Time             // departed daemons count until then
	routed  *object.RoutedService // nil for services without routes
	daemons int                   // that use the service's endpoints, those that departed a short time ago included
}

func (e *endpoint) place(r *rule, now time.Time) place {
	if now.Before(r.until) {
		return e.counted
	}
	return e.settled
}

// slotShare returns the number of requests that this daemon may have at the endpoint now.
func (e *endpoint) slotShare(r *rule, now time.Time) int64 {
	if now.Before(r.joined) {
		return 0
	}
	p := e.place(r, now)
	n := p.share(e.capacity(&r.limits, now), r.limits.Slots)
	for i := range r.earlier {
		if l := &r.earlier[i]; now.Before(l.until) {
			n = min(n, p.share(e.capacity(&l.limits, now), l.Slots))
		}
	}
	return n
}

// tokenShare returns the number of tokens that this daemon's requests may hold at the endpoint now.
func (e *endpoint) tokenShare(r *rule, now time.Time) int64 {
	if now.Before(r.joined) {
		return 0
	}
	p := e.place(r, now)
	n := p.tokens(&r.limits)
	for i := range r.earlier {
		if l := &r.earlier[i]; l.Tokens > 0 && now.Before(l.until) {
			n = min(n, p.tokens(&l.limits))
		}
	}
	return n
}

// refusal says why an endpoint can't take a request.
type refusal int

const (
	accepted refusal = iota
	refusedEjected
	refusedSlots
	refusedTokens
	refusedTooLarge
	refusedStale
	refusedSuspect
	refusedCold    // the endpoint is cold and its share of requests a second is used up
	refusedRelease // the endpoint runs another version of the software
	refusedModel   // the endpoint does not serve the model
)

func (e *endpoint) admits(q *Query, r *rule, now time.Time) refusal {
	if now.Before(e.ejected) {
		return refusedEjected
	}
	if q.Suspect && (e.suspects > 0 || q.OnlyRankZero && !e.first(r, now)) {
		return refusedSuspect
	}
	if q.Spare && float64(e.inFlight+1) > spareLimit*float64(e.slotShare(r, now)) {
		return refusedSlots
	}
	if e.inFlight >= e.slotShare(r, now) {
		if e.stale(now) && r.limits.ColdSlots < r.limits.Slots {
			e.wanted = true
			return refusedStale
		}
		return refusedSlots
	}
	if r.limits.Tokens > 0 {
		share := e.tokenShare(r, now)
		switch {
		case q.Tokens > share:
			return refusedTooLarge
		case e.tokens+q.Tokens > share, q.Spare && float64(e.tokens+q.Tokens) > spareLimit*float64(share):
			return refusedTokens
		}
	}
	return accepted
}

// first reports whether this daemon is the only one with the first rank.
func (e *endpoint) first(r *rule, now time.Time) bool {
	return e.place(r, now).rank == 0 && !now.Before(r.joined)
}

// score estimates the cost of choosing the endpoint; lower is better.
func (e *endpoint) score(r *rule, now time.Time) float64 {
	s := e.queueCost(r, now)
	if !e.local {
		s += remoteCost
	}
	return s + e.latency.Seconds()
}

// queueCost is the part of the score that stands for the requests at the endpoint, the new one included. Reports show no
// prompts in progress: a prompt is processed before the next report.
func (e *endpoint) queueCost(r *rule, now time.Time) float64 {
	share := max(1, e.place(r, now).share(int64(r.limits.Slots), r.limits.Slots))
	s := float64(e.inFlight+1)/float64(share) + prefillCost*float64(e.prefill)/requestTokens
	if age := now.Sub(e.loadAt); age < loadTTL && r.limits.Slots > 0 {
		fresh := 1 - float64(age)/float64(loadTTL)
		s += fresh * float64(e.load.Running+e.load.Queued) / float64(r.limits.Slots)
	}
	return s
}

// confirm records that the endpoint ran as boot at a time. An endpoint with a new boot identity has started anew and is
// cold. A sign that is older than the newest one, or than a failure, says nothing about the present; confirm then
// returns false.
func (e *endpoint) confirm(boot string, at time.Time) bool {
	if !at.After(e.failedAt) {
		return false
	}
	if boot != "" && boot != e.boot {
		if at.Before(e.evidence) {
			return false
		}
		e.boot = boot
		e.completed = 0
		e.load = engine.Load{}
		e.loadAt = time.Time{}
	}
	if at.After(e.evidence) {
		e.evidence = at
	}
	return true
}

// fail keeps work away from the endpoint for a time that grows with each failure. All requests that one crash interrupts
// fail together and count once. The time is short if a sign of life from after the failure is known already.
func (e *endpoint) fail(at time.Time) {
	back := e.evidence.After(at)
	if !back {
		e.evidence = time.Time{}
		e.failedAt = at
	}
	if at.Before(e.ejected) {
		return
	}
	e.routed.down = true
	e.failures++
	wait := ejectMax
	if e.failures < 7 {
		wait = min(ejectMax, ejectBase<<(e.failures-1))
	}
	if back {
		wait = ejectBase
	}
	e.ejected = at.Add(wait)
}
