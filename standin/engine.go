package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/engine/httpengine"
)

const (
	maxEngineBody = 16 << 20
	bytesPerToken = 4
	defaultAnswer = 24 // tokens of an answer if the request states no smaller limit
	// resumeOverlap is the number of tokens that a resumed stream repeats, as engines may do.
	resumeOverlap = 2
)

// EngineSpec describes a fake model engine.
type EngineSpec struct {
	Name       string
	Versions   []string
	Slots      int           // concurrent requests beyond which the engine answers busy
	ColdSlots  int           // concurrent requests beyond which a cold engine crashes
	WarmAfter  int           // completed requests until the engine is warm
	TokensMax  int64         // tokens held beyond which the engine crashes; 0 for no limit
	Answer     int64         // tokens of an answer unless the request's limit is smaller; 0 for defaultAnswer
	TokenDelay time.Duration // time between tokens
	FirstDelay time.Duration // time to the first token
	Confidence float64       // reported with each token; 0 for none
	// PrefillDelay is the time for each token of the prompt that is not in the session's KV cache, before the first token.
	PrefillDelay time.Duration
	CacheBytes   int64 // size of a KV cache for each token
	CacheRate    int64 // bytes a second of exports and imports; 0 for no limit
}

// Run is the record of one request that an engine started.
type Run struct {
	ID      string
	Engine  string
	Version string
	Tokens  int64 // generated so far
	Done    bool
	Started time.Time
	Prompt  string
	Cached  int64 // tokens of the prompt that were in the session's KV cache
}

// Cause of a crash.
type Cause string

// Causes of a crash.
const (
	CauseForced Cause = "forced"
	CausePrompt Cause = "prompt" // a prompt that CrashOn names
	CauseCold   Cause = "cold"   // more requests than a cold engine can bear
	CauseMemory Cause = "memory" // more tokens held than fit
)

// Engine is a fake model engine with fault injection.
type Engine struct {
	spec EngineSpec

	mu        sync.Mutex
	boot      int
	started   time.Time
	running   int
	held      int64
	completed int64 // since start
	versions  []string
	runs      []*Run
	streams   map[string]*generation
	crashOn   string
	silent    bool
	epoch     int           // connections opened in an earlier one are silent
	broken    chan struct{} // closed when all open streams are cut
	noResume  bool
	down      bool
	noFence   bool
	fence     uint64
	role      string
	orders    []engine.Order
	failEvery int
	failCount int
	events    []cacheEvent
	eventLag  time.Duration
	eventSeq  uint64
	sessions  map[string]sessionCache
	cacheFail CacheFault
	causes    map[Cause]int
	reset     chan struct{} // closed when the engine crashes
	changed   chan struct{} // closed when a fault setting changes
}

// cacheEvent is a cache event with the time at which it happened.
type cacheEvent struct {
	engine.CacheEvent
	at time.Time
}

// generation is the state of one answer, kept so that its stream can be resumed.
type generation struct {
	run     *Run
	prompt  string
	session string // name of its KV cache, empty for none
	cached  int64  // tokens of the prompt that were in the cache
	first   int64  // sequence number before the first token generated here
	limit   int64
	input   int64
	delay   time.Duration   // between tokens
	serving int             // streams that are open for it; its slot and tokens are held while there is one
	boot    int             // number of the start that this generation belongs to
	reset   <-chan struct{} // closed when that start ends
	stopped chan struct{}   // closed when it is cancelled
	freed   bool            // it is done or cancelled and holds nothing any more
}

// NewEngine returns a started, cold engine.
func NewEngine(spec EngineSpec) *Engine {
	return &Engine{
		spec:     spec,
		boot:     1,
		started:  time.Now(),
		versions: slices.Clone(spec.Versions),
		streams:  map[string]*generation{},
		sessions: map[string]sessionCache{},
		causes:   map[Cause]int{},
		reset:    make(chan struct{}),
		changed:  make(chan struct{}),
		broken:   make(chan struct{}),
	}
}

