package peer

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/ledger"
	"github.com/bramleytrail/bramleytrail/poison"
	"github.com/bramleytrail/bramleytrail/quality"
	"github.com/bramleytrail/bramleytrail/rollout"
)

// ErrNoPeer is returned by Node.CopyBills if there is no other daemon that copies can be sent to.
var ErrNoPeer = errors.New("peer: no peer can be reached")

// Handler processes what other daemons send to a Node. Its methods may be called concurrently, except for
// OfferDocument.
type Handler interface {
	// OfferDocument is called, one call at a time, with a document that is newer than the node's version. If it returns
	// an error, the node neither keeps the document nor distributes it.
	OfferDocument(Document) error
	// KeepBills keeps copies of another daemon's bills and returns this daemon's incarnation, or an error if it keeps
	// no copies.
	KeepBills(ledger.Copy) (string, error)
	// TakeEvidence adds another daemon's counts of calls. It returns an error if this daemon does not evaluate rollouts.
	TakeEvidence(rollout.Evidence) error
	// TakeAnswers adds another daemon's counts of answers. It returns an error if this daemon does not read ratings.
	TakeAnswers(quality.Report) error
}

// Spec configures a Node.
type Spec struct {
	Self    hostlist.Host // this daemon; Addr is the address that other daemons dial
	Handler Handler
	Poison  *poison.Table
	Log     logrus.FieldLogger
	Now     func() time.Time
	// Differ computes differences between versions of documents. If it is nil, documents are always sent whole.
	Differ Differ
	// Seeds are the addresses of daemons to connect to as long as the host list contains no other daemon that is up.
	Seeds []string
	// Rand returns a random number in [0, n). Nil means rand.Int64N.
	Rand func(n int64) int64
	// Dial connects to a peer; its context expires after dialTimeout. Nil means DialFrom with the listener's address.
	Dial    func(ctx context.Context, addr string) (net.Conn, error)
	Traffic Traffic // receives the size of each message; may be nil
	// OnLimit is called with the reason for which a limit refused or closed a connection that another host has opened; it may be nil.
	OnLimit func(reason string)
}

// Node exchanges documents, crash records and copies of bills with the other daemons of a deployment. Its methods are
// safe for concurrent use.
type Node struct {
	spec     Spec
	listener net.Listener
	server   *rpc.Server

	mu           sync.Mutex
	docs         map[string]Document
	topology     topology
	election     *watcherElection
	links        map[string]*link
	inbound      *inbound
	copyHolders  map[string]copyHolder // by address
	bootstrapped bool                  // a peer has answered a digest, and sent its crash records with the answer
	closed       bool

	generation uint64            // number of documents accepted so far
	notified   map[string]uint64 // generation that a peer was last notified of, by address
	exchanges  map[string]*exchange
	fetches    map[string]*fetch      // by document name
	expected   map[string]expectedDoc // by document name
	rejected   map[DocumentID]bool

	history    map[string][]Document            // earlier versions by document name, oldest first
	diffs      map[string]map[DocumentID][]byte // cached differences to the newest version, by name and base
	fetchWhole map[string]bool                  // documents of which the next fetch must request the whole

	crashQueues  map[string]*crashQueue // by address of the peer
	crashLimiter *rate.Limiter

	offerMu sync.Mutex // serializes offer
	wg      sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
}

// New returns a node that serves peers on ln after Start. The node owns ln and closes it in Close.
func New(spec Spec, ln net.Listener) (*Node, error) {
	if spec.Rand == nil {
		spec.Rand = rand.Int64N
	}
	if spec.Dial == nil {
		spec.Dial = DialFrom(ln.Addr())
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		spec: spec, listener: ln, server: rpc.NewServer(), docs: map[string]Document{}, links: map[string]*link{},
		inbound: newInbound(), copyHolders: map[string]copyHolder{}, election: newWatcherElection(spec.Self.ID, spec.Now()),
		notified: map[string]uint64{}, exchanges: map[string]*exchange{}, fetches: map[string]*fetch{},
		expected: map[string]expectedDoc{}, rejected: map[DocumentID]bool{}, history: map[string][]Document{}, diffs: map[string]map[DocumentID][]byte{},
		fetchWhole: map[string]bool{}, crashQueues: map[string]*crashQueue{}, crashLimiter: newCrashLimiter(), ctx: ctx, cancel: cancel,
	}
	if err := n.server.RegisterName(serviceName, &service{n}); err != nil {
		cancel()
		return nil, fmt.Errorf("peer: register RPC service: %w", err)
	}
	return n, nil
}

// Start serves peers and exchanges digests with them in the background until Close.
func (n *Node) Start() {
	n.wg.Go(n.accept)
	n.wg.Go(n.gossip)
}

