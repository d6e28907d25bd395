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
	"syscall"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/engine/httpconn"
)

const (
	connectTimeout   = time.Second
	idleTimeout      = 30 * time.Second
	maxIdlePerHost   = 64
	maxControlBytes  = 1 << 20 // load report or cache events
	maxHeaderBytes   = 64 << 10
	transportBufSize = 4 << 10 // read and write buffer of one connection
)

// maxPooledAddresses limits the addresses with pooled connections, since replaced endpoints get new addresses.
const maxPooledAddresses = 4096

// Client implements engine.Client over HTTP. It is safe for concurrent use.
type Client struct {
	dial           DialFunc     // all connections but those of load reports, commands and KV caches
	unpooledClient *http.Client // new connection for each call
	controlClient  *http.Client // new connection for each load report or command; their bytes are counted separately
	cacheClient    *http.Client // new connection for each export or import of a KV cache

	mu     sync.Mutex
	pooled map[string]*http.Client // by address; each keeps idle connections
}

// NewClient returns a client that uses TCP. Each non-repeatable call opens a new connection: net/http resends a request
// with an Idempotency-Key header if a pooled connection turns out to be closed, which could run the call twice. Load
// reports and resumed streams open a new connection too, since a pooled one may have become unresponsive while new ones
// work.
func NewClient() *Client { return NewClientWith(TCPDialers()) }

// NewClientWith returns a client that opens its connections with dial.
func NewClientWith(dial Dialers) *Client {
	return &Client{
		dial: dial.Calls, unpooledClient: newHTTPClient(dial.Calls, true), controlClient: &http.Client{Transport: newTransport(dial.Control, true)},
		cacheClient: newCacheClient(dial.Caches), pooled: map[string]*http.Client{},
	}
}

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// Dialers are the functions that open the connections of a Client, one for each kind of traffic.
type Dialers struct {
	Calls   DialFunc
	Control DialFunc // load reports and commands
	Caches  DialFunc // exports and imports of KV caches
}

// TCPDialers returns dialers that open TCP connections, with a timeout of 1 s.
func TCPDialers() Dialers {
	cache := &net.Dialer{Timeout: connectTimeout}
	return Dialers{Calls: dialTCP, Control: dialTCP, Caches: cache.DialContext}
}

// DialersFrom returns dialers that use dial for all traffic.
func DialersFrom(dial DialFunc) Dialers { return Dialers{Calls: dial, Control: dial, Caches: dial} }

// newHTTPClient returns a client that does not follow redirects: doing so would send the request again, possibly to a
// host that is not an endpoint. The caller gets the redirect as the endpoint's response.
func newHTTPClient(dial DialFunc, disableKeepAlives bool) *http.Client {
	return &http.Client{
		Transport:     newTransport(dial, disableKeepAlives),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// pooledClient returns the client that keeps connections to an address. When a new address would exceed the limit, the
// idle connections to all addresses are closed.
func (c *Client) pooledClient(addr string) *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.pooled[addr]
	if h == nil {
		if len(c.pooled) >= maxPooledAddresses {
			c.dropPooled()
		}
		h = newHTTPClient(c.dial, false)
		c.pooled[addr] = h
	}
	return h
}

// dropPooled closes the idle connections to all addresses. Those in use stay open until their calls end. The caller
// holds c.mu.
func (c *Client) dropPooled() {
	for addr, h := range c.pooled {
		h.CloseIdleConnections()
		delete(c.pooled, addr)
	}
}

// dropStalled closes the pooled connections to an address if ctx was cancelled because a call made no progress.
func (c *Client) dropStalled(ctx context.Context, addr string) {
	if !errors.Is(context.Cause(ctx), engine.ErrStalled) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.pooled[addr]; h != nil {
		h.CloseIdleConnections()
		delete(c.pooled, addr)
	}
}

// receiveBufSize is the requested size in bytes of a connection's receive buffer. The kernel would let it grow to
// megabytes while a slow caller delays reading a response.
const receiveBufSize = 32 << 10

// dialTCP opens a TCP connection with a limited receive buffer.
func dialTCP(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: connectTimeout}).DialContext(ctx, network, addr)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(receiveBufSize) // an optimization; the connection works without it
	}
	return conn, err
}

// newTransport returns a transport that opens connections with dial.
func newTransport(dial DialFunc, disableKeepAlives bool) *httpconn.Transport {
	return newTransportWith(dial, disableKeepAlives, transportBufSize)
}

