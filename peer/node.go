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

	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/ledger"
	"github.com/bramleytrail/bramleytrail/poison"
	"github.com/bramleytrail/bramleytrail/quality"
	"github.com/bramleytrail/bramleytrail/rollout"
)

// ErrNoPeer says that no other daemon can be reached.
var ErrNoPeer = errors.New("peer: no peer can be reached")

// Handler reacts to what peers send.
type Handler interface {
	// OfferDocument is called with a document that is newer than the node's. It returns an error if the document must
	// not be kept or spread.
	OfferDocument(Document) error
	// KeepBills stores copies of another daemon's bills and returns this daemon's incarnation, or an error if it keeps
	// no copies.
	KeepBills(ledger.Copy) (string, error)
	// TakeEvidence takes another daemon's counts. It returns an error if this daemon does not evaluate roll-outs.
	TakeEvidence(rollout.Evidence) error
	// TakeAnswers takes another daemon's counts of answers. It returns an error if this daemon does not read ratings.
	TakeAnswers(quality.Report) error
}

// Spec configures a Node.
type Spec struct {
	Self    hostlist.Host // Addr is the address that other daemons dial
	Handler Handler
	Poison  *poison.Table
	Log     logrus.FieldLogger
	Now     func() time.Time
	// Differ makes differences between versions of documents. Nil sends every document whole.
	Differ Differ
	// Seeds are peer addresses that are used as long as no daemon is known from the host list.
	Seeds []string
	// Rand returns a random number below its argument. Nil uses the process's source.
	Rand func(n int64) int64
	// Dial connects to a peer within dialTimeout. Nil dials TCP from the address on which the node listens.
	Dial    func(ctx context.Context, addr string) (net.Conn, error)
	Traffic Traffic // may be nil
}

// Node is a daemon's part in the exchange between daemons.
type Node struct {
	spec     Spec
	listener net.Listener
	server   *rpc.Server

	mu      sync.Mutex
	docs    map[string]Document
	top     topology
	watch   *watchers
	links   map[string]*link
	conns   map[net.Conn]bool
	holders map[string]holder // by address
	started bool              // the first digest was answered
	closed  bool

	version   uint64            // number of documents taken so far
	told      map[string]uint64 // version that a peer was last told of, by address
	exchanges map[string]*exchange
	fetches   map[string]*fetch   // by document name
	expected  map[string]expected // by document name
	rejected  map[DocumentID]bool

	past  map[string][]Document            // earlier versions by document name, the newest last
	diffs map[string]map[DocumentID][]byte // differences to the newest version, by name and base
	whole map[string]bool                  // documents whose last difference could not be applied

	offering sync.Mutex // serialises documents
	wg       sync.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc
}

// New returns a node that serves peers on the listener.
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
		conns: map[net.Conn]bool{}, holders: map[string]holder{}, watch: newWatchers(spec.Self.ID, spec.Now()),
		told: map[string]uint64{}, exchanges: map[string]*exchange{}, fetches: map[string]*fetch{},
		expected: map[string]expected{}, rejected: map[DocumentID]bool{}, past: map[string][]Document{}, diffs: map[string]map[DocumentID][]byte{},
		whole: map[string]bool{}, ctx: ctx, cancel: cancel,
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
	links := maps.Clone(n.links)
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

// SetHosts updates the set of daemons and exchanges documents with peers that are new.
func (n *Node) SetHosts(hosts []hostlist.Host) {
	top := newTopology(n.spec.Self, hosts)
	n.mu.Lock()
	n.top = top
	n.watch.setHosts(n.spec.Self, hosts, n.spec.Now())
	live := map[string]bool{}
	for _, h := range hosts {
		live[h.Addr] = true
	}
	for addr, l := range n.links {
		if !live[addr] {
			delete(n.links, addr)
			delete(n.told, addr)
			go l.close()
		}
	}
	n.mu.Unlock()
	n.tellPeers("")
}

