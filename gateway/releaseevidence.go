package gateway

import (
	"errors"
	"time"

	"github.com/bramleytrail/bramleytrail/dispatch"
	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/notice"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/pipeline"
	"github.com/bramleytrail/bramleytrail/release"
)

const (
	// evidenceInterval is the shortest time between two messages with a daemon's evidence of answers of the new version, and
	// evidenceDelayPerPeer is added for each peer, so that the messages a daemon receives are bounded. The evidence of its failure
	// domain is sent at the same times. Messages hold running totals, so that a lost one is made up for by the next.
	evidenceInterval, evidenceDelayPerPeer = 500 * time.Millisecond, 10 * time.Millisecond
	// promotedEvidenceInterval takes the place of evidenceInterval while a version is promoted: it gets all requests then, and at 500 a
	// second a decision without the evidence of the last 650 ms misses 325 of them.
	promotedEvidenceInterval = 100 * time.Millisecond
	// evidenceRefresh is the time, as a multiple of the interval, after which evidence is sent without new answers of the new
	// version, for daemons that have started since.
	evidenceRefresh = 4
	// rateInterval is the shortest time over which the rate of requests is measured.
	rateInterval = time.Second
	// allRoutes takes the place of a route's name in the baseline of intervals, which depend on the model only.
	allRoutes = ""
	// maxEvidenceSources bounds the daemons and failure domains whose evidence is kept. The target deployment has 370 daemons.
	maxEvidenceSources = 1024
)

// releaseEvidence is the evidence of a release as known to this daemon. It is guarded by releases.mu.
type releaseEvidence struct {
	own          release.Evidence            // without unanswered
	unanswered   map[attemptKey]startedAt    // attempts of the new version
	early        release.EarlyAnswers        // in good time, not counted as such yet
	streams      map[attemptKey]startedAt    // streams of the new version with few events so far
	peers        map[string]peerEvidence     // by name, of the other daemons of the failure domain
	domain       release.Evidence            // of this failure domain, as received from its daemons
	otherDomains map[string]release.Evidence // by name of the domain, of all daemons there
	sentExposed  int64                       // Exposed of the failure domain as last sent
	sentAt       time.Time

	requestsPerSecond float64 // at ratedAt
	ratedRequests     int64
	ratedAt           time.Time
}

// attemptKey identifies an attempt by the request and the endpoint.
type attemptKey struct{ request, endpoint string }

// startedAt is the time at which an attempt was sent, or at which its answer began.
type startedAt struct {
	time.Time
	service, route, model string
}

// baselines hold the times of the versions in use.
type baselines struct{ latencies, intervals *release.Baseline }

// peerEvidence is the evidence of another daemon: that of its running process, and the sum of its earlier processes.
type peerEvidence struct {
	incarnation, previous int64
	current, before       release.Evidence
}

func newReleaseEvidence() releaseEvidence {
	return releaseEvidence{unanswered: map[attemptKey]startedAt{}, streams: map[attemptKey]startedAt{}, peers: map[string]peerEvidence{}, otherDomains: map[string]release.Evidence{}}
}

// receive keeps the evidence of another daemon or failure domain. That of a domain is sent by several daemons and only grows, so
// the larger one is kept. Evidence that is not valid, or above maxEvidenceSources, is ignored.
func (x *releaseEvidence) receive(m notice.Message, ownDomain string) error {
	e, err := release.DecodeEvidence(m.Evidence)
	if err != nil || len(x.peers)+len(x.otherDomains) >= maxEvidenceSources {
		return err
	}
	switch m.Domain {
	case "":
		p := x.peers[m.From]
		switch {
		case m.Incarnation == p.incarnation:
			if e.Requests >= p.current.Requests {
				p.current = e
			}
		case m.Incarnation != p.previous: // a restart must not lose what the earlier process has seen
			p.before.Add(p.current)
			p.previous, p.incarnation, p.current = p.incarnation, m.Incarnation, e
		}
		x.peers[m.From] = p
	case ownDomain:
		if e.Requests >= x.domain.Requests {
			x.domain = e
		}
	default:
		if e.Requests >= x.otherDomains[m.Domain].Requests {
			x.otherDomains[m.Domain] = e
		}
	}
	return nil
}

