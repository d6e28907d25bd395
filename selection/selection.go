// Package selection chooses the endpoint for a request to a routed service. It gets a snapshot of the endpoints and the
// request as values, and returns the choice and what it found of each endpoint. It has no lock, no clock and no state
// apart from buffers: package pool keeps the state, makes the snapshots and reserves the chosen endpoint.
package selection

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Endpoint holds the properties of an endpoint that do not change from request to request. It must not be modified once a
// Candidate refers to it.
type Endpoint struct {
	ID      string
	Domain  string
	Release string   // software version
	Models  []string // models that it serves; empty for any
	Key     uint64   // hash of the ID
	Slots   int      // 0 if it is not known
	Local   bool     // it is in the daemon's own failure domain
	// DomainIndex is a number of the failure domain below MaxDomains.
	DomainIndex uint8
	InService   bool    // its failure domain is in service
	Position    int     // index in its group: the endpoints of its service, failure domain and software version
	GroupSize   int     // number of endpoints in that group
	Stagger     float64 // fraction in [0, 1) that differs for each daemon and endpoint
}

// Candidate is the state of an endpoint at the time of the choice.
type Candidate struct {
	*Endpoint
	Rejection      Reason        // result of Request.Exclusion
	Leaving        bool          // it has said that it leaves
	Unreachable    bool          // its failure domain counts as unreachable
	Suspects       int           // this daemon's requests that may have caused crashes
	Requests       int           // this daemon's requests and the last known number of the others
	CachedParts    int           // leading parts of the prompt that are probably in its cache
	UnavailableFor time.Duration // time for which it gets no requests; not positive if it is available
	ColdWait       time.Duration // time until it may take a request under the limit of cold endpoints
	SinceChosen    time.Duration // time since this daemon last sent it a request
	PrefillMs      float64       // expected prefill time of this daemon's unanswered requests, in milliseconds
	PeerPrefillMs  float64       // the same of announced requests of other daemons
	Slowdown       float64       // measured latency as a multiple of the expected one
	FailureRate    float64       // fraction of failed answers, 0 to 1

	// The following are used for requests with BySpeed.
	InFlight   int           // this daemon's requests
	Others     int           // other daemons' requests according to the latest report
	OthersMean Mean          // mean of the reports
	LoadAge    time.Duration // age of the latest report, or NoReport
	Speed      Slowness
	SpeedAge   time.Duration // age of Speed.Latest
	load       float64       // expected number of requests
	share      float64       // see groupState.share
	affine     bool          // its hash and the request's select it for the cache, see costModel.affinity
}

// NoReport is the age of a report that does not exist.
const NoReport time.Duration = math.MaxInt64

// Request describes the request.
type Request struct {
	Model               string
	Release, NotRelease string   // required and excluded software version; empty for no restriction
	Exclude             []string // IDs of endpoints that must not be chosen
	Suspect             bool     // the request may have caused crashes
	Prompt              int64    // tokens
	Parts               []int64  // tokens of the prompt's parts; other requests may share all but the last
	PartsKey            uint64   // hash of the parts that may be shared; used with at least two parts
	Target              time.Duration
	Gap                 time.Duration // longest pause within a stream that is on time; 0 for other answers
	Bytes               int           // size of the body
	Segment             Segment       // endpoints that the model prefers
	Long                bool          // the prefill pauses streams noticeably
	BaseMs, TokenMs     float64       // expected latency: a constant and a time for each token, in milliseconds
	MeanPrefillMs       float64       // mean prefill time of the service's requests

	BySpeed     bool    // the service's endpoints report their speed; the following are used only then
	HoldMs      float64 // mean time for which a request takes a slot, in milliseconds
	Random      uint64  // differs for each request
	LocalDomain uint8   // DomainIndex of the daemon's own failure domain
	PartsShare  float64 // recent share of the service's requests with the same PartsKey
}

// Reason is why an endpoint can't be chosen.
type Reason uint8

// Reasons, in the order in which they are checked.
const (
	Usable       Reason = iota
	DomainOut           // its failure domain is out of service
	Excluded            // the request excludes it
	OtherRelease        // the request excludes its software version
	OtherModel          // it does not serve the model
	Leaving
	Ejected     // after failures, or because it asked for a pause
	SuspectRuns // a suspect request is running there
	Cold        // it is cold and this daemon's share of its request rate is used up
	Full        // all its slots are in use
)

var reasonNames = [...]string{"usable", "domain out of service", "excluded", "other release", "other model", "leaving", "ejected", "suspect runs there", "cold", "full"}

func (r Reason) String() string { return reasonNames[r] }

// Preference is why the chosen endpoint was preferred.
type Preference uint8

