// Package kv defines the interface to the platform's key-value store: compare-and-swap, leases and watches.
package kv

import (
	"context"
	"errors"
	"time"
)

// Errors of a Store. After ErrUnavailable, and after any error that is not listed here, a write may or may not have
// taken effect; after the others it did not.
var (
	ErrNotFound    = errors.New("kv: key not found")
	ErrConflict    = errors.New("kv: revision conflict")
	ErrNoLease     = errors.New("kv: lease expired or unknown")
	ErrTooLarge    = errors.New("kv: value exceeds the limit")
	ErrUnavailable = errors.New("kv: service unavailable")
)

// MaxValueBytes is the platform's limit on the size of one value.
const MaxValueBytes = 1 << 20

// TimedWatcher is a Store whose callers choose how long a watch waits.
type TimedWatcher interface {
	// WatchFor is Watch with a limit on the wait for changes. With a wait of 0 it returns at once.
	WatchFor(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error)
}

// EraReporter is a Store that knows the newest era of its revisions that a response has shown.
type EraReporter interface {
	Era() uint64
}

// Condition is met while the entry of a key has a revision; the zero revision requires that the key does not exist.
type Condition struct {
	Key      string
	Revision Revision
}

// ConditionalWriter is a Store whose writes can depend on other entries than the one that is written.
type ConditionalWriter interface {
	// CASIf is CAS that also returns ErrConflict, and writes nothing, if the condition is not met.
	CASIf(ctx context.Context, c Condition, key string, value []byte, prev Revision, lease LeaseID) (Revision, error)
}

// LeaseID identifies a lease. Zero means no lease.
type LeaseID uint64

// Entry is a stored value. Revision is the store-wide revision of the entry's last write, and increases with each
// write, so its token also serves as a fencing token.
type Entry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
	Deleted  bool     `json:"deleted,omitempty"` // only in watch results
}

// Changes is the result of a watch: the entries below its prefix that were written or deleted.
type Changes struct {
	Entries  []Entry  `json:"entries"`
	Revision Revision `json:"revision"` // pass to the next Watch
	// Reset means that the store can't list every change since the requested revision, because its history was trimmed or
	// it lost writes. Entries then holds all current entries below the prefix.
	Reset bool `json:"reset,omitempty"`
}

// Store is the key-value store. Each method makes one counted call; a pending Watch is one call however long it waits.
// Implementations are safe for concurrent use.
type Store interface {
	// Get returns the entry or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// CAS writes value if the entry's revision is prev; a zero prev requires that the key does not exist. With a lease, the
	// entry is deleted when the lease ends. It returns the new revision, ErrConflict, ErrNoLease or ErrTooLarge.
	CAS(ctx context.Context, key string, value []byte, prev Revision, lease LeaseID) (Revision, error)
	// Delete removes the entry if its revision is prev; otherwise it returns ErrConflict or ErrNotFound.
	Delete(ctx context.Context, key string, prev Revision) error
	// List returns one page of a range, ordered by key. Pages are read at different times, so an entry that is written or
	// deleted between two of them may or may not be listed.
	List(ctx context.Context, r Range) (Page, error)
	// Watch waits for changes with a revision above after. It may return without entries after a server-side time limit.
	Watch(ctx context.Context, prefix string, after Revision) (Changes, error)
	// Grant creates a lease that expires after ttl unless KeepAlive extends it.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive extends a lease by its time to live, or returns ErrNoLease.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its entries.
	Revoke(ctx context.Context, id LeaseID) error
}
