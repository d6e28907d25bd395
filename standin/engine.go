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
	maxEngineBodyBytes  = 16 << 20
	bytesPerToken       = 4  // of a prompt
	defaultAnswerTokens = 24 // length of an answer if EngineSpec.AnswerTokens is 0 and the request's limit isn't smaller
	// resumeOverlapTokens is the number of tokens that a resumed stream repeats, as real engines may do.
	resumeOverlapTokens = 2
)

// EngineSpec configures an Engine. The zero value of a limit or a delay means none unless its comment says otherwise.
type EngineSpec struct {
	Name            string
	Versions        []string
	Slots           int           // concurrent requests beyond which the engine replies with status 503
	ColdSlots       int           // concurrent requests beyond which a cold engine crashes
	WarmAfter       int           // completed requests since the start after which the engine is no longer cold
	TokensMax       int64         // tokens of all running requests, prompts and answers, beyond which the engine crashes
	AnswerTokens    int64         // tokens of an answer unless the request's limit is smaller; 0 for defaultAnswerTokens
	TokenDelay      time.Duration // time between tokens
	TokenBytes      int           // size of each token at least; 0 for that of Token
	FirstTokenDelay time.Duration // time to the first token
	Confidence      float64       // reported with each token; 0 to report none
	// PrefillDelayPerToken is added to the time to the first token for each token of the prompt that is not in the session's
	// KV cache.
	PrefillDelayPerToken time.Duration
	CacheBytesPerToken   int64 // size of a KV cache per token of the prompt
	CacheBytesPerSecond  int64 // rate of each export and import of a KV cache
}

// EngineRun records one request that an Engine started.
type EngineRun struct {
	ID           string
	Engine       string
	Version      string
	Tokens       int64 // generated so far
	Done         bool
	Started      time.Time
	Prompt       string
	CachedTokens int64 // tokens of the prompt that were in the session's KV cache
}

// CrashCause is the cause of an engine's crash.
type CrashCause string

// Causes of crashes.
const (
	CauseForced CrashCause = "forced" // by Crash, SetDown or a CacheFault
	CausePrompt CrashCause = "prompt" // a prompt with the text set by CrashOn
	CauseCold   CrashCause = "cold"   // more than ColdSlots concurrent requests on a cold engine
	CauseMemory CrashCause = "memory" // more than TokensMax tokens of running requests
)

// Engine is a fake model engine with fault injection. A crash restarts it at once, without its streams, cache events and KV
// caches. It is safe for concurrent use.
type Engine struct {
	spec EngineSpec

	mu                   sync.Mutex
	boot                 int // number of starts
	started              time.Time
	running              int   // requests that occupy a slot
	tokensHeld           int64 // prompt and answer tokens of the running requests
	completed            int64 // since start
	versions             []string
	runs                 []*EngineRun
	streams              map[string]*generation // by request ID
	crashOn              string                 // text in a prompt that crashes the engine; empty for none
	streamsStalled       bool
	epoch                int           // number of StallConnections calls; connections whose first request came before the last call are stalled
	streamsCut           chan struct{} // closed and replaced by BreakStreams
	refusesResume        bool
	down                 bool
	ignoresFencing       bool
	fence                uint64 // highest fencing token of an accepted order
	role                 string
	orders               []engine.Order
	failEvery            int
	acceptedForFailEvery int // accepted requests while failEvery is set
	events               []cacheEvent
	cacheEventDelay      time.Duration // minimum age of a reported cache event
	eventSeq             uint64        // sequence number of the last cache event
	sessions             map[string]sessionCache
	cacheFault           CacheFault
	crashes              map[CrashCause]int
	crashed              chan struct{} // closed and replaced when the engine crashes
	faultsChanged        chan struct{} // closed and replaced when a fault setting changes
}

// cacheEvent is a cache event with the time at which it occurred.
type cacheEvent struct {
	engine.CacheEvent
	at time.Time
}

// generation is the state of one answer. It is kept after the end of its stream so that the stream can be resumed. The engine's
// lock guards openStreams, released and run.
type generation struct {
	run          *EngineRun
	prompt       string
	session      string // ID of the session whose KV cache it uses, empty for none
	cachedTokens int64  // tokens of the prompt that were in the session's KV cache
	startToken   int64  // sequence number before the first token to generate; not 0 if the answer continues another engine's
	answerTokens int64  // sequence number of the last token
	promptTokens int64
	tokenDelay   time.Duration   // between tokens
	openStreams  int             // number of open streams; the generation occupies a slot and tokens while it is not 0
	boot         int             // value of Engine.boot when the generation started
	crashed      <-chan struct{} // closed when the engine crashes
	cancelled    chan struct{}   // closed when the request is cancelled
	released     bool            // completed or cancelled, so it occupies no slot and no tokens
}