// Handler serves the engines' protocol.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.guard(e.complete))
	mux.HandleFunc("GET /v1/streams/{id}", e.guard(e.resume))
	mux.HandleFunc("DELETE /v1/streams/{id}", e.guard(e.cancel))
	mux.HandleFunc("GET /v1/load", e.guard(e.load))
	mux.HandleFunc("GET /v1/cache/events", e.guard(e.cacheEvents))
	mux.HandleFunc("GET /v1/cache/sessions/{id}", e.guard(e.exportCache))
	mux.HandleFunc("PUT /v1/cache/sessions/{id}", e.guard(e.importCache))
	mux.HandleFunc("POST /v1/orders", e.guard(e.order))
	return mux
}

// guard drops connections while the engine is down.
func (e *Engine) guard(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		down, boot := e.down, e.bootID()
		e.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		c := connOf(r)
		e.mu.Lock()
		if c.engine == nil {
			c.engine, c.epoch = e, e.epoch
		}
		muted := c.epoch < e.epoch
		e.mu.Unlock()
		if muted {
			_, _ = io.Copy(io.Discard, r.Body) // the context ends with the connection only after the body was read
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(httpengine.HeaderBoot, boot)
		h(w, r)
	}
}

func (e *Engine) bootID() string { return fmt.Sprintf("%s-%d", e.spec.Name, e.boot) }

type chatRequest struct {
	Model        string                   `json:"model"`
	Messages     json.RawMessage          `json:"messages"`
	MaxTokens    int64                    `json:"max_tokens"`
	Continuation *httpengine.Continuation `json:"continuation"`
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var req chatRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxEngineBody)).Decode(&req); err != nil {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	g, status := e.admit(r.Header.Get(httpengine.HeaderRequestID), r.Header.Get(httpengine.HeaderSession), req)
	if status != http.StatusOK {
		http.Error(w, http.StatusText(status), status)
		return
	}
	e.stream(w, r, g, g.first, e.spec.FirstDelay+time.Duration(g.input-g.cached)*e.spec.PrefillDelay)
}

// admit starts a generation, or crashes the engine if the request is one that does.
func (e *Engine) admit(id, session string, req chatRequest) (*generation, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Contains(e.versions, req.Model) {
		return nil, http.StatusUnprocessableEntity
	}
	if e.running >= e.spec.Slots && e.spec.Slots > 0 {
		return nil, http.StatusServiceUnavailable
	}
	prompt := string(req.Messages)
	g := &generation{
		run:    &Run{ID: id, Engine: e.spec.Name, Version: req.Model, Started: time.Now(), Prompt: prompt},
		prompt: prompt, limit: e.answerTokens(req.MaxTokens), input: int64(len(prompt)) / bytesPerToken,
		delay: e.spec.TokenDelay, boot: e.boot, reset: e.reset, stopped: make(chan struct{}),
		session: session, cached: e.sessions[session].covers(req.Model, prompt),
	}
	g.run.Cached = g.cached
	if req.Continuation != nil {
		g.first = req.Continuation.Tokens
	}
	e.runs = append(e.runs, g.run)
	e.hold(g)
	e.streams[id] = g
	e.cachePrefix(prompt)
	cold := e.completed < int64(e.spec.WarmAfter)
	switch {
	case e.crashOn != "" && strings.Contains(prompt, e.crashOn):
		e.crash(CausePrompt)
	case cold && e.spec.ColdSlots > 0 && e.running > e.spec.ColdSlots:
		e.crash(CauseCold)
	case e.spec.TokensMax > 0 && e.held > e.spec.TokensMax:
		e.crash(CauseMemory)
	}
	if e.failEvery > 0 && e.boot == g.boot {
		e.failCount++
		if e.failCount%e.failEvery == 0 {
			e.release(g)
			return nil, http.StatusInternalServerError
		}
	}
	return g, http.StatusOK
}

// answerTokens returns the length of an answer under the request's limit; 0 means no limit.
func (e *Engine) answerTokens(limit int64) int64 {
	n := e.spec.Answer
	if n == 0 {
		n = defaultAnswer
	}
	if limit > 0 {
		n = min(n, limit)
	}
	return n
}

func (e *Engine) cachePrefix(prompt string) {
	e.eventSeq++
	ev := engine.CacheEvent{Seq: e.eventSeq, Prefix: Fingerprint(prompt), Tokens: int64(len(prompt)) / bytesPerToken}
	e.events = append(e.events, cacheEvent{ev, time.Now()})
}

