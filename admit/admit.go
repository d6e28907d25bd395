// Package admit is the first stage: it bounds the requests in flight in the process and implements graceful shutdown.
package admit

import (
	"context"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/result"
)

// retryAfter is the time after which a caller may retry on another host.
const retryAfter = time.Second

// Spec configures a Filter.
type Spec struct {
	MaxInFlight int // requests
}

// Filter admits requests.
type Filter struct {
	spec Spec

	mu       sync.Mutex
	inFlight int
	draining bool
	idle     chan struct{} // closed when draining and nothing is in flight
}

// New returns a filter.
func New(spec Spec) *Filter { return &Filter{spec: spec, idle: make(chan struct{})} }

// Permit is held while a request is in flight.
type Permit struct {
	once   sync.Once
	filter *Filter
}

// Do admits one request or fails with result.Draining or result.Overloaded.
func (f *Filter) Do() (*Permit, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return nil, result.Newf(result.Draining, "").WithRetry(retryAfter)
	}
	if f.inFlight >= f.spec.MaxInFlight {
		return nil, result.Newf(result.Overloaded, "").WithRetry(retryAfter)
	}
	f.inFlight++
	return &Permit{filter: f}, nil
}

// Release ends the request. It may be called more than once.
func (p *Permit) Release() {
	p.once.Do(func() {
		f := p.filter
		f.mu.Lock()
		defer f.mu.Unlock()
		f.inFlight--
		f.closeIfIdle()
	})
}

func (f *Filter) closeIfIdle() {
	if !f.draining || f.inFlight > 0 {
		return
	}
	select {
	case <-f.idle:
	default:
		close(f.idle)
	}
}

// Drain admits nothing from now on.
func (f *Filter) Drain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining = true
	f.closeIfIdle()
}

// Draining reports whether Drain was called.
func (f *Filter) Draining() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.draining
}

// Wait returns when the filter is draining and no request is in flight, or when ctx ends.
func (f *Filter) Wait(ctx context.Context) error {
	select {
	case <-f.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// InFlight returns the number of admitted requests.
func (f *Filter) InFlight() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inFlight
}
