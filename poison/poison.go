// Package poison tracks requests that crash the endpoints that run them, so that a request stops after a small number
// of endpoints across all daemons.
//
// A crash interrupts every request at the endpoint, and only one of them may be the cause. A request that was present at
// one crash is sent elsewhere like any other; after two it runs only where no other such request runs, so that one
// request that crashes endpoints can't take a harmless one with it to its third crash.
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
}

type shard struct {
	mu      sync.Mutex
	records map[uint64]*history
}

// history holds the crashes at which a request was present.
type history struct {
	crashes []Record
	expires time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	for i := range t.shards {
		t.shards[i].records = map[uint64]*history{}
	}
	return t
}

// Add records a crash and reports whether that was new.
func (t *Table) Add(r Record, now time.Time) bool {
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
	if slices.Contains(h.crashes, r) {
		return false
	}
	h.crashes = append(h.crashes, r)
	return true
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

// Records returns all crashes that still count, for daemons that start.
func (t *Table) Records(now time.Time) []Record {
	var out []Record
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, h := range s.records {
			if !now.After(h.expires) {
				out = append(out, h.crashes...)
			}
		}
		s.mu.Unlock()
	}
	return out
}
