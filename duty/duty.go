package duty

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
)

// keyPrefix precedes the names of duties in the key-value service.
const keyPrefix = "duty/"

// renewals is the number of renewals within one time to live; two may fail before the lease ends.
const renewals = 3

// Spec configures a Duty.
type Spec struct {
	Store kv.Store
	Name  string
	Owner string // incarnation of the daemon
	TTL   time.Duration
	Now   func() time.Time
}

// Duty is a daemon's claim to a named job.
type Duty struct {
	spec Spec

	mu      sync.Mutex
	lease   kv.LeaseID
	fence   uint64
	expires time.Time
}

// New returns a duty that is not held.
func New(spec Spec) *Duty { return &Duty{spec: spec} }

// Interval is the time between calls of Step.
func (d *Duty) Interval() time.Duration { return d.spec.TTL / renewals }

// Fence returns the fencing number of the term, and whether the daemon may still take itself for the holder. Each term's
// number is higher than those of the terms before it. Only the state's compare-and-swap excludes a paused holder.
func (d *Duty) Fence() (uint64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fence, d.fence != 0 && d.spec.Now().Before(d.expires)
}

// Lease returns the fencing number and the end of the lease by this process's monotonic clock; both are zero if the duty
// is not held. A holder whose acts can't be excluded by compare-and-swap stops them some time before the end.
func (d *Duty) Lease() (fence uint64, expires time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fence, d.expires
}

// Step renews the lease, or tries to take the duty if it is not held. It reports whether the daemon holds it.
func (d *Duty) Step(ctx context.Context) (bool, error) {
	if _, held := d.Fence(); held {
		return d.renew(ctx)
	}
	d.clear()
	return d.take(ctx)
}

func (d *Duty) renew(ctx context.Context) (bool, error) {
	start := d.spec.Now() // the lease runs from the service's receipt, which is later
	err := d.spec.Store.KeepAlive(ctx, d.lease)
	switch {
	case err == nil:
		d.mu.Lock()
		d.expires = start.Add(d.spec.TTL)
		d.mu.Unlock()
		return true, nil
	case errors.Is(err, kv.ErrNoLease):
		d.clear()
		return false, nil
	}
	_, held := d.Fence()
	return held, fmt.Errorf("renew duty %s: %w", d.spec.Name, err)
}

// take reads before it writes, so that a candidate costs one read an interval while the duty is held.
func (d *Duty) take(ctx context.Context) (bool, error) {
	key := keyPrefix + d.spec.Name
	if _, err := d.spec.Store.Get(ctx, key); !errors.Is(err, kv.ErrNotFound) {
		return false, err
	}
	start := d.spec.Now()
	lease, err := d.spec.Store.Grant(ctx, d.spec.TTL)
	if err != nil {
		return false, fmt.Errorf("take duty %s: %w", d.spec.Name, err)
	}
	fence, err := d.spec.Store.CAS(ctx, key, []byte(d.spec.Owner), 0, lease)
	if err != nil {
		_ = d.spec.Store.Revoke(ctx, lease) // it ends by itself too
		if errors.Is(err, kv.ErrConflict) {
			return false, nil
		}
		return false, fmt.Errorf("take duty %s: %w", d.spec.Name, err)
	}
	d.mu.Lock()
	d.lease, d.fence, d.expires = lease, fence, start.Add(d.spec.TTL)
	d.mu.Unlock()
	return true, nil
}

func (d *Duty) clear() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lease, d.fence, d.expires = 0, 0, time.Time{}
}

// Release gives the duty up, so that the next holder need not wait for the end of the lease.
func (d *Duty) Release(ctx context.Context) {
	d.mu.Lock()
	lease := d.lease
	d.mu.Unlock()
	d.clear()
	if lease != 0 {
		_ = d.spec.Store.Revoke(ctx, lease) // it ends by itself too
	}
}
