package rating

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"
)

// callTimeout bounds one call of the rating service.
const callTimeout = 5 * time.Second

// maxPage bounds the ratings returned by one call.
const maxPage = 1000

// HTTPSource reads from the rating service over HTTP.
type HTTPSource struct {
	base string
	http *http.Client
}

// NewHTTPSource returns a client of the service at base.
func NewHTTPSource(base string) *HTTPSource { return NewHTTPSourceWith(base, nil) }

// NewHTTPSourceWith returns a client that opens connections with dial; nil stands for the library's own.
func NewHTTPSourceWith(base string, dial func(ctx context.Context, network, addr string) (net.Conn, error)) *HTTPSource {
	t := &http.Transport{DialContext: dial, IdleConnTimeout: time.Minute}
	return &HTTPSource{base: base, http: &http.Client{Transport: t, Timeout: callTimeout}}
}

// After implements Source.
func (s *HTTPSource) After(ctx context.Context, cursor uint64, limit int) (Page, error) {
	var p Page
	path := fmt.Sprintf("/v1/ratings?after=%d&limit=%d", cursor, limit)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.base+path, nil)
	if err != nil {
		return p, fmt.Errorf("rating service: %w", err)
	}
	resp, err := s.http.Do(req)
	if err != nil {
		return p, fmt.Errorf("rating service: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return p, fmt.Errorf("rating service: status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&p); err != nil {
		return p, fmt.Errorf("rating service: %w", err)
	}
	return p, nil
}

// Handler serves source in the protocol that HTTPSource reads.
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
		p, err := source.After(r.Context(), cursor, min(limit, maxPage))
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_ = json.NewEncoder(w).Encode(p) // a failed write means that the client has left
	})
	return mux
}
