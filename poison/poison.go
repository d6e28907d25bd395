// Package poison tracks poison requests, which crash the endpoints that run them, so that such a request crashes only a
// small number of endpoints across all daemons before it is refused.
//
// A routed request is opaque, and an honest one may meet several crashes that are not its own. A complete answer therefore
// clears it for good, and while it is refused, it is tried again after ever longer times, by one daemon at a time.
//
// A crash interrupts every request in flight at the endpoint, although only one of them may be the cause. After one crash,
// a request is retried at another endpoint like any other. After two, it runs only at endpoints where no other such suspect
// runs. A third crash then has only one possible cause, and clears the other requests that it interrupted.
package poison

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleytrail/bramleytrail/keyed"
)

const (
	// MaxCrashes is the number of crashes after which a request is refused.
	MaxCrashes = 3
	// maxTotalCrashes is the number of crashes, cleared ones included, after which a request is refused. Without this limit, a
	// request that crashes an endpoint only after a part of its answer would be cleared each time.
	maxTotalCrashes = 2 * MaxCrashes
	// IsolateAfter is the number of crashes after which a request runs only at endpoints without another such request.
	IsolateAfter = 2
	// recordTTL is the time for which a request's crashes count after the last one.
	recordTTL = 10 * time.Minute
	// firstTrial is the time after the last crash from which Admit lets a refused request run once more. It doubles with each
	// crash beyond MaxCrashes, up to maxTrialDoublings times.
	firstTrial        = 20 * time.Second
	maxTrialDoublings = 5
	shardCount        = 16
	// maxRecords bounds the number of requests in a table, which is almost empty with 16 host failures a day. The crashes of a request that is
	// dropped no longer count; it is one of the team with the most.
	maxRecords = 1 << 14
	// maxCleared bounds the crashes of which a request was not the cause. The oldest one goes; only maxTotalCrashes of them count.
	maxCleared = 16
)

// Record states that a request was in flight at an endpoint that crashed, or that it was not the cause of that crash.
type Record struct {
	Fingerprint uint64 `msgpack:"f"` // of the request's content; 0 if the record is about parts only
	// Team is the request's team, see keyed.OwnerOf. Daemons of earlier versions do not send it.
	Team uint32 `msgpack:"g,omitempty"`
	// Crash is the ID of the crash: the endpoint's ID and its boot ID.
	Crash string `msgpack:"c,omitempty"`
	// Isolated says that the request was the only one that could have caused the crash.
	Isolated bool `msgpack:"i,omitempty"`
	// Cleared says that the request got further at another endpoint, and so was not the cause.
	Cleared bool `msgpack:"l,omitempty"`
	// Answered says that a cleared request got a complete answer.
	Answered bool `msgpack:"a,omitempty"`
	// Trial says that a refused request runs once more at a daemon. The other fields but the fingerprint are empty then.
	Trial bool `msgpack:"t,omitempty"`
	// Request is a hash of the request's ID, and Parts are the parts of its prompt that other requests may share and that are not
	// known to be sound. Ran is the time from the sending of the request to the crash, Ago that from the crash to the message.
	Request uint64        `msgpack:"q,omitempty"`
	Parts   []uint64      `msgpack:"p,omitempty"`
	Ran     time.Duration `msgpack:"n,omitempty"`
	Ago     time.Duration `msgpack:"o,omitempty"`
	// Sound says that requests with the parts got complete answers, and Survived that an endpoint went on answering one for a while.
	// All fields but the parts are empty then.
	Sound    bool `msgpack:"s,omitempty"`
	Survived bool `msgpack:"v,omitempty"`
}

