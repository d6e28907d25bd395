package selection

// nearEqualShare is the difference of costs up to which endpoints count as equal, as a fraction of the expected delay. What
// a daemon knows of their load and speed is less exact, and all daemons would follow the same difference.
const nearEqualShare = 0.1

// balance chooses among the usable candidates of a service whose endpoints report their speed. Those that cost about the
// same are sampled according to their shares, so that many daemons with the same or equally old reports spread their
// requests. Of two samples, the least recently chosen one is taken, which evens out the chance.
//
// If an endpoint of another failure domain costs less than all local ones, the request goes there with a probability that
// rises with the saving and with what the domain's utilization exceeds the others'. All daemons expect about the same load of
// a domain, so the share of the requests that leave it rises and falls gradually with the shortage, without messages between
// them.
func (c *Chooser) balance(m *costModel, d *Decision) {
	best, local := -1, -1
	for i := range c.evaluations {
		e := &c.evaluations[i]
		if e.Rejection != Usable {
			continue
		}
		if best < 0 || e.CostMs < c.evaluations[best].CostMs {
			best = i
		}
		if c.Candidates[i].Local && (local < 0 || e.CostMs < c.evaluations[local].CostMs) {
			local = i
		}
	}
	if best < 0 {
		return
	}
	overflow := local >= 0 && best != local && !c.Candidates[best].Local
	if overflow {
		saving := c.evaluations[local].CostMs - c.evaluations[best].CostMs
		if fraction(m.Random) >= m.group.overflowShare(m.LocalDomain)*min(1, saving/m.crossDomainCost()) {
			best, overflow = local, false
		}
	}
	domain := c.Candidates[best].DomainIndex
	limit := c.evaluations[best].CostMs + max(costTolerance, nearEqualShare*c.evaluations[best].DelayMs)
	near := func(i int) bool {
		e := &c.evaluations[i]
		return e.Rejection == Usable && e.CostMs <= limit && c.Candidates[i].DomainIndex == domain
	}
	d.Index, d.Preference = best, LowestCost
	total, count := 0.0, 0
	for i := range c.evaluations {
		if near(i) {
			c.Candidates[i].share = m.group.share(&c.Candidates[i])
			total += c.Candidates[i].share
			count++
		}
	}
	if count > 1 {
		first, second := fraction(SplitMix64(m.Random+1))*total, fraction(SplitMix64(m.Random+2))*total
		a, b := -1, -1
		for i := range c.evaluations {
			if !near(i) {
				continue
			}
			share := c.Candidates[i].share
			if first -= share; first < 0 && a < 0 {
				a = i
			}
			if second -= share; second < 0 && b < 0 {
				b = i
			}
		}
		if a < 0 || b >= 0 && c.Candidates[b].precedes(&c.Candidates[a]) {
			a = b
		}
		if a >= 0 {
			d.Index, d.Preference = a, Share
		}
	}
	if overflow {
		d.Preference = Overflow
	}
	d.Chosen = c.evaluations[d.Index]
}

// fraction maps a random number to [0, 1).
func fraction(random uint64) float64 { return float64(random>>11) / (1 << 53) }