// newTransportWith is like newTransport, with buffers of a size in bytes.
func newTransportWith(dial DialFunc, disableKeepAlives bool, bufSize int) *httpconn.Transport {
	return httpconn.NewTransport(&http.Transport{
		DialContext:            dial,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		DisableKeepAlives:      disableKeepAlives,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         bufSize,
		WriteBufferSize:        bufSize,
	})
}

// Close closes idle connections. Calls in progress continue.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropPooled()
	c.unpooledClient.CloseIdleConnections()
	c.controlClient.CloseIdleConnections()
	c.cacheClient.CloseIdleConnections()
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
	return c.openStream(c.pooledClient(addr), req)
}

// streamBody returns the caller's JSON body with the fields that the router sets.
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
		err = errors.Join(err, set("continuation", Continuation{Text: r.PriorText, Tokens: r.PriorTokens}))
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
	return c.openStream(c.unpooledClient, req)
}

// openStream sends a request with client and returns the stream in its response.
func (c *Client) openStream(client *http.Client, req *http.Request) (engine.Stream, error) {
	resp, err := client.Do(req)
	if err != nil {
		c.dropStalled(req.Context(), req.URL.Host)
		return nil, transportError(err)
	}
	if err := statusError(resp.StatusCode); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return NewStream(resp, func() { c.dropStalled(req.Context(), req.URL.Host) }), nil
}

// transportError wraps ErrUnreachable if the connection could not be opened, so that nothing was sent, ErrFailed if the response has an
// invalid status, which is an error of the endpoint, and ErrBroken otherwise. After ErrBroken, a stream would be requested again from the
// same endpoint.
func transportError(err error) error {
	if errors.Is(err, httpconn.ErrInvalidStatus) {
		return fmt.Errorf("%w: %w", engine.ErrFailed, err)
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", engine.ErrUnreachable, err)
	}
	return fmt.Errorf("%w: %w", engine.ErrBroken, err)
}

// statusError returns the engine error for an HTTP status, nil below 300.
func statusError(status int) error {
	switch {
	case status < 300:
		return nil
	case status < 400: // engines do not redirect
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
	return c.doControl(ctx, http.MethodDelete, addr, "/v1/streams/"+url.PathEscape(id), nil, nil)
}

// Load implements engine.Client.
func (c *Client) Load(ctx context.Context, addr string) (engine.Load, error) {
	var l engine.Load
	if err := c.doControl(ctx, http.MethodGet, addr, "/v1/load", nil, &l); err != nil {
		return engine.Load{}, err
	}
	if err := l.Validate(); err != nil {
		return engine.Load{}, err
	}
	return l, nil
}

// CacheEvents implements engine.Client.
func (c *Client) CacheEvents(ctx context.Context, addr string, after uint64) ([]engine.CacheEvent, error) {
	var events []engine.CacheEvent
	if err := c.doControl(ctx, http.MethodGet, addr, "/v1/cache/events?after="+strconv.FormatUint(after, 10), nil, &events); err != nil {
		return nil, err
	}
	for i := range events {
		if err := events[i].Validate(); err != nil {
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
	return c.doControl(ctx, http.MethodPost, addr, "/v1/orders", data, nil)
}

// doControl sends a control request and decodes the JSON response into out, or discards the response if out is nil.
func (c *Client) doControl(ctx context.Context, method, addr, path string, in []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(in))
	if err != nil {
		return fmt.Errorf("%w: %w", engine.ErrRejected, err)
	}
	req.Header.Set("User-Agent", "") // omits the header, since load reports are the largest part of control traffic
	resp, err := c.controlClient.Do(req)
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

// hopHeaders are hop-by-hop headers, which are not forwarded.
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
	client := c.unpooledClient
	if r.Repeatable {
		client = c.pooledClient(addr)
	}
	resp, err := client.Do(req)
	if err != nil {
		c.dropStalled(ctx, addr)
		return nil, transportError(err)
	}
	unframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	return &engine.PlainResponse{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body, Unframed: unframed}, nil
}

// IsDown reports whether the host of an address refuses connections, so that the process that listened there has ended.
func (c *Client) IsDown(ctx context.Context, addr string) bool {
	conn, err := c.dial(ctx, "tcp", addr)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
