package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Traffic and times of the case.
const (
	memoryMB     = 134 // of a machine
	restartDelay = 500 * time.Millisecond
	rssInterval  = 5 * time.Millisecond

	uploadBytes    = 4 << 20 // max-body-bytes
	uploadTime     = 4 * time.Second
	uploadPieces   = 40
	uploadInterval = 500 * time.Millisecond   // between the uploads of the tenant to one daemon
	hotInterval    = uploadInterval * 10 / 75 // hot_tenant: x 7.5
	hotFor         = 6500 * time.Millisecond
	usualFor       = 8 * time.Second // before and after the trouble

	payClients  = 32
	payInterval = 150 * time.Millisecond // on average, between two calls of a caller
	payWork     = 60 * time.Millisecond
)

// residentKB returns the resident memory of a process.
func residentKB(pid int) (int, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			return strconv.Atoi(strings.Fields(rest)[0])
		}
	}
	return 0, fmt.Errorf("no resident memory of process %d", pid)
}

// memoryGuard kills a daemon that exceeds its machine's memory, and starts it again, as the platform does.
type memoryGuard struct {
	mu    sync.Mutex
	peak  map[string]int // in KB
	kills int
}

func (g *memoryGuard) watch(w *world, d *daemon) {
	w.every(rssInterval, func() {
		kb, err := residentKB(d.pid())
		if err != nil {
			return // the process has ended
		}
		g.mu.Lock()
		g.peak[d.name] = max(g.peak[d.name], kb)
		over := kb > memoryMB<<10
		if over {
			g.kills++
		}
		g.mu.Unlock()
		if !over {
			return
		}
		w.record.notef("platform: %s uses %d MB of %d and is killed", d.name, kb>>10, memoryMB)
		d.signal(syscall.SIGKILL)
		<-d.ended()
		time.Sleep(restartDelay)
		if err := d.start(); err != nil {
			w.record.notef("platform: %s does not start: %v", d.name, err)
		}
	})
}

// slowBody is a body that arrives in pieces over uploadTime.
type slowBody struct {
	data []byte
	next time.Time
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	time.Sleep(time.Until(b.next))
	n := copy(p[:min(len(p), uploadBytes/uploadPieces)], b.data)
	b.data = b.data[n:]
	b.next = b.next.Add(uploadTime * time.Duration(n) / uploadBytes)
	return n, nil
}

// runs holds the IDs of the requests that servers ran to their end.
type runs struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (r *runs) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids[id] = true
}

func (r *runs) has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ids[id]
}

