package entry

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/bramleytrail/bramleytrail/pipeline"
	"github.com/bramleytrail/bramleytrail/relay"
	"github.com/bramleytrail/bramleytrail/result"
)

// Protocol translates between the HTTP protocol of the callers of routed services and the pipeline. It must be safe for
// concurrent use.
type Protocol interface {
	// Request reads a caller's request.
	Request(r *http.Request) (*pipeline.Request, error)
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
	req, err := s.spec.Protocol.Request(r)
	if err != nil {
		c.fail(result.From(err))
		return
	}
	err = s.spec.Pipeline.Route(r.Context(), req, c)
	if err != nil && c.begun {
		panic(http.ErrAbortHandler) // closes the connection, so that the caller sees that the answer is incomplete
	}
}

// routedCaller is a relay.Caller that sends the answer through net/http.
type routedCaller struct {
	w            http.ResponseWriter
	controller   *http.ResponseController
	stallTimeout time.Duration
	protocol     Protocol
	aborted      *atomic.Bool // Server.aborted
	begun        bool
	flush        bool // flush each write and limit its time; set for answers of unknown length
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
	if c.flush {
		_ = c.controller.SetWriteDeadline(time.Now().Add(c.stallTimeout)) // on a closed connection, the write fails
	}
	n, err := c.w.Write(p)
	if err == nil && c.flush {
		err = c.controller.Flush()
	}
	return n, err
}

// End implements relay.Caller. net/http completes the body when the handler returns.
func (c *routedCaller) End() error { return nil }

// Reply implements relay.Caller.
func (c *routedCaller) Reply(status int, h http.Header, body []byte) error {
	if c.aborted.Load() {
		return errCallerGone
	}
	return writeResponse(c.w, status, h, body)
}

// Fail implements relay.Failer.
func (c *routedCaller) Fail(e *result.Error) error {
	status, h, body := c.protocol.Failure(e)
	return c.Reply(status, h, body)
}

// fail is Fail for a caller that may have left.
func (c *routedCaller) fail(e *result.Error) {
	_ = c.Fail(e) // the caller may have left
}

var _ relay.Failer = (*routedCaller)(nil)
