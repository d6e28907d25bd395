package httpkv

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
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
)

// callTimeout bounds every call except a watch. The key-value store responds in milliseconds when it is up.
const callTimeout = 2 * time.Second

// maxResponseBytes bounds a response body. The largest page of a list takes 6 MiB when encoded, and a watch covers one
// key.
const maxResponseBytes = 16 << 20

// Client is a kv.Store that calls a server over HTTP. It is safe for concurrent use.
type Client struct {
	base  string
	agent string // User-Agent header; if empty, the default of net/http
	http  *http.Client
	// timeout bounds every call except a watch; tests raise it.
	timeout time.Duration
}

// NewClient returns a client of the key-value store at base, for example http://127.0.0.1:7000.
func NewClient(base string) *Client { return NewClientWith(base, "", nil) }

// NewClientWith returns a client that sends agent in the User-Agent header and opens connections with dial. If agent is
// empty or dial is nil, it uses the default of net/http.
func NewClientWith(base, agent string, dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Client {
	t := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}
	return &Client{base: base, agent: agent, http: &http.Client{Transport: t}, timeout: callTimeout}
}

// Close closes idle connections. Calls in progress continue.
func (c *Client) Close() { c.http.CloseIdleConnections() }

type casRequest struct {
	Value    []byte      `json:"value"`
	Previous kv.Revision `json:"previous"`
	Lease    kv.LeaseID  `json:"lease,omitempty"`
}

type revisionReply struct {
	Revision kv.Revision `json:"revision"`
}

type leaseRequest struct {
	TTL time.Duration `json:"ttl"`
}

type leaseReply struct {
	Lease kv.LeaseID `json:"lease"`
}

func keyPath(key string) string { return "/v1/keys/" + url.PathEscape(key) }

func leasePath(id kv.LeaseID) string { return "/v1/leases/" + strconv.FormatUint(uint64(id), 10) }

// Get implements kv.Store.
func (c *Client) Get(ctx context.Context, key string) (kv.Entry, error) {
	var e kv.Entry
	err := c.call(ctx, http.MethodGet, keyPath(key), nil, &e)
	return e, err
}

// CAS implements kv.Store.
func (c *Client) CAS(ctx context.Context, key string, value []byte, prev kv.Revision, lease kv.LeaseID) (kv.Revision, error) {
	if len(value) > kv.MaxValueBytes {
		return kv.Revision{}, kv.ErrTooLarge
	}
	var reply revisionReply
	err := c.call(ctx, http.MethodPut, keyPath(key), casRequest{Value: value, Previous: prev, Lease: lease}, &reply)
	return reply.Revision, err
}

// Delete implements kv.Store.
func (c *Client) Delete(ctx context.Context, key string, prev kv.Revision) error {
	return c.call(ctx, http.MethodDelete, keyPath(key)+"?previous="+url.QueryEscape(prev.String()), nil, nil)
}

// List implements kv.Store.
func (c *Client) List(ctx context.Context, r kv.Range) (kv.Page, error) {
	var out kv.Page
	limit, size := r.Bounds()
	query := url.Values{"prefix": {r.Prefix}, "from": {r.From}, "limit": {strconv.Itoa(limit)}, "bytes": {strconv.Itoa(size)}}
	err := c.call(ctx, http.MethodGet, "/v1/list?"+query.Encode(), nil, &out)
	return out, err
}

// Watch implements kv.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after kv.Revision) (kv.Changes, error) {
	var out kv.Changes
	path := "/v1/watch?prefix=" + url.QueryEscape(prefix) + "&after=" + url.QueryEscape(after.String())
	err := c.do(ctx, http.MethodGet, path, nil, &out)
	return out, err
}

// Grant implements kv.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	var reply leaseReply
	err := c.call(ctx, http.MethodPost, "/v1/leases", leaseRequest{TTL: ttl}, &reply)
	return reply.Lease, err
}

// KeepAlive implements kv.Store.
func (c *Client) KeepAlive(ctx context.Context, id kv.LeaseID) error {
	return c.call(ctx, http.MethodPost, leasePath(id), nil, nil)
}

// Revoke implements kv.Store.
func (c *Client) Revoke(ctx context.Context, id kv.LeaseID) error {
	return c.call(ctx, http.MethodDelete, leasePath(id), nil, nil)
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.do(ctx, method, path, in, out)
}

func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("kv: encode request %s %s: %w", method, path, err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return fmt.Errorf("kv: create request %s %s: %w", method, path, err)
	}
	if c.agent != "" {
		req.Header.Set("User-Agent", c.agent)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Join(kv.ErrUnavailable, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errors.Join(kv.ErrUnavailable, err)
	}
	if err := statusError(resp.StatusCode); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("kv: decode response to %s %s: %w", method, path, err)
	}
	return nil
}

// statusError maps an HTTP status to an error of package kv.
func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return kv.ErrNotFound
	case http.StatusConflict:
		return kv.ErrConflict
	case http.StatusGone:
		return kv.ErrNoLease
	case http.StatusRequestEntityTooLarge:
		return kv.ErrTooLarge
	default:
		return fmt.Errorf("%w: status %d", kv.ErrUnavailable, status)
	}
}
