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

// confirmTimeout bounds the load report that is read from an endpoint after a failed cache move to it.
const confirmTimeout = 250 * time.Millisecond

// reserve reserves capacity and, before the first call of a request, moves the session's KV cache to the endpoint if
// that is faster than a prefill. If the endpoint may no longer be used after the move, it reserves capacity at another
// one, without another move.
func (a *Answer) reserve(servedBy *choose.Candidate) (reservation, error) {
	for {
		r, err := a.filter.reserve(a.ctx, &a.in, servedBy, a.exclude)
		if err != nil || !a.moveCache(&r) || a.stillUsable(&r) {
			return r, err
		}
		r.Release(pool.Cancelled, a.filter.spec.Now())
	}
}

// moveCache moves the session's KV cache to the reserved endpoint if that is faster than a prefill. It reports whether
// a move began, so that the state on which the reservation was made may be outdated.
func (a *Answer) moveCache(r *reservation) bool {
	mover := a.filter.spec.CacheMover
	if mover == nil || a.cacheMove != nil || a.callCount > 0 {
		return false
	}
	a.cacheMove = mover.Move(a.ctx, a.in.Cache, cachemove.Target{
		ID: r.ID, Addr: r.Addr, Domain: r.Domain, Service: r.candidate.Service, Version: r.candidate.Version.Name,
		Boot: r.Boot(), PromptTokens: a.in.Tokens, RequestsWaiting: a.filter.Waiting() > 0,
	})
	return a.cacheMove.Started()
}

// stillUsable reports whether the request may be sent to the reserved endpoint after a move: the newest configuration
// and host list allow it, and the endpoint has not restarted. The reservation relies on what was known before the move.
func (a *Answer) stillUsable(r *reservation) bool {
	if a.ctx.Err() != nil {
		return true // the call fails at once
	}
	if !a.stillAllowed(r) || !a.filter.spec.CacheMover.IsLive(r.ID) {
		return false
	}
	if a.cacheMove.Outcome == cachemove.Moved { // the endpoint has just answered
		return true
	}
	if a.cacheMove.Outcome == cachemove.TargetRestarted || !a.confirmBoot(r) {
		a.exclude = append(a.exclude, r.ID)
		return false
	}
	return true
}

// stillAllowed reports whether the newest configuration allows the version and the failure domain of a reservation.
func (a *Answer) stillAllowed(r *reservation) bool {
	candidates, err := a.in.refreshCandidates(nil)
	if err != nil || !a.in.View.DomainInService(r.Domain) {
		return false
	}
	for _, c := range candidates {
		if c.Version.Name == r.candidate.Version.Name && c.Service == r.candidate.Service {
			return true
		}
	}
	return false
}

// confirmBoot reports whether the endpoint has not restarted since the reservation. It returns true if there is no load
// report: the call and its timeouts then find out.
func (a *Answer) confirmBoot(r *reservation) bool {
	ctx, cancel := context.WithTimeout(a.ctx, confirmTimeout)
	defer cancel()
	boot, asked := r.Boot(), a.filter.spec.Now()
	load, err := a.filter.spec.Client.Load(ctx, r.Addr)
	if err != nil {
		return true
	}
	a.filter.spec.Pool.RecordLoad(r.ID, load, asked)
	return boot == "" || load.Boot == boot
}

// cacheReport returns the report of the cache move if the next attempt is the first one, and nil otherwise.
func (a *Answer) cacheReport() *cachemove.Report {
	if len(a.attempts) > 0 {
		return nil
	}
	return a.cacheMove
}

// cacheName returns the name under which the endpoint keeps the session's KV cache, or "" if caches are not moved.
func (a *Answer) cacheName(r reservation) string {
	if a.filter.spec.CacheMover == nil {
		return ""
	}
	return a.in.Cache.CacheName(r.candidate.Version.Name)
}

// observePrefill passes the time to the first token of a request that was sent once to the estimates of the prefill
// time. It must be called before the token is counted in a.seq.
func (a *Answer) observePrefill() {
	if a.cacheMove != nil && a.callCount == 1 && a.seq == 0 {
		a.filter.spec.CacheMover.ObserveFirstToken(a.cacheMove, a.reservation.candidate.Service, a.served.Name, a.in.Tokens, a.timeToFirstToken)
	}
}

// reportCacheSourceFailure records that the endpoint failed, so that no cache is exported from it for a while. Errors
// that say nothing about the endpoint's health are ignored.
func (c *call) reportCacheSourceFailure(err error) {
	for _, harmless := range []error{errCancelled, engine.ErrRejected, engine.ErrBusy, engine.ErrFailed} {
		if errors.Is(err, harmless) {
			return
		}
	}
	c.filter.spec.CacheMover.EndpointFailed(c.reservation.ID)
}

// CacheLocation returns the endpoint that holds the session's KV cache after the answer so far, and the cache's tokens.
// It returns nil if caches are not moved.
func (a *Answer) CacheLocation() *session.CacheLocation {
	if a.filter.spec.CacheMover == nil {
		return nil
	}
	return &session.CacheLocation{Endpoint: cachemove.HashEndpoint(a.reservation.ID), Tokens: a.in.Tokens + a.seq}
}
