package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleytrail/bramleytrail/intake"
	"github.com/bramleytrail/bramleytrail/result"
)

// Limits are the operators' limits on the requests of routed services. A limit that is not set is 0.
type Limits struct {
	HeaderBytes   int   // of the request line, and of the header fields
	BodyBytes     int64 // of a body
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// orDefaults returns the limits in force.
func (l Limits) orDefaults() Limits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = maxHeaderBytes
	}
	l.HeaderBytes = min(l.HeaderBytes, hardMaxHeaderBytes)
	if l.BodyBytes <= 0 {
		l.BodyBytes = maxBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = headerTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

const (
	// hardMaxHeaderBytes bounds a header section whatever the operators' limit is.
	hardMaxHeaderBytes = 1 << 20
	// stallLimit is the time without progress after which a connection is closed if its memory or place is needed.
	stallLimit = time.Second
	// memoryWait is the longest time for which a request waits for memory before it is refused.
	memoryWait = time.Second
	// sweepInterval is the time between checks of the time limits.
	sweepInterval = 100 * time.Millisecond
	// roomInterval is the time after which another connection is closed if there is still no place for a new one.
	roomInterval = 20 * time.Millisecond
	// lingerTime and lingerBytes bound what is read after a refusal. A connection that is closed while data arrives is reset, and
	// its client may not see the refusal.
	lingerTime, lingerBytes = 500 * time.Millisecond, 256 << 10
	// memoryRetryAfter is the time after which a caller may try again that was refused for want of memory.
	memoryRetryAfter = time.Second
)

// Buffers of sockets, which the kernel doubles. What a client sends unread, and what it does not read, is memory of the machine.
const (
	manyConnections, manyBuffer, manySendBuffer = 128, 32 << 10, 16 << 10 // from this number of connections on
	mostConnections, mostBuffer, mostSendBuffer = 512, 8 << 10, 8 << 10
	fewSendBuffer                               = 64 << 10
	waitingBuffer                               = 8 << 10   // of a connection that waits for memory
	bodyBuffer                                  = 256 << 10 // for a body above intake.SmallBytes that has got its memory
)

// errRefused ends the reading of a header section. net/http closes the connection without a response of its own.
var errRefused = &net.OpError{Op: "read", Err: errors.New("connection refused by the limits on callers")}

// gate counts what callers make the server hold, and carries out the decisions of package intake.
type gate struct {
	limits func() Limits         // the operators'
	onEnd  func(r intake.Reason) // called for each connection that is refused or closed; may be nil

	mu    sync.Mutex
	table *intake.Table
}

func newGate(l intake.Limits, limits func() Limits, onEnd func(intake.Reason)) *gate {
	l.Wait = memoryWait
	if l.Stall == 0 {
		l.Stall = stallLimit
	}
	if l.Memory == 0 {
		l.Memory, l.Bodies = math.MaxInt64, math.MaxInt64
	}
	op := limits().orDefaults()
	l.HeaderTimeout, l.IdleTimeout = op.HeaderTimeout, op.IdleTimeout
	return &gate{limits: limits, onEnd: onEnd, table: intake.New(l)}
}

// do runs a decision and carries out its actions.
func (g *gate) do(decide func(t *intake.Table, now time.Time) []intake.Action) {
	g.mu.Lock()
	actions := decide(g.table, time.Now())
	collect := g.table.StartCollection()
	g.mu.Unlock()
	g.perform(actions)
	if collect {
		go g.collect()
	}
}

// collect frees the buffers that were given up.
func (g *gate) collect() {
	runtime.GC()
	g.do((*intake.Table).EndCollection)
}

func (g *gate) perform(actions []intake.Action) {
	for _, a := range actions {
		c := a.Conn.Owner.(*gatedConn)
		switch {
		case a.Force:
			_ = c.raw.Close() // without the end of TLS, for which a client that does not read would hold up all others
			_ = c.Close()     // the client has had time to read the refusal
		case a.Reason != intake.ReasonNone:
			if g.onEnd != nil {
				g.onEnd(a.Reason)
			}
			c.ended.Store(true)
			_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // ends the pending read; fails on a closed connection
		}
		c.signal()
	}
}

// want asks for memory and waits for it. It returns the reason if the connection must be refused.
func (g *gate) want(c *gatedConn, ask func(t *intake.Table, now time.Time) (bool, []intake.Action)) intake.Reason {
	g.mu.Lock()
	granted, actions := ask(g.table, time.Now())
	reason := c.state.Closing()
	collect := g.table.StartCollection()
	g.mu.Unlock()
	g.perform(actions)
	if collect {
		go g.collect()
	}
	if granted || reason != intake.ReasonNone {
		return reason
	}
	c.setReadBuffer(waitingBuffer)
	for range c.wake {
		g.mu.Lock()
		waiting := c.state.Waiting()
		reason = c.state.Closing()
		g.mu.Unlock()
		if !waiting {
			break
		}
	}
	return reason
}

// run applies the time limits at an interval until stop is closed and no connection is open.
func (g *gate) run(stop <-chan struct{}, interval time.Duration) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	stopped := false
	for {
		select {
		case <-tick.C:
		case <-stop:
			stopped, stop = true, nil
		}
		op := g.limits().orDefaults()
		left := 0
		g.do(func(t *intake.Table, now time.Time) []intake.Action {
			t.SetTimeouts(op.HeaderTimeout, op.IdleTimeout)
			left = t.Connections()
			return t.Sweep(now)
		})
		if stopped && left == 0 {
			return
		}
	}
}

