package httpengine

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/bramleytrail/bramleytrail/engine"
)

func postRelease(t *testing.T, addr string, c *Client, repeatable bool) error {
	t.Helper()
	resp, err := c.Call(t.Context(), addr, engine.PlainRequest{
		ID: "r", Method: http.MethodPost, Path: "/release", Header: http.Header{"Idempotency-Key": {"lot-1"}}, Body: []byte("lot 1"), Repeatable: repeatable,
	})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body) // a body read to its end lets the connection be reused
	return err
}

// Guards against net/http's automatic retry: it resends a request with an Idempotency-Key when a pooled connection
// closes without a response, as happens if the endpoint ran the call and then failed. The endpoint drops its second
// response. With pooled connections the call runs a third time, which shows that the test would detect the retry of a
// non-repeatable call.
func TestOnlyTheSharedTransportResends(t *testing.T) {
	for _, c := range []struct {
		repeatable bool
		runs       int64
		fails      bool
	}{{true, 3, false}, {false, 2, true}} {
		var runs atomic.Int64
		srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			if runs.Add(1) == 2 {
				panic(http.ErrAbortHandler)
			}
		}))
		client, addr := NewClient(), strings.TrimPrefix(srv.URL, "http://")
		if err := postRelease(t, addr, client, c.repeatable); err != nil {
			t.Fatal(err)
		}
		err := postRelease(t, addr, client, c.repeatable)
		if got := runs.Load(); got != c.runs || (err != nil) != c.fails {
			t.Errorf("repeatable %t: the two calls ran %d times, want %d; error %v", c.repeatable, got, c.runs, err)
		}
		client.Close()
		srv.Close()
	}
}

// Guards against a call that runs twice because the client follows a redirect with the same method and body.
func TestRedirectsAreNotFollowed(t *testing.T) {
	var runs atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	}))
	defer srv.Close()
	client, addr := NewClient(), strings.TrimPrefix(srv.URL, "http://")
	defer client.Close()
	for _, repeatable := range []bool{true, false} {
		runs.Store(0)
		if err := postRelease(t, addr, client, repeatable); err != nil || runs.Load() != 1 {
			t.Errorf("repeatable %t: %d runs, error %v; want one run and the redirect as the answer", repeatable, runs.Load(), err)
		}
	}
	runs.Store(0)
	if _, err := client.Stream(context.Background(), addr, engine.Request{ID: "r", Version: "v", Body: []byte(`{}`)}); err == nil || runs.Load() != 1 {
		t.Errorf("stream: %d runs, error %v; want one run and an error", runs.Load(), err)
	}
}