// uploads plays callers with small calls that must not run twice, on kept connections, beside a tenant that uploads documents of the
// largest allowed size. The trouble: the tenant sends 7.5 times as many for 6.5 s.
func uploads(rec *record, trouble bool) (bool, error) {
	w, err := newWorld(rec, map[string]any{
		"version": 3,
		"routes": []any{
			map[string]any{"name": "pay", "host": callerHost, "path-prefix": "/pay/", "kind": "non_idempotent", "timeout-ms": 1500, "target-latency-ms": 150, "service": "app", "attempts": 1},
			map[string]any{"name": "upload", "host": callerHost, "path-prefix": "/upload/", "kind": "idempotent", "timeout-ms": 12000, "target-latency-ms": 3000, "service": "app", "attempts": 1},
		},
		"services": []any{map[string]any{"name": "app", "health-check-path": "/health", "connection-limit": 96, "protocol": "h1", "cold-start-s": 0, "cold-per-s": 0}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": uploadBytes, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []any{map[string]any{"name": "tenant", "api-keys": []string{callerKey}}, map[string]any{"name": "uploader", "api-keys": []string{uploaderKey}}},
	})
	if err != nil {
		return false, err
	}
	defer w.close()
	ran := &runs{ids: map[string]bool{}}
	for i := range 3 {
		id := fmt.Sprintf("i-%d", i)
		if _, err := w.addEndpoint(id, "app", "v1", 6, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				panic(http.ErrAbortHandler)
			}
			time.Sleep(payWork)
			ran.add(r.Header.Get("X-Attempt-Id"))
			rec.notef("%s ran %s", id, r.Header.Get("X-Attempt-Id"))
			rw.Header().Set("X-Response-Seal", "seal."+id)
			_, _ = fmt.Fprintf(rw, "answer to %s", r.Header.Get("X-Attempt-Id")) // the caller may have left
		})); err != nil {
			return false, err
		}
	}
	for range 2 {
		if _, err := w.addDaemon(memoryMB); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	guard := &memoryGuard{peak: map[string]int{}}
	for _, d := range w.daemons {
		go guard.watch(w, d)
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	lost := &lostCalls{}
	for i := range payClients {
		wg.Go(func() { lost.pay(rec, stop, i, w.daemons[i%len(w.daemons)]) })
	}
	body := make([]byte, uploadBytes)
	if _, err := rand.Read(body); err != nil {
		return false, err
	}
	started := time.Now()
	hotFrom, end := usualFor, 2*usualFor+hotFor
	for _, d := range w.daemons {
		wg.Go(func() {
			for n := 0; time.Since(started) < end; n++ {
				wg.Go(func() { upload(rec, d, fmt.Sprintf("u-%s-%d", d.name, n), body) })
				interval := uploadInterval
				if at := time.Since(started); trouble && at >= hotFrom && at < hotFrom+hotFor {
					interval = hotInterval
				}
				time.Sleep(interval)
			}
		})
	}
	time.Sleep(time.Until(started.Add(end)))
	close(stop)
	wg.Wait()
	n := 0
	for _, id := range lost.ids {
		if ran.has(id) {
			n++
			rec.notef("lost: %s was passed on and run, and its kept connection was closed without an answer", id)
		}
	}
	guard.mu.Lock()
	defer guard.mu.Unlock()
	rec.notef("answered %d calls, lost %d; memory at its peak in KB: %v; processes killed: %d", lost.answered, n, guard.peak, guard.kills)
	fmt.Printf("answered %d calls, lost %d; memory at its peak in KB: %v; processes killed: %d\n", lost.answered, n, guard.peak, guard.kills)
	if lost.answered == 0 {
		return false, fmt.Errorf("no call was answered")
	}
	return n > 3, nil // LOST: more than three
}

const uploaderKey = "key-of-the-uploader"

// upload sends a document.
func upload(rec *record, d *daemon, id string, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.addr()+"/upload/x", &slowBody{body, time.Now()})
	if err != nil {
		rec.notef("%s not sent: %v", id, err)
		return
	}
	req.Host, req.ContentLength = callerHost, uploadBytes
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Milliseconds", "15000")
	req.Header.Set("Authorization", "Bearer "+uploaderKey)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		rec.notef("%s of %d bytes to %s: %v", id, uploadBytes, d.name, err)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body) // only the status counts
	_ = resp.Body.Close()
	rec.notef("%s of %d bytes to %s: status %d", id, uploadBytes, d.name, resp.StatusCode)
}

// lostCalls counts the answered calls and holds the IDs of those whose kept connection was closed without an answer.
type lostCalls struct {
	mu       sync.Mutex
	answered int
	ids      []string
}

// pay sends small calls over one kept connection until stop is closed. It opens a new one after a failure.
func (l *lostCalls) pay(rec *record, stop <-chan struct{}, client int, d *daemon) {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(mathrand.N(2 * payInterval)):
		}
		l.call(rec, c, d, fmt.Sprintf("p-%d-%d", client, n))
	}
}

func (l *lostCalls) call(rec *record, c *http.Client, d *daemon, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	reused := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused }})
	// A reader that net/http does not know keeps it from sending the request again.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.addr()+"/pay/x", io.NopCloser(strings.NewReader("pay "+id)))
	if err != nil {
		rec.notef("%s not sent: %v", id, err)
		return
	}
	req.Host, req.ContentLength = callerHost, int64(len("pay "+id))
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Milliseconds", "1500")
	req.Header.Set("Authorization", "Bearer "+callerKey)
	resp, err := c.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.answered++
		rec.notef("%s to %s: status %d", id, d.name, resp.StatusCode)
	default:
		rec.notef("%s to %s on a kept connection (%t): %v", id, d.name, reused, err)
		if reused && ctx.Err() == nil {
			l.ids = append(l.ids, id)
		}
	}
}
