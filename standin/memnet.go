package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// errConnectionCut is the error of dialing while the link's mode is Drop or Refuse, or while the listener closes.
var errConnectionCut = errors.New("connection dropped or refused by the in-memory network")

// MemNet is an in-memory network with fault injection. Unlike sockets, its connections work under the fake clock of
// testing/synctest. It is safe for concurrent use.
type MemNet struct {
	mu          sync.Mutex
	listeners   map[string]*memListener
	mode        func(from, to string) LinkMode
	modeChanged chan struct{}              // closed when mode changes
	traffic     map[string]Traffic         // by the sender's address
	epoch       int                        // number of StallConnectionsIf calls; connections made before the last call may be stalled
	stalled     func(from, to string) bool // which of the connections made before the last such call are stalled
	lastPort    int                        // last free port that Listen assigned
	connections map[*memLink]bool
}

// Traffic counts what a host sent. A message is one write; net/rpc makes one write for each request or reply that fits into its
// buffer of 4 KB.
type Traffic struct{ Messages, Bytes int }

// NewMemNet returns a network without faults.
func NewMemNet() *MemNet {
	return &MemNet{
		listeners: map[string]*memListener{}, mode: func(_, _ string) LinkMode { return Pass }, modeChanged: make(chan struct{}),
		traffic: map[string]Traffic{}, connections: map[*memLink]bool{},
	}
}

// SetMode sets the function that returns the mode of a link, by the addresses of the host that connects and of the target. It
// applies to open and new connections; Drop and Refuse both end open ones and make dialing fail. The function is called with the
// network locked and must not call the network.
func (n *MemNet) SetMode(mode func(from, to string) LinkMode) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mode = mode
	close(n.modeChanged)
	n.modeChanged = make(chan struct{})
}

// StallConnections makes the open connections deliver nothing until they are closed, while new ones work.
func (n *MemNet) StallConnections() { n.StallConnectionsIf(func(_, _ string) bool { return true }) }

// StallConnectionsIf is StallConnections for the links for which match returns true. It replaces the match of an earlier call,
// also for connections that were open then. match is called with the network locked.
func (n *MemNet) StallConnectionsIf(match func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.epoch++
	n.stalled = match
}

// isStalled reports whether connections of earlier epochs between two addresses are stalled.
func (n *MemNet) isStalled(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stalled(from, to)
}

// Traffic returns what the host with an address has sent so far. It doesn't count what is not delivered yet.
func (n *MemNet) Traffic(addr string) Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.traffic[addr]
}

// linkMode returns the mode of a link, the current epoch and a channel that is closed when modes change.
func (n *MemNet) linkMode(from, to string) (l LinkMode, epoch int, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.mode(from, to), n.epoch, n.modeChanged
}