// gatedListener accepts connections for a gate. It limits their number.
type gatedListener struct {
	net.Listener
	gate       *gate
	slots      chan struct{} // holds an element for each open connection; its capacity is the limit
	stop       chan struct{} // closed with the listener
	close      func() error
	sendBuffer int         // of each connection; 0 for one that depends on the number of connections
	tls        *tls.Config // nil for plain connections
}

func newGatedListener(ln net.Listener, g *gate, connections int) *gatedListener {
	l := &gatedListener{Listener: ln, gate: g, slots: make(chan struct{}, connections), stop: make(chan struct{})}
	l.close = sync.OnceValue(func() error { close(l.stop); return ln.Close() })
	return l
}

// Close implements net.Listener.
func (l *gatedListener) Close() error { return l.close() }

// Accept implements net.Listener. If the limit is reached, it closes a connection that is not in use, or waits.
func (l *gatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if !l.acquire() {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	c := &gatedConn{Conn: conn, raw: conn, gate: l.gate, wake: make(chan struct{}, 1)}
	if l.tls != nil {
		c.handshake = tls.Server(conn, l.tls)
		c.Conn = c.handshake
	}
	c.close = sync.OnceValue(func() error {
		err := c.Conn.Close()
		l.gate.do(func(t *intake.Table, now time.Time) []intake.Action { return t.Close(c.state, now) })
		c.signal()
		<-l.slots
		return err
	})
	c.inHeader.Store(true)
	open := 0
	l.gate.do(func(t *intake.Table, now time.Time) []intake.Action {
		c.state = t.Open(now, c)
		open = t.Connections()
		return nil
	})
	l.setBuffers(c, open)
	return c, nil
}

// setBuffers bounds what the kernel holds for a connection, given the number of open ones.
func (l *gatedListener) setBuffers(c *gatedConn, open int) {
	send := fewSendBuffer
	switch {
	case open > mostConnections:
		c.setReadBuffer(mostBuffer)
		send = mostSendBuffer
	case open > manyConnections:
		c.setReadBuffer(manyBuffer)
		send = manySendBuffer
	}
	if l.sendBuffer > 0 {
		send = l.sendBuffer
	}
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(send) // the connection also works without it
	}
}

// acquire takes a slot. While there is none, it closes a connection that is not in use every roomInterval. It returns false if the
// listener is closed.
func (l *gatedListener) acquire() bool {
	for {
		select {
		case l.slots <- struct{}{}:
			return true
		default:
		}
		l.gate.do((*intake.Table).MakeRoom)
		select {
		case l.slots <- struct{}{}:
			return true
		case <-l.stop:
			return false
		case <-time.After(roomInterval):
		}
	}
}

// gatedConn is a connection whose header sections are counted while they are read.
type gatedConn struct {
	net.Conn
	raw       net.Conn  // below TLS, or Conn itself
	handshake *tls.Conn // until the handshake has ended; nil for plain connections. Used by the goroutine that reads
	gate      *gate
	state     *intake.Conn
	wake      chan struct{} // signals that the state has changed
	ended     atomic.Bool   // it must be refused or closed; its read deadline is in the past for good
	inHeader  atomic.Bool   // a header section is read, or the next one is awaited
	header    intake.Header // of the section; used by the goroutine that reads it
	close     func() error
}

