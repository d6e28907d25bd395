package observe

import (
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/choose"
	"github.com/bramleytrail/bramleytrail/dispatch"
	"github.com/bramleytrail/bramleytrail/pipeline"
)

// maxRecent is the number of finished requests that a daemon keeps.
const maxRecent = 1024

// Request describes a finished request in a state dump. It holds no prompt, answer or key.
type Request struct {
	ID        string             `json:"id"`
	Team      string             `json:"team"`
	Kind      string             `json:"kind"`
	Target    string             `json:"target"` // version or service
	Code      int                `json:"code"`
	Detail    string             `json:"detail,omitempty"`
	FirstByte time.Duration      `json:"firstByteNs"`
	Total     time.Duration      `json:"totalNs"`
	Attempts  []dispatch.Attempt `json:"attempts,omitempty"`
	pipeline.ClaimHolder
	// Decision explains why the versions were chosen; nil for calls to plain services and for requests that ended before
	// the choice.
	Decision *choose.Decision `json:"decision,omitempty"`

	choice *choose.Choice // Decision is computed from it only when the request is shown
}

// Recent is a ring buffer of the most recently finished requests. It is safe for concurrent use.
type Recent struct {
	mu   sync.Mutex
	ring [maxRecent]Request
	next int
	byID map[string]int // index into ring
}

// NewRecent returns an empty ring buffer.
func NewRecent() *Recent { return &Recent{byID: map[string]int{}} }

// Add adds a finished request in place of the oldest one.
func (r *Recent) Add(o pipeline.Outcome) {
	req := Request{
		ID: o.RequestID, Team: o.Team, Kind: o.Kind, Target: o.Version, Code: int(o.Code), FirstByte: o.FirstByte, Total: o.Total,
		Attempts: o.Attempts, ClaimHolder: o.ClaimHolder, choice: o.Choice,
	}
	if o.Err != nil {
		req.Detail = o.Err.Error()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byID, r.ring[r.next].ID)
	r.ring[r.next] = req
	r.byID[req.ID] = r.next
	r.next = (r.next + 1) % maxRecent
}

// Find returns the kept request with an ID, and whether there is one.
func (r *Recent) Find(id string) (Request, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i, ok := r.byID[id]
	if !ok {
		return Request{}, false
	}
	return r.ring[i].withDecision(), true
}

// Last returns the n most recent requests, or all if there are fewer, newest first.
func (r *Recent) Last(n int) []Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := []Request{}
	for i := 1; i <= maxRecent && len(out) < n; i++ {
		req := r.ring[(r.next-i+maxRecent)%maxRecent]
		if req.ID == "" {
			break
		}
		out = append(out, req.withDecision())
	}
	return out
}

func (r Request) withDecision() Request {
	r.Decision = r.choice.Explain()
	return r
}
