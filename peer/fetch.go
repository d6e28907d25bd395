package peer

import "time"

// fetchHedge is the time after which a fetch no longer waits for another one of the same document. The other peer may
// have gone silent, which costs callTimeout, while the host list has to reach every daemon within 3 s.
const fetchHedge = 250 * time.Millisecond

// flight is a fetch in progress.
type flight struct {
	id   DocumentID
	done chan struct{}
}

// needs reports whether id is newer than the node's version of the document.
func (n *Node) needs(id DocumentID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.needsLocked(id)
}

// joinFetch waits while a fetch of the same or a newer version is in progress, at most for fetchHedge. Several peers
// announce a new document at the same time, and without the wait it would be fetched from each of them. The caller must
// call the returned function when its own fetch has ended.
func (n *Node) joinFetch(id DocumentID) (end func()) {
	hedge := time.NewTimer(fetchHedge)
	defer hedge.Stop()
	for {
		n.mu.Lock()
		if !n.needsLocked(id) {
			n.mu.Unlock()
			return func() {}
		}
		other := n.fetches[id.Name]
		if other == nil || id.Newer(other.id) {
			own := &flight{id, make(chan struct{})}
			n.fetches[id.Name] = own
			n.mu.Unlock()
			return func() { n.endFetch(own) }
		}
		n.mu.Unlock()
		select {
		case <-other.done:
		case <-hedge.C:
			return func() {}
		case <-n.ctx.Done():
			return func() {}
		}
	}
}

func (n *Node) needsLocked(id DocumentID) bool {
	current, ok := n.docs[id.Name]
	return !ok || id.Newer(current.DocumentID)
}

func (n *Node) endFetch(f *flight) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.fetches[f.id.Name] == f {
		delete(n.fetches, f.id.Name)
	}
	close(f.done)
}
