package memkv

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/pause"
)

// UnreliableSpec configures an Unreliable store. Lost, LostReply and Late are parts of the calls, 0 to 1.
type UnreliableSpec struct {
	Seed      uint64
	MaxDelay  time.Duration // of a call, and again of its reply
	Lost      float64       // calls that don't reach the store
	LostReply float64       // calls that take effect although they report kv.ErrUnavailable
	Late      float64       // writes that take effect up to LateBy after they reported kv.ErrUnavailable
	LateBy    time.Duration
}

// Unreliable passes calls on to a store and injects faults that depend on its seed and on the order of the calls only.
type Unreliable struct {
	kv.Store
	spec UnreliableSpec

	mu   sync.Mutex
	rand *rand.Rand
	off  bool
}

// NewUnreliable wraps a store.
func NewUnreliable(store kv.Store, spec UnreliableSpec) *Unreliable {
	return &Unreliable{Store: store, spec: spec, rand: rand.New(rand.NewPCG(spec.Seed, 0))}
}

// SetReliable ends the faults, or starts them again.
func (u *Unreliable) SetReliable(reliable bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.off = reliable
}

type fate int

const (
	fateNone fate = iota
	fateLost
	fateLostReply
	fateLate
)

// draw decides what happens to a call.
func (u *Unreliable) draw(write bool) (f fate, before, after, late time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.off {
		return fateNone, 0, 0, 0
	}
	delay := func(limit time.Duration) time.Duration { return time.Duration(u.rand.Int64N(int64(limit) + 1)) }
	before, after, late = delay(u.spec.MaxDelay), delay(u.spec.MaxDelay), delay(u.spec.LateBy)
	x := u.rand.Float64()
	switch s := u.spec; {
	case x < s.Lost:
		f = fateLost
	case x < s.Lost+s.LostReply:
		f = fateLostReply
	case write && x < s.Lost+s.LostReply+s.Late:
		f = fateLate
	}
	return f, before, after, late
}

func wait(ctx context.Context, d time.Duration) error {
	if d == 0 {
		return ctx.Err()
	}
	return pause.For(ctx, d)
}

// call runs f under the fate of one call. f must not depend on ctx: a call that reached the store takes effect even if
// its sender has given up.
func (u *Unreliable) call(ctx context.Context, write bool, f func(context.Context) error) error {
	what, before, after, late := u.draw(write)
	if err := wait(ctx, before); err != nil {
		return err
	}
	detached := context.WithoutCancel(ctx)
	switch what {
	case fateLost:
		return kv.ErrUnavailable
	case fateLate:
		time.AfterFunc(late, func() { _ = f(detached) }) // nobody waits for the outcome
		return kv.ErrUnavailable
	}
	err := f(detached)
	if waitErr := wait(ctx, after); waitErr != nil {
		return waitErr
	}
	if what == fateLostReply {
		return kv.ErrUnavailable
	}
	return err
}

// Get implements kv.Store.
func (u *Unreliable) Get(ctx context.Context, key string) (e kv.Entry, err error) {
	err = u.call(ctx, false, func(ctx context.Context) error {
		e, err = u.Store.Get(ctx, key)
		return err
	})
	return e, err
}

// CAS implements kv.Store.
func (u *Unreliable) CAS(ctx context.Context, key string, value []byte, prev uint64, lease kv.LeaseID) (uint64, error) {
	var mu sync.Mutex
	var rev uint64
	err := u.call(ctx, true, func(ctx context.Context) error {
		r, err := u.Store.CAS(ctx, key, value, prev, lease)
		mu.Lock()
		defer mu.Unlock()
		rev = r
		return err
	})
	mu.Lock()
	defer mu.Unlock()
	return rev, err
}

// Delete implements kv.Store.
func (u *Unreliable) Delete(ctx context.Context, key string, prev uint64) error {
	return u.call(ctx, true, func(ctx context.Context) error { return u.Store.Delete(ctx, key, prev) })
}

// List implements kv.Store.
func (u *Unreliable) List(ctx context.Context, r kv.Range) (out kv.Page, err error) {
	err = u.call(ctx, false, func(ctx context.Context) error {
		out, err = u.Store.List(ctx, r)
		return err
	})
	return out, err
}
