package rating

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// callTimeout limits one call of the rating service.
const callTimeout = 5 * time.Second

// maxPageRatings is the maximum number of ratings that Handler returns for one call.
const maxPageRatings = 1000

// HTTPSource is a Source that reads from the rating service over HTTP.
type HTTPSource struct {
	baseURL string
	client  *http.Client
}

// NewHTTPSource returns a client of the rating service at baseURL.
func NewHTTPSource(baseURL string) *HTTPSource { return NewHTTPSourceWith(baseURL, nil) }

// NewHTTPSourceWith returns a client that opens connections with dial, or with the default dialer if dial is nil.
func NewHTTPSourceWith(baseURL string, dial func(ctx context.Context, network, addr string) (net.Conn, error)) *HTTPSource {
	transport := &http.Transport{DialContext: dial, IdleConnTimeout: time.Minute}
	return &HTTPSource{baseURL: baseURL, client: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// maxPageBytes bounds a page of ratings.
const maxPageBytes = 16 << 20

// After implements Source.
func (s *HTTPSource) After(ctx context.Context, cursor uint64, limit int) (Page, error) {
	var page Page
	path := fmt.Sprintf("/v1/ratings?after=%d&limit=%d", cursor, limit)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.baseURL+path, nil)
	if err != nil {
		return page, fmt.Errorf("rating service: create request for ratings after %d: %w", cursor, err)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return page, fmt.Errorf("rating service: read ratings after %d: %w", cursor, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return page, fmt.Errorf("rating service: read ratings after %d: unexpected status %d", cursor, resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxPageBytes)).Decode(&page); err != nil {
		return page, fmt.Errorf("rating service: decode ratings after %d: %w", cursor, err)
	}
	return page, nil
}

// Handler serves a source over the HTTP protocol that HTTPSource reads. The source must be safe for concurrent use.
func Handler(source Source) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/ratings", func(w http.ResponseWriter, r *http.Request) {
		cursor, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
		if err != nil {
			http.Error(w, "bad cursor", http.StatusBadRequest)
			return
		}
		limit, err := strconv.Atoi(r.FormValue("limit"))
		if err != nil || limit < 1 {
			http.Error(w, "bad limit", http.StatusBadRequest)
			return
		}
		p, err := source.After(r.Context(), cursor, min(limit, maxPageRatings))
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_ = json.NewEncoder(w).Encode(p) // a write fails only if the client has disconnected
	})
	return mux
}
