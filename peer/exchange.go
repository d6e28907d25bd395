package peer

import (
	"errors"
	"net/rpc"
	"slices"
	"time"
)

const (
	digestInterval = time.Second
	digestJitter   = 200 * time.Millisecond
	// fetchTimeout bounds the fetch of a document, which has at most a megabyte.
	fetchTimeout = time.Second
	// maxRejected bounds the identities of rejected documents that are kept.
	maxRejected = 64
)

// exchange is the digest exchange in progress with a peer.
type exchange struct{ again bool }

// fetch is the fetch in progress of a document. Several peers may offer it; they are asked one after the other until one
// has given it.
type fetch struct{ sources map[string]DocumentID }

// expected is a document that a peer was asked to give.
type expected struct {
	DocumentID
	since time.Time
}

// gossip exchanges digests with a peer at each interval: in turn with the successor, which must hear from this daemon to
// know that it lives, and with one of the others.
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
			n.tell(peers[0])
		default:
			n.tell(peers[1+tick/2%(len(peers)-1)])
		}
	}
}

// tellPeers starts an exchange with each peer that has not been told of the newest documents.
func (n *Node) tellPeers(except string) {
	for _, addr := range n.Peers() {
		n.mu.Lock()
		version, ok := n.told[addr]
		due := addr != except && (!ok || version < n.version)
		n.mu.Unlock()
		if due {
			n.tell(addr)
		}
	}
}

// tell exchanges digests with a peer in the background. At most one exchange with a peer is in progress; another one
// follows if the documents have changed in the meantime.
func (n *Node) tell(addr string) {
	n.mu.Lock()
	if x := n.exchanges[addr]; x != nil {
		x.again = true
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
			again := x.again && err == nil && n.told[addr] < n.version
			x.again = false
			if !again {
				delete(n.exchanges, addr)
			}
			n.mu.Unlock()
			switch {
			case err != nil && n.ctx.Err() == nil:
				n.tellPeers(addr) // the peer is replaced
				return
			case !again:
				return
			}
		}
	})
}

// exchange sends the node's digest to a peer and fetches what the peer has newer.
func (n *Node) exchange(addr string) error {
	n.mu.Lock()
	starting, version := !n.started, n.version
	count := n.watch.count(n.spec.Now())
	n.mu.Unlock()
	self := n.spec.Self
	args := DigestArgs{ID: self.ID, Domain: self.Domain, From: self.Addr, Docs: n.Documents(), Watchers: count, Starting: starting}
	reply, err := callTwice[DigestReply](n.ctx, n.link(addr), digestTimeout, "Digest", args)
	if err != nil {
		n.spec.Log.WithError(err).Debug("digest exchange failed")
		return err
	}
	n.mu.Lock()
	n.started = true
	n.told[addr] = max(n.told[addr], version)
	n.mu.Unlock()
	for _, r := range reply.Crashes {
		n.spec.Poison.Add(r, n.spec.Now())
	}
	n.fetchNewer(addr, reply.Docs)
	return n.give(addr, reply)
}

// give sends the documents that a peer asked for on the connection that has just answered.
func (n *Node) give(addr string, reply *DigestReply) error {
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
		var refused rpc.ServerError
		switch {
		case errors.As(err, &refused):
			n.spec.Log.WithError(err).WithField("peer", addr).Warn("peer refused a document")
		case err != nil:
			return err
		}
	}
	return nil
}

// want returns the names of documents that a peer has newer and that no other peer is sending. If that one fails, they are
// fetched from this peer later.
func (n *Node) want(from string, docs []DocumentID) []string {
	now := n.spec.Now()
	var names []string
	var later []DocumentID
	n.mu.Lock()
	for _, id := range docs {
		if !n.wantsLocked(id) {
			continue
		}
		if e := n.expected[id.Name]; e.DocumentID == id && now.Sub(e.since) < fetchTimeout {
			later = append(later, id)
			continue
		}
		n.expected[id.Name] = expected{id, now}
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

// wants reports whether a document is newer than the node's and has not been rejected before.
func (n *Node) wants(id DocumentID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.wantsLocked(id)
}

func (n *Node) wantsLocked(id DocumentID) bool {
	current, ok := n.docs[id.Name]
	return (!ok || id.Newer(current.DocumentID)) && !n.rejected[id]
}

// reject remembers a document that the handler refused, so that peers that offer it again cost nothing.
func (n *Node) reject(id DocumentID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.rejected) >= maxRejected {
		clear(n.rejected)
	}
	n.rejected[id] = true
}

// fetchNewer fetches the documents of which the peer has a newer version.
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
		n.background(func() { n.fetchFrom(id.Name, f) })
	}
}

// fetchFrom asks the sources until none has a newer version.
func (n *Node) fetchFrom(name string, f *fetch) {
	for {
		addr, ok := n.nextSource(name, f)
		if !ok {
			return
		}
		var d Document
		args := n.fetchArgs(name)
		if err := n.link(addr).call(n.ctx, fetchTimeout, "Fetch", args, &d); err != nil {
			n.spec.Log.WithError(err).Warn("document fetch failed")
			continue // offered again with the next digest
		}
		if d.Name != name {
			n.spec.Log.WithField("peer", addr).Warn("peer sent another document than the one asked for")
			continue
		}
		d, err := n.complete(d)
		if err != nil {
			n.spec.Log.WithError(err).WithField("peer", addr).Debug("difference not applied")
			if args.Have != (DocumentID{}) {
				n.mu.Lock()
				f.sources[addr] = d.DocumentID // the next fetch asks for the whole document
				n.mu.Unlock()
			}
			continue
		}
		if err := n.offer(d, addr); err != nil {
			n.spec.Log.WithError(err).WithField("document", name).WithField("peer", addr).Warn("document rejected")
		}
	}
}

func (n *Node) nextSource(name string, f *fetch) (addr string, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for a, id := range f.sources {
		delete(f.sources, a)
		if n.wantsLocked(id) {
			return a, true
		}
	}
	delete(n.fetches, name)
	return "", false
}
