package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleytrail/bramleytrail/relay"
	"github.com/bramleytrail/bramleytrail/result"
)

// errNotHijackable can only occur if net/http changes the type of its response writer.
var errNotHijackable = errors.New("response writer does not implement http.Hijacker")

// errStreamUnsupported is returned if an answer is streamed to a caller that did not ask for a stream.
var errStreamUnsupported = errors.New("caller did not ask for a streamed answer")

// replyOnlyCaller is a relay.Caller that only supports Reply. It sends the answer through the HTTP server, which keeps the
// connection open for the next request.
type replyOnlyCaller struct {
	w            http.ResponseWriter
	stallTimeout time.Duration
	aborted      *atomic.Bool // Server.aborted
}

func (c *replyOnlyCaller) Begin(int, http.Header) error { return errStreamUnsupported }
func (c *replyOnlyCaller) Write([]byte) (int, error)    { return 0, errStreamUnsupported }
func (c *replyOnlyCaller) End() error                   { return errStreamUnsupported }
func (c *replyOnlyCaller) Reply(status int, h http.Header, body []byte) error {
	if c.aborted.Load() {
		return errCallerGone
	}
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(c.stallTimeout)) // on a closed connection, the write fails
	return writeResponse(c.w, status, h, body)
}

// writeResponse sends a complete response.
func writeResponse(w http.ResponseWriter, status int, h http.Header, body []byte) error {
	for name, values := range h {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, err := w.Write(body)
	return err
}

// writeError sends an error response for err. A status of 0 means that of the error's code.
func writeError(w http.ResponseWriter, err error, status int) {
	e := result.From(err)
	h := http.Header{}
	relay.SetErrorHeaders(h, e)
	if status == 0 {
		status = e.Code.Info().Status
	}
	_ = writeResponse(w, status, h, relay.ErrorBody(e)) // the caller may have left
}

// writeJSON sends v as a JSON response with status 200.
func writeJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		writeError(w, err, 0)
		return
	}
	_ = writeResponse(w, http.StatusOK, http.Header{"Content-Type": {"application/json"}}, data) // the caller may have left
}

// sendBufferSize is the size in bytes requested for the socket's send buffer of a streamed answer. By default the kernel lets
// the buffer of a slow reader grow to megabytes.
const sendBufferSize = 32 << 10

// chunkBufferSize is large enough for the chunk of a usual event with its framing, so that the event is one write to the
// connection. Without the buffer, the chunked writer makes three writes for each event.
const chunkBufferSize = 1 << 10

// errCallerGone is returned by writes after the caller closed its connection or the server was aborted.
var errCallerGone = errors.New("caller closed the connection")

// streamCaller is a relay.Caller that writes to a hijacked connection. A write to it returns its error, and a read shows
// that the caller has left. All methods are for the goroutine of the request, except
// that close may be called by any.
type streamCaller struct {
	conn         net.Conn
	stallTimeout time.Duration
	body         io.WriteCloser // writes chunks to out; nil until Begin
	out          *bufio.Writer  // buffers a chunk; nil until Begin
	begun        bool
	disconnected atomic.Bool  // the caller closed the connection, or closeStream did
	aborted      *atomic.Bool // Server.aborted
	closeOnce    sync.Once
}

// hijack takes over the connection of a request. The returned context is cancelled when the caller closes the connection. The
// caller of hijack must call closeStream.
func (s *Server) hijack(w http.ResponseWriter, r *http.Request) (*streamCaller, context.Context, error) {
	h, ok := w.(http.Hijacker)
	if !ok {
		return nil, nil, result.Wrap(result.Internal, result.NotRun, errNotHijackable)
	}
	conn, _, err := h.Hijack()
	if err != nil {
		return nil, nil, result.Wrap(result.Internal, result.NotRun, err)
	}
	_ = conn.SetReadDeadline(time.Time{}) // removes the server's deadline for the next request
	limitSendBuffer(conn)
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.Context())) // the handler returns before the request ends
	c := &streamCaller{conn: conn, stallTimeout: s.spec.StallTimeout, aborted: &s.aborted}
	s.mu.Lock()
	s.hijacked[c] = struct{}{}
	s.mu.Unlock()
	go awaitClose(conn, func() {
		c.disconnected.Store(true)
		_ = conn.SetWriteDeadline(time.Now()) // ends a blocked write; fails if the connection is already closed
		cancel()
	})
	return c, ctx, nil
}

