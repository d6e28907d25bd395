package standin

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"time"
)

// readHeaderTimeout limits the time in which a client must send the header of a request.
const readHeaderTimeout = 5 * time.Second

// sendBufferBytes is the requested size of a connection's send buffer. It is small so that a client that doesn't read soon blocks
// the server's writes.
const sendBufferBytes = 16 << 10

// Server is an HTTP server of a fake, usually on a loopback address.
type Server struct {
	Addr string // address that the server listens on
	http *http.Server
}

// Serve starts a server of handler on addr; 127.0.0.1:0 selects a free port.
func Serve(addr string, handler http.Handler) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("start stand-in server: %w", err)
	}
	return ServeOn(ln, handler), nil
}

// ServeOn starts a server of handler on a listener, which Close closes.
func ServeOn(ln net.Listener, handler http.Handler) *Server {
	s := &Server{Addr: ln.Addr().String(), http: &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}}
	s.http.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetWriteBuffer(sendBufferBytes) // if this fails, tests of slow callers only take longer
		}
		return context.WithValue(ctx, connKey{}, &connState{})
	}
	go func() { _ = s.http.Serve(ln) }() // returns http.ErrServerClosed after Close
	return s
}

// connState is the state that an Engine keeps for a connection, so that it can stall the connections that are open at a given
// time. It is guarded by the engine's lock.
type connState struct {
	engine *Engine // nil until the first request
	epoch  int     // value of engine.epoch at the first request
}

type connKey struct{}

// connStateOf returns the state of a request's connection. For a request that no Server accepted, it returns the state of a
// connection that is never stalled.
func connStateOf(r *http.Request) *connState {
	if c, ok := r.Context().Value(connKey{}).(*connState); ok {
		return c
	}
	return &connState{epoch: math.MaxInt, engine: &Engine{}}
}

// Close stops the server and drops its connections without waiting for requests in progress.
func (s *Server) Close() { _ = s.http.Close() }
