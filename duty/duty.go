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
	Key   string        // of the lease's entry in the store; keyPrefix and Name if empty
	Owner string        // incarnation of the daemon
	TTL   time.Duration // time to live of the lease
	// Now returns the time by which the lease expires. A holder whose actions are not protected by compare-and-swap needs BootTime.
	Now func() time.Time
}

// Duty is a daemon's candidacy for a named job, and its lease while it holds the job. AcquireOrRenew and Release must not
// be called concurrently; the other methods may be called at any time.
type Duty struct {
	spec Spec

	mu       sync.Mutex
	lease    kv.LeaseID
	revision kv.Revision // at which the daemon acquired the duty, zero if not held
	expires  time.Time
	// acquired is the time at which this daemon learned that it holds the duty.
	acquired time.Time
}

// New returns a duty that is not held.
func New(spec Spec) *Duty {
	if spec.Key == "" {
		spec.Key = keyPrefix + spec.Name
	}
	return &Duty{spec: spec}
}

// eraShift is the number of bits of a token below its era.
const eraShift = 40

// Era returns the era of the store in which a token was acquired.
func Era(token uint64) uint64 { return token >> eraShift }

// RenewInterval returns the time between calls of AcquireOrRenew.
func (d *Duty) RenewInterval() time.Duration { return d.spec.TTL / renewalsPerTTL }

// Fence returns the fencing token of the term, and whether the lease has not expired yet by the local clock. Each term's
// token is higher than those of earlier terms. A true result does not exclude a newer holder, since this daemon may be
// paused right after the check; only the compare-and-swap of State does.
func (d *Duty) Fence() (uint64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revision.Token(), !d.revision.IsZero() && d.spec.Now().Before(d.expires)
}

// Lease returns the fencing token and the expiry of the lease by this process's monotonic clock; both are zero if the duty
// is not held. A holder whose actions are not protected by compare-and-swap must stop them some time before the expiry.
func (d *Duty) Lease() (fence uint64, expires time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revision.Token(), d.expires
}

// Term returns what Term.Check needs to know of the lease: the token, the time of the acquisition and the expiry. It is zero if
// the duty is not held.
func (d *Duty) Term() Term {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Term{Token: d.revision.Token(), Acquired: d.acquired, Expires: d.expires}
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
	if _, err := d.spec.Store.Get(ctx, d.spec.Key); !errors.Is(err, kv.ErrNotFound) {
		return false, err
	}
	start := d.spec.Now()
	lease, err := d.spec.Store.Grant(ctx, d.spec.TTL)
	if err != nil {
		return false, fmt.Errorf("grant lease for duty %s: %w", d.spec.Name, err)
	}
	revision, err := d.spec.Store.CAS(ctx, d.spec.Key, []byte(d.spec.Owner), kv.Revision{}, lease)
	if err != nil {
		_ = d.spec.Store.Revoke(ctx, lease) // otherwise it expires
		if errors.Is(err, kv.ErrConflict) {
			return false, nil
		}
		return false, fmt.Errorf("acquire duty %s: %w", d.spec.Name, err)
	}
	d.mu.Lock()
	d.lease, d.revision, d.expires, d.acquired = lease, revision, start.Add(d.spec.TTL), d.spec.Now()
	d.mu.Unlock()
	return true, nil
}

func (d *Duty) clear() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lease, d.revision, d.expires, d.acquired = 0, kv.Revision{}, time.Time{}, time.Time{}
}

// Drop gives up the duty without a call of the store. It is for a lease of an earlier era of the store, whose ID may now be that
// of another daemon's lease.
func (d *Duty) Drop() { d.clear() }

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
