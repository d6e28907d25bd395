package standin

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
)

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	if g := e.streams[r.PathValue("id")]; g != nil {
		delete(e.streams, r.PathValue("id"))
		close(g.stopped)
		e.free(g)
	}
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	l := engine.Load{
		Boot: e.bootID(), Running: e.running, TokensHeld: e.held, TokensMax: e.spec.TokensMax, Completed: e.completed,
		Versions: slices.Clone(e.versions), UptimeSeconds: time.Since(e.started).Seconds(), Role: e.role, RunningByVersion: map[string]int{},
	}
	for _, g := range e.streams {
		if g.serving > 0 && !g.freed {
			l.RunningByVersion[g.run.Version]++
		}
	}
	e.mu.Unlock()
	replyJSON(w, l)
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil {
		http.Error(w, "bad sequence number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	events := []engine.CacheEvent{}
	for _, ev := range e.events {
		if ev.Seq > after && time.Since(ev.at) >= e.eventLag {
			events = append(events, ev.CacheEvent)
		}
	}
	e.mu.Unlock()
	replyJSON(w, events)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxEngineBody)).Decode(&o); err != nil {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.noFence && o.Fence < e.fence {
		http.Error(w, "stale fencing number", http.StatusPreconditionFailed)
		return
	}
	e.fence = max(e.fence, o.Fence)
	e.orders = append(e.orders, o)
	switch o.Action {
	case "load", "adapter":
		if !slices.Contains(e.versions, o.Target) {
			e.versions = append(e.versions, o.Target)
		}
	case "unload":
		e.versions = slices.DeleteFunc(e.versions, func(v string) bool { return v == o.Target })
	}
	if o.Action == "role" {
		e.role = o.Target
	}
	w.WriteHeader(http.StatusNoContent)
}

func replyJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a failed write means that the client has left
}

// CrashOn makes each request whose prompt contains text crash the engine.
func (e *Engine) CrashOn(text string) { e.set(func() { e.crashOn = text }) }

// SetSilent stops all streams from sending anything while other requests work.
func (e *Engine) SetSilent(silent bool) { e.set(func() { e.silent = silent }) }

// SilenceConnections makes every connection that has carried a request silent for good, while new ones work. It needs a
// Server.
func (e *Engine) SilenceConnections() { e.set(func() { e.epoch++ }) }

// BreakStreams cuts all open streams. They can be resumed.
func (e *Engine) BreakStreams() {
	e.set(func() {
		close(e.broken)
		e.broken = make(chan struct{})
	})
}

// RefuseResume makes the engine answer that it knows no stream to resume.
func (e *Engine) RefuseResume(refuse bool) { e.set(func() { e.noResume = refuse }) }

// SetDown makes the engine drop every connection.
func (e *Engine) SetDown(down bool) {
	e.set(func() {
		if down {
			e.crash(CauseForced)
		}
		e.down = down
	})
}

// IgnoreFencing makes the engine accept orders with stale fencing numbers.
func (e *Engine) IgnoreFencing() { e.set(func() { e.noFence = true }) }

// FailEvery makes each nth request fail after it was accepted; 0 turns it off.
func (e *Engine) FailEvery(n int) { e.set(func() { e.failEvery = n }) }

// Crash restarts the engine, cold.
func (e *Engine) Crash() { e.set(func() { e.crash(CauseForced) }) }

// SetEventLag publishes cache events only when they are older than d.
func (e *Engine) SetEventLag(d time.Duration) { e.set(func() { e.eventLag = d }) }

// DropEvents removes the cache events that no reader has fetched yet, so that their sequence numbers have a gap.
func (e *Engine) DropEvents() { e.set(func() { e.events = nil }) }

func (e *Engine) set(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
	close(e.changed)
	e.changed = make(chan struct{})
}

// Runs returns a copy of the record of all requests that the engine started.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Run, len(e.runs))
	for i, r := range e.runs {
		out[i] = *r
	}
	return out
}

// Orders returns the orders that the engine accepted.
func (e *Engine) Orders() []engine.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// Crashes returns the number of crashes by cause.
func (e *Engine) Crashes() map[Cause]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.causes)
}

// Running returns the number of requests that hold a slot.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// Boots returns the number of starts.
func (e *Engine) Boots() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.boot
}