// hold counts a stream of a generation.
func (e *Engine) hold(g *generation) {
	if g.serving++; g.serving == 1 && !g.freed {
		e.running++
		e.held += g.input + g.limit
	}
}

// free gives back what a generation holds before its last stream has ended. The caller holds the lock.
func (e *Engine) free(g *generation) {
	if e.boot != g.boot || g.freed {
		return
	}
	g.freed = true
	if g.serving > 0 {
		e.running--
		e.held -= g.input + g.limit
	}
}

func (e *Engine) release(g *generation) {
	if g.serving--; g.serving == 0 && !g.freed {
		e.running--
		e.held -= g.input + g.limit
	}
}

// crash drops every connection and starts the engine anew, cold. The caller holds the lock.
func (e *Engine) crash(c Cause) {
	e.causes[c]++
	close(e.reset)
	e.reset = make(chan struct{})
	e.boot++
	e.started = time.Now()
	e.completed = 0
	e.running, e.held = 0, 0
	e.streams = map[string]*generation{}
	e.events = nil
	e.sessions = map[string]sessionCache{}
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.Header.Get("Last-Event-ID"), 10, 64)
	if err != nil {
		http.Error(w, "bad Last-Event-ID", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	g := e.streams[r.PathValue("id")]
	if e.noResume {
		g = nil
	}
	if g != nil {
		e.hold(g)
	}
	e.mu.Unlock()
	if g == nil {
		http.NotFound(w, r)
		return
	}
	e.stream(w, r, g, max(g.first, after-resumeOverlap), 0)
}

// stream sends the tokens after a sequence number, the usage and the done marker.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, g *generation, after int64, firstDelay time.Duration) {
	defer func() {
		e.mu.Lock()
		if e.boot == g.boot {
			e.release(g)
		}
		e.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush(w)
	e.mu.Lock()
	broken := e.broken
	e.mu.Unlock()
	wait := firstDelay
	for seq := after + 1; seq <= g.limit; seq++ {
		if !e.pause(r, g, broken, wait) {
			panic(http.ErrAbortHandler)
		}
		wait = g.delay
		if err := e.sendToken(w, g, seq); err != nil {
			return
		}
	}
	e.mu.Lock()
	g.run.Done = true
	if e.boot == g.boot {
		e.completed++
	}
	e.free(g) // before the client can see the end and send the next request
	e.mu.Unlock()
	_, _ = io.WriteString(w, "data: [DONE]\n\n") // a failed write means that the client has left
	flush(w)
}

// pause waits before the next token. It returns false if the engine crashed or the client left.
func (e *Engine) pause(r *http.Request, g *generation, broken <-chan struct{}, d time.Duration) bool {
	var timer <-chan time.Time
	if d > 0 {
		timer = time.After(d)
	}
	for {
		e.mu.Lock()
		silent, changed := e.silent || connOf(r).epoch < e.epoch, e.changed
		e.mu.Unlock()
		ready := timer
		if d <= 0 {
			done := make(chan time.Time)
			close(done)
			ready = done
		}
		if silent {
			ready = nil
		}
		select {
		case <-g.reset:
			return false
		case <-g.stopped:
			return false
		case <-broken:
			return false
		default:
		}
		select {
		case <-g.reset:
			return false
		case <-g.stopped:
			return false
		case <-broken:
			return false
		case <-r.Context().Done():
			return false
		case <-changed:
		case <-ready:
			return true
		}
	}
}

func (e *Engine) sendToken(w http.ResponseWriter, g *generation, seq int64) error {
	chunk := httpengine.Chunk{Choices: []httpengine.ChunkChoice{{Delta: httpengine.Delta{Content: Token(g.run.Version, g.prompt, seq)}}}}
	if e.spec.Confidence > 0 {
		chunk.Choices[0].Confidence = &e.spec.Confidence
	}
	if seq == g.limit {
		stop := "stop"
		chunk.Choices[0].FinishReason = &stop
		chunk.Usage = &engine.Usage{InputTokens: g.input, OutputTokens: seq}
	}
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	e.mu.Lock()
	g.run.Tokens = max(g.run.Tokens, seq)
	e.keepCache(g)
	e.mu.Unlock()
	if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", seq, data); err != nil {
		return err
	}
	flush(w)
	return nil
}

func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}
