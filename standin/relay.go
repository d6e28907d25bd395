package standin

import (
	"errors"
	"fmt"
	"net"
	"sync"
)

// Link is how a Relay treats the connections from one address.
type Link int

// Ways to treat connections.
const (
	Pass   Link = iota
	Drop        // open connections are closed, new ones are accepted and closed
	Refuse      // open connections are reset, and so are new ones
	Freeze      // nothing passes on open and on new connections, which stay open
)

// errNoTarget says that a relay has no target yet.
var errNoTarget = errors.New("relay: no target")

// Relay passes TCP connections on to a target and can disturb them. It tells clients apart by their IP address, so that
// one relay before a daemon cuts it off from some hosts only.
type Relay struct {
	Addr string

	ln     net.Listener
	mu     sync.Mutex
	target string
	mode   func(ip string) Link
	pairs  map[*pair]bool
	count  int
	closed bool
	wg     sync.WaitGroup
}

// pair is a client's connection and the one to the target.
type pair struct {
	ip     string
	client *net.TCPConn
	server *net.TCPConn
	gate   chan struct{} // open while closed; replaced when the pair freezes
	frozen bool
	silent bool // frozen for good
	ended  bool
}

// NewRelay listens on addr; use 127.0.0.1:0 for a free port. Connections fail until SetTarget is called.
func NewRelay(addr string) (*Relay, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{Addr: ln.Addr().String(), ln: ln, mode: func(string) Link { return Pass }, pairs: map[*pair]bool{}}
	r.wg.Go(r.accept)
	return r, nil
}

// SetTarget sets the address that connections are passed on to.
func (r *Relay) SetTarget(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = addr
}

// SetMode sets how connections are treated by their client's IP address, and applies it to the open ones.
func (r *Relay) SetMode(mode func(ip string) Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = mode
	for p := range r.pairs {
		r.apply(p, mode(p.ip))
	}
}

// Set treats all connections in the same way.
func (r *Relay) Set(l Link) { r.SetMode(func(string) Link { return l }) }

// Silence makes the open connections go silent for good, while new ones work.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.silent = true
		p.freeze()
	}
}

// Connections returns the number of connections accepted so far.
func (r *Relay) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	_ = r.ln.Close() // ends accept
	r.mu.Lock()
	r.closed = true
	for p := range r.pairs {
		p.end(false)
	}
	r.mu.Unlock()
	r.wg.Wait()
}

func (r *Relay) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.wg.Go(func() { r.serve(c.(*net.TCPConn)) })
	}
}

func (r *Relay) serve(client *net.TCPConn) {
	p := &pair{client: client, ip: client.RemoteAddr().(*net.TCPAddr).IP.String(), gate: make(chan struct{})}
	close(p.gate)
	if err := r.open(p); err != nil {
		_ = client.Close() // the client sees the end of its connection
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { r.pump(p, p.client, p.server) })
	wg.Go(func() { r.pump(p, p.server, p.client) })
	wg.Wait()
	r.mu.Lock()
	delete(r.pairs, p)
	r.mu.Unlock()
}

func (r *Relay) open(p *pair) error {
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	if target == "" {
		return errNoTarget
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		return err
	}
	p.server = server.(*net.TCPConn)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count++
	r.pairs[p] = true
	if r.closed {
		p.end(false)
		return nil
	}
	r.apply(p, r.mode(p.ip))
	return nil
}

// apply changes an open connection. The caller holds the lock.
func (r *Relay) apply(p *pair, l Link) {
	switch {
	case l == Drop, l == Refuse:
		p.end(l == Refuse)
	case l == Freeze:
		p.freeze()
	case l == Pass && !p.silent:
		p.thaw()
	}
}

func (p *pair) freeze() {
	if !p.frozen && !p.ended {
		p.frozen, p.gate = true, make(chan struct{})
	}
}

func (p *pair) thaw() {
	if p.frozen {
		p.frozen = false
		close(p.gate)
	}
}

func (p *pair) end(reset bool) {
	p.ended = true
	if reset {
		_ = p.client.SetLinger(0) // makes Close send a reset
	}
	_ = p.client.Close() // ends both pumps
	_ = p.server.Close()
	p.thaw()
}

// pump copies one direction. It holds back what it has read while the pair is frozen.
func (r *Relay) pump(p *pair, from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		for {
			r.mu.Lock()
			frozen, gate := p.frozen, p.gate
			r.mu.Unlock()
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
	r.mu.Lock()
	defer r.mu.Unlock()
	p.end(false)
}
