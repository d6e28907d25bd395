// Package weight defines the interface to the platform's rate-limited store of model weights.
package weight

import (
	"context"
	"errors"
	"time"
)

// ErrRateLimited is returned by Store.Reserve when the store's rate limit is reached.
var ErrRateLimited = errors.New("weight store: rate limit reached")

// Ticket permits one load of a version's weights from the store.
type Ticket struct {
	Version string        `json:"version"`
	Bytes   int64         `json:"bytes"` // size of the weights
	Wait    time.Duration `json:"wait"`  // time from now after which the load may start
}

// Store issues tickets within its rate limit.
type Store interface {
	// Reserve requests a ticket for one load of a version. It returns ErrRateLimited if no load may be scheduled now.
	Reserve(ctx context.Context, version string) (Ticket, error)
}
