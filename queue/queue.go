// Package queue holds requests that wait for room at the endpoints of a version. Room that becomes free is handed to the
// next request directly. The order is weighted fair among teams and priorities, so that neither can starve another, and
// a request whose wait can't succeed in time is turned away at once.
package queue

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPassed is the number of requests that may overtake one that lacks memory only. Then the room is kept for it.
	maxPassed = 32
	// intervalAlpha is the weight of the newest interval in the moving average of the time between two grants.
	intervalAlpha = 0.2
	// minSamples is the number of intervals from which a wait is predicted.
	minSamples = 8
)

// Key names a line: the requests that wait for one version of a service. Version is empty for plain services.
type Key struct{ Service, Version string }

// Verdict is the result of an attempt to reserve room.
type Verdict struct {
	OK bool
	// Hopeless says that no room can become free for the request.
	Hopeless bool
	// Memory says that only memory is missing.
	Memory bool
	// Common says that no other request of the same line could have got room either.
	Common bool
	// Returns is the time at which another attempt is useful although nothing was released; zero if there is none.
	Returns time.Time
}

// Ticket is a request that waits.
type Ticket struct {
	Keys []Key // lines that it waits in, at least one
	// Flow and Weight order the requests: backlogged flows get room in proportion to their weights.
	Flow     string
	Weight   float64
	Deadline time.Time
	// Try attempts to reserve room. It is called with the queue's lock held and must not call the queue.
	Try func(now time.Time) Verdict
	// Check is like Try but reserves nothing. A request that has to wait behind others is turned away if it is hopeless.
	Check func(now time.Time) Verdict
}

// Reason says why a wait ended without room.
type Reason int

// Reasons.
const (
	Granted  Reason = iota
	Full            // the line is full of requests that go before this one
	TooLong         // the predicted wait ends after the deadline
	TimedOut        // the deadline passed
	Hopeless        // no room can become free
	Left            // the caller's context ended
)

// Result of a wait.
type Result struct {
	Reason Reason
	// Wait is the predicted wait, or the time until another attempt is useful, zero if not known.
	Wait time.Duration
}

// Spec configures a Queue.
type Spec struct {
	Limit int // requests in one line
	Now   func() time.Time
}

// Queue holds the lines of a daemon.
type Queue struct {
	spec    Spec
	waiting atomic.Int64

	mu    sync.Mutex
	lines map[Key]*line
	seq   uint64
}

// waiter is a request in one or more lines. Its fields are guarded by the queue's lock until done is closed.
type waiter struct {
	Ticket
	seq     uint64
	passed  int
	returns time.Time
	result  Result
	ended   bool
	done    chan struct{}
}

// New returns an empty queue.
func New(spec Spec) *Queue { return &Queue{spec: spec, lines: map[Key]*line{}} }

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int { return int(q.waiting.Load()) }

// Wait returns when the ticket got room or can't get it any more.
func (q *Queue) Wait(ctx context.Context, t Ticket) Result {
	w := q.join(t)
	for {
		select {
		case <-w.done:
			return w.result
		default:
		}
		timer := time.NewTimer(q.wake(w))
		select {
		case <-w.done:
		case <-timer.C:
			q.again(w)
		case <-ctx.Done():
			q.leave(w, Left)
		}
		timer.Stop()
	}
}

// join puts a ticket into its lines and tries those of the requests that are due.
func (q *Queue) join(t Ticket) *waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.spec.Now()
	q.seq++
	w := &waiter{Ticket: t, seq: q.seq, done: make(chan struct{})}
	fits := false       // there is room, or was a moment ago
	if q.idle(t.Keys) { // nothing to overtake
		if v := q.attempt(w, now); v.OK || w.ended {
			return w
		}
	} else if v := t.Check(now); v.Hopeless {
		q.end(w, Result{Hopeless, max(0, v.Returns.Sub(now))})
		return w
	} else {
		fits = v.OK
	}
	for _, k := range t.Keys {
		l := q.lines[k]
		if l == nil {
			l = &line{flows: map[string]*flow{}}
			q.lines[k] = l
		}
		l.add(w, now)
	}
	q.waiting.Add(1)
	q.bound(w, fits, now)
	if !w.ended {
		q.scanAll(t.Keys, now)
	}
	return w
}

