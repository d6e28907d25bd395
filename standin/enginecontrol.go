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

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	if g := e.streams[r.PathValue("id")]; g != nil {
		delete(e.streams, r.PathValue("id"))
		close(g.cancelled)
		e.releaseResources(g)
	}
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	l := engine.Load{
		Boot: e.bootID(), Running: e.running, TokensHeld: e.tokensHeld, TokensMax: e.spec.TokensMax, Completed: e.completed,
		Versions: slices.Clone(e.versions), UptimeSeconds: time.Since(e.started).Seconds(), Role: e.role, RunningByVersion: map[string]int{},
	}
	for _, g := range e.streams {
		if g.openStreams > 0 && !g.released {
			l.RunningByVersion[g.run.Version]++
		}
	}
	e.mu.Unlock()
	replyJSON(w, l)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil {
		http.Error(w, "bad sequence number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	events := []engine.CacheEvent{}
	for _, ev := range e.events {
		if ev.Seq > after && time.Since(ev.at) >= e.cacheEventDelay {
			events = append(events, ev.CacheEvent)
		}
	}
	e.mu.Unlock()
	replyJSON(w, events)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxEngineBodyBytes)).Decode(&o); err != nil {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.ignoresFencing && o.Fence < e.fence {
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

// replyJSON replies with status 200 and v as JSON.
func replyJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a failed write means that the client has left
}

// CrashOn makes each request whose prompt contains text crash the engine. An empty text turns this off.
func (e *Engine) CrashOn(text string) { e.update(func() { e.crashOn = text }) }

// SetStreamsStalled makes all streams send nothing while stalled is set. They stay open, and other requests work.
func (e *Engine) SetStreamsStalled(stalled bool) { e.update(func() { e.streamsStalled = stalled }) }

// StallConnections makes every connection that has carried a request deliver nothing until it is closed, while new ones work. It
// has an effect only if the handler is served by a Server.
func (e *Engine) StallConnections() { e.update(func() { e.epoch++ }) }

// BreakStreams drops the connections of all open streams. The streams can be resumed.
func (e *Engine) BreakStreams() {
	e.update(func() {
		close(e.streamsCut)
		e.streamsCut = make(chan struct{})
	})
}

// RefuseResume makes the engine reply to every resumption that the stream is unknown, with status 404.
func (e *Engine) RefuseResume(refuse bool) { e.update(func() { e.refusesResume = refuse }) }

// SetDown crashes the engine and makes it drop every connection until it is called with false.
func (e *Engine) SetDown(down bool) {
	e.update(func() {
		if down {
			e.crash(CauseForced)
		}
		e.down = down
	})
}

// IgnoreFencing makes the engine accept orders with stale fencing tokens.
func (e *Engine) IgnoreFencing() { e.update(func() { e.ignoresFencing = true }) }

// FailEvery makes each nth accepted request fail with status 500; 0 turns this off.
func (e *Engine) FailEvery(n int) { e.update(func() { e.failEvery = n }) }

// Crash ends all streams and restarts the engine, cold.
func (e *Engine) Crash() { e.update(func() { e.crash(CauseForced) }) }

// SetCacheEventDelay makes the engine report cache events only when they are at least d old.
func (e *Engine) SetCacheEventDelay(d time.Duration) { e.update(func() { e.cacheEventDelay = d }) }

// DropCacheEvents removes all recorded cache events, so that a reader that hasn't fetched them sees a gap in the sequence numbers.
func (e *Engine) DropCacheEvents() { e.update(func() { e.events = nil }) }

// update changes a setting under the lock and wakes the streams that wait for their next token.
func (e *Engine) update(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
	close(e.faultsChanged)
	e.faultsChanged = make(chan struct{})
}

// Runs returns copies of the records of all requests that the engine started, in order and over all restarts.
func (e *Engine) Runs() []EngineRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]EngineRun, len(e.runs))
	for i, r := range e.runs {
		out[i] = *r
	}
	return out
}

// Orders returns the orders that the engine accepted, in order.
func (e *Engine) Orders() []engine.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// Crashes returns the number of crashes by cause.
func (e *Engine) Crashes() map[CrashCause]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.crashes)
}

// Running returns the number of requests that occupy a slot.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// Boots returns the number of starts, which is 1 before the first crash.
func (e *Engine) Boots() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.boot
}