// Fingerprint returns a hash of a request's team and content. A retry of the request through another host has the same
// fingerprint.
func Fingerprint(team string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(team) // never fails
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// Table holds the crashes that this daemon knows of, by request. It is safe for concurrent use.
type Table struct {
	// Parts holds what is known of the parts of prompts. A crash that they explain does not count against the contents.
	Parts  *PartTable
	shards [shardCount]shard

	mu       sync.Mutex
	resolved map[string]time.Time // expiry of each crash whose cause is known
}

// shard holds the requests of one part of the fingerprints.
type shard struct {
	mu        sync.Mutex
	histories *keyed.Table[uint64, *history] // by fingerprint
}

// history holds the crashes at which one request was in flight.
type history struct {
	crashes []Record
	cleared []Record // crashes of which the request was not the cause
	expires time.Time
	triedAt time.Time // of the last crash or trial
}

// isRefused reports whether the request was in flight at too many crashes. Those that a complete answer has cleared don't count.
func (h *history) isRefused() bool {
	total := len(h.crashes)
	for _, r := range h.cleared {
		if !r.Answered {
			total++
		}
	}
	return len(h.crashes) >= MaxCrashes || total >= maxTotalCrashes
}

// nextTrial returns the time from which the refused request may run once more.
func (h *history) nextTrial() time.Time {
	doublings := min(max(0, len(h.crashes)-MaxCrashes), maxTrialDoublings)
	return h.triedAt.Add(firstTrial << doublings)
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{Parts: NewPartTable(), resolved: map[string]time.Time{}}
	for i := range t.shards {
		t.shards[i].histories = keyed.New[uint64, *history](maxRecords / shardCount)
	}
	return t
}

// Add adds a record, of this daemon or another one, and reports whether it was new.
func (t *Table) Add(r Record, now time.Time) bool {
	fresh := len(r.Parts) > 0 && t.Parts.Add(r, now)
	if r.Fingerprint == 0 && len(r.Parts) > 0 { // about parts only
		return fresh
	}
	return t.addContent(r, now) || fresh
}

// addContent adds a record about the content of a request, and reports whether it was new.
func (t *Table) addContent(r Record, now time.Time) bool {
	if r.Trial {
		return t.recordTrial(r.Fingerprint, now)
	}
	if r.Isolated && !r.Cleared {
		t.resolve(r, now)
	} else if t.isResolved(r.Crash, now) {
		return false
	}
	s := &t.shards[r.Fingerprint%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	h, _ := s.histories.Use(r.Fingerprint)
	if h == nil || now.After(h.expires) {
		h = &history{}
		s.histories.Put(r.Team, r.Fingerprint, h)
	}
	h.expires = now.Add(recordTTL)
	sameCrash := func(c Record) bool { return c.Crash == r.Crash }
	if slices.ContainsFunc(h.cleared, sameCrash) || !r.Cleared && slices.ContainsFunc(h.crashes, sameCrash) {
		return false
	}
	if r.Cleared {
		h.crashes = slices.DeleteFunc(h.crashes, sameCrash)
		h.addCleared(r)
	} else {
		h.crashes = append(h.crashes, r)
		h.triedAt = now
	}
	return true
}

// recordTrial records that a daemon lets a refused request run once more, and reports whether the request is known.
func (t *Table) recordTrial(fingerprint uint64, now time.Time) bool {
	s := &t.shards[fingerprint%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	h, _ := s.histories.Get(fingerprint)
	if h == nil || now.After(h.expires) {
		return false
	}
	h.triedAt = now
	return true
}

// Admit reports whether a request may run. A refused one may run once more from time to time; trial then tells the caller to send
// a Record with Trial to the other daemons. wait is the time until the next trial of a request that may not run.
func (t *Table) Admit(fingerprint uint64, now time.Time) (ok, trial bool, wait time.Duration) {
	s := &t.shards[fingerprint%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	h, _ := s.histories.Get(fingerprint)
	if h == nil || now.After(h.expires) {
		return true, false, 0
	}
	if t.forgive(h); !h.isRefused() {
		return true, false, 0
	}
	if wait := h.nextTrial().Sub(now); wait > 0 {
		return false, false, wait
	}
	h.triedAt = now
	return true, true, 0
}

// resolve marks r's crash as caused by r's request, and removes the crash from all other requests.
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
		var empty []uint64
		for fp, h := range s.histories.All() {
			if fp == r.Fingerprint {
				continue
			}
			h.crashes = slices.DeleteFunc(h.crashes, func(c Record) bool { return c.Crash == r.Crash })
			if len(h.crashes)+len(h.cleared) == 0 {
				empty = append(empty, fp)
			}
		}
		for _, fp := range empty {
			s.histories.Delete(fp)
		}
		s.mu.Unlock()
	}
}

// isResolved reports whether the cause of a crash is known.
func (t *Table) isResolved(crash string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	expires, ok := t.resolved[crash]
	return ok && !now.After(expires)
}

// PushedOut returns the number of requests and of parts about which the table has forgotten something because it was full.
func (t *Table) PushedOut() int64 {
	n := t.Parts.pushedOut()
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		n += s.histories.PushedOut()
		s.mu.Unlock()
	}
	return n
}

// Crashes returns the number of crashes at which the request was in flight and for which it was not cleared.
func (t *Table) Crashes(fingerprint uint64, now time.Time) int {
	s := &t.shards[fingerprint%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	h, _ := s.histories.Get(fingerprint)
	if h == nil || now.After(h.expires) {
		return 0
	}
	t.forgive(h)
	return len(h.crashes)
}

// Clear records that the request got further than at its crashes, and so was not their cause. It returns the records that
// other daemons must add.
func (t *Table) Clear(fingerprint uint64, now time.Time) []Record {
	return t.clear(fingerprint, now, false)
}

// ClearAnswered records that the request got a complete answer, and so was not the cause of any crash. It returns the records that
// other daemons must add.
func (t *Table) ClearAnswered(fingerprint uint64, now time.Time) []Record {
	return t.clear(fingerprint, now, true)
}

func (t *Table) clear(fingerprint uint64, now time.Time, answered bool) []Record {
	s := &t.shards[fingerprint%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	h, _ := s.histories.Get(fingerprint)
	if h == nil || now.After(h.expires) {
		return nil
	}
	cleared := h.crashes
	for i := range cleared {
		cleared[i].Cleared, cleared[i].Answered = true, answered
	}
	h.crashes = nil
	h.addCleared(cleared...)
	return cleared
}

// addCleared adds crashes of which the request was not the cause.
func (h *history) addCleared(list ...Record) {
	h.cleared = append(h.cleared, list...)
	h.cleared = slices.Delete(h.cleared, 0, max(0, len(h.cleared)-maxCleared))
}

// Refused reports whether the request was in flight at too many crashes to be run again.
func (t *Table) Refused(fingerprint uint64, now time.Time) bool {
	s := &t.shards[fingerprint%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	h, _ := s.histories.Get(fingerprint)
	if h == nil || now.After(h.expires) {
		return false
	}
	t.forgive(h)
	return h.isRefused()
}

// forgive drops the crashes of which a prompt part is the cause. The caller holds the lock of the history's shard.
func (t *Table) forgive(h *history) {
	if t.Parts.active.Load() {
		h.crashes = slices.DeleteFunc(h.crashes, func(r Record) bool { return t.Parts.Explains(r.Crash) })
	}
}

// Records returns all records that have not expired, for daemons that have just started.
func (t *Table) Records(now time.Time) []Record {
	out := t.Parts.records(now)
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, h := range s.histories.All() {
			if !now.After(h.expires) {
				out = append(append(out, h.crashes...), h.cleared...)
			}
		}
		s.mu.Unlock()
	}
	return out
}
