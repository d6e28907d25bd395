package pool

import (
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/selection"
)

const (
	// confirmationTTL is how long a sign of life proves that a warm endpoint has not restarted. An endpoint without a
	// recent sign of life gets no more work than a cold one can take.
	confirmationTTL = time.Second
	// loadTTL is the age at which a load report no longer affects the score.
	loadTTL     = 10 * time.Second
	ejectBase   = 200 * time.Millisecond // ejection after the first failure
	ejectMax    = 10 * time.Second       // longest ejection
	busyBackoff = 100 * time.Millisecond // time without requests after the endpoint refused one as Busy
	// prefillCost is the score of prefillStepTokens prompt tokens of this daemon's requests in prefill. They delay a
	// first token by one engine step, which takes 61 ms at the design load; with requests in all slots, a step takes
	// about 1.5 times as long.
	prefillCost = 2.0
	remoteCost  = 0.1 // added to the score of an endpoint in another failure domain
	// headroomUtilization is the fraction of this daemon's shares that requests with KeepHeadroom may fill. With one
	// replica in ten lost at 80 % load, the remaining replicas run at 0.89 of their capacity.
	headroomUtilization = 0.9
	latencyAlpha        = 0.2 // weight of the latest first-byte latency in the moving average
)

// endpoint is the state of one endpoint. The lock of its shard guards the fields below mu.
type endpoint struct {
	host  hostlist.Host
	key   uint64 // hash of the endpoint's ID
	local bool
	mu    *sync.Mutex // lock of the endpoint's shard

	assignment             assignment // among the listed daemons
	conservativeAssignment assignment // among the listed daemons and those that left recently
	inFlight               int64      // this daemon's requests
	tokens                 int64      // estimated tokens of these requests
	prefillTokens          int64      // prompt tokens of this daemon's requests without a first token
	suspects               int        // this daemon's requests with Query.Suspect
	lastChosen             time.Time  // when this daemon last sent a request to the endpoint
	boot                   string     // ID of the endpoint's process, new after each start
	completed              int64      // requests completed by that process, as last reported
	confirmedAt            time.Time  // latest time at which the process boot was known to run
	failedAt               time.Time  // signs of life before this time don't count
	load                   engine.Load
	loadAt                 time.Time
	failures               int           // consecutive
	ejectedUntil           time.Time     // gets no requests before this time
	latency                time.Duration // moving average of the time to the first byte
	polledAt               time.Time     // when a load report was last requested
	pollWanted             bool          // a request needs a newer load report
	routed                 routedState
	stated                 statement           // what the endpoint's process has said about itself
	properties             *selection.Endpoint // replaced, never modified
	stagger                float64             // fraction in [0, 1) that differs for each daemon and endpoint
}

// capacity returns the number of concurrent requests that the endpoint can take now from all daemons together. It jumps
// from the cold to the warm limit, because the configuration doesn't declare what a partly warm endpoint can take.
func (e *endpoint) capacity(lim *limits, now time.Time) int64 {
	if e.stale(now) || e.completed < int64(lim.WarmAfter) {
		return int64(lim.ColdSlots)
	}
	return int64(lim.Slots)
}

func (e *endpoint) stale(now time.Time) bool { return now.Sub(e.confirmedAt) > confirmationTTL }

// serviceRules apply to all endpoints of a service: the limits in force, the previous ones for as long as other daemons
// may still apply them, and the times from which the set of daemons counts.
type serviceRules struct {
	limits        limits
	earlier       []expiringLimits
	sharesFrom    time.Time             // this daemon has no shares before this time; if it is not listed, its assignments give it none
	departedUntil time.Time             // departed daemons count until this time
	routed        *object.RoutedService // nil for services without routes
	daemons       int                   // daemons that use the service's endpoints, including those that departed recently
	reports       *speedReports
}

// currentAssignment returns the assignment that determines this daemon's shares now.
func (e *endpoint) currentAssignment(r *serviceRules, now time.Time) assignment {
	if now.Before(r.departedUntil) {
		return e.conservativeAssignment
	}
	return e.assignment
}

// slotShare returns the number of concurrent requests that this daemon may have at the endpoint now.
func (e *endpoint) slotShare(r *serviceRules, now time.Time) int64 {
	if now.Before(r.sharesFrom) {
		return 0
	}
	a := e.currentAssignment(r, now)
	n := a.share(e.capacity(&r.limits, now), r.limits.Slots)
	for i := range r.earlier {
		if l := &r.earlier[i]; now.Before(l.until) {
			n = min(n, a.share(e.capacity(&l.limits, now), l.Slots))
		}
	}
	return n
}

