package scaling

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// upUtilization is the fraction of the slots above which the load counts as elevated, and to which an order for more endpoints
	// brings it back. Waves with an amplitude of 27 % stay below all slots.
	upUtilization = 0.75
	// downUtilization is the largest fraction of the remaining slots that the peak of the load may take after a reduction, so that a
	// burst of 1.7 times, or the load of one lost domain of three, still fits.
	downUtilization = 0.55
	// lateUtilization is the fraction of the slots from which late answers, waiting and refused requests count as a lack of endpoints.
	// Below it they have other causes, such as slow machines or one popular model.
	lateUtilization = 0.5
	// lateShare is the fraction of late answers above which the load counts as elevated. lateRelief is the utilization after an order for
	// this reason, as a fraction of the present one.
	lateShare, lateRelief = 0.05, 0.8
	// calmBoots is the time in boot times for which the load must have been low before a reduction, and stepBoots that between two
	// reductions of a domain, within which the requests of a drained endpoint move to the others.
	calmBoots, stepBoots = 3, 0.5
	// bootMargin is the time after the boot time within which an ordered endpoint is listed: daemons see changes of the store within 2 s.
	bootMargin = 2 * time.Second
	// evenRise is the smallest ratio of the slowest to the fastest rise in a part of two boot times at which a rise is predicted to go on.
	// maxPrediction bounds the predicted load as a multiple of its mean over the last boot time, since a step on top of a wave can look like
	// an even rise.
	evenRise, maxPrediction = 0.5, 1.2
	// minGrowth is the smallest increase of an order while the previous one is under way, as a fraction of the number in force, so that the
	// noise of the load does not cause an order each second.
	minGrowth = 0.05
	// maxServiceTime bounds the time for which a refused request would have used a slot, and maxRefusedShare their sum as a fraction of
	// the slots, since callers repeat refused requests and so count several times.
	maxServiceTime  = 2.0 // seconds
	maxRefusedShare = 0.5
	// sampleInterval is the time between two samples, and maxSamples bounds the history of a domain.
	sampleInterval = time.Second
	maxSamples     = 2048
)

// Limits bound the endpoints of a service in each failure domain.
type Limits struct {
	Minimum, Maximum int
	BootTime         time.Duration
}

// Domain is what the holder knows of a service's endpoints in a failure domain.
type Domain struct {
	Name     string
	Present  int // live endpoints, with cold and ejected ones
	Unusable int // of these, ejected or out of reach
	Slots    int // of one endpoint; 0 if not known
	Demand   Demand
	// Unreachable is the reason why no endpoint is ordered for the domain, such as a partition or an evacuation; empty if there is none.
	// Incomplete is the reason why its demand may be larger than reported. With either, no domain is reduced.
	Unreachable, Incomplete string
}

// Decision is a desired number of endpoints that differs from the one in force.
type Decision struct {
	Domain   string
	Count    int
	Previous int
	Reason   string
}

// Planner decides how many endpoints a service needs in each failure domain. It keeps the history of the load since this daemon became
// the holder of the duty. All times are given by its caller, which uses one goroutine.
type Planner struct {
	domains map[string]*plan
}

// plan is the state of one failure domain.
type plan struct {
	since     time.Time // since when the number of endpoints present can be taken for the number ordered
	desired   int       // number in force, 0 if not known yet
	orderedAt time.Time // of the last order
	reducedAt time.Time // of the last reduction
	elevated  time.Time // since when the load has been elevated; zero if it is not
	calmSince time.Time // since when nothing forbids a reduction
	samples   []sample
}

// sample is the state of a domain at one time.
type sample struct {
	at                time.Time
	load              float64 // in slots
	arrived, late     int
	present, unusable int
}

// NewPlanner returns a planner without history.
func NewPlanner() *Planner { return &Planner{domains: map[string]*plan{}} }

// Decide records the state of all domains of a service, about once a second, and returns the domains whose number of endpoints should
// change. A decision is returned again until Ordered confirms it. hold is a reason for which the number of endpoints present says
// nothing about the number ordered and none is reduced, such as a release; empty if there is none.
func (p *Planner) Decide(now time.Time, l Limits, domains []Domain, hold string) []Decision {
	for i := range domains {
		d := &domains[i]
		if d.Unreachable != "" || d.Incomplete != "" || d.Present == 0 {
			hold = d.Name + " is not known in full"
		}
	}
	var out []Decision
	for i := range domains {
		d := &domains[i]
		s := p.domains[d.Name]
		if s == nil {
			s = &plan{since: now, calmSince: now}
			p.domains[d.Name] = s
		}
		if hold != "" {
			s.calmSince, s.since = now, now
		}
		if d.Unreachable != "" || d.Present == 0 || d.Slots <= 0 {
			s.elevated = time.Time{}
			continue
		}
		s.record(now, l, d)
		s.adopt(now, l)
		if count, reason := s.decide(now, l, d, hold); reason != "" && count != s.desired {
			out = append(out, Decision{Domain: d.Name, Count: count, Previous: s.desired, Reason: reason})
		}
	}
	return out
}

