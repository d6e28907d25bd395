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

	"github.com/lesismal/nbio/nbhttp"

	"github.com/bramleytrail/bramleytrail/relay"
	"github.com/bramleytrail/bramleytrail/result"
)

// errNotHijackable can occur only if the engine changes the type of its response writer.
var errNotHijackable = errors.New("response writer can't be hijacked")

// errUnsupported is returned for a streamed answer on a caller that asked for a whole one.
var errUnsupported = errors.New("caller takes whole answers only")

// wholeCaller sends an answer in one piece through the engine, which keeps the connection for the next request.
type wholeCaller struct {
	w       http.ResponseWriter
	aborted *atomic.Bool
}

func (c *wholeCaller) Begin(int, http.Header) error { return errUnsupported }
func (c *wholeCaller) Write([]byte) (int, error)    { return 0, errUnsupported }
func (c *wholeCaller) End() error                   { return errUnsupported }
func (c *wholeCaller) Reply(status int, h http.Header, body []byte) error {
	if c.aborted.Load() {
		return errGone
	}
	return replyWhole(c.w, status, h, body)
}

func replyWhole(w http.ResponseWriter, status int, h http.Header, body []byte) error {
	for name, values := range h {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, err := w.Write(body)
	return err
}

func replyError(w http.ResponseWriter, err error, status int) {
	e := result.From(err)
	h := http.Header{}
	relay.ErrorHeader(h, e)
	if status == 0 {
		status = e.Code.Info().Status
	}
	_ = replyWhole(w, status, h, relay.ErrorBody(e)) // the caller may have left
}

func replyJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		replyError(w, err, 0)
		return
	}
	_ = replyWhole(w, http.StatusOK, http.Header{"Content-Type": {"application/json"}}, data) // the caller may have left
}

// socketBuffer is the size that is asked for the send buffer of a streamed answer. The kernel would let it grow to
// megabytes for a caller that reads slowly.
const socketBuffer = 32 << 10

// chunkBuffer holds a chunk of a usual event with its framing, so that it is one write to the connection. Without it,
// the chunked writer makes three writes of each event.
const chunkBuffer = 1 << 10

// errGone is returned for a write after the caller closed its connection.
var errGone = errors.New("caller closed the connection")

// streamCaller writes to the caller's connection directly. The engine's response writer reports neither a failed write
// nor a caller that has left; the connection does both.
type streamCaller struct {
	conn    net.Conn
	stall   time.Duration
	body    io.WriteCloser // chunked framing into out; nil until Begin
	out     *bufio.Writer
	begun   bool
	gone    atomic.Bool
	aborted *atomic.Bool
	once    sync.Once
}

// hijack takes over the connection. The returned context ends when the caller closes it.
func (s *Server) hijack(w http.ResponseWriter, r *http.Request) (*streamCaller, context.Context, error) {
	h, ok := w.(http.Hijacker)
	if !ok {
		return nil, nil, result.Wrap(result.Internal, result.NotRun, errNotHijackable)
	}
	conn, _, err := h.Hijack()
	if err != nil {
		return nil, nil, result.Wrap(result.Internal, result.NotRun, err)
	}
	_ = conn.SetReadDeadline(time.Time{}) // the engine's deadline for the next request
	limitSendBuffer(conn)
	ctx, cancel := context.WithCancel(r.Context())
	c := &streamCaller{conn: conn, stall: s.spec.StallTimeout, aborted: &s.aborted}
	s.mu.Lock()
	s.hijacked[c] = struct{}{}
	s.mu.Unlock()
	go watch(conn, func() {
		c.gone.Store(true)
		_ = conn.SetWriteDeadline(time.Now()) // ends a pending write; the connection may be closed already
		cancel()
	})
	return c, ctx, nil
}

// release ends a connection that was taken over.
func (s *Server) release(c *streamCaller) {
	c.close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.hijacked, c)
}

// closeHijacked ends the connections that were taken over, and with them their requests.
func (s *Server) closeHijacked() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.hijacked {
		c.close()
	}
}

// limitSendBuffer bounds the kernel's part of the memory of a stalled stream.
func limitSendBuffer(conn net.Conn) {
	if wrapped, ok := conn.(*nbhttp.Conn); ok {
		conn = wrapped.Conn
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(socketBuffer) // without it the stream works as well
	}
}

// watch waits until the caller closes the connection. What a caller sends during an answer is ignored, since the answer
// ends the connection.
func watch(conn net.Conn, left func()) {
	var buf [64]byte
	for {
		if _, err := conn.Read(buf[:]); err != nil {
			left()
			return
		}
	}
}

// Begun reports whether the answer's header was sent.
func (c *streamCaller) Begun() bool { return c.begun }

// Begin implements relay.Caller.
func (c *streamCaller) Begin(status int, h http.Header) error {
	h = h.Clone()
	h.Set("Transfer-Encoding", "chunked")
	c.out = bufio.NewWriterSize(deadlineWriter{c}, chunkBuffer)
	c.body = httputil.NewChunkedWriter(c.out)
	return c.sendHeader(status, h, nil)
}

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

// close ends the connection. Without End, the caller sees that the answer is incomplete.
func (c *streamCaller) close() { c.once.Do(func() { _ = c.conn.Close() }) }

// deadlineWriter writes to the connection. A write fails if the caller reads nothing for the stall timeout.
type deadlineWriter struct{ c *streamCaller }

func (w deadlineWriter) Write(p []byte) (int, error) {
	if err := w.c.conn.SetWriteDeadline(time.Now().Add(w.c.stall)); err != nil {
		return 0, err
	}
	if w.c.gone.Load() || w.c.aborted.Load() { // after SetWriteDeadline, which may have replaced the deadline of a caller that left
		return 0, errGone
	}
	return w.c.conn.Write(p)
}
