package claim

// minWritesPerSecond is the least share of a daemon: one call, which takes two writes, in 10 s. Up to 1,300 daemons the
// shares of a budget of 260 writes a second don't fall to it.
const minWritesPerSecond = 0.2

// writesPerCall is the number of writes of a call: the claim and its outcome.
const writesPerCall = 2

// writesPerSecond returns the claim writes that this daemon may make.
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

// burst returns the writes that may be made at once at a rate: at least those of one call.
func burst(writesPerSecond float64) int { return max(writesPerCall, int(writesPerSecond)) }
