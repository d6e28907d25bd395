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

// cacheBufSize is the read and write buffer of a connection that carries a KV cache. With the 4 KiB of other connections,
// a cache of 1 GiB takes 262,144 system calls in each direction.
const cacheBufSize = 64 << 10

// cacheClient returns a client for KV caches. Each uses a new connection, since a kept one may have gone silent, and the
// receive buffer is left to the kernel: the small one of token streams would limit the rate on paths with latency.
func cacheClient(dial DialFunc) *http.Client {
	t := transport(dial, true)
	t.ReadBufferSize, t.WriteBufferSize = cacheBufSize, cacheBufSize
	return &http.Client{Transport: t, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

func cacheURL(addr, session string) string {
	return "http://" + addr + "/v1/cache/sessions/" + url.PathEscape(session)
}

// ExportCache implements engine.Client. A body that is shorter than its stated length, or a chunked one without its last
// chunk, ends with io.ErrUnexpectedEOF.
func (c *Client) ExportCache(ctx context.Context, addr, session string) (*engine.CacheExport, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, cacheURL(addr, session), nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", engine.ErrRejected, err)
	}
	resp, err := c.caches.Do(req)
	if err != nil {
		return nil, transportError(err)
	}
	if err := statusError(resp.StatusCode); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return &engine.CacheExport{Body: resp.Body, Size: resp.ContentLength}, nil
}

// ImportCache implements engine.Client. If data fails, the connection is closed before the body is complete, so that the
// endpoint can't take the part for the whole.
func (c *Client) ImportCache(ctx context.Context, addr, session string, data io.Reader, size int64) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, cacheURL(addr, session), io.NopCloser(data))
	if err != nil {
		return "", fmt.Errorf("%w: %w", engine.ErrRejected, err)
	}
	req.ContentLength = size
	resp, err := c.caches.Do(req)
	if err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return "", fmt.Errorf("%w: %w", engine.ErrTruncated, err)
		}
		return "", transportError(err)
	}
	defer resp.Body.Close()
	return resp.Header.Get(HeaderBoot), statusError(resp.StatusCode)
}
