// Package httpconn keeps HTTP/1.1 connections to endpoints. Unlike the client of net/http it never sends a request again
// by itself, and it looks at a kept connection before it is used: bytes that nobody asked for, or its end, close it.
package httpconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	readBuffer  = 4 << 10
	lineBuffer  = 1 << 10 // longer lines of a head are put together from several reads
	writeBuffer = 2 << 10
	// inlineBody is the size up to which a body is written before the response is read. A longer one is written meanwhile,
	// since an endpoint may answer before it has read all of it.
	inlineBody = 1 << 10
	// maxAddresses bounds the addresses with kept connections; endpoints come and go under new addresses.
	maxAddresses = 4096
)

// Spec configures a Pool.
type Spec struct {
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// MaxIdle is the number of kept connections to one address.
	MaxIdle int
	// IdleTimeout is the time after which an idle connection is not used any more.
	IdleTimeout time.Duration
	// Limits bound what an endpoint may send beside the body of its answer; zero fields stand for DefaultLimits.
	Limits Limits
	Now    func() time.Time
}

// Pool keeps connections. It may be used by several goroutines.
type Pool struct {
	spec Spec
	mu   sync.Mutex
	idle map[string][]*conn
}

// New returns an empty pool.
func New(spec Spec) *Pool {
	spec.Limits = spec.Limits.withDefaults()
	return &Pool{spec: spec, idle: map[string][]*conn{}}
}

type conn struct {
	net.Conn
	addr   string
	guard  *guard        // between the connection and reader
	reader *bufio.Reader // of the guard
	writer *bufio.Writer
	since  time.Time // idle since
	until  time.Time // not used any more after; zero for the pool's limit
}

// DialError says that no connection could be made, so that nothing was sent.
type DialError struct{ Err error }

// Error implements error.
func (e *DialError) Error() string { return "connect: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// Request is one HTTP request.
type Request struct {
	Method string
	Host   string
	Target string // path and query
	Header http.Header
	Body   []byte
	// Fresh asks for a connection that was not used before.
	Fresh bool
	// Mine reports whether a response belongs to the request; nil for every one. One that does not is read and passed over
	// once, as the late answer to an earlier request on the connection.
	Mine func(*http.Response) bool
}

// errForeign says that the response does not belong to the request.
var errForeign = errors.New("response of another request")

// IsForeign reports whether the only responses on the connection belonged to other requests.
func IsForeign(err error) bool { return errors.Is(err, errForeign) }

// Do sends a request and returns the response. Its body must be closed; that ends the exchange. Ending ctx closes the
// connection, also while the body is read.
func (p *Pool) Do(ctx context.Context, addr string, r *Request) (*http.Response, error) {
	c, err := p.take(ctx, addr, r.Fresh)
	if err != nil {
		return nil, err
	}
	x := &exchange{pool: p, conn: c, ctx: ctx}
	x.stop = context.AfterFunc(ctx, func() { _ = c.Close() }) // ends reads and writes in progress
	resp, err := x.run(r)
	if err != nil {
		x.abandon()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, err
	}
	return resp, nil
}

func (p *Pool) take(ctx context.Context, addr string, fresh bool) (*conn, error) {
	for !fresh {
		c := p.pop(addr)
		if c == nil {
			break
		}
		if c.usable(p.spec.Now(), p.spec.IdleTimeout) {
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := p.spec.Dial(ctx, "tcp", addr)
	if err != nil {
		return nil, &DialError{err}
	}
	g := &guard{conn: bufio.NewReaderSize(raw, readBuffer)}
	return &conn{Conn: raw, addr: addr, guard: g, reader: bufio.NewReaderSize(g, lineBuffer), writer: bufio.NewWriterSize(raw, writeBuffer)}, nil
}

// buffered returns the bytes that were received and not yet read.
func (c *conn) buffered() int { return c.reader.Buffered() + c.guard.conn.Buffered() }

// pop returns the connection that was used last, which is the most likely one to be alive.
func (p *Pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

func (c *conn) usable(now time.Time, limit time.Duration) bool {
	if now.Sub(c.since) >= limit || !c.until.IsZero() && !now.Before(c.until) {
		return false
	}
	return c.buffered() == 0 && quiet(c.Conn)
}

func (p *Pool) give(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.addr]
	if len(list) >= p.spec.MaxIdle || list == nil && len(p.idle) >= maxAddresses {
		_ = c.Close()
		return
	}
	c.since = p.spec.Now()
	p.idle[c.addr] = append(list, c)
}

// Forget closes the idle connections to an address, for instance because one of them has gone silent.
func (p *Pool) Forget(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	all := p.idle
	p.idle = map[string][]*conn{}
	p.mu.Unlock()
	for _, list := range all {
		for _, c := range list {
			_ = c.Close()
		}
	}
}

// exchange is one request and its response on a connection.
type exchange struct {
	pool *Pool
	conn *conn
	ctx  context.Context
	stop func() bool

	mu      sync.Mutex
	writing bool // the body is still being written
	ended   bool
}

func (x *exchange) run(r *Request) (*http.Response, error) {
	if err := x.write(r); err != nil {
		return nil, err
	}
	req := &http.Request{Method: r.Method}
	x.conn.guard.begin(x.pool.spec.Limits)
	for try := 0; ; try++ {
		resp, err := x.read(req)
		if err != nil {
			return nil, err
		}
		if r.Mine == nil || r.Mine(resp) {
			x.attach(resp)
			return resp, nil
		}
		if try > 0 || resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, errForeign
		}
		x.conn.guard.part = foreignBody
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, fmt.Errorf("%w: %w", errForeign, err)
		}
	}
}

// read returns the next final response.
func (x *exchange) read(req *http.Request) (*http.Response, error) {
	x.conn.guard.part = head
	defer func() { x.conn.guard.part = ownBody }()
	for {
		resp, err := http.ReadResponse(x.conn.reader, req)
		if err != nil || resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, err
		}
	}
}

