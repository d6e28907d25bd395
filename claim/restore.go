package claim

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/pause"
)

const (
	// probeInterval is the time between the reads by which a daemon detects that the key-value store was restored from
	// older data. At the design load, 370 daemons make 37 reads a second.
	probeInterval = 10 * time.Second
	// suspectedAfterProbes is the number of consecutive failed probes after which a restore is suspected.
	suspectedAfterProbes = 2
	// restoreHold is how long new claims are rejected after the store has recovered or a restore was detected. In this
	// time every daemon probes the store and rewrites its lost claims.
	restoreHold = time.Minute
	// rewriteInterval is the time between rewriting two lost claims. At the design load, all daemons together make 185
	// writes a second.
	rewriteInterval = 2 * time.Second
	// maxRecentClaims limits the claims in memory. At 0.3 claims a second and daemon they cover the last hour. Without
	// their answers they take about 500 bytes each.
	maxRecentClaims = 1024
	// maxRecentAge is the age at which a claim is dropped from memory. It is far below MinRetention, so that a claim
	// pruned by operators is not treated as lost.
	maxRecentAge = 24 * time.Hour
	// probeKey is read by daemons without claims, and never written. Reading the configuration instead would also
	// detect restores, but it is too large to be read so often.
	probeKey = "claim-probe"
)

// errClaimsMayBeLost means that the key-value store was restored from older data, or that this is suspected.
var errClaimsMayBeLost = errors.New("claim: key-value store may have lost recent claims")

// recentClaim is a claim of this daemon as it was last stored, without its answer.
type recentClaim struct {
	key      string
	record   Record
	revision kv.Revision
}

// recentClaims keeps the recent claims of a daemon in memory, and the state of the detection of restores. Claims that
// the key-value store lost are rewritten from it. It is safe for concurrent use.
type recentClaims struct {
	mu           sync.Mutex
	entries      []recentClaim // ordered by their last write, oldest first
	maxRevision  kv.Revision   // highest revision seen since the last detected restore
	era          uint64        // in which the store was when a restore was detected last
	holdUntil    time.Time
	rewriteDue   bool // whether rewriteLostClaims has to run
	failedProbes int  // consecutive probes without an answer
}

// put adds or replaces a claim that was stored at revision. It discards the answer to save memory.
func (r *recentClaims) put(key string, record Record, revision kv.Revision) {
	record.Header, record.Body, record.BodyKept = nil, nil, false
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observe(revision)
	r.entries = slices.DeleteFunc(r.entries, func(k recentClaim) bool { return k.key == key })
	if len(r.entries) == maxRecentClaims {
		r.entries = r.entries[1:]
	}
	r.entries = append(r.entries, recentClaim{key, record, revision})
}

// observe updates the highest revision, unless a response from before a detected restore was delayed. The caller holds mu.
func (r *recentClaims) observe(revision kv.Revision) {
	if revision.Era >= r.era {
		r.maxRevision = r.maxRevision.Max(revision)
	}
}

// isNewEra reports whether a revision is of a newer era than all that were seen: the store was restored. Before any
// revision was seen, it is not known.
func (r *recentClaims) isNewEra(revision kv.Revision) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := len(r.entries) > 0 || !r.maxRevision.IsZero()
	return known && revision.Era > max(r.era, r.maxRevision.Era)
}

// highestRevision returns the highest revision seen. If a later write does not get a higher one of the same era, the store
// was restored from older data.
func (r *recentClaims) highestRevision() kv.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.maxRevision
}

// lossSuspected reports whether the store may have lost claims of other daemons.
func (r *recentClaims) lossSuspected(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failedProbes >= suspectedAfterProbes || now.Before(r.holdUntil)
}

// startHold starts the time in which new claims are rejected, and requests a rewrite. It resets the highest revision,
// because revisions start again at an older one. era is the newest era that is known.
func (r *recentClaims) startHold(now time.Time, era uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.era = max(r.era, era)
	r.maxRevision, r.holdUntil, r.rewriteDue = kv.Revision{}, now.Add(restoreHold), true
}

// latest returns the claim that was written last, or false if there is none. It first drops claims older than
// maxRecentAge.
func (r *recentClaims) latest(now time.Time) (recentClaim, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = slices.DeleteFunc(r.entries, func(k recentClaim) bool { return now.Sub(k.record.At) > maxRecentAge })
	if len(r.entries) == 0 {
		return recentClaim{}, false
	}
	return r.entries[len(r.entries)-1], true
}

func (r *recentClaims) snapshot() []recentClaim {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.entries)
}

