// Package claim implements the third stage of the request pipeline: it ensures that a non-repeatable call runs at most
// once across all daemons, by a compare-and-swap in the key-value store before the call is sent. A claim is never taken
// over, so a daemon that was paused after it acquired a claim can't cause a second run.
package claim

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/pause"
	"github.com/bramleytrail/bramleytrail/result"
)

// Prefix is the prefix of the keys of claims in the key-value store.
const Prefix = "claim/"

// State is the state of a claim.
type State string

// The states of a claim.
const (
	Running State = "running" // the claim is acquired, and the call may have been sent
	Done    State = "done"    // the endpoint answered the call
	Unknown State = "unknown" // the call was sent and no answer was received
	// Released means that the owner gave up the claim without sending the call. A repeat may replace the record.
	Released State = "released"
)

const (
	// MaxBodyBytes is the size of the largest answer body that is stored with a claim, to be replayed to repeats.
	MaxBodyBytes       = 64 << 10
	maxAcquireAttempts = 4
	acquireRetryDelay  = 50 * time.Millisecond
	storeRetryAfter    = 2 * time.Second
	recordRetryDelay   = 500 * time.Millisecond
	// A repeat of a running call is answered with a Retry-After of a quarter of the claim's age, within these limits.
	minRunningRetryAfter = time.Second
	maxRunningRetryAfter = time.Minute
	// maxRunningAge is the longest deadline that a caller may set. The owner of a claim that has been running for
	// longer has ended without recording an outcome.
	maxRunningAge = 24 * time.Hour
	// recordTimeout is how long a daemon retries to record an outcome while the key-value store is unavailable.
	recordTimeout = 30 * time.Minute
)

// Record is the stored form of a claim.
type Record struct {
	State    State       `json:"state"`
	Key      string      `json:"key"` // idempotency key; the key of the record contains only its hash
	Nonce    string      `json:"nonce"`
	Owner    string      `json:"owner"`
	Request  uint64      `json:"request"` // hash of method, path and body
	At       time.Time   `json:"at"`      // when the claim was acquired
	Status   int         `json:"status,omitempty"`
	Header   http.Header `json:"header,omitempty"`
	Body     []byte      `json:"body,omitempty"`
	BodyKept bool        `json:"bodyKept,omitempty"`
}

// Spec configures a Filter. Store, Owner and Now are required, and Members unless WritesPerSecond is set.
type Spec struct {
	Store kv.Store
	Owner string // incarnation of this daemon, unique to one start
	// WritesPerSecond limits the claim writes of this daemon, of which each call takes two. With 0, the limit is the
	// daemon's share of Budget.
	WritesPerSecond float64
	// Budget is the number of claim writes per second of the whole deployment. It is divided among the live entry
	// hosts, whose number is returned by Members, or 0 if it is not known yet.
	Budget  float64
	Members func() int
	Now     func() time.Time
	// OnSuspectedRestore is called when the key-value store may have been restored from older data and have lost
	// claims. It may be nil.
	OnSuspectedRestore func()
}

// Filter acquires claims for the calls of one daemon. It is safe for concurrent use.
type Filter struct {
	spec    Spec
	limiter *rate.Limiter
	recent  recentClaims
	ctx     context.Context
	cancel  context.CancelFunc

	mu      sync.Mutex
	closed  bool           // set by Close; no further outcomes are recorded
	pending sync.WaitGroup // outcomes being recorded; added to only while closed is false
}

// New returns a filter. The caller starts its background work with Run and ends it with Close.
func New(spec Spec) *Filter {
	ctx, cancel := context.WithCancel(context.Background())
	writes := spec.writesPerSecond()
	return &Filter{spec: spec, limiter: rate.NewLimiter(rate.Limit(writes), burstSize(writes)), ctx: ctx, cancel: cancel}
}

