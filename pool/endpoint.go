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
	loadTTL      = 10 * time.Second
	ejectBase    = 200 * time.Millisecond
	ejectMax     = 10 * time.Second
	busyBackoff  = 100 * time.Millisecond
	remoteCost   = 0.1 // score added for an endpoint in another failure domain
	latencyAlpha = 0.2 // weight of the newest first-byte latency in the moving average
)

// endpoint is the state of one endpoint. Its fields below mu are guarded by the lock of its shard.
type endpoint struct {
	host  hostlist.Host
	local bool
	mu    *sync.Mutex // lock of the endpoint's shard

	pos       positions
	inFlight  int64
	tokens    int64
	suspects  int
	boot      string
	completed int64
	evidence  time.Time
	load      engine.Load
	loadAt    time.Time
	failures  int
	ejected   time.Time // no work before this time
	latency   time.Duration
	wanted    bool // a request found the evidence too old
}

// slots returns the number of requests that the endpoint can bear now, over all daemons.
func (e *endpoint) slots(lim object.EndpointLimits, now time.Time) int64 {
	cold, warm := int64(lim.ColdSlots), int64(lim.Slots)
	if now.Sub(e.evidence) > evidenceTTL {
		return cold
	}
	if lim.WarmAfter == 0 || e.completed >= int64(lim.WarmAfter) {
		return warm
	}
	return cold + (warm-cold)*e.completed/int64(lim.WarmAfter)
}

// refusal says why an endpoint can't take a request.
type refusal int

const (
	accepted refusal = iota
	refusedEjected
	refusedSlots
	refusedTokens
	refusedStale
	refusedSuspect
)

func (e *endpoint) admits(q *Query, lim object.EndpointLimits, now time.Time) refusal {
	if now.Before(e.ejected) {
		return refusedEjected
	}
	if q.Suspect && (e.suspects > 0 || q.OnlyRankZero && e.pos.current.rank != 0) {
		return refusedSuspect
	}
	if e.inFlight >= e.pos.share(e.slots(lim, now), now) {
		if now.Sub(e.evidence) > evidenceTTL {
			e.wanted = true
			return refusedStale
		}
		return refusedSlots
	}
	if lim.Tokens > 0 && e.tokens+q.Tokens > e.pos.share(lim.Tokens, now) {
		return refusedTokens
	}
	return accepted
}

// score estimates the cost of choosing the endpoint; lower is better.
func (e *endpoint) score(lim object.EndpointLimits, now time.Time) float64 {
	share := max(1, e.pos.share(int64(lim.Slots), now))
	s := float64(e.inFlight+1) / float64(share)
	if age := now.Sub(e.loadAt); age < loadTTL && lim.Slots > 0 {
		fresh := 1 - float64(age)/float64(loadTTL)
		s += fresh * float64(e.load.Running+e.load.Queued) / float64(lim.Slots)
	}
	if !e.local {
		s += remoteCost
	}
	return s + e.latency.Seconds()
}

// confirm records a sign of life. An endpoint that has a new boot identity has started anew and is cold.
func (e *endpoint) confirm(boot string, now time.Time) {
	if boot != "" && boot != e.boot {
		e.boot = boot
		e.completed = 0
		e.load = engine.Load{}
		e.loadAt = time.Time{}
	}
	e.evidence = now
}

func (e *endpoint) fail(now time.Time) {
	e.failures++
	wait := ejectMax
	if e.failures < 7 {
		wait = min(ejectMax, ejectBase<<(e.failures-1))
	}
	e.ejected = now.Add(wait)
	e.evidence = time.Time{}
}
