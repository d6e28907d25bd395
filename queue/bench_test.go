package queue

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Teams of the simulated overload: one sends eight times its part, one its part, one with a higher priority.
var loadFlows = []struct {
	name   string
	weight float64
	rate   float64 // requests a second
}{{"greedy", 1, 80}, {"modest", 1, 10}, {"urgent", 8, 10}}

const (
	loadSlots   = 32
	loadService = time.Second // mean time for which a request holds its slot
	loadWait    = 5 * time.Second
	loadSeconds = 120
	pollEvery   = 5 // ms between two attempts of a request that polls
)

type arrival struct {
	flow  int
	at    time.Time
	phase int
	w     *waiter
}

// tally holds what became of the requests of one flow.
type tally struct {
	sent, served int
	waits        []time.Duration // of served requests
	held         time.Duration   // total wait of requests that were turned away
}

// overload simulates three times the load that the slots can carry, in steps of 1 ms. Requests poll or use the queue.
func overload(seed uint64, polling bool) []tally {
	rnd := rand.New(rand.NewPCG(seed, 1))
	d := newDesk(256)
	d.free = loadSlots
	out := make([]tally, len(loadFlows))
	ends := map[int]int{} // slots that become free at a millisecond
	var open []*arrival
	serve := func(ms int, a *arrival) {
		t := &out[a.flow]
		t.served++
		t.waits = append(t.waits, d.now.Sub(a.at))
		ends[ms+1+int(rnd.ExpFloat64()*float64(loadService/time.Millisecond))]++
	}
	settle := func(ms int) {
		open = slices.DeleteFunc(open, func(a *arrival) bool {
			if a.w != nil && a.w.ended {
				if a.w.result.Reason == Granted {
					serve(ms, a)
				} else {
					out[a.flow].held += d.now.Sub(a.at)
				}
				return true
			}
			return false
		})
	}
	for ms := range loadSeconds * 1000 {
		d.now = d.now.Add(time.Millisecond)
		for range ends[ms] {
			if d.free++; !polling {
				d.q.Signal(testKey.Service, nil)
			}
		}
		delete(ends, ms)
		for i, f := range loadFlows {
			if rnd.Float64() < f.rate/1000 {
				a := &arrival{flow: i, at: d.now, phase: ms % pollEvery}
				out[i].sent++
				open = append(open, a)
				if !polling {
					a.w = d.q.join(d.ticket(f.name, f.weight, loadWait))
				}
			}
		}
		if polling {
			open = poll(d, open, ms, rnd, func(a *arrival) { serve(ms, a) }, out)
			continue
		}
		for _, a := range open {
			if !a.w.ended && !d.now.Before(a.w.Deadline) {
				d.q.again(a.w)
			}
		}
		settle(ms)
	}
	return out
}

// poll lets the requests that are due at this millisecond try in random order.
func poll(d *desk, open []*arrival, ms int, rnd *rand.Rand, serve func(*arrival), out []tally) []*arrival {
	rnd.Shuffle(len(open), func(i, j int) { open[i], open[j] = open[j], open[i] })
	return slices.DeleteFunc(open, func(a *arrival) bool {
		switch {
		case ms%pollEvery == a.phase && d.free > 0:
			d.free--
			serve(a)
			return true
		case d.now.Sub(a.at) >= loadWait:
			out[a.flow].held += d.now.Sub(a.at)
			return true
		}
		return false
	})
}

func percentile(d []time.Duration, p int) time.Duration {
	if len(d) == 0 {
		return 0
	}
	d = slices.Clone(d)
	slices.Sort(d)
	return d[(len(d)-1)*p/100]
}

// BenchmarkOverload compares the queue with requests that poll for room, at seed 1.
func BenchmarkOverload(b *testing.B) {
	for _, polling := range []bool{true, false} {
		b.Run(fmt.Sprintf("polling=%v", polling), func(b *testing.B) {
			var out []tally
			for b.Loop() {
				out = overload(1, polling)
			}
			for i, f := range loadFlows {
				t := out[i]
				b.ReportMetric(100*float64(t.served)/float64(t.sent), f.name+"-served-%")
				b.ReportMetric(percentile(t.waits, 95).Seconds(), f.name+"-p95-s")
				b.ReportMetric(t.held.Seconds()/float64(max(1, t.sent-t.served)), f.name+"-held-s")
			}
		})
	}
}
