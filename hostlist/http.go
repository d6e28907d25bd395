package hostlist

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// HTTPSource is a Source that reads the list over HTTP.
type HTTPSource struct {
	base  string
	agent string // User-Agent header; empty for the default of net/http
	http  *http.Client
}

// NewHTTPSource returns a source that reads from the service at the URL base.
func NewHTTPSource(base string) *HTTPSource { return NewHTTPSourceWith(base, "", nil) }

// NewHTTPSourceWith returns a source that sends agent as its User-Agent and opens connections with dial. An empty agent
// and a nil dial mean the defaults of net/http.
func NewHTTPSourceWith(base, agent string, dial func(ctx context.Context, network, addr string) (net.Conn, error)) *HTTPSource {
	t := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}
	return &HTTPSource{base: base, agent: agent, http: &http.Client{Transport: t}}
}

// Close closes idle connections.
func (s *HTTPSource) Close() { s.http.CloseIdleConnections() }

// maxListBytes bounds the decompressed host list.
const maxListBytes = 16 << 20

// List implements Source.
func (s *HTTPSource) List(ctx context.Context, known uint64) (List, error) {
	var list List
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.base+"/v1/hosts?known="+strconv.FormatUint(known, 10), nil)
	if err != nil {
		return list, fmt.Errorf("create host list request: %w", err)
	}
	if s.agent != "" {
		req.Header.Set("User-Agent", s.agent)
	}
	resp, err := s.http.Do(req)
	if err != nil {
		return list, fmt.Errorf("read host list: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return list, fmt.Errorf("read host list: HTTP status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&list); err != nil {
		return list, fmt.Errorf("decode host list: %w", err)
	}
	return list, nil
}

// Handler returns a handler that serves source to clients of type HTTPSource. It compresses the list for clients that
// accept gzip, as HTTPSource does.
func Handler(source Source) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		known, err := strconv.ParseUint(r.FormValue("known"), 10, 64)
		if err != nil {
			http.Error(w, "bad revision", http.StatusBadRequest)
			return
		}
		list, err := source.List(r.Context(), known)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		writeList(w, r, list)
	})
}

// writeList writes the list as JSON. It ignores failed writes, since they mean that the client has disconnected.
func writeList(w http.ResponseWriter, r *http.Request, list List) {
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_ = json.NewEncoder(w).Encode(list)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	zw := gzip.NewWriter(w)
	_ = json.NewEncoder(zw).Encode(list)
	_ = zw.Close()
}
