package peer

import (
	"errors"
	"net/rpc"
	"slices"
	"time"
)

const (
	digestInterval = time.Second            // average time between two digest exchanges that a daemon starts
	digestJitter   = 200 * time.Millisecond // maximum random deviation from digestInterval, either way
	// fetchTimeout limits a call that transfers one document. Documents have at most 1 MB.
	fetchTimeout = time.Second
	// maxRejected limits how many identities of rejected documents a node remembers.
	maxRejected = 64
)

// exchange is the digest exchange in progress with a peer. If repeat is set, another one follows if the peer has not
// been notified of the newest documents by then.
type exchange struct{ repeat bool }

// fetch is the fetch in progress of a document. Several peers may have a newer version; they are asked one after the
// other until one has returned it.
type fetch struct{ sources map[string]DocumentID } // version offered, by the peer's address

// expectedDoc is a document that a peer was asked to send with the Give method.
type expectedDoc struct {
	DocumentID
	requestedAt time.Time
}

// gossip starts a digest exchange with one peer at each interval until the node is closed. Every second exchange is
// with the successor, which detects from these digests that this daemon is alive; the others go to the remaining peers
// in turn.
func (n *Node) gossip() {
	for tick := 0; ; tick++ {
		wait := digestInterval + time.Duration(n.spec.Rand(int64(2*digestJitter))) - digestJitter
		select {
		case <-n.ctx.Done():
			return
		case <-time.After(wait):
		}
		peers := n.Peers()
		switch {
		case len(peers) == 0:
		case tick%2 == 0 || len(peers) == 1:
			n.startExchange(peers[0])
		default:
			n.startExchange(peers[1+tick/2%(len(peers)-1)])
		}
	}
}

// notifyPeers starts an exchange with each peer that has not been notified of the newest documents, apart from except.
func (n *Node) notifyPeers(except string) {
	for _, addr := range n.Peers() {
		n.mu.Lock()
		generation, ok := n.notified[addr]
		due := addr != except && (!ok || generation < n.generation)
		n.mu.Unlock()
		if due {
			n.startExchange(addr)
		}
	}
}

// startExchange exchanges digests with a peer in the background. At most one exchange with a peer is in progress: a
// call during an exchange makes another one follow, if the documents have changed since that exchange began.
func (n *Node) startExchange(addr string) {
	n.mu.Lock()
	if x := n.exchanges[addr]; x != nil {
		x.repeat = true
		n.mu.Unlock()
		return
	}
	x := &exchange{}
	n.exchanges[addr] = x
	n.mu.Unlock()
	n.background(func() {
		for {
			err := n.exchange(addr)
			n.mu.Lock()
			repeat := x.repeat && err == nil && n.notified[addr] < n.generation
			x.repeat = false
			if !repeat {
				delete(n.exchanges, addr)
			}
			n.mu.Unlock()
			switch {
			case err != nil && n.ctx.Err() == nil:
				n.notifyPeers(addr) // a failed peer is replaced by another, which may not have been notified yet
				return
			case !repeat:
				return
			}
		}
	})
}

// exchange sends the node's digest to a peer, fetches the documents of which the peer has newer versions, and sends the
// peer those that it asked for.
func (n *Node) exchange(addr string) error {
	n.mu.Lock()
	starting, generation := !n.bootstrapped, n.generation
	count := n.election.count(n.spec.Now())
	n.mu.Unlock()
	self := n.spec.Self
	args := DigestArgs{ID: self.ID, Domain: self.Domain, From: self.Addr, Docs: n.Documents(), Watchers: count, Starting: starting}
	reply, err := callWithRetry[DigestReply](n.ctx, n.link(addr), digestTimeout, "Digest", args)
	if err != nil {
		n.spec.Log.WithError(err).Debug("digest exchange with peer failed")
		return err
	}
	n.mu.Lock()
	n.bootstrapped = true
	n.notified[addr] = max(n.notified[addr], generation)
	n.mu.Unlock()
	for _, r := range reply.Crashes {
		n.spec.Poison.Add(r, n.spec.Now())
	}
	n.fetchNewer(addr, reply.Docs)
	return n.sendWanted(addr, reply)
}

