package entry

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleytrail/bramleytrail/claim"
	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/identify"
	"github.com/bramleytrail/bramleytrail/intake"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/pipeline"
	"github.com/bramleytrail/bramleytrail/relay"
	"github.com/bramleytrail/bramleytrail/result"
)

const (
	maxBodyBytes       = 4 << 20
	defaultIdleTimeout = 2 * time.Minute  // also the limit for reading a request
	headerTimeout      = 10 * time.Second // limit for reading a header
	maxHeaderBytes     = 64 << 10
	noTimeout          = 24 * time.Hour
	chatPath           = "/v1/chat/completions"
	servicePrefix      = "/v1/services/"
)

// Spec configures a Server.
type Spec struct {
	Addr           string                                  // IP address and port
	TLS            *tls.Config                             // nil for plain HTTP
	Listen         func(addr string) (net.Listener, error) // nil for a TCP socket
	MaxConnections int                                     // open at the same time
	// StallTimeout limits the time that one write of a streamed answer may take.
	StallTimeout time.Duration
	// IdleTimeout limits the time between two requests on a connection to a server without a protocol; 0 for two minutes. With custom
	// listeners the limit is always two minutes.
	IdleTimeout time.Duration
	Pipeline    *pipeline.Pipeline
	Config      *config.Holder
	// Ready reports whether the load balancer may send requests to this daemon. It is called for each readiness check.
	Ready func() bool
	// Protocol makes the server one of routed services: all requests are read by it and served as requests of routes. Nil
	// serves the router's own HTTP interface.
	Protocol Protocol
	// Intake bounds what callers make a server without a custom listener hold; its zero value sets no bound. OnEnd is called
	// for each of its connections that is refused or closed by a limit; it may be nil.
	Intake intake.Limits
	OnEnd  func(r intake.Reason)
	// OnRefuse is called with the ID of each request that is refused before the pipeline has it, empty for none; it may be nil.
	OnRefuse func(id string, e *result.Error)
}

// Server is the HTTP server for callers. Its methods are safe for concurrent use after Start has returned.
type Server struct {
	spec   Spec
	server *http.Server
	addr   string
	// aborted is set by Abort. Nothing is sent to callers from then on.
	aborted            atomic.Bool
	gate               *gate       // nil with a custom listener
	keepAlivesDisabled atomic.Bool // answers of routed services close their connections

	mu       sync.Mutex
	hijacked map[*streamCaller]struct{} // connections that net/http no longer closes
}

// New returns a server that is not started.
func New(spec Spec) *Server {
	if spec.IdleTimeout == 0 {
		spec.IdleTimeout = defaultIdleTimeout
	}
	s := &Server{spec: spec, hijacked: map[*streamCaller]struct{}{}}
	if spec.Listen == nil { // custom listeners are connections in memory
		s.gate = newGate(spec.Intake, s.limits, spec.OnEnd)
	}
	return s
}

// limits returns the operators' limits in force.
func (s *Server) limits() Limits {
	if s.spec.Protocol != nil {
		return s.spec.Protocol.Limits()
	}
	return Limits{IdleTimeout: s.spec.IdleTimeout}
}

// Held is what callers make a server hold.
type Held struct {
	Bytes       [intake.Kinds]int64
	Connections int
	Waiting     int // connections that wait for memory
	// RefusedAnswers counts the times that there was no memory for more of an answer.
	RefusedAnswers int64
}

// Held returns what callers make a server hold.
func (s *Server) Held() Held {
	if s.gate == nil {
		return Held{}
	}
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	t := s.gate.table
	h := Held{Connections: t.Connections(), Waiting: t.Waiting(), RefusedAnswers: t.RefusedAnswers()}
	for k := range intake.Kinds {
		h.Bytes[k] = t.HeldBytes(k)
	}
	return h
}

// Start opens the port and serves callers in the background.
func (s *Server) Start() error {
	listen := s.spec.Listen
	if listen == nil {
		listen = func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	}
	ln, err := listen(s.spec.Addr)
	if err != nil {
		return fmt.Errorf("listen for callers on %s: %w", s.spec.Addr, err)
	}
	s.addr = ln.Addr().String()
	s.server = &http.Server{
		Handler: s, ReadHeaderTimeout: headerTimeout, ReadTimeout: defaultIdleTimeout, IdleTimeout: defaultIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: log.New(io.Discard, "", 0),
	}
	var limited net.Listener
	if s.gate == nil {
		limited = &limitedListener{Listener: ln, slots: make(chan struct{}, s.spec.MaxConnections)}
		if s.spec.TLS != nil {
			limited = tls.NewListener(limited, s.spec.TLS)
		}
	} else {
		gated := newGatedListener(ln, s.gate, s.spec.MaxConnections)
		gated.tls = s.spec.TLS
		limited = gated
		s.server.MaxHeaderBytes, s.server.ConnContext, s.server.ConnState = 2*hardMaxHeaderBytes, connContext, connState
		s.server.IdleTimeout, s.server.ReadHeaderTimeout = noTimeout, noTimeout // the gate has the operators' limits
		go s.gate.run(gated.stop, sweepInterval)
	}
	go func() { _ = s.server.Serve(limited) }() // returns http.ErrServerClosed after Shutdown
	return nil
}

