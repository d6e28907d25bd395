package queue

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// overloadFlows are the teams of the simulated overload: one sends eight times as much as its fair share, one sends its
// fair share, and one has a higher priority.
var overloadFlows = []struct {
	name   string
	weight float64
	rate   float64 // requests per second
}{{"greedy", 1, 80}, {"modest", 1, 10}, {"urgent", 8, 10}}

const (
	overloadSlots   = 32
	meanHold        = time.Second // mean time for which a request holds its slot
	maxWait         = 5 * time.Second
	overloadSeconds = 120
	pollIntervalMs  = 5 // between two attempts of a request that polls
)

// pendingRequest is a request that was neither served nor rejected yet.
type pendingRequest struct {
	flow      int // index in overloadFlows
	arrived   time.Time
	pollPhase int     // millisecond within pollIntervalMs at which it polls
	queued    *waiter // nil if it polls
}

// flowStats holds the results of the requests of one flow.
type flowStats struct {
	sent, served int
	waits        []time.Duration // of served requests
	rejectedWait time.Duration   // total wait of rejected requests
}

// simulateOverload simulates requests at three times the capacity of the slots, in steps of 1 ms. Requests either poll for
// capacity or wait in the queue.
func simulateOverload(seed uint64, polling bool) []flowStats {
	rnd := rand.New(rand.NewPCG(seed, 1))
	d := newSharedCapacity(256)
	d.free = overloadSlots
	out := make([]flowStats, len(overloadFlows))
	releases := map[int]int{} // number of slots that become free, by millisecond
	var waiting []*pendingRequest
	serve := func(ms int, r *pendingRequest) {
		t := &out[r.flow]
		t.served++
		t.waits = append(t.waits, d.now.Sub(r.arrived))
		releases[ms+1+int(rnd.ExpFloat64()*float64(meanHold/time.Millisecond))]++
	}
	collectFinished := func(ms int) {
		waiting = slices.DeleteFunc(waiting, func(r *pendingRequest) bool {
			if r.queued != nil && r.queued.finished {
				if r.queued.result.Reason == Granted {
					serve(ms, r)
				} else {
					out[r.flow].rejectedWait += d.now.Sub(r.arrived)
				}
				return true
			}
			return false
		})
	}
	for ms := range overloadSeconds * 1000 {
		d.now = d.now.Add(time.Millisecond)
		for range releases[ms] {
			if d.free++; !polling {
				d.q.Signal(testKey.Service, nil)
			}
		}
		delete(releases, ms)
		for i, f := range overloadFlows {
			if rnd.Float64() < f.rate/1000 {
				r := &pendingRequest{flow: i, arrived: d.now, pollPhase: ms % pollIntervalMs}
				out[i].sent++
				waiting = append(waiting, r)
				if !polling {
					r.queued = d.q.enqueue(d.request(f.name, f.weight, maxWait))
				}
			}
		}
		if polling {
			waiting = poll(d, waiting, ms, rnd, func(r *pendingRequest) { serve(ms, r) }, out)
			continue
		}
		for _, r := range waiting {
			if !r.queued.finished && !d.now.Before(r.queued.Deadline) {
				d.q.retryOrTimeOut(r.queued)
			}
		}
		collectFinished(ms)
	}
	return out
}

// poll lets the requests that are due at this millisecond try in random order, and returns those that still wait.
func poll(d *sharedCapacity, waiting []*pendingRequest, ms int, rnd *rand.Rand, serve func(*pendingRequest), out []flowStats) []*pendingRequest {
	rnd.Shuffle(len(waiting), func(i, j int) { waiting[i], waiting[j] = waiting[j], waiting[i] })
	return slices.DeleteFunc(waiting, func(r *pendingRequest) bool {
		switch {
		case ms%pollIntervalMs == r.pollPhase && d.free > 0:
			d.free--
			serve(r)
			return true
		case d.now.Sub(r.arrived) >= maxWait:
			out[r.flow].rejectedWait += d.now.Sub(r.arrived)
			return true
		}
		return false
	})
}

// percentile returns the p-th percentile of d, 0 if d is empty.
func percentile(d []time.Duration, p int) time.Duration {
	if len(d) == 0 {
		return 0
	}
	d = slices.Clone(d)
	slices.Sort(d)
	return d[(len(d)-1)*p/100]
}

// BenchmarkOverload compares the queue with requests that poll for capacity, at seed 1.
func BenchmarkOverload(b *testing.B) {
	for _, polling := range []bool{true, false} {
		b.Run(fmt.Sprintf("polling=%v", polling), func(b *testing.B) {
			var out []flowStats
			for b.Loop() {
				out = simulateOverload(1, polling)
			}
			for i, f := range overloadFlows {
				t := out[i]
				b.ReportMetric(100*float64(t.served)/float64(t.sent), f.name+"-served-%")
				b.ReportMetric(percentile(t.waits, 95).Seconds(), f.name+"-p95-s")
				b.ReportMetric(t.rejectedWait.Seconds()/float64(max(1, t.sent-t.served)), f.name+"-held-s")
			}
		})
	}
}