// Close closes the listener and all connections, and waits for the node's background work. Dials in progress may
// outlast it by up to dialTimeout.
func (n *Node) Close() {
	n.cancel()
	_ = n.listener.Close() // makes accept return
	n.mu.Lock()
	n.closed = true
	links := maps.Clone(n.links)
	for c := range n.inbound.conns {
		_ = c.Close() // makes the goroutine that serves the connection return
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
		slots, reason := n.inbound.add(conn)
		n.mu.Unlock()
		if reason != "" {
			n.reportLimit(reason)
		}
		if slots == nil {
			_ = conn.Close()
			continue
		}
		n.wg.Go(func() {
			c := newCodec(conn, n.spec.Traffic)
			c.slots = slots
			n.server.ServeCodec(serverCodec{c})
			if c.message != nil {
				c.message.release()
				if reason := c.message.exceeded; reason != "" {
					n.reportLimit(reason)
				}
			}
			n.mu.Lock()
			n.inbound.remove(conn)
			n.mu.Unlock()
		})
	}
}

func (n *Node) reportLimit(reason string) {
	if n.spec.OnLimit != nil {
		n.spec.OnLimit(reason)
	}
}

// SetHosts replaces the list of daemons. It closes the connections to hosts that are no longer listed and starts an
// exchange of documents with new peers.
func (n *Node) SetHosts(hosts []hostlist.Host) {
	topology := newTopology(n.spec.Self, hosts)
	n.mu.Lock()
	n.topology = topology
	n.inbound.setHosts(hosts)
	n.election.setHosts(n.spec.Self, hosts, n.spec.Now())
	live := map[string]bool{}
	for _, h := range hosts {
		live[h.Addr] = true
	}
	for addr, l := range n.links {
		if !live[addr] {
			delete(n.links, addr)
			delete(n.notified, addr)
			go l.close()
		}
	}
	n.mu.Unlock()
	n.notifyPeers("")
}

// Watching reports whether this daemon currently has to watch the platform's services for its failure domain.
func (n *Node) Watching() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.election.isWatcher(n.spec.Now())
}

// Peers returns the addresses of the daemons to exchange documents with, without those whose last connection failed
// within downPeriod. The first is the next one on the ring of the failure domain, if it has others. If the host list
// yields no peer, the seeds are returned.
func (n *Node) Peers() []string {
	now := n.spec.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	isDown := func(addr string) bool { return n.linkLocked(addr).isDown(now) }
	peers := n.topology.peers(n.spec.Self.Domain, isDown)
	if len(peers) > 0 {
		return peers
	}
	for _, addr := range n.spec.Seeds {
		if addr != n.spec.Self.Addr && !isDown(addr) {
			peers = append(peers, addr)
		}
	}
	return peers
}

func (n *Node) link(addr string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.linkLocked(addr)
}

// linkLocked returns the link to addr, and creates it if there is none. n.mu must be held.
func (n *Node) linkLocked(addr string) *link {
	l := n.links[addr]
	if l == nil {
		l = &link{addr: addr, dialFunc: n.spec.Dial, traffic: n.spec.Traffic, closed: n.closed}
		n.links[addr] = l
	}
	return l
}

// DialFrom returns a function that dials TCP with the IP address of listen as the local address, so that a host with
// several addresses uses the one in its settings. An unspecified address leaves the choice to the system.
func DialFrom(listen net.Addr) func(context.Context, string) (net.Conn, error) {
	var d net.Dialer
	if a, ok := listen.(*net.TCPAddr); ok && !a.IP.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: a.IP}
	}
	return func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
}

// Documents returns the identities of the documents that the node has, sorted by name.
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

// Document returns the node's version of the document with the given name. It reports false if it has none.
func (n *Node) Document(name string) (Document, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	d, ok := n.docs[name]
	return d, ok
}

// Offer accepts a document if it is newer than the node's version and has not been rejected before, and notifies all
// peers immediately. It returns the handler's error if the handler rejects the document, and nil if the document isn't
// newer.
func (n *Node) Offer(d Document) error { return n.offer(d, "") }

// offer is Offer for a document that came from the peer with the address from, which is not notified of it. An empty
// from means that the document came from no peer.
func (n *Node) offer(d Document, from string) error {
	n.offerMu.Lock()
	defer n.offerMu.Unlock()
	d.DocumentID = d.withShortDigest()
	if !n.wants(d.DocumentID) {
		return nil
	}
	if err := n.spec.Handler.OfferDocument(d); err != nil {
		n.markRejected(d.DocumentID)
		return err
	}
	n.mu.Lock()
	n.pushHistoryLocked(d.Name)
	n.docs[d.Name] = d
	n.generation++
	if from != "" {
		n.notified[from] = n.generation
	}
	n.mu.Unlock()
	n.notifyPeers(from)
	return nil
}

// background runs f in a goroutine that Close waits for. It reports false, and doesn't run f, if the node is closed.
func (n *Node) background(f func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.closed {
		n.wg.Go(f)
	}
	return !n.closed
}
