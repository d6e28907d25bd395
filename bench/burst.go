package bench

import "math/rand/v2"

// BurstKind is how the failures of the old and the new version are correlated in time.
type BurstKind int

const (
	// NoBursts means that each call fails independently.
	NoBursts BurstKind = iota
	// JointBursts hit both versions at the same time, like a network outage.
	JointBursts
	// IndependentBursts hit each version at its own times, equally often, like the failure of one of its hosts.
	IndependentBursts
)

// Each version has burstsPerDay bursts on average; during one, a share burstFailureRate of its calls fails.
const (
	burstsPerDay     = 24
	burstSeconds     = 60
	burstFailureRate = 0.5
	secondsPerDay    = 86_400
)

// burstState holds the remaining seconds of the current burst of the old and of the new version.
type burstState [2]int

// advance simulates one second and starts new bursts at random. With NoBursts it draws no random numbers.
func (b *burstState) advance(kind BurstKind, rng *rand.Rand) {
	if kind == NoBursts {
		return
	}
	for i := range b {
		b[i] = max(0, b[i]-1)
		if rng.Float64() < burstsPerDay/float64(secondsPerDay) {
			b[i] = burstSeconds
		}
	}
	if kind == JointBursts {
		b[1] = b[0]
	}
}

// failureRate returns the current failure rate of the new or the old version, which is baseRate outside of bursts.
func (b *burstState) failureRate(isNew bool, baseRate float64) float64 {
	if isNew && b[1] > 0 || !isNew && b[0] > 0 {
		return burstFailureRate
	}
	return baseRate
}
