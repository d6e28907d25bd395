package claim

// minWritesPerSecond is the smallest share of a daemon: one call, which takes two writes, in 10 s. With a budget of 260
// writes a second, shares reach this minimum only above 1,300 daemons.
const minWritesPerSecond = 0.2

// writesPerCall is the number of store writes for a call: the claim and its outcome.
const writesPerCall = 2

// writesPerSecond returns the rate limit of this daemon's claim writes.
func (s *Spec) writesPerSecond() float64 {
	if s.WritesPerSecond > 0 {
		return s.WritesPerSecond
	}
	members := s.Members()
	if members < 1 {
		return minWritesPerSecond
	}
	return max(minWritesPerSecond, s.Budget/float64(members))
}

// burstSize returns the number of writes that may be made at once under a rate limit: one second's worth, and at least
// those of one call.
func burstSize(writesPerSecond float64) int { return max(writesPerCall, int(writesPerSecond)) }
