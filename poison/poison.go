// Package poison tracks requests that crash the endpoints that run them, so that a request stops after a small number
// of endpoints across all daemons.
//
// A crash interrupts every request at the endpoint, and only one of them may be the cause. A request that was present at
// one crash is sent elsewhere like any other; after two it runs only where no other such request runs, so that a third
// crash has one possible cause and clears the other requests that were interrupted by it.
package poison

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxCrashes is the number of crashes after which a request is not run again.
	MaxCrashes = 3
	// maxCleared is the number of crashes, cleared ones included, after which a request is not run again: one that crashes
	// an endpoint only after some of its answer is cleared each time.
	maxCleared = 2 * MaxCrashes
	// IsolateAfter is the number of crashes after which a request runs only where no other such request runs.
	IsolateAfter = 2
	// recordTTL is the time for which a crash counts after the last one.
	recordTTL  = 10 * time.Minute
	shardCount = 16
	// maxRecords bounds the table; 16 host failures a day leave it almost empty.
	maxRecords = 1 << 14
)

// Record says that a request was running at an endpoint that crashed.
type Record struct {
	Fingerprint uint64
	Crash       string // endpoint and its boot identity
	// Isolated says that the request was the only one that could have caused the crash.
	Isolated bool
	// Cleared says that the request got further at another endpoint, so that it was not the cause.
	Cleared bool
}

// Fingerprint identifies a request's content, so that a repeat through another host has the same one.
func Fingerprint(team string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(team) // never fails
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// Table holds the known crashes.
type Table struct {
	shards [shardCount]shard

	mu       sync.Mutex
	resolved map[string]time.Time // crashes whose cause is known, with their expiry
}

type shard struct {
	mu      sync.Mutex
	records map[uint64]*history
}

// history holds the crashes at which a request was present.
type history struct {
	crashes []Record
	cleared []Record // crashes of which the request was not the cause
	expires time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{resolved: map[string]time.Time{}}
	for i := range t.shards {
		t.shards[i].records = map[uint64]*history{}
	}
	return t
}

// Add records a crash, or that its request was not the cause, and reports whether that was new.
func (t *Table) Add(r Record, now time.Time) bool {
	if r.Isolated && !r.Cleared {
		t.resolve(r, now)
	} else if t.isResolved(r.Crash, now) {
		return false
	}
	s := &t.shards[r.Fingerprint%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.records[r.Fingerprint]
	if h == nil || now.After(h.expires) {
		s.trim(now)
		h = &history{}
		s.records[r.Fingerprint] = h
	}
	h.expires = now.Add(recordTTL)
	same := func(c Record) bool { return c.Crash == r.Crash }
	if slices.ContainsFunc(h.cleared, same) || !r.Cleared && slices.ContainsFunc(h.crashes, same) {
		return false
	}
	if r.Cleared {
		h.crashes = slices.DeleteFunc(h.crashes, same)
		h.cleared = append(h.cleared, r)
	} else {
		h.crashes = append(h.crashes, r)
	}
	return true
}

// resolve clears the other requests that were present at a crash whose cause is known.
func (t *Table) resolve(r Record, now time.Time) {
	t.mu.Lock()
	for crash, expires := range t.resolved {
		if now.After(expires) {
			delete(t.resolved, crash)
		}
	}
	t.resolved[r.Crash] = now.Add(recordTTL)
	t.mu.Unlock()
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for fp, h := range s.records {
			if fp == r.Fingerprint {
				continue
			}
			h.crashes = slices.DeleteFunc(h.crashes, func(c Record) bool { return c.Crash == r.Crash })
			if len(h.crashes)+len(h.cleared) == 0 {
				delete(s.records, fp)
			}
		}
		s.mu.Unlock()
	}
}

func (t *Table) isResolved(crash string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	expires, ok := t.resolved[crash]
	return ok && !now.After(expires)
}

// trim drops expired records, and any record if the shard is full.
func (s *shard) trim(now time.Time) {
	for fp, h := range s.records {
		if now.After(h.expires) || len(s.records) >= maxRecords/shardCount {
			delete(s.records, fp)
		}
	}
}

// Crashes returns the number of crashes at which the request was present.
func (t *Table) Crashes(fingerprint uint64, now time.Time) int {
	s := &t.shards[fingerprint%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.records[fingerprint]
	if h == nil || now.After(h.expires) {
		return 0
	}
	return len(h.crashes)
}

// Clear records that the request got further than at its crashes, so that it was not their cause. It returns what other
// daemons have to add.
func (t *Table) Clear(fingerprint uint64, now time.Time) []Record {
	s := &t.shards[fingerprint%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.records[fingerprint]
	if h == nil || now.After(h.expires) {
		return nil
	}
	cleared := h.crashes
	for i := range cleared {
		cleared[i].Cleared = true
	}
	h.cleared, h.crashes = append(h.cleared, cleared...), nil
	return cleared
}

// Refused reports whether the request has crashed too many endpoints to be run again.
func (t *Table) Refused(fingerprint uint64, now time.Time) bool {
	s := &t.shards[fingerprint%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.records[fingerprint]
	if h == nil || now.After(h.expires) {
		return false
	}
	return len(h.crashes) >= MaxCrashes || len(h.crashes)+len(h.cleared) >= maxCleared
}

// Records returns all crashes that still count, for daemons that start.
func (t *Table) Records(now time.Time) []Record {
	var out []Record
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, h := range s.records {
			if !now.After(h.expires) {
				out = append(append(out, h.crashes...), h.cleared...)
			}
		}
		s.mu.Unlock()
	}
	return out
}
