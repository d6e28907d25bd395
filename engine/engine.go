// Package engine defines the interface to endpoints: token streams that can be resumed and cancelled, load reports,
// cache events, export and import of KV caches, orders with fencing tokens, and calls to plain services.
package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Errors of a Client. They distinguish requests that did not run from requests that may have run.
var (
	// ErrUnreachable means that no connection could be opened, so the request did not run.
	ErrUnreachable = errors.New("engine: endpoint unreachable")
	// ErrBusy means that the endpoint refused the request without running it.
	ErrBusy = errors.New("engine: endpoint busy")
	// ErrRejected means that the request is invalid, in the endpoint's view or the client's, and did not run.
	ErrRejected = errors.New("engine: request rejected")
	// ErrUnknownStream means that the endpoint has no stream with the given ID, or no KV cache of the given session.
	ErrUnknownStream = errors.New("engine: unknown stream")
	// ErrStaleFence means that an order's fencing token is older than one that the endpoint has already seen.
	ErrStaleFence = errors.New("engine: stale fencing token")
	// ErrFailed means that the endpoint accepted the request and then reported an error of its own, or answered with an invalid status. The
	// request may have run.
	ErrFailed = errors.New("engine: endpoint failed")
	// ErrStalled is the context cause with which a caller cancels a call that makes no progress. Idle connections to the
	// same endpoint may be unresponsive as well, so a Client uses none of them afterwards.
	ErrStalled = errors.New("engine: no progress within the time limit")
	// ErrBroken means that the connection failed after the request was sent, or that the response could not be parsed. The
	// request may have run.
	ErrBroken = errors.New("engine: connection broken")
	// ErrTruncated means that the data of a cache import ended early, so that the endpoint keeps none of it.
	ErrTruncated = errors.New("engine: cache import truncated")
)

// Request is one call to a model.
type Request struct {
	ID        string // identifies the stream at the endpoint, for Resume and Cancel
	Version   string // model version that runs the request
	Body      []byte // JSON object of a chat completion request, without model and stream
	Priority  int
	MaxTokens int64
	// PriorText is the part of the answer that an endpoint generated before it failed; generation continues after it.
	PriorText   string
	PriorTokens int64 // tokens of PriorText, 0 for a new answer
	// Session names the KV cache that the endpoint keeps of the session for this version, so that it can be exported;
	// empty if none is needed. The endpoint reuses only the part of the cache that matches the beginning of the prompt.
	Session string
}

// CacheExport streams a session's KV cache from an endpoint.
type CacheExport struct {
	// Body is the data, to be closed by the caller. It returns io.EOF only after all of it; a broken connection gives
	// another error.
	Body io.ReadCloser
	Size int64 // bytes, -1 if the endpoint does not state it
}

// Usage counts the tokens of one model call.
type Usage struct {
	InputTokens  int64 `json:"prompt_tokens"`
	OutputTokens int64 `json:"completion_tokens"`
}

// Event is one chunk of a streamed answer.
type Event struct {
	Seq          int64 // number of tokens of the answer up to and including this chunk
	Text         string
	FinishReason string  // empty until the last chunk
	Confidence   float64 // mean token probability, 0 if the engine doesn't report it
	Usage        *Usage  // set on the last chunk
}

// Stream is an answer being generated. The caller must close it.
type Stream interface {
	// Next waits for the next event. It returns io.EOF after the last one, and an error that wraps ErrBroken if the stream
	// ends early. It must not be called concurrently.
	Next() (Event, error)
	// Boot identifies the endpoint's process; it changes with each start.
	Boot() string
	Close() error
}

// Load is an endpoint's load report. It comes from outside, so Validate must accept it before it is used.
type Load struct {
	Boot          string   `json:"boot"` // identifies the process, as Stream.Boot does
	Running       int      `json:"running"`
	Queued        int      `json:"queued"`
	TokensHeld    int64    `json:"tokensHeld"`
	TokensMax     int64    `json:"tokensMax"`
	Completed     int64    `json:"completed"` // since start
	Versions      []string `json:"versions"`
	UptimeSeconds float64  `json:"uptimeSeconds"`
	// RunningByVersion divides Running by version; nil if the engine does not report it.
	RunningByVersion map[string]int `json:"runningByVersion,omitempty"`
	// Role is the task of the endpoint, for example prefill; empty if the engine does not report it.
	Role string `json:"role,omitempty"`
	// Loading lists the versions that are being loaded; nil if the engine does not report them.
	Loading []string `json:"loading,omitempty"`
}

