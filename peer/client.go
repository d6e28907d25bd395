package peer

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"
)

const (
	dialTimeout = 500 * time.Millisecond
	callTimeout = 2 * time.Second
	// downTime is the time for which a peer that failed is replaced by the next one.
	downTime = 3 * time.Second
)

// link is the connection to one peer. A call that gets no answer in time closes the connection: it may have gone silent
// for good, and the next call then uses a new one.
type link struct {
	addr    string
	traffic Traffic

	mu     sync.Mutex
	client *rpc.Client
	failed time.Time
}

func (l *link) down(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.failed) < downTime
}

func (l *link) connect() (*rpc.Client, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil {
		return l.client, nil
	}
	conn, err := net.DialTimeout("tcp", l.addr, dialTimeout)
	if err != nil {
		l.failed = time.Now()
		return nil, fmt.Errorf("peer %s: %w", l.addr, err)
	}
	l.client = rpc.NewClientWithCodec(clientCodec{newCodec(conn, l.traffic)})
	return l.client, nil
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

func (l *link) close() {
	l.mu.Lock()
	c := l.client
	l.mu.Unlock()
	if c != nil {
		l.drop(c, false)
	}
}

// call calls a method of the peer within callTimeout.
func (l *link) call(ctx context.Context, method string, args, reply any) error {
	c, err := l.connect()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	done := c.Go(serviceName+"."+method, args, reply, make(chan *rpc.Call, 1)).Done
	select {
	case call := <-done:
		if call.Error == nil {
			return nil
		}
		if _, remote := call.Error.(rpc.ServerError); !remote {
			l.drop(c, true)
		}
		return fmt.Errorf("peer %s: %s: %w", l.addr, method, call.Error)
	case <-ctx.Done():
		l.drop(c, true)
		return fmt.Errorf("peer %s: %s: %w", l.addr, method, ctx.Err())
	}
}
