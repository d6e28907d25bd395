package chaos

import (
	"sync"
	"time"
)

// Kind of a caller's request.
type Kind string

// Kinds of requests.
const (
	KindStream  Kind = "stream"
	KindWhole   Kind = "whole"
	KindSession Kind = "session"
	KindRelease Kind = "release" // call of a plain service that may not be repeated
	KindLeave   Kind = "leave"   // stream whose caller leaves in the middle
	KindPoison  Kind = "poison"  // crashes each engine that runs it
)

// Delivery is one sending of a request to a daemon.
type Delivery struct {
	Daemon   string
	Status   int    // 0 if no response header came
	Ran      string // Bramley-Ran header
	Code     string // Bramley-Code header
	Complete bool   // the whole answer arrived
	Cut      bool   // a stream ended without its end and without an error event
	Text     string
	Version  string
	Billing  string // identity under which a complete answer is billed; of a release, its idempotency key
}

// Request is one caller's request with all its deliveries.
type Request struct {
	Kind       Kind
	Key        string // prompt, and idempotency key of releases
	Session    int    // number of the session, for KindSession
	Deliveries []Delivery
}

// Answered reports whether a delivery brought the whole answer.
func (r *Request) Answered() bool {
	for _, d := range r.Deliveries {
		if d.Complete && d.Status == 200 {
			return true
		}
	}
	return false
}

// NeverRan reports whether every delivery was refused with the statement that the request did not run.
func (r *Request) NeverRan() bool {
	for _, d := range r.Deliveries {
		if d.Ran != "no" {
			return false
		}
	}
	return len(r.Deliveries) > 0
}

// Window is a time in which something must receive no new work.
type Window struct {
	Domain   string // failure domain that is out
	Version  string // version that is withdrawn
	Endpoint string // endpoint that is leaving
	From, To time.Time
}

// Record collects what callers saw.
type Record struct {
	mu       sync.Mutex
	requests []*Request
	windows  []Window
	revision []string        // violations of the order of revisions
	killed   map[string]bool // addresses of daemons that were killed
	lost     map[string]bool // addresses of daemons that were lost with their failure domain
	cuts     []Window        // times in which a failure domain was cut off from the others or from the platform
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

func (r *Record) addKilled(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.killed[addr] = true
}

// addLost notes a daemon that was lost with its failure domain.
func (r *Record) addLost(addr string) {
	r.addKilled(addr)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost[addr] = true
}

func (r *Record) addCut(w Window) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts = append(r.cuts, w)
}
