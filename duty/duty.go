package duty

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
)

// keyPrefix precedes the names of duties in the key-value store.
const keyPrefix = "duty/"

// renewalsPerTTL is the number of renewals within one time to live of the lease. Two may fail before the lease expires.
const renewalsPerTTL = 3

// Spec configures a Duty.
type Spec struct {
	Store kv.Store
	Name  string
	Owner string        // incarnation of the daemon
	TTL   time.Duration // time to live of the lease
	Now   func() time.Time
}

// Duty is a daemon's candidacy for a named job, and its lease while it holds the job. AcquireOrRenew and Release must not
// be called concurrently; the other methods may be called at any time.
type Duty struct {
	spec Spec

	mu       sync.Mutex
	lease    kv.LeaseID
	acquired kv.Revision // at which the daemon acquired the duty, zero if not held
	expires  time.Time
}

// New returns a duty that is not held.
func New(spec Spec) *Duty { return &Duty{spec: spec} }

// RenewInterval returns the time between calls of AcquireOrRenew.
func (d *Duty) RenewInterval() time.Duration { return d.spec.TTL / renewalsPerTTL }

// Fence returns the fencing token of the term, and whether the lease has not expired yet by the local clock. Each term's
// token is higher than those of earlier terms. A true result does not exclude a newer holder, since this daemon may be
// paused right after the check; only the compare-and-swap of State does.
func (d *Duty) Fence() (uint64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.acquired.Token(), !d.acquired.IsZero() && d.spec.Now().Before(d.expires)
}

// Lease returns the fencing token and the expiry of the lease by this process's monotonic clock; both are zero if the duty
// is not held. A holder whose actions are not protected by compare-and-swap must stop them some time before the expiry.
func (d *Duty) Lease() (fence uint64, expires time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.acquired.Token(), d.expires
}

// AcquireOrRenew renews the lease, or tries to acquire the duty if the daemon does not hold it. It reports whether the
// daemon holds the duty, which it may even after an error.
func (d *Duty) AcquireOrRenew(ctx context.Context) (bool, error) {
	if _, held := d.Fence(); held {
		return d.renew(ctx)
	}
	d.clear()
	return d.acquire(ctx)
}

func (d *Duty) renew(ctx context.Context) (bool, error) {
	start := d.spec.Now() // the store extends the lease when it receives the request, which is later
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
	return held, fmt.Errorf("renew lease of duty %s: %w", d.spec.Name, err)
}

// acquire reads the key before it writes, so that a candidate costs only one read per interval while the duty is held.
func (d *Duty) acquire(ctx context.Context) (bool, error) {
	key := keyPrefix + d.spec.Name
	if _, err := d.spec.Store.Get(ctx, key); !errors.Is(err, kv.ErrNotFound) {
		return false, err
	}
	start := d.spec.Now()
	lease, err := d.spec.Store.Grant(ctx, d.spec.TTL)
	if err != nil {
		return false, fmt.Errorf("grant lease for duty %s: %w", d.spec.Name, err)
	}
	acquired, err := d.spec.Store.CAS(ctx, key, []byte(d.spec.Owner), kv.Revision{}, lease)
	if err != nil {
		_ = d.spec.Store.Revoke(ctx, lease) // otherwise it expires
		if errors.Is(err, kv.ErrConflict) {
			return false, nil
		}
		return false, fmt.Errorf("acquire duty %s: %w", d.spec.Name, err)
	}
	d.mu.Lock()
	d.lease, d.acquired, d.expires = lease, acquired, start.Add(d.spec.TTL)
	d.mu.Unlock()
	return true, nil
}

func (d *Duty) clear() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lease, d.acquired, d.expires = 0, kv.Revision{}, time.Time{}
}

// Release gives up the duty and revokes its lease, so that the next holder need not wait for the lease to expire. If the
// store can't be reached, the lease expires at the end of its TTL.
func (d *Duty) Release(ctx context.Context) {
	d.mu.Lock()
	lease := d.lease
	d.mu.Unlock()
	d.clear()
	if lease != 0 {
		_ = d.spec.Store.Revoke(ctx, lease) // otherwise it expires
	}
}
