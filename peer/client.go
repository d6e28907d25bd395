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
	callTimeout = 2 * time.Second // for calls that are neither a digest nor the transfer of a document
	// digestTimeout limits a digest call, which transfers few bytes. It is short so that a change reaches a peer within
	// seconds, over a new connection, when the established one no longer delivers anything.
	digestTimeout = 500 * time.Millisecond
	// downPeriod is the time after a failure for which a peer is considered down and another one is used in its place.
	downPeriod = 3 * time.Second
)

var errLinkClosed = errors.New("connection is closed")

// link is a client of one peer that connects on demand. A call that gets no answer in time closes the connection, as it
// may never deliver anything again, and the next call opens a new one. Its methods are safe for concurrent use.
type link struct {
	addr     string
	dialFunc func(ctx context.Context, addr string) (net.Conn, error)
	traffic  Traffic

	mu          sync.Mutex
	client      *rpc.Client
	dialing     chan struct{} // closed when the dial in progress ends; nil if there is none
	dialErr     error         // error of the last dial
	lastFailure time.Time     // last dial or call that failed; zero if a retry succeeded since
	closed      bool
}

// isDown reports whether a dial or call has failed within downPeriod before now.
func (l *link) isDown(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.lastFailure) < downPeriod
}

// connect returns the client of the open connection, or dials if there is none. Concurrent calls share one dial. The
// lock is not held while dialing, so that only these calls wait for a host that does not respond.
func (l *link) connect(ctx context.Context) (*rpc.Client, error) {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return nil, fmt.Errorf("connect to peer %s: %w", l.addr, errLinkClosed)
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
		return nil, fmt.Errorf("connect to peer %s: %w", l.addr, ctx.Err())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client == nil {
		return nil, fmt.Errorf("connect to peer %s: %w", l.addr, errors.Join(l.dialErr, errLinkClosed))
	}
	return l.client, nil
}

// dial connects to the peer within dialTimeout and closes done at the end. It does not depend on the context of a
// single call, since several calls may wait for it.
func (l *link) dial(done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := l.dialFunc(ctx, l.addr)
	l.mu.Lock()
	defer l.mu.Unlock()
	defer close(done)
	l.dialing, l.dialErr = nil, err
	switch {
	case err != nil:
		l.lastFailure = time.Now()
	case l.closed:
		_ = conn.Close() // the host was removed from the list during the dial
	default:
		l.client = rpc.NewClientWithCodec(newClientCodec(conn, l.traffic))
	}
}

// drop closes the connection of c. With failed, it also records a failure of the peer.
func (l *link) drop(c *rpc.Client, failed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client == c {
		l.client = nil
	}
	if failed {
		l.lastFailure = time.Now()
	}
	_ = c.Close() // an error doesn't matter: the connection is not used again
}

// close closes the connection permanently. Later calls fail with errLinkClosed.
func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	c := l.client
	l.mu.Unlock()
	if c != nil {
		l.drop(c, false)
	}
}

// call calls a method of the peer. The timeout does not include connecting, which dialTimeout limits. An error of type
// rpc.ServerError is the peer's answer; any other error closes the connection. reply must not be read after
// an error, since a late answer may still be written to it.
func (l *link) call(ctx context.Context, timeout time.Duration, method string, args, reply any) error {
	c, err := l.connect(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	done := make(chan error, 1)
	// Call runs in its own goroutine, because it blocks in the write if the peer reads nothing and the send buffer is
	// full.
	go func() { done <- c.Call(serviceName+"."+method, args, reply) }()
	select {
	case err := <-done:
		if err == nil {
			return nil
		}
		if _, remote := err.(rpc.ServerError); !remote {
			l.drop(c, true)
		}
		return fmt.Errorf("peer %s: call %s: %w", l.addr, method, err)
	case <-ctx.Done():
		l.drop(c, true)
		return fmt.Errorf("peer %s: call %s: %w", l.addr, method, ctx.Err())
	}
}

// callWithRetry is like call, but retries once on a new connection if the first attempt fails without an answer of the
// peer. If the retry succeeds, the peer is no longer considered down. Use it only for calls that are safe to repeat.
func callWithRetry[R any](ctx context.Context, l *link, timeout time.Duration, method string, args any) (*R, error) {
	reply := new(R)
	err := l.call(ctx, timeout, method, args, reply)
	var remote rpc.ServerError
	if err == nil || ctx.Err() != nil || errors.As(err, &remote) {
		return reply, err
	}
	reply = new(R)
	if err = l.call(ctx, timeout, method, args, reply); err == nil {
		l.mu.Lock()
		l.lastFailure = time.Time{}
		l.mu.Unlock()
	}
	return reply, err
}
