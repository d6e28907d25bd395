package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/bramleytrail/bramleytrail/engine"
)

// maxPlainBodyBytes limits what a plain service reads of a request's body.
const maxPlainBodyBytes = 1 << 20

// PlainRun records one call that a PlainService executed.
type PlainRun struct {
	Key    string // Idempotency-Key header
	Method string
	Path   string // with the query
	Body   string // up to maxPlainBodyBytes
	Team   string // Bramley-Team header
}

// PlainService is a fake endpoint of a plain service, with fault injection. It executes every call by recording it. It is safe
// for concurrent use.
type PlainService struct {
	Name string // appears in replies and as the start of the boot ID

	mu            sync.Mutex
	runs          []PlainRun
	repliesToDrop int
	repliesToCut  int
	failStatus    int           // of the replies to executed calls; 0 for a success
	padding       string        // in each reply
	held          chan struct{} // if not nil, calls wait for its close before they reply
	down          bool
}

// NewPlainService returns a plain service without faults.
func NewPlainService(name string) *PlainService { return &PlainService{Name: name} }

// DropReplies makes the next n calls execute and then drop their connection without a reply.
func (p *PlainService) DropReplies(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.repliesToDrop = n
}

// CutReplies makes the next n calls execute and then drop their connection in the middle of the reply's body.
func (p *PlainService) CutReplies(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.repliesToCut = n
}

// FailWith makes calls execute and then reply with a status, and with the statement that they did not run. 0 ends this.
func (p *PlainService) FailWith(status int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failStatus = status
}

// SetDown makes the service drop the connection of every request before it executes anything, and of calls in progress instead
// of a reply.
func (p *PlainService) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// PadReplies makes replies longer by n bytes.
func (p *PlainService) PadReplies(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.padding = strings.Repeat("x", n)
}

func (p *PlainService) isDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down
}

// HoldReplies delays the replies of executed calls until the returned function is called or the caller leaves.
func (p *PlainService) HoldReplies() (release func()) {
	ch := make(chan struct{})
	p.mu.Lock()
	p.held = ch
	p.mu.Unlock()
	return sync.OnceFunc(func() {
		p.mu.Lock()
		p.held = nil
		p.mu.Unlock()
		close(ch)
	})
}

// Runs returns a copy of the records of all executed calls, in order.
func (p *PlainService) Runs() []PlainRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]PlainRun(nil), p.runs...)
}

// Handler returns a handler of the load report. It treats requests for all other paths as calls.
func (p *PlainService) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		replyJSON(w, engine.Load{Boot: p.Name + "-1"})
	})
	mux.HandleFunc("/", p.serveCall)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.isDown() {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

func (p *PlainService) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxPlainBodyBytes))
	if err != nil {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.runs = append(p.runs, PlainRun{Key: r.Header.Get("Idempotency-Key"), Method: r.Method, Path: r.URL.RequestURI(), Body: string(body), Team: r.Header.Get("Bramley-Team")})
	drop, held, status, padding := p.repliesToDrop > 0, p.held, p.failStatus, p.padding
	if drop {
		p.repliesToDrop--
	}
	cut := !drop && p.repliesToCut > 0
	if cut {
		p.repliesToCut--
	}
	p.mu.Unlock()
	if held != nil {
		select {
		case <-held:
		case <-r.Context().Done():
		}
	}
	if drop || p.isDown() {
		panic(http.ErrAbortHandler)
	}
	reply := map[string]string{"service": p.Name, "method": r.Method, "path": r.URL.RequestURI()}
	if padding != "" {
		reply["padding"] = padding
	}
	if cut {
		sendPartialReply(w, reply)
	}
	if status != 0 {
		w.Header().Set("Bramley-Ran", "no")
		w.WriteHeader(status)
	}
	replyJSON(w, reply)
}

// sendPartialReply sends the first half of a reply and drops the connection by a panic.
func sendPartialReply(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // strings always encode
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data[:len(data)/2]) // the connection is dropped in any case
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
