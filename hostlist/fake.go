package hostlist

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"
)

// errUnavailable is returned by a Fake after SetDown(true).
var errUnavailable = errors.New("host list: service unavailable")

// maxWait is the time after which List returns without a change, like a server-side limit.
const maxWait = 30 * time.Second

// Fake is an in-process Source with fault injection, for tests and local deployments. It is safe for concurrent use.
// Its zero value is not usable; use NewFake.
type Fake struct {
	mu       sync.Mutex
	hosts    map[string]Host
	revision uint64
	down     bool
	lag      time.Duration
	changed  chan struct{} // closed and replaced at each change
}

// NewFake returns an empty list at revision 1.
func NewFake() *Fake {
	return &Fake{hosts: map[string]Host{}, revision: 1, changed: make(chan struct{})}
}

// SetLag delays each change by d before readers see it.
func (f *Fake) SetLag(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lag = d
}

// SetDown makes every call of List, including pending ones, fail until SetDown is called with false.
func (f *Fake) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
	f.notify()
}

// Put adds or replaces a host.
func (f *Fake) Put(h Host) { f.apply(func() { f.hosts[h.ID] = h }) }

// Remove removes a host.
func (f *Fake) Remove(id string) { f.apply(func() { delete(f.hosts, id) }) }

// SetState sets the state of a host if it is listed.
func (f *Fake) SetState(id string, state State) {
	f.apply(func() {
		if h, ok := f.hosts[id]; ok {
			h.State = state
			f.hosts[id] = h
		}
	})
}

// apply runs change and increments the revision, after the lag if there is one.
func (f *Fake) apply(change func()) {
	f.mu.Lock()
	lag := f.lag
	f.mu.Unlock()
	commit := func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		change()
		f.revision++
		f.notify()
	}
	if lag > 0 {
		time.AfterFunc(lag, commit)
		return
	}
	commit()
}

// notify wakes all pending calls of List. The caller holds f.mu.
func (f *Fake) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// List implements Source.
func (f *Fake) List(ctx context.Context, known uint64) (List, error) {
	limit := time.NewTimer(maxWait)
	defer limit.Stop()
	for {
		f.mu.Lock()
		list, down, wait := f.snapshotLocked(), f.down, f.changed
		f.mu.Unlock()
		if down {
			return List{}, errUnavailable
		}
		if list.Revision != known {
			return list, nil
		}
		select {
		case <-ctx.Done():
			return List{}, ctx.Err()
		case <-limit.C:
			return list, nil
		case <-wait:
		}
	}
}

// snapshotLocked returns the list, sorted by ID. The caller holds f.mu.
func (f *Fake) snapshotLocked() List {
	list := List{Revision: f.revision}
	for _, h := range f.hosts {
		list.Hosts = append(list.Hosts, h)
	}
	slices.SortFunc(list.Hosts, func(a, b Host) int { return strings.Compare(a.ID, b.ID) })
	return list
}
