// Package httpconn is a pool of HTTP/1.1 connections to endpoints. Unlike the client of net/http, it never resends a
// request on its own, and it checks an idle connection before use: one that is closed, or has received unexpected
// bytes, is discarded.
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
	"sync/atomic"
	"time"
)

const (
	readBufSize  = 4 << 10
	lineBufSize  = 1 << 10 // longer header lines take several reads
	writeBufSize = 2 << 10
	// maxInlineBody is the size in bytes up to which a request body is written before the response is read. A longer one
	// is written concurrently, since an endpoint may respond before it has read all of it.
	maxInlineBody = 1 << 10
	// maxAddresses limits the addresses with idle connections, since replaced endpoints get new addresses.
	maxAddresses = 4096
)

// Spec configures a Pool.
type Spec struct {
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// MaxIdle is the maximum number of idle connections to one address.
	MaxIdle int
	// MaxOpen is the number of open connections to all addresses from which on the one that has been idle for longest is closed before
	// another one is opened; 0 for no limit.
	MaxOpen int
	// IdleTimeout is the time after which an idle connection is no longer used.
	IdleTimeout time.Duration
	// Limits bound what an endpoint may send apart from the body of its response; zero fields mean those of DefaultLimits.
	Limits Limits
	Now    func() time.Time
}

// Pool sends requests and keeps idle connections for reuse. It is safe for concurrent use.
type Pool struct {
	spec Spec
	open atomic.Int64 // connections, in use and idle, and those that are being opened
	mu   sync.Mutex
	idle map[string][]*conn // by address, the most recently used last
}

// New returns an empty pool.
func New(spec Spec) *Pool {
	spec.Limits = spec.Limits.withDefaults()
	return &Pool{spec: spec, idle: map[string][]*conn{}}
}

// Open returns the number of open connections, in use and idle.
func (p *Pool) Open() int64 { return p.open.Load() }

type conn struct {
	net.Conn
	pool      *Pool
	closed    atomic.Bool
	addr      string
	limiter   *limitReader  // reads from the connection
	reader    *bufio.Reader // reads from limiter
	writer    *bufio.Writer
	idleSince time.Time // when it was last put into the pool
	expires   time.Time // not used from this time on; zero if only Spec.IdleTimeout applies
	used      bool      // for an earlier request
}

// DialError means that no connection could be opened, so that nothing was sent.
type DialError struct{ Err error }

// Error implements error.
func (e *DialError) Error() string { return "connect: " + e.Err.Error() }

// Unwrap returns the error of Spec.Dial.
func (e *DialError) Unwrap() error { return e.Err }

// Request is one HTTP request.
type Request struct {
	Method string
	Host   string
	Target string // path and query
	Header http.Header
	Body   []byte
	// NewConn asks for a connection that was not used before.
	NewConn bool
	// Matches reports whether a response belongs to the request; nil accepts every response. The first response that does
	// not match is discarded, as the late response to an earlier request on the connection; after a second one, Do fails.
	Matches func(*http.Response) bool
	// Unnamed reports whether a response does not say to which request it belongs; nil means that none is like that. On a
	// connection that was used before, it may be an earlier response sent once more: Do fails, since the request may run.
	Unnamed func(*http.Response) bool
}

// errMismatch means that the responses on the connection do not belong to the request.
var errMismatch = errors.New("response to another request")

// IsMismatch reports whether Do failed because it received only responses to other requests.
func IsMismatch(err error) bool { return errors.Is(err, errMismatch) }

// Do sends a request and returns the response. The caller must close its body, which returns the connection to the pool
// if the body was read to its end. Cancelling ctx closes the connection, even while the body is being read. Do returns
// a *DialError if no connection could be opened, and the cause of ctx if ctx ended during the exchange.
func (p *Pool) Do(ctx context.Context, addr string, r *Request) (*http.Response, error) {
	c, err := p.get(ctx, addr, r.NewConn)
	if err != nil {
		return nil, err
	}
	x := &exchange{pool: p, conn: c, ctx: ctx}
	x.stop = context.AfterFunc(ctx, func() { _ = c.Close() }) // interrupts reads and writes in progress
	resp, err := x.roundTrip(r)
	if err != nil {
		x.abort()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, err
	}
	return resp, nil
}