// tokenShare returns the number of tokens that this daemon's requests may hold at the endpoint now.
func (e *endpoint) tokenShare(r *serviceRules, now time.Time) int64 {
	if now.Before(r.sharesFrom) {
		return 0
	}
	a := e.currentAssignment(r, now)
	n := a.tokenShare(&r.limits)
	for i := range r.earlier {
		if l := &r.earlier[i]; l.Tokens > 0 && now.Before(l.until) {
			n = min(n, a.tokenShare(&l.limits))
		}
	}
	return n
}

// refusal is the reason why an endpoint can't take a request of a service without routes.
type refusal int

const (
	accepted refusal = iota
	refusedEjected
	refusedSlots
	refusedTokens
	refusedTooLarge
	refusedStale
	refusedSuspect
)

// checkAdmission returns accepted if the endpoint can take the request of a service without routes, or the reason why it
// can't.
func (e *endpoint) checkAdmission(q *Query, r *serviceRules, now time.Time) refusal {
	if now.Before(e.ejectedUntil) {
		return refusedEjected
	}
	if q.Suspect && (e.suspects > 0 || q.OnlyRankZero && !e.hasRankZero(r, now)) {
		return refusedSuspect
	}
	if q.KeepHeadroom && float64(e.inFlight+1) > headroomUtilization*float64(e.slotShare(r, now)) {
		return refusedSlots
	}
	if e.inFlight >= e.slotShare(r, now) {
		if e.stale(now) && r.limits.ColdSlots < r.limits.Slots {
			e.pollWanted = true
			return refusedStale
		}
		return refusedSlots
	}
	if r.limits.Tokens > 0 {
		share := e.tokenShare(r, now)
		switch {
		case q.Tokens > share:
			return refusedTooLarge
		case e.tokens+q.Tokens > share, q.KeepHeadroom && float64(e.tokens+q.Tokens) > headroomUtilization*float64(share):
			return refusedTokens
		}
	}
	return accepted
}

// hasRankZero reports whether this daemon is the only one with rank 0 for the endpoint.
func (e *endpoint) hasRankZero(r *serviceRules, now time.Time) bool {
	return e.currentAssignment(r, now).rank == 0 && !now.Before(r.sharesFrom)
}

// score returns the estimated cost of sending a request to the endpoint; lower is better.
func (e *endpoint) score(r *serviceRules, now time.Time) float64 {
	s := e.queueCost(r, now)
	if !e.local {
		s += remoteCost
	}
	return s + e.latency.Seconds()
}

// queueCost is the part of the score for requests at the endpoint, including the new one. Load reports don't show
// prompts in prefill, because a prefill ends before the next report, so only those of this daemon count.
func (e *endpoint) queueCost(r *serviceRules, now time.Time) float64 {
	share := max(1, e.currentAssignment(r, now).share(int64(r.limits.Slots), r.limits.Slots))
	s := float64(e.inFlight+1)/float64(share) + prefillCost*float64(e.prefillTokens)/prefillStepTokens
	if age := now.Sub(e.loadAt); age < loadTTL && r.limits.Slots > 0 {
		fresh := 1 - float64(age)/float64(loadTTL)
		s += fresh * float64(e.load.Running+e.load.Queued) / float64(r.limits.Slots)
	}
	return s
}

// confirm records that the process boot was running at a time. A new boot ID means that the endpoint restarted and is
// cold. confirm returns false for a sign of life that is older than the latest failure, or that names another process
// and is older than the latest confirmation, because it says nothing about the current state.
func (e *endpoint) confirm(boot string, at time.Time) bool {
	if !at.After(e.failedAt) {
		return false
	}
	if boot != "" && boot != e.boot {
		if at.Before(e.confirmedAt) {
			return false
		}
		e.boot = boot
		e.completed = 0
		e.load = engine.Load{}
		e.loadAt = time.Time{}
	}
	if at.After(e.confirmedAt) {
		e.confirmedAt = at
	}
	return true
}

// recordFailure ejects the endpoint for a time that doubles with each consecutive failure, up to ejectMax. All requests
// that one crash interrupts fail together and count once. The ejection is short if a sign of life from after the
// failure is already known.
func (e *endpoint) recordFailure(at time.Time) {
	recovered := e.confirmedAt.After(at)
	if !recovered {
		e.confirmedAt = time.Time{}
		e.failedAt = at
	}
	if at.Before(e.ejectedUntil) {
		return
	}
	e.routed.down = true
	e.failures++
	wait := ejectMax
	if e.failures < 7 {
		wait = min(ejectMax, ejectBase<<(e.failures-1))
	}
	if recovered {
		wait = ejectBase
	}
	e.ejectedUntil = at.Add(wait)
}
