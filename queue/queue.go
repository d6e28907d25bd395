// Package queue holds requests that wait for capacity at the endpoints of a version. Capacity that becomes free is granted
// to the next request directly, without polling. Queueing is weighted fair among teams and priorities, so that none can
// starve another, and a request whose wait can't succeed in time is rejected at once.
package queue

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxOvertaken is the number of requests that may overtake one that lacks only memory. After that, free capacity is
	// kept for it.
	maxOvertaken = 32
	// intervalAlpha is the weight of the newest interval in the moving average of the time between two grants.
	intervalAlpha = 0.2
	// minSamples is the number of intervals that are required to predict a wait.
	minSamples = 8
)

// Key identifies the queue of one version of a service. Version is empty for plain services.
type Key struct{ Service, Version string }

// TryResult is the result of an attempt to reserve capacity for a request.
type TryResult struct {
	OK bool
	// Infeasible says that no capacity can become free for the request.
	Infeasible bool
	// LacksMemory says that only memory is missing.
	LacksMemory bool
	// Exhausted says that no other request in the same queue could have got capacity either.
	Exhausted bool
	// RetryAt is the time at which another attempt is worthwhile even if no capacity is released; zero if there is none.
	RetryAt time.Time
}

// Request is a request that waits for capacity.
type Request struct {
	Keys []Key // queues in which it waits, at least one
	// Flow and Weight order the requests: backlogged flows get capacity in proportion to their weights.
	Flow     string
	Weight   float64
	Deadline time.Time
	// Try attempts to reserve capacity. It is called with the Queue's lock held and must not call the Queue.
	Try func(now time.Time) TryResult
	// Check is like Try but reserves nothing. It is called for a request that has to wait behind others, which is rejected
	// if it is infeasible.
	Check func(now time.Time) TryResult
}

// Reason says why a wait ended.
type Reason int

// Reasons for the end of a wait. All but Granted mean that the request got no capacity.
const (
	Granted    Reason = iota
	Full              // the queue is full of requests that are served before this one
	TooLong           // the predicted wait ends after the deadline
	TimedOut          // the deadline passed
	Infeasible        // no capacity can become free
	Cancelled         // the caller's context ended
)

// Result is the outcome of a wait.
type Result struct {
	Reason Reason
	// Wait is the predicted wait, or the time until another attempt is worthwhile; zero if unknown.
	Wait time.Duration
}

// Spec configures a Queue.
type Spec struct {
	Limit int // maximum number of requests in one queue
	Now   func() time.Time
}

// Queue holds the queues of a daemon, one for each Key. It is safe for concurrent use.
type Queue struct {
	spec    Spec
	waiting atomic.Int64

	mu     sync.Mutex
	queues map[Key]*fairQueue
	seq    uint64
}

// waiter is a request in one or more queues. Its fields are guarded by the Queue's lock until done is closed.
type waiter struct {
	Request
	seq       uint64
	overtaken int
	retryAt   time.Time
	result    Result
	finished  bool
	done      chan struct{}
	wakeAt    time.Time     // when Wait tries again without a Signal
	wake      chan struct{} // tells Wait that retryAt is earlier than wakeAt
}

// New returns an empty queue.
func New(spec Spec) *Queue { return &Queue{spec: spec, queues: map[Key]*fairQueue{}} }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return int(q.waiting.Load()) }

// WaitingFor returns the number of requests that wait for a service. A request that waits for several versions counts for each.
func (q *Queue) WaitingFor(service string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for k, fq := range q.queues {
		if k.Service == service {
			n += fq.count
		}
	}
	return n
}

// Wait blocks until the request gets capacity, or can't get any before its deadline, or ctx ends.
func (q *Queue) Wait(ctx context.Context, req Request) Result {
	w := q.enqueue(req)
	for {
		select {
		case <-w.done:
			return w.result
		default:
		}
		timer := time.NewTimer(q.untilNextTry(w))
		select {
		case <-w.done:
		case <-w.wake:
		case <-timer.C:
			q.retryOrTimeOut(w)
		case <-ctx.Done():
			q.cancel(w, Cancelled)
		}
		timer.Stop()
	}
}

// enqueue adds a request to its queues, unless it is granted or rejected at once, and offers capacity to all requests of
// these queues.
func (q *Queue) enqueue(req Request) *waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.spec.Now()
	q.seq++
	w := &waiter{Request: req, seq: q.seq, done: make(chan struct{}), wake: make(chan struct{}, 1)}
	hasCapacity := false   // there was free capacity when Check ran
	if q.empty(req.Keys) { // there is no request to overtake
		if v := q.attempt(w, now); v.OK || w.finished {
			return w
		}
	} else if v := req.Check(now); v.Infeasible {
		q.finish(w, Result{Infeasible, max(0, v.RetryAt.Sub(now))})
		return w
	} else {
		hasCapacity = v.OK
	}
	for _, k := range req.Keys {
		fq := q.queues[k]
		if fq == nil {
			fq = &fairQueue{flows: map[string]*flow{}}
			q.queues[k] = fq
		}
		fq.add(w, now)
	}
	q.waiting.Add(1)
	q.enforceLimits(w, hasCapacity, now)
	if !w.finished {
		q.scanAll(req.Keys, now)
	}
	return w
}

