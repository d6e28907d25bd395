package dispatch

import (
	"slices"
	"sync"
	"time"
)

const (
	// hedgeQuantile is the part of first tokens that come before a hedge is sent. At 0.95, hedges without a fault use up a
	// budget of 0.05.
	hedgeQuantile = 0.98
	// hedgeAfterLeast is above two steps of an engine at 61 ms between tokens: no endpoint that works answers earlier
	// than another one that is asked then.
	hedgeAfterLeast = 125 * time.Millisecond
	// hedgeAfterMost is half of the target for the first token, 0.69 s, so that a hedge that takes as long still meets it.
	hedgeAfterMost = 345 * time.Millisecond
	// firstTokenSamples is the number of first tokens that count for a version: those of two minutes at the target, at 18
	// versions and 18 requests a second for a daemon.
	firstTokenSamples = 128
	// firstTokenLeast is the number of samples from which the delay is learned.
	firstTokenLeast = 32
	// firstTokenEvery is the number of samples after which the delay is computed anew.
	firstTokenEvery = 16
	// maxFirstTokenVersions bounds the versions that are kept, each with 1 KiB; 18 are in use at the target.
	maxFirstTokenVersions = 64
)

// firstTokens holds the recent times to the first token of each version.
type firstTokens struct {
	mu       sync.Mutex
	versions map[string]*recentTimes
}

// recentTimes is a ring of times.
type recentTimes struct {
	ring  [firstTokenSamples]time.Duration
	count int
	delay time.Duration
}

func (t *firstTokens) observe(version string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.versions[version]
	if r == nil {
		if t.versions == nil || len(t.versions) >= maxFirstTokenVersions { // versions that are gone
			t.versions = map[string]*recentTimes{}
		}
		r = &recentTimes{delay: hedgeAfterMost}
		t.versions[version] = r
	}
	r.ring[r.count%firstTokenSamples] = d
	r.count++
	if r.count >= firstTokenLeast && r.count%firstTokenEvery == 0 {
		sorted := slices.Clone(r.ring[:min(r.count, firstTokenSamples)])
		slices.Sort(sorted)
		r.delay = min(max(sorted[int(hedgeQuantile*float64(len(sorted)))], hedgeAfterLeast), hedgeAfterMost)
	}
}

// delay returns the time after which a first token is late.
func (t *firstTokens) delay(version string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.versions[version]; r != nil {
		return r.delay
	}
	return hedgeAfterMost
}