// ofDaemon returns this daemon's evidence. Attempts and streams count as slow as soon as they are, not only when their answer or
// next event comes.
func (x *releaseEvidence) ofDaemon(b *baselines, now time.Time) release.Evidence {
	x.early.Settle(b.latencies, &x.own, now)
	sum := x.own.Clone()
	for key, start := range x.unanswered {
		if t := b.latencies.CompareLatency(start.service, start.route, start.model, now.Sub(start.Time)); t.Slow > 0 {
			sum.RecordLatency(start.route, key.endpoint, t)
		}
	}
	for key, start := range x.streams {
		if t := b.intervals.CompareInterval(start.service, allRoutes, start.model, now.Sub(start.Time)/pipeline.PaceIntervals); t.Sum > 0 {
			sum.RecordInterval(start.route, key.endpoint, t)
		}
	}
	return sum
}

// ofDomain returns the evidence of all daemons of the failure domain: that of this daemon and what it has received, or the sum
// that another one has sent if that is larger, as it is after a restart of this daemon.
func (x *releaseEvidence) ofDomain(b *baselines, now time.Time) release.Evidence {
	sum := x.ofDaemon(b, now)
	for _, p := range x.peers {
		sum.Add(p.before)
		sum.Add(p.current)
	}
	if x.domain.Requests > sum.Requests {
		return x.domain.Clone()
	}
	return sum
}

// total returns the evidence of all daemons.
func (x *releaseEvidence) total(b *baselines, now time.Time) release.Evidence {
	sum := x.ofDomain(b, now)
	for _, e := range x.otherDomains {
		sum.Add(e)
	}
	return sum
}

// rate returns the requests per second of all daemons at present, given their number since the order.
func (x *releaseEvidence) rate(requests int64, now time.Time) float64 {
	elapsed := now.Sub(x.ratedAt)
	switch {
	case x.ratedAt.IsZero():
		x.ratedRequests, x.ratedAt = requests, now
	case elapsed >= rateInterval:
		latest := float64(max(0, requests-x.ratedRequests)) / elapsed.Seconds()
		x.requestsPerSecond = (x.requestsPerSecond + latest) / 2
		x.ratedRequests, x.ratedAt = requests, now
	}
	return x.requestsPerSecond
}

// runningFor returns the release of a service if it is running, and whether a version is its new one. The caller holds
// releases.mu.
func (r *releases) runningFor(service, version string) (t *trackedRelease, isNew bool) {
	t = r.tracked[service]
	if t == nil || t.phase == release.Completed || t.phase == release.Reverted {
		return nil, false
	}
	return t, version == t.target
}

// isInUse reports whether the times of a version are compared with: it is neither new nor was it taken back. The caller holds
// releases.mu.
func (r *releases) isInUse(service, version string) bool {
	t := r.tracked[service]
	return t == nil || version != t.target || t.phase == release.Completed
}

// begin records that an attempt is being sent.
func (r *releases) begin(a dispatch.RoutedAttempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, isNew := r.runningFor(a.Service, a.Release)
	if t == nil {
		return
	}
	t.evidence.own.Requests++
	if isNew {
		t.evidence.own.Exposed++
		t.evidence.unanswered[attemptKey{a.Request, a.Endpoint}] = startedAt{time.Now(), a.Service, a.Route, a.Model}
	}
}

