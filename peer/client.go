package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"
)

const (
	dialTimeout = 500 * time.Millisecond
	callTimeout = 2 * time.Second
	// digestTimeout bounds a digest, which is small. It is short so that a change reaches a peer within seconds over a
	// new connection when the established one has gone silent.
	digestTimeout = 500 * time.Millisecond
	// downTime is the time for which a peer that failed is replaced by the next one.
	downTime = 3 * time.Second
)

var errLinkClosed = errors.New("link is closed")

// link is the connection to one peer. A call that gets no answer in time closes the connection: it may have gone silent
// for good, and the next call then uses a new one.
type link struct {
	addr    string
	dialer  func(ctx context.Context, addr string) (net.Conn, error)
	traffic Traffic

	mu      sync.Mutex
	client  *rpc.Client
	dialing chan struct{} // closed at the end of the dial in progress, nil without one
	dialErr error         // of the last dial
	failed  time.Time
	closed  bool
}

func (l *link) down(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.failed) < downTime
}

// connect returns the connection, after a dial if there is none. Concurrent calls share one dial, and the lock is not
// held during it, so that nothing else waits for a host that does not answer.
func (l *link) connect(ctx context.Context) (*rpc.Client, error) {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return nil, fmt.Errorf("peer %s: %w", l.addr, errLinkClosed)
	}
	if c := l.client; c != nil {
		l.mu.Unlock()
		return c, nil
	}
	if l.dialing == nil {
		l.dialing = make(chan struct{})
		go l.dial(l.dialing)
	}
	done := l.dialing
	l.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
		return nil, fmt.Errorf("peer %s: %w", l.addr, ctx.Err())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client == nil {
		return nil, fmt.Errorf("peer %s: %w", l.addr, errors.Join(l.dialErr, errLinkClosed))
	}
	return l.client, nil
}

// dial makes the connection. It is bounded by dialTimeout.
func (l *link) dial(done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := l.dialer(ctx, l.addr)
	l.mu.Lock()
	defer l.mu.Unlock()
	defer close(done)
	l.dialing, l.dialErr = nil, err
	switch {
	case err != nil:
		l.failed = time.Now()
	case l.closed:
		_ = conn.Close() // the host has left
	default:
		l.client = rpc.NewClientWithCodec(newClientCodec(conn, l.traffic))
	}
}

func (l *link) drop(c *rpc.Client, failed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client == c {
		l.client = nil
	}
	if failed {
		l.failed = time.Now()
	}
	_ = c.Close() // the connection is given up in any case
}

// close ends the connection for good; later calls fail.
func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	c := l.client
	l.mu.Unlock()
	if c != nil {
		l.drop(c, false)
	}
}

// call calls a method of the peer within limit. The reply must not be used after an error, since a late answer may still
// be written to it.
func (l *link) call(ctx context.Context, limit time.Duration, method string, args, reply any) error {
	c, err := l.connect(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	done := make(chan error, 1)
	// Sending blocks when the peer reads nothing and the socket's buffer is full, so it is not done here.
	go func() { done <- c.Call(serviceName+"."+method, args, reply) }()
	select {
	case err := <-done:
		if err == nil {
			return nil
		}
		if _, remote := err.(rpc.ServerError); !remote {
			l.drop(c, true)
		}
		return fmt.Errorf("peer %s: %s: %w", l.addr, method, err)
	case <-ctx.Done():
		l.drop(c, true)
		return fmt.Errorf("peer %s: %s: %w", l.addr, method, ctx.Err())
	}
}

// callTwice repeats a call that failed once on a new connection. It is for calls without effect at the peer.
func callTwice[R any](ctx context.Context, l *link, limit time.Duration, method string, args any) (*R, error) {
	reply := new(R)
	err := l.call(ctx, limit, method, args, reply)
	var remote rpc.ServerError
	if err == nil || ctx.Err() != nil || errors.As(err, &remote) {
		return reply, err
	}
	reply = new(R)
	if err = l.call(ctx, limit, method, args, reply); err == nil {
		l.mu.Lock()
		l.failed = time.Time{}
		l.mu.Unlock()
	}
	return reply, err
}
