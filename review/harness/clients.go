package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// call is a request of a caller and what came of it.
type call struct {
	id     string
	sent   time.Time
	status int // 0 if there was no answer
	body   string
	err    error
}

// callers send requests in the open, at a rate, to daemons in turn.
type callers struct {
	rec  *record
	next atomic.Int64

	mu    sync.Mutex
	calls []call
	wg    sync.WaitGroup
}

// send sends one request over a client and notes its outcome.
func (c *callers) send(client *http.Client, addr, path string, timeout time.Duration, header func(h http.Header, n int)) call {
	n := int(c.next.Add(1))
	out := call{id: fmt.Sprintf("a%07d", n), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, strings.NewReader("body of "+out.id))
	if err != nil {
		out.err = err
		return out
	}
	req.Host = callerHost
	req.Header.Set("X-Attempt-Id", out.id)
	req.Header.Set("X-Deadline-Milliseconds", fmt.Sprint(timeout.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+callerKey)
	header(req.Header, n)
	resp, err := client.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		out.status, out.body = resp.StatusCode, string(data)
	}
	out.err = err
	c.mu.Lock()
	c.calls = append(c.calls, out)
	c.mu.Unlock()
	c.rec.notef("%s to %s sent %v ago: status %d, error %v", out.id, addr, time.Since(out.sent).Round(time.Millisecond), out.status, err)
	return out
}

// run sends requests at intervals to the daemons in turn until stop is closed.
func (c *callers) run(stop <-chan struct{}, interval time.Duration, daemons []*daemon, path string, timeout time.Duration, header func(h http.Header, n int)) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: 10 * time.Second}}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-tick.C:
			c.wg.Go(func() { c.send(client, daemons[i%len(daemons)].addr(), path, timeout, header) })
		case <-stop:
			c.wg.Wait()
			return
		}
	}
}

// served returns how many of the requests that were sent from a time on got a 200, and how many were sent.
func (c *callers) served(from, to time.Time) (ok, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.calls {
		if x.sent.Before(from) || !x.sent.Before(to) {
			continue
		}
		all++
		if x.err == nil && x.status == http.StatusOK {
			ok++
		}
	}
	return ok, all
}
