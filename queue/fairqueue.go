package queue

import (
	"cmp"
	"slices"
	"time"
)

// fairQueue holds the requests that wait for one version, for weighted fair queueing among flows. Each flow has a virtual
// time that advances by the inverse of its weight with every grant; the flow with the smallest virtual time is next. A flow
// that was idle starts at the virtual time of the waiting flows, so that it can't accumulate credit.
type fairQueue struct {
	flows       map[string]*flow
	count       int
	virtualTime float64 // largest virtual time at which capacity was granted

	grantInterval time.Duration // moving average of the time between two grants while requests wait
	samples       int
	intervalStart time.Time // last grant, or later time at which the queue stopped being empty
}

// flow holds the waiting requests of one team and priority, in order of arrival.
type flow struct {
	waiters     []*waiter
	virtualTime float64
	weight      float64
}

// scheduled is a waiting request with the virtual time at which it is served.
type scheduled struct {
	w            *waiter
	virtualStart float64
}

// idleReset is the time since the last grant after which the grant interval of an earlier busy period no longer predicts
// the waits of a new one.
const idleReset = 10 * time.Second

// add appends a request to its flow.
func (fq *fairQueue) add(w *waiter, now time.Time) {
	f := fq.flows[w.Flow]
	if f == nil {
		f = &flow{}
		fq.flows[w.Flow] = f
	}
	if len(f.waiters) == 0 {
		f.virtualTime = max(f.virtualTime, fq.virtualTime)
	}
	f.weight = w.Weight
	f.waiters = append(f.waiters, w)
	if fq.count++; fq.count == 1 {
		if now.Sub(fq.intervalStart) > idleReset {
			fq.samples = 0
		}
		fq.intervalStart = now
	}
}

// remove removes a request and reports whether it was in the queue.
func (fq *fairQueue) remove(w *waiter) bool {
	f := fq.flows[w.Flow]
	if f == nil {
		return false
	}
	i := slices.Index(f.waiters, w)
	if i < 0 {
		return false
	}
	f.waiters = slices.Delete(f.waiters, i, i+1)
	fq.count--
	return true
}

// recordGrant advances the virtual time of a request's flow and updates the grant interval. The request must have been
// removed from the queue.
func (fq *fairQueue) recordGrant(w *waiter, now time.Time) {
	f := fq.flows[w.Flow]
	fq.virtualTime = max(fq.virtualTime, f.virtualTime)
	f.virtualTime += 1 / f.weight
	if d := now.Sub(fq.intervalStart); fq.samples == 0 {
		fq.grantInterval = d
	} else {
		fq.grantInterval += time.Duration(intervalAlpha * float64(d-fq.grantInterval))
	}
	fq.samples++
	fq.intervalStart = now
	fq.dropIdleFlows()
}

// dropIdleFlows removes flows without requests whose virtual time is not ahead of the queue's. A flow that is ahead keeps
// its virtual time, so that it gains nothing by letting its backlog run empty.
func (fq *fairQueue) dropIdleFlows() {
	for name, f := range fq.flows {
		if len(f.waiters) == 0 && f.virtualTime <= fq.virtualTime {
			delete(fq.flows, name)
		}
	}
}

// inOrder returns the waiting requests in the order in which they are served.
func (fq *fairQueue) inOrder() []scheduled {
	out := make([]scheduled, 0, fq.count)
	for _, f := range fq.flows {
		if len(f.waiters) == 0 {
			continue
		}
		for i, w := range f.waiters {
			out = append(out, scheduled{w, f.virtualTime + float64(i)/f.weight})
		}
	}
	slices.SortFunc(out, func(a, b scheduled) int {
		return cmp.Or(cmp.Compare(a.virtualStart, b.virtualStart), cmp.Compare(a.w.seq, b.w.seq))
	})
	return out
}

// predictWait returns the time until the nth request in order gets capacity, or 0 if there were fewer than minSamples
// grants.
func (fq *fairQueue) predictWait(n int) time.Duration {
	if fq.samples < minSamples {
		return 0
	}
	return time.Duration(n) * fq.grantInterval
}
