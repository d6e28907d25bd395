// Package claim is the third stage: it makes sure that a non-repeatable call runs at most once across all daemons, by a
// compare-and-swap in the key-value service before the call is sent. A claim is never taken over, so a daemon that was
// paused after it made a claim can't cause a second run.
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

// Prefix of claim keys in the key-value service.
const Prefix = "claim/"

// State of a claim.
type State string

// States of a claim.
const (
	Running State = "running" // recorded, and the call may have been sent
	Done    State = "done"    // the endpoint answered
	Unknown State = "unknown" // the call was sent and gave no answer
	// Released says that the owner gave the claim back without sending the call. A repeat may replace the record.
	Released State = "released"
)

const (
	// MaxBody is the largest answer body that a claim keeps for repeats.
	MaxBody      = 64 << 10
	acquireTries = 4
	acquirePause = 50 * time.Millisecond
	storeRetry   = 2 * time.Second
	finishPause  = 500 * time.Millisecond
	// A repeat of a running call is told to come back after a quarter of the claim's age, within these limits.
	minRunningRetry = time.Second
	maxRunningRetry = time.Minute
	// runningLimit is the longest deadline that a caller may state. A claim that is still running after it belongs to an
	// owner that ended without recording an outcome.
	runningLimit = 24 * time.Hour
	// finishLimit is the time for which a daemon tries to record an outcome while the service is down.
	finishLimit = 30 * time.Minute
)

// Record is the stored form of a claim.
type Record struct {
	State    State       `json:"state"`
	Key      string      `json:"key"` // idempotency key; the name of the record holds its hash
	Nonce    string      `json:"nonce"`
	Owner    string      `json:"owner"`
	Request  uint64      `json:"request"` // hash of method, path and body
	At       time.Time   `json:"at"`
	Status   int         `json:"status,omitempty"`
	Header   http.Header `json:"header,omitempty"`
	Body     []byte      `json:"body,omitempty"`
	BodyKept bool        `json:"bodyKept,omitempty"`
}

// Spec configures a Filter.
type Spec struct {
	Store kv.Store
	Owner string // identity of this daemon
	// WritesPerSecond bounds the claim writes of this daemon, two for each call. Zero stands for its share of Budget.
	WritesPerSecond float64
	// Budget is the number of claim writes a second of the whole deployment, and Members returns the number of live
	// entry hosts, among which it is divided; 0 if it is not known yet.
	Budget  float64
	Members func() int
	Now     func() time.Time
	// OnRestore is called when the key-value service may have lost claims; nil for nothing.
	OnRestore func()
}

// Filter makes claims.
type Filter struct {
	spec    Spec
	limiter *rate.Limiter
	recall  recall
	ctx     context.Context
	cancel  context.CancelFunc

	mu      sync.Mutex
	closed  bool           // no outcome is recorded any more
	pending sync.WaitGroup // outcomes being recorded; grows only while closed is false
}

// New returns a filter.
func New(spec Spec) *Filter {
	ctx, cancel := context.WithCancel(context.Background())
	writes := spec.writesPerSecond()
	return &Filter{spec: spec, limiter: rate.NewLimiter(rate.Limit(writes), burst(writes)), ctx: ctx, cancel: cancel}
}

// allow reports whether the writes of a call may be made, and counts them.
func (f *Filter) allow() bool {
	now, writes := f.spec.Now(), f.spec.writesPerSecond()
	f.limiter.SetLimitAt(now, rate.Limit(writes))
	f.limiter.SetBurstAt(now, burst(writes))
	return f.limiter.AllowN(now, writesPerCall)
}

// Close waits until ctx ends for outcomes that are not recorded yet, then gives up on them. Requests must have ended;
// outcomes of those that have not are not recorded.
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

// Input identifies a call.
type Input struct {
	Service string
	Team    string
	Key     string // idempotency key
	Request uint64 // see RequestHash
}

// RequestHash identifies the content of a call.
func RequestHash(method, path string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(method + " " + path + "\n") // never fails
	_, _ = d.Write(body)
	return d.Sum64()
}

// StoreKey returns the name of a claim in the key-value service. The idempotency key is hashed: it may hold any bytes, and
// names stay short.
func StoreKey(service, team, key string) string {
	sum := sha256.Sum256([]byte(key))
	return Prefix + service + "/" + team + "/" + hex.EncodeToString(sum[:])
}

