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
	// probeInterval is the time between reads by which a daemon notices that the key-value service has gone back to older
	// data. At the target 370 daemons make 37 reads a second.
	probeInterval = 10 * time.Second
	// suspectProbes is the number of failed probes in a row after which a restore is suspected.
	suspectProbes = 2
	// recallHold is the time for which claims are refused after the service has come back, so that every daemon probes and
	// writes its lost claims again.
	recallHold = time.Minute
	// recallPause is the time between two claims that are written again. At the target all daemons together make 185
	// writes a second.
	recallPause = 2 * time.Second
	// maxRecalled bounds the claims in memory. At 0.3 a second and daemon they are from the last hour; without answers they
	// take about 500 bytes each.
	maxRecalled = 1024
	// recallAge is the age at which a claim is forgotten. It is far below MinRetention, so that a claim which operators have
	// removed is not taken for a lost one.
	recallAge = 24 * time.Hour
	// probeKey is never written. The configuration would show more, but is too large to be read so often.
	probeKey = "claim-probe"
)

// errRestored says that the key-value service has gone back to older data, or may have done so.
var errRestored = errors.New("claim: key-value service may have lost recent claims")

// known is a claim of this daemon as it was last stored.
type known struct {
	key      string
	record   Record
	revision uint64
}

// recall keeps the recent claims of a daemon, and writes those again that the key-value service has lost.
type recall struct {
	mu     sync.Mutex
	claims []known // in the order of their last writes
	newest uint64  // highest revision that any answer showed
	until  time.Time
	due    bool // claims have to be written again
	failed int  // probes in a row without an answer
}

// note remembers the stored form of a claim without its answer.
func (r *recall) note(key string, record Record, revision uint64) {
	record.Header, record.Body, record.BodyKept = nil, nil, false
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newest = max(r.newest, revision)
	r.claims = slices.DeleteFunc(r.claims, func(k known) bool { return k.key == key })
	if len(r.claims) == maxRecalled {
		r.claims = r.claims[1:]
	}
	r.claims = append(r.claims, known{key, record, revision})
}

// position returns the highest revision seen. A later write that gets no higher one shows that the service has gone back.
func (r *recall) position() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest
}

// suspected reports whether the service may have lost claims of other daemons.
func (r *recall) suspected(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed >= suspectProbes || now.Before(r.until)
}

// wentBack begins the time for which claims are refused. Revisions begin anew.
func (r *recall) wentBack(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newest, r.until, r.due = 0, now.Add(recallHold), true
}

// last returns the claim that was written last, or false if there is none. It forgets old ones.
func (r *recall) last(now time.Time) (known, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.claims = slices.DeleteFunc(r.claims, func(k known) bool { return now.Sub(k.record.At) > recallAge })
	if len(r.claims) == 0 {
		return known{}, false
	}
	return r.claims[len(r.claims)-1], true
}

func (r *recall) all() []known {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.claims)
}

// Run probes the service until ctx ends, and writes claims again that it has lost. A daemon with claims reads the one that
// it wrote last; another one reads a key that does not exist and notices outages only.
func (f *Filter) Run(ctx context.Context) {
	for pause.For(ctx, probeInterval) == nil {
		k, own := f.recall.last(f.spec.Now())
		if !own {
			k.key = probeKey
		}
		e, err := f.spec.Store.Get(ctx, k.key)
		if err != nil && !errors.Is(err, kv.ErrNotFound) {
			f.recall.miss()
			continue
		}
		if f.recall.answered() || e.Revision < k.revision {
			f.wentBack()
		}
		if f.recall.takeDue() {
			f.rewrite(ctx)
		}
	}
}

func (f *Filter) wentBack() {
	f.recall.wentBack(f.spec.Now())
	if f.spec.OnRestore != nil {
		f.spec.OnRestore()
	}
}

// miss counts a probe without an answer.
func (r *recall) miss() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed++
}

// answered counts a probe with an answer. It reports whether an outage ends with it.
func (r *recall) answered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	after := r.failed >= suspectProbes
	r.failed = 0
	return after
}

func (r *recall) takeDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	due := r.due
	r.due = false
	return due
}

// rewrite stores lost claims again, the newest first, and ends at the first one that is still there: the service loses the
// end of what was written.
func (f *Filter) rewrite(ctx context.Context) {
	claims := f.recall.all()
	for i := len(claims) - 1; i >= 0; {
		there, err := f.recover(ctx, claims[i])
		if there {
			return
		}
		if !errors.Is(err, kv.ErrUnavailable) { // else once more; a damaged record can't be settled
			i--
		}
		if pause.For(ctx, recallPause) != nil {
			return
		}
	}
}

// recover stores one claim again, and reports whether the service still has it. A released record under its key is
// replaced. A claim of another daemon stays: its call may have been sent.
func (f *Filter) recover(ctx context.Context, k known) (there bool, err error) {
	rev, err := f.write(ctx, k.key, k.record, 0)
	if errors.Is(err, kv.ErrConflict) {
		var r Record
		if r, rev, err = f.read(ctx, k.key); err != nil {
			return false, err
		}
		own := r.Nonce == k.record.Nonce
		switch {
		case own && (rev >= k.revision || r.State == k.record.State): // higher if the reply of the last write was lost
			return true, nil
		case !own && r.State != Released:
			f.recall.drop(k.key, k.record.Nonce)
			return false, nil
		}
		rev, err = f.write(ctx, k.key, k.record, rev)
	}
	if err == nil {
		f.recall.restored(k.key, rev)
	}
	return false, err
}

// drop forgets a claim. Another one of the same key stays.
func (r *recall) drop(key, nonce string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.claims = slices.DeleteFunc(r.claims, func(k known) bool { return k.key == key && k.record.Nonce == nonce })
}

// restored sets the revision of a claim that was written again.
func (r *recall) restored(key string, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newest = max(r.newest, revision)
	for i := range r.claims {
		if r.claims[i].key == key {
			r.claims[i].revision = revision
		}
	}
}
