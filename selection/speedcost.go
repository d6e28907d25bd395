package selection

import "time"

const (
	// cacheRetention is the fraction of a prompt's cached parts that is expected to be still in the cache of an endpoint with
	// all slots in use: the memory of the cache is what running requests leave free. It falls linearly from 1 at the
	// utilization cacheFree.
	cacheRetention, cacheFree = 0.5, 0.6
)

// evaluateBySpeed is evaluate for services whose endpoints report their speed. The load of the single
// endpoint determines its share, see groupState.share, and the cost includes only the time that requests wait in its failure
// domain. The prefill time that the cache saves counts only if the endpoint is not used more than the others, and as far as
// it has memory for the cache.
func (m *costModel) evaluateBySpeed(c *Candidate, out *Evaluation) {
	target := float64(m.Target / time.Millisecond)
	utilization := m.group.total.mean()
	cached := float64(m.Prompt - m.uncached(c, m.affinityKey))
	if utilization > cacheFree {
		cached *= 1 - (1-cacheRetention)*min(1, (utilization-cacheFree)/(1-cacheFree))
	}
	out.Uncached = m.Prompt - int64(cached)
	if m.group.overused(c, m.overuseLimit) {
		cached = 0
	}
	uncached := float64(m.Prompt) - cached
	prefill := m.TokenMs * uncached
	work := c.PrefillMs + c.PeerPrefillMs + prefill + m.BaseMs*(1+batchDelay*utilization) + m.group.waitMs[c.DomainIndex]
	speed := c.Speed.relative(m.group.slowness, c.SpeedAge, work) * max(1, c.Slowdown/explainedSlowdown)
	delay := work * speed
	cost := delay + uncachedDelayPer1000*uncached/1000 + failurePenalty*c.FailureRate*target
	cost += (speed*prefill*prefillInterference + contentionDelay*m.MeanPrefillMs) * utilization * float64(c.Slots)
	if !m.segment.includes(m.Request, c.Endpoint) {
		cost += outOfSegmentPenalty * target * (1 - excess(m.group.segment.mean(), m.localUtilization()))
	}
	if !c.Local {
		cost += m.crossDomainCost()
	}
	if c.Unreachable {
		cost += unreachablePenalty * target
	}
	out.CostMs, out.DelayMs = cost, delay
}

func (m *costModel) localUtilization() float64 { return m.group.all[m.LocalDomain].mean() }

// crossDomainCost is the price of the request's traffic between failure domains, in milliseconds.
func (m *costModel) crossDomainCost() float64 {
	return crossDomainDelay + crossDomainDelayPerKB*float64(m.Bytes)/1024
}
