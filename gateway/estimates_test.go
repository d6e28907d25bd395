package gateway

import (
	"testing"
	"time"
)

// Guards against a rate of received estimates that grows with the number of daemons.
func TestEstimateRateIsBounded(t *testing.T) {
	const maxPerSecond = 40
	for _, peers := range []int{0, 2, 12, 38, 73, 199, 999} {
		for _, age := range []time.Duration{time.Second, time.Minute} {
			if n := float64(peers) / estimateInterval(age, peers).Seconds(); n > maxPerSecond {
				t.Errorf("%d peers, age %v: %.1f messages received a second", peers, age, n)
			}
		}
	}
}
