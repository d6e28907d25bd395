package standin

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// headerTimeout bounds the time in which a client must send its header.
const headerTimeout = 5 * time.Second

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
	s := &Server{Addr: ln.Addr().String(), http: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}}
	go func() { _ = s.http.Serve(ln) }() // returns http.ErrServerClosed after Close
	return s, nil
}

// Close stops the server and drops its connections.
func (s *Server) Close() { _ = s.http.Close() }
