// Package weight defines the interface to the platform's rate-limited store of model weights.
package weight

import (
	"context"
	"errors"
	"time"
)

// ErrRateLimited says that the store's rate limit is reached.
var ErrRateLimited = errors.New("weight store: rate limit reached")

// Ticket permits one load of a version's weights.
type Ticket struct {
	Version string        `json:"version"`
	Bytes   int64         `json:"bytes"`
	Wait    time.Duration `json:"wait"` // time after which the load may start
}

// Store hands out tickets within its rate limit.
type Store interface {
	// Reserve asks for one load of a version. It returns ErrRateLimited when no load may be scheduled now.
	Reserve(ctx context.Context, version string) (Ticket, error)
}