func (q *Queue) idle(keys []Key) bool {
	return !slices.ContainsFunc(keys, func(k Key) bool { l := q.lines[k]; return l != nil && l.count > 0 })
}

// bound keeps the ticket's first line within its limit and turns the ticket away if its wait would be too long. In a
// full line the request that would be served last has to go, so that one team can't fill the line against the others.
func (q *Queue) bound(w *waiter, fits bool, now time.Time) {
	l := q.lines[w.Keys[0]]
	order := l.order()
	if l.count > q.spec.Limit {
		last := order[len(order)-1].w
		q.end(last, Result{Full, l.predict(l.count)})
	}
	if wait := q.predict(w); !fits && !w.ended && now.Add(wait).After(w.Deadline) {
		q.end(w, Result{TooLong, wait})
	}
}

// predict returns the wait of a request in the line that serves it first, or 0 if that is not known.
func (q *Queue) predict(w *waiter) time.Duration {
	var least time.Duration
	for _, k := range w.Keys {
		l := q.lines[k]
		ahead := slices.IndexFunc(l.order(), func(e entry) bool { return e.w == w })
		wait := l.predict(ahead + 1)
		if wait == 0 {
			return 0
		}
		if least == 0 || wait < least {
			least = wait
		}
	}
	return least
}

// Signal tries the requests that wait for a version; with no versions, all that wait for the service, and with no
// service, all requests.
func (q *Queue) Signal(service string, versions []string) {
	if q.waiting.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.spec.Now()
	for k := range q.lines {
		if (service == "" || k.Service == service) && (len(versions) == 0 || slices.Contains(versions, k.Version)) {
			q.scan(k, now)
		}
	}
}

// scan offers room to the requests of a line in their order.
func (q *Queue) scan(k Key, now time.Time) {
	l := q.lines[k]
	if l == nil {
		return
	}
	var missed []*waiter
	for _, e := range l.order() {
		if e.w.ended {
			continue
		}
		v := q.attempt(e.w, now)
		switch {
		case v.OK:
			l.granted(e.w, now)
			for _, m := range missed {
				m.passed++
			}
		case v.Common, v.Memory && e.w.passed >= maxPassed:
			return
		default:
			missed = append(missed, e.w)
		}
	}
}

func (q *Queue) attempt(w *waiter, now time.Time) Verdict {
	v := w.Try(now)
	w.returns = v.Returns
	switch {
	case v.OK:
		q.end(w, Result{Reason: Granted})
	case v.Hopeless:
		q.end(w, Result{Hopeless, max(0, v.Returns.Sub(now))})
	}
	return v
}

// end removes a request from its lines.
func (q *Queue) end(w *waiter, r Result) {
	if w.ended {
		return
	}
	w.ended, w.result = true, r
	removed := false
	for _, k := range w.Keys {
		if l := q.lines[k]; l != nil && l.remove(w) {
			removed = true
		}
	}
	if removed {
		q.waiting.Add(-1)
	}
	close(w.done)
}

func (q *Queue) leave(w *waiter, why Reason) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.end(w, Result{Reason: why})
	q.scanAll(w.Keys, q.spec.Now()) // the request may have kept room from others
}

func (q *Queue) scanAll(keys []Key, now time.Time) {
	for _, k := range keys {
		q.scan(k, now)
	}
}

// wake returns the time until the request must look again by itself.
func (q *Queue) wake(w *waiter) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	at := w.Deadline
	if !w.returns.IsZero() && w.returns.Before(at) {
		at = w.returns
	}
	return at.Sub(q.spec.Now())
}

// again ends the wait at the deadline, or tries the request's lines.
func (q *Queue) again(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.spec.Now()
	if !now.Before(w.Deadline) {
		q.end(w, Result{TimedOut, q.lines[w.Keys[0]].predict(1)})
	}
	w.returns = time.Time{}
	q.scanAll(w.Keys, now)
}
