package gateway

import (
	"testing"
	"time"
)

// Guards against messages with estimates that each daemon receives more of the more daemons there are.
func TestEstimatesAreToldAtABoundedRate(t *testing.T) {
	const mostPerSecond = 40
	for _, others := range []int{0, 2, 12, 38, 73, 199, 999} {
		for _, age := range []time.Duration{time.Second, time.Minute} {
			if n := float64(others) / estimateInterval(age, others).Seconds(); n > mostPerSecond {
				t.Errorf("%d others, age %v: %.1f messages a second", others, age, n)
			}
		}
	}
}
