package selection

import (
	"math"
	"time"
)

const (
	// MaxDomains is the number of failure domains whose load is kept apart; the others count as one.
	MaxDomains = 16
	// maxUnknownUtilization bounds the assumed utilization of a failure domain from which there are no reports. Requests
	// go to a busier one only after its reports, so a domain without reports must not look full.
	maxUnknownUtilization = 0.75
	// unknownWeight is the weight of the assumed utilization beside the reports of a domain, in slots: the weight of a fresh
	// report of a small endpoint. The reports of a domain that is not used any more fade away beside it.
	unknownWeight = 4.0
	// maxQueueUtilization bounds the utilization in the approximation of the waiting time, which is infinite at 1.
	maxQueueUtilization = 0.95
	// groupTime is the number of holding times after which a report has 1/e of its weight in the mean of its group, and
	// minGroupTime its lower bound: the mean changes more slowly than a single endpoint's load.
	groupTime    = 3
	minGroupTime = time.Second
	// meanLoadTime is the time constant with which the mean of an endpoint's reports fades: an endpoint that caches what many
	// requests need is busier than others for as long as daemons prefer it, and one of many daemons hears of it rarely.
	meanLoadTime = 15 * time.Second
	// shareGain is the relative change of an endpoint's share of the requests for a relative change of its load, and minShare
	// and maxShare bound the share.
	shareGain          = 2.0
	minShare, maxShare = 0.05, 2.5
	// freshGain is added to shareGain for a fresh report, and freshTime is the age at which 1/e of that is left, in holding times. In simulations,
	// the busiest of 15 endpoints beside a slow one has 1.24 times the mean of its group with it and 1.33 times without. A shareGain of 4 for all
	// reports gives 1.26, but the 99th percentile of the delay of 141 endpoints rose from 355 to 404 ms, with freshGain to 363 ms.
	freshGain, freshTime = 5.0, 1.0 / 3
	// overflowGain is the change of the share of requests that leave a failure domain for a change of its utilization relative
	// to the mean. What a daemon knows is about as old as requests last, so that a higher gain would make the share swing.
	overflowGain = 3.0
	// freeOveruse and maxOveruse are the utilization, as a multiple of the mean, from which a preference for an endpoint or a
	// segment is reduced and at which it ends. Over two seconds, no endpoint may be above 1.3 times the mean of its group
	// while another is idle; what a daemon expects varies around the truth.
	freeOveruse, maxOveruse = 1.0, 1.2
	// queueableShare is the fraction of the target time for which requests may wait at an endpoint whose slots are in use.
	// Beyond it, a request waits at the daemon, where it is served in the order of urgency.
	queueableShare = 0.25
)

// groupState holds what is known of the candidates together.
type groupState struct {
	slowness float64             // mean slowness; 0 without reports
	holdAge  float64             // nanoseconds in which an endpoint's requests are replaced by others
	unknown  float64             // assumed utilization of domains without reports
	others   [MaxDomains]average // utilization by other daemons' requests according to their reports
	all      [MaxDomains]average // expected utilization
	segment  average             // the same of the endpoints that the request's model prefers
	total    average             // the same of all candidates
	waitMs   [MaxDomains]float64 // expected time for which a request waits for a slot
}

// average is a weighted mean.
type average struct{ sum, weight float64 }

func (a *average) add(value, weight float64) {
	a.sum += value * weight
	a.weight += weight
}

func (a *average) mean() float64 {
	if a.weight == 0 {
		return 0
	}
	return a.sum / a.weight
}

// observe sets the state from the candidates, and their expected requests.
func (g *groupState) observe(m *costModel, list []Candidate) {
	g.holdAge = max(m.HoldMs, 1) * float64(time.Millisecond)
	meanAge := max(groupTime*g.holdAge, float64(minGroupTime))
	var slowness, evidence float64
	var total average
	for i := range list {
		c := &list[i]
		slowness += c.Speed.sum
		evidence += c.Speed.evidence
		if c.LoadAge == NoReport || c.Slots <= 0 {
			continue
		}
		utilization, weight := float64(c.Others)/float64(c.Slots), float64(c.Slots)*fade(float64(c.LoadAge)/meanAge)
		g.others[c.DomainIndex].add(utilization, weight)
		total.add(utilization, weight)
	}
	if evidence > 0 {
		g.slowness = slowness / evidence
	}
	g.unknown = min(total.mean(), maxUnknownUtilization)
	for i := range g.others {
		g.others[i].add(g.unknown, unknownWeight)
	}
	var count [MaxDomains]int
	for i := range list {
		c := &list[i]
		c.load = g.requests(c)
		if c.Slots <= 0 || c.UnavailableFor > 0 || c.Leaving {
			continue
		}
		count[c.DomainIndex]++
		g.all[c.DomainIndex].add(c.load/float64(c.Slots), float64(c.Slots))
		if c.Local && m.segment.includes(m.Request, c.Endpoint) {
			g.segment.add(c.load/float64(c.Slots), float64(c.Slots))
		}
	}
	for i, n := range count {
		if n > 0 {
			g.waitMs[i] = queueWaitMs(g.all[i].mean(), g.all[i].weight/float64(n), m.HoldMs)
			g.total.sum += g.all[i].sum
			g.total.weight += g.all[i].weight
		}
	}
}

