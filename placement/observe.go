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
	// callTimeout bounds a load report or an order. A tick makes three such calls in a row at most, which stays within
	// the tick's 3 s.
	callTimeout = 900 * time.Millisecond
	// lostAfter is the time without a report after which an endpoint's versions no longer count as placed. It is longer
	// than a restart of an engine process, which keeps its place.
	lostAfter = 30 * time.Second
	// reportTTL is the age at which a report no longer counts. A round over 168 endpoints takes 21 s.
	reportTTL = 2 * time.Minute
)

// observed is what is known of one endpoint.
type observed struct {
	target  Target
	service string
	load    engine.Load
	at      time.Time // when the newest report was asked for; zero if there is none
	asked   time.Time
	failing time.Time // when reports began to fail; zero if the last one did not
}

func (e *observed) fresh(now time.Time) bool {
	return !e.at.IsZero() && e.failing.IsZero() && now.Sub(e.at) < reportTTL
}

// lost reports whether the endpoint's versions no longer count as placed.
func (e *observed) lost(now time.Time) bool {
	return e.at.IsZero() || now.Sub(e.at) >= reportTTL || !e.failing.IsZero() && now.Sub(e.failing) >= lostAfter
}

// poll reads the load reports that are due: half of them at most of endpoints with an order under way, then those that
// were asked the longest time ago.
func (x *Executor) poll(ctx context.Context, fleets []Fleet) {
	x.list(fleets)
	now := x.spec.Now()
	var wg sync.WaitGroup
	type reply struct {
		load engine.Load
		err  error
	}
	due := x.due()
	replies := make([]reply, len(due))
	for i, e := range due {
		e.asked = now
		wg.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			replies[i].load, replies[i].err = x.spec.Engines.Load(callCtx, e.target.Addr)
		})
	}
	wg.Wait()
	for i, e := range due {
		x.note(e, replies[i].load, now, replies[i].err)
	}
}

func (x *Executor) note(e *observed, l engine.Load, asked time.Time, err error) {
	switch {
	case err == nil:
		e.load, e.at, e.failing = l, asked, time.Time{}
	case e.failing.IsZero():
		e.failing = asked
	}
}

// list adds and removes endpoints by the host list.
func (x *Executor) list(fleets []Fleet) {
	next := make(map[string]*observed, len(x.seen))
	for _, f := range fleets {
		for _, t := range f.Endpoints {
			e := x.seen[t.ID]
			if e == nil || e.target != t {
				e = &observed{target: t, service: f.Service}
			}
			next[t.ID] = e
		}
	}
	x.seen = next
}

func (x *Executor) due() []*observed {
	active := map[string]bool{}
	for _, s := range x.steps {
		if s.active() {
			active[s.Endpoint] = true
		}
	}
	var first, rest []*observed
	for id, e := range x.seen {
		if active[id] {
			first = append(first, e)
		} else {
			rest = append(rest, e)
		}
	}
	oldest := func(a, b *observed) int {
		return cmp.Or(a.asked.Compare(b.asked), cmp.Compare(a.target.ID, b.target.ID))
	}
	slices.SortFunc(first, oldest)
	half := min(len(first), (x.spec.PollsPerTick+1)/2)
	rest = append(rest, first[half:]...)
	slices.SortFunc(rest, oldest)
	return append(first[:half:half], rest[:min(len(rest), x.spec.PollsPerTick-half)]...)
}

// complete reports whether the endpoints of a fleet were all asked in this term. Endpoints that are listed later don't
// count as placed until they have been asked.
func (x *Executor) complete(f Fleet) bool {
	if x.planned[f.Service] {
		return true
	}
	for _, t := range f.Endpoints {
		if x.seen[t.ID].asked.IsZero() {
			return false
		}
	}
	x.planned[f.Service] = true
	return true
}

// demands returns the demands with the requests of this domain added.
func (x *Executor) demands(f Fleet) []Demand {
	now := x.spec.Now()
	out := slices.Clone(f.Demands)
	for i := range out {
		d := &out[i]
		sum := 0
		for _, t := range f.Endpoints {
			if e := x.seen[t.ID]; e.fresh(now) && slices.Contains(e.load.Versions, d.Version) {
				sum += running(&e.load, d.Version)
			}
		}
		own := x.peak(d.Version, sum, now)
		x.status[d.Version] = Status{Running: own}
		d.Running += own
	}
	return out
}

// peak returns the highest number of running requests of the last minutes, which decays linearly.
func (x *Executor) peak(version string, running int, now time.Time) int {
	p := x.peaks[version]
	left := p.running * (1 - min(1, float64(now.Sub(p.at))/float64(peakDecay)))
	if float64(running) >= left {
		p = peak{float64(running), now}
		x.peaks[version] = p
		return running
	}
	return int(left)
}
