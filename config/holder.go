package config

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/bramleytrail/bramleytrail/declare"
)

// Holder keeps the newest valid revision that the daemon has seen. It is safe for concurrent use; View and Revision
// take no lock.
type Holder struct {
	view atomic.Pointer[View]

	mu        sync.Mutex
	listeners []func(*View)
	first     chan struct{} // closed with the first view; nil if nothing waits for it
}

// View returns the view in force, or nil before the first one.
func (h *Holder) View() *View { return h.view.Load() }

// Await returns the view in force. It waits for the first one until ctx ends, and then returns nil.
func (h *Holder) Await(ctx context.Context) *View {
	h.mu.Lock()
	if v := h.view.Load(); v != nil {
		h.mu.Unlock()
		return v
	}
	if h.first == nil {
		h.first = make(chan struct{})
	}
	first := h.first
	h.mu.Unlock()
	select {
	case <-first:
	case <-ctx.Done():
	}
	return h.view.Load()
}

// Revision returns the revision in force without its body, or the zero value before the first one.
func (h *Holder) Revision() Revision {
	v := h.view.Load()
	if v == nil {
		return Revision{}
	}
	return v.Revision
}

// OnChange registers f, which is called with each new view in the order in which they are put in force. f must not call
// Apply, ApplyView or OnChange, since it runs under the holder's lock.
func (h *Holder) OnChange(f func(*View)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listeners = append(h.listeners, f)
}

// Apply puts rev in force if it is newer than the revision in force, and reports whether it did. The error means that
// rev is newer but invalid; see NewView.
func (h *Holder) Apply(rev Revision) (bool, error) {
	if !rev.Newer(h.Revision()) {
		return false, nil
	}
	view, err := NewView(rev)
	if err != nil {
		return false, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !rev.Newer(h.Revision()) {
		return false, nil
	}
	h.setLocked(view)
	return true, nil
}

// ApplyView puts a view in force unless its revision number is below the one in force, and reports whether it did.
// Views with the same number may differ in state that is stored apart from the revision, such as that of failure
// domains.
func (h *Holder) ApplyView(view *View) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if declare.Outdated(view.Revision.Number, h.Revision().Number) {
		return false
	}
	h.setLocked(view)
	return true
}

// setLocked puts a view in force and calls the listeners. The caller holds mu.
func (h *Holder) setLocked(view *View) {
	h.view.Store(view)
	if h.first != nil {
		close(h.first)
		h.first = nil
	}
	for _, f := range h.listeners {
		f(view)
	}
}