// NewEngine returns an engine that has just started, cold and without faults.
func NewEngine(spec EngineSpec) *Engine {
	return &Engine{
		spec:          spec,
		boot:          1,
		started:       time.Now(),
		versions:      slices.Clone(spec.Versions),
		streams:       map[string]*generation{},
		sessions:      map[string]sessionCache{},
		crashes:       map[CrashCause]int{},
		crashed:       make(chan struct{}),
		faultsChanged: make(chan struct{}),
		streamsCut:    make(chan struct{}),
	}
}

// Handler returns a handler of the protocol that package httpengine speaks.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.withConnectionFaults(e.serveChat))
	mux.HandleFunc("GET /v1/streams/{id}", e.withConnectionFaults(e.serveResume))
	mux.HandleFunc("DELETE /v1/streams/{id}", e.withConnectionFaults(e.serveCancel))
	mux.HandleFunc("GET /v1/load", e.withConnectionFaults(e.serveLoad))
	mux.HandleFunc("GET /v1/cache/events", e.withConnectionFaults(e.serveCacheEvents))
	mux.HandleFunc("GET /v1/cache/sessions/{id}", e.withConnectionFaults(e.serveCacheExport))
	mux.HandleFunc("PUT /v1/cache/sessions/{id}", e.withConnectionFaults(e.serveCacheImport))
	mux.HandleFunc("POST /v1/orders", e.withConnectionFaults(e.serveOrder))
	return mux
}

// withConnectionFaults drops a request's connection while the engine is down and leaves requests on stalled connections without
// a response. It adds the boot ID to all other responses.
func (e *Engine) withConnectionFaults(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		down, boot := e.down, e.bootID()
		e.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		c := connStateOf(r)
		e.mu.Lock()
		if c.engine == nil {
			c.engine, c.epoch = e, e.epoch
		}
		stalled := c.epoch < e.epoch
		e.mu.Unlock()
		if stalled {
			_, _ = io.Copy(io.Discard, r.Body) // the context is cancelled with the connection only after the body was read
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

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var req chatRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxEngineBodyBytes)).Decode(&req); err != nil {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	g, status := e.admit(r.Header.Get(httpengine.HeaderRequestID), r.Header.Get(httpengine.HeaderSession), req)
	if status != http.StatusOK {
		http.Error(w, http.StatusText(status), status)
		return
	}
	e.stream(w, r, g, g.startToken, e.spec.FirstTokenDelay+time.Duration(g.promptTokens-g.cachedTokens)*e.spec.PrefillDelayPerToken)
}

// admit starts a generation and returns status 200, or returns the status of the rejection. It crashes the engine if the request
// meets one of the conditions for a crash; the generation's stream then ends at once.
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
		run:    &EngineRun{ID: id, Engine: e.spec.Name, Version: req.Model, Started: time.Now(), Prompt: prompt},
		prompt: prompt, answerTokens: e.answerTokens(req.MaxTokens), promptTokens: int64(len(prompt)) / bytesPerToken,
		tokenDelay: e.spec.TokenDelay, boot: e.boot, crashed: e.crashed, cancelled: make(chan struct{}),
		session: session, cachedTokens: e.sessions[session].cachedTokens(req.Model, prompt),
	}
	g.run.CachedTokens = g.cachedTokens
	if req.Continuation != nil {
		g.startToken = req.Continuation.Tokens
	}
	e.runs = append(e.runs, g.run)
	e.openStream(g)
	e.streams[id] = g
	e.recordCacheEvent(prompt)
	cold := e.completed < int64(e.spec.WarmAfter)
	switch {
	case e.crashOn != "" && strings.Contains(prompt, e.crashOn):
		e.crash(CausePrompt)
	case cold && e.spec.ColdSlots > 0 && e.running > e.spec.ColdSlots:
		e.crash(CauseCold)
	case e.spec.TokensMax > 0 && e.tokensHeld > e.spec.TokensMax:
		e.crash(CauseMemory)
	}
	if e.failEvery > 0 && e.boot == g.boot {
		e.acceptedForFailEvery++
		if e.acceptedForFailEvery%e.failEvery == 0 {
			e.closeStream(g)
			return nil, http.StatusInternalServerError
		}
	}
	return g, http.StatusOK
}

// answerTokens returns the number of tokens of an answer to a request with the given limit; 0 means no limit.
func (e *Engine) answerTokens(limit int64) int64 {
	n := e.spec.AnswerTokens
	if n == 0 {
		n = defaultAnswerTokens
	}
	if limit > 0 {
		n = min(n, limit)
	}
	return n
}

// recordCacheEvent adds the event that a prompt is now cached. The caller holds the lock.
func (e *Engine) recordCacheEvent(prompt string) {
	e.eventSeq++
	ev := engine.CacheEvent{Seq: e.eventSeq, Prefix: Fingerprint(prompt), Tokens: int64(len(prompt)) / bytesPerToken}
	e.events = append(e.events, cacheEvent{ev, time.Now()})
}

