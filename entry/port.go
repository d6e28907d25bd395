package entry

import (
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/bramleytrail/bramleytrail/intake"
)

// Limits on the clients of a Port. Readiness checks and scrapes stay far below them.
const (
	// PortConnections is the number of connections to a port.
	PortConnections = 64
	// portHeaderBytes limits the request line, and the header fields.
	portHeaderBytes = 8 << 10
	// portHeaderMemory is the memory for header sections of all connections, whose lines use much more than their size.
	portHeaderMemory  = 512 << 10
	portHeaderTimeout = 3 * time.Second
	portIdleTimeout   = 2 * time.Minute
	portSweepInterval = 500 * time.Millisecond
	portSendBuffer    = 32 << 10
	// portStallLimit is the time without progress after which a connection is closed if all places are taken. With 8 places, 500 clients
	// that only hold their connections are closed within 7 s.
	portStallLimit = 100 * time.Millisecond
	// portResponseTime limits the time from the first byte of a response to its end.
	portResponseTime = 10 * time.Second
)

// Port serves readiness checks or operators, with bounds on its clients. If all places are taken, a new connection gets the place of the
// one that has made no progress for longest, even if its request is being served: these requests change nothing and can be repeated.
type Port struct {
	server *http.Server
	addr   string
}

// OpenPort serves a handler on a listener, which must be one of sockets, for at most a number of connections. The handler must not depend on
// request bodies.
func OpenPort(ln net.Listener, h http.Handler, connections int) *Port {
	limits := func() Limits {
		return Limits{HeaderBytes: portHeaderBytes, HeaderTimeout: portHeaderTimeout, IdleTimeout: portIdleTimeout}
	}
	memory := int64(connections)*intake.ConnectionCost + portHeaderMemory
	g := newGate(intake.Limits{Memory: memory, Bodies: memory, Stall: portStallLimit, ReadsOnly: true}, limits, nil)
	gated := newGatedListener(ln, g, connections)
	gated.sendBuffer = portSendBuffer
	p := &Port{addr: ln.Addr().String(), server: &http.Server{
		Handler: portHandler{h}, ReadTimeout: defaultIdleTimeout, ReadHeaderTimeout: noTimeout, IdleTimeout: noTimeout, // the gate has the limits
		MaxHeaderBytes: 2 * hardMaxHeaderBytes, ConnContext: connContext, ConnState: connState, ErrorLog: log.New(io.Discard, "", 0),
	}}
	go g.run(gated.stop, portSweepInterval)
	go func() { _ = p.server.Serve(gated) }() // returns http.ErrServerClosed after Close
	return p
}

// Addr returns the address of the listener.
func (p *Port) Addr() string { return p.addr }

// Close closes the port and all connections.
func (p *Port) Close() { _ = p.server.Close() } // nothing can be done about an error of the listener

// portHandler tells the gate when a request begins, and limits the time of its response.
type portHandler struct{ handler http.Handler }

// ServeHTTP implements http.Handler.
func (p portHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*gatedConn)
	if !ok {
		http.Error(w, "connection without limits", http.StatusInternalServerError)
		return
	}
	c.inHeader.Store(false)
	lines, bytes := headerSize(r)
	reason := c.identify("", intake.HeaderCost(lines, bytes))
	if reason == intake.ReasonNone {
		reason = c.serve()
	}
	if reason != intake.ReasonNone {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	out := &portWriter{ResponseWriter: w}
	out.limit()
	p.handler.ServeHTTP(out, r)
}

// portWriter limits the time of a response from its first byte on. A profile takes longer until then.
type portWriter struct {
	http.ResponseWriter
	begun bool
}

func (w *portWriter) limit() {
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now().Add(portResponseTime)) // on a closed connection, writes fail
}

// Write implements http.ResponseWriter.
func (w *portWriter) Write(p []byte) (int, error) {
	if !w.begun {
		w.begun = true
		w.limit()
	}
	return w.ResponseWriter.Write(p)
}