// get returns a reusable idle connection to addr, or a new one.
func (p *Pool) get(ctx context.Context, addr string, newConn bool) (*conn, error) {
	for !newConn {
		c := p.popIdle(addr)
		if c == nil {
			break
		}
		if c.usable(p.spec.Now(), p.spec.IdleTimeout) {
			c.used = true
			return c, nil
		}
		_ = c.Close()
	}
	if p.open.Add(1) > int64(p.spec.MaxOpen) && p.spec.MaxOpen > 0 {
		p.closeOldest()
	}
	raw, err := p.spec.Dial(ctx, "tcp", addr)
	if err != nil {
		p.open.Add(-1)
		return nil, &DialError{err}
	}
	limiter := &limitReader{conn: bufio.NewReaderSize(raw, readBufSize)}
	return &conn{Conn: raw, pool: p, addr: addr, limiter: limiter, reader: bufio.NewReaderSize(limiter, lineBufSize), writer: bufio.NewWriterSize(raw, writeBufSize)}, nil
}

// Close implements net.Conn. Further calls only repeat the close of the connection.
func (c *conn) Close() error {
	if !c.closed.Swap(true) {
		c.pool.open.Add(-1)
	}
	return c.Conn.Close()
}

// buffered returns the number of bytes received but not yet read.
func (c *conn) buffered() int { return c.reader.Buffered() + c.limiter.conn.Buffered() }

// popIdle removes and returns the most recently used idle connection, which is the most likely to be open; nil if there
// is none.
func (p *Pool) popIdle(addr string) *conn {
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

// usable reports whether an idle connection can carry another request: it has not expired, is open and has no unread
// bytes.
func (c *conn) usable(now time.Time, limit time.Duration) bool {
	if now.Sub(c.idleSince) >= limit || !c.expires.IsZero() && !now.Before(c.expires) {
		return false
	}
	return c.buffered() == 0 && isIdle(c.Conn)
}

// put keeps an idle connection for reuse, or closes it if that would exceed a limit.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.addr]
	if len(list) >= p.spec.MaxIdle || list == nil && len(p.idle) >= maxAddresses {
		_ = c.Close()
		return
	}
	c.idleSince = p.spec.Now()
	p.idle[c.addr] = append(list, c)
}

// closeOldest closes the connection that has been idle for longest, if there is one.
func (p *Pool) closeOldest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest *conn
	for addr, list := range p.idle {
		switch {
		case len(list) == 0:
			delete(p.idle, addr)
		case oldest == nil || list[0].idleSince.Before(oldest.idleSince):
			oldest = list[0]
		}
	}
	if oldest != nil {
		p.idle[oldest.addr] = p.idle[oldest.addr][1:]
		_ = oldest.Close()
	}
}

// CloseIdle closes the idle connections to an address, for example after one of them stalled.
func (p *Pool) CloseIdle(addr string) {
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

	written chan struct{} // closed when writing the request body has ended; nil if the whole request was written before the response was read
	sendErr error         // of writing the request body; valid after written is closed

	mu    sync.Mutex
	ended bool
}

// roundTrip writes the request and returns the response that belongs to it.
func (x *exchange) roundTrip(r *Request) (*http.Response, error) {
	if err := x.writeRequest(r); err != nil {
		return nil, err
	}
	req := &http.Request{Method: r.Method}
	x.conn.limiter.reset(x.pool.spec.Limits.withEcho(r))
	for try := 0; ; try++ {
		resp, err := x.readResponse(req)
		if err != nil {
			return nil, err
		}
		if x.conn.used && r.Unnamed != nil && r.Unnamed(resp) {
			return nil, errMismatch
		}
		if r.Matches == nil || r.Matches(resp) {
			x.wrapBody(resp)
			return resp, nil
		}
		if try > 0 || resp.Close || IsUnframed(resp) {
			return nil, errMismatch
		}
		x.conn.limiter.mode = modeDiscard
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, fmt.Errorf("%w: %w", errMismatch, err)
		}
	}
}

