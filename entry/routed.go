package entry

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/bramleytrail/bramleytrail/pipeline"
	"github.com/bramleytrail/bramleytrail/relay"
	"github.com/bramleytrail/bramleytrail/result"
)

// Protocol translates between HTTP as the callers of routed services speak it and the pipeline.
type Protocol interface {
	// Request reads a caller's request.
	Request(r *http.Request) (*pipeline.Request, error)
	// Failure returns the answer to a request that failed.
	Failure(e *result.Error) (status int, h http.Header, body []byte)
}

// routed serves a request of a route. Connections are those of net/http, which refuses malformed requests; nbhttp serves
// several kinds of them, see docs/platform.md.
func (s *Server) routed(w http.ResponseWriter, r *http.Request) {
	c := &routedCaller{w: w, control: http.NewResponseController(w), stall: s.spec.StallTimeout, protocol: s.spec.Protocol, aborted: &s.aborted}
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	req, err := s.spec.Protocol.Request(r)
	if err != nil {
		c.fail(result.From(err))
		return
	}
	err = s.spec.Pipeline.Route(r.Context(), req, c)
	if err != nil && c.begun {
		panic(http.ErrAbortHandler) // closes the connection, so that the answer does not look whole
	}
}

// routedCaller sends an answer through net/http.
type routedCaller struct {
	w        http.ResponseWriter
	control  *http.ResponseController
	stall    time.Duration
	protocol Protocol
	aborted  *atomic.Bool
	begun    bool
	flush    bool // each write is sent at once
}

// Begun reports whether the header of an answer was sent.
func (c *routedCaller) Begun() bool { return c.begun }

// Begin implements relay.Caller. The header is sent with the first part of the body.
func (c *routedCaller) Begin(status int, h http.Header) error {
	if c.aborted.Load() {
		return errGone
	}
	c.begun = true
	out := c.w.Header()
	for name, values := range h {
		out[name] = values
	}
	if h.Get("Content-Type") == "" {
		out["Content-Type"] = nil // net/http would guess one
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
		return 0, errGone
	}
	if c.flush {
		_ = c.control.SetWriteDeadline(time.Now().Add(c.stall)) // a connection that is gone fails at the write
	}
	n, err := c.w.Write(p)
	if err == nil && c.flush {
		err = c.control.Flush()
	}
	return n, err
}

// End implements relay.Caller. The answer ends when the handler returns.
func (c *routedCaller) End() error { return nil }

// Reply implements relay.Caller.
func (c *routedCaller) Reply(status int, h http.Header, body []byte) error {
	if c.aborted.Load() {
		return errGone
	}
	return replyWhole(c.w, status, h, body)
}

// Fail implements relay.Failer.
func (c *routedCaller) Fail(e *result.Error) error {
	status, h, body := c.protocol.Failure(e)
	return c.Reply(status, h, body)
}

func (c *routedCaller) fail(e *result.Error) {
	_ = c.Fail(e) // the caller may have left
}

var _ relay.Failer = (*routedCaller)(nil)
