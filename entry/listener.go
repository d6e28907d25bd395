package entry

import (
	"net"
	"sync"
)

// limitedListener bounds the number of open connections. Accept waits while the limit is reached.
type limitedListener struct {
	net.Listener
	free chan struct{}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	l.free <- struct{}{}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.free
		return nil, err
	}
	return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.free })}, nil
}

// limitedConn gives its place back when it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