// end records the result of an attempt. An endpoint that could not be reached, or that refused the request, says nothing about its
// version, and neither does one whose caller left, unless it was slow by then.
func (r *releases) end(a dispatch.RoutedAttempt) {
	judged := !errors.Is(a.Err, engine.ErrUnreachable) && !errors.Is(a.Err, engine.ErrBusy) && !errors.Is(a.Err, engine.ErrMisdirected)
	failed := (a.Err != nil || a.IsFailure()) && !a.Abandoned
	r.mu.Lock()
	defer r.mu.Unlock()
	t, isNew := r.runningFor(a.Service, a.Release)
	var scaled release.Scaled
	if judged && !failed && !a.Abandoned && r.isInUse(a.Service, a.Release) {
		if t != nil { // before it becomes part of what it is compared with, as an answer of the new version
			scaled = r.baselines.latencies.CompareScaled(a.Service, a.Route, a.Model, a.Latency)
		}
		r.baselines.latencies.Add(a.Service, a.Route, a.Model, a.Latency)
	}
	if t == nil {
		return
	}
	delete(t.evidence.unanswered, attemptKey{a.Request, a.Endpoint})
	answer := release.Answer{Route: a.Route, Endpoint: a.Endpoint, New: isNew, Failed: failed, Scaled: scaled}
	if isNew && !failed {
		answer.Latency = r.baselines.latencies.CompareLatency(a.Service, a.Route, a.Model, a.Latency)
		if judged && !a.Abandoned && answer.Latency.Slow == 0 && t.evidence.early.Add(a.Service, a.Route, a.Model, a.Endpoint, time.Now().Add(-a.Latency), answer.Latency) {
			answer.Latency = release.Timing{}
		}
	}
	if judged && (!a.Abandoned || answer.Latency.Slow > 0) {
		t.evidence.own.Record(answer)
	}
}

// BeginStream implements pipeline.Releases.
func (r *releases) BeginStream(s pipeline.Stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t, isNew := r.runningFor(s.Service, s.Version); isNew {
		t.evidence.streams[attemptKey{s.Request, s.Endpoint}] = startedAt{time.Now(), s.Service, s.Route, s.Model}
	}
}

// RecordPace implements pipeline.Releases.
func (r *releases) RecordPace(s pipeline.Stream, interval time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if interval > 0 && r.isInUse(s.Service, s.Version) {
		r.baselines.intervals.Add(s.Service, allRoutes, s.Model, interval)
	}
	t, isNew := r.runningFor(s.Service, s.Version)
	if !isNew {
		return
	}
	delete(t.evidence.streams, attemptKey{s.Request, s.Endpoint})
	if interval > 0 {
		t.evidence.own.RecordInterval(s.Route, s.Endpoint, r.baselines.intervals.CompareInterval(s.Service, allRoutes, s.Model, interval))
	}
}

// sendEvidence sends this daemon's evidence to the peers of its failure domain, and the whole domain's evidence to all daemons. Only
// the first notice.RelaysPerDomain daemons of a domain send the latter.
func (r *releases) sendEvidence(rel *object.Release, t *trackedRelease, now time.Time) {
	x := r.g.exchange.Load()
	if x == nil || rel.State != object.ReleaseRunning {
		return
	}
	interval := time.Duration(r.g.view.domainPeers()) * evidenceDelayPerPeer
	r.mu.Lock()
	if t.phase == release.Promoted {
		interval += promotedEvidenceInterval
	} else {
		interval += evidenceInterval
	}
	domain := t.evidence.ofDomain(r.baselines, now)
	since := now.Sub(t.evidence.sentAt)
	if since < interval || since < evidenceRefresh*interval && domain.Exposed == t.evidence.sentExposed {
		r.mu.Unlock()
		return
	}
	t.evidence.sentAt, t.evidence.sentExposed = now, domain.Exposed
	m := notice.Message{
		Service: rel.Service, Order: rel.Order, From: r.g.spec.Name, Incarnation: r.g.startedAt.UnixNano(), Age: time.Since(t.firstSeen), Evidence: t.evidence.ofDaemon(r.baselines, now).Encode(),
	}
	r.mu.Unlock()
	err := x.SendToDomain(r.g.spec.Domain, m)
	if r.g.view.domainRank() < notice.RelaysPerDomain {
		m.Evidence, m.Domain = domain.Encode(), r.g.spec.Domain
		err = errors.Join(err, x.SendToDomain(r.g.spec.Domain, m), x.SendToOtherDomains(r.g.spec.Domain, m))
	}
	if err != nil {
		r.g.log.WithField("service", rel.Service).WithError(err).Debug("sending evidence to peers failed")
	}
}
