// Package kv defines the interface to the platform's key-value service: compare-and-swap, leases and watches.
package kv

import (
	"context"
	"errors"
	"time"
)

// Errors of a Store. Any other error, including ErrUnavailable, leaves open whether a write took effect.
var (
	ErrNotFound    = errors.New("kv: key not found")
	ErrConflict    = errors.New("kv: revision conflict")
	ErrNoLease     = errors.New("kv: lease expired or unknown")
	ErrTooLarge    = errors.New("kv: value exceeds the limit")
	ErrUnavailable = errors.New("kv: service unavailable")
)

// MaxValueBytes is the platform's limit on one value.
const MaxValueBytes = 1 << 20

// Waiter is a Store whose watches wait for as long as they are told to.
type Waiter interface {
	// WatchFor is Watch with a limit to the wait for changes; 0 asks for those that there are.
	WatchFor(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error)
}

// StaleReader is a Store with cheaper reads that may be some seconds old.
type StaleReader interface {
	// GetStale is Get of a state that the store had some seconds ago at the most.
	GetStale(ctx context.Context, key string) (Entry, error)
}

// LeaseID identifies a lease. Zero means no lease.
type LeaseID uint64

// Entry is a stored value. Revision is the store-wide revision of the entry's last write, and increases with each
// write, so it also serves as a fencing number.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"` // only in watch results
}

// Changes is the result of a watch.
type Changes struct {
	Entries  []Entry `json:"entries"`
	Revision uint64  `json:"revision"` // pass to the next Watch
	// Reset says that the store can't give every change since the requested revision, because its history was trimmed
	// or it lost writes. The entries are then the full current state of the prefix.
	Reset bool `json:"reset,omitempty"`
}

// Store is the key-value service. Each method is one counted call; a pending Watch is one call.
type Store interface {
	// Get returns the entry or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// CAS writes value if the entry's revision is prev; prev 0 requires that the key does not exist. With a lease, the
	// entry is deleted when the lease ends. It returns the new revision, ErrConflict, ErrNoLease or ErrTooLarge.
	CAS(ctx context.Context, key string, value []byte, prev uint64, lease LeaseID) (uint64, error)
	// Delete removes the entry if its revision is prev.
	Delete(ctx context.Context, key string, prev uint64) error
	// List returns one page of a range, ordered by key. Pages are read at different times: an entry that is written or
	// deleted between two of them may be seen or not.
	List(ctx context.Context, r Range) (Page, error)
	// Watch waits for changes after a revision. It may return without entries after a server-side time limit.
	Watch(ctx context.Context, prefix string, after uint64) (Changes, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive extends a lease by its time to live, or returns ErrNoLease.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its entries.
	Revoke(ctx context.Context, id LeaseID) error
}
