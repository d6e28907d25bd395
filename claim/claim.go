// Package claim is the third stage: it makes sure that a non-repeatable call runs at most once across all daemons, by a
// compare-and-swap in the key-value service before the call is sent. A claim is never taken over, so a daemon that was
// paused after it made a claim can't cause a second run.
package claim

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/bramleytrail/bramleytrail/kv"
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
)

const (
	// MaxBody is the largest answer body that a claim keeps for repeats.
	MaxBody       = 64 << 10
	readBackTries = 3
	readBackPause = 50 * time.Millisecond
	runningRetry  = time.Second
	storeRetry    = 2 * time.Second
	finishPause   = 500 * time.Millisecond
	// finishLimit is the time for which a daemon tries to record an outcome while the service is down.
	finishLimit = 30 * time.Minute
)

// Record is the stored form of a claim.
type Record struct {
	State    State       `json:"state"`
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
	// WritesPerSecond bounds the claim writes of this daemon, two for each call.
	WritesPerSecond float64
	Now             func() time.Time
}

// Filter makes claims.
type Filter struct {
	spec    Spec
	limiter *rate.Limiter
	pending sync.WaitGroup // outcomes being recorded
	ctx     context.Context
	cancel  context.CancelFunc
}

// New returns a filter.
func New(spec Spec) *Filter {
	ctx, cancel := context.WithCancel(context.Background())
	burst := max(2, int(spec.WritesPerSecond))
	return &Filter{spec: spec, limiter: rate.NewLimiter(rate.Limit(spec.WritesPerSecond), burst), ctx: ctx, cancel: cancel}
}

// Close waits until ctx ends for outcomes that are not recorded yet, then gives up on them.
func (f *Filter) Close(ctx context.Context) {
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

// StoreKey returns the key of a claim.
func StoreKey(service, team, key string) string {
	return Prefix + service + "/" + team + "/" + url.QueryEscape(key)
}

// Claim is the right to send a call once.
type Claim struct {
	filter *Filter
	key    string
	rev    uint64
	record Record
	closed bool
}

// Do makes a claim. If the call already ran, it returns the recorded outcome instead and no claim.
func (f *Filter) Do(ctx context.Context, in Input) (*Claim, *Record, error) {
	if in.Key == "" {
		return nil, nil, result.Newf(result.KeyRequired, "")
	}
	if !f.limiter.AllowN(f.spec.Now(), 2) {
		return nil, nil, result.Newf(result.ClaimBudget, "").WithRetry(storeRetry)
	}
	c := &Claim{filter: f, key: StoreKey(in.Service, in.Team, in.Key), record: Record{
		State: Running, Nonce: rand.Text(), Owner: f.spec.Owner, Request: in.Request, At: f.spec.Now(),
	}}
	rev, err := f.write(ctx, c.key, c.record, 0)
	switch {
	case err == nil:
		c.rev = rev
		return c, nil, nil
	case errors.Is(err, kv.ErrConflict):
		return f.existing(ctx, c)
	default:
		return f.readBack(ctx, c, err)
	}
}

func (f *Filter) write(ctx context.Context, key string, r Record, prev uint64) (uint64, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return 0, fmt.Errorf("encode claim: %w", err)
	}
	return f.spec.Store.CAS(ctx, key, data, prev, 0)
}

func (f *Filter) read(ctx context.Context, key string) (Record, uint64, error) {
	var r Record
	e, err := f.spec.Store.Get(ctx, key)
	if err != nil {
		return r, 0, err
	}
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return r, 0, fmt.Errorf("decode claim: %w", err)
	}
	return r, e.Revision, nil
}

// readBack settles a write whose answer was lost: the write took effect if the stored nonce is the claim's own. As long
// as that is not known, the call is not sent.
func (f *Filter) readBack(ctx context.Context, c *Claim, cause error) (*Claim, *Record, error) {
	for try := range readBackTries {
		if try > 0 && !sleep(ctx, readBackPause) {
			break
		}
		r, rev, err := f.read(ctx, c.key)
		switch {
		case err == nil && r.Nonce == c.record.Nonce:
			c.rev = rev
			return c, nil, nil
		case err == nil:
			return f.judge(c, r)
		case errors.Is(err, kv.ErrNotFound):
			rev, err := f.write(ctx, c.key, c.record, 0)
			if err == nil {
				c.rev = rev
				return c, nil, nil
			}
		}
	}
	c.releaseLater()
	return nil, nil, result.Wrap(result.ClaimUnavailable, result.NotRun, cause).WithRetry(storeRetry)
}

// existing settles a conflict: another claim with this key was made before.
func (f *Filter) existing(ctx context.Context, c *Claim) (*Claim, *Record, error) {
	r, rev, err := f.read(ctx, c.key)
	if err != nil {
		return nil, nil, &result.Error{Code: result.ClaimUnknown, Ran: result.RunUnknown, RetryAfter: storeRetry, Err: err}
	}
	if r.Nonce == c.record.Nonce {
		c.rev = rev
		return c, nil, nil
	}
	return f.judge(c, r)
}

func (f *Filter) judge(c *Claim, r Record) (*Claim, *Record, error) {
	if r.Request != c.record.Request {
		return nil, nil, result.Newf(result.ClaimKeyReused, "")
	}
	switch r.State {
	case Done:
		return nil, &r, nil
	case Unknown:
		return nil, nil, &result.Error{Code: result.ClaimUnknown, Ran: result.RunUnknown}
	default:
		return nil, nil, &result.Error{Code: result.ClaimRunning, Ran: result.RunUnknown, RetryAfter: runningRetry}
	}
}

// Lookup returns the recorded state of a call, or nil if no claim exists.
func (f *Filter) Lookup(ctx context.Context, service, team, key string) (*Record, error) {
	r, _, err := f.read(ctx, StoreKey(service, team, key))
	if errors.Is(err, kv.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, &result.Error{Code: result.StoreUnavailable, RetryAfter: storeRetry, Err: err}
	}
	return &r, nil
}

// Release gives the claim back because the call was not sent. A repeat may then run.
func (c *Claim) Release() {
	if c.closed {
		return
	}
	c.closed = true
	c.releaseLater()
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
		_, err := c.filter.write(ctx, c.key, c.record, c.rev)
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

func (c *Claim) releaseLater() {
	c.inBackground(func(ctx context.Context) bool {
		r, rev, err := c.filter.read(ctx, c.key)
		if errors.Is(err, kv.ErrNotFound) || (err == nil && r.Nonce != c.record.Nonce) {
			return true
		}
		if err != nil {
			return false
		}
		err = c.filter.spec.Store.Delete(ctx, c.key, rev)
		return err == nil || errors.Is(err, kv.ErrNotFound)
	})
}

// inBackground repeats f until it succeeds, the time limit passes or the filter closes. The first try is immediate.
func (c *Claim) inBackground(f func(context.Context) bool) {
	c.filter.pending.Add(1)
	go func() {
		defer c.filter.pending.Done()
		ctx, cancel := context.WithTimeout(c.filter.ctx, finishLimit)
		defer cancel()
		for !f(ctx) {
			if !sleep(ctx, finishPause) {
				return
			}
		}
	}()
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
