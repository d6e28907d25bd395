package pool

import "time"

// The cost of an endpoint is the delay, in milliseconds, that a request has there and causes there, plus what stands for the
// price of its traffic and of tokens that another endpoint may have cached. It answers a load of few long prompts among many
// short ones, of which each daemon sees a part: an endpoint that is busy or far away is taken only if it saves more than it
// costs.
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
	// slowdownHalfLife is the age at which a measured slowdown has half its effect. A slow endpoint is tried again
	// after a few of these periods.
	slowdownHalfLife = 4 * time.Second
	// uncachedDelayPer1000 represents the price of processing prompt tokens that another endpoint may have in its cache, in
	// milliseconds for 1,000 tokens. It does not depend on the model: a small model reads fast, but the tokens that it reads
	// evict others from the cache all the same.
	uncachedDelayPer1000 = 20.0
	// failurePenalty is added to the cost of an endpoint that always fails, as a multiple of the target time. A failed
	// request is sent again, or is lost if it may run only once.
	failurePenalty = 2.0
)

// routedScore returns the cost of sending the request to the endpoint, in milliseconds, and its expected delay. uncached is
// the number of prompt tokens that the endpoint has to process. The cost also includes the delay for other requests, the
// price of uncached tokens, and penalties for failures, other segments and other domains.
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
	cost := delay + uncachedDelayPer1000*float64(uncached)/1000 + failurePenalty*e.routed.failureRate*target
	cost += (slowdown*prefill*prefillInterference + contentionDelay*q.meanPrefillMs) * requests
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
