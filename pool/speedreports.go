package pool

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
)

const (
	// slownessTTL is the time for which a service counts as one whose endpoints report their speed after the latest report.
	// It bridges pauses between requests; with traffic, reports come with each answer.
	slownessTTL = time.Minute
	// maxRequestsPerSlot bounds what a report of one endpoint can do to the expected load of its failure domain. Work that
	// waits behind so many requests is late anyway.
	maxRequestsPerSlot = 2
	// holdAlpha is the weight of the latest request in the mean time for which a request takes a slot.
	holdAlpha = 0.05
)

// speedReports holds what the reports of a service's endpoints say about all of them. It outlives the table.
type speedReports struct {
	latest atomic.Int64  // Unix time in nanoseconds of the latest report of a slowness; 0 for none
	hold   atomic.Uint64 // bits of the mean time for which a request takes a slot, in milliseconds
	popularity
}

func (s *speedReports) holdMs() float64 { return math.Float64frombits(s.hold.Load()) }

// recordLoad records a load report that came with an answer. The caller holds the lock of the endpoint.
func (r *Reservation) recordLoad(load *engine.SlotLoad, now time.Time) {
	e := r.endpoint
	if !load.RunningUnknown {
		e.recordRequests(load.Running+load.Waiting, now)
		e.routed.unshared = load.Slowness > 0
	}
	if load.Slowness > 0 {
		e.recordSlowness(load.Slowness, now)
		if rules := r.pool.table.Load().rules[r.service]; rules != nil {
			rules.reports.latest.Store(now.UnixNano())
		}
	}
}

// recordRequests records the number of requests that the endpoint had at a time. The caller holds the lock.
func (e *endpoint) recordRequests(n int, at time.Time) {
	e.routed.peerRequests = max(0, n-int(e.inFlight))
	e.routed.peerMean = e.routed.peerMean.Report(float64(e.plausibleRequests()), at.Sub(e.routed.peerRequestsAt))
	e.routed.peerRequestsAt = at
}

// plausibleRequests returns the reported requests of other daemons, up to maxRequestsPerSlot for each slot. The caller holds
// the lock.
func (e *endpoint) plausibleRequests() int {
	if e.host.Slots <= 0 {
		return e.routed.peerRequests
	}
	return min(e.routed.peerRequests, maxRequestsPerSlot*e.host.Slots)
}

// recordSlowness records the slowness that the endpoint had at a time. The caller holds the lock.
func (e *endpoint) recordSlowness(slowness float64, at time.Time) {
	e.routed.slowness = e.routed.slowness.Report(slowness, at.Sub(e.routed.slownessAt))
	e.routed.slownessAt = at
}

// recordHold records that a request was served completely.
func (r *Reservation) recordHold(now time.Time) {
	rules := r.pool.table.Load().rules[r.service]
	if rules == nil || !rules.reportsSpeed(now) {
		return
	}
	mean, ms := rules.reports.holdMs(), float64(now.Sub(r.reservedAt))/float64(time.Millisecond)
	if mean > 0 {
		ms = mean + holdAlpha*(ms-mean)
	}
	rules.reports.hold.Store(math.Float64bits(ms)) // a concurrent update may be lost
}

// ReportsSpeed reports whether endpoints of the service report their current speed.
func (p *Pool) ReportsSpeed(service string, now time.Time) bool {
	rules := p.table.Load().rules[service]
	return rules != nil && rules.reportsSpeed(now)
}

func (r *serviceRules) reportsSpeed(now time.Time) bool {
	at := r.reports.latest.Load()
	return at != 0 && now.UnixNano()-at < int64(slownessTTL)
}
