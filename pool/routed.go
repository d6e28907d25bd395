package pool

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/selection"
)

// Endpoints of routed services refuse requests beyond their limits and report their load, so daemons need no shares of
// their slots. A daemon compares endpoints by what it knows of their load: its own requests exactly, and those of other
// daemons as of the last answer. Scores are milliseconds of expected delay.

// RoutedQuery describes a request to a routed service.
type RoutedQuery struct {
	Model string // empty if every endpoint can serve the request
	Team  uint32 // to which what is remembered of the prompt belongs, see keyed.OwnerOf
	// Parts are the parts of the prompt that other requests may share, in order. The last one belongs to this request
	// only.
	Parts []engine.PromptPart
	// Release and NotRelease restrict the choice to endpoints that run, or do not run, a software version; empty for no
	// restriction.
	Release, NotRelease string
	// Target is the time within which the answer should begin.
	Target time.Duration
	Bytes  int // size of the request body
	// Retry marks a request that was sent before.
	Retry bool

	// Gap is the longest pause within a streamed answer that is still on time; 0 for other answers.
	Gap time.Duration

	counted string       // name under which the request is counted, see CountedModel
	latency latencyModel // of counted
	long    bool         // the prefill pauses the streams at the endpoint noticeably
}

// longPromptShare is the prefill time from which a prompt counts as long, as a fraction of the route's maximum gap.
const longPromptShare = 0.4

// routedChoice holds what the choice for one request needs. Its buffers are reused.
type routedChoice struct {
	chooser  selection.Chooser
	request  selection.Request
	partKeys []uint64 // of the prompt's parts
}

var routedChoices = sync.Pool{New: func() any { return new(routedChoice) }}

func (c *routedChoice) free() {
	c.request = selection.Request{Parts: c.request.Parts[:0]} // refers to the query
	routedChoices.Put(c)
}

// prepareChoice sets the query's choice and what does not depend on the endpoint. The caller frees the choice.
func (p *Pool) prepareChoice(query *Query, t *table, now time.Time) *routedChoice {
	q := query.Routed
	c := routedChoices.Get().(*routedChoice)
	query.choice = c
	q.counted = p.CountedModel(query.Service, q.Model)
	q.latency = p.estimates.latencyModel(query.Service, q.counted)
	segment, meanPrefillMs := p.estimates.segment(query.Service, q.counted, now)
	q.long = q.Gap > 0 && q.latency.tokenMs*float64(query.Prompt) > longPromptShare*float64(q.Gap/time.Millisecond)
	tokens := c.request.Parts[:0]
	c.partKeys = c.partKeys[:0]
	model := xxhash.Sum64String(q.Model)
	for _, part := range q.Parts {
		tokens = append(tokens, part.Tokens)
		c.partKeys = append(c.partKeys, partKey(model, part.ID))
	}
	c.request = selection.Request{
		Model: q.Model, Release: q.Release, NotRelease: q.NotRelease, Exclude: query.Exclude, Suspect: query.Suspect, Prompt: query.Prompt, Parts: tokens,
		Target: q.Target, Gap: q.Gap, Bytes: q.Bytes, Segment: segment, Long: q.long, BaseMs: q.latency.baseMs, TokenMs: q.latency.tokenMs, MeanPrefillMs: meanPrefillMs,
	}
	if rules := t.rules[query.Service]; rules != nil && rules.reportsSpeed(now) {
		c.request.BySpeed, c.request.HoldMs, c.request.Random = true, rules.reports.holdMs(), p.spec.Rand()
		c.request.LocalDomain = t.localDomain
	}
	if n := len(c.partKeys); n >= 2 {
		c.request.PartsKey = c.partKeys[n-2] // the last part belongs to this request only
	}
	if c.request.BySpeed {
		c.request.PartsShare = t.rules[query.Service].reports.share(q.Team, c.request.PartsKey, !query.DryRun, now)
	}
	return c
}

// Service returns the name of the endpoint's service.
func (r *Reservation) Service() string { return r.service }

