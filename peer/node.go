package peer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/ledger"
	"github.com/bramleytrail/bramleytrail/poison"
)

const (
	digestInterval = time.Second
	digestJitter   = 200 * time.Millisecond
	// holderTTL is the time for which a daemon that received copies of bills is told that this daemon lives.
	holderTTL = 10 * time.Minute
)

// ErrNoPeer says that no other daemon can be reached.
var ErrNoPeer = errors.New("peer: no peer can be reached")

// Handler reacts to what peers send.
type Handler interface {
	// OfferDocument is called with a document that is newer than the node's. It returns an error if the document must
	// not be kept or spread.
	OfferDocument(Document) error
	// KeepBills stores copies of another daemon's bills.
	KeepBills(ledger.Copy)
}

// Spec configures a Node.
type Spec struct {
	Self    hostlist.Host // Addr is the address that other daemons dial
	Handler Handler
	Poison  *poison.Table
	Log     logrus.FieldLogger
	Now     func() time.Time
	Traffic Traffic // may be nil
}

// Node is a daemon's part in the exchange between daemons.
type Node struct {
	spec     Spec
	listener net.Listener
	server   *rpc.Server

	mu      sync.Mutex
	docs    map[string]Document
	hosts   []hostlist.Host
	local   []member
	remote  map[string][]member
	links   map[string]*link
	fetches map[string]*flight // by document
	conns   map[net.Conn]bool
	next    int
	holders map[string]time.Time // addresses of daemons that hold copies of bills
	started bool                 // the first digest was answered
	closed  bool

	offering sync.Mutex // serialises documents
	wg       sync.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc
}

// New returns a node that serves peers on the listener.
func New(spec Spec, ln net.Listener) (*Node, error) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		spec: spec, listener: ln, server: rpc.NewServer(), docs: map[string]Document{}, links: map[string]*link{},
		fetches: map[string]*flight{},
		conns:   map[net.Conn]bool{}, holders: map[string]time.Time{}, ctx: ctx, cancel: cancel,
	}
	if err := n.server.RegisterName(serviceName, &service{n}); err != nil {
		cancel()
		return nil, fmt.Errorf("peer: %w", err)
	}
	return n, nil
}

// Start serves peers and exchanges digests until Close.
func (n *Node) Start() {
	n.wg.Go(n.accept)
	n.wg.Go(n.gossip)
}

// Close ends all connections.
func (n *Node) Close() {
	n.cancel()
	_ = n.listener.Close() // ends accept
	n.mu.Lock()
	n.closed = true
	links := n.links
	for c := range n.conns {
		_ = c.Close() // ends the connection's goroutine
	}
	n.mu.Unlock()
	for _, l := range links {
		l.close()
	}
	n.wg.Wait()
}

func (n *Node) accept() {
	for {
		conn, err := n.listener.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		if n.closed {
			n.mu.Unlock()
			_ = conn.Close()
			return
		}
		n.conns[conn] = true
		n.mu.Unlock()
		n.wg.Go(func() {
			n.server.ServeCodec(serverCodec{newCodec(conn, n.spec.Traffic)})
			n.mu.Lock()
			delete(n.conns, conn)
			n.mu.Unlock()
		})
	}
}

// SetHosts updates the set of daemons.
func (n *Node) SetHosts(hosts []hostlist.Host) {
	local, remote := candidates(n.spec.Self, hosts)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts, n.local, n.remote = hosts, local, remote
	live := map[string]bool{}
	for _, h := range hosts {
		live[h.Addr] = true
	}
	for addr, l := range n.links {
		if !live[addr] {
			delete(n.links, addr)
			go l.close()
		}
	}
}

// Peers returns the addresses of the current peers.
func (n *Node) Peers() []string {
	now := n.spec.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	return choosePeers(n.local, n.remote, n.spec.Self.Domain, func(addr string) bool { return n.linkLocked(addr).down(now) })
}

func (n *Node) link(addr string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.linkLocked(addr)
}

func (n *Node) linkLocked(addr string) *link {
	l := n.links[addr]
	if l == nil {
		l = &link{addr: addr, traffic: n.spec.Traffic}
		n.links[addr] = l
	}
	return l
}

