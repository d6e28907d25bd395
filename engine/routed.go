package engine

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// ErrMisdirected means that the address now belongs to another endpoint than RoutedRequest.Endpoint. The request did
// not run.
var ErrMisdirected = errors.New("engine: address belongs to another endpoint")

// ErrInvalidResponse means that the response belongs to another request or is not one that the endpoint itself
// produces. The request may have run.
var ErrInvalidResponse = errors.New("engine: invalid response or response to another request")

// PromptPart is a section of a prompt, which other prompts may share. The parts of a prompt are listed in its order.
type PromptPart struct {
	ID     uint64 // identifies the content
	Tokens int64
}

// RoutedRequest is a request with an opaque body. Everything that the router knows about it comes as metadata.
type RoutedRequest struct {
	ID     string
	Method string
	Host   string
	Target string // path and query, byte for byte
	Header http.Header
	Body   []byte
	Team   string

	// Endpoint is the ID of the addressed endpoint; another endpoint at this address refuses the request.
	Endpoint string
	// Model is the model that answers; empty for services without models.
	Model string
	// Timeout is the time that the endpoint has for the request.
	Timeout time.Duration
	// Rank is the priority among the requests at the endpoint, from 0 (the most urgent) to 9.
	Rank int
	// LastEvent is the number of the last event that the caller has received; 0 asks for the answer from its beginning.
	LastEvent int64
	// AtMostOnce requires a new connection: if a connection that was used before turns out to be closed, the client can't
	// tell whether the request ran.
	AtMostOnce bool
}

// RoutedResponse is an endpoint's response. The caller must close Body.
type RoutedResponse struct {
	Status int
	Header http.Header // without hop-by-hop headers
	Body   io.ReadCloser
	// Length is the length of the body in bytes, -1 if it is not known.
	Length int64
	// Unframed says that the body has neither a length nor chunks and ends with its connection, so that its end does not tell a whole
	// body from one that was cut.
	Unframed bool
	// Confidence is the model's own estimate, from 0 to 1, that its answer is good. It is valid only if HasConfidence is
	// set.
	Confidence    float64
	HasConfidence bool
	Load          *SlotLoad     // nil if the endpoint does not report it
	ColdFor       time.Duration // time for which the endpoint stays cold, 0 if it is warm or does not report it
	Leaving       bool          // the endpoint leaves and wants no more requests
	BusyFor       time.Duration // time for which an endpoint that refused the request wants no more, 0 for none
}

// SlotLoad is the load that an endpoint reports with a response: running requests, waiting requests and its total
// slots. A figure that is not known is 0.
type SlotLoad struct {
	Running, Waiting, Slots int
	RunningUnknown          bool
	// Slowness is how long work currently takes on the endpoint's machine as a multiple of the usual time; 0 if it is not
	// reported.
	Slowness float64
}

// Router sends routed requests. It is safe for concurrent use.
type Router interface {
	// Route sends a request to the endpoint at addr. It returns ErrUnreachable, ErrBusy or ErrMisdirected only if the
	// request did not run; a response returned with one of them carries the load that the endpoint reported, if any. After
	// any other error, the request may have run.
	Route(ctx context.Context, addr string, r *RoutedRequest) (*RoutedResponse, error)
}
