package hostlist

// Change puts and removes several hosts in one revision.
func (f *Fake) Change(put []Host, remove []string) {
	f.apply(func() {
		for _, h := range put {
			f.hosts[h.ID] = h
		}
		for _, id := range remove {
			delete(f.hosts, id)
		}
	})
}

// Snapshot returns the list as readers see it now.
func (f *Fake) Snapshot() List {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot()
}
