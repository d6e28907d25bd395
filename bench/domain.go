package bench

import (
	"context"
	"sync"
	"time"
)

// The run in which a failure domain leaves and returns. The load is 80 % of the capacity of the other domains. Times count
// from the start of the run.
const (
	leavingDomain  = "domain-0"
	domainBefore   = 5*time.Second + 333*time.Nanosecond // requests are counted from here on
	domainLeaves   = domainBefore + 20*time.Second
	domainRestarts = domainLeaves + 15*time.Second // its engines restart while it is out of service
	domainReturns  = domainLeaves + 25*time.Second
	domainDuration = domainReturns + 25*time.Second
	// propagationTime is the time within which all daemons apply a configuration change, one after the other.
	propagationTime = 2700 * time.Millisecond
)

// Bounds while a failure domain leaves and returns. They follow from the design's invariants and the users' priorities.
const (
	// MaxRemovalDelay is the time after which a failure domain that went out of service must get no new requests.
	MaxRemovalDelay = 3 * time.Second
	// MaxOutageRatio bounds the 95th percentile of the time to the first token while a failure domain is out of service,
	// divided by that before.
	MaxOutageRatio = 1.5
)

// DomainResult is the result of one run of RunDomain.
type DomainResult struct {
	Seed                uint64
	Requests            int
	Failed              int
	FirstTokenP95Before time.Duration // 95th percentile of the time to the first token before the domain leaves
	FirstTokenP95Out    time.Duration // the same while the domain is out of service
	FirstTokenP95After  time.Duration // the same from the domain's return on
	LastRequest         time.Duration // from the configuration change until the last request was sent to the domain that is out of service
	ServedAfterReturn   int           // first tokens that the domain's replicas sent after its return
	Overloads           int           // crashes of cold engines that received too many requests
}

// RunDomain takes one of several failure domains out of service under load, and back into service. Requests in flight continue.
// Only the endpoints of the domain are out of service, so its daemons and callers stay. The clock is that of package time;
// tests run it under a fake one.
func RunDomain(ctx context.Context, v LatencyVariant, domains int, seed uint64) DomainResult {
	ctx, cancel := context.WithCancel(ctx)
	replicas := latencyReplicas - len(leavingReplicas(domains))
	r := newLatencyRunner(v, seed, latencySetup{
		domains: domains, daemons: domains, pollsPerSecond: pollsPerSecond, requestsPerSecond: utilisation * float64(replicas) * capacityPerReplica(v.Sessions),
		duration: domainDuration, phases: 3, phase: domainPhase,
	})
	out := DomainResult{Seed: seed}
	var wg sync.WaitGroup
	wg.Go(func() { r.leaveAndReturn(&out) })
	r.run(ctx, &wg)
	cancel()
	wg.Wait()
	out.Failed = r.failed
	out.FirstTokenP95Before, out.FirstTokenP95Out, out.FirstTokenP95After = percentile(r.firstToken[0], 0.95), percentile(r.firstToken[1], 0.95), percentile(r.firstToken[2], 0.95)
	for _, phase := range r.firstToken {
		out.Requests += len(phase)
	}
	for _, e := range r.fleet.engines {
		out.Overloads += e.overloads
	}
	for _, id := range leavingReplicas(domains) {
		out.ServedAfterReturn += r.fleet.engines[id].served
	}
	return out
}

// domainPhase returns the phase of a request: 0 before the domain leaves, 1 while it is out, 2 after its return, or -1 if the
// request does not count.
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

// leavingReplicas returns the replicas in leavingDomain.
func leavingReplicas(domains int) []string {
	var out []string
	for i := 0; i < latencyReplicas; i += domains {
		out = append(out, replicaName(i))
	}
	return out
}

// leaveAndReturn publishes both configuration changes and restarts the engines of the domain while it is out of service.
func (r *latencyRunner) leaveAndReturn(out *DomainResult) {
	time.Sleep(domainLeaves)
	leftAt := time.Now()
	r.publish(leavingDomain)
	time.Sleep(domainRestarts - time.Since(r.start))
	for _, id := range leavingReplicas(r.setup.domains) {
		e := r.fleet.engines[id]
		e.mu.Lock()
		out.LastRequest = max(out.LastRequest, e.lastSent.Sub(leftAt))
		e.served = 0
		e.mu.Unlock()
		e.coldRestart()
	}
	time.Sleep(domainReturns - time.Since(r.start))
	for _, id := range leavingReplicas(r.setup.domains) {
		e := r.fleet.engines[id]
		e.mu.Lock()
		out.LastRequest = max(out.LastRequest, e.lastSent.Sub(leftAt))
		e.mu.Unlock()
	}
	r.publish("")
}

// publish applies the configuration with outDomain out of service, or with none if it is empty, at one daemon after the other.
func (r *latencyRunner) publish(outDomain string) {
	for _, n := range r.nodes {
		time.Sleep(propagationTime / time.Duration(len(r.nodes)))
		n.setView(r.view(outDomain))
	}
}