// allow reports whether the rate limit permits the writes of one call. If so, it deducts them.
func (f *Filter) allow() bool {
	now, writes := f.spec.Now(), f.spec.writesPerSecond()
	f.limiter.SetLimitAt(now, rate.Limit(writes))
	f.limiter.SetBurstAt(now, burstSize(writes))
	return f.limiter.AllowN(now, writesPerCall)
}

// Close waits for pending outcomes to be recorded until ctx ends, then abandons them. It must be called after all
// requests have ended; outcomes of requests that end later are not recorded.
func (f *Filter) Close(ctx context.Context) {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	done := make(chan struct{})
	go func() { f.pending.Wait(); close(done) }()
	select {
	case <-done:
	case <-ctx.Done():
	}
	f.cancel()
	<-done
}

// Input identifies a non-repeatable call. Deliveries with the same Service, Team and Key are the same call.
type Input struct {
	Service string
	Team    string
	Key     string // idempotency key
	Request uint64 // see RequestHash
}

// RequestHash returns a hash of the content of a call. Repeats with the same idempotency key must have the same hash.
func RequestHash(method, path string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(method + " " + path + "\n") // never returns an error
	_, _ = d.Write(body)
	return d.Sum64()
}

// StoreKey returns the key of a claim in the key-value store. The idempotency key is hashed because it may contain any
// bytes, and to keep store keys short.
func StoreKey(service, team, key string) string {
	sum := sha256.Sum256([]byte(key))
	return Prefix + service + "/" + team + "/" + hex.EncodeToString(sum[:])
}

// Claim is the exclusive right to send a call once. Its owner must end it with Release or Finish. It is not safe for
// concurrent use.
type Claim struct {
	filter   *Filter
	key      string
	revision kv.Revision
	record   Record
	closed   bool
}

// Owner returns the incarnation of the daemon that acquired the claim.
func (c *Claim) Owner() string { return c.record.Owner }

// Do acquires a claim. If the call already ran and its outcome is recorded, Do returns the record and no claim. Errors
// are of type *result.Error. An error with result.NotRun means that this delivery was not sent; an earlier one with the
// same key may have run.
func (f *Filter) Do(ctx context.Context, in Input) (*Claim, *Record, error) {
	if in.Key == "" {
		return nil, nil, result.Newf(result.KeyRequired, "")
	}
	if !f.allow() {
		return nil, nil, result.Newf(result.ClaimBudget, "").WithRetryAfter(storeRetryAfter)
	}
	c := &Claim{filter: f, key: StoreKey(in.Service, in.Team, in.Key), record: Record{
		State: Running, Key: in.Key, Nonce: rand.Text(), Owner: f.spec.Owner, Request: in.Request, At: f.spec.Now(),
	}}
	if f.recent.lossSuspected(f.spec.Now()) {
		return f.replayOnly(ctx, c)
	}
	return f.acquire(ctx, c)
}

// replayOnly answers a repeat whose claim is stored and rejects everything else. It is used while the store is
// suspected of having lost claims.
func (f *Filter) replayOnly(ctx context.Context, c *Claim) (*Claim, *Record, error) {
	r, _, err := f.readRecord(ctx, c.key)
	if err == nil && r.State != Released {
		return f.answerRepeat(c, r)
	}
	return nil, nil, result.Wrap(result.ClaimUnavailable, result.NotRun, errors.Join(errClaimsMayBeLost, err)).WithRetryAfter(restoreHold)
}

// writeRecord stores a record if the revision of its key is prev, and returns the new revision.
func (f *Filter) writeRecord(ctx context.Context, key string, r Record, prev kv.Revision) (kv.Revision, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return kv.Revision{}, fmt.Errorf("encode claim %s: %w", key, err)
	}
	return f.spec.Store.CAS(ctx, key, data, prev, 0)
}

// readRecord returns a record and its revision.
func (f *Filter) readRecord(ctx context.Context, key string) (Record, kv.Revision, error) {
	e, err := f.spec.Store.Get(ctx, key)
	if err != nil {
		return Record{}, kv.Revision{}, err
	}
	r, err := decodeRecord(e.Value)
	return r, e.Revision, err
}

func decodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return r, fmt.Errorf("decode claim: %w", err)
	}
	return r, nil
}

// acquire writes the claim. If a write gets no reply or a conflict, acquire reads the record back: the write took
// effect if the stored nonce is the claim's own. The call is not sent as long as this is unknown.
func (f *Filter) acquire(ctx context.Context, c *Claim) (*Claim, *Record, error) {
	var cause error
	conflict, uncertain, needWrite, prev := false, false, true, kv.Revision{}
	for attempt := range maxAcquireAttempts {
		if attempt > 0 && pause.For(ctx, acquireRetryDelay) != nil {
			break
		}
		if needWrite {
			revisionBefore := f.recent.highestRevision()
			rev, err := f.writeRecord(ctx, c.key, c.record, prev)
			if err == nil {
				return f.acquired(c, rev, revisionBefore)
			}
			cause = err
			conflict = conflict || errors.Is(err, kv.ErrConflict)
			uncertain = uncertain || !errors.Is(err, kv.ErrConflict)
		}
		r, rev, err := f.readRecord(ctx, c.key)
		switch {
		case err == nil && r.Nonce == c.record.Nonce:
			return f.acquired(c, rev, kv.Revision{}) // zero, because it is unknown when the write took effect
		case err == nil && r.State != Released:
			return f.answerRepeat(c, r)
		case err == nil || errors.Is(err, kv.ErrNotFound):
			needWrite, prev = true, rev
		default:
			needWrite, cause = false, err
		}
	}
	if uncertain {
		c.abandon()
	}
	if conflict { // another claim exists but its state could not be read
		return nil, nil, &result.Error{Code: result.ClaimUnknown, Ran: result.RunUnknown, RetryAfter: storeRetryAfter, Err: cause}
	}
	return nil, nil, result.Wrap(result.ClaimUnavailable, result.NotRun, cause).WithRetryAfter(storeRetryAfter)
}

// acquired completes acquire after the claim was stored at revision rev. If rev is not above revisionBefore, which was
// seen before the write, or of a newer era, the store was restored from older data and an earlier claim of this key may be
// lost. The claim is then released and an error returned.
func (f *Filter) acquired(c *Claim, rev, revisionBefore kv.Revision) (*Claim, *Record, error) {
	c.revision = rev
	if rev.Compare(revisionBefore) <= 0 || f.recent.isNewEra(rev) {
		f.handleRestore(rev.Era)
		c.Release()
		return nil, nil, result.Wrap(result.ClaimUnavailable, result.NotRun, errClaimsMayBeLost).WithRetryAfter(restoreHold)
	}
	f.recent.put(c.key, c.record, rev)
	return c, nil, nil
}

// answerRepeat returns the result of a repeat c of a call whose claim is stored as r.
func (f *Filter) answerRepeat(c *Claim, r Record) (*Claim, *Record, error) {
	if r.Request != c.record.Request {
		return nil, nil, result.Newf(result.ClaimKeyReused, "")
	}
	age := f.spec.Now().Sub(r.At)
	holder := fmt.Errorf("claim %s held by daemon %s since %s", c.key, r.Owner, r.At.UTC().Format(time.RFC3339))
	switch {
	case r.State == Done:
		return nil, &r, nil
	case r.State == Running && age <= maxRunningAge:
		retry := min(max(age/4, minRunningRetryAfter), maxRunningRetryAfter)
		return nil, nil, &result.Error{Code: result.ClaimRunning, Ran: result.RunUnknown, RetryAfter: retry, Err: holder}
	default:
		return nil, nil, &result.Error{Code: result.ClaimUnknown, Ran: result.RunUnknown, Err: holder}
	}
}

