package pool

import (
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/keyed"
	"github.com/bramleytrail/bramleytrail/selection"
)

const (
	// failureAlpha is the weight of the latest outcome in the moving average of failures.
	failureAlpha = 0.15
	// ejectStreak is the number of consecutive failed answers from which an incomplete one ejects the endpoint.
	ejectStreak = 3
)

// pendingPrefill is the prefill work that a request adds to an endpoint until its answer begins.
type pendingPrefill struct {
	service, model string  // model is the name under which the request is counted
	tokens         int64   // uncached prompt tokens
	prompt         int64   // all prompt tokens
	prefillMs      float64 // expected prefill time in milliseconds
}

func pendingPrefillOf(q *Query) pendingPrefill {
	if q.Routed == nil {
		return pendingPrefill{}
	}
	return pendingPrefill{service: q.Service, model: q.Routed.counted, tokens: q.Prompt, prompt: q.choice.request.Prompt, prefillMs: q.Routed.latency.tokenMs * float64(q.Prompt)}
}

// refusedPrompt is a prompt that an endpoint with free slots refused as if it were full: it is larger than the endpoint's memory, so until a
// time, prompts of the same size or more are not sent there. Smaller ones are.
type refusedPrompt struct {
	tokens int64
	until  time.Time
}

// routedState is what this daemon knows about an endpoint of a routed service.
type routedState struct {
	peerRequests   int                             // requests of other daemons according to the last report
	peerRequestsAt time.Time                       // time of that report
	peerMean       selection.Mean                  // of peerRequests
	unshared       bool                            // the report came to this daemon and was not sent to others
	slowdown       float64                         // moving average of the latency as a multiple of the expected one
	slowdownAt     time.Time                       // time of the latest measurement
	cachedParts    *keyed.Table[uint64, time.Time] // times at which prompt parts were last sent; nil before the first one
	coldUntil      time.Time                       // cold until this time according to the endpoint
	prefillMs      float64                         // expected prefill time of this daemon's unanswered requests, in milliseconds
	failureRate    float64                         // moving average, 0 to 1
	failureStreak  int                             // consecutive failed answers
	coldTokens     float64                         // token bucket of requests while the endpoint is cold
	coldTokensAt   time.Time                       // when coldTokens was computed; zero while the endpoint is warm
	peerPrefillMs  float64                         // prefill time of other daemons' prompts at peerPrefillAt, in milliseconds
	peerPrefillAt  time.Time                       // when peerPrefillMs was computed
	down           bool                            // ejected for failures since its last answer, so it may have restarted
	refused        refusedPrompt
	maybeColdUntil time.Time          // before this time, the host list may not show a restart yet
	slowness       selection.Slowness // reported slowness
	slownessAt     time.Time          // time of the latest report of it
}

// reserveRouted records the work of a request at the endpoint and sets query.Prompt to the uncached tokens. Prompt parts
// count as cached from the time they are sent.
func (e *endpoint) reserveRouted(query *Query, now time.Time) {
	q := query.Routed
	query.Prompt = query.expectedUncached
	e.routed.prefillMs += q.latency.tokenMs * float64(query.Prompt)
	if !e.routed.coldTokensAt.IsZero() { // the endpoint is cold
		e.routed.coldTokens--
	}
	e.routed.recordParts(q.Team, query.choice.partKeys, now)
}

func (s *routedState) countFailure() {
	s.failureRate += failureAlpha * (1 - s.failureRate)
	s.failureStreak++
}

func (s *routedState) countSuccess() {
	s.failureRate -= failureAlpha * s.failureRate
	s.failureStreak = 0
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
		r.hadFreeSlots = !load.RunningUnknown && load.Running+load.Waiting < load.Slots
		r.recordLoad(load, now)
	}
	if until := now.Add(cold); cold > 0 && until.After(e.routed.coldUntil) {
		e.routed.coldUntil = until
	}
}
