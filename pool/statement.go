package pool

import (
	"sync"
	"time"
)

// statement is what an endpoint's process has said about itself in its answers to this daemon. It holds whatever the host list says:
// the list is older, and may be unavailable.
type statement struct {
	leaving   bool      // it takes no more requests
	busyUntil time.Time // it wants no requests before this time
}

// statementTTL is the time for which a statement is kept for a process that is not listed any more. A process that leaves ends within
// seconds; an entry that lapsed while the store was unavailable may be listed again.
const statementTTL = 10 * time.Minute

// processKey identifies a process of an endpoint.
type processKey struct {
	id      string
	started int64
}

// statements holds the statements of processes, also of those that are not listed at present. It is safe for concurrent use.
type statements struct {
	mu   sync.Mutex
	last map[processKey]datedStatement
}

type datedStatement struct {
	statement
	at time.Time
}

func newStatements() *statements { return &statements{last: map[processKey]datedStatement{}} }

// of returns the statement of a process.
func (s *statements) of(id string, started int64) statement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last[processKey{id, started}].statement
}

// set replaces the statement of a process, and drops old ones.
func (s *statements) set(id string, started int64, st statement, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, old := range s.last {
		if now.Sub(old.at) > statementTTL && now.After(old.busyUntil) {
			delete(s.last, key)
		}
	}
	s.last[processKey{id, started}] = datedStatement{st, now}
}

// RecordStatement records what the endpoint said about itself in an answer: that it leaves, and for how long it wants no requests.
func (r *Reservation) RecordStatement(leaving bool, busyFor time.Duration, now time.Time) {
	if !leaving && busyFor <= 0 {
		return
	}
	e := r.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.host.Started != r.Started { // the answer is of an earlier process
		return
	}
	e.stated.leaving = e.stated.leaving || leaving
	if until := now.Add(busyFor); busyFor > 0 && until.After(e.stated.busyUntil) {
		e.stated.busyUntil = until
	}
	r.pool.statements.set(e.host.ID, e.host.Started, e.stated, now)
}
