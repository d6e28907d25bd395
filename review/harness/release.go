package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Times of the case, counted from the order of the release unless said otherwise.
const (
	warmUp          = 4 * time.Second // of the traffic, before the order
	releaseDuration = 16 * time.Second
	awayFrom        = 12 * time.Second
	awayFor         = 9 * time.Second
	lossFrom        = 17 * time.Second
	lossFor         = 4 * time.Second
	killAt          = 30 * time.Second
	killDown        = 800 * time.Millisecond
	recoverAfter    = 12 * time.Second // RECOVER: from the return of the machines
	measureFor      = 6 * time.Second
	newDrainAfter   = 3 * time.Second // from rolled_back to the draining of the new version
	drainTime       = 2500 * time.Millisecond
	servers         = 18 // of each version
	daemons         = 6
	sendInterval    = 14 * time.Millisecond
	events          = 12
	firstEvent      = 60 * time.Millisecond
	eventInterval   = 25 * time.Millisecond
	model           = "small"
	sessions        = 250
)

// releaseStatus is what callers of the platform read of a release.
type releaseStatus struct {
	State  string `json:"state"`
	Target string `json:"target"`
}

// releasePlatform acts on the state of a release as the platform does: at completed the old endpoints stop at once; at rolled_back the
// new ones drain some seconds later.
type releasePlatform struct {
	w        *world
	old, new []*endpoint
	once     map[string]*sync.Once

	mu     sync.Mutex
	states []string // in their order
}

// observe acts on a change of the state.
func (p *releasePlatform) observe() {
	data, ok := p.w.store.Get("status/rollout/app")
	var s releaseStatus
	if !ok || json.Unmarshal(data, &s) != nil {
		return
	}
	p.mu.Lock()
	changed := len(p.states) == 0 || p.states[len(p.states)-1] != s.State
	if changed {
		p.states = append(p.states, s.State)
	}
	p.mu.Unlock()
	if !changed {
		return
	}
	p.w.record.notef("platform: the state of the release is %s", s.State)
	switch s.State {
	case "completed":
		p.once[s.State].Do(func() {
			p.w.record.notef("platform: the old servers stop")
			for _, e := range p.old {
				e.end()
			}
		})
	case "rolled_back":
		p.once[s.State].Do(func() { go p.drainNew() })
	}
}

// drainNew drains the new endpoints.
func (p *releasePlatform) drainNew() {
	time.Sleep(newDrainAfter)
	p.w.record.notef("platform: the new servers drain")
	for _, e := range p.new {
		e.drain()
	}
	time.Sleep(drainTime)
	p.w.record.notef("platform: the new servers have left")
	for _, e := range p.new {
		e.end()
	}
}

// contradictory returns the states if a release got two final ones.
func (p *releasePlatform) contradictory() (states []string, found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	final := map[string]bool{}
	for _, s := range p.states {
		if s == "completed" || s == "rolled_back" {
			final[s] = true
		}
	}
	return p.states, len(final) > 1
}

