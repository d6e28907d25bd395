package bench

import "math/rand/v2"

// Bursts says which calls fail together.
type Bursts int

const (
	// NoBursts are failures that are independent of each other.
	NoBursts Bursts = iota
	// BurstsOfBoth hit both versions at the same time, as the outage of a network does.
	BurstsOfBoth
	// BurstsOfEach hit each version by itself, equally often, as the failure of one of its hosts does.
	BurstsOfEach
)

const (
	burstsPerDay     = 24
	burstSeconds     = 60
	burstFailureRate = 0.5
	secondsPerDay    = 86_400
)

// burstState is the rest of the current bursts in seconds, of the old and the new version.
type burstState [2]int

// next goes on by one second. It draws no random numbers without bursts.
func (b *burstState) next(kind Bursts, rng *rand.Rand) {
	if kind == NoBursts {
		return
	}
	for i := range b {
		b[i] = max(0, b[i]-1)
		if rng.Float64() < burstsPerDay/float64(secondsPerDay) {
			b[i] = burstSeconds
		}
	}
	if kind == BurstsOfBoth {
		b[1] = b[0]
	}
}

// rate returns the failure rate of a version whose calls otherwise fail at the given rate.
func (b *burstState) rate(new bool, usual float64) float64 {
	if new && b[1] > 0 || !new && b[0] > 0 {
		return burstFailureRate
	}
	return usual
}