// empty reports whether no request waits in the given queues.
func (q *Queue) empty(keys []Key) bool {
	return !slices.ContainsFunc(keys, func(k Key) bool { fq := q.queues[k]; return fq != nil && fq.count > 0 })
}

// enforceLimits keeps the request's first queue within its limit and rejects the request if its predicted wait ends after
// its deadline, unless there is free capacity. From a full queue, the request that would be served last is rejected, so
// that one team can't fill the queue and lock out the others.
func (q *Queue) enforceLimits(w *waiter, hasCapacity bool, now time.Time) {
	fq := q.queues[w.Keys[0]]
	inOrder := fq.inOrder()
	if fq.count > q.spec.Limit {
		last := inOrder[len(inOrder)-1].w
		q.finish(last, Result{Full, fq.predictWait(fq.count)})
	}
	if wait := q.predictWait(w); !hasCapacity && !w.finished && now.Add(wait).After(w.Deadline) {
		q.finish(w, Result{TooLong, wait})
	}
}

// predictWait returns the shortest wait of a request over its queues, or 0 if it is not known for all of them.
func (q *Queue) predictWait(w *waiter) time.Duration {
	var shortest time.Duration
	for _, k := range w.Keys {
		fq := q.queues[k]
		position := slices.IndexFunc(fq.inOrder(), func(e scheduled) bool { return e.w == w })
		wait := fq.predictWait(position + 1)
		if wait == 0 {
			return 0
		}
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}

// Signal offers released capacity to the requests that wait for the given versions of a service. Without versions, it
// offers it to all requests of the service; with an empty service, to those of all services.
func (q *Queue) Signal(service string, versions []string) {
	if q.waiting.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.spec.Now()
	for k := range q.queues {
		if (service == "" || k.Service == service) && (len(versions) == 0 || slices.Contains(versions, k.Version)) {
			q.scan(k, now)
		}
	}
}

// scan offers capacity to the requests of a queue in order. It stops when the capacity is exhausted, or at a request that
// lacks memory and was overtaken maxOvertaken times.
func (q *Queue) scan(k Key, now time.Time) {
	fq := q.queues[k]
	if fq == nil {
		return
	}
	var skipped []*waiter
	for _, e := range fq.inOrder() {
		if e.w.finished {
			continue
		}
		v := q.attempt(e.w, now)
		switch {
		case v.OK:
			fq.recordGrant(e.w, now)
			for _, m := range skipped {
				m.overtaken++
			}
		case v.Exhausted, v.LacksMemory && e.w.overtaken >= maxOvertaken:
			return
		default:
			skipped = append(skipped, e.w)
		}
	}
}

// attempt tries to reserve capacity for a request and ends its wait if that succeeds or is infeasible.
func (q *Queue) attempt(w *waiter, now time.Time) TryResult {
	v := w.Try(now)
	w.retryAt = v.RetryAt
	if !w.finished && !w.retryAt.IsZero() && w.retryAt.Before(w.wakeAt) {
		select {
		case w.wake <- struct{}{}:
		default: // Wait was told already
		}
	}
	switch {
	case v.OK:
		q.finish(w, Result{Reason: Granted})
	case v.Infeasible:
		q.finish(w, Result{Infeasible, max(0, v.RetryAt.Sub(now))})
	}
	return v
}

// finish ends the wait of a request and removes it from its queues.
func (q *Queue) finish(w *waiter, r Result) {
	if w.finished {
		return
	}
	w.finished, w.result = true, r
	removed := false
	for _, k := range w.Keys {
		if fq := q.queues[k]; fq != nil && fq.remove(w) {
			removed = true
		}
	}
	if removed {
		q.waiting.Add(-1)
	}
	close(w.done)
}

// cancel ends the wait of a request whose caller has left.
func (q *Queue) cancel(w *waiter, reason Reason) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.finish(w, Result{Reason: reason})
	q.scanAll(w.Keys, q.spec.Now()) // free capacity may have been kept for the request
}

func (q *Queue) scanAll(keys []Key, now time.Time) {
	for _, k := range keys {
		q.scan(k, now)
	}
}

// untilNextTry returns the time until the request must be tried without a Signal, at its deadline at the latest.
func (q *Queue) untilNextTry(w *waiter) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	at := w.Deadline
	if !w.retryAt.IsZero() && w.retryAt.Before(at) {
		at = w.retryAt
	}
	w.wakeAt = at
	return at.Sub(q.spec.Now())
}

// retryOrTimeOut ends the wait of a request whose deadline has passed. It offers capacity to all requests of its queues.
func (q *Queue) retryOrTimeOut(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.spec.Now()
	if !now.Before(w.Deadline) {
		q.finish(w, Result{TimedOut, q.queues[w.Keys[0]].predictWait(1)})
	}
	w.retryAt = time.Time{}
	q.scanAll(w.Keys, now)
}