// Addr returns the IP address and port on which the server listens.
func (s *Server) Addr() string { return s.addr }

// Shutdown closes the port and all connections. It does not wait for requests in flight, which must have ended.
func (s *Server) Shutdown(context.Context) error {
	err := s.server.Close()
	s.closeHijacked()
	return err
}

// DisableKeepAlives makes each further answer of a routed service close its connection, so that callers connect to other
// daemons.
func (s *Server) DisableKeepAlives() { s.keepAlivesDisabled.Store(true) }

// Drain closes the port and idle connections of a server of routed services, and waits for its requests in flight. It returns
// the error of ctx if ctx ends first.
func (s *Server) Drain(ctx context.Context) error { return s.server.Shutdown(ctx) }

// Abort stops sending anything to callers, as if the host were lost. It is for tests.
func (s *Server) Abort() { s.aborted.Store(true) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.spec.Protocol != nil {
		s.serveRouted(w, r)
		return
	}
	conn, err := s.begin(r)
	if err != nil {
		s.refuse(w, r, conn, err)
		return
	}
	switch path := r.URL.Path; {
	case path == chatPath:
		s.serveChat(w, r, conn)
	case path == "/v1/models":
		s.serveModels(w, r)
	case path == "/readyz":
		s.serveReadiness(w)
	case path == "/healthz":
		w.WriteHeader(http.StatusOK)
	case strings.HasPrefix(path, servicePrefix):
		s.servePlain(w, r, conn)
	case strings.HasPrefix(path, relay.ClaimPrefix):
		s.serveClaim(w, r)
	default:
		writeError(w, result.Newf(result.BadRequest, "Unknown path."), http.StatusNotFound)
	}
}

// serveReadiness answers a readiness check with status 200 or 503.
func (s *Server) serveReadiness(w http.ResponseWriter) {
	if !s.spec.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// begin counts the header section of a request that is not of a route. A request without a body that is passed on is complete then.
func (s *Server) begin(r *http.Request) (*gatedConn, error) {
	conn, _ := r.Context().Value(connKey{}).(*gatedConn)
	if conn == nil {
		return nil, nil
	}
	lines, bytes := headerSize(r)
	if bytes > s.limits().orDefaults().HeaderBytes {
		return conn, result.Wrap(result.BadRequest, result.NotRun, errHeaderTooLarge)
	}
	conn.inHeader.Store(false)
	var group string
	if _, team, err := s.authenticate(r); err == nil {
		group = team.Name
	}
	if reason := conn.identify(group, intake.HeaderCost(lines, bytes)); reason != intake.ReasonNone {
		return conn, refusal(reason)
	}
	if path := r.URL.Path; path == chatPath || strings.HasPrefix(path, servicePrefix) {
		if reason := conn.reserve(); reason != intake.ReasonNone {
			return conn, refusal(reason)
		}
		return conn, nil // its body is read
	}
	if reason := conn.serve(); reason != intake.ReasonNone {
		return conn, refusal(reason)
	}
	return conn, nil
}

func (s *Server) reportRefusal(id string, e *result.Error) {
	if s.spec.OnRefuse != nil {
		s.spec.OnRefuse(id, e)
	}
}

// refuse answers a request that was not read whole.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, conn *gatedConn, err error) {
	s.reportRefusal("", result.From(err))
	status := 0
	if errors.Is(err, errHeaderTooLarge) {
		status = http.StatusRequestHeaderFieldsTooLarge
	}
	refuseWith(w, r, conn, errors.Is(err, errHeaderTooLarge), func() { writeError(w, err, status) })
}

