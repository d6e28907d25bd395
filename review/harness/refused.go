package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Traffic and times of the case.
const (
	greyServers  = 7
	greyShare    = 0.45 // srv_grey: x
	greyFor      = 6500 * time.Millisecond
	greyWarmUp   = 3 * time.Second
	greyRest     = 2 * time.Second
	orderEvery   = 10 * time.Millisecond
	orderWork    = 15 * time.Millisecond
	orderTimeout = 1500 * time.Millisecond
)

// refused plays calls that must not run twice. The trouble: one server of seven fails part of its requests after it has run them, with a
// bare 503 that does not say that the request has not run.
func refused(rec *record, trouble bool) (bool, error) {
	w, err := newWorld(rec, map[string]any{
		"version":  3,
		"routes":   []any{map[string]any{"name": "fee", "host": callerHost, "path-prefix": "/fee/", "kind": "non_idempotent", "timeout-ms": 800, "target-latency-ms": 100, "service": "app", "attempts": 1}},
		"services": []any{map[string]any{"name": "app", "health-check-path": "/health", "connection-limit": 96, "protocol": "h1", "cold-start-s": 0, "cold-per-s": 0}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []any{map[string]any{"name": "tenant", "api-keys": []string{callerKey}}},
	})
	if err != nil {
		return false, err
	}
	defer w.close()
	var grey atomic.Bool
	var mu sync.Mutex
	ran := map[string]int{} // times that a request ran, by ID
	for i := range greyServers {
		id := fmt.Sprintf("i-%d", i)
		if _, err := w.addEndpoint(id, "app", "v1", 6, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				panic(http.ErrAbortHandler)
			}
			time.Sleep(orderWork)
			request := r.Header.Get("X-Attempt-Id")
			mu.Lock()
			ran[request]++
			mu.Unlock()
			rec.notef("%s ran %s", id, request)
			if i == 0 && grey.Load() && rand.Float64() < greyShare {
				rec.notef("%s answers %s with 503, without X-Not-Executed", id, request)
				rw.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			rw.Header().Set("X-Response-Seal", "seal."+id)
			_, _ = fmt.Fprintf(rw, "answer to %s", request) // the caller may have left
		})); err != nil {
			return false, err
		}
	}
	for range 2 {
		if _, err := w.addDaemon(134); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	traffic := &callers{rec: rec}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		traffic.run(stop, orderEvery, w.daemons, "/fee/x", orderTimeout, func(http.Header, int) {})
		close(done)
	}()
	time.Sleep(greyWarmUp)
	if trouble {
		rec.notef("trouble: i-0 fails %g of its requests for %v", greyShare, greyFor)
		grey.Store(true)
	}
	time.Sleep(greyFor)
	grey.Store(false)
	time.Sleep(greyRest)
	close(stop)
	<-done
	answered, broken := 0, 0
	mu.Lock()
	defer mu.Unlock()
	for _, c := range traffic.calls {
		if c.err == nil && c.status == http.StatusOK {
			answered++
		}
		promised := c.status == http.StatusTooManyRequests || c.status == http.StatusServiceUnavailable || c.status == http.StatusRequestTimeout || c.status == http.StatusMisdirectedRequest
		if promised && ran[c.id] > 0 {
			broken++
			rec.notef("refused: %s was answered %d and has run", c.id, c.status)
		}
	}
	rec.notef("calls: %d, answered 200: %d, refused though they had run: %d", len(traffic.calls), answered, broken)
	fmt.Printf("calls: %d, answered 200: %d, refused though they had run: %d\n", len(traffic.calls), answered, broken)
	if answered == 0 {
		return false, fmt.Errorf("no call was answered")
	}
	return broken > 0, nil
}
