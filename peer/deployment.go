package peer

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// identityTimeout bounds the wait for the identity on a new connection.
const identityTimeout = 5 * time.Second

// errOtherDeployment says that a connection comes from no daemon of this deployment.
var errOtherDeployment = errors.New("peer: connection from another deployment")

// Deployment identifies the daemons that belong together. Each connection between daemons begins with it, because the
// address of a daemon that is gone may be given to a daemon of another deployment, which would then take its bills and
// its configuration. It keeps mistakes apart and does not replace TLS.
type Deployment [16]byte

// DeploymentOf returns the identity of the deployment with a name.
func DeploymentOf(name string) (d Deployment) {
	sum := sha256.Sum256([]byte(name))
	copy(d[:], sum[:])
	return d
}

// Dial returns a dial function that begins each connection with the identity.
func (d Deployment) Dial(dial func(context.Context, string) (net.Conn, error)) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		if deadline, ok := ctx.Deadline(); ok {
			_ = conn.SetWriteDeadline(deadline) // an error would also fail the write
		}
		if _, err := conn.Write(d[:]); err != nil {
			_ = conn.Close()
			return nil, fmt.Errorf("peer %s: %w", addr, err)
		}
		return conn, conn.SetWriteDeadline(time.Time{})
	}
}

// Listen returns a listener whose connections fail at the first read if they do not begin with the identity.
func (d Deployment) Listen(ln net.Listener) net.Listener { return &identityListener{ln, d} }

type identityListener struct {
	net.Listener
	deployment Deployment
}

// Accept implements net.Listener.
func (l *identityListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &identityConn{Conn: conn, deployment: l.deployment}, nil
}

type identityConn struct {
	net.Conn
	deployment Deployment
	once       sync.Once
	err        error
}

// Read implements net.Conn.
func (c *identityConn) Read(p []byte) (int, error) {
	c.once.Do(c.check)
	if c.err != nil {
		return 0, c.err
	}
	return c.Conn.Read(p)
}

func (c *identityConn) check() {
	var got Deployment
	if c.err = c.SetReadDeadline(time.Now().Add(identityTimeout)); c.err != nil {
		return
	}
	if _, c.err = io.ReadFull(c.Conn, got[:]); c.err != nil {
		return
	}
	if got != c.deployment {
		c.err = errOtherDeployment
		return
	}
	c.err = c.SetReadDeadline(time.Time{})
}
