package memkv

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
)

// Call is a kind of counted call.
type Call string

// Kinds of calls.
const (
	CallGet       Call = "get"
	CallCAS       Call = "cas"
	CallDelete    Call = "delete"
	CallList      Call = "list"
	CallWatch     Call = "watch"
	CallGrant     Call = "grant"
	CallKeepAlive Call = "keepalive"
	CallRevoke    Call = "revoke"
)

// Faults injects failures into a Store and counts its calls.
type Faults struct {
	mu          sync.Mutex
	down        bool
	delay       time.Duration
	loseReplies int    // writes
	losePrefix  string // of their keys
	holdPrefix  string
	hold        chan struct{} // replies of writes wait until it is closed
	onCall      func(Call)
	counts      map[Call]int
	broken      chan struct{} // closed when the store goes down
}

func newFaults() *Faults {
	return &Faults{counts: map[Call]int{}, broken: make(chan struct{})}
}

// SetDown makes every call fail, and ends pending watches, until it is called with false.
func (f *Faults) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if down && !f.down {
		close(f.broken)
	}
	if !down && f.down {
		f.broken = make(chan struct{})
	}
	f.down = down
}

// SetDelay makes every call wait before it takes effect.
func (f *Faults) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// LoseReplies makes the next n writes take effect and then report kv.ErrUnavailable.
func (f *Faults) LoseReplies(n int) { f.LoseRepliesOf("", n) }

// LoseRepliesOf is LoseReplies for writes of keys with a prefix.
func (f *Faults) LoseRepliesOf(prefix string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.losePrefix, f.loseReplies = prefix, n
}

// HoldReplies makes writes of keys with a prefix take effect and then wait for release before they reply.
func (f *Faults) HoldReplies(prefix string) (release func()) {
	hold := make(chan struct{})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holdPrefix, f.hold = prefix, hold
	return sync.OnceFunc(func() { close(hold) })
}

// OnCall registers a function that runs before each call takes effect.
func (f *Faults) OnCall(fn func(Call)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onCall = fn
}

// Counts returns the number of calls by kind, failed ones included.
func (f *Faults) Counts() map[Call]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[Call]int, len(f.counts))
	for k, n := range f.counts {
		out[k] = n
	}
	return out
}

func (f *Faults) before(ctx context.Context, c Call) error {
	f.mu.Lock()
	f.counts[c]++
	down, delay, onCall := f.down, f.delay, f.onCall
	f.mu.Unlock()
	if onCall != nil {
		onCall(c)
	}
	if delay > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(delay):
		}
	}
	if down {
		return kv.ErrUnavailable
	}
	return ctx.Err()
}

func (f *Faults) after(ctx context.Context, key string) error {
	f.mu.Lock()
	hold := f.hold
	if !strings.HasPrefix(key, f.holdPrefix) {
		hold = nil
	}
	f.mu.Unlock()
	if hold != nil {
		select {
		case <-hold:
		case <-ctx.Done():
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loseReplies > 0 && strings.HasPrefix(key, f.losePrefix) {
		f.loseReplies--
		return kv.ErrUnavailable
	}
	return ctx.Err()
}

func (f *Faults) brokenWatches() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.broken
}