// overused reports whether a candidate's expected utilization exceeds the mean of its failure domain so far that it is not
// preferred for its cache. The limit differs from request to request, so that the preference ends gradually.
func (g *groupState) overused(c *Candidate, limit float64) bool {
	return c.load-1 > limit*g.expected(c)
}

// expected returns the number of requests at the candidate if its utilization is the mean of its failure domain.
func (g *groupState) expected(c *Candidate) float64 {
	return g.all[c.DomainIndex].mean() * float64(c.Slots)
}

// share returns the share of requests that the candidate should get, as a multiple of the mean share. It is proportional to
// what the candidate lacks to the mean load, the more so the fresher the report is. All daemons may know the same reports: if
// each took the least loaded endpoint, it would get all requests until the next reports.
func (g *groupState) share(c *Candidate) float64 {
	mean := max(1, g.expected(c))
	gain := shareGain
	if c.LoadAge != NoReport {
		gain += freshGain * fade(float64(c.LoadAge)/(freshTime*g.holdAge))
	}
	return min(max(1+gain*(mean-c.load)/mean, minShare), maxShare)
}

// overflowShare returns the share of the requests that may leave a failure domain because others have more free capacity.
// Requests leave it only while it has more than the mean utilization, and the higher this is, the more do; if all left at
// once, they would all return when the domain is idle.
func (g *groupState) overflowShare(domain uint8) float64 {
	own, mean := g.all[domain].mean(), g.total.mean()
	if own <= mean {
		return 0
	}
	return min(1, overflowGain*(own-mean)/own)
}

// excess returns 0 for values up to freeOveruse times a mean, 1 from maxOveruse times it, and a fraction in between.
func excess(value, mean float64) float64 {
	if value <= freeOveruse*mean {
		return 0
	}
	return min(1, (value-freeOveruse*mean)/((maxOveruse-freeOveruse)*mean))
}

// requests returns the expected number of requests at a candidate: this daemon's own, and those of the others. The latest
// report of these fades as the reported requests end, towards the endpoint's mean, and that more slowly towards the
// group's.
func (g *groupState) requests(c *Candidate) float64 {
	others := g.others[c.DomainIndex].mean() * float64(c.Slots)
	if c.LoadAge != NoReport {
		others += (c.OthersMean.value(others) - others) * fade(float64(c.LoadAge)/float64(meanLoadTime))
		others += (float64(c.Others) - others) * fade(float64(c.LoadAge)/g.holdAge)
	}
	return float64(c.InFlight) + max(0, others)
}

// queueWaitMs returns the expected time for which a request waits for a slot at one of several endpoints with a mean
// utilization, in milliseconds: the usual approximation for a queue with several servers, and beyond the capacity the time
// until the requests that are too many have ended.
func queueWaitMs(utilization, slots, holdMs float64) float64 {
	if slots <= 0 || utilization <= 0 {
		return 0
	}
	x := min(utilization, maxQueueUtilization)
	wait := holdMs * math.Pow(x, math.Sqrt(2*(slots+1))-1) / (slots * (1 - x))
	return wait + holdMs*max(0, utilization-1)
}

// full reports whether the candidate's slots are in use and requests would wait there for too long. Only fresh reports
// count: without them, there is no evidence.
func (r *Request) full(c *Candidate) bool {
	if c.Slots <= 0 {
		return false
	}
	known := float64(c.InFlight)
	if c.LoadAge != NoReport {
		known += float64(c.Others) * fade(float64(c.LoadAge)/r.holdAge())
	}
	return known >= r.capacity(c)
}

// holdAge returns the mean time for which a request takes a slot, in nanoseconds.
func (r *Request) holdAge() float64 { return max(r.HoldMs, 1) * float64(time.Millisecond) }

// capacity returns the number of requests from which the candidate counts as full.
func (r *Request) capacity(c *Candidate) float64 {
	queueable := 0.0
	if r.HoldMs > 0 {
		queueable = queueableShare * float64(r.Target/time.Millisecond) / r.HoldMs * float64(c.Slots)
	}
	return float64(c.Slots) + queueable
}

// fullFor returns the time after which a candidate that is full is no longer, if nothing more is heard of it: its report fades. It returns 0
// if this daemon's own requests suffice to fill it, since it hears of their ends.
func (r *Request) fullFor(c *Candidate) time.Duration {
	free := r.capacity(c) - float64(c.InFlight)
	if !r.BySpeed || free <= 0 || c.LoadAge == NoReport || float64(c.Others) < free {
		return 0
	}
	return max(time.Millisecond, time.Duration(r.holdAge()*math.Log(float64(c.Others)/free))-c.LoadAge+time.Millisecond)
}

// fade returns exp(-x), or 0 where that is negligible: most reports of an endpoint with short requests are much older than
// these, and a choice needs several values for each endpoint.
func fade(x float64) float64 {
	if x > 8 {
		return 0
	}
	return math.Exp(-x)
}