func (x *exchange) write(r *Request) error {
	w := x.conn.writer
	_, _ = w.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n") // errors stay in the writer
	_ = r.Header.Write(w)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
	if len(r.Body) <= inlineBody {
		_, _ = w.Write(r.Body)
		return w.Flush()
	}
	if err := w.Flush(); err != nil {
		return err
	}
	x.writing = true
	go func() {
		_, err := x.conn.Write(r.Body)
		x.mu.Lock()
		defer x.mu.Unlock()
		x.writing = err != nil // a body that was not sent whole keeps the connection from being used again
	}()
	return nil
}

// body ends the exchange when it is read to its end or closed.
type body struct {
	io.ReadCloser
	x     *exchange
	whole bool // ended as framed
}

func (x *exchange) attach(resp *http.Response) {
	resp.Body = &body{ReadCloser: resp.Body, x: x}
	keep := !resp.Close && (resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0)
	if limit, ok := keepAlive(resp.Header); ok {
		x.conn.until = x.pool.spec.Now().Add(limit)
	}
	if !keep {
		x.conn.until = x.pool.spec.Now()
	}
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.whole = true
	}
	return n, err
}

// Close gives the connection back if the response was read whole, and closes it otherwise.
func (b *body) Close() error {
	b.x.finish(b.whole)
	return nil
}

func (x *exchange) finish(whole bool) {
	x.mu.Lock()
	ended, writing := x.ended, x.writing
	x.ended = true
	x.mu.Unlock()
	if ended {
		return
	}
	free := x.stop() // false if ctx has ended and the connection is closed
	now := x.pool.spec.Now()
	if !whole || writing || !free || x.conn.buffered() > 0 || !x.conn.until.IsZero() && !now.Before(x.conn.until) {
		_ = x.conn.Close()
		return
	}
	x.pool.give(x.conn)
}

func (x *exchange) abandon() {
	x.stop()
	_ = x.conn.Close()
}