// readResponse returns the next final response; it skips interim ones.
func (x *exchange) readResponse(req *http.Request) (*http.Response, error) {
	x.conn.limiter.mode = modeHeader
	defer func() { x.conn.limiter.mode = modeBody }()
	for {
		resp, err := http.ReadResponse(x.conn.reader, req)
		if err != nil {
			return nil, err
		}
		if isInterim(resp) {
			continue
		}
		return resp, checkStatus(resp)
	}
}

// writeRequest writes the request. A large body is still being written when it returns.
func (x *exchange) writeRequest(r *Request) error {
	w := x.conn.writer
	_, _ = w.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n") // the writer returns its first error from Flush
	_ = r.Header.Write(w)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
	if len(r.Body) <= maxInlineBody {
		_, _ = w.Write(r.Body)
		return w.Flush()
	}
	if err := w.Flush(); err != nil {
		return err
	}
	x.written = make(chan struct{})
	go func() {
		_, x.sendErr = x.conn.Write(r.Body)
		close(x.written)
	}()
	return nil
}

// isWritten reports whether the request was written completely.
func (x *exchange) isWritten() bool {
	if x.written == nil {
		return true
	}
	select {
	case <-x.written:
		return x.sendErr == nil
	default:
		return false
	}
}

// checkEnd returns an error if the end of the connection is not the end of a complete response without a length.
func (x *exchange) checkEnd() error {
	if x.written != nil {
		timer := time.NewTimer(maxSendWait)
		defer timer.Stop()
		select {
		case <-x.written:
		case <-timer.C:
		}
	}
	if !x.isWritten() {
		return fmt.Errorf("%w: the request was not written completely", ErrTruncated)
	}
	return checkClosed(x.conn.Conn)
}

// body is a response body that ends its exchange when it is closed.
type body struct {
	io.ReadCloser
	x        *exchange
	unframed bool  // ends with its connection
	err      error // of the first read that failed; a connection reports its reset only once
}

// wrapBody replaces the body of the response by one that ends the exchange, and sets when the connection expires.
func (x *exchange) wrapBody(resp *http.Response) {
	unframed := IsUnframed(resp)
	reusable := !resp.Close && (resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0)
	resp.Body = &body{ReadCloser: resp.Body, x: x, unframed: unframed}
	if limit, ok := keepAliveTimeout(resp.Header); ok {
		x.conn.expires = x.pool.spec.Now().Add(limit)
	}
	if !reusable {
		x.conn.expires = x.pool.spec.Now()
	}
}

func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && b.unframed {
		if cut := b.x.checkEnd(); cut != nil {
			err = cut
		}
	}
	b.err = err
	return n, err
}

// Close returns the connection to the pool if the body was read to its end, and closes the connection otherwise.
func (b *body) Close() error {
	b.x.finish(b.err == io.EOF)
	return nil
}

// finish ends the exchange once; later calls do nothing. The connection is reused only if the response was read
// completely, the request was written completely, no unexpected bytes arrived, and neither ctx nor the keep-alive time
// has ended.
func (x *exchange) finish(complete bool) {
	x.mu.Lock()
	ended := x.ended
	x.ended = true
	x.mu.Unlock()
	if ended {
		return
	}
	active := x.stop() // false if ctx has ended and its connection is being closed
	now := x.pool.spec.Now()
	if !complete || !x.isWritten() || !active || x.conn.buffered() > 0 || !x.conn.expires.IsZero() && !now.Before(x.conn.expires) {
		_ = x.conn.Close()
		return
	}
	x.pool.put(x.conn)
}

// abort ends an exchange without a response and closes its connection.
func (x *exchange) abort() {
	x.stop()
	_ = x.conn.Close()
}
