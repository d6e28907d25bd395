package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Traffic of the case.
const (
	eventStreams     = 200
	eventEvery       = 20 * time.Millisecond
	eventsPerStream  = 6
	eventPace        = 5 * time.Millisecond
	longEvent        = 3    // number of the event with a long line
	longLine         = 4096 // bytes of its line without the line break
	shortLine        = longLine - 1
	settleAfterCalls = time.Second
)

// longEvents plays streams that sound servers answer. The trouble: one event of each stream has a line of 4,096 bytes; without it the line
// is one byte shorter.
func longEvents(rec *record, trouble bool) (bool, error) {
	w, err := newWorld(rec, map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "review", "host": callerHost, "path-prefix": "/review/", "kind": "streaming", "timeout-ms": 12000, "target-latency-ms": 1500, "gap-target-ms": 1200,
			"service": "app", "attempts": 3, "stream-resumption": true,
		}},
		"services": []any{map[string]any{"name": "app", "health-check-path": "/health", "connection-limit": 290, "protocol": "h1", "cold-start-s": 0, "cold-per-s": 0}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []any{map[string]any{"name": "tenant", "api-keys": []string{callerKey}}},
	})
	if err != nil {
		return false, err
	}
	defer w.close()
	line := shortLine
	if trouble {
		line = longLine
	}
	for i := range 3 {
		id := fmt.Sprintf("i-%d", i)
		if _, err := w.addEndpoint(id, "app", "v1", 48, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			request := r.Header.Get("X-Attempt-Id")
			after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 without the header
			rec.notef("%s runs %s after event %d", id, request, after)
			rw.Header().Set("X-Response-Seal", "seal."+id)
			rw.Header().Set("Content-Type", "text/event-stream")
			for n := after + 1; n <= eventsPerStream; n++ {
				_, _ = fmt.Fprint(rw, streamEvent(request, n, line)) // the caller may have left
				_ = http.NewResponseController(rw).Flush()
				time.Sleep(eventPace)
			}
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
		traffic.run(stop, eventEvery, w.daemons, "/review/x", 12*time.Second, func(http.Header, int) {})
		close(done)
	}()
	time.Sleep(eventStreams * eventEvery)
	close(stop)
	<-done
	time.Sleep(settleAfterCalls)
	complete, changed := 0, 0
	for _, c := range traffic.calls {
		if c.err != nil || c.status != http.StatusOK {
			continue
		}
		complete++
		var want strings.Builder
		for n := 1; n <= eventsPerStream; n++ {
			want.WriteString(streamEvent(c.id, n, line))
		}
		if c.body != want.String() {
			changed++
			rec.notef("changed: the server of %s sent %d bytes with %d events, the caller got %d bytes with %d events as a complete answer",
				c.id, want.Len(), strings.Count(want.String(), "\n\n"), len(c.body), strings.Count(c.body, "\n\n"))
		}
	}
	rec.notef("streams: %d, complete with 200: %d, of these not as the server sent them: %d", len(traffic.calls), complete, changed)
	fmt.Printf("streams: %d, complete with 200: %d, of these not as the server sent them: %d\n", len(traffic.calls), complete, changed)
	if complete == 0 {
		return false, fmt.Errorf("no stream was complete")
	}
	return changed > 0, nil
}

// streamEvent returns an event of a stream. The line with the data of longEvent has the given length.
func streamEvent(request string, n, line int) string {
	data := fmt.Sprintf("data: event %d of %s ", n, request)
	if n == longEvent {
		data += strings.Repeat("x", line-len(data))
	}
	return fmt.Sprintf("id: %d\n%s\n\n", n, data)
}
