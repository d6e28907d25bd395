package config

import (
	"sync"
	"sync/atomic"
)

// Holder keeps the newest valid revision that the daemon has seen. Readers take no lock.
type Holder struct {
	view atomic.Pointer[View]

	mu        sync.Mutex
	listeners []func(*View)
}

// View returns the revision in force, or nil before the first one.
func (h *Holder) View() *View { return h.view.Load() }

// Revision returns the revision in force without its body, or the zero value before the first one.
func (h *Holder) Revision() Revision {
	v := h.view.Load()
	if v == nil {
		return Revision{}
	}
	return v.Revision
}

// OnChange registers f, which is called with each new view in order.
func (h *Holder) OnChange(f func(*View)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listeners = append(h.listeners, f)
}

// Offer puts rev in force if it is newer than the one in force and passes the check. It reports whether it did.
func (h *Holder) Offer(rev Revision) (bool, error) {
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
	h.put(view)
	return true, nil
}

// Put puts a view in force unless its revision number is below the one in force. It reports whether it did. Two views
// with the same number differ in what is kept beside the revision, such as the state of failure domains.
func (h *Holder) Put(view *View) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if view.Revision.Number < h.Revision().Number {
		return false
	}
	h.put(view)
	return true
}

func (h *Holder) put(view *View) {
	h.view.Store(view)
	for _, f := range h.listeners {
		f(view)
	}
}
