package weight

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"time"
)

// callTimeout bounds one call of the weight store.
const callTimeout = 5 * time.Second

// HTTPStore reads from the weight store over HTTP.
type HTTPStore struct {
	base string
	http *http.Client
}

// NewHTTPStore returns a client of the store at base.
func NewHTTPStore(base string) *HTTPStore { return NewHTTPStoreWith(base, nil) }

// NewHTTPStoreWith returns a client that opens connections with dial; nil stands for the library's own.
func NewHTTPStoreWith(base string, dial func(ctx context.Context, network, addr string) (net.Conn, error)) *HTTPStore {
	t := &http.Transport{DialContext: dial, IdleConnTimeout: time.Minute}
	return &HTTPStore{base: base, http: &http.Client{Transport: t, Timeout: callTimeout}}
}

// Reserve implements Store.
func (s *HTTPStore) Reserve(ctx context.Context, version string) (Ticket, error) {
	var t Ticket
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.base+"/v1/weights/"+url.PathEscape(version), nil)
	if err != nil {
		return t, fmt.Errorf("weight store: %w", err)
	}
	resp, err := s.http.Do(req)
	if err != nil {
		return t, fmt.Errorf("weight store: %w", err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusTooManyRequests:
		return t, ErrRateLimited
	default:
		return t, fmt.Errorf("weight store: status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&t); err != nil {
		return t, fmt.Errorf("weight store: %w", err)
	}
	return t, nil
}

// Handler serves store in the protocol that HTTPStore speaks.
func Handler(store Store) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/weights/{version}", func(w http.ResponseWriter, r *http.Request) {
		t, err := store.Reserve(r.Context(), r.PathValue("version"))
		switch {
		case errors.Is(err, ErrRateLimited):
			http.Error(w, err.Error(), http.StatusTooManyRequests)
		case err != nil:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		default:
			_ = json.NewEncoder(w).Encode(t) // a failed write means that the client has left
		}
	})
	return mux
}
