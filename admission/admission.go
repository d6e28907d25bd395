// Package admission decides for a request of a service whose endpoints report their speed whether it is sent, may wait, or is
// refused at once. It has no lock, clock, network or store: times and the random number are arguments.
package admission

import "time"

const (
	// idleShare is the fraction of slots in use below which nothing is refused while nothing waits: a refusal at idle endpoints
	// harms the caller without benefit to others.
	idleShare = 0.5
	// overloadShare is the fraction of slots in use from which a queue counts as overload. What daemons know of each other's
	// requests is up to a second old, so not all slots look used in an overload.
	overloadShare = 0.9
	// heldShare is the fraction of the target after which a refusal of a request that was held costs its caller more.
	heldShare = 1.0 / 8
	// beginFactor and endFactor are how many times the remaining time an expected delay, or an expected duration, must be before a
	// request is refused for its deadline. The delay of an endpoint varies by slow periods. Callers' estimates of the length of an
	// answer are only right at the median.
	beginFactor, endFactor = 1.5, 2.0
	// retryShare is the fraction of its remaining time for which a refused caller waits.
	retryShare = 1.0 / 3
	// minRetryAfter keeps refused callers from returning before any request at the endpoints has ended. maxRetryAfter applies to
	// requests without a deadline.
	minRetryAfter, maxRetryAfter = 50 * time.Millisecond, 30 * time.Second
)

// MaxRank is the least urgent rank.
const MaxRank = 9

// Request describes a request before it is sent to an endpoint.
type Request struct {
	Team   string
	Weight float64 // of the team's share, positive
	Rank   int     // urgency from 0, the most urgent, to MaxRank
	// Remaining is the time until the deadline, and Target the time from the arrival within which the answer should begin; 0 for none.
	Remaining, Target time.Duration
	Held              time.Duration // time since the arrival
	// Delay is the shortest expected time until an endpoint begins the answer, given its queue, its speed and the prompt. Duration
	// is the expected time from then to the end of the answer. 0 if it is not known.
	Delay, Duration time.Duration
	Repeat          bool // an endpoint may have run the request before
	Begun           bool // the caller has a part of the answer
	// Draw is a random number in [0, 1).
	Draw float64
}

// Load is what a daemon knows of the service.
type Load struct {
	Slots   int // of the usable endpoints; 0 if it is not known
	InUse   int // requests at them, at most Slots
	Queued  int // requests that wait at endpoints
	Waiting int // requests that wait at this daemon
}

// Action is what to do with a request.
type Action uint8

// Actions.
const (
	Send   Action = iota // probably there is capacity
	Wait                 // for capacity, at most Decision.MaxWait
	Refuse               // the request does not run
)

// Reason is why a request is refused.
type Reason uint8

// Reasons.
const (
	None     Reason = iota
	Deadline        // no endpoint would begin or end the answer before the deadline
	Share           // the team wants far more than its share of an overloaded service
	Urgency         // the overloaded service has no capacity left for requests of this rank
)

var reasonNames = [...]string{"", "deadline", "share", "urgency"}

// String returns the value of the metric's label.
func (r Reason) String() string { return reasonNames[r] }

// Decision is the result for one request.
type Decision struct {
	Action Action
	Reason Reason // of a refusal
	// MaxWait is the longest wait after which the request can still meet its deadline; 0 for no limit.
	MaxWait time.Duration
	// RetryAfter is when the overload will probably have ended for the request; of a refusal.
	RetryAfter time.Duration
}

// Decide decides about a request that this daemon counted with Arrive.
func (c *Controller) Decide(r *Request, l Load, now time.Time) Decision {
	d := Decision{Action: Send, MaxWait: r.maxWait()}
	if l.Waiting+l.Queued > 0 || l.Slots > 0 && l.InUse >= l.Slots {
		d.Action = Wait
	}
	if r.Begun || !l.mayRefuse() {
		return d
	}
	drain, known := c.drainTime(l.Waiting, now)
	if r.missesDeadline() {
		return r.refuse(Deadline, drain, r.Draw)
	}
	if r.Repeat || r.wasHeld() || !l.isFull() || !known || drain <= r.heldLimit() {
		return d
	}
	shares := c.currentPlan(l.Waiting, now).admitted(r)
	p := max(minAdmitted, shares.team*shares.rank)
	if r.Draw < p {
		return d
	}
	reason := Urgency
	if shares.team < shares.rank {
		reason = Share
	}
	// On average, the request is admitted at its 1/p-th return.
	return r.refuse(reason, time.Duration(float64(drain)/p), (r.Draw-p)/(1-p))
}

// mayRefuse reports whether a refusal may be of use to other requests. Without known slots there is no evidence of that.
func (l *Load) mayRefuse() bool {
	return l.Slots > 0 && (float64(l.InUse) >= idleShare*float64(l.Slots) || l.Waiting+l.Queued > 0)
}

func (l *Load) isFull() bool {
	return l.Waiting > 0 && float64(l.InUse) >= overloadShare*float64(l.Slots)
}

// missesDeadline reports whether it is clear that the answer would begin or end after the deadline.
func (r *Request) missesDeadline() bool {
	return r.Remaining > 0 && (float64(r.Delay) > beginFactor*float64(r.Remaining) || float64(r.Delay+r.Duration) > endFactor*float64(r.Remaining))
}

// maxWait returns the time after which missesDeadline would be true.
func (r *Request) maxWait() time.Duration {
	if r.Remaining <= 0 {
		return 0
	}
	needed := max(float64(r.Delay)/beginFactor, float64(r.Delay+r.Duration)/endFactor)
	return max(time.Nanosecond, r.Remaining-time.Duration(needed))
}

// heldLimit returns the time for which the request may be held before a refusal. Without a target, its deadline stands for it.
func (r *Request) heldLimit() time.Duration {
	target := r.Target
	if target <= 0 {
		target = r.Held + r.Remaining
	}
	return time.Duration(heldShare * float64(target))
}

// wasHeld reports whether the request was held so long that it goes before requests that can be refused without that cost.
func (r *Request) wasHeld() bool { return r.Held > r.heldLimit() }

// refuse returns a refusal. Retry-After is spread over a factor of two by draw, a random number in [0, 1), so that callers that
// were refused together do not return together.
func (r *Request) refuse(reason Reason, drain time.Duration, draw float64) Decision {
	limit := maxRetryAfter
	if r.Remaining > 0 {
		limit = min(limit, time.Duration(retryShare*float64(r.Remaining)))
	}
	shortest := min(max(drain, minRetryAfter), limit/2)
	return Decision{Action: Refuse, Reason: reason, RetryAfter: shortest + time.Duration(draw*float64(shortest))}
}
