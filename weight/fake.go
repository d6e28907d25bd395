package weight

import (
	"context"

	"golang.org/x/time/rate"
)

// Fake is an in-process Store with a rate limit.
type Fake struct {
	limiter *rate.Limiter
	bytes   int64
}

// NewFake returns a store that permits the given loads a second, each of the given size.
func NewFake(loadsPerSecond float64, burst int, bytes int64) *Fake {
	return &Fake{limiter: rate.NewLimiter(rate.Limit(loadsPerSecond), burst), bytes: bytes}
}

// Reserve implements Store.
func (f *Fake) Reserve(_ context.Context, version string) (Ticket, error) {
	if !f.limiter.Allow() {
		return Ticket{}, ErrRateLimited
	}
	return Ticket{Version: version, Bytes: f.bytes}, nil
}