// Claim is the right to send a call once.
type Claim struct {
	filter *Filter
	key    string
	rev    uint64
	record Record
	closed bool
}

// Owner returns the identity of the daemon that made the claim.
func (c *Claim) Owner() string { return c.record.Owner }

// Do makes a claim. If the call already ran, it returns the recorded outcome instead and no claim. An error with
// result.NotRun says that this delivery was not sent; an earlier one with the same key may have run.
func (f *Filter) Do(ctx context.Context, in Input) (*Claim, *Record, error) {
	if in.Key == "" {
		return nil, nil, result.Newf(result.KeyRequired, "")
	}
	if !f.allow() {
		return nil, nil, result.Newf(result.ClaimBudget, "").WithRetryAfter(storeRetry)
	}
	c := &Claim{filter: f, key: StoreKey(in.Service, in.Team, in.Key), record: Record{
		State: Running, Key: in.Key, Nonce: rand.Text(), Owner: f.spec.Owner, Request: in.Request, At: f.spec.Now(),
	}}
	if f.recall.suspected(f.spec.Now()) {
		return f.repeatOnly(ctx, c)
	}
	return f.acquire(ctx, c)
}

// repeatOnly answers a repeat whose claim is stored, and refuses everything else.
func (f *Filter) repeatOnly(ctx context.Context, c *Claim) (*Claim, *Record, error) {
	r, _, err := f.read(ctx, c.key)
	if err == nil && r.State != Released {
		return f.judge(c, r)
	}
	return nil, nil, result.Wrap(result.ClaimUnavailable, result.NotRun, errors.Join(errRestored, err)).WithRetryAfter(recallHold)
}

func (f *Filter) write(ctx context.Context, key string, r Record, prev uint64) (uint64, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return 0, fmt.Errorf("encode claim: %w", err)
	}
	return f.spec.Store.CAS(ctx, key, data, prev, 0)
}

func (f *Filter) read(ctx context.Context, key string) (Record, uint64, error) {
	e, err := f.spec.Store.Get(ctx, key)
	if err != nil {
		return Record{}, 0, err
	}
	r, err := decode(e.Value)
	return r, e.Revision, err
}

func decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return r, fmt.Errorf("decode claim: %w", err)
	}
	return r, nil
}

// acquire writes the claim. A write without an answer or with a conflict is settled by reading back: it took effect if
// the stored nonce is the claim's own. As long as that is not known, the call is not sent.
func (f *Filter) acquire(ctx context.Context, c *Claim) (*Claim, *Record, error) {
	var cause error
	conflict, uncertain, write, prev := false, false, true, uint64(0)
	for try := range acquireTries {
		if try > 0 && pause.For(ctx, acquirePause) != nil {
			break
		}
		if write {
			before := f.recall.position()
			rev, err := f.write(ctx, c.key, c.record, prev)
			if err == nil {
				return f.made(c, rev, before)
			}
			cause = err
			conflict = conflict || errors.Is(err, kv.ErrConflict)
			uncertain = uncertain || !errors.Is(err, kv.ErrConflict)
		}
		r, rev, err := f.read(ctx, c.key)
		switch {
		case err == nil && r.Nonce == c.record.Nonce:
			return f.made(c, rev, 0) // written at an unknown time
		case err == nil && r.State != Released:
			return f.judge(c, r)
		case err == nil || errors.Is(err, kv.ErrNotFound):
			write, prev = true, rev
		default:
			write, cause = false, err
		}
	}
	if uncertain {
		c.abandon()
	}
	if conflict { // another claim was seen but not its state
		return nil, nil, &result.Error{Code: result.ClaimUnknown, Ran: result.RunUnknown, RetryAfter: storeRetry, Err: cause}
	}
	return nil, nil, result.Wrap(result.ClaimUnavailable, result.NotRun, cause).WithRetryAfter(storeRetry)
}

// made ends acquire after the claim was stored. A revision that is not above one seen before its write shows that the
// service has gone back, so that an earlier claim of this key may be lost. The claim is given back then.
func (f *Filter) made(c *Claim, rev, before uint64) (*Claim, *Record, error) {
	c.rev = rev
	if rev <= before {
		f.wentBack()
		c.Release()
		return nil, nil, result.Wrap(result.ClaimUnavailable, result.NotRun, errRestored).WithRetryAfter(recallHold)
	}
	f.recall.note(c.key, c.record, rev)
	return c, nil, nil
}

