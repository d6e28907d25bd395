package chaos

import (
	"sync"
	"time"
)

// Kind is the kind of a caller's request.
type Kind string

// Kinds of requests.
const (
	KindStream       Kind = "stream"
	KindNonStreaming Kind = "whole"
	KindSession      Kind = "session"
	KindRelease      Kind = "release" // non-repeatable call of a plain service
	KindCanceled     Kind = "leave"   // stream whose caller closes the connection early
	KindPoison       Kind = "poison"  // crashes each engine that executes it
)

// Delivery is one attempt of a caller to send a request to a daemon, with the response.
type Delivery struct {
	Daemon    string // address
	Status    int    // 0 if no response header was received
	Ran       string // Bramley-Ran header
	Code      string // Bramley-Code header
	Complete  bool   // the response was received to its end, whatever its status
	Truncated bool   // the stream ended with neither its final event nor an error event
	Text      string
	Version   string
	BillID    string // ID of the bill for a complete answer; for a release, its idempotency key
}

// Request is a caller's request with all its deliveries, in order.
type Request struct {
	Kind       Kind
	Key        string // prompt of a chat request; body and idempotency key of a release
	Session    int    // number of the worker, which has one session; used for KindSession
	Deliveries []Delivery
}

// Answered reports whether a delivery received a complete answer with status 200.
func (r *Request) Answered() bool {
	for _, d := range r.Deliveries {
		if d.Complete && d.Status == 200 {
			return true
		}
	}
	return false
}

// NeverRan reports whether there was a delivery and every response stated that the request did not run.
func (r *Request) NeverRan() bool {
	for _, d := range r.Deliveries {
		if d.Ran != "no" {
			return false
		}
	}
	return len(r.Deliveries) > 0
}

// Window is the duration of a failure. For a failure domain that is out, a withdrawn version or a leaving endpoint, it is the
// time in which the named one must receive no new work.
type Window struct {
	Domain   string // failure domain that is out or partitioned
	Version  string // version that is withdrawn
	Endpoint string // endpoint that is leaving
	From, To time.Time
}

// Record collects the requests of the callers and the failures that were injected. Its methods are safe for concurrent use;
// the fields are read after the run.
type Record struct {
	mu                  sync.Mutex
	requests            []*Request
	windows             []Window
	revisionRegressions []string        // descriptions of daemons whose configuration revision decreased
	killed              map[string]bool // addresses of daemons that were killed
	lostWithDomain      map[string]bool // addresses of daemons that were killed together with their failure domain
	partitions          []Window        // when a failure domain was partitioned from the others or from the platform
}

func (r *Record) add(req *Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, req)
}

func (r *Record) addWindow(w Window) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.windows = append(r.windows, w)
}

// addKilled records the address of a daemon that was killed.
func (r *Record) addKilled(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.killed[addr] = true
}

// addLost records the address of a daemon that was killed together with its failure domain.
func (r *Record) addLost(addr string) {
	r.addKilled(addr)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lostWithDomain[addr] = true
}

func (r *Record) addPartition(w Window) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitions = append(r.partitions, w)
}
