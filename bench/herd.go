package bench

import (
	"context"
	"sync"
	"time"
)

// The run of many daemons that share all endpoints.
const (
	herdDaemons = 8
	// herdPolls is the number of load reports that a daemon reads per second. With 10 endpoints, a report is 1 s old on average
	// and at most 2 s.
	herdPolls          = 5
	herdStart          = 5 * time.Second // samples are taken and requests counted from here on
	herdSampleInterval = 50*time.Millisecond + 111*time.Nanosecond
	herdDuration       = 35 * time.Second
	// MaxHerdRatio bounds HerdResult.MaxOverMean. At a load of 80 % of capacity, an endpoint with 1/0.8 times the mean number of
	// requests is at its capacity.
	MaxHerdRatio = 1 / utilisation
)

// HerdResult is the result of one run of RunHerd. It measures how unevenly daemons that don't know each other's requests load
// the endpoints.
type HerdResult struct {
	Variant         string
	Seed            uint64
	Requests        int
	Failed          int
	FirstTokenP95   time.Duration // 95th percentile of the time to the first token
	MaxOverMean     float64       // requests at the busiest endpoint divided by the mean of all endpoints, averaged over all samples
	MaxQueuedTokens float64       // prompt tokens not yet prefilled at the endpoint with the most, averaged over all samples
}

// RunHerd measures how evenly daemons load endpoints that they share, when they know of each other's requests from load reports
// only. The clock is that of package time; tests run it under a fake one.
func RunHerd(ctx context.Context, v LatencyVariant, seed uint64) HerdResult {
	ctx, cancel := context.WithCancel(ctx)
	r := newLatencyRunner(v, seed, latencySetup{
		domains: 1, daemons: herdDaemons, pollsPerSecond: herdPolls, requestsPerSecond: utilisation * latencyReplicas * capacityPerReplica(v.Sessions),
		duration: herdDuration, phases: 1, phase: func(since time.Duration) int {
			if since < herdStart {
				return -1
			}
			return 0
		},
	})
	out := HerdResult{Variant: v.Name, Seed: seed}
	var wg sync.WaitGroup
	wg.Go(func() { r.sampleEngines(&out) })
	r.run(ctx, &wg)
	cancel()
	wg.Wait()
	out.Requests, out.Failed, out.FirstTokenP95 = len(r.firstToken[0]), r.failed, percentile(r.firstToken[0], 0.95)
	return out
}

// sampleEngines samples the load of the engines until no more requests are sent.
func (r *latencyRunner) sampleEngines(out *HerdResult) {
	time.Sleep(herdStart)
	samples := 0.0
	for ; time.Since(r.start) < herdDuration; time.Sleep(herdSampleInterval) {
		maxRunning, totalRunning, maxWaiting := 0, 0, int64(0)
		for _, e := range r.fleet.engines {
			running, waiting := e.load()
			maxRunning, totalRunning, maxWaiting = max(maxRunning, running), totalRunning+running, max(maxWaiting, waiting)
		}
		samples++
		out.MaxOverMean += float64(maxRunning) * latencyReplicas / float64(max(1, totalRunning))
		out.MaxQueuedTokens += float64(maxWaiting)
	}
	out.MaxOverMean /= samples
	out.MaxQueuedTokens /= samples
}

// load returns the number of requests at the engine and the number of prompt tokens that no step has processed yet.
func (e *batchEngine) load() (running int, waiting int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.running {
		waiting += s.promptLeft
	}
	return len(e.running), waiting
}
