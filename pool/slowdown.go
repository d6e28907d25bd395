package pool

import "time"

// slowdownHalfLife is the age at which a measured slowdown has half its effect. A slow endpoint is tried again after a few
// of these periods.
const slowdownHalfLife = 4 * time.Second

// currentSlowdown returns the endpoint's latency as a multiple of the expected one. It decays to 1 with the age of the
// measurement.
func (e *endpoint) currentSlowdown(now time.Time) float64 {
	if e.routed.slowdownAt.IsZero() {
		return 1
	}
	age := float64(now.Sub(e.routed.slowdownAt)) / float64(slowdownHalfLife)
	return 1 + (e.routed.slowdown-1)/(1+age*age)
}
