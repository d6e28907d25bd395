package entry

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"github.com/bramleytrail/bramleytrail/claim"
	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/identify"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/pipeline"
	"github.com/bramleytrail/bramleytrail/relay"
	"github.com/bramleytrail/bramleytrail/result"
)

const (
	maxBodyBytes   = 4 << 20
	maxReadBytes   = maxBodyBytes + 64<<10 // body and header
	readBufferSize = 4 << 10               // for each connection
	keepaliveTime  = 2 * time.Minute
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	servicePrefix  = "/v1/services/"
)

// Spec configures a Server.
type Spec struct {
	Addr           string                                  // IP address and port
	TLS            *tls.Config                             // nil for plain HTTP
	Listen         func(addr string) (net.Listener, error) // nil for a TCP socket
	MaxConnections int
	// StallTimeout bounds the time for which a caller may read nothing.
	StallTimeout time.Duration
	// IdleTimeout bounds the time between two requests on a connection; 0 for two minutes.
	IdleTimeout time.Duration
	Pipeline    *pipeline.Pipeline
	Config      *config.Holder
	// Ready reports whether the balancer may send requests to this daemon.
	Ready func() bool
	// Protocol serves callers of routed services in place of those of the router's own interface; nil for the latter.
	Protocol Protocol
}

// Server is the callers' listener.
type Server struct {
	spec   Spec
	engine *nbhttp.Engine // nil with TLS or a listener of its own
	server *http.Server   // nil otherwise
	addr   string
	// aborted is set by Abort. Nothing is sent to callers from then on.
	aborted atomic.Bool
	leaving atomic.Bool // answers of routed services end their connections

	mu       sync.Mutex
	hijacked map[*streamCaller]struct{} // net/http does not close them
}

// New returns a server. It opens no port.
func New(spec Spec) *Server {
	if spec.IdleTimeout == 0 {
		spec.IdleTimeout = keepaliveTime
	}
	return &Server{spec: spec, hijacked: map[*streamCaller]struct{}{}}
}

// Start opens the port and serves callers.
//
// The engine runs in blocking mode: in non-blocking mode its write queue has no limit, so that a caller that reads
// slowly would fill the process's memory.
func (s *Server) Start() error {
	if s.spec.TLS != nil || s.spec.Listen != nil || s.spec.Protocol != nil {
		return s.startServer()
	}
	conf := nbhttp.Config{
		Name: "entry", Network: "tcp", Addrs: []string{s.spec.Addr}, IOMod: nbhttp.IOModBlocking, MaxBlockingOnline: s.spec.MaxConnections,
		MaxLoad: s.spec.MaxConnections, ReadLimit: maxReadBytes, MaxHTTPBodySize: maxBodyBytes,
		BlockingReadBufferSize: readBufferSize, KeepaliveTime: s.spec.IdleTimeout, Handler: s,
		Listen: func(network, addr string) (net.Listener, error) {
			ln, err := net.Listen(network, addr)
			if err == nil {
				s.addr = ln.Addr().String()
			}
			return ln, err
		},
	}
	s.engine = nbhttp.NewEngine(conf)
	// In blocking mode the engine stops reading a connection that is idle for too long, but does not close it.
	s.engine.OnClose(func(c net.Conn, _ error) { _ = c.Close() })
	if err := s.engine.Start(); err != nil {
		return fmt.Errorf("listen for callers on %s: %w", s.spec.Addr, err)
	}
	return nil
}

// startServer serves callers through net/http. On a TLS connection of nbhttp, a read after Hijack returns no bytes and no
// error at once, so that a caller that leaves would not be noticed; and nbhttp accepts only sockets.
func (s *Server) startServer() error {
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
		Handler: s, TLSConfig: s.spec.TLS, ReadHeaderTimeout: headerTimeout, ReadTimeout: keepaliveTime, IdleTimeout: keepaliveTime,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: log.New(io.Discard, "", 0),
		TLSNextProto: map[string]func(*http.Server, *tls.Conn, http.Handler){}, // HTTP/2 connections can't be hijacked
	}
	limited := &limitedListener{Listener: ln, free: make(chan struct{}, s.spec.MaxConnections)}
	serve := func() error { return s.server.Serve(limited) }
	if s.spec.TLS != nil {
		serve = func() error { return s.server.ServeTLS(limited, "", "") }
	}
	go func() { _ = serve() }() // returns http.ErrServerClosed after Shutdown
	return nil
}

// Addr returns the address that Start opened.
func (s *Server) Addr() string { return s.addr }

// Shutdown closes the port and all connections. Requests in flight must have ended: the engine does not wait for them.
func (s *Server) Shutdown(ctx context.Context) error {
	if s.server != nil {
		err := s.server.Close()
		s.closeHijacked()
		return err
	}
	return s.engine.Shutdown(ctx)
}

// Leave has each answer of a routed service end its connection, so that callers go elsewhere.
func (s *Server) Leave() { s.leaving.Store(true) }

