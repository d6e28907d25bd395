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

// errCut is the error of a connection that a MemNet dropped or refused.
var errCut = errors.New("memnet: connection cut")

// MemNet is a network in memory. Its connections work under the fake clock of testing/synctest, where sockets do not.
type MemNet struct {
	mu        sync.Mutex
	listeners map[string]*memListener
	mode      func(from, to string) Link
	changed   chan struct{} // closed when mode changes
	traffic   map[string]Traffic
	epoch     int // connections of earlier ones are silent if silent says so
	silent    func(from, to string) bool
	port      int // last one that was given out
	wires     map[*wire]bool
}

// Traffic counts what a host sent. A message is one write; net/rpc makes one for each request and reply that fits its
// buffer of 4 KB.
type Traffic struct{ Messages, Bytes int }

// NewMemNet returns a network in which every connection passes.
func NewMemNet() *MemNet {
	return &MemNet{
		listeners: map[string]*memListener{}, mode: func(_, _ string) Link { return Pass }, changed: make(chan struct{}),
		traffic: map[string]Traffic{}, wires: map[*wire]bool{},
	}
}

// SetMode sets how connections are treated, by the addresses of the host that made them and of their target.
func (n *MemNet) SetMode(mode func(from, to string) Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mode = mode
	close(n.changed)
	n.changed = make(chan struct{})
}

// Silence makes the open connections go silent for good, while new ones work.
func (n *MemNet) Silence() { n.SilenceIf(func(_, _ string) bool { return true }) }

// SilenceIf is Silence for connections between the addresses for which match is true. It replaces an earlier match.
func (n *MemNet) SilenceIf(match func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.epoch++
	n.silent = match
}

// isSilent reports whether earlier connections between two addresses are silent.
func (n *MemNet) isSilent(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.silent(from, to)
}

// Traffic returns what a host has sent so far.
func (n *MemNet) Traffic(addr string) Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.traffic[addr]
}

func (n *MemNet) link(from, to string) (l Link, epoch int, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.mode(from, to), n.epoch, n.changed
}

// Listen returns a listener at an address, which is any name. Port 0 stands for a free one.
func (n *MemNet) Listen(addr string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if host, port, err := net.SplitHostPort(addr); err == nil && port == "0" {
		n.port++
		addr = net.JoinHostPort(host, strconv.Itoa(n.port))
	}
	l := &memListener{net: n, addr: memAddr(addr), conns: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[addr] = l
	return l
}

// Dial returns a function that connects from an address.
func (n *MemNet) Dial(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		epoch, err := n.waitLink(ctx, from, to)
		if err != nil {
			return nil, err
		}
		n.mu.Lock()
		ln := n.listeners[to]
		n.mu.Unlock()
		if ln == nil {
			return nil, fmt.Errorf("memnet: nothing listens at %s", to)
		}
		a, b := net.Pipe()
		w := n.connect(from, to, epoch, a, b)
		client, server := newMemConn(w, a, from), newMemConn(w, b, to)
		select {
		case ln.conns <- server:
			go client.send()
			go server.send()
			return client, nil
		case <-ln.done:
			return nil, errCut
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// connect adds a connection between two ends.
func (n *MemNet) connect(from, to string, epoch int, a, b net.Conn) *wire {
	w := &wire{net: n, from: from, to: to, epoch: epoch, done: make(chan struct{})}
	w.end = sync.OnceFunc(func() {
		close(w.done)
		_, _ = a.Close(), b.Close() // closing a pipe never fails
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.wires, w)
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.wires[w] = true
	return w
}

// Close ends all connections and refuses new ones.
func (n *MemNet) Close() {
	n.SetMode(func(_, _ string) Link { return Refuse })
	n.mu.Lock()
	open := slices.Collect(maps.Keys(n.wires))
	n.mu.Unlock()
	for _, w := range open {
		w.end()
	}
}

// waitLink waits while the link between two addresses is frozen, as connecting does while packets are lost.
func (n *MemNet) waitLink(ctx context.Context, from, to string) (epoch int, err error) {
	for {
		l, epoch, changed := n.link(from, to)
		switch l {
		case Pass:
			return epoch, nil
		case Drop, Refuse:
			return 0, errCut
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

// sendBuffer is the number of writes that a connection takes before it blocks, as a socket's buffer does.
const sendBuffer = 256

// wire is what both ends of a connection share.
type wire struct {
	net      *MemNet
	from, to string
	epoch    int
	done     chan struct{} // closed when the connection has ended at both ends
	end      func()
	closed   atomic.Int32 // ends that were closed
}

// memConn is one end of a connection.
type memConn struct {
	net.Conn
	*wire
	owner   string
	out     chan []byte
	closing chan struct{} // closed by Close
	once    sync.Once
}

func newMemConn(w *wire, pipe net.Conn, owner string) *memConn {
	return &memConn{Conn: pipe, wire: w, owner: owner, out: make(chan []byte, sendBuffer), closing: make(chan struct{})}
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

// Write takes p for sending.
func (c *memConn) Write(p []byte) (int, error) {
	select {
	case <-c.closing:
		return 0, net.ErrClosed
	default:
	}
	select {
	case c.out <- slices.Clone(p):
		return len(p), nil
	case <-c.closing:
		return 0, net.ErrClosed
	case <-c.done:
		return 0, net.ErrClosed
	}
}

// SetWriteDeadline implements net.Conn. It does not apply to what is still sent after Close.
func (c *memConn) SetWriteDeadline(t time.Time) error {
	select {
	case <-c.closing:
		return net.ErrClosed
	default:
		return c.Conn.SetWriteDeadline(t)
	}
}

// Close implements net.Conn. As with a socket, the other end still receives what was written before, and learns of the
// end only if the connection passes.
func (c *memConn) Close() error {
	c.once.Do(func() {
		close(c.closing)
		_ = c.Conn.SetReadDeadline(time.Now()) // ends a pending Read
		if c.closed.Add(1) == 2 {
			c.end()
		}
	})
	return nil
}

// send passes on what was written. It waits while the connection is frozen.
func (c *memConn) send() {
	for {
		select {
		case p := <-c.out:
			if !c.deliver(p) {
				c.end()
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

// flush delivers what was written before Close and ends the connection.
func (c *memConn) flush() {
	for {
		select {
		case p := <-c.out:
			if c.deliver(p) {
				continue
			}
		default:
			c.pass()
		}
		c.end()
		return
	}
}

// deliver waits until the connection passes and hands p over. It returns false if the connection has ended.
func (c *memConn) deliver(p []byte) bool {
	if !c.pass() {
		return false
	}
	c.net.count(c.owner, len(p))
	_, err := c.Conn.Write(p)
	return err == nil
}

// pass waits until the connection passes. It returns false if the connection has ended.
func (c *memConn) pass() bool {
	for {
		l, epoch, changed := c.net.link(c.from, c.to)
		switch {
		case l == Drop || l == Refuse:
			return false
		case l == Pass && (epoch == c.epoch || !c.net.isSilent(c.from, c.to)):
			return true
		}
		select {
		case <-changed:
		case <-c.done:
			return false
		}
	}
}

func (n *MemNet) count(owner string, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.traffic[owner]
	n.traffic[owner] = Traffic{t.Messages + 1, t.Bytes + bytes}
}