// Ordered records that the platform has accepted an order.
func (p *Planner) Ordered(now time.Time, domain string, count int) {
	s := p.domains[domain]
	if s == nil {
		return
	}
	if count < s.desired {
		s.reducedAt = now
	} else {
		s.calmSince = now
	}
	s.desired, s.orderedAt = count, now
}

// Desired returns the number of endpoints in force in a domain, 0 if it is not known.
func (p *Planner) Desired(domain string) int {
	if s := p.domains[domain]; s != nil {
		return s.desired
	}
	return 0
}

// record appends a sample and updates since when the load has been elevated and calm.
func (s *plan) record(now time.Time, l Limits, d *Domain) {
	capacity := float64(s.capacity(now, l, d) * d.Slots)
	x := sample{at: now, load: slotLoad(d.Demand, capacity), arrived: d.Demand.Arrived, late: d.Demand.Late, present: d.Present, unusable: d.Unusable}
	s.samples = append(s.samples, x)
	oldest := now.Add(-calmBoots * l.BootTime)
	if drop := slices.IndexFunc(s.samples, func(x sample) bool { return !x.at.Before(oldest) }); drop > 0 {
		s.samples = slices.Delete(s.samples, 0, drop)
	}
	if len(s.samples) > maxSamples {
		s.samples = slices.Delete(s.samples, 0, len(s.samples)-maxSamples)
	}
	// Until the ordered endpoints serve, waiting requests do not mean that they are too few.
	isShort := !s.isComing(now, l) && (d.Demand.Waiting+d.Demand.Refused > 0 || float64(d.Demand.Late) > lateShare*float64(d.Demand.Arrived))
	if x.load > upUtilization*capacity || isShort && x.load > lateUtilization*capacity {
		s.calmSince = now
		if s.elevated.IsZero() {
			s.elevated = now
		}
		return
	}
	s.elevated = time.Time{}
}

// capacity returns the number of endpoints that serve or will do so within the boot time. Ordered endpoints count until they should be
// listed; later only those that are.
func (s *plan) capacity(now time.Time, l Limits, d *Domain) int {
	n := d.Present
	if s.isComing(now, l) {
		n = max(n, s.desired)
	}
	return max(0, n-d.Unusable)
}

// isComing reports whether ordered endpoints may not be listed yet.
func (s *plan) isComing(now time.Time, l Limits) bool {
	return !s.orderedAt.IsZero() && now.Sub(s.orderedAt) < l.BootTime+bootMargin
}

// slotLoad returns the slots that the requests in flight, waiting and refused need.
func slotLoad(d Demand, capacity float64) float64 {
	load := float64(d.InFlight + d.Waiting)
	if d.Refused == 0 {
		return load
	}
	serviceTime := maxServiceTime
	if served := d.Arrived - d.Refused; served > 0 {
		serviceTime = min(maxServiceTime, float64(d.InFlight)/float64(served))
	}
	return load + min(maxRefusedShare*capacity, serviceTime*float64(d.Refused))
}

// adopt takes over the number of endpoints that are present, once those that an earlier holder ordered must be listed. More endpoints
// than ordered mean that another holder's order is in force. Fewer may have crashed and are started again by the platform.
func (s *plan) adopt(now time.Time, l Limits) {
	settle := l.BootTime + bootMargin
	if now.Sub(s.since) < settle || now.Sub(s.orderedAt) < settle {
		return
	}
	var present []int
	for _, x := range s.samples {
		if now.Sub(x.at) <= settle {
			present = append(present, x.present)
		}
	}
	slices.Sort(present)
	s.desired = max(s.desired, present[len(present)/2])
}

// decide returns the number of endpoints that the domain should have, with the reason; an empty one for no change.
func (s *plan) decide(now time.Time, l Limits, d *Domain, hold string) (int, string) {
	if count, reason := s.raise(now, l, d); reason != "" {
		return count, reason
	}
	switch {
	case s.desired == 0:
		return 0, ""
	case s.desired < l.Minimum:
		return l.Minimum, "below the minimum"
	case s.desired > l.Maximum && hold == "":
		return l.Maximum, "above the maximum"
	}
	return s.reduce(now, l, d)
}

