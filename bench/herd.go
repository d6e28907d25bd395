package bench

import (
	"context"
	"sync"
	"time"
)

// The load of many daemons that share all endpoints.
const (
	herdDaemons = 8
	// herdPolls is the number of load reports that a daemon reads in a second. With 10 endpoints a report is 1 s old on
	// average, and at most 2 s.
	herdPolls  = 5
	herdStart  = 5 * time.Second // samples are taken from then
	herdSample = 50*time.Millisecond + 111*time.Nanosecond
	herdRun    = 35 * time.Second
	// MaxHerdRatio bounds the requests at the endpoint with the most, over the mean, as a mean of all samples. At 80 % of
	// capacity an endpoint with 1/0.8 times the mean is at its capacity.
	MaxHerdRatio = 1 / utilisation
)

// HerdResult says how unevenly daemons that don't know each other's requests load the endpoints.
type HerdResult struct {
	Variant  string
	Seed     uint64
	Requests int
	Failed   int
	First95  time.Duration // time to the first token
	Running  float64       // requests at the endpoint with the most over the mean, as a mean of all samples
	Prompts  float64       // prompt tokens that wait at the endpoint with the most, as a mean of all samples
}

// RunHerd measures daemons that share all endpoints and know of each other's requests from load reports only.
func RunHerd(ctx context.Context, v LatencyVariant, seed uint64) HerdResult {
	ctx, cancel := context.WithCancel(ctx)
	r := newLatencyRunner(v, seed, latencySetup{
		domains: 1, daemons: herdDaemons, polls: herdPolls, rate: utilisation * latencyReplicas * capacityPerReplica(v.Sessions),
		length: herdRun, phases: 1, phase: func(since time.Duration) int {
			if since < herdStart {
				return -1
			}
			return 0
		},
	})
	out := HerdResult{Variant: v.Name, Seed: seed}
	var wg sync.WaitGroup
	wg.Go(func() { r.sample(&out) })
	r.run(ctx, &wg)
	cancel()
	wg.Wait()
	out.Requests, out.Failed, out.First95 = len(r.first[0]), r.failed, percentile(r.first[0], 0.95)
	return out
}

// sample observes the engines until no more requests are sent.
func (r *latencyRunner) sample(out *HerdResult) {
	time.Sleep(herdStart)
	n := 0.0
	for ; time.Since(r.start) < herdRun; time.Sleep(herdSample) {
		most, all, prompts := 0, 0, int64(0)
		for _, e := range r.fleet.engines {
			running, waiting := e.load()
			most, all, prompts = max(most, running), all+running, max(prompts, waiting)
		}
		n++
		out.Running += float64(most) * latencyReplicas / float64(max(1, all))
		out.Prompts += float64(prompts)
	}
	out.Running /= n
	out.Prompts /= n
}

// load returns the requests at the engine and the prompt tokens that no step has processed yet.
func (e *batchEngine) load() (running int, waiting int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.running {
		waiting += s.prefill
	}
	return len(e.running), waiting
}
