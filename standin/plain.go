package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/bramleytrail/bramleytrail/engine"
)

// maxPlainBody bounds the request body that a plain service reads.
const maxPlainBody = 1 << 20

// PlainRun is the record of one call that a plain service executed.
type PlainRun struct {
	Key    string // Idempotency-Key header
	Method string
	Path   string
	Body   string
	Team   string
}

// Plain is a fake plain service with fault injection.
type Plain struct {
	Name string

	mu        sync.Mutex
	runs      []PlainRun
	dropReply int
	cutReply  int
	hold      chan struct{} // calls wait until it is closed
	down      bool
}

// NewPlain returns a plain service.
func NewPlain(name string) *Plain { return &Plain{Name: name} }

// DropReplies makes the next n calls take effect and then drop the connection.
func (p *Plain) DropReplies(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropReply = n
}

// CutReplies makes the next n calls take effect and then drop the connection in the middle of the reply's body.
func (p *Plain) CutReplies(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutReply = n
}

// SetDown makes the service drop every connection, calls under way included, before it runs anything.
func (p *Plain) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

func (p *Plain) isDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down
}

// Hold makes calls wait after they took effect, until the returned function is called.
func (p *Plain) Hold() (release func()) {
	ch := make(chan struct{})
	p.mu.Lock()
	p.hold = ch
	p.mu.Unlock()
	return sync.OnceFunc(func() {
		p.mu.Lock()
		p.hold = nil
		p.mu.Unlock()
		close(ch)
	})
}

// Runs returns the calls that took effect.
func (p *Plain) Runs() []PlainRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]PlainRun(nil), p.runs...)
}

// Handler serves any path, and the load report.
func (p *Plain) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		replyJSON(w, engine.Load{Boot: p.Name + "-1"})
	})
	mux.HandleFunc("/", p.call)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.isDown() {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

func (p *Plain) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxPlainBody))
	if err != nil {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.runs = append(p.runs, PlainRun{Key: r.Header.Get("Idempotency-Key"), Method: r.Method, Path: r.URL.RequestURI(), Body: string(body), Team: r.Header.Get("Bramley-Team")})
	drop, hold := p.dropReply > 0, p.hold
	if drop {
		p.dropReply--
	}
	cut := !drop && p.cutReply > 0
	if cut {
		p.cutReply--
	}
	p.mu.Unlock()
	if hold != nil {
		select {
		case <-hold:
		case <-r.Context().Done():
		}
	}
	if drop || p.isDown() {
		panic(http.ErrAbortHandler)
	}
	reply := map[string]string{"service": p.Name, "method": r.Method, "path": r.URL.RequestURI()}
	if cut {
		replyPart(w, reply)
	}
	replyJSON(w, reply)
}

// replyPart sends the first half of a reply and drops the connection.
func replyPart(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // strings always encode
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data[:len(data)/2]) // the connection is dropped anyway
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
