package dispatch

import (
	"slices"
	"sync"
	"time"
)

const (
	// hedgeQuantile is the quantile of the recent times to the first token after which a hedge is sent. At 0.95, hedges
	// would use up a budget of 0.05 even without a fault.
	hedgeQuantile = 0.98
	// minHedgeDelay exceeds two engine steps at 61 ms between tokens: a hedge that is sent sooner does not answer
	// before the first call if that call's endpoint works.
	minHedgeDelay = 125 * time.Millisecond
	// maxHedgeDelay is half of the target for the first token, 0.69 s, so that a hedge that takes as long still meets
	// it.
	maxHedgeDelay = 345 * time.Millisecond
	// firstTokenSamples is the number of recent samples kept for each version: two minutes of requests at the design
	// load of 18 versions and 18 requests a second for each daemon.
	firstTokenSamples = 128
	// minFirstTokenSamples is the number of samples from which on the hedge delay follows them.
	minFirstTokenSamples = 32
	// hedgeDelayInterval is the number of samples after which the hedge delay is computed again.
	hedgeDelayInterval = 16
	// maxFirstTokenVersions bounds the versions whose samples are kept, at 1 KiB each; 18 are in use at the design
	// load.
	maxFirstTokenVersions = 64
)

// firstTokenTimes holds recent times to the first token of each model version and computes the hedge delay from them.
// It is safe for concurrent use.
type firstTokenTimes struct {
	mu       sync.Mutex
	versions map[string]*versionTimes
}

// versionTimes is a ring buffer of the recent samples of one version, with the hedge delay computed from them.
type versionTimes struct {
	ring       [firstTokenSamples]time.Duration
	count      int // of all samples so far
	hedgeDelay time.Duration
}

// observe adds a sample of a version.
func (t *firstTokenTimes) observe(version string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.versions[version]
	if r == nil {
		if t.versions == nil || len(t.versions) >= maxFirstTokenVersions { // full of versions that are no longer used
			t.versions = map[string]*versionTimes{}
		}
		r = &versionTimes{hedgeDelay: maxHedgeDelay}
		t.versions[version] = r
	}
	r.ring[r.count%firstTokenSamples] = d
	r.count++
	if r.count >= minFirstTokenSamples && r.count%hedgeDelayInterval == 0 {
		sorted := slices.Clone(r.ring[:min(r.count, firstTokenSamples)])
		slices.Sort(sorted)
		r.hedgeDelay = min(max(sorted[int(hedgeQuantile*float64(len(sorted)))], minHedgeDelay), maxHedgeDelay)
	}
}

// hedgeDelay returns the time without a first token after which a request to the version is hedged.
func (t *firstTokenTimes) hedgeDelay(version string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.versions[version]; r != nil {
		return r.hedgeDelay
	}
	return maxHedgeDelay
}