// selectRouted returns the endpoint that package selection chooses, or nil.
func (p *Pool) selectRouted(group []*endpoint, q *Query, rules *serviceRules, now time.Time, shortage *Shortage) *endpoint {
	c := q.choice
	c.chooser.Candidates = slices.Grow(c.chooser.Candidates[:0], len(group))[:len(group)]
	allReachable := p.reachability.allReachable()
	for i, e := range group {
		candidate := &c.chooser.Candidates[i]
		e.mu.Lock()
		e.snapshot(candidate, c, rules, now)
		e.mu.Unlock()
		candidate.Unreachable = !allReachable && p.reachability.unreachable(candidate.Domain, now)
	}
	d := c.chooser.Choose(&c.request)
	shortestMs := d.Chosen.DelayMs
	for i := range d.Evaluations {
		if e := &d.Evaluations[i]; e.Rejection != selection.Usable {
			shortage.countRouted(e.Rejection, c.request.RetryIn(&c.chooser.Candidates[i], e.Rejection), now)
		} else {
			shortestMs = min(shortestMs, e.DelayMs)
		}
	}
	q.expectedDelay, q.expectedUncached = time.Duration(d.Chosen.DelayMs*float64(time.Millisecond)), d.Chosen.Uncached
	q.preference = d.Preference
	q.shortestDelay = time.Duration(shortestMs * float64(time.Millisecond))
	if d.Index < 0 {
		return nil
	}
	return group[d.Index]
}

// snapshot sets c to the state of the endpoint. The caller holds e.mu.
func (e *endpoint) snapshot(c *selection.Candidate, choice *routedChoice, rules *serviceRules, now time.Time) {
	*c = selection.Candidate{
		Endpoint: e.properties, Rejection: choice.request.Exclusion(e.properties), Leaving: e.stated.leaving,
		Suspects: e.suspects, Requests: e.estimatedRequests(now), SinceChosen: math.MaxInt64,
	}
	until := later(e.ejectedUntil, e.stated.busyUntil)
	if choice.request.Prompt >= e.routed.refused.tokens {
		until = later(until, e.routed.refused.until)
	}
	if !until.IsZero() {
		c.UnavailableFor = until.Sub(now)
	}
	if !e.lastChosen.IsZero() {
		c.SinceChosen = now.Sub(e.lastChosen)
	}
	if choice.request.BySpeed {
		c.InFlight, c.Others, c.OthersMean, c.LoadAge, c.Speed = int(e.inFlight), e.plausibleRequests(), e.routed.peerMean, selection.NoReport, e.routed.slowness
		if !e.routed.peerRequestsAt.IsZero() {
			c.LoadAge = now.Sub(e.routed.peerRequestsAt)
		}
		c.SpeedAge = now.Sub(e.routed.slownessAt)
	}
	if choice.request.Check(c) != selection.Usable {
		return
	}
	if c.ColdWait = e.coldWait(rules, now); c.ColdWait > 0 {
		return
	}
	c.CachedParts = e.routed.countCached(choice.partKeys, now)
	c.PrefillMs, c.PeerPrefillMs = e.routed.prefillMs, e.routed.remainingPeerPrefillMs(now)
	c.Slowdown, c.FailureRate = e.currentSlowdown(now), e.routed.failureRate
}

// countRouted counts a rejected endpoint of a routed service, which may take the request after retryIn; 0 if that is not known.
func (s *Shortage) countRouted(r selection.Reason, retryIn time.Duration, now time.Time) {
	switch r {
	case selection.DomainOut:
		s.DomainOut++
	case selection.Excluded, selection.OtherRelease, selection.OtherModel:
		s.Excluded++
	case selection.Leaving:
		s.Leaving++
	case selection.Ejected:
		s.Ejected++
		s.retryAt(now.Add(retryIn))
	case selection.SuspectRuns:
		s.Suspect++
	case selection.Cold:
		s.Full++
		s.retryAt(now.Add(retryIn))
	case selection.Full:
		s.Full++
		if retryIn > 0 {
			s.retryAt(now.Add(retryIn))
		}
	}
}

// CountUsable returns the number of endpoints of a service that run a software version, are not ejected, and are in a
// failure domain in service.
func (p *Pool) CountUsable(service, release string, now time.Time) int {
	n := 0
	t := p.table.Load()
	for _, e := range t.groups[groupKey{service, ""}] {
		e.mu.Lock()
		if e.host.Release == release && !e.stated.leaving && !now.Before(e.ejectedUntil) && !now.Before(e.stated.busyUntil) && t.view.DomainInService(e.host.Domain) {
			n++
		}
		e.mu.Unlock()
	}
	return n
}

// SoftwareRelease returns the software version of the endpoint according to the current host list.
func (r *Reservation) SoftwareRelease() string {
	r.endpoint.mu.Lock()
	defer r.endpoint.mu.Unlock()
	return r.endpoint.host.Release
}