// judge answers a repeat of a call whose claim exists.
func (f *Filter) judge(c *Claim, r Record) (*Claim, *Record, error) {
	if r.Request != c.record.Request {
		return nil, nil, result.Newf(result.ClaimKeyReused, "")
	}
	age := f.spec.Now().Sub(r.At)
	holder := fmt.Errorf("claim %s is held by %s since %s", c.key, r.Owner, r.At.UTC().Format(time.RFC3339))
	switch {
	case r.State == Done:
		return nil, &r, nil
	case r.State == Running && age <= runningLimit:
		retry := min(max(age/4, minRunningRetry), maxRunningRetry)
		return nil, nil, &result.Error{Code: result.ClaimRunning, Ran: result.RunUnknown, RetryAfter: retry, Err: holder}
	default:
		return nil, nil, &result.Error{Code: result.ClaimUnknown, Ran: result.RunUnknown, Err: holder}
	}
}

// Lookup returns the recorded state of a call, or nil if no claim exists. A claim that has been running for longer than
// any call may is reported as unknown.
func (f *Filter) Lookup(ctx context.Context, service, team, key string) (*Record, error) {
	r, _, err := f.read(ctx, StoreKey(service, team, key))
	if errors.Is(err, kv.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, &result.Error{Code: result.StoreUnavailable, Ran: result.RunUnknown, RetryAfter: storeRetry, Err: err}
	}
	if r.State == Running && f.spec.Now().Sub(r.At) > runningLimit {
		r.State = Unknown
	}
	return &r, nil
}

// Release gives the claim back because the call was not sent. A repeat may then run. The record is marked, not deleted: a
// late write of another daemon, which requires that no record exists, would become a running claim that nobody owns.
func (c *Claim) Release() {
	if c.closed {
		return
	}
	c.closed = true
	c.record.State = Released
	c.filter.recall.drop(c.key, c.record.Nonce)
	c.inBackground(func(ctx context.Context) bool {
		_, err := c.filter.write(ctx, c.key, c.record, c.rev)
		return err == nil || errors.Is(err, kv.ErrConflict)
	})
}

// Finish records the outcome of a call that was sent. The body is kept for repeats if it is whole and not too large.
func (c *Claim) Finish(state State, status int, header http.Header, body []byte, whole bool) {
	if c.closed {
		return
	}
	c.closed = true
	c.record.State, c.record.Status = state, status
	if whole && len(body) <= MaxBody {
		c.record.Header, c.record.Body, c.record.BodyKept = header, body, true
	}
	c.inBackground(func(ctx context.Context) bool {
		rev, err := c.filter.write(ctx, c.key, c.record, c.rev)
		if err == nil {
			c.filter.recall.note(c.key, c.record, rev)
		}
		return err == nil || c.settled(ctx, err)
	})
}

// settled reports whether a failed write needs no repeat: it took effect, or the claim is no longer this daemon's.
func (c *Claim) settled(ctx context.Context, cause error) bool {
	r, rev, err := c.filter.read(ctx, c.key)
	if err != nil {
		return errors.Is(err, kv.ErrNotFound) && errors.Is(cause, kv.ErrConflict)
	}
	if r.Nonce != c.record.Nonce || r.State == c.record.State {
		return true
	}
	c.rev = rev
	return false
}

// abandon gives up a claim of which a write may still take effect. It marks the record as released, which changes its
// revision, so that the late write fails.
func (c *Claim) abandon() {
	c.record.State = Released
	c.inBackground(func(ctx context.Context) bool {
		r, rev, err := c.filter.read(ctx, c.key)
		own := r.Nonce == c.record.Nonce
		switch {
		case errors.Is(err, kv.ErrNotFound):
			rev = 0
		case err != nil:
			return false
		case own && r.State == Released, !own && r.State != Released:
			return true
		}
		_, err = c.filter.write(ctx, c.key, c.record, rev)
		return err == nil
	})
}

// inBackground repeats f until it succeeds, the time limit passes or the filter closes. The first try is immediate.
func (c *Claim) inBackground(f func(context.Context) bool) {
	c.filter.mu.Lock()
	defer c.filter.mu.Unlock()
	if c.filter.closed {
		return
	}
	c.filter.pending.Go(func() {
		ctx, cancel := context.WithTimeout(c.filter.ctx, finishLimit)
		defer cancel()
		for !f(ctx) {
			if pause.For(ctx, finishPause) != nil {
				return
			}
		}
	})
}
