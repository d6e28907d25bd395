package entry

import (
	"net"
	"sync"
)

// limitedListener limits the number of open connections. Accept blocks while the limit is reached.
type limitedListener struct {
	net.Listener
	slots chan struct{} // holds an element for each open connection; its capacity is the limit
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

// limitedConn frees its slot in the listener when it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