// newRequest reads a request. Its ID is random, since IDs of callers can't be trusted to be unique. The body of a request that will be
// denied for want of a valid key is held, too, since a newer configuration may allow it. copies is that of bodyReader.
func newRequest(r *http.Request, conn *gatedConn, copies int64) (*pipeline.Request, error) {
	b := &bodyReader{r: r, conn: conn, limit: maxBodyBytes, copies: copies}
	if r.ContentLength > b.limit {
		return nil, b.tooLarge()
	}
	body, err := b.all()
	if err != nil {
		return nil, err
	}
	if conn != nil {
		if reason := conn.serve(); reason != intake.ReasonNone {
			return nil, refusal(reason)
		}
	}
	req := &pipeline.Request{ID: rand.Text(), Method: r.Method, Path: r.URL.RequestURI(), Header: r.Header.Clone(), Body: body}
	if conn != nil {
		req.Answer = intake.NewAllowance(conn)
	}
	return req, nil
}

// serveChat serves a chat completion request. Only a streamed answer takes over the connection.
func (s *Server) serveChat(w http.ResponseWriter, r *http.Request, conn *gatedConn) {
	if r.Method != http.MethodPost {
		writeError(w, result.Newf(result.BadRequest, "The method must be POST."), http.StatusMethodNotAllowed)
		return
	}
	req, err := newRequest(r, conn, pipeline.ChatCopies)
	if err != nil {
		s.refuse(w, r, conn, err)
		return
	}
	if !req.WantsStream() {
		_ = s.spec.Pipeline.Chat(r.Context(), req, &replyOnlyCaller{w: w, stallTimeout: s.spec.StallTimeout, aborted: &s.aborted}) // reported to the caller and to OnFinish
		return
	}
	c, ctx, err := s.hijack(w, r)
	if err != nil {
		writeError(w, err, 0)
		return
	}
	s.serveStream(c, func() { _ = s.spec.Pipeline.Chat(ctx, req, c) })
}

// servePlain serves a call of a plain service. The service is the first element of the path after servicePrefix, the path and
// query at the endpoint are what follows.
func (s *Server) servePlain(w http.ResponseWriter, r *http.Request, conn *gatedConn) {
	service, path, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, servicePrefix), "/")
	req, err := newRequest(r, conn, 1)
	if err != nil {
		s.refuse(w, r, conn, err)
		return
	}
	req.Path = "/" + path
	if r.URL.RawQuery != "" {
		req.Path += "?" + r.URL.RawQuery
	}
	c, ctx, err := s.hijack(w, r)
	if err != nil {
		writeError(w, err, 0)
		return
	}
	s.serveStream(c, func() { _ = s.spec.Pipeline.Plain(ctx, service, req, c) })
}

// authenticate returns the configuration in force and the team of a request that the pipeline does not serve.
func (s *Server) authenticate(r *http.Request) (*config.View, *object.Team, error) {
	view := s.spec.Config.View()
	if view == nil {
		return nil, nil, result.Newf(result.NoConfiguration, "")
	}
	team, err := identify.Team(view, r.Header)
	return view, team, err
}

// claimStatus is the JSON answer to a request for the outcome of a claimed call.
type claimStatus struct {
	State  claim.State `json:"state"`
	Owner  string      `json:"owner"`
	At     time.Time   `json:"at"`
	Status int         `json:"status,omitempty"`
}

// serveClaim returns the outcome of a non-repeatable call. The key is the remainder of the path, or the Idempotency-Key header
// if the path has none, for keys that HTTP clients would alter in a path. Only a stored outcome says whether the call ran;
// other responses leave it open, because a delivery may still arrive and old claims are removed.
func (s *Server) serveClaim(w http.ResponseWriter, r *http.Request) {
	service, key, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, relay.ClaimPrefix), "/")
	if key == "" {
		key = r.Header.Get(identify.HeaderIdempotencyKey)
	}
	_, team, err := s.authenticate(r)
	if err != nil {
		e := *result.From(err)
		e.Ran = result.RunUnknown
		writeError(w, &e, 0)
		return
	}
	rec, err := s.spec.Pipeline.Claim.Lookup(r.Context(), service, team.Name, key)
	if err != nil {
		writeError(w, err, 0)
		return
	}
	if rec == nil {
		writeError(w, &result.Error{Code: result.BadRequest, Ran: result.RunUnknown, Detail: "No claim with this key exists."}, http.StatusNotFound)
		return
	}
	writeJSON(w, claimStatus{rec.State, rec.Owner, rec.At, rec.Status})
}

type modelEntry struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Owner  string `json:"owned_by"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// serveModels lists the models that the caller's team may use.
func (s *Server) serveModels(w http.ResponseWriter, r *http.Request) {
	view, team, err := s.authenticate(r)
	if err != nil {
		writeError(w, err, 0)
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, m := range team.Models {
		list.Data = append(list.Data, modelEntry{ID: m, Object: "model", Owner: view.Models[m].Service})
	}
	writeJSON(w, list)
}
