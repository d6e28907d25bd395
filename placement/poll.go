package placement

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
)

const (
	// callTimeout bounds a call for a load report, an order or a ticket. A tick makes at most three such calls in a row,
	// which fits into its 3 s.
	callTimeout = 900 * time.Millisecond
	// lostAfter is the time for which reports of an endpoint must fail before its versions no longer count as placed. It
	// is longer than the restart of an engine process, so that a restarting endpoint keeps its place in the plan.
	lostAfter = 30 * time.Second
	// reportTTL is the age at which a report is no longer used. Polling 168 endpoints once takes 21 s.
	reportTTL = 2 * time.Minute
)

// endpointState is the newest load report of an endpoint, and when it was polled.
type endpointState struct {
	target       Target
	service      string
	load         engine.Load
	reportAt     time.Time // when the poll of the newest report began; zero if there is none
	lastPoll     time.Time // zero if it was never polled
	failingSince time.Time // first of the failed polls since that report; zero if there is none
}

// fresh reports whether the newest report can be relied on: the last poll succeeded, not too long ago.
func (e *endpointState) fresh(now time.Time) bool {
	return !e.reportAt.IsZero() && e.failingSince.IsZero() && now.Sub(e.reportAt) < reportTTL
}

// lost reports whether the endpoint's versions no longer count as placed.
func (e *endpointState) lost(now time.Time) bool {
	return e.reportAt.IsZero() || now.Sub(e.reportAt) >= reportTTL || !e.failingSince.IsZero() && now.Sub(e.failingSince) >= lostAfter
}

// poll reads the load reports that are due, all at the same time, after it has applied the host list.
func (x *Executor) poll(ctx context.Context, fleets []Fleet) {
	x.updateEndpoints(fleets)
	now := x.spec.Now()
	var wg sync.WaitGroup
	type reply struct {
		load engine.Load
		err  error
	}
	due := x.duePolls()
	replies := make([]reply, len(due))
	for i, e := range due {
		e.lastPoll = now
		wg.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			replies[i].load, replies[i].err = x.spec.Engines.Load(callCtx, e.target.Addr)
		})
	}
	wg.Wait()
	for i, e := range due {
		x.recordReport(e, replies[i].load, now, replies[i].err)
	}
}

// recordReport applies the result of a poll that began at requestedAt. A failed poll keeps the newest report.
func (x *Executor) recordReport(e *endpointState, l engine.Load, requestedAt time.Time, err error) {
	switch {
	case err == nil:
		e.load, e.reportAt, e.failingSince = l, requestedAt, time.Time{}
	case e.failingSince.IsZero():
		e.failingSince = requestedAt
	}
}

// updateEndpoints adds and removes endpoints to match the host list. An endpoint with a new address is a new process, of
// which nothing is known yet.
func (x *Executor) updateEndpoints(fleets []Fleet) {
	listed := make(map[string]*endpointState, len(x.endpoints))
	for _, f := range fleets {
		for _, t := range f.Endpoints {
			e := x.endpoints[t.ID]
			if e == nil || e.target != t {
				e = &endpointState{target: t, service: f.Service}
			}
			listed[t.ID] = e
		}
	}
	x.endpoints = listed
}

// duePolls returns the endpoints to poll in this tick. Up to half of them have an order in progress; the others are those
// whose last poll is the longest ago.
func (x *Executor) duePolls() []*endpointState {
	active := map[string]bool{}
	for _, op := range x.operations {
		if op.active() {
			active[op.Endpoint] = true
		}
	}
	var withOperation, others []*endpointState
	for id, e := range x.endpoints {
		if active[id] {
			withOperation = append(withOperation, e)
		} else {
			others = append(others, e)
		}
	}
	byLastPoll := func(a, b *endpointState) int {
		return cmp.Or(a.lastPoll.Compare(b.lastPoll), cmp.Compare(a.target.ID, b.target.ID))
	}
	slices.SortFunc(withOperation, byLastPoll)
	half := min(len(withOperation), (x.spec.PollsPerTick+1)/2)
	others = append(others, withOperation[half:]...)
	slices.SortFunc(others, byLastPoll)
	return append(withOperation[:half:half], others[:min(len(others), x.spec.PollsPerTick-half)]...)
}

// pollComplete reports whether all endpoints of a fleet have been polled in this term. Once they have, it stays true:
// an endpoint that is listed later does not count as placed before its first report.
func (x *Executor) pollComplete(f Fleet) bool {
	if x.allPolled[f.Service] {
		return true
	}
	for _, t := range f.Endpoints {
		if x.endpoints[t.ID].lastPoll.IsZero() {
			return false
		}
	}
	x.allPolled[f.Service] = true
	return true
}

// demands returns the demands of the whole deployment: those of the other domains, to which it adds the peak of this one.
// It also sets the running requests in the status of each version.
func (x *Executor) demands(f Fleet) []Demand {
	now := x.spec.Now()
	out := slices.Clone(f.Demands)
	for i := range out {
		d := &out[i]
		running := 0
		for _, t := range f.Endpoints {
			if e := x.endpoints[t.ID]; e.fresh(now) && slices.Contains(e.load.Versions, d.Version) {
				running += runningRequests(&e.load, d.Version)
			}
		}
		peak := x.peak(d.Version, running, now)
		x.versionStatus[d.Version] = Status{Running: peak}
		d.Running += peak
	}
	return out
}

// peak returns the recent peak of a version's running requests, which decays linearly to 0 within peakDecay.
func (x *Executor) peak(version string, running int, now time.Time) int {
	p := x.peaks[version]
	decayed := p.running * (1 - min(1, float64(now.Sub(p.at))/float64(peakDecay)))
	if float64(running) >= decayed {
		p = peak{float64(running), now}
		x.peaks[version] = p
		return running
	}
	return int(decayed)
}
