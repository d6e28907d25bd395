package dispatch

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/admission"
	"github.com/bramleytrail/bramleytrail/pool"
	"github.com/bramleytrail/bramleytrail/result"
)

// serviceAdmission holds the admission controller of a service.
type serviceAdmission struct {
	mu         sync.Mutex
	controller *admission.Controller
}

// exchangeAdmission is the state of an exchange's admission. It stays zero for services whose endpoints do not report their speed.
type exchangeAdmission struct {
	counted, served bool          // as a request that arrived, and as one that was sent
	draw            float64       // the same for all attempts, so that repeats are not refused more often
	decided         bool          // the next attempt was admitted already
	begun           bool          // the caller has a part of the answer
	maxWait         time.Duration // for capacity; 0 for no limit
	refusal         string        // why the last refused attempt was refused
}

// NotAdmitted returns why package admission refused an attempt; empty if it refused none.
func (x *Exchange) NotAdmitted() string { return x.admission.refusal }

// MarkBegun records that the caller has a part of the answer: further attempts are not refused by admission.
func (x *Exchange) MarkBegun() { x.admission.begun = true }

func (f *Filter) serviceAdmission(service string) *serviceAdmission {
	if a, ok := f.admissions.Load(service); ok {
		return a.(*serviceAdmission)
	}
	a, _ := f.admissions.LoadOrStore(service, &serviceAdmission{controller: admission.New()})
	return a.(*serviceAdmission)
}

// checkAdmission returns an error if the next attempt is refused. repeat says that an endpoint may have run the request; the error is
// then its final result and makes no promise.
func (x *Exchange) checkAdmission(repeat bool) error {
	now := x.filter.spec.Now()
	if x.admission.decided {
		x.admission.decided = false
		return nil
	}
	if !x.filter.spec.Pool.ReportsSpeed(x.in.Service, now) {
		return nil
	}
	r, load := x.admissionRequest(now), x.serviceLoad(now)
	r.Repeat = repeat
	a := x.filter.serviceAdmission(x.in.Service)
	a.mu.Lock()
	if !x.admission.counted {
		a.controller.Arrive(&r, now)
		x.admission.counted, x.admission.draw = true, float64(x.filter.spec.Rand()>>11)/(1<<53)
	}
	r.Draw = x.admission.draw
	d := a.controller.Decide(&r, load, now)
	a.mu.Unlock()
	x.admission.maxWait = 0
	if d.Action != admission.Refuse {
		x.admission.maxWait = d.MaxWait
		return nil
	}
	if d.Reason != admission.Deadline {
		x.countRefusal()
	}
	if x.filter.spec.OnNotAdmitted != nil {
		x.filter.spec.OnNotAdmitted(x.in.Service, d.Reason.String())
	}
	detail := fmt.Sprintf("Not admitted (%v): the answer would begin in %d ms and end %d ms later, %d ms remain; %d of %d slots are in use, %d requests wait.",
		d.Reason, r.Delay.Milliseconds(), r.Duration.Milliseconds(), r.Remaining.Milliseconds(), load.InUse, load.Slots, load.Queued+load.Waiting)
	x.admission.refusal = detail
	return &result.Error{Code: x.failureCode(), Ran: x.ran, RetryAfter: d.RetryAfter, Detail: detail}
}

// admissionRequest describes the next attempt to package admission.
func (x *Exchange) admissionRequest(now time.Time) admission.Request {
	r := admission.Request{
		Team: x.in.Team, Weight: 1, Rank: x.in.Rank, Target: x.in.Route.TargetLatency,
		// A cascade dropped a smaller model's answer because the larger model was sure to be asked.
		Begun: x.admission.begun || x.in.Request.LastEvent > 0 || x.prepaid.Load(),
	}
	if t := x.in.View.Teams[x.in.Team]; t != nil {
		r.Weight = float64(max(1, t.Share))
	}
	if deadline, ok := x.ctx.Deadline(); ok {
		r.Remaining = max(time.Nanosecond, deadline.Sub(now))
	}
	if !x.in.Arrived.IsZero() {
		r.Held = now.Sub(x.in.Arrived)
	}
	if x.in.Duration != nil {
		r.Duration = x.in.Duration(x.in.Request.Model)
	}
	routed := x.in.Query
	routed.Model, routed.Release, routed.NotRelease = x.in.Request.Model, "", ""
	best, _, ok := x.filter.spec.Pool.Pick(pool.Query{Service: x.in.Service, Prompt: x.in.Prompt, Exclude: x.exclude, Routed: &routed, DryRun: true}, now)
	if ok {
		r.Delay = best.ShortestDelay
	}
	return r
}

func (x *Exchange) serviceLoad(now time.Time) admission.Load {
	l := x.filter.spec.Pool.ServiceLoad(x.in.Service, now)
	return admission.Load{Slots: l.Slots, InUse: l.InUse, Queued: l.Queued, Waiting: x.filter.queue.WaitingFor(x.in.Service)}
}

// TeamSums returns the recent requests by team for each service that package admission decides about and that is at least half
// used, to be sent to the other daemons of the failure domain. It has at most admission.MaxShared teams in all.
func (f *Filter) TeamSums(now time.Time) []admission.TeamSums {
	var services []string
	f.admissions.Range(func(service, _ any) bool {
		name := service.(string)
		if l := f.spec.Pool.ServiceLoad(name, now); l.Queued > 0 || 2*l.InUse >= max(1, l.Slots) {
			services = append(services, name)
		}
		return true
	})
	slices.Sort(services) // the limits do not change from message to message
	var list []admission.TeamSums
	for _, service := range services[:min(len(services), admission.MaxShared)] {
		a := f.serviceAdmission(service)
		a.mu.Lock()
		sums := a.controller.Sums(service, max(1, admission.MaxShared/len(services)), now)
		a.mu.Unlock()
		if len(sums.Teams) > 0 {
			list = append(list, sums)
		}
	}
	return list
}

// SetPeerTeams replaces the recent requests of another daemon. Services for which this daemon has no requests are ignored.
func (f *Filter) SetPeerTeams(peer string, list []admission.TeamSums, now time.Time) {
	for _, s := range list {
		if v, ok := f.admissions.Load(s.Service); ok {
			a := v.(*serviceAdmission)
			a.mu.Lock()
			a.controller.SetPeer(peer, s, now)
			a.mu.Unlock()
		}
	}
}

// countServed counts the first attempt of a request that admission counted as arrived.
func (x *Exchange) countServed(now time.Time) {
	if !x.admission.counted || x.admission.served {
		return
	}
	x.admission.served = true
	a := x.filter.serviceAdmission(x.in.Service)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.Serve(now)
}
