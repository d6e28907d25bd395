package hostlist

// Update adds, replaces and removes several hosts in one revision.
func (f *Fake) Update(put []Host, remove []string) {
	f.apply(func() {
		for _, h := range put {
			f.hosts[h.ID] = h
		}
		for _, id := range remove {
			delete(f.hosts, id)
		}
	})
}

// Snapshot returns the current list without waiting. Changes that are still delayed by SetLag are not in it.
func (f *Fake) Snapshot() List {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshotLocked()
}