// Watching reports whether this daemon watches the platform's services for its failure domain.
func (n *Node) Watching() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.watch.watching(n.spec.Now())
}

// Peers returns the addresses of the current peers.
func (n *Node) Peers() []string {
	now := n.spec.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	down := func(addr string) bool { return n.linkLocked(addr).down(now) }
	peers := n.top.peers(n.spec.Self.Domain, down)
	if len(peers) > 0 {
		return peers
	}
	for _, addr := range n.spec.Seeds {
		if addr != n.spec.Self.Addr && !down(addr) {
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

func (n *Node) linkLocked(addr string) *link {
	l := n.links[addr]
	if l == nil {
		l = &link{addr: addr, dialer: n.spec.Dial, traffic: n.spec.Traffic, closed: n.closed}
		n.links[addr] = l
	}
	return l
}

// DialFrom returns a function that dials from the address that this daemon listens on, so that a host with several
// addresses uses the one in its settings.
func DialFrom(listen net.Addr) func(context.Context, string) (net.Conn, error) {
	var d net.Dialer
	if a, ok := listen.(*net.TCPAddr); ok && !a.IP.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: a.IP}
	}
	return func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
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
func (n *Node) Offer(d Document) error { return n.offer(d, "") }

// offer is Offer for a document that came from a peer, which is not told of it.
func (n *Node) offer(d Document, from string) error {
	n.offering.Lock()
	defer n.offering.Unlock()
	d.DocumentID = d.short()
	if !n.wants(d.DocumentID) {
		return nil
	}
	if err := n.spec.Handler.OfferDocument(d); err != nil {
		n.reject(d.DocumentID)
		return err
	}
	n.mu.Lock()
	n.keepPastLocked(d.Name)
	n.docs[d.Name] = d
	n.version++
	if from != "" {
		n.told[from] = n.version
	}
	n.mu.Unlock()
	n.tellPeers(from)
	return nil
}

// background runs f and reports whether it does; a closed node runs nothing.
func (n *Node) background(f func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.closed {
		n.wg.Go(f)
	}
	return !n.closed
}

// crashWait bounds the wait for peers to take a crash record.
const crashWait = 200 * time.Millisecond

// ReportCrash records a crash and spreads it. It waits until the peers have the record, or for crashWait, so that a caller
// that repeats its request through another host meets a daemon that knows of the crash.
func (n *Node) ReportCrash(r poison.Record) {
	n.spec.Poison.Add(r, n.spec.Now())
	told := n.spread([]poison.Record{r})
	select {
	case <-told:
	case <-time.After(crashWait):
	case <-n.ctx.Done():
	}
}

// ReportCleared spreads records of crashes of which their request was not the cause.
func (n *Node) ReportCleared(records []poison.Record) {
	if len(records) > 0 {
		n.spread(records)
	}
}

// crashAttempts is the number of calls for a crash record to one peer. The first one may meet a connection that has gone
// silent.
const crashAttempts = 2

// tellCrashes sends crash records to a peer.
func (n *Node) tellCrashes(addr string, records []poison.Record) {
	for range crashAttempts {
		err := n.link(addr).call(n.ctx, callTimeout, "Crash", CrashArgs{records}, &Empty{})
		if err == nil || n.ctx.Err() != nil {
			return
		}
		n.spec.Log.WithError(err).Debug("crash record not delivered")
	}
}

// spread sends crash records to all peers. The channel is closed when each has them or can't be reached.
func (n *Node) spread(records []poison.Record) <-chan struct{} {
	var wg sync.WaitGroup
	for _, addr := range n.Peers() {
		wg.Add(1)
		started := n.background(func() {
			defer wg.Done()
			n.tellCrashes(addr, records)
		})
		if !started {
			wg.Done()
		}
	}
	told := make(chan struct{})
	go func() { wg.Wait(); close(told) }()
	return told
}
