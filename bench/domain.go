package bench

import (
	"context"
	"sync"
	"time"
)

// The load while a failure domain leaves and returns. The other domains bear it at 80 % of their capacity.
const (
	leavingDomain  = "domain-0"
	domainBefore   = 5*time.Second + 333*time.Nanosecond // requests count from then
	domainLeaves   = domainBefore + 20*time.Second
	domainRestarts = domainLeaves + 15*time.Second // its engines start anew while it is out of service
	domainReturns  = domainLeaves + 25*time.Second
	domainRun      = domainReturns + 25*time.Second
	// viewSpread is the time over which the daemons apply a change, one after the other.
	viewSpread = 2700 * time.Millisecond
)

// Bounds while a failure domain leaves and returns, from the design's invariants and the users' priorities.
const (
	// MaxLeaveTime is the time after which a failure domain that is out of service gets no new work.
	MaxLeaveTime = 3 * time.Second
	// MaxLeaveRatio is the largest ratio of the 95th percentile of the first token while a failure domain is out of service
	// to that of before.
	MaxLeaveRatio = 1.5
)

// DomainResult is the result of one run.
type DomainResult struct {
	Seed      uint64
	Requests  int
	Failed    int
	Before    time.Duration // 95th percentiles of the time to the first token
	Out       time.Duration // while the domain is out of service
	After     time.Duration // from its return on
	LastWork  time.Duration // from the change until the last request was sent to the domain that is out of service
	Returned  int           // first tokens of its replicas after its return
	Overloads int           // crashes of cold engines by too many requests
}

// RunDomain takes a failure domain out of service and back under load. Its requests in flight go on; daemons and callers
// of the domain stay, since only its endpoints are out of service.
func RunDomain(ctx context.Context, v LatencyVariant, domains int, seed uint64) DomainResult {
	ctx, cancel := context.WithCancel(ctx)
	replicas := latencyReplicas - len(leavingReplicas(domains))
	r := newLatencyRunner(v, seed, latencySetup{
		domains: domains, daemons: domains, polls: pollsPerSecond, rate: utilisation * float64(replicas) * capacityPerReplica(v.Sessions),
		length: domainRun, phases: 3, phase: domainPhase,
	})
	out := DomainResult{Seed: seed}
	var wg sync.WaitGroup
	wg.Go(func() { r.leaveAndReturn(&out) })
	r.run(ctx, &wg)
	cancel()
	wg.Wait()
	out.Failed = r.failed
	out.Before, out.Out, out.After = percentile(r.first[0], 0.95), percentile(r.first[1], 0.95), percentile(r.first[2], 0.95)
	for _, phase := range r.first {
		out.Requests += len(phase)
	}
	for _, e := range r.fleet.engines {
		out.Overloads += e.overloads
	}
	for _, id := range leavingReplicas(domains) {
		out.Returned += r.fleet.engines[id].served
	}
	return out
}

func domainPhase(since time.Duration) int {
	switch {
	case since < domainBefore:
		return -1
	case since < domainLeaves:
		return 0
	case since < domainReturns:
		return 1
	}
	return 2
}

func leavingReplicas(domains int) []string {
	var out []string
	for i := 0; i < latencyReplicas; i += domains {
		out = append(out, replicaName(i))
	}
	return out
}

// leaveAndReturn publishes the changes and starts the engines of the domain anew while it is out of service.
func (r *latencyRunner) leaveAndReturn(out *DomainResult) {
	time.Sleep(domainLeaves)
	left := time.Now()
	r.publish(leavingDomain)
	time.Sleep(domainRestarts - time.Since(r.start))
	for _, id := range leavingReplicas(r.setup.domains) {
		e := r.fleet.engines[id]
		e.mu.Lock()
		out.LastWork = max(out.LastWork, e.lastSent.Sub(left))
		e.served = 0
		e.mu.Unlock()
		e.becomeCold()
	}
	time.Sleep(domainReturns - time.Since(r.start))
	for _, id := range leavingReplicas(r.setup.domains) {
		e := r.fleet.engines[id]
		e.mu.Lock()
		out.LastWork = max(out.LastWork, e.lastSent.Sub(left))
		e.mu.Unlock()
	}
	r.publish("")
}

// publish applies a configuration at one daemon after the other.
func (r *latencyRunner) publish(out string) {
	for _, n := range r.nodes {
		time.Sleep(viewSpread / time.Duration(len(r.nodes)))
		n.setView(r.view(out))
	}
}