// raise returns a larger number of endpoints if the load has been elevated for a boot time, or for most of calmBoots. Endpoints for a
// shorter rise, such as a burst or a wave, would serve only after its end.
func (s *plan) raise(now time.Time, l Limits, d *Domain) (int, string) {
	capacity := float64(s.capacity(now, l, d) * d.Slots)
	var load float64
	var trend string
	if !s.elevated.IsZero() && now.Sub(s.elevated) >= l.BootTime {
		load, trend = s.predict(now, l.BootTime)
	} else if mean, median := s.typicalLoad(now, l); median > upUtilization*capacity {
		load, trend = mean, "mostly high"
	} else {
		return 0, ""
	}
	arrived, late, unusable := 0, 0, d.Unusable
	for _, x := range s.samples {
		if now.Sub(x.at) <= l.BootTime {
			arrived, late, unusable = arrived+x.arrived, late+x.late, min(unusable, x.unusable)
		}
	}
	target := upUtilization
	if float64(late) > lateShare*float64(arrived) && capacity > 0 {
		target = min(target, max(lateUtilization, lateRelief*load/capacity))
	}
	count := min(l.Maximum, int(math.Ceil(load/(target*float64(d.Slots))))+unusable)
	growth := 1
	if s.isComing(now, l) {
		growth = max(growth, int(math.Ceil(minGrowth*float64(s.desired))))
	}
	if count < max(s.desired, d.Present)+growth {
		return 0, ""
	}
	return count, fmt.Sprintf("%s load of %.0f slots, %.0f in use or coming; %d waiting, %d refused, %d of %d late, %d endpoints unusable",
		trend, load, capacity, d.Demand.Waiting, d.Demand.Refused, late, arrived, unusable)
}

// typicalLoad returns the mean and the median of the load over calmBoots, or zeros if the history is shorter.
func (s *plan) typicalLoad(now time.Time, l Limits) (mean, median float64) {
	if now.Sub(s.samples[0].at) < calmBoots*l.BootTime-sampleInterval {
		return 0, 0
	}
	loads := make([]float64, len(s.samples))
	for i, x := range s.samples {
		loads[i] = x.load
		mean += x.load / float64(len(loads))
	}
	slices.Sort(loads)
	return mean, loads[len(loads)/2]
}

// predict returns the load to provide for: the mean over the last boot time, or for a load that has risen steadily over two boot times,
// its value one boot time ahead at the slowest rate within that time. Waves are shorter than two boot times and so never rise that long,
// and a step does not rise evenly.
func (s *plan) predict(now time.Time, bootTime time.Duration) (load float64, trend string) {
	const quarters = 4
	var sum [quarters]float64
	var n [quarters]int
	for _, x := range s.samples {
		if age := now.Sub(x.at); age < 2*bootTime {
			i := quarters - 1 - int(age*quarters/(2*bootTime))
			sum[i] += x.load
			n[i]++
		}
	}
	mean := (sum[2] + sum[3]) / float64(max(1, n[2]+n[3]))
	slowest, fastest := math.Inf(1), 0.0 // rise in a quarter, which is half a boot time
	for i := range quarters {
		if n[i] == 0 {
			return mean, "steady"
		}
		sum[i] /= float64(n[i])
		if i > 0 {
			slowest, fastest = min(slowest, sum[i]-sum[i-1]), max(fastest, sum[i]-sum[i-1])
		}
	}
	if slowest <= 0 || slowest < evenRise*fastest {
		return mean, "steady"
	}
	return min(maxPrediction*mean, sum[3]+2*slowest), "rising"
}

// reduce returns one endpoint less if the load has been low for several boot times.
func (s *plan) reduce(now time.Time, l Limits, d *Domain) (int, string) {
	calm := time.Duration(calmBoots * float64(l.BootTime))
	step := time.Duration(stepBoots * float64(l.BootTime))
	if s.desired <= max(1, l.Minimum) || d.Present < s.desired || d.Unusable > 0 || now.Sub(s.calmSince) < calm || now.Sub(s.reducedAt) < step {
		return 0, ""
	}
	peak := 0.0
	for _, x := range s.samples {
		peak = max(peak, x.load)
	}
	if remaining := float64((s.desired - 1) * d.Slots); peak <= downUtilization*remaining {
		return s.desired - 1, fmt.Sprintf("peak load of %.0f slots in %.0f s fits into %.0f of the remaining %.0f", peak, calm.Seconds(), downUtilization*remaining, remaining)
	}
	return 0, ""
}
