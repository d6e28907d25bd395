package httpengine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/bramleytrail/bramleytrail/engine"
)

// cacheTransportBufSize is the size in bytes of the read and write buffers of a connection that carries a KV cache.
// With the 4 KiB of other connections, a cache of 1 GiB takes 262,144 system calls in each direction.
const cacheTransportBufSize = 64 << 10

// newCacheClient returns a client for transfers of KV caches. Each transfer uses a new connection, since a pooled one
// may have become unresponsive. The kernel sizes the receive buffer: the small one of token streams would limit the
// throughput on paths with latency.
func newCacheClient(dial DialFunc) *http.Client {
	return &http.Client{Transport: newTransportWith(dial, true, cacheTransportBufSize), CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

func cacheURL(addr, session string) string {
	return "http://" + addr + "/v1/cache/sessions/" + url.PathEscape(session)
}

// ExportCache implements engine.Client. A body that is shorter than its stated length, or a chunked one without its
// last chunk, ends with io.ErrUnexpectedEOF.
func (c *Client) ExportCache(ctx context.Context, addr, session string) (*engine.CacheExport, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, cacheURL(addr, session), nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", engine.ErrRejected, err)
	}
	resp, err := c.cacheClient.Do(req)
	if err != nil {
		return nil, transportError(err)
	}
	if err := statusError(resp.StatusCode); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return &engine.CacheExport{Body: resp.Body, Size: resp.ContentLength}, nil
}

// ImportCache implements engine.Client. If data fails, the connection is closed before the body is complete, so that
// the endpoint does not accept partial data as a complete cache.
func (c *Client) ImportCache(ctx context.Context, addr, session string, data io.Reader, size int64) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, cacheURL(addr, session), io.NopCloser(data))
	if err != nil {
		return "", fmt.Errorf("%w: %w", engine.ErrRejected, err)
	}
	req.ContentLength = size
	resp, err := c.cacheClient.Do(req)
	if err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return "", fmt.Errorf("%w: %w", engine.ErrTruncated, err)
		}
		return "", transportError(err)
	}
	defer resp.Body.Close()
	if err := statusError(resp.StatusCode); err != nil {
		return resp.Header.Get(HeaderBoot), err
	}
	// The end of the response tells whether the transfer was cut.
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxControlBytes)); err != nil {
		return resp.Header.Get(HeaderBoot), transportError(err)
	}
	return resp.Header.Get(HeaderBoot), nil
}
