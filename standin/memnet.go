package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
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
	epoch     int // connections of earlier ones are silent
}

// Traffic counts what a host sent. A message is one write; net/rpc makes one for each request and reply that fits its
// buffer of 4 KB.
type Traffic struct{ Messages, Bytes int }

// NewMemNet returns a network in which every connection passes.
func NewMemNet() *MemNet {
	return &MemNet{
		listeners: map[string]*memListener{}, mode: func(_, _ string) Link { return Pass }, changed: make(chan struct{}),
		traffic: map[string]Traffic{},
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
func (n *MemNet) Silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.epoch++
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

// Listen returns a listener at an address, which is any name.
func (n *MemNet) Listen(addr string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &memListener{net: n, addr: memAddr(addr), conns: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[addr] = l
	return l
}

// Dial returns a function that connects from an address.
func (n *MemNet) Dial(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		l, epoch, _ := n.link(from, to)
		if l == Freeze {
			<-ctx.Done()
			return nil, ctx.Err()
		} else if l != Pass {
			return nil, errCut
		}
		n.mu.Lock()
		ln := n.listeners[to]
		n.mu.Unlock()
		if ln == nil {
			return nil, fmt.Errorf("memnet: nothing listens at %s", to)
		}
		a, b := net.Pipe()
		done := make(chan struct{})
		end := sync.OnceFunc(func() { close(done); _ = a.Close(); _ = b.Close() }) // closing a pipe never fails
		client := &memConn{a, n, from, to, from, epoch, make(chan []byte, sendBuffer), done, end}
		server := &memConn{b, n, from, to, to, epoch, make(chan []byte, sendBuffer), done, end}
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

// memConn is one end of a connection.
type memConn struct {
	net.Conn
	net      *MemNet
	from, to string // of the connection
	owner    string // of this end
	epoch    int
	out      chan []byte
	done     chan struct{}
	end      func()
}

// Write takes p for sending.
func (c *memConn) Write(p []byte) (int, error) {
	select {
	case c.out <- slices.Clone(p):
		return len(p), nil
	case <-c.done:
		return 0, net.ErrClosed
	}
}

// send passes on what was written. It waits while the connection is frozen.
func (c *memConn) send() {
	for {
		select {
		case p := <-c.out:
			if !c.pass() {
				c.end()
				return
			}
			c.net.count(c.owner, len(p))
			if _, err := c.Conn.Write(p); err != nil {
				c.end()
				return
			}
		case <-c.done:
			return
		}
	}
}

// pass waits until the connection passes. It returns false if the connection has ended.
func (c *memConn) pass() bool {
	for {
		l, epoch, changed := c.net.link(c.from, c.to)
		switch {
		case l == Drop || l == Refuse:
			return false
		case l == Pass && epoch == c.epoch:
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

func (c *memConn) Close() error { c.end(); return nil }