// openStream counts a new stream of a generation, which occupies a slot and tokens with its first one. The caller holds the lock.
func (e *Engine) openStream(g *generation) {
	if g.openStreams++; g.openStreams == 1 && !g.released {
		e.running++
		e.tokensHeld += g.promptTokens + g.answerTokens
	}
}

// releaseResources releases the slot and the tokens of a generation although a stream may still be open. The caller holds the
// lock.
func (e *Engine) releaseResources(g *generation) {
	if e.boot != g.boot || g.released {
		return
	}
	g.released = true
	if g.openStreams > 0 {
		e.running--
		e.tokensHeld -= g.promptTokens + g.answerTokens
	}
}

// closeStream undoes openStream. The caller holds the lock.
func (e *Engine) closeStream(g *generation) {
	if g.openStreams--; g.openStreams == 0 && !g.released {
		e.running--
		e.tokensHeld -= g.promptTokens + g.answerTokens
	}
}

// crash ends all streams and restarts the engine, cold and without cache events and KV caches. Its versions, role and records of
// runs and orders stay. The caller holds the lock.
func (e *Engine) crash(c CrashCause) {
	e.crashes[c]++
	close(e.crashed)
	e.crashed = make(chan struct{})
	e.boot++
	e.started = time.Now()
	e.completed = 0
	e.running, e.tokensHeld = 0, 0
	e.streams = map[string]*generation{}
	e.events = nil
	e.sessions = map[string]sessionCache{}
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.Header.Get("Last-Event-ID"), 10, 64)
	if err != nil {
		http.Error(w, "bad Last-Event-ID", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	g := e.streams[r.PathValue("id")]
	if e.refusesResume {
		g = nil
	}
	if g != nil {
		e.openStream(g)
	}
	e.mu.Unlock()
	if g == nil {
		http.NotFound(w, r)
		return
	}
	e.stream(w, r, g, max(g.startToken, after-resumeOverlapTokens), 0)
}

// stream sends the tokens after sequence number after, the usage and the end marker. It ends early, by dropping the connection, if
// the engine crashes, the request is cancelled or BreakStreams is called. The caller has called openStream.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, g *generation, after int64, firstDelay time.Duration) {
	defer func() {
		e.mu.Lock()
		if e.boot == g.boot {
			e.closeStream(g)
		}
		e.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush(w)
	e.mu.Lock()
	cut := e.streamsCut
	e.mu.Unlock()
	delay := firstDelay
	for seq := after + 1; seq <= g.answerTokens; seq++ {
		if !e.waitForToken(r, g, cut, delay) {
			panic(http.ErrAbortHandler)
		}
		delay = g.tokenDelay
		if err := e.sendToken(w, g, seq); err != nil {
			return
		}
	}
	e.mu.Lock()
	g.run.Done = true
	if e.boot == g.boot {
		e.completed++
	}
	e.releaseResources(g) // before the end marker, so that the client's next request finds a free slot
	e.mu.Unlock()
	_, _ = io.WriteString(w, "data: [DONE]\n\n") // a failed write means that the client has left
	flush(w)
}

// waitForToken waits until the next token is due, and while the stream is stalled. It returns false if the engine crashed, the
// request was cancelled, the stream was cut or the client left.
func (e *Engine) waitForToken(r *http.Request, g *generation, cut <-chan struct{}, d time.Duration) bool {
	var timer <-chan time.Time
	if d > 0 {
		timer = time.After(d)
	}
	for {
		e.mu.Lock()
		stalled, changed := e.streamsStalled || connStateOf(r).epoch < e.epoch, e.faultsChanged
		e.mu.Unlock()
		ready := timer
		if d <= 0 {
			done := make(chan time.Time)
			close(done)
			ready = done
		}
		if stalled {
			ready = nil
		}
		select {
		case <-g.crashed:
			return false
		case <-g.cancelled:
			return false
		case <-cut:
			return false
		default:
		}
		select {
		case <-g.crashed:
			return false
		case <-g.cancelled:
			return false
		case <-cut:
			return false
		case <-r.Context().Done():
			return false
		case <-changed:
		case <-ready:
			return true
		}
	}
}

// sendToken sends one token as an event, with the finish reason and the usage if it is the last one.
func (e *Engine) sendToken(w http.ResponseWriter, g *generation, seq int64) error {
	token := Token(g.run.Version, g.prompt, seq)
	token += strings.Repeat("x", max(0, e.spec.TokenBytes-len(token)))
	chunk := httpengine.Chunk{Choices: []httpengine.ChunkChoice{{Delta: httpengine.Delta{Content: token}}}}
	if e.spec.Confidence > 0 {
		chunk.Choices[0].Confidence = &e.spec.Confidence
	}
	if seq == g.answerTokens {
		stop := "stop"
		chunk.Choices[0].FinishReason = &stop
		chunk.Usage = &engine.Usage{InputTokens: g.promptTokens, OutputTokens: seq}
	}
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	e.mu.Lock()
	g.run.Tokens = max(g.run.Tokens, seq)
	e.storeCache(g)
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