// Listen returns a listener at an address, which may be any string. Port 0 selects a free port. A second listener at an address
// replaces the first for new connections.
func (n *MemNet) Listen(addr string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if host, port, err := net.SplitHostPort(addr); err == nil && port == "0" {
		n.lastPort++
		addr = net.JoinHostPort(host, strconv.Itoa(n.lastPort))
	}
	l := &memListener{net: n, addr: memAddr(addr), conns: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[addr] = l
	return l
}

// DialerFrom returns a dial function for the host with an address. Dialing blocks while the link is frozen.
func (n *MemNet) DialerFrom(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		epoch, err := n.waitUntilPassable(ctx, from, to)
		if err != nil {
			return nil, err
		}
		n.mu.Lock()
		ln := n.listeners[to]
		n.mu.Unlock()
		if ln == nil {
			return nil, fmt.Errorf("dial %s on the in-memory network: no listener at this address", to)
		}
		a, b := net.Pipe()
		link := n.connect(from, to, epoch, a, b)
		client, server := newMemConn(link, a, from), newMemConn(link, b, to)
		select {
		case ln.conns <- server:
			go client.sendLoop()
			go server.sendLoop()
			return client, nil
		case <-ln.done:
			return nil, errConnectionCut
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// connect registers a connection between two ends of a pipe.
func (n *MemNet) connect(from, to string, epoch int, a, b net.Conn) *memLink {
	link := &memLink{net: n, from: from, to: to, epoch: epoch, done: make(chan struct{})}
	link.closeBoth = sync.OnceFunc(func() {
		close(link.done)
		_, _ = a.Close(), b.Close() // closing a pipe never fails
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.connections, link)
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.connections[link] = true
	return link
}

// Close closes all connections and refuses new ones.
func (n *MemNet) Close() {
	n.SetMode(func(_, _ string) LinkMode { return Refuse })
	n.mu.Lock()
	links := slices.Collect(maps.Keys(n.connections))
	n.mu.Unlock()
	for _, link := range links {
		link.closeBoth()
	}
}

// waitUntilPassable blocks while the link between two addresses is frozen, as dialing does while packets are lost. It returns
// the epoch of the new connection, or an error if the link drops or refuses connections or the context ends.
func (n *MemNet) waitUntilPassable(ctx context.Context, from, to string) (epoch int, err error) {
	for {
		l, epoch, changed := n.linkMode(from, to)
		switch l {
		case Pass:
			return epoch, nil
		case Drop, Refuse:
			return 0, errConnectionCut
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

type memAddr string

func (memAddr) Network() string  { return "mem" }
func (a memAddr) String() string { return string(a) }

type memListener struct {
	net   *MemNet
	addr  memAddr
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		if l.net.listeners[string(l.addr)] == l {
			delete(l.net.listeners, string(l.addr))
		}
	})
	return nil
}

func (l *memListener) Addr() net.Addr { return l.addr }

// sendQueueWrites is the number of writes that a connection queues before Write blocks, as with a full socket buffer.
const sendQueueWrites = 256

// memLink is the state that both ends of a connection share.
type memLink struct {
	net        *MemNet
	from, to   string
	epoch      int           // epoch of the network when the connection was made
	done       chan struct{} // closed by closeBoth
	closeBoth  func()        // closes both ends of the pipe and removes the connection from the network
	closedEnds atomic.Int32  // number of ends that Close was called on
}

// memConn is one end of a connection. Its goroutine sendLoop delivers the queued writes.
type memConn struct {
	net.Conn
	*memLink
	local     string // address of the host at this end
	sendQueue chan []byte
	closing   chan struct{} // closed when Close is called
	once      sync.Once
}

func newMemConn(link *memLink, pipe net.Conn, local string) *memConn {
	return &memConn{Conn: pipe, memLink: link, local: local, sendQueue: make(chan []byte, sendQueueWrites), closing: make(chan struct{})}
}

// Read implements net.Conn.
func (c *memConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case <-c.closing:
		return n, net.ErrClosed
	default:
	}
	if errors.Is(err, io.ErrClosedPipe) {
		err = io.EOF
	}
	return n, err
}

// Write implements net.Conn. It queues a copy of p and returns before p is delivered.
func (c *memConn) Write(p []byte) (int, error) {
	select {
	case <-c.closing:
		return 0, net.ErrClosed
	default:
	}
	select {
	case c.sendQueue <- slices.Clone(p):
		return len(p), nil
	case <-c.closing:
		return 0, net.ErrClosed
	case <-c.done:
		return 0, net.ErrClosed
	}
}

// SetWriteDeadline implements net.Conn. It fails after Close, so that a later deadline doesn't cut off the delivery of
// the queued writes.
func (c *memConn) SetWriteDeadline(t time.Time) error {
	select {
	case <-c.closing:
		return net.ErrClosed
	default:
		return c.Conn.SetWriteDeadline(t)
	}
}

// Close implements net.Conn. As with a socket, the other end still receives what was written before, and notices the close only
// when the link passes data.
func (c *memConn) Close() error {
	c.once.Do(func() {
		close(c.closing)
		_ = c.Conn.SetReadDeadline(time.Now()) // ends a pending Read
		if c.closedEnds.Add(1) == 2 {
			c.closeBoth()
		}
	})
	return nil
}

// sendLoop delivers the queued writes in order until the connection ends. It blocks while the connection is frozen or stalled.
func (c *memConn) sendLoop() {
	for {
		select {
		case p := <-c.sendQueue:
			if !c.deliver(p) {
				c.closeBoth()
				return
			}
		case <-c.closing:
			c.flush()
			return
		case <-c.done:
			return
		}
	}
}

// flush delivers what was written before Close and then closes both ends.
func (c *memConn) flush() {
	for {
		select {
		case p := <-c.sendQueue:
			if c.deliver(p) {
				continue
			}
		default:
			c.waitUntilPassable()
		}
		c.closeBoth()
		return
	}
}

// deliver waits until the connection passes data and writes p to the other end. It returns false if the connection has ended.
func (c *memConn) deliver(p []byte) bool {
	if !c.waitUntilPassable() {
		return false
	}
	c.net.countWrite(c.local, len(p))
	_, err := c.Conn.Write(p)
	return err == nil
}

// waitUntilPassable blocks while the connection is frozen or stalled. It returns false if the connection has ended.
func (c *memConn) waitUntilPassable() bool {
	for {
		l, epoch, changed := c.net.linkMode(c.from, c.to)
		switch {
		case l == Drop || l == Refuse:
			return false
		case l == Pass && (epoch == c.epoch || !c.net.isStalled(c.from, c.to)):
			return true
		}
		select {
		case <-changed:
		case <-c.done:
			return false
		}
	}
}

func (n *MemNet) countWrite(host string, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.traffic[host]
	n.traffic[host] = Traffic{t.Messages + 1, t.Bytes + bytes}
}
