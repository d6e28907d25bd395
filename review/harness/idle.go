package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Traffic and times of the case.
const (
	usualUsers    = 1800
	burstUsers    = 1260 // more of them: burst, x 1.7
	usualWithin   = 6 * time.Second
	burstWithin   = 3 * time.Second         // burst: for_s
	idleLimit     = 15 * time.Second        // idle-timeout-ms
	idleMargin    = 1500 * time.Millisecond // beyond the limit
	newClients    = 8                       // RECOVER: seven or more
	newPause      = 100 * time.Millisecond
	newTimeout    = 1500 * time.Millisecond // the callers' deadline
	tryFor        = 5 * time.Second
	touchWindow   = 3 * time.Second // stability-window-ms
	userTimeout   = 5 * time.Second
	readyInterval = 250 * time.Millisecond
)

// ask sends a request on a connection and reads the answer.
func ask(c net.Conn, id string, timeout time.Duration) (status int, err error) {
	_ = c.SetDeadline(time.Now().Add(timeout)) // the read fails on a closed connection
	if _, err := fmt.Fprintf(c, "POST /read/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Milliseconds: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		callerHost, id, timeout.Milliseconds(), callerKey, len(id), id); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// idle plays users that send one request each over a connection that they keep, and new callers after the operator's limit for idle
// connections has passed. The trouble: 1.7 times as many users come.
func idle(rec *record, trouble bool) (bool, error) {
	w, err := newWorld(rec, map[string]any{
		"version":  3,
		"routes":   []any{map[string]any{"name": "read", "host": callerHost, "path-prefix": "/read/", "kind": "idempotent", "timeout-ms": 1500, "target-latency-ms": 300, "service": "app", "attempts": 2}},
		"services": []any{map[string]any{"name": "app", "health-check-path": "/health", "connection-limit": 290, "protocol": "h1", "cold-start-s": 0, "cold-per-s": 0}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": idleLimit.Milliseconds()},
		"tenants":  []any{map[string]any{"name": "tenant", "api-keys": []string{callerKey}}},
	})
	if err != nil {
		return false, err
	}
	defer w.close()
	for i := range 3 {
		id := fmt.Sprintf("i-%d", i)
		if _, err := w.addEndpoint(id, "app", "v1", 48, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			rec.notef("%s runs %s", id, r.Header.Get("X-Attempt-Id"))
			rw.Header().Set("X-Response-Seal", "seal."+id)
			_, _ = fmt.Fprintf(rw, "answer to %s", r.Header.Get("X-Attempt-Id")) // the caller may have left
		})); err != nil {
			return false, err
		}
	}
	d, err := w.addDaemon(134)
	if err != nil {
		return false, err
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	users := &idleUsers{rec: rec, addr: d.addr()}
	defer users.close()
	users.arrive(usualUsers, usualWithin)
	if trouble {
		rec.notef("trouble: %d more users come within %v", burstUsers, burstWithin)
		users.arrive(burstUsers, burstWithin)
	}
	users.wg.Wait()
	rec.notef("%d users have got an answer and keep their connections, idle from now on", users.answered)
	time.Sleep(idleLimit + idleMargin)

	var mu sync.Mutex
	var wg sync.WaitGroup
	tries, answered, checks, ready := 0, 0, 0, 0
	start := time.Now()
	for i := range newClients {
		wg.Go(func() {
			for n := 0; time.Since(start) < tryFor; n++ {
				id := fmt.Sprintf("n-%d-%d", i, n)
				status := 0
				c, err := net.DialTimeout("tcp", d.addr(), time.Second)
				if err == nil {
					status, err = ask(c, id, newTimeout)
					_ = c.Close()
				}
				rec.notef("%s on a new connection: status %d, error %v", id, status, err)
				mu.Lock()
				tries++
				if err == nil {
					answered++
				}
				mu.Unlock()
				time.Sleep(newPause)
			}
		})
	}
	for time.Since(start) < tryFor {
		checks++
		if d.ready() {
			ready++
		}
		time.Sleep(readyInterval)
	}
	wg.Wait()
	kb, err := residentKB(d.pid())
	if err != nil {
		return false, err
	}
	rec.notef("new callers: %d, tries in %v: %d, answered: %d; readiness checks: %d, with 200: %d; memory: %d KB", newClients, time.Since(start).Round(time.Millisecond), tries, answered, checks, ready, kb)
	fmt.Printf("users with a kept connection: %d; tries of new callers: %d, answered: %d; readiness checks: %d, with 200: %d; memory: %d KB\n", users.answered, tries, answered, checks, ready, kb)
	if users.answered < usualUsers {
		return false, fmt.Errorf("%d users got an answer, too few", users.answered)
	}
	return tries >= newClients && answered == 0 && ready == checks && time.Since(start) >= touchWindow, nil
}

// idleUsers send one request each and keep their connections.
type idleUsers struct {
	rec  *record
	addr string
	wg   sync.WaitGroup

	mu       sync.Mutex
	next     int
	answered int
	conns    []net.Conn
}

// arrive lets n users come within a time.
func (u *idleUsers) arrive(n int, within time.Duration) {
	for range n {
		u.mu.Lock()
		u.next++
		id := fmt.Sprintf("u-%d", u.next)
		u.mu.Unlock()
		u.wg.Go(func() {
			c, err := net.DialTimeout("tcp", u.addr, time.Second)
			status := 0
			if err == nil {
				status, err = ask(c, id, userTimeout)
			}
			u.rec.notef("%s: status %d, error %v", id, status, err)
			u.mu.Lock()
			defer u.mu.Unlock()
			if c != nil {
				u.conns = append(u.conns, c)
			}
			if err == nil && status == http.StatusOK {
				u.answered++
			}
		})
		time.Sleep(within / time.Duration(n))
	}
}

// close closes the connections.
func (u *idleUsers) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.conns {
		_ = c.Close()
	}
}
