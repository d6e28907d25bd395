package weight

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"
)

// callTimeout limits one call of the weight store.
const callTimeout = 5 * time.Second

// HTTPStore is a Store that calls the weight store over HTTP.
type HTTPStore struct {
	baseURL string
	client  *http.Client
}

// NewHTTPStore returns a client of the weight store at baseURL.
func NewHTTPStore(baseURL string) *HTTPStore { return NewHTTPStoreWith(baseURL, nil) }

// NewHTTPStoreWith returns a client that opens connections with dial, or with the default dialer if dial is nil.
func NewHTTPStoreWith(baseURL string, dial func(ctx context.Context, network, addr string) (net.Conn, error)) *HTTPStore {
	transport := &http.Transport{DialContext: dial, IdleConnTimeout: time.Minute}
	return &HTTPStore{baseURL: baseURL, client: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// maxTicketBytes bounds the answer to a reservation.
const maxTicketBytes = 64 << 10

// Reserve implements Store.
func (s *HTTPStore) Reserve(ctx context.Context, version string) (Ticket, error) {
	var ticket Ticket
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.baseURL+"/v1/weights/"+url.PathEscape(version), nil)
	if err != nil {
		return ticket, fmt.Errorf("weight store: create reservation request for version %q: %w", version, err)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return ticket, fmt.Errorf("weight store: reserve load of version %q: %w", version, err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusTooManyRequests:
		return ticket, ErrRateLimited
	default:
		return ticket, fmt.Errorf("weight store: reserve load of version %q: unexpected status %d", version, resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxTicketBytes)).Decode(&ticket); err != nil {
		return ticket, fmt.Errorf("weight store: decode ticket for version %q: %w", version, err)
	}
	return ticket, nil
}

// Handler serves a store over the HTTP protocol that HTTPStore uses. The store must be safe for concurrent use.
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
			_ = json.NewEncoder(w).Encode(t) // a write fails only if the client has disconnected
		}
	})
	return mux
}