// Preferences.
const (
	None        Preference = iota // no endpoint can take the request
	LowestCost                    // no other endpoint costs about the same
	LeastRecent                   // the least recently chosen one of those that cost about the same
	Share                         // sampled among those that cost about the same, for requests with BySpeed
	Overflow                      // in another failure domain, because all in the daemon's own one are busier than its price
)

var preferenceNames = [...]string{"none", "lowest cost", "least recently chosen", "share", "overflow"}

func (p Preference) String() string { return preferenceNames[p] }

// Evaluation is what was found of one endpoint. Without Usable, only Rejection is valid.
type Evaluation struct {
	Rejection Reason
	CostMs    float64
	DelayMs   float64 // expected time until the answer begins
	Uncached  int64   // prompt tokens that it probably has to process
}

// Decision is the result of a choice.
type Decision struct {
	Index      int // of the chosen candidate, or -1
	Preference Preference
	Chosen     Evaluation
	// Evaluations has an entry for each candidate. It is valid until the next choice.
	Evaluations []Evaluation
}

// Chooser holds buffers that are reused from choice to choice. It is not safe for concurrent use.
type Chooser struct {
	Candidates  []Candidate // the snapshot, to be filled in by the caller
	evaluations []Evaluation
}

// costTolerance is the difference, in milliseconds, up to which costs count as equal.
const costTolerance = 2.0

// Choose compares all candidates, because few endpoints of a large group are in the request's segment and failure domain.
func (c *Chooser) Choose(r *Request) Decision {
	c.evaluations = slices.Grow(c.evaluations[:0], len(c.Candidates))[:len(c.Candidates)]
	d := Decision{Index: -1, Evaluations: c.evaluations}
	model := costModel{Request: r}
	if r.BySpeed {
		model.group.observe(&model, c.Candidates)
		model.overuseLimit = freeOveruse + (maxOveruse-freeOveruse)*fraction(SplitMix64(r.Random))
	}
	if r.BySpeed {
		model.spreadAffinity(c.Candidates)
	} else {
		model.affinityKey = model.affinity(c.Candidates)
	}
	for i := range c.Candidates {
		candidate, e := &c.Candidates[i], &c.evaluations[i]
		if e.Rejection = r.Check(candidate); e.Rejection != Usable {
			continue
		}
		if r.BySpeed {
			model.evaluateBySpeed(candidate, e)
			continue
		}
		model.evaluate(candidate, e)
		better := e.CostMs < d.Chosen.CostMs-costTolerance
		tied := math.Abs(e.CostMs-d.Chosen.CostMs) <= costTolerance
		switch {
		case d.Index < 0 || better:
			d.Preference = LowestCost
		case tied && candidate.precedes(&c.Candidates[d.Index]):
			d.Preference = LeastRecent
		default:
			continue
		}
		d.Index, d.Chosen = i, *e
	}
	if r.BySpeed {
		c.balance(&model, &d)
	}
	return d
}

// precedes reports whether the candidate is preferred over another one with the same cost: the least recently chosen
// one goes first. Among endpoints that were never chosen, which is most of them at a daemon with few requests, each
// daemon starts with a different one.
func (c *Candidate) precedes(other *Candidate) bool {
	return cmp.Or(cmp.Compare(other.SinceChosen, c.SinceChosen), cmp.Compare(c.Stagger, other.Stagger)) < 0
}

// Exclusion returns the reason why the request can never go to the endpoint, or Usable.
func (r *Request) Exclusion(e *Endpoint) Reason {
	switch {
	case !e.InService:
		return DomainOut
	case slices.Contains(r.Exclude, e.ID):
		return Excluded
	case !r.allowsRelease(e.Release):
		return OtherRelease
	case r.Model != "" && len(e.Models) > 0 && !slices.Contains(e.Models, r.Model):
		return OtherModel
	}
	return Usable
}

func (r *Request) allowsRelease(release string) bool {
	return (r.Release == "" || release == r.Release) && (r.NotRelease == "" || release != r.NotRelease)
}

// Check returns the reason why the candidate can't take the request now, or Usable.
func (r *Request) Check(c *Candidate) Reason {
	switch {
	case c.Rejection != Usable:
		return c.Rejection
	case c.Leaving:
		return Leaving
	case c.UnavailableFor > 0:
		return Ejected
	case r.Suspect && c.Suspects > 0:
		return SuspectRuns
	case c.ColdWait > 0:
		return Cold
	case r.BySpeed && r.full(c), !r.BySpeed && c.Slots > 0 && c.Requests >= c.Slots:
		return Full
	}
	return Usable
}

// RetryIn returns the time after which a candidate that was rejected for a reason may take the request even if this daemon hears nothing
// more of it; 0 if that is not known.
func (r *Request) RetryIn(c *Candidate, reason Reason) time.Duration {
	switch reason {
	case Ejected:
		return c.UnavailableFor
	case Cold:
		return c.ColdWait
	case Full:
		return r.fullFor(c)
	}
	return 0
}