// sendWanted sends the documents that a peer asked for in its reply to a digest, over the connection that has just
// delivered the reply. A document that the peer rejects is logged and not an error.
func (n *Node) sendWanted(addr string, reply *DigestReply) error {
	for _, name := range reply.Want {
		var have DocumentID
		if i := slices.IndexFunc(reply.Docs, func(id DocumentID) bool { return id.Name == name }); i >= 0 {
			have = reply.Docs[i]
		}
		d, ok := n.documentFor(name, have)
		if !ok {
			continue
		}
		err := n.link(addr).call(n.ctx, fetchTimeout, "Give", GiveArgs{From: n.spec.Self.Addr, Doc: d}, &Empty{})
		var remote rpc.ServerError
		switch {
		case errors.As(err, &remote):
			n.spec.Log.WithError(err).WithField("peer", addr).Warn("peer rejected a document")
		case err != nil:
			return err
		}
	}
	return nil
}

// requestNewer returns the names of the documents that the peer from should send: those of which it has a newer version
// than the node, and which no peer was asked to send within the last fetchTimeout. The others are fetched from this peer
// after fetchTimeout, unless they have arrived by then.
func (n *Node) requestNewer(from string, docs []DocumentID) []string {
	now := n.spec.Now()
	var names []string
	var later []DocumentID
	n.mu.Lock()
	for _, id := range docs {
		if !n.wantsLocked(id) {
			continue
		}
		if e := n.expected[id.Name]; e.DocumentID == id && now.Sub(e.requestedAt) < fetchTimeout {
			later = append(later, id)
			continue
		}
		n.expected[id.Name] = expectedDoc{id, now}
		names = append(names, id.Name)
	}
	n.mu.Unlock()
	if len(later) > 0 {
		n.background(func() {
			select {
			case <-time.After(fetchTimeout):
				n.fetchNewer(from, later)
			case <-n.ctx.Done():
			}
		})
	}
	return names
}

// wants reports whether a document is newer than the node's version and has not been rejected before.
func (n *Node) wants(id DocumentID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.wantsLocked(id)
}

// wantsLocked is wants for callers that hold n.mu.
func (n *Node) wantsLocked(id DocumentID) bool {
	current, ok := n.docs[id.Name]
	return (!ok || id.Newer(current.DocumentID)) && !n.rejected[id]
}

// markRejected remembers a document that the handler rejected, so that it is not fetched again from every peer that has
// it.
func (n *Node) markRejected(id DocumentID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.rejected) >= maxRejected {
		clear(n.rejected)
	}
	n.rejected[id] = true
}

// fetchNewer fetches, in the background, the documents of which the peer has a newer version. For a document that is
// already being fetched, the peer becomes a further source.
func (n *Node) fetchNewer(addr string, docs []DocumentID) {
	for _, id := range docs {
		n.mu.Lock()
		if !n.wantsLocked(id) {
			n.mu.Unlock()
			continue
		}
		if f := n.fetches[id.Name]; f != nil {
			f.sources[addr] = id
			n.mu.Unlock()
			continue
		}
		f := &fetch{sources: map[string]DocumentID{addr: id}}
		n.fetches[id.Name] = f
		n.mu.Unlock()
		n.background(func() { n.fetchDocument(id.Name, f) })
	}
}

// fetchDocument asks the sources of f one after the other until none has a newer version than the node.
func (n *Node) fetchDocument(name string, f *fetch) {
	for {
		addr, ok := n.nextSource(name, f)
		if !ok {
			return
		}
		var d Document
		args := n.fetchArgs(name)
		if err := n.link(addr).call(n.ctx, fetchTimeout, "Fetch", args, &d); err != nil {
			n.spec.Log.WithError(err).Warn("fetching a document from peer failed")
			continue // the peer offers it again with its next digest
		}
		if d.Name != name {
			n.spec.Log.WithField("peer", addr).Warn("peer sent a document with another name than requested")
			continue
		}
		d, err := n.resolveDiff(d)
		if err != nil {
			n.spec.Log.WithError(err).WithField("peer", addr).Debug("difference between document versions not applied")
			if args.Have != (DocumentID{}) {
				n.mu.Lock()
				f.sources[addr] = d.DocumentID // resolveDiff has made the next fetch request the whole document
				n.mu.Unlock()
			}
			continue
		}
		if err := n.offer(d, addr); err != nil {
			n.spec.Log.WithError(err).WithField("document", name).WithField("peer", addr).Warn("document from peer rejected")
		}
	}
}

// nextSource removes and returns a source with a newer version than the node. If there is none, the fetch ends and it
// reports false.
func (n *Node) nextSource(name string, f *fetch) (addr string, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for source, id := range f.sources {
		delete(f.sources, source)
		if n.wantsLocked(id) {
			return source, true
		}
	}
	delete(n.fetches, name)
	return "", false
}
