package httpengine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
)

const (
	connectTimeout   = time.Second
	idleTimeout      = 30 * time.Second
	maxIdlePerHost   = 64
	maxControlBytes  = 1 << 20 // load report or cache events
	maxHeaderBytes   = 64 << 10
	transportBufSize = 4 << 10 // read and write buffer of one connection
)

// maxAddresses bounds the addresses with kept connections; endpoints come and go under new addresses.
const maxAddresses = 4096

// Client implements engine.Client over HTTP.
type Client struct {
	dial     DialFunc     // of all calls but load reports and commands
	single   *http.Client // one connection for each call
	commands *http.Client // one connection for each load report or command, so that their bytes are counted apart
	caches   *http.Client // one connection for each export or import of a KV cache

	mu     sync.Mutex
	shared map[string]*http.Client // by address; each keeps connections
}

// NewClient returns a client. Each non-repeatable call uses a connection of its own: net/http sends a request with an
// Idempotency-Key header again if a kept connection turns out to be closed, which could run the call twice. So does each
// load report and each resumed stream: a kept connection may have gone silent while new ones work.
func NewClient() *Client { return NewClientWith(Sockets()) }

// NewClientWith returns a client that opens its connections with dial.
func NewClientWith(dial Dialers) *Client {
	return &Client{
		dial: dial.Calls, single: client(dial.Calls, true), commands: &http.Client{Transport: transport(dial.Commands, true)},
		caches: cacheClient(dial.Caches), shared: map[string]*http.Client{},
	}
}

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// Dialers are the functions that open the connections of a Client.
type Dialers struct {
	Calls    DialFunc
	Commands DialFunc // load reports and commands
	Caches   DialFunc // exports and imports of KV caches
}

// Sockets returns dialers of TCP connections.
func Sockets() Dialers {
	cache := &net.Dialer{Timeout: connectTimeout}
	return Dialers{Calls: dialSmall, Commands: dialSmall, Caches: cache.DialContext}
}

// Over returns dialers that all use dial.
func Over(dial DialFunc) Dialers { return Dialers{Calls: dial, Commands: dial, Caches: dial} }

// client follows no redirect: it would send the request again, possibly to a host that is no endpoint. The caller gets
// the redirect as the endpoint's answer.
func client(dial DialFunc, single bool) *http.Client {
	return &http.Client{
		Transport:     transport(dial, single),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// kept returns the client that keeps connections to an address.
func (c *Client) kept(addr string) *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.shared[addr]
	if h == nil {
		if len(c.shared) >= maxAddresses {
			c.closeIdle()
		}
		h = client(c.dial, false)
		c.shared[addr] = h
	}
	return h
}

// closeIdle forgets all kept connections. Those in use stay open until their calls end.
func (c *Client) closeIdle() {
	for addr, h := range c.shared {
		h.CloseIdleConnections()
		delete(c.shared, addr)
	}
}

// forget drops the kept connections to an address after a call that was cancelled because it made no progress.
func (c *Client) forget(ctx context.Context, addr string) {
	if !errors.Is(context.Cause(ctx), engine.ErrStalled) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.shared[addr]; h != nil {
		h.CloseIdleConnections()
		delete(c.shared, addr)
	}
}

// socketBuffer is the size that is asked for the receive buffer of a connection. The kernel would let it grow to
// megabytes while a slow caller holds an answer back.
const socketBuffer = 32 << 10

func dialSmall(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: connectTimeout}).DialContext(ctx, network, addr)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(socketBuffer) // without it the connection works as well
	}
	return conn, err
}

func transport(dial DialFunc, single bool) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		DisableKeepAlives:      single,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         transportBufSize,
		WriteBufferSize:        transportBufSize,
	}
}

// Close drops idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeIdle()
	c.single.CloseIdleConnections()
	c.commands.CloseIdleConnections()
	c.caches.CloseIdleConnections()
}

// Stream implements engine.Client.
func (c *Client) Stream(ctx context.Context, addr string, r engine.Request) (engine.Stream, error) {
	body, err := streamBody(r)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", engine.ErrRejected, err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequestID, r.ID)
	req.Header.Set(HeaderPriority, strconv.Itoa(r.Priority))
	if r.Session != "" {
		req.Header.Set(HeaderSession, r.Session)
	}
	return c.open(c.kept(addr), req)
}

