package weight

import (
	"context"
	"errors"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// errDown is returned by a Fake that is down.
var errDown = errors.New("weight store: unavailable")

// Fake is an in-process Store with a rate limit and fault injection.
type Fake struct {
	limiter *rate.Limiter
	bytes   int64
	down    atomic.Bool
}

// NewFake returns a store that permits the given loads a second, each of the given size.
func NewFake(loadsPerSecond float64, burst int, bytes int64) *Fake {
	return &Fake{limiter: rate.NewLimiter(rate.Limit(loadsPerSecond), burst), bytes: bytes}
}

// SetDown makes every call fail until it is called with false.
func (f *Fake) SetDown(down bool) { f.down.Store(down) }

// Reserve implements Store.
func (f *Fake) Reserve(_ context.Context, version string) (Ticket, error) {
	if f.down.Load() {
		return Ticket{}, errDown
	}
	if !f.limiter.Allow() {
		return Ticket{}, ErrRateLimited
	}
	return Ticket{Version: version, Bytes: f.bytes}, nil
}
