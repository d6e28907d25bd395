package memkv

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
)

// maxWatchWait bounds a pending watch, as the server-side limit of the platform's store does.
const maxWatchWait = 30 * time.Second

type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]bool
}

// Store implements kv.Store in memory. It is safe for concurrent use.
type Store struct {
	Faults *Faults

	mu        sync.Mutex
	entries   map[string]kv.Entry
	deleted   map[string]kv.Revision // deleted key to the revision of its deletion
	leases    map[kv.LeaseID]*lease
	leaseOf   map[string]kv.LeaseID // key to the lease that holds it
	revision  kv.Revision
	lastLease kv.LeaseID
	changed   chan struct{} // closed and replaced at each change
}

// New returns an empty store without faults.
func New() *Store {
	return &Store{
		Faults:  newFaults(),
		entries: map[string]kv.Entry{},
		deleted: map[string]kv.Revision{},
		leases:  map[kv.LeaseID]*lease{},
		leaseOf: map[string]kv.LeaseID{},
		changed: make(chan struct{}),
	}
}

// Get implements kv.Store.
func (s *Store) Get(ctx context.Context, key string) (kv.Entry, error) {
	if err := s.Faults.beforeCall(ctx, CallGet); err != nil {
		return kv.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	e, ok := s.entries[key]
	if !ok {
		return kv.Entry{}, kv.ErrNotFound
	}
	e.Value = slices.Clone(e.Value)
	return e, nil
}

// CAS implements kv.Store.
func (s *Store) CAS(ctx context.Context, key string, value []byte, prev kv.Revision, id kv.LeaseID) (kv.Revision, error) {
	return s.CASIf(ctx, kv.Condition{Key: key, Revision: prev}, key, value, prev, id)
}

// CASIf implements kv.ConditionalWriter.
func (s *Store) CASIf(ctx context.Context, c kv.Condition, key string, value []byte, prev kv.Revision, id kv.LeaseID) (kv.Revision, error) {
	if err := s.Faults.beforeCall(ctx, CallCAS); err != nil {
		return kv.Revision{}, err
	}
	rev, err := s.cas(c, key, value, prev, id)
	if err != nil {
		return kv.Revision{}, err
	}
	return rev, s.Faults.afterWrite(ctx, key)
}

func (s *Store) cas(c kv.Condition, key string, value []byte, prev kv.Revision, id kv.LeaseID) (kv.Revision, error) {
	if len(value) > kv.MaxValueBytes {
		return kv.Revision{}, kv.ErrTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if s.entries[key].Revision != prev || s.entries[c.Key].Revision != c.Revision {
		return kv.Revision{}, kv.ErrConflict
	}
	if id != 0 {
		l, ok := s.leases[id]
		if !ok {
			return kv.Revision{}, kv.ErrNoLease
		}
		l.keys[key] = true
	}
	s.setLease(key, id)
	s.revision.Number++
	s.entries[key] = kv.Entry{Key: key, Value: slices.Clone(value), Revision: s.revision}
	delete(s.deleted, key)
	s.notify()
	return s.revision, nil
}

// setLease records id as the lease of key, 0 for none, and removes key from its previous lease.
func (s *Store) setLease(key string, id kv.LeaseID) {
	if old := s.leaseOf[key]; old != id {
		if l, ok := s.leases[old]; ok {
			delete(l.keys, key)
		}
	}
	if id == 0 {
		delete(s.leaseOf, key)
		return
	}
	s.leaseOf[key] = id
}

// Delete implements kv.Store.
func (s *Store) Delete(ctx context.Context, key string, prev kv.Revision) error {
	if err := s.Faults.beforeCall(ctx, CallDelete); err != nil {
		return err
	}
	s.mu.Lock()
	s.expireLeases()
	e, ok := s.entries[key]
	if !ok {
		s.mu.Unlock()
		return kv.ErrNotFound
	}
	if e.Revision != prev {
		s.mu.Unlock()
		return kv.ErrConflict
	}
	s.remove(key)
	s.mu.Unlock()
	return s.Faults.afterWrite(ctx, key)
}

func (s *Store) remove(key string) {
	s.setLease(key, 0)
	delete(s.entries, key)
	s.revision.Number++
	s.deleted[key] = s.revision
	s.notify()
}

// List implements kv.Store.
func (s *Store) List(ctx context.Context, r kv.Range) (kv.Page, error) {
	if err := s.Faults.beforeCall(ctx, CallList); err != nil {
		return kv.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	return s.readPage(r), nil
}

func (s *Store) readPage(r kv.Range) kv.Page {
	var keys []string
	for k := range s.entries {
		if strings.HasPrefix(k, r.Prefix) && k >= r.From {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	var page kv.Page
	limit, free := r.Bounds()
	for i, k := range keys {
		e := s.entries[k]
		free -= len(k) + len(e.Value)
		if i == limit || i > 0 && free < 0 {
			page.Next = k
			break
		}
		e.Value = slices.Clone(e.Value)
		page.Entries = append(page.Entries, e)
	}
	return page
}

// entriesAfter returns the entries below prefix with a revision above after, ordered by key.
func (s *Store) entriesAfter(prefix string, after kv.Revision) []kv.Entry {
	var out []kv.Entry
	for k, e := range s.entries {
		if strings.HasPrefix(k, prefix) && e.Revision.Compare(after) > 0 {
			e.Value = slices.Clone(e.Value)
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b kv.Entry) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// Watch implements kv.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after kv.Revision) (kv.Changes, error) {
	if err := s.Faults.beforeCall(ctx, CallWatch); err != nil {
		return kv.Changes{}, err
	}
	limit := time.NewTimer(maxWatchWait)
	defer limit.Stop()
	for {
		changes, wait := s.changesAfter(prefix, after)
		if len(changes.Entries) > 0 || changes.Reset {
			return changes, nil
		}
		select {
		case <-ctx.Done():
			return kv.Changes{}, ctx.Err()
		case <-limit.C:
			return changes, nil
		case <-s.Faults.outageSignal():
			return kv.Changes{}, kv.ErrUnavailable
		case <-wait:
		}
	}
}

// changesAfter returns the current result of a watch and a channel that is closed at the next change.
func (s *Store) changesAfter(prefix string, after kv.Revision) (kv.Changes, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if after.Compare(s.revision) > 0 || !after.IsZero() && after.Era != s.revision.Era { // the store lost writes
		return kv.Changes{Entries: s.entriesAfter(prefix, kv.Revision{}), Revision: s.revision, Reset: true}, s.changed
	}
	out := s.entriesAfter(prefix, after)
	for k, rev := range s.deleted {
		if strings.HasPrefix(k, prefix) && rev.Compare(after) > 0 {
			out = append(out, kv.Entry{Key: k, Revision: rev, Deleted: true})
		}
	}
	return kv.Changes{Entries: out, Revision: s.revision}, s.changed
}

// Grant implements kv.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	if err := s.Faults.beforeCall(ctx, CallGrant); err != nil {
		return 0, err
	}
	s.mu.Lock()
	s.lastLease++
	id := s.lastLease
	s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl), keys: map[string]bool{}}
	s.mu.Unlock()
	return id, s.Faults.afterWrite(ctx, "")
}

// KeepAlive implements kv.Store.
func (s *Store) KeepAlive(ctx context.Context, id kv.LeaseID) error {
	if err := s.Faults.beforeCall(ctx, CallKeepAlive); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	l, ok := s.leases[id]
	if !ok {
		return kv.ErrNoLease
	}
	l.expires = time.Now().Add(l.ttl)
	return nil
}

// Revoke implements kv.Store.
func (s *Store) Revoke(ctx context.Context, id kv.LeaseID) error {
	if err := s.Faults.beforeCall(ctx, CallRevoke); err != nil {
		return err
	}
	s.ExpireLease(id)
	return nil
}

// ExpireLease ends a lease at once, as if its time to live had passed, and deletes its entries.
func (s *Store) ExpireLease(id kv.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
}

func (s *Store) endLease(id kv.LeaseID) {
	l, ok := s.leases[id]
	if !ok {
		return
	}
	delete(s.leases, id)
	for key := range l.keys {
		s.remove(key)
	}
}

// expireLeases ends the leases whose time to live has passed.
func (s *Store) expireLeases() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

// notify wakes pending watches.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Snapshot is a copy of a store's entries and revision.
type Snapshot struct {
	entries  map[string]kv.Entry
	revision kv.Revision
}

// Snapshot returns a copy of the current entries, for Restore.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	snap := Snapshot{entries: map[string]kv.Entry{}, revision: s.revision}
	for k, e := range s.entries {
		snap.entries[k] = e
	}
	return snap
}

// Restore resets the store to a snapshot, as happens when the platform's store recovers with older data.
func (s *Store) Restore(snap Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = map[string]kv.Entry{}
	for k, e := range snap.entries {
		s.entries[k] = e
	}
	s.deleted = map[string]kv.Revision{}
	s.revision = snap.revision
	s.notify()
}

// RestoreInNewEra is Restore that begins a new era, as the platform's store does if it reports eras. Leases are kept.
func (s *Store) RestoreInNewEra(snap Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.revision.Era + 1
	s.entries = map[string]kv.Entry{}
	for k, e := range snap.entries {
		e.Revision.Era = era
		s.entries[k] = e
	}
	s.deleted = map[string]kv.Revision{}
	s.revision = kv.Revision{Era: era, Number: snap.revision.Number}
	s.notify()
}
