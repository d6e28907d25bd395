package weight

import (
	"context"
	"errors"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// errDown is the error of a Fake that is set down.
var errDown = errors.New("weight store: unavailable")

// Fake is an in-process Store with a rate limit and fault injection.
type Fake struct {
	limiter      *rate.Limiter
	bytesPerLoad int64
	down         atomic.Bool
}

// NewFake returns a store that permits the given rate and burst of loads. Each load has the given size.
func NewFake(loadsPerSecond float64, burst int, bytesPerLoad int64) *Fake {
	return &Fake{limiter: rate.NewLimiter(rate.Limit(loadsPerSecond), burst), bytesPerLoad: bytesPerLoad}
}

// SetDown makes every call of Reserve fail until SetDown is called with false.
func (f *Fake) SetDown(down bool) { f.down.Store(down) }

// Reserve implements Store.
func (f *Fake) Reserve(_ context.Context, version string) (Ticket, error) {
	if f.down.Load() {
		return Ticket{}, errDown
	}
	if !f.limiter.Allow() {
		return Ticket{}, ErrRateLimited
	}
	return Ticket{Version: version, Bytes: f.bytesPerLoad}, nil
}
