package memkv

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
)

// Call is the kind of a call that Faults counts.
type Call string

// Kinds of calls, one for each method of kv.Store.
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

// Faults injects failures into a Store and counts its calls. It is safe for concurrent use.
type Faults struct {
	mu          sync.Mutex
	down        bool
	delay       time.Duration
	loseReplies int           // number of writes whose replies are still to be lost
	losePrefix  string        // prefix of their keys
	gatePrefix  string        // prefix of the keys whose writes wait for replyGate
	replyGate   chan struct{} // replies of writes are held until it is closed
	onCall      func(Call)
	counts      map[Call]int
	outage      chan struct{} // closed when the store goes down
}

func newFaults() *Faults {
	return &Faults{counts: map[Call]int{}, outage: make(chan struct{})}
}

// SetDown makes every call fail with kv.ErrUnavailable, and ends pending watches, until it is called with false.
func (f *Faults) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if down && !f.down {
		close(f.outage)
	}
	if !down && f.down {
		f.outage = make(chan struct{})
	}
	f.down = down
}

// SetDelay makes every call wait before it takes effect.
func (f *Faults) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// LoseReplies makes the next n writes take effect and then return kv.ErrUnavailable, as if their replies were lost.
func (f *Faults) LoseReplies(n int) { f.LoseRepliesOf("", n) }

// LoseRepliesOf is LoseReplies for writes to keys with the given prefix. It replaces an earlier setting.
func (f *Faults) LoseRepliesOf(prefix string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.losePrefix, f.loseReplies = prefix, n
}

// HoldReplies makes writes to keys with the given prefix take effect but delays their replies until release is called.
func (f *Faults) HoldReplies(prefix string) (release func()) {
	replyGate := make(chan struct{})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gatePrefix, f.replyGate = prefix, replyGate
	return sync.OnceFunc(func() { close(replyGate) })
}

// OnCall registers a function that runs before each call takes effect. It replaces an earlier one.
func (f *Faults) OnCall(fn func(Call)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onCall = fn
}

// Counts returns the number of calls by kind, including failed ones.
func (f *Faults) Counts() map[Call]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[Call]int, len(f.counts))
	for k, n := range f.counts {
		out[k] = n
	}
	return out
}

// beforeCall counts a call, delays it and returns the error with which it fails before it takes effect, or nil.
func (f *Faults) beforeCall(ctx context.Context, c Call) error {
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

// afterWrite holds or loses the reply of a write that has taken effect.
func (f *Faults) afterWrite(ctx context.Context, key string) error {
	f.mu.Lock()
	replyGate := f.replyGate
	if !strings.HasPrefix(key, f.gatePrefix) {
		replyGate = nil
	}
	f.mu.Unlock()
	if replyGate != nil {
		select {
		case <-replyGate:
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

// outageSignal returns a channel that is closed when the store goes down.
func (f *Faults) outageSignal() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outage
}
