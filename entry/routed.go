package entry

import (
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/bramleytrail/bramleytrail/intake"
	"github.com/bramleytrail/bramleytrail/pipeline"
	"github.com/bramleytrail/bramleytrail/relay"
	"github.com/bramleytrail/bramleytrail/result"
)

// Protocol translates between the HTTP protocol of the callers of routed services and the pipeline. It must be safe for
// concurrent use.
type Protocol interface {
	// Request decodes a caller's request without its body. Its errors are those of requests that have not run.
	Request(r *http.Request) (*pipeline.Request, error)
	// Limits returns the operators' limits in force.
	Limits() Limits
	// RequestID returns the ID that a caller gave its request, empty for none.
	RequestID(r *http.Request) string
	// Failure returns the response to a request that failed with e.
	Failure(e *result.Error) (status int, h http.Header, body []byte)
}

// serveRouted serves a request of a route. It relies on net/http to refuse malformed requests; nbhttp accepts several kinds of
// them, see docs/platform.md.
func (s *Server) serveRouted(w http.ResponseWriter, r *http.Request) {
	c := &routedCaller{w: w, controller: http.NewResponseController(w), stallTimeout: s.spec.StallTimeout, protocol: s.spec.Protocol, aborted: &s.aborted}
	if s.keepAlivesDisabled.Load() {
		w.Header().Set("Connection", "close")
	}
	gated, _ := r.Context().Value(connKey{}).(*gatedConn)
	req, err := s.readRequest(r, gated)
	if err != nil {
		e := result.From(err)
		s.reportRefusal(s.spec.Protocol.RequestID(r), e)
		c.refuse(r, e, gated)
		return
	}
	err = s.spec.Pipeline.Route(r.Context(), req, c)
	if err != nil && c.begun {
		panic(http.ErrAbortHandler) // closes the connection, so that the caller sees that the answer is incomplete
	}
}

// errHeaderTooLarge is the error of a header section that exceeds the operators' limit.
var errHeaderTooLarge = errors.New("header section too large")

// readRequest reads a request. The body of a request that will be denied is read, so that the connection can be used again, but
// not kept.
func (s *Server) readRequest(r *http.Request, conn *gatedConn) (*pipeline.Request, error) {
	limits := s.spec.Protocol.Limits().orDefaults()
	lines, bytes := headerSize(r)
	if bytes > limits.HeaderBytes {
		return nil, result.Wrap(result.BadRequest, result.NotRun, errHeaderTooLarge)
	}
	if conn != nil {
		conn.inHeader.Store(false)
		if reason := conn.reserve(); reason != intake.ReasonNone {
			return nil, refusal(reason)
		}
	}
	b := &bodyReader{r: r, conn: conn, limit: limits.BodyBytes}
	if r.ContentLength > b.limit {
		return nil, b.tooLarge()
	}
	req, err := s.spec.Protocol.Request(r)
	if err != nil {
		return nil, err
	}
	s.spec.Pipeline.AwaitConfiguration(r.Context(), req)
	var team string
	team, req.Denied = s.spec.Pipeline.Denies(req)
	if conn != nil {
		if reason := conn.identify(team, intake.HeaderCost(lines, bytes)); reason != intake.ReasonNone {
			return nil, refusal(reason)
		}
	}
	if req.Denied {
		err = b.discard()
	} else {
		req.Body, err = b.all()
	}
	if err != nil {
		return nil, err
	}
	if conn != nil {
		if reason := conn.serve(); reason != intake.ReasonNone {
			return nil, refusal(reason)
		}
	}
	return req, nil
}

// headerSize returns the number of header fields and the least number of bytes with which they can have been sent.
func headerSize(r *http.Request) (lines, bytes int) {
	for name, values := range r.Header {
		for _, v := range values {
			lines++
			bytes += len(name) + len(v) + len(":\n")
		}
	}
	return lines, bytes
}

// routedCaller is a relay.Caller that sends the answer through net/http.
type routedCaller struct {
	w            http.ResponseWriter
	controller   *http.ResponseController
	stallTimeout time.Duration
	protocol     Protocol
	aborted      *atomic.Bool // Server.aborted
	begun        bool
	flush        bool // flush each write; set for answers of unknown length
}

// Begun reports whether the sending of an answer has begun.
func (c *routedCaller) Begun() bool { return c.begun }

// Begin implements relay.Caller. net/http sends the header with the first part of the body.
func (c *routedCaller) Begin(status int, h http.Header) error {
	if c.aborted.Load() {
		return errCallerGone
	}
	c.begun = true
	out := c.w.Header()
	for name, values := range h {
		out[name] = values
	}
	if h.Get("Content-Type") == "" {
		out["Content-Type"] = nil // keeps net/http from guessing one
	}
	if h.Get("Date") == "" {
		out["Date"] = nil
	}
	c.flush = h.Get("Content-Length") == ""
	c.w.WriteHeader(status)
	return nil
}

// Write implements relay.Caller.
func (c *routedCaller) Write(p []byte) (int, error) {
	if c.aborted.Load() {
		return 0, errCallerGone
	}
	c.limitWrite()
	n, err := c.w.Write(p)
	if err == nil && c.flush {
		err = c.controller.Flush()
	}
	return n, err
}

// limitWrite limits the time of the next write, and of what net/http writes after it. A caller that reads nothing would otherwise keep its
// place among the requests in flight.
func (c *routedCaller) limitWrite() {
	_ = c.controller.SetWriteDeadline(time.Now().Add(c.stallTimeout)) // on a closed connection, the write fails
}

// End implements relay.Caller. net/http completes the body when the handler returns.
func (c *routedCaller) End() error { return nil }

// Reply implements relay.Caller.
func (c *routedCaller) Reply(status int, h http.Header, body []byte) error {
	if c.aborted.Load() {
		return errCallerGone
	}
	c.limitWrite()
	return writeResponse(c.w, status, h, body)
}

// Fail implements relay.Failer.
func (c *routedCaller) Fail(e *result.Error) error {
	status, h, body := c.protocol.Failure(e)
	return c.Reply(status, h, body)
}

// refuse answers a request that was not read whole.
func (c *routedCaller) refuse(r *http.Request, e *result.Error, conn *gatedConn) {
	tooLarge := errors.Is(e, errHeaderTooLarge)
	refuseWith(c.w, r, conn, tooLarge, func() {
		if tooLarge && conn != nil {
			c.limitWrite()
			_ = writeResponse(c.w, http.StatusRequestHeaderFieldsTooLarge, nil, nil) // the caller may have left
		} else {
			_ = c.Fail(e) // the caller may have left
		}
	})
}

// refuseWith answers a request that was not read whole. The connection of a request that was ended, or whose header section is too large, is
// closed, after its client has had time to read the response.
func refuseWith(w http.ResponseWriter, r *http.Request, conn *gatedConn, tooLarge bool, respond func()) {
	if conn == nil || !tooLarge && !conn.ended.Load() {
		if conn != nil && r.ContentLength != 0 {
			_ = conn.SetReadDeadline(time.Now().Add(lingerTime)) // net/http reads the rest of a small body before it responds
		}
		respond()
		return
	}
	w.Header().Set("Connection", "close")
	respond()
	if http.NewResponseController(w).Flush() == nil {
		conn.linger()
	}
}

var _ relay.Failer = (*routedCaller)(nil)