// Run probes the key-value store every probeInterval until ctx ends, and rewrites claims that the store lost. A daemon
// with claims probes the one that it wrote last. A daemon without claims reads a key that does not exist, and so
// detects outages only.
func (f *Filter) Run(ctx context.Context) {
	for pause.For(ctx, probeInterval) == nil {
		k, own := f.recent.latest(f.spec.Now())
		if !own {
			k.key = probeKey
		}
		e, err := f.spec.Store.Get(ctx, k.key)
		if err != nil && !errors.Is(err, kv.ErrNotFound) {
			f.recent.recordProbeFailure()
			continue
		}
		// Of a claim that was not written again after a detected restore, k.revision may be of an older era.
		if f.recent.recordProbeSuccess() || e.Revision.Compare(k.revision) < 0 || f.recent.isNewEra(e.Revision) {
			f.handleRestore(e.Revision.Era)
		}
		if f.recent.takeRewriteDue() {
			f.rewriteLostClaims(ctx)
		}
	}
}

// handleRestore starts the hold after a restore was detected or suspected. era is that of the response that showed it.
func (f *Filter) handleRestore(era uint64) {
	f.recent.startHold(f.spec.Now(), era)
	if f.spec.OnSuspectedRestore != nil {
		f.spec.OnSuspectedRestore()
	}
}

// recordProbeFailure counts a probe without an answer.
func (r *recentClaims) recordProbeFailure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedProbes++
}

// recordProbeSuccess counts a probe with an answer. It reports whether the probe ends an outage.
func (r *recentClaims) recordProbeSuccess() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	recovered := r.failedProbes >= suspectedAfterProbes
	r.failedProbes = 0
	return recovered
}

// takeRewriteDue reports whether a rewrite is due, and resets the flag.
func (r *recentClaims) takeRewriteDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	due := r.rewriteDue
	r.rewriteDue = false
	return due
}

// rewriteLostClaims stores lost claims again, newest first. It stops at the first claim that is still present, because
// a restore loses the most recent writes only.
func (f *Filter) rewriteLostClaims(ctx context.Context) {
	claims := f.recent.snapshot()
	for i := len(claims) - 1; i >= 0; {
		present, err := f.rewriteClaim(ctx, claims[i])
		if present {
			return
		}
		if !errors.Is(err, kv.ErrUnavailable) { // else it is retried; a damaged record can't be resolved and is skipped
			i--
		}
		if pause.For(ctx, rewriteInterval) != nil {
			return
		}
	}
}

// rewriteClaim stores one claim again, and reports whether the store still has it. A released record under its key is
// replaced. A claim of another daemon is kept, because its call may have been sent, and this daemon's own is dropped
// from memory.
func (f *Filter) rewriteClaim(ctx context.Context, k recentClaim) (present bool, err error) {
	rev, err := f.writeRecord(ctx, k.key, k.record, kv.Revision{})
	if errors.Is(err, kv.ErrConflict) {
		var r Record
		if r, rev, err = f.readRecord(ctx, k.key); err != nil {
			return false, err
		}
		own := r.Nonce == k.record.Nonce
		switch {
		case own && (r.State == k.record.State || isLater(rev, r.State, k.revision)):
			f.recent.setRevision(k.key, rev)
			return true, nil
		case !own && r.State != Released:
			f.recent.remove(k.key, k.record.Nonce)
			return false, nil
		}
		rev, err = f.writeRecord(ctx, k.key, k.record, rev)
	}
	if err == nil {
		f.recent.setRevision(k.key, rev)
	}
	return false, err
}

// isLater reports whether the stored state of an own claim is later than the one in memory at revision known, because the
// reply to the last write was lost. In a newer era the numbers of revisions are assigned again: a record that has an
// outcome is then later, since it differs from the one in memory, and a running one is that of the backup.
func isLater(stored kv.Revision, state State, known kv.Revision) bool {
	if stored.Era != known.Era {
		return state != Running
	}
	return stored.Number >= known.Number
}

// remove removes the claim with the given key and nonce. Another claim of the same key is kept.
func (r *recentClaims) remove(key, nonce string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = slices.DeleteFunc(r.entries, func(k recentClaim) bool { return k.key == key && k.record.Nonce == nonce })
}

// setRevision sets the revision of a claim that was rewritten, or that the store still has.
func (r *recentClaims) setRevision(key string, revision kv.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observe(revision)
	for i := range r.entries {
		if r.entries[i].key == key {
			r.entries[i].revision = revision
		}
	}
}