// release plays the release of a good version. The trouble: the store turns two of six daemons away around the completion, and servers lose
// answers for a while after it. All processes are killed at the end, with and without the trouble.
func release(rec *record, trouble bool) (bool, error) {
	w, err := newWorld(rec, map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "review", "host": callerHost, "path-prefix": "/review/", "kind": "streaming", "timeout-ms": 12000, "target-latency-ms": 1500, "gap-target-ms": 1200,
			"service": "app", "attempts": 3, "session-affinity": true, "stream-resumption": true,
		}},
		"services": []any{map[string]any{
			"name": "app", "health-check-path": "/health", "connection-limit": 290, "protocol": "h1", "cold-start-s": 0, "cold-per-s": 0,
			"engine": map[string]any{"slots": 48, "kv-cache-tokens": 415199, "stride": 11, "models": []any{map[string]any{"name": model, "cost": 0.02}}},
		}},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "tenant", "api-keys": []string{callerKey}}},
	})
	if err != nil {
		return false, err
	}
	defer w.close()
	var losing atomic.Bool // some servers lose part of their answers
	platform := &releasePlatform{w: w, once: map[string]*sync.Once{"completed": {}, "rolled_back": {}}}
	start := func(version string, n int, list *[]*endpoint) error {
		for i := range n {
			id := fmt.Sprintf("i-%s-%d", version, i)
			lossy := i < n*6/10 // answer_lost: share 0.6
			e, err := w.addEndpoint(id, "app", version, 48, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				time.Sleep(firstEvent)
				lost := lossy && losing.Load() && rand.Float64() < 0.4 // answer_lost, how reset: x 0.4
				rec.notef("%s runs %s, answer lost: %t", id, r.Header.Get("X-Attempt-Id"), lost)
				if lost {
					panic(http.ErrAbortHandler)
				}
				rw.Header().Set("X-Response-Seal", "seal."+id)
				rw.Header().Set("Content-Type", "text/event-stream")
				after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 without the header
				for n := after + 1; n <= events; n++ {
					_, _ = fmt.Fprintf(rw, "id: %d\ndata: event %d of %s\n\n", n, n, r.Header.Get("X-Attempt-Id")) // the caller may have left
					_ = http.NewResponseController(rw).Flush()
					time.Sleep(eventInterval)
				}
			}))
			if err != nil {
				return err
			}
			*list = append(*list, e)
		}
		return nil
	}
	if err := start("v1", servers, &platform.old); err != nil {
		return false, err
	}
	for range daemons {
		if _, err := w.addDaemon(134); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	go w.every(5*time.Millisecond, platform.observe)

	traffic := &callers{rec: rec}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		traffic.run(stop, sendInterval, w.daemons, "/review/x", 12*time.Second, func(h http.Header, n int) {
			h.Set("X-Model", model)
			h.Set("X-Token-Counts", "6382,132")
			h.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:512,%x:4870,%x:1000", 0x91bd0000+rand.N(sessions), 0xe4000000+n))
		})
		close(done)
	}()
	time.Sleep(warmUp)
	rec.notef("operator: release of v2 within %v", releaseDuration)
	order := time.Now()
	if err := start("v2", servers, &platform.new); err != nil {
		return false, err
	}
	w.store.Put("op/rollout/app", fmt.Appendf(nil, `{"service":"app","target":"v2","duration-s":%g}`, releaseDuration.Seconds()))
	at := func(d time.Duration) { time.Sleep(time.Until(order.Add(d))) }
	if trouble {
		at(awayFrom)
		for _, d := range w.daemons[daemons-2:] { // platform_down, how nodes: share 0.35
			rec.notef("trouble: the store turns %s away for %v", d.name, awayFor)
			d.turnedAway.Store(true)
			time.AfterFunc(awayFor, func() {
				rec.notef("trouble: the store serves %s again", d.name)
				d.turnedAway.Store(false)
			})
		}
		at(lossFrom)
		rec.notef("trouble: 0.6 of the servers lose 0.4 of their answers for %v", lossFor)
		losing.Store(true)
		time.AfterFunc(lossFor, func() { losing.Store(false); rec.notef("trouble: no more answers are lost") })
	}
	at(killAt)
	rec.notef("final fault: all processes are killed")
	killed := time.Now()
	for _, d := range w.daemons {
		d.signal(syscall.SIGKILL)
	}
	for _, d := range w.daemons {
		<-d.ended()
	}
	time.Sleep(killDown)
	for _, d := range w.daemons {
		if err := d.start(); err != nil {
			return false, err
		}
	}
	back := time.Now()
	rec.notef("final fault: the processes are back")
	time.Sleep(recoverAfter + measureFor)
	close(stop)
	<-done
	states, contradictory := platform.contradictory()
	okBefore, allBefore := traffic.served(order, killed)
	okAfter, allAfter := traffic.served(back.Add(recoverAfter), time.Now())
	rec.notef("states of the release: %s; two final ones: %t", strings.Join(states, " "), contradictory)
	rec.notef("served before the final fault %d of %d, from %v after it %d of %d", okBefore, allBefore, recoverAfter, okAfter, allAfter)
	fmt.Printf("states %v; before the final fault %d of %d served, after it %d of %d\n", states[:min(len(states), 8)], okBefore, allBefore, okAfter, allAfter)
	if allBefore == 0 || allAfter == 0 || 4*okBefore < allBefore {
		return false, fmt.Errorf("no traffic was served before the final fault")
	}
	return 4*okAfter < allAfter, nil
}
