package selection

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
	// uncachedDelayPer1000 represents the price of processing prompt tokens that another endpoint may have in its cache, in
	// milliseconds for 1,000 tokens. It does not depend on the model: a small model reads fast, but the tokens that it reads
	// evict others from the cache all the same.
	uncachedDelayPer1000 = 40.0
	// failurePenalty is added to the cost of an endpoint that always fails, as a multiple of the target time. A failed
	// request is sent again, or is lost if it may run only once.
	failurePenalty = 2.0
	// unreachablePenalty is added to the cost of endpoints in an unreachable domain, as a fraction of the request's
	// target time.
	unreachablePenalty = 1.0
)

// costModel computes costs for one request.
type costModel struct {
	*Request
	affinityKey uint64 // result of Request.affinity
	segment     segmentBounds

	// The following are for requests with BySpeed.
	group        groupState
	overuseLimit float64 // see groupState.overused
}

// evaluate computes the cost of sending the request to the candidate, and its expected delay. The cost also includes the
// delay for other requests, the price of uncached tokens, and penalties for failures, other segments and other domains.
func (m *costModel) evaluate(c *Candidate, out *Evaluation) {
	target := float64(m.Target / time.Millisecond)
	out.Uncached = m.uncached(c, m.affinityKey)
	uncached := float64(out.Uncached)
	prefill := m.TokenMs * uncached
	requests := float64(c.Requests)
	delay := c.PrefillMs + prefill + m.BaseMs
	if c.Slots > 0 {
		delay += m.BaseMs * batchDelay * requests / float64(c.Slots)
	}
	delay += c.PeerPrefillMs
	delay *= c.Slowdown
	cost := delay + uncachedDelayPer1000*uncached/1000 + failurePenalty*c.FailureRate*target
	cost += (c.Slowdown*prefill*prefillInterference + contentionDelay*m.MeanPrefillMs) * requests
	if !m.segment.includes(m.Request, c.Endpoint) {
		cost += outOfSegmentPenalty * target
	}
	if !c.Local {
		cost += crossDomainDelay + crossDomainDelayPerKB*float64(m.Bytes)/1024
	}
	if c.Unreachable {
		cost += unreachablePenalty * target
	}
	out.CostMs, out.DelayMs = cost, delay
}