// CacheEvent reports that an endpoint cached or evicted a prompt prefix. A gap in the sequence numbers means that
// events were lost.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Prefix uint64 `json:"prefix"` // hash of the prefix
	Tokens int64  `json:"tokens"` // length of the prefix
	Evict  bool   `json:"evict"`  // evicted rather than cached
}

// Order is a command to an endpoint.
type Order struct {
	Action string `json:"action"`          // load, unload, adapter or role
	Target string `json:"target"`          // version, adapter or role
	Fence  uint64 `json:"fence"`           // fencing token; the endpoint refuses one older than the newest it has seen
	Token  string `json:"token,omitempty"` // for endpoints that authenticate the sender
}

// PlainRequest is a call to a plain service, which is one without models.
type PlainRequest struct {
	ID         string
	Method     string
	Path       string // with the query
	Header     http.Header
	Body       []byte
	Repeatable bool // the call may run more than once
}

// PlainResponse is the response of a plain service. The caller must close Body.
type PlainResponse struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Unframed says that the body has neither a length nor chunks and ends with its connection, as in RoutedResponse.
	Unframed bool
}

// DownChecker is a Client that can tell whether an endpoint's process has ended.
type DownChecker interface {
	// IsDown reports whether the host of an address refuses connections.
	IsDown(ctx context.Context, addr string) bool
}

// Client calls endpoints by address. It is safe for concurrent use.
type Client interface {
	// Stream starts an answer.
	Stream(ctx context.Context, addr string, r Request) (Stream, error)
	// Resume continues a stream after the event with the given sequence number.
	Resume(ctx context.Context, addr, id string, after int64) (Stream, error)
	// Cancel ends the stream with the given request ID.
	Cancel(ctx context.Context, addr, id string) error
	// Load returns the endpoint's load report, which has passed Validate.
	Load(ctx context.Context, addr string) (Load, error)
	// CacheEvents returns the events after the given sequence number; each has passed Validate.
	CacheEvents(ctx context.Context, addr string, after uint64) ([]CacheEvent, error)
	// ExportCache reads the KV cache of a session. It returns ErrUnknownStream if the endpoint holds none.
	ExportCache(ctx context.Context, addr, session string) (*CacheExport, error)
	// ImportCache sends the KV cache of a session to an endpoint: size bytes or, if size is -1, data up to its end. If
	// data fails or ends early, the endpoint keeps nothing. It returns the boot ID of the endpoint that holds the cache.
	ImportCache(ctx context.Context, addr, session string, data io.Reader, size int64) (boot string, err error)
	// Order sends a command. It returns ErrStaleFence if the endpoint has seen a newer fencing token.
	Order(ctx context.Context, addr string, o Order) error
	// Call sends a plain request. A non-repeatable one is sent at most once.
	Call(ctx context.Context, addr string, r PlainRequest) (*PlainResponse, error)
}

// LoadTimeout is the time limit of one request for a load report.
const LoadTimeout = 2 * time.Second

const (
	// maxNameBytes limits each name in a load report, since the names stay in memory for every endpoint.
	maxNameBytes = 256
	// maxVersions limits the number of versions in a load report.
	maxVersions = 256
	// maxCount limits the counts in load reports and cache events, so that sums of them can't overflow.
	maxCount = 1 << 40
)

// Validate returns an error that wraps ErrBroken if a count is negative or above 1<<40, or if the boot ID, a version or
// the list of versions is too long.
func (l *Load) Validate() error {
	for _, n := range []int64{int64(l.Running), int64(l.Queued), l.TokensHeld, l.TokensMax, l.Completed} {
		if n < 0 || n > maxCount {
			return fmt.Errorf("%w: load report: count %d outside 0 to %d", ErrBroken, n, int64(maxCount))
		}
	}
	if len(l.Boot) > maxNameBytes || len(l.Versions) > maxVersions {
		return fmt.Errorf("%w: load report: boot ID of %d bytes (limit %d), %d versions (limit %d)", ErrBroken, len(l.Boot), maxNameBytes, len(l.Versions), maxVersions)
	}
	for _, v := range l.Versions {
		if len(v) > maxNameBytes {
			return fmt.Errorf("%w: load report: version name of %d bytes (limit %d)", ErrBroken, len(v), maxNameBytes)
		}
	}
	return nil
}

// Validate returns an error that wraps ErrBroken if the number of tokens is negative or above 1<<40.
func (e *CacheEvent) Validate() error {
	if e.Tokens < 0 || e.Tokens > maxCount {
		return fmt.Errorf("%w: cache event: %d tokens outside 0 to %d", ErrBroken, e.Tokens, int64(maxCount))
	}
	return nil
}
