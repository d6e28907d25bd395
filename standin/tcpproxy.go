package standin

import (
	"errors"
	"fmt"
	"net"
	"sync"
)

// LinkMode is how a TCPProxy or MemNet treats the connections from one address.
type LinkMode int

// Modes of a link.
const (
	Pass   LinkMode = iota // connections work
	Drop                   // open connections are closed, and new ones are closed after they are accepted
	Refuse                 // open and new connections are reset
	Freeze                 // open and new connections stay open but deliver nothing
)

// errProxyWithoutTarget means that a client connected before SetTarget was called.
var errProxyWithoutTarget = errors.New("TCP proxy has no target address yet")

// TCPProxy forwards TCP connections to a target and injects network faults. It distinguishes clients by their IP address, so that
// one proxy in front of a daemon can partition the daemon from some hosts only. It is safe for concurrent use.
type TCPProxy struct {
	Addr string // address that the proxy listens on

	ln          net.Listener
	mu          sync.Mutex
	target      string
	mode        func(ip string) LinkMode
	connections map[*proxiedConn]bool
	connected   int // connections forwarded to a target so far
	closed      bool
	wg          sync.WaitGroup
}

// proxiedConn is a client's connection and its counterpart to the target. The proxy's lock guards all but the connections.
type proxiedConn struct {
	clientIP string
	client   *net.TCPConn
	server   *net.TCPConn
	unfrozen chan struct{} // closed while data may pass; replaced by an open channel when the connection is frozen
	frozen   bool
	stalled  bool // frozen until it is closed
	closed   bool
}

// NewTCPProxy starts a proxy that listens on addr; 127.0.0.1:0 selects a free port. Connections are closed until SetTarget is
// called. The caller must call Close.
func NewTCPProxy(addr string) (*TCPProxy, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("start a TCP proxy: %w", err)
	}
	p := &TCPProxy{Addr: ln.Addr().String(), ln: ln, mode: func(string) LinkMode { return Pass }, connections: map[*proxiedConn]bool{}}
	p.wg.Go(p.accept)
	return p, nil
}

// SetTarget sets the address to which new connections are forwarded.
func (p *TCPProxy) SetTarget(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = addr
}

// SetMode sets the function that returns the mode for a client's IP address, and applies it to open and new connections. The
// function is called with the proxy locked and must not call the proxy.
func (p *TCPProxy) SetMode(mode func(ip string) LinkMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	for c := range p.connections {
		p.apply(c, mode(c.clientIP))
	}
}

// SetAll sets the same mode for all clients.
func (p *TCPProxy) SetAll(l LinkMode) { p.SetMode(func(string) LinkMode { return l }) }

// StallConnections makes the open connections deliver nothing until they are closed, while new ones work.
func (p *TCPProxy) StallConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		c.stalled = true
		c.freeze()
	}
}

// Connections returns the number of connections forwarded to a target so far.
func (p *TCPProxy) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connected
}

// Close stops the proxy, closes its connections and waits for its goroutines.
func (p *TCPProxy) Close() {
	_ = p.ln.Close() // makes accept return
	p.mu.Lock()
	p.closed = true
	for c := range p.connections {
		c.close(false)
	}
	p.mu.Unlock()
	p.wg.Wait()
}

func (p *TCPProxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		p.wg.Go(func() { p.serve(c.(*net.TCPConn)) })
	}
}

func (p *TCPProxy) serve(client *net.TCPConn) {
	c := &proxiedConn{client: client, clientIP: client.RemoteAddr().(*net.TCPAddr).IP.String(), unfrozen: make(chan struct{})}
	close(c.unfrozen)
	if err := p.connect(c); err != nil {
		_ = client.Close() // the client notices the close
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(c, c.client, c.server) })
	wg.Go(func() { p.forward(c, c.server, c.client) })
	wg.Wait()
	p.mu.Lock()
	delete(p.connections, c)
	p.mu.Unlock()
}

// connect opens the connection to the target and applies the client's mode to both.
func (p *TCPProxy) connect(c *proxiedConn) error {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	if target == "" {
		return errProxyWithoutTarget
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		return err
	}
	c.server = server.(*net.TCPConn)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connected++
	p.connections[c] = true
	if p.closed {
		c.close(false)
		return nil
	}
	p.apply(c, p.mode(c.clientIP))
	return nil
}

// apply sets the mode of an open connection. The caller holds the lock.
func (p *TCPProxy) apply(c *proxiedConn, l LinkMode) {
	switch {
	case l == Drop, l == Refuse:
		c.close(l == Refuse)
	case l == Freeze:
		c.freeze()
	case l == Pass && !c.stalled:
		c.unfreeze()
	}
}

func (c *proxiedConn) freeze() {
	if !c.frozen && !c.closed {
		c.frozen, c.unfrozen = true, make(chan struct{})
	}
}

func (c *proxiedConn) unfreeze() {
	if c.frozen {
		c.frozen = false
		close(c.unfrozen)
	}
}

// close closes both connections, the client's by a reset if reset is set. The caller holds the proxy's lock.
func (c *proxiedConn) close(reset bool) {
	c.closed = true
	if reset {
		_ = c.client.SetLinger(0) // makes Close send a reset
	}
	_ = c.client.Close() // ends both calls of forward
	_ = c.server.Close()
	c.unfreeze()
}

// forward copies one direction until either connection ends. While the connection is frozen, it holds back what it has read.
func (p *TCPProxy) forward(c *proxiedConn, from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		for {
			p.mu.Lock()
			frozen, gate := c.frozen, c.unfrozen
			p.mu.Unlock()
			if !frozen {
				break
			}
			<-gate
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.close(false)
}
