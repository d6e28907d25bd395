// Package admit implements the first stage of the request pipeline: it bounds the requests in flight in the process and
// their bodies, and implements graceful shutdown.
package admit

import (
	"context"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/result"
)

// retryAfter is the time after which a rejected caller may retry on another host.
const retryAfter = time.Second

// Spec configures a Filter.
type Spec struct {
	MaxInFlight int // limit of requests in flight
	// MaxBytes bounds the total size of the bodies of all requests in flight; 0 for no limit. Bodies are kept until the end
	// of the answer, so that it can be continued at another endpoint. One team may use half of the limit.
	MaxBytes int64
}

// Filter admits requests within the limits of its Spec. It is safe for concurrent use.
type Filter struct {
	spec Spec

	mu       sync.Mutex
	inFlight int
	bytes    int64
	byTeam   map[string]int64 // bytes of each team
	draining bool
	idle     chan struct{} // closed when draining and nothing is in flight
}

// New returns a filter that is not draining.
func New(spec Spec) *Filter {
	return &Filter{spec: spec, idle: make(chan struct{}), byTeam: map[string]int64{}}
}

// Permit represents one request in flight, from Do until Release.
type Permit struct {
	once   sync.Once
	filter *Filter
	team   string
	bytes  int64
}

// Do admits one request, or fails with result.Draining or result.Overloaded. The caller must release the permit.
func (f *Filter) Do() (*Permit, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return nil, result.Newf(result.Draining, "").WithRetryAfter(retryAfter)
	}
	if f.inFlight >= f.spec.MaxInFlight {
		return nil, result.Newf(result.Overloaded, "").WithRetryAfter(retryAfter)
	}
	f.inFlight++
	return &Permit{filter: f}, nil
}

// Charge counts the size of the request's body towards the limits of its team and of the process until Release. It must be
// called at most once. It fails with result.Overloaded if the body would exceed a limit; then it counts nothing.
func (p *Permit) Charge(team string, bytes int64) error {
	f := p.filter
	f.mu.Lock()
	defer f.mu.Unlock()
	if limit := f.spec.MaxBytes; limit > 0 && (f.bytes+bytes > limit || f.byTeam[team]+bytes > limit/2) {
		return result.Newf(result.Overloaded, "The bodies of the requests in flight exceed the limit.").WithRetryAfter(retryAfter)
	}
	p.team, p.bytes = team, bytes
	f.bytes += bytes
	f.byTeam[team] += bytes
	return nil
}

// Release ends the request and frees what it counted towards the limits. Further calls do nothing.
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

// closeIfIdle closes f.idle if the filter is draining and no request is in flight. The caller holds f.mu.
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

// Drain rejects all further requests. Those in flight continue.
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

// Wait blocks until the filter is draining and no request is in flight. It returns the context's error if ctx ends first.
func (f *Filter) Wait(ctx context.Context) error {
	select {
	case <-f.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// InFlight returns the number of admitted requests that were not released yet.
func (f *Filter) InFlight() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inFlight
}
