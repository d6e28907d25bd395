package engine

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// ErrMisdirected says that another endpoint has the address now. The request did not run.
var ErrMisdirected = errors.New("engine: another endpoint at this address")

// ErrForeign says that the response does not belong to the request, or is not one of the endpoint's. The request may
// have run.
var ErrForeign = errors.New("engine: response of another request")

// Part is a part of a prompt that several requests share, in the order of the prompt.
type Part struct {
	ID     uint64
	Tokens int64
}

// RoutedRequest is a request whose body is opaque. What the router knows of it comes as metadata.
type RoutedRequest struct {
	ID     string
	Method string
	Host   string
	Target string // path and query, byte for byte
	Header http.Header
	Body   []byte
	Team   string

	// Endpoint is the identity of the endpoint that is meant; another one at its address turns the request down.
	Endpoint string
	// Model is the model that answers; empty for services without models.
	Model string
	// Left is the time that the endpoint has for the request.
	Left time.Duration
	// Rank is the urgency among requests at the endpoint, 0 to 9; 0 is the most urgent.
	Rank int
	// After is the number of the last event that the caller has; 0 for an answer from its beginning.
	After int64
	// Once says that the request must not be sent on a connection that was used before: if such a connection turns out
	// to be closed, nobody can tell whether the request ran.
	Once bool
}

// RoutedResponse is an endpoint's answer.
type RoutedResponse struct {
	Status int
	Header http.Header // without those that concern one connection
	Body   io.ReadCloser
	// Length is the length of the body, -1 if it is not known.
	Length int64
	// Confidence is the model's own opinion of its answer, 0 to 1; HasConfidence says whether there is one.
	Confidence    float64
	HasConfidence bool
	Load          *SlotLoad // nil if the endpoint does not tell its load
	Cold          time.Duration
}

// SlotLoad is the load that an endpoint reports with an answer.
type SlotLoad struct{ Running, Waiting, Slots int }

// Router sends routed requests. It returns ErrUnreachable, ErrBusy and ErrMisdirected only if the request did not run;
// the load is then returned if the endpoint told it. All other errors leave that open.
type Router interface {
	Route(ctx context.Context, addr string, r *RoutedRequest) (*RoutedResponse, error)
}
