// Package engine defines the interface to endpoints: token streams that can be resumed and cancelled, load reports,
// cache events, KV cache export and import, orders with fencing numbers, and calls of plain services.
package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Errors of a Client. They tell whether the endpoint may have run the request.
var (
	// ErrUnreachable says that no connection could be made, so the request did not run.
	ErrUnreachable = errors.New("engine: endpoint unreachable")
	// ErrBusy says that the endpoint turned the request down without running it.
	ErrBusy = errors.New("engine: endpoint busy")
	// ErrRejected says that the endpoint found the request invalid and did not run it.
	ErrRejected = errors.New("engine: request rejected")
	// ErrUnknownStream says that the endpoint has no stream of that name to resume.
	ErrUnknownStream = errors.New("engine: unknown stream")
	// ErrStaleFence says that an order's fencing number is older than one that the endpoint has seen.
	ErrStaleFence = errors.New("engine: stale fencing number")
	// ErrFailed says that the endpoint answered with a failure of its own after it accepted the request.
	ErrFailed = errors.New("engine: endpoint failed")
	// ErrStalled is the cause with which a caller cancels a call that makes no progress. Connections to the endpoint that
	// are idle may have gone silent as well; a Client uses none of them afterwards.
	ErrStalled = errors.New("engine: no progress in time")
	// ErrBroken says that the connection broke after the request was sent; it may have run.
	ErrBroken = errors.New("engine: connection broken")
	// ErrTruncated says that the data of an import ended early, so that the endpoint keeps none of it.
	ErrTruncated = errors.New("engine: import ended early")
)

// Request is one model call.
type Request struct {
	ID        string // names the stream at the endpoint
	Version   string
	Body      []byte // JSON object of a chat completion request, without model and stream
	Priority  int
	MaxTokens int64
	// Prior is the text of the answer generated so far by an endpoint that failed; generation goes on after it.
	Prior       string
	PriorTokens int64
	// Session names the KV cache that the endpoint keeps of the session for this version, so that it can be exported; empty
	// if it need not keep one. An endpoint uses a cache of that name only as far as the prompt begins with what it holds.
	Session string
}

// CacheExport is a session's KV cache that is being read from an endpoint.
type CacheExport struct {
	// Body gives the data. It ends with io.EOF only after all of it; a broken connection gives another error.
	Body io.ReadCloser
	Size int64 // bytes, -1 if the endpoint does not state it
}

// Usage counts the tokens of one model call.
type Usage struct {
	InputTokens  int64 `json:"prompt_tokens"`
	OutputTokens int64 `json:"completion_tokens"`
}

// Event is one part of a streamed answer.
type Event struct {
	Seq          int64 // number of tokens of the answer up to and including this part
	Text         string
	FinishReason string  // empty until the last part
	Confidence   float64 // mean token probability, 0 if the engine doesn't report it
	Usage        *Usage  // set on the last part
}

// Stream is an answer being generated. Next returns io.EOF after the last event.
type Stream interface {
	Next() (Event, error)
	// Boot identifies the endpoint's process; it changes with each start.
	Boot() string
	Close() error
}

// Load is an endpoint's load report.
type Load struct {
	Boot          string   `json:"boot"`
	Running       int      `json:"running"`
	Queued        int      `json:"queued"`
	TokensHeld    int64    `json:"tokensHeld"`
	TokensMax     int64    `json:"tokensMax"`
	Completed     int64    `json:"completed"` // since start
	Versions      []string `json:"versions"`
	UptimeSeconds float64  `json:"uptimeSeconds"`
	// RunningByVersion splits Running; nil if the engine does not report it.
	RunningByVersion map[string]int `json:"runningByVersion,omitempty"`
	// Role is what the endpoint does, for example prefill; empty if the engine does not report it.
	Role string `json:"role,omitempty"`
	// Loading are versions that are being loaded; nil if the engine does not report them.
	Loading []string `json:"loading,omitempty"`
}

// CacheEvent says that an endpoint cached or evicted a prompt prefix. Sequence numbers have gaps when events are lost.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Prefix uint64 `json:"prefix"` // hash of the prefix
	Tokens int64  `json:"tokens"`
	Evict  bool   `json:"evict"`
}

// Order is a command to an endpoint.
type Order struct {
	Action string `json:"action"` // load, unload, adapter or role
	Target string `json:"target"` // version, adapter or role
	Fence  uint64 `json:"fence"`
	Token  string `json:"token,omitempty"` // for endpoints that authenticate the sender
}

// PlainRequest is a call of a plain service.
type PlainRequest struct {
	ID         string
	Method     string
	Path       string // with the query
	Header     http.Header
	Body       []byte
	Repeatable bool
}

// PlainResponse is the answer of a plain service.
type PlainResponse struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Client talks to endpoints by address.
type Client interface {
	Stream(ctx context.Context, addr string, r Request) (Stream, error)
	// Resume continues a stream after the event with the given sequence number.
	Resume(ctx context.Context, addr, id string, after int64) (Stream, error)
	Cancel(ctx context.Context, addr, id string) error
	Load(ctx context.Context, addr string) (Load, error)
	CacheEvents(ctx context.Context, addr string, after uint64) ([]CacheEvent, error)
	// ExportCache reads the KV cache of a session. It returns ErrUnknownStream if the endpoint holds none.
	ExportCache(ctx context.Context, addr, session string) (*CacheExport, error)
	// ImportCache gives an endpoint the KV cache of a session, of size bytes or, if size is -1, until data ends. If data
	// fails or ends early, the endpoint keeps nothing. It returns the boot identity of the endpoint that keeps the cache.
	ImportCache(ctx context.Context, addr, session string, data io.Reader, size int64) (boot string, err error)
	Order(ctx context.Context, addr string, o Order) error
	// Call sends a plain request. A non-repeatable one is sent at most once.
	Call(ctx context.Context, addr string, r PlainRequest) (*PlainResponse, error)
}

// LoadTimeout bounds a load report.
const LoadTimeout = 2 * time.Second

const (
	// maxNameBytes bounds the names that a load report carries. They stay in memory for each endpoint.
	maxNameBytes = 256
	// maxVersions bounds the versions of a load report.
	maxVersions = 256
	// maxCount bounds the counts of a load report, so that sums of them can't overflow.
	maxCount = 1 << 40
)

// Check reports an error if the load report states what no endpoint can have.
func (l *Load) Check() error {
	for _, n := range []int64{int64(l.Running), int64(l.Queued), l.TokensHeld, l.TokensMax, l.Completed} {
		if n < 0 || n > maxCount {
			return fmt.Errorf("%w: load report with the count %d", ErrBroken, n)
		}
	}
	if len(l.Boot) > maxNameBytes || len(l.Versions) > maxVersions {
		return fmt.Errorf("%w: load report too large", ErrBroken)
	}
	for _, v := range l.Versions {
		if len(v) > maxNameBytes {
			return fmt.Errorf("%w: load report too large", ErrBroken)
		}
	}
	return nil
}

// Check reports an error if the event states what no endpoint can have.
func (e *CacheEvent) Check() error {
	if e.Tokens < 0 || e.Tokens > maxCount {
		return fmt.Errorf("%w: cache event with %d tokens", ErrBroken, e.Tokens)
	}
	return nil
}
