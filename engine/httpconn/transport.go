package httpconn

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// Transport is a transport of net/http that checks responses as a Pool does: one that was truncated, or whose status is invalid, is an error.
// The transport of net/http alone accepts the end of a connection that was reset while the request was being written.
type Transport struct{ base *http.Transport }

// NewTransport returns a transport that uses base, which must not be used otherwise.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: c}, nil
	}
	return &Transport{base}
}

// CloseIdleConnections closes the idle connections. http.Client calls it.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	s := &sending{}
	trace := &httptrace.ClientTrace{GotConn: s.start, WroteRequest: s.end}
	resp, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkStatus(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	if IsUnframed(resp) && !resp.Uncompressed { // compressed data has an end of its own
		resp.Body = &transportBody{ReadCloser: resp.Body, sending: s}
	}
	return resp, nil
}

// checkedConn is a connection that remembers how it ended.
type checkedConn struct {
	net.Conn
	mu  sync.Mutex
	cut error // of checkClosed at the end of the connection
}

// Read implements io.Reader.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		cut := checkClosed(c.Conn)
		c.mu.Lock()
		if c.cut == nil {
			c.cut = cut
		}
		c.mu.Unlock()
	}
	return n, err
}

// ReadFrom implements io.ReaderFrom, so that the connection's own method is used for large transfers.
func (c *checkedConn) ReadFrom(r io.Reader) (int64, error) { return io.Copy(c.Conn, r) }

// sending is the writing of one request. The transport may start it again on another connection.
type sending struct {
	mu   sync.Mutex
	conn *checkedConn
	done chan struct{} // closed when the request was written or failed
	err  error
}

func (s *sending) start(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn, _ = info.Conn.(*checkedConn)
	s.done, s.err = make(chan struct{}), nil
}

func (s *sending) end(info httptrace.WroteRequestInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.done:
	default:
		s.err = info.Err
		close(s.done)
	}
}

// checkEnd returns an error if the end of the connection is not the end of a complete response without a length.
func (s *sending) checkEnd() error {
	s.mu.Lock()
	done, conn := s.done, s.conn
	s.mu.Unlock()
	timer := time.NewTimer(maxSendWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		return fmt.Errorf("%w: the request was not written completely", ErrTruncated)
	}
	s.mu.Lock()
	err := s.err
	s.mu.Unlock()
	if err != nil {
		return fmt.Errorf("%w: the request was not written completely: %w", ErrTruncated, err)
	}
	if conn == nil {
		return nil
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.cut
}

// transportBody is the body of a response that ends with its connection. The body of net/http repeats its first error.
type transportBody struct {
	io.ReadCloser
	sending *sending
	err     error
}

// Read implements io.Reader.
func (b *transportBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if cut := b.sending.checkEnd(); cut != nil {
			err = cut
		}
	}
	b.err = err
	return n, err
}