// Documents returns the identities of the documents that the node has.
func (n *Node) Documents() []DocumentID {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]DocumentID, 0, len(n.docs))
	for _, d := range n.docs {
		out = append(out, d.DocumentID)
	}
	slices.SortFunc(out, func(a, b DocumentID) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

// Document returns the node's version of a document.
func (n *Node) Document(name string) (Document, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	d, ok := n.docs[name]
	return d, ok
}

// Offer takes a document if it is newer than the node's and the handler accepts it, and tells all peers at once.
func (n *Node) Offer(d Document) error {
	n.offering.Lock()
	defer n.offering.Unlock()
	d.DocumentID = d.short()
	if current, ok := n.Document(d.Name); ok && !d.Newer(current.DocumentID) {
		return nil
	}
	if err := n.spec.Handler.OfferDocument(d); err != nil {
		return err
	}
	n.mu.Lock()
	n.docs[d.Name] = d
	n.mu.Unlock()
	for _, addr := range n.Peers() {
		n.background(func() { n.exchange(addr) })
	}
	return nil
}

func (n *Node) background(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.closed {
		n.wg.Go(f)
	}
}

// gossip exchanges digests with one peer in turn.
func (n *Node) gossip() {
	for {
		wait := digestInterval + time.Duration(rand.Int64N(int64(2*digestJitter))) - digestJitter
		select {
		case <-n.ctx.Done():
			return
		case <-time.After(wait):
		}
		if peers := n.Peers(); len(peers) > 0 {
			n.next++
			n.exchange(peers[n.next%len(peers)])
		}
	}
}

// exchange sends the node's digest to a peer and fetches what the peer has newer.
func (n *Node) exchange(addr string) {
	n.mu.Lock()
	starting := !n.started
	n.mu.Unlock()
	var reply DigestReply
	args := DigestArgs{From: n.spec.Self.Addr, Docs: n.Documents(), Starting: starting}
	if err := n.link(addr).call(n.ctx, "Digest", args, &reply); err != nil {
		n.spec.Log.WithError(err).Debug("digest exchange failed")
		return
	}
	n.mu.Lock()
	n.started = true
	n.mu.Unlock()
	for _, r := range reply.Crashes {
		n.spec.Poison.Add(r, n.spec.Now())
	}
	n.fetchNewer(addr, reply.Docs)
}

// fetchNewer fetches the documents of which the peer has a newer version.
func (n *Node) fetchNewer(addr string, docs []DocumentID) {
	for _, id := range docs {
		if !n.needs(id) {
			continue
		}
		if err := n.fetch(addr, id); err != nil {
			n.spec.Log.WithError(err).Warn("document fetch failed")
			return
		}
	}
}

// fetch gets a document from a peer unless another fetch brings it in the meantime.
func (n *Node) fetch(addr string, id DocumentID) error {
	defer n.joinFetch(id)()
	if !n.needs(id) {
		return nil
	}
	var d Document
	if err := n.link(addr).call(n.ctx, "Fetch", FetchArgs{Name: id.Name}, &d); err != nil {
		return err
	}
	if err := n.Offer(d); err != nil {
		n.spec.Log.WithError(err).WithField("document", d.Name).Warn("document rejected")
	}
	return nil
}

// ReportCrash records a crash and spreads it.
func (n *Node) ReportCrash(r poison.Record) {
	n.spec.Poison.Add(r, n.spec.Now())
	n.spread([]poison.Record{r})
}

func (n *Node) spread(records []poison.Record) {
	for _, addr := range n.Peers() {
		n.background(func() {
			if err := n.link(addr).call(n.ctx, "Crash", CrashArgs{records}, &Empty{}); err != nil {
				n.spec.Log.WithError(err).Debug("crash record not delivered")
			}
		})
	}
}

// CopyBills implements ledger.Replicator. It prefers daemons of other failure domains, then those of other racks.
func (n *Node) CopyBills(ctx context.Context, c ledger.Copy) error {
	err := ErrNoPeer
	for _, addr := range n.copyTargets() {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err = n.link(addr).call(ctx, "CopyBills", BillsArgs{c}, &Empty{}); err == nil {
			n.mu.Lock()
			n.holders[addr] = n.spec.Now()
			n.mu.Unlock()
			return nil
		}
	}
	return err
}

// AnnounceBills implements ledger.Replicator.
func (n *Node) AnnounceBills(ctx context.Context, c ledger.Copy) {
	now := n.spec.Now()
	n.mu.Lock()
	var addrs []string
	for addr, used := range n.holders {
		if now.Sub(used) > holderTTL {
			delete(n.holders, addr)
			continue
		}
		addrs = append(addrs, addr)
	}
	n.mu.Unlock()
	for _, addr := range addrs {
		if err := n.link(addr).call(ctx, "CopyBills", BillsArgs{c}, &Empty{}); err != nil {
			n.spec.Log.WithError(err).Debug("bill announcement not delivered")
		}
	}
}

// maxCopyTargets bounds the daemons that are tried for one copy.
const maxCopyTargets = 3

func (n *Node) copyTargets() []string {
	now := n.spec.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	add := func(list []member, ok func(member) bool) {
		for _, m := range list {
			if len(out) < maxCopyTargets && ok(m) && !slices.Contains(out, m.Addr) && !n.linkLocked(m.Addr).down(now) {
				out = append(out, m.Addr)
				return
			}
		}
	}
	for _, d := range domainsAfter(n.spec.Self.Domain, n.remote) {
		add(n.remote[d], func(m member) bool { return m.State == hostlist.StateLive })
	}
	add(n.local, func(m member) bool { return m.Rack != n.spec.Self.Rack })
	add(n.local, func(member) bool { return true })
	return out
}