// serveStream serves a request on a hijacked connection after its handler has returned, which frees the buffers of net/http for the connection
// (some 10 KB). A panic ends the request only, as in a handler.
func (s *Server) serveStream(c *streamCaller, serve func()) {
	go func() {
		defer func() { _ = recover() }()
		defer s.closeStream(c)
		serve()
	}()
}

// closeStream closes a hijacked connection.
func (s *Server) closeStream(c *streamCaller) {
	c.close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.hijacked, c)
}

// closeHijacked closes all hijacked connections, which cancels their requests.
func (s *Server) closeHijacked() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.hijacked {
		c.close()
	}
}

// limitSendBuffer limits the kernel memory that a stalled stream uses. It has no effect on connections other than TCP.
func limitSendBuffer(conn net.Conn) {
	if wrapped, ok := conn.(*gatedConn); ok {
		conn = wrapped.raw
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(sendBufferSize) // the stream also works without it
	}
}

// awaitClose calls onClose once the caller has closed the connection, and returns. It discards what the caller sends during
// the answer: the connection is closed after it, so that no further request can be served.
func awaitClose(conn net.Conn, onClose func()) {
	var buf [64]byte
	for {
		if _, err := conn.Read(buf[:]); err != nil {
			onClose()
			return
		}
	}
}

// Begun reports whether the sending of an answer has begun.
func (c *streamCaller) Begun() bool { return c.begun }

// Begin implements relay.Caller.
func (c *streamCaller) Begin(status int, h http.Header) error {
	h = h.Clone()
	h.Set("Transfer-Encoding", "chunked")
	c.out = bufio.NewWriterSize(deadlineWriter{c}, chunkBufferSize)
	c.body = httputil.NewChunkedWriter(c.out)
	return c.sendHeader(status, h, nil)
}

// sendHeader sends the status and header, and the body if it is not nil, in one write.
func (c *streamCaller) sendHeader(status int, h http.Header, body []byte) error {
	c.begun = true
	h.Set("Connection", "close")
	var buf bytes.Buffer
	fmt.Fprintf(&buf, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if err := h.Write(&buf); err != nil {
		return err
	}
	buf.WriteString("\r\n")
	buf.Write(body)
	_, err := deadlineWriter{c}.Write(buf.Bytes())
	return err
}

// Write implements relay.Caller.
func (c *streamCaller) Write(p []byte) (int, error) {
	n, err := c.body.Write(p)
	if err != nil {
		return n, err
	}
	return n, c.out.Flush()
}

// End implements relay.Caller.
func (c *streamCaller) End() error {
	if err := c.body.Close(); err != nil {
		return err
	}
	if _, err := c.out.WriteString("\r\n"); err != nil {
		return err
	}
	return c.out.Flush()
}

// Reply implements relay.Caller.
func (c *streamCaller) Reply(status int, h http.Header, body []byte) error {
	h = h.Clone()
	h.Set("Content-Length", strconv.Itoa(len(body)))
	return c.sendHeader(status, h, body)
}

// close closes the connection. If End was not called, the caller sees that the answer is incomplete. Further calls do nothing.
func (c *streamCaller) close() { c.closeOnce.Do(func() { _ = c.conn.Close() }) }

// deadlineWriter writes to the connection. A write fails if it is not complete within the stall timeout.
type deadlineWriter struct{ c *streamCaller }

func (w deadlineWriter) Write(p []byte) (int, error) {
	if err := w.c.conn.SetWriteDeadline(time.Now().Add(w.c.stallTimeout)); err != nil {
		return 0, err
	}
	// Must follow SetWriteDeadline, which may have replaced the deadline that hijack sets when the caller leaves.
	if w.c.disconnected.Load() || w.c.aborted.Load() {
		return 0, errCallerGone
	}
	return w.c.conn.Write(p)
}