// Finish closes the port and the idle connections of a server of routed services, and waits for its requests in flight
// until ctx ends.
func (s *Server) Finish(ctx context.Context) error { return s.server.Shutdown(ctx) }

// Abort sends nothing to callers from now on, as the loss of the host does. It is for tests.
func (s *Server) Abort() { s.aborted.Store(true) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.spec.Protocol != nil {
		s.routed(w, r)
		return
	}
	switch path := r.URL.Path; {
	case path == "/v1/chat/completions":
		s.chat(w, r)
	case path == "/v1/models":
		s.models(w, r)
	case path == "/readyz":
		s.ready(w)
	case path == "/healthz":
		w.WriteHeader(http.StatusOK)
	case strings.HasPrefix(path, servicePrefix):
		s.plain(w, r)
	case strings.HasPrefix(path, relay.ClaimPrefix):
		s.claim(w, r)
	default:
		replyError(w, result.Newf(result.BadRequest, "Unknown path."), http.StatusNotFound)
	}
}

func (s *Server) ready(w http.ResponseWriter) {
	if !s.spec.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// newRequest reads the request. Its identity is random; the caller's own identifiers are not trusted to be unique.
func newRequest(r *http.Request) (*pipeline.Request, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil {
		return nil, result.Wrap(result.BadRequest, result.NotRun, err)
	}
	if len(body) > maxBodyBytes {
		return nil, result.Newf(result.BodyTooLarge, "The limit is %d bytes.", maxBodyBytes)
	}
	return &pipeline.Request{ID: rand.Text(), Method: r.Method, Path: r.URL.RequestURI(), Header: r.Header.Clone(), Body: body}, nil
}

func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		replyError(w, result.Newf(result.BadRequest, "The method must be POST."), http.StatusMethodNotAllowed)
		return
	}
	req, err := newRequest(r)
	if err != nil {
		replyError(w, err, 0)
		return
	}
	if !req.WantsStream() {
		_ = s.spec.Pipeline.Chat(r.Context(), req, &wholeCaller{w: w, aborted: &s.aborted}) // reported to the caller and to Observe
		return
	}
	c, ctx, err := s.hijack(w, r)
	if err != nil {
		replyError(w, err, 0)
		return
	}
	defer s.release(c)
	_ = s.spec.Pipeline.Chat(ctx, req, c)
}

func (s *Server) plain(w http.ResponseWriter, r *http.Request) {
	service, path, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, servicePrefix), "/")
	req, err := newRequest(r)
	if err != nil {
		replyError(w, err, 0)
		return
	}
	req.Path = "/" + path
	if r.URL.RawQuery != "" {
		req.Path += "?" + r.URL.RawQuery
	}
	c, ctx, err := s.hijack(w, r)
	if err != nil {
		replyError(w, err, 0)
		return
	}
	defer s.release(c)
	_ = s.spec.Pipeline.Plain(ctx, service, req, c)
}

// authenticate finds the team of a request that passes no stage.
func (s *Server) authenticate(r *http.Request) (*config.View, *object.Team, error) {
	view := s.spec.Config.View()
	if view == nil {
		return nil, nil, result.Newf(result.NoConfiguration, "")
	}
	team, err := identify.Team(view, r.Header)
	return view, team, err
}

type claimStatus struct {
	State  claim.State `json:"state"`
	Owner  string      `json:"owner"`
	At     time.Time   `json:"at"`
	Status int         `json:"status,omitempty"`
}

// claim tells a caller what became of a non-repeatable call. The key is the rest of the path, or the Idempotency-Key
// header if the path has none, for keys that a client would change in a path. No reply but a stored outcome says
// whether the call ran: a delivery may be on its way, and old claims are removed.
func (s *Server) claim(w http.ResponseWriter, r *http.Request) {
	service, key, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, relay.ClaimPrefix), "/")
	if key == "" {
		key = r.Header.Get(identify.HeaderKey)
	}
	_, team, err := s.authenticate(r)
	if err != nil {
		e := *result.From(err)
		e.Ran = result.RunUnknown
		replyError(w, &e, 0)
		return
	}
	rec, err := s.spec.Pipeline.Claim.Lookup(r.Context(), service, team.Name, key)
	if err != nil {
		replyError(w, err, 0)
		return
	}
	if rec == nil {
		replyError(w, &result.Error{Code: result.BadRequest, Ran: result.RunUnknown, Detail: "No claim with this key exists."}, http.StatusNotFound)
		return
	}
	replyJSON(w, claimStatus{rec.State, rec.Owner, rec.At, rec.Status})
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

// models lists the models that the caller's team may use.
func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	view, team, err := s.authenticate(r)
	if err != nil {
		replyError(w, err, 0)
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, m := range team.Models {
		list.Data = append(list.Data, modelEntry{ID: m, Object: "model", Owner: view.Models[m].Service})
	}
	replyJSON(w, list)
}