// Lookup returns the record of a call, or nil if no claim exists. If the store can't be read, the error is a
// *result.Error with result.StoreUnavailable. A claim that has been running for longer than the longest permitted
// deadline is reported as Unknown.
func (f *Filter) Lookup(ctx context.Context, service, team, key string) (*Record, error) {
	r, _, err := f.readRecord(ctx, StoreKey(service, team, key))
	if errors.Is(err, kv.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, &result.Error{Code: result.StoreUnavailable, Ran: result.RunUnknown, RetryAfter: storeRetryAfter, Err: err}
	}
	if r.State == Running && f.spec.Now().Sub(r.At) > maxRunningAge {
		r.State = Unknown
	}
	return &r, nil
}

// Release gives up the claim because the call was not sent, so that a repeat may run. The record is marked as released
// in the background. It is not deleted: a delayed write of another daemon, which requires that no record exists, would
// then create a running claim without an owner. Release does nothing after Release or Finish.
func (c *Claim) Release() {
	if c.closed {
		return
	}
	c.closed = true
	c.record.State = Released
	c.filter.recent.remove(c.key, c.record.Nonce)
	c.retryInBackground(func(ctx context.Context) bool {
		_, err := c.filter.writeRecord(ctx, c.key, c.record, c.revision)
		return err == nil || errors.Is(err, kv.ErrConflict)
	})
}

// Finish records, in the background, the outcome of a call that was sent. The header and the body are stored for
// repeats if the body is complete and takes at most MaxBodyBytes. Finish does nothing after Release or Finish.
func (c *Claim) Finish(state State, status int, header http.Header, body []byte, whole bool) {
	if c.closed {
		return
	}
	c.closed = true
	c.record.State, c.record.Status = state, status
	if whole && len(body) <= MaxBodyBytes {
		c.record.Header, c.record.Body, c.record.BodyKept = header, body, true
	}
	c.retryInBackground(func(ctx context.Context) bool {
		rev, err := c.filter.writeRecord(ctx, c.key, c.record, c.revision)
		if err == nil {
			if c.filter.recent.isNewEra(rev) {
				c.filter.handleRestore(rev.Era)
			}
			c.filter.recent.put(c.key, c.record, rev)
		}
		return err == nil || c.outcomeSettled(ctx, err)
	})
}

// outcomeSettled reports whether a failed write of the outcome need not be retried, because it took effect or because
// the claim is no longer this daemon's. Otherwise it updates the revision for the next attempt if it could be read.
func (c *Claim) outcomeSettled(ctx context.Context, cause error) bool {
	r, rev, err := c.filter.readRecord(ctx, c.key)
	if err != nil {
		return errors.Is(err, kv.ErrNotFound) && errors.Is(cause, kv.ErrConflict)
	}
	if r.Nonce != c.record.Nonce || r.State == c.record.State {
		return true
	}
	c.revision = rev
	return false
}

// abandon gives up a claim of which a write may still take effect. It marks the record as released in the background.
// This changes the revision, so that the delayed write fails.
func (c *Claim) abandon() {
	c.record.State = Released
	c.retryInBackground(func(ctx context.Context) bool {
		r, rev, err := c.filter.readRecord(ctx, c.key)
		own := r.Nonce == c.record.Nonce
		switch {
		case errors.Is(err, kv.ErrNotFound):
			rev = kv.Revision{}
		case err != nil:
			return false
		case own && r.State == Released, !own && r.State != Released:
			return true
		}
		_, err = c.filter.writeRecord(ctx, c.key, c.record, rev)
		return err == nil
	})
}

// retryInBackground calls f until it returns true, recordTimeout passes or the filter is closed. The first attempt is
// immediate.
func (c *Claim) retryInBackground(f func(context.Context) bool) {
	c.filter.mu.Lock()
	defer c.filter.mu.Unlock()
	if c.filter.closed {
		return
	}
	c.filter.pending.Go(func() {
		ctx, cancel := context.WithTimeout(c.filter.ctx, recordTimeout)
		defer cancel()
		for !f(ctx) {
			if pause.For(ctx, recordRetryDelay) != nil {
				return
			}
		}
	})
}
