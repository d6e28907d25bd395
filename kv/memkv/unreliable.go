package memkv

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/pause"
)

// UnreliableSpec configures an Unreliable store. LostCall, LostReply and LateWrite are fractions of the calls, 0 to 1.
type UnreliableSpec struct {
	Seed        uint64
	MaxDelay    time.Duration // longest delay of a call, and of its reply
	LostCall    float64       // calls that don't reach the store
	LostReply   float64       // calls that take effect but return kv.ErrUnavailable
	LateWrite   float64       // writes that take effect after they returned kv.ErrUnavailable
	MaxLateness time.Duration // longest time after which a late write takes effect
}

// Unreliable forwards calls to a store and injects faults into Get, CAS, Delete and List. The faults depend only on the
// seed and the order of the calls. It is safe for concurrent use.
type Unreliable struct {
	kv.Store
	spec UnreliableSpec

	mu        sync.Mutex
	rand      *rand.Rand
	faultsOff bool
}

// NewUnreliable returns a store that forwards calls to store and injects the faults of spec.
func NewUnreliable(store kv.Store, spec UnreliableSpec) *Unreliable {
	return &Unreliable{Store: store, spec: spec, rand: rand.New(rand.NewPCG(spec.Seed, 0))}
}

// SetReliable disables the faults, or enables them again.
func (u *Unreliable) SetReliable(reliable bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faultsOff = reliable
}

type faultKind int

const (
	noFault faultKind = iota
	lostCall
	lostReply
	lateWrite
)

// drawFault chooses the fault of a call, the delays of the call and of its reply, and the delay of a late write.
func (u *Unreliable) drawFault(write bool) (kind faultKind, callDelay, replyDelay, lateness time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.faultsOff {
		return noFault, 0, 0, 0
	}
	delay := func(limit time.Duration) time.Duration { return time.Duration(u.rand.Int64N(int64(limit) + 1)) }
	callDelay, replyDelay, lateness = delay(u.spec.MaxDelay), delay(u.spec.MaxDelay), delay(u.spec.MaxLateness)
	x := u.rand.Float64()
	switch s := u.spec; {
	case x < s.LostCall:
		kind = lostCall
	case x < s.LostCall+s.LostReply:
		kind = lostReply
	case write && x < s.LostCall+s.LostReply+s.LateWrite:
		kind = lateWrite
	}
	return kind, callDelay, replyDelay, lateness
}

func sleep(ctx context.Context, d time.Duration) error {
	if d == 0 {
		return ctx.Err()
	}
	return pause.For(ctx, d)
}

// call runs op with the faults drawn for one call. op must use the context that it is given, not ctx: a call that has
// reached the store takes effect even if its caller has given up.
func (u *Unreliable) call(ctx context.Context, write bool, op func(context.Context) error) error {
	kind, callDelay, replyDelay, lateness := u.drawFault(write)
	if err := sleep(ctx, callDelay); err != nil {
		return err
	}
	detached := context.WithoutCancel(ctx)
	switch kind {
	case lostCall:
		return kv.ErrUnavailable
	case lateWrite:
		time.AfterFunc(lateness, func() { _ = op(detached) }) // the caller already has its error
		return kv.ErrUnavailable
	}
	err := op(detached)
	if waitErr := sleep(ctx, replyDelay); waitErr != nil {
		return waitErr
	}
	if kind == lostReply {
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
func (u *Unreliable) CAS(ctx context.Context, key string, value []byte, prev kv.Revision, lease kv.LeaseID) (kv.Revision, error) {
	var mu sync.Mutex
	var rev kv.Revision
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
func (u *Unreliable) Delete(ctx context.Context, key string, prev kv.Revision) error {
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