func (c *gatedConn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Close implements net.Conn.
func (c *gatedConn) Close() error { return c.close() }

// SetReadDeadline implements net.Conn.
func (c *gatedConn) SetReadDeadline(t time.Time) error {
	if c.ended.Load() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// shake makes the TLS handshake, for which a client has as long as for a header section.
func (c *gatedConn) shake() error {
	ctx, cancel := context.WithTimeout(context.Background(), c.gate.limits().orDefaults().HeaderTimeout)
	defer cancel()
	err := c.handshake.HandshakeContext(ctx)
	c.handshake = nil
	return err
}

// Read implements net.Conn.
func (c *gatedConn) Read(p []byte) (int, error) {
	if c.handshake != nil {
		if err := c.shake(); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	if !c.inHeader.Load() || len(p) == 1 { // one byte: net/http awaits the end of the connection or the next request beside the handler
		return n, err
	}
	if n > 0 {
		if reason := c.receive(p[:n]); reason != intake.ReasonNone {
			c.refuse(reason)
			return 0, errRefused
		}
	} else if c.ended.Load() {
		c.gate.mu.Lock()
		reason := c.state.Closing()
		c.gate.mu.Unlock()
		c.refuse(reason)
		return 0, errRefused
	}
	return n, err
}

// receive counts bytes of a header section.
func (c *gatedConn) receive(p []byte) intake.Reason {
	c.header.Add(p)
	if c.header.Exceeds(c.gate.limits().orDefaults().HeaderBytes) {
		if c.gate.onEnd != nil {
			c.gate.onEnd(intake.ReasonHeaderSize)
		}
		return intake.ReasonHeaderSize
	}
	return c.gate.want(c, func(t *intake.Table, now time.Time) (bool, []intake.Action) {
		return t.Receive(c.state, c.header.Cost(), now)
	})
}

// refuse answers a request whose header section is not complete, and thus has not run. A connection on which no request has
// begun is closed without an answer.
func (c *gatedConn) refuse(r intake.Reason) {
	if c.header.FirstLine == 0 {
		return
	}
	status, extra := http.StatusServiceUnavailable, fmt.Sprintf("Retry-After: %.3f\r\n", memoryRetryAfter.Seconds())
	switch r {
	case intake.ReasonHeaderSize:
		status, extra = http.StatusRequestHeaderFieldsTooLarge, ""
	case intake.ReasonHeaderTimeout:
		status, extra = http.StatusRequestTimeout, ""
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(lingerTime)) // fails on a closed connection, as do the calls that follow
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), extra)
	c.linger()
}

// linger lets the client read the response that was sent before the connection is closed.
func (c *gatedConn) linger() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes) // whatever the client still sends
}

// setReadBuffer bounds what the kernel holds for the connection. It has no effect on connections other than TCP.
func (c *gatedConn) setReadBuffer(bytes int) {
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(bytes) // the connection also works without it
	}
}

// identify counts the complete header section of a request for a team.
func (c *gatedConn) identify(group string, cost int64) (reason intake.Reason) {
	c.gate.do(func(t *intake.Table, now time.Time) []intake.Action {
		reason = t.Identify(c.state, group, cost, now)
		return nil
	})
	return reason
}

// reserve asks for the memory that a request uses while it is served, and waits for it. Nothing of the request is decoded before.
func (c *gatedConn) reserve() intake.Reason {
	return c.gate.want(c, func(t *intake.Table, now time.Time) (bool, []intake.Action) {
		return t.Admit(c.state, now)
	})
}

// Extend implements intake.Memory.
func (c *gatedConn) Extend(bytes int64) (granted bool) {
	c.gate.do(func(t *intake.Table, now time.Time) []intake.Action {
		granted = t.Extend(c.state, bytes)
		return nil
	})
	return granted
}

// Return implements intake.Memory.
func (c *gatedConn) Return(bytes int64) {
	c.gate.do(func(t *intake.Table, now time.Time) []intake.Action {
		return t.Keep(c.state, intake.KindAnswer, max(0, c.state.HeldOf(intake.KindAnswer)-bytes), now) // it holds none once it is closed
	})
}

// serve says that the request is complete, so that the connection is no longer closed for its memory.
func (c *gatedConn) serve() (reason intake.Reason) {
	c.gate.do(func(t *intake.Table, now time.Time) []intake.Action {
		reason = t.Serve(c.state, now)
		return nil
	})
	return reason
}

// finish ends a request on the connection.
func (c *gatedConn) finish() {
	c.header = intake.Header{}
	c.gate.do(func(t *intake.Table, now time.Time) []intake.Action { return t.Finish(c.state, now) })
	c.inHeader.Store(true)
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// connContext implements http.Server.ConnContext.
func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connState implements http.Server.ConnState.
func connState(c net.Conn, s http.ConnState) {
	if gated, ok := c.(*gatedConn); ok && s == http.StateIdle {
		gated.finish()
	}
}

// refusal returns the error of a request that was refused before it was complete, and thus has not run.
func refusal(r intake.Reason) *result.Error {
	return result.Newf(result.Overloaded, "Reason: %s.", r).WithRetryAfter(memoryRetryAfter)
}
