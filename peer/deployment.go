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

// identityTimeout limits how long a new connection may take to send the identity of its deployment.
const identityTimeout = 5 * time.Second

// errOtherDeployment is returned by Read on a connection that does not begin with the identity of this deployment.
var errOtherDeployment = errors.New("peer: connection from another deployment")

// Deployment identifies the daemons that belong together. Each connection between daemons begins with it, because the
// address of a daemon that no longer exists may be reassigned to a daemon of another deployment, which would then
// accept bills and configurations meant for the first. It protects against mistakes, not against attackers, and does
// not replace TLS.
type Deployment [16]byte

// DeploymentOf returns the identity of the deployment with the given name.
func DeploymentOf(name string) (d Deployment) {
	sum := sha256.Sum256([]byte(name))
	copy(d[:], sum[:])
	return d
}

// Dial returns a function that connects with dial and sends the identity on each new connection, within the deadline of
// the context.
func (d Deployment) Dial(dial func(context.Context, string) (net.Conn, error)) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		if deadline, ok := ctx.Deadline(); ok {
			_ = conn.SetWriteDeadline(deadline) // if this fails, so does the write
		}
		if _, err := conn.Write(d[:]); err != nil {
			_ = conn.Close()
			return nil, fmt.Errorf("peer %s: send the deployment's identity: %w", addr, err)
		}
		return conn, conn.SetWriteDeadline(time.Time{})
	}
}

// Listen returns a listener on ln whose connections consume the identity at the first Read. If it is not this
// deployment's, or doesn't arrive within identityTimeout, this and all later calls of Read fail.
func (d Deployment) Listen(ln net.Listener) net.Listener { return &identityListener{ln, d} }

// identityListener is the listener that Deployment.Listen returns.
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

// identityConn is a connection from another daemon that starts with a deployment's identity.
type identityConn struct {
	net.Conn
	deployment Deployment
	once       sync.Once
	err        error // result of verifyIdentity
}

// Read implements net.Conn.
func (c *identityConn) Read(p []byte) (int, error) {
	c.once.Do(c.verifyIdentity)
	if c.err != nil {
		return 0, c.err
	}
	return c.Conn.Read(p)
}

// verifyIdentity reads the identity from the connection and sets err if it is not the deployment's.
func (c *identityConn) verifyIdentity() {
	var received Deployment
	if c.err = c.SetReadDeadline(time.Now().Add(identityTimeout)); c.err != nil {
		return
	}
	if _, c.err = io.ReadFull(c.Conn, received[:]); c.err != nil {
		return
	}
	if received != c.deployment {
		c.err = errOtherDeployment
		return
	}
	c.err = c.SetReadDeadline(time.Time{})
}
