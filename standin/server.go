package standin

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"time"
)

// headerTimeout bounds the time in which a client must send its header.
const headerTimeout = 5 * time.Second

// socketBuffer is the size that is asked for the send buffer of a connection, so that a client that doesn't read stops
// the server soon.
const socketBuffer = 16 << 10

// Server is an HTTP server on a loopback address.
type Server struct {
	Addr string
	http *http.Server
}

// Serve starts handler on addr; use 127.0.0.1:0 for a free port.
func Serve(addr string, handler http.Handler) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	return ServeOn(ln, handler), nil
}

// ServeOn starts handler on a listener.
func ServeOn(ln net.Listener, handler http.Handler) *Server {
	s := &Server{Addr: ln.Addr().String(), http: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}}
	s.http.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetWriteBuffer(socketBuffer) // without it, a test of slow callers only takes longer
		}
		return context.WithValue(ctx, connKey{}, &connState{})
	}
	go func() { _ = s.http.Serve(ln) }() // returns http.ErrServerClosed after Close
	return s
}

// connState is what an engine knows of a connection. It is guarded by the engine's lock.
type connState struct {
	engine *Engine // nil until the first request
	epoch  int
}

type connKey struct{}

// connOf returns the state of a request's connection; without a Server, that of a new one.
func connOf(r *http.Request) *connState {
	if c, ok := r.Context().Value(connKey{}).(*connState); ok {
		return c
	}
	return &connState{epoch: math.MaxInt, engine: &Engine{}}
}

// Close stops the server and drops its connections.
func (s *Server) Close() { _ = s.http.Close() }