// streamBody merges the caller's request with the fields that the router sets.
func streamBody(r engine.Request) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(r.Body, &fields); err != nil {
		return nil, fmt.Errorf("%w: %w", engine.ErrRejected, err)
	}
	set := func(name string, v any) error {
		data, err := json.Marshal(v)
		fields[name] = data
		return err
	}
	err := errors.Join(set("model", r.Version), set("stream", true), set("max_tokens", r.MaxTokens))
	if r.PriorTokens > 0 {
		err = errors.Join(err, set("continuation", Continuation{Text: r.Prior, Tokens: r.PriorTokens}))
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", engine.ErrRejected, err)
	}
	return json.Marshal(fields)
}

// Resume implements engine.Client.
func (c *Client) Resume(ctx context.Context, addr, id string, after int64) (engine.Stream, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/streams/"+url.PathEscape(id), nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", engine.ErrRejected, err)
	}
	req.Header.Set("Last-Event-ID", strconv.FormatInt(after, 10))
	return c.open(c.single, req)
}

func (c *Client) open(h *http.Client, req *http.Request) (engine.Stream, error) {
	resp, err := h.Do(req)
	if err != nil {
		c.forget(req.Context(), req.URL.Host)
		return nil, transportError(err)
	}
	if err := statusError(resp.StatusCode); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return NewStream(resp, func() { c.forget(req.Context(), req.URL.Host) }), nil
}

// transportError tells failures before the request was sent from later ones.
func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", engine.ErrUnreachable, err)
	}
	return fmt.Errorf("%w: %w", engine.ErrBroken, err)
}

func statusError(status int) error {
	switch {
	case status < 300:
		return nil
	case status < 400: // an engine has nothing to redirect to
		return fmt.Errorf("%w: status %d", engine.ErrFailed, status)
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return engine.ErrBusy
	case status == http.StatusNotFound:
		return engine.ErrUnknownStream
	case status == http.StatusPreconditionFailed:
		return engine.ErrStaleFence
	case status < 500:
		return fmt.Errorf("%w: status %d", engine.ErrRejected, status)
	default:
		return fmt.Errorf("%w: status %d", engine.ErrFailed, status)
	}
}

// Cancel implements engine.Client.
func (c *Client) Cancel(ctx context.Context, addr, id string) error {
	return c.control(ctx, http.MethodDelete, addr, "/v1/streams/"+url.PathEscape(id), nil, nil)
}

// Load implements engine.Client.
func (c *Client) Load(ctx context.Context, addr string) (engine.Load, error) {
	var l engine.Load
	if err := c.control(ctx, http.MethodGet, addr, "/v1/load", nil, &l); err != nil {
		return engine.Load{}, err
	}
	if err := l.Check(); err != nil {
		return engine.Load{}, err
	}
	return l, nil
}

// CacheEvents implements engine.Client.
func (c *Client) CacheEvents(ctx context.Context, addr string, after uint64) ([]engine.CacheEvent, error) {
	var events []engine.CacheEvent
	if err := c.control(ctx, http.MethodGet, addr, "/v1/cache/events?after="+strconv.FormatUint(after, 10), nil, &events); err != nil {
		return nil, err
	}
	for i := range events {
		if err := events[i].Check(); err != nil {
			return nil, err
		}
	}
	return events, nil
}

// Order implements engine.Client.
func (c *Client) Order(ctx context.Context, addr string, o engine.Order) error {
	data, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("%w: %w", engine.ErrRejected, err)
	}
	return c.control(ctx, http.MethodPost, addr, "/v1/orders", data, nil)
}

func (c *Client) control(ctx context.Context, method, addr, path string, in []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(in))
	if err != nil {
		return fmt.Errorf("%w: %w", engine.ErrRejected, err)
	}
	req.Header.Set("User-Agent", "") // leaves the header out; load reports are the largest part of control traffic
	resp, err := c.commands.Do(req)
	if err != nil {
		return transportError(err)
	}
	defer resp.Body.Close()
	if err := statusError(resp.StatusCode); err != nil {
		return err
	}
	if out == nil {
		_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxControlBytes))
		return err
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxControlBytes)).Decode(out); err != nil {
		return fmt.Errorf("%w: %w", engine.ErrBroken, err)
	}
	return nil
}

// hopHeaders are connection headers that are not forwarded.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// Call implements engine.Client.
func (c *Client) Call(ctx context.Context, addr string, r engine.PlainRequest) (*engine.PlainResponse, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+addr+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", engine.ErrRejected, err)
	}
	req.Header = r.Header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	for _, h := range hopHeaders {
		req.Header.Del(h)
	}
	req.Header.Set(HeaderRequestID, r.ID)
	client := c.single
	if r.Repeatable {
		client = c.kept(addr)
	}
	resp, err := client.Do(req)
	if err != nil {
		c.forget(ctx, addr)
		return nil, transportError(err)
	}
	return &engine.PlainResponse{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body}, nil
}
