package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/bramleytrail/bramleytrail/cachemove"
	"github.com/bramleytrail/bramleytrail/choose"
	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/pool"
	"github.com/bramleytrail/bramleytrail/session"
)

// confirmLimit bounds the load report that is read from an endpoint after a move that failed.
const confirmLimit = 250 * time.Millisecond

// reserve reserves room and, before the first call of a request, moves the session's KV cache to the endpoint if that
// pays. If the endpoint may no longer be used after that, it reserves room elsewhere and moves nothing.
func (a *Answer) reserve(begun *choose.Candidate) (room, error) {
	for {
		r, err := a.filter.reserve(a.ctx, &a.in, begun, a.exclude)
		if err != nil || !a.moveCache(&r) || a.mayStay(&r) {
			return r, err
		}
		r.Release(pool.Cancelled, a.filter.spec.Now())
	}
}

// moveCache reports whether a move began, so that time has passed since the room was reserved.
func (a *Answer) moveCache(r *room) bool {
	moves := a.filter.spec.Moves
	if moves == nil || a.moved != nil || a.calls > 0 {
		return false
	}
	a.moved = moves.Move(a.ctx, a.in.Cache, cachemove.Target{
		ID: r.ID, Addr: r.Addr, Domain: r.Domain, Service: r.candidate.Service, Version: r.candidate.Version.Name,
		Boot: r.Boot(), Prompt: a.in.Tokens, Waiting: a.filter.Waiting() > 0,
	})
	return a.moved.Begun()
}

// mayStay reports whether an endpoint may still get the request after a move: the newest configuration and host list
// allow it, and it has not started anew. The reservation was made on signs of life from before the move.
func (a *Answer) mayStay(r *room) bool {
	if a.ctx.Err() != nil {
		return true // the call ends at once
	}
	if !a.allowed(r) || !a.filter.spec.Moves.Stays(r.ID) {
		return false
	}
	if a.moved.Outcome == cachemove.Moved { // it has just answered
		return true
	}
	if a.moved.Outcome == cachemove.TargetRestarted || !a.confirm(r) {
		a.exclude = append(a.exclude, r.ID)
		return false
	}
	return true
}

// allowed reports whether the newest configuration allows the version and the failure domain.
func (a *Answer) allowed(r *room) bool {
	list, err := a.in.newest(nil)
	if err != nil || !a.in.View.DomainIn(r.Domain) {
		return false
	}
	for _, c := range list {
		if c.Version.Name == r.candidate.Version.Name && c.Service == r.candidate.Service {
			return true
		}
	}
	return false
}

// confirm reports whether the endpoint still runs as it did when the room was reserved. One that gives no load report is
// left to the call and its timeouts.
func (a *Answer) confirm(r *room) bool {
	ctx, cancel := context.WithTimeout(a.ctx, confirmLimit)
	defer cancel()
	boot, asked := r.Boot(), a.filter.spec.Now()
	load, err := a.filter.spec.Client.Load(ctx, r.Addr)
	if err != nil {
		return true
	}
	a.filter.spec.Pool.Report(r.ID, load, asked)
	return boot == "" || load.Boot == boot
}

// cacheReport returns the report for the trace of the first attempt.
func (a *Answer) cacheReport() *cachemove.Report {
	if len(a.trace) > 0 {
		return nil
	}
	return a.moved
}

// cacheName returns the name under which an endpoint keeps the session's KV cache; empty if caches are not moved.
func (a *Answer) cacheName(r room) string {
	if a.filter.spec.Moves == nil {
		return ""
	}
	return a.in.Cache.Name(r.candidate.Version.Name)
}

// learnPrefill learns from the first token of a request that was sent once. It is called before the token counts.
func (a *Answer) learnPrefill() {
	if a.moved != nil && a.calls == 1 && a.seq == 0 {
		a.filter.spec.Moves.FirstToken(a.moved, a.room.candidate.Service, a.served.Name, a.in.Tokens, a.firstByte)
	}
}

// cacheLost notes that the endpoint failed, so that nothing is read from it for a while.
func (c *call) cacheLost(err error) {
	for _, harmless := range []error{errCancelled, engine.ErrRejected, engine.ErrBusy, engine.ErrFailed} {
		if errors.Is(err, harmless) {
			return
		}
	}
	c.filter.spec.Moves.EndpointFailed(c.room.ID)
}

// CachePlace returns where the session's KV cache is after this answer so far; nil if caches are not moved.
func (a *Answer) CachePlace() *session.Cache {
	if a.filter.spec.Moves == nil {
		return nil
	}
	return &session.Cache{Endpoint: cachemove.Hash(a.room.ID), Tokens: a.in.Tokens + a.seq}
}
