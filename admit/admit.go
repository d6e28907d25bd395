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
	// MaxBytes bounds the bodies of all requests in flight, which are kept until the end of the answer so that it can be
	// continued elsewhere; 0 for no limit. One team may use half of it.
	MaxBytes int64
}

// Filter admits requests.
type Filter struct {
	spec Spec

	mu       sync.Mutex
	inFlight int
	bytes    int64
	byTeam   map[string]int64 // bytes
	draining bool
	idle     chan struct{} // closed when draining and nothing is in flight
}

// New returns a filter.
func New(spec Spec) *Filter {
	return &Filter{spec: spec, idle: make(chan struct{}), byTeam: map[string]int64{}}
}

// Permit is held while a request is in flight.
type Permit struct {
	once   sync.Once
	filter *Filter
	team   string
	bytes  int64
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

// Charge counts the request's body for its team, once. It fails with result.Overloaded if the bodies in flight of the
// team or of the process would exceed their limit.
func (p *Permit) Charge(team string, bytes int64) error {
	f := p.filter
	f.mu.Lock()
	defer f.mu.Unlock()
	if limit := f.spec.MaxBytes; limit > 0 && (f.bytes+bytes > limit || f.byTeam[team]+bytes > limit/2) {
		return result.Newf(result.Overloaded, "The bodies of the requests in flight exceed the limit.").WithRetry(retryAfter)
	}
	p.team, p.bytes = team, bytes
	f.bytes += bytes
	f.byTeam[team] += bytes
	return nil
}

// Release ends the request. It may be called more than once.
func (p *Permit) Release() {
	p.once.Do(func() {
		f := p.filter
		f.mu.Lock()
		defer f.mu.Unlock()
		f.inFlight--
		f.bytes -= p.bytes
		if f.byTeam[p.team] -= p.bytes; f.byTeam[p.team] == 0 {
			delete(f.byTeam, p.team)
		}
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
