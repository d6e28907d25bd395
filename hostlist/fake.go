package hostlist

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"
)

// errDown is returned by a Fake that is down.
var errDown = errors.New("host list: service unavailable")

// waitLimit bounds a pending List, as a server-side limit does.
const waitLimit = 30 * time.Second

// Fake is an in-process Source with fault injection. Its zero value is not usable.
type Fake struct {
	mu       sync.Mutex
	hosts    map[string]Host
	revision uint64
	down     bool
	lag      time.Duration
	changed  chan struct{}
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

// SetDown makes every call fail until it is called with false.
func (f *Fake) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
	f.wake()
}

// Put adds or replaces a host.
func (f *Fake) Put(h Host) { f.apply(func() { f.hosts[h.ID] = h }) }

// Remove removes a host.
func (f *Fake) Remove(id string) { f.apply(func() { delete(f.hosts, id) }) }

// SetState changes a host's state if the host is listed.
func (f *Fake) SetState(id string, state State) {
	f.apply(func() {
		if h, ok := f.hosts[id]; ok {
			h.State = state
			f.hosts[id] = h
		}
	})
}

func (f *Fake) apply(change func()) {
	f.mu.Lock()
	lag := f.lag
	f.mu.Unlock()
	commit := func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		change()
		f.revision++
		f.wake()
	}
	if lag > 0 {
		time.AfterFunc(lag, commit)
		return
	}
	commit()
}

func (f *Fake) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// List implements Source.
func (f *Fake) List(ctx context.Context, known uint64) (List, error) {
	limit := time.NewTimer(waitLimit)
	defer limit.Stop()
	for {
		f.mu.Lock()
		list, down, wait := f.snapshot(), f.down, f.changed
		f.mu.Unlock()
		if down {
			return List{}, errDown
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

func (f *Fake) snapshot() List {
	list := List{Revision: f.revision}
	for _, h := range f.hosts {
		list.Hosts = append(list.Hosts, h)
	}
	slices.SortFunc(list.Hosts, func(a, b Host) int { return strings.Compare(a.ID, b.ID) })
	return list
}
