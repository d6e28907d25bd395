package main

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleytrail/bramleytrail/platform"
)

// run is a request that a replica ran.
type run struct {
	replica, attempt string
	at               time.Time
}

// replica is a server of a service as the pages describe it. It reads the whole request, checks X-Expected-Instance and answers
// with a seal. It stops when its caller leaves.
type replica struct {
	s       *stage
	id      string
	service string
	version string // of the software; v1 if empty
	zone    string
	born    int64
	slots   int

	events   int           // of a stream; 0 for plain answers
	interval time.Duration // between two events
	work     time.Duration // before a plain answer
	crashOn  string        // body of a request that crashes the replica when it begins to run; empty for none
	downFor  time.Duration // after a crash
	onRun    func(run)

	mu       sync.Mutex
	server   *http.Server
	addr     string
	sequence int
	running  atomic.Int64
}

// listen starts the server on a free port, or on the one it had, and registers the replica in the store.
func (r *replica) listen() error {
	addr := r.addr
	if addr == "" {
		addr = r.s.network + ".200:0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.addr, r.born = ln.Addr().String(), time.Now().UnixMilli()
	r.server = &http.Server{Handler: r}
	server := r.server
	r.mu.Unlock()
	go func() { _ = server.Serve(ln) }() // ends with Close
	r.register("ready")
	return nil
}

// register writes the entry of the replica.
func (r *replica) register(state string) {
	r.sequence++
	r.s.store.Put(platform.EndpointPrefix+r.id, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":%d,"state":%q,"cold-remaining-ms":0,"sequence":%d,"born":%d}`,
		r.service, r.addr, r.zone, cmp.Or(r.version, "v1"), r.slots, state, r.sequence, r.born))
}

// crash ends the process of the replica: its port is closed and its connections break. It is back after some seconds, as another
// incarnation with a new id, at the same address.
func (r *replica) crash() {
	r.mu.Lock()
	server := r.server
	r.server = nil
	r.mu.Unlock()
	if server == nil {
		return
	}
	r.s.note("replica %s crashes", r.id)
	go func() {
		_ = server.Close()
		time.Sleep(r.downFor)
		r.s.store.Remove(platform.EndpointPrefix + r.id) // it has lapsed by now
		r.id += "'"
		if err := r.listen(); err != nil {
			r.s.note("replica %s is not back: %v", r.id, err)
		}
	}()
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	attempt := req.Header.Get("X-Attempt-Id")
	h.Set("X-Attempt-Id", attempt)
	h.Set("X-Replica-Load", fmt.Sprintf("%d,0,%d", r.running.Load(), r.slots))
	if req.Header.Get("X-Expected-Instance") != r.id {
		h.Set("X-Replica-Id", r.id)
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.running.Add(1) > int64(r.slots) {
		r.running.Add(-1)
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.running.Add(-1)
	if r.onRun != nil {
		r.onRun(run{r.id, attempt, time.Now()})
	}
	if r.crashOn != "" && string(body) == r.crashOn {
		r.crash()
		panic(http.ErrAbortHandler)
	}
	h.Set("X-Response-Seal", "seal."+r.id+"."+attempt)
	if r.events == 0 {
		time.Sleep(r.work)
		_, _ = io.WriteString(w, answerBody(attempt)) // the caller may have left
		return
	}
	r.stream(w, req, attempt)
}

// answerBody is the body of a plain answer.
func answerBody(attempt string) string { return "the answer to " + attempt }

// stream sends the events after the last one that the caller has.
func (r *replica) stream(w http.ResponseWriter, req *http.Request, attempt string) {
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) // 0 without the header
	control := http.NewResponseController(w)
	for i := after + 1; i <= r.events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i, i, attempt); err != nil {
			return
		}
		_ = control.Flush() // fails if the caller has left, as does the next write
		select {
		case <-req.Context().Done():
			return
		case <-time.After(r.interval):
		}
	}
}
