package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/notice"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/pause"
	"github.com/bramleytrail/bramleytrail/release"
)

const (
	// releaseStep is the interval at which releases are looked at.
	releaseStep = 300 * time.Millisecond
	// rankDelay is the time by which each daemon waits for the one before it to write a decision that all can make.
	rankDelay = 800 * time.Millisecond
	// evidencePause is the time between two messages with a daemon's evidence, or that of its failure domain, which pass one
	// after the other. A lost message is made up for by the next.
	evidencePause = 500 * time.Millisecond
	// sessionMargin is added to the time within which requests belong to one session, for messages on their way.
	sessionMargin = 500 * time.Millisecond
)

// progress is the state of a release that all daemons share.
type progress struct {
	Order uint64        `json:"order"`
	Phase release.Phase `json:"phase"`
}

// tracked is what this daemon knows of the newest release of a service.
type tracked struct {
	order    uint64
	target   string
	seen     time.Time // when the first daemon saw the order, as far as this one knows
	heard    time.Time // since when this daemon hears which sessions are in use
	phase    release.Phase
	evidence release.Evidence            // this daemon's own
	others   map[string]release.Evidence // of the other daemons of the failure domain, by name
	domains  map[string]release.Evidence // of the daemons of other failure domains together
	told     release.Evidence            // own evidence as last sent
	toldNear release.Evidence            // evidence of the failure domain as last sent
	toldAt   time.Time
	due      time.Time // when this daemon writes a decision that it has made
	pending  release.Phase
	sessions *release.Sessions // in use on the old version
}

// releases follows the releases of services.
type releases struct {
	g    *Gateway
	wake chan struct{}

	mu      sync.Mutex
	tracked map[string]*tracked // by service
}

func newReleases(g *Gateway) *releases {
	return &releases{g: g, wake: make(chan struct{}, 1), tracked: map[string]*tracked{}}
}

// signal has the releases looked at soon.
func (r *releases) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Assign implements pipeline.Releases.
func (r *releases) Assign(view *config.View, service string, session uint64, again bool) (only, not string) {
	rel := releaseOf(view, service)
	if rel == nil {
		return "", ""
	}
	switch r.phase(rel) {
	case release.Completed, release.Moved:
		if r.g.pool.Usable(service, rel.Target, time.Now()) > 0 {
			return rel.Target, ""
		}
		return "", ""
	case release.Trial:
		if !again && r.onTrial(rel, session, time.Now()) {
			return rel.Target, ""
		}
	}
	return "", rel.Target
}

// onTrial reports whether a session goes to the new version first. Those that are in use on the old version stay there.
// For the time within which requests belong to one session, the daemons only tell each other which are in use.
func (r *releases) onTrial(rel *object.Release, session uint64, now time.Time) bool {
	if !release.OnTrial(session, r.g.spec.ExposureShare) || r.g.pool.Usable(rel.Service, rel.Target, now) == 0 {
		return false
	}
	r.mu.Lock()
	t := r.tracked[rel.Service]
	r.mu.Unlock()
	if t == nil || t.order != rel.Order || now.Sub(t.heard) < r.g.spec.SessionGap+sessionMargin {
		return false
	}
	return !t.sessions.InUse(session, now)
}

// Used implements pipeline.Releases.
func (r *releases) Used(service, version string, session uint64, limit time.Duration, ended bool) {
	r.mu.Lock()
	t := r.tracked[service]
	r.mu.Unlock()
	if t == nil || version == t.target || !release.OnTrial(session, r.g.spec.ExposureShare) {
		return
	}
	r.mu.Lock()
	phase := t.phase
	r.mu.Unlock()
	if phase != release.Trial {
		return
	}
	use := r.g.spec.SessionGap + sessionMargin
	if !ended {
		use += limit
	}
	now := time.Now()
	t.sessions.Use(session, now.Add(use), now)
	r.tell(notice.Message{Service: service, Order: t.order, Session: session, For: use})
}

func (r *releases) tell(m notice.Message) {
	r.mu.Lock()
	if t := r.tracked[m.Service]; t != nil && t.order == m.Order {
		m.Age = time.Since(t.seen)
	}
	r.mu.Unlock()
	x := r.g.notices.Load()
	if x == nil {
		return
	}
	if err := x.SendAll(r.g.spec.Domain, m); err != nil {
		r.g.log.WithField("service", m.Service).WithError(err).Debug("message to the other daemons not sent")
	}
}

// hear takes a message of another daemon.
func (r *releases) hear(m notice.Message) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tracked[m.Service]
	if t == nil || t.order != m.Order {
		return
	}
	if first := now.Add(-min(m.Age, maxAge)); first.Before(t.seen) { // this daemon has started since
		t.seen = first
	}
	if m.From != "" {
		t.learn(m)
		return
	}
	if m.Phase == "" {
		t.sessions.Use(m.Session, now.Add(min(m.For, maxUse)), now)
		return
	}
	if p := release.Phase(m.Phase); p == release.Moved && t.phase == release.Trial || p == release.Reverted && t.phase != release.Completed && t.phase != p {
		r.g.log.WithField("service", m.Service).WithField("order", m.Order).WithField("phase", t.phase).WithField("next", p).Info("release's phase heard")
		t.phase = p
	}
}

// learn keeps evidence of other daemons. Several tell that of a failure domain; it only grows.
func (t *tracked) learn(m notice.Message) {
	e, ok := release.FromNumbers(m.Evidence)
	if !ok || len(t.others)+len(t.domains) >= maxReporters {
		return
	}
	if m.Domain == "" {
		t.others[m.From] = e
		return
	}
	if old := t.domains[m.Domain]; e.New.Answers+e.Old.Answers >= old.New.Answers+old.Old.Answers {
		t.domains[m.Domain] = e
	}
}

// maxAge bounds the age of an order that a message may state.
const maxAge = 24 * time.Hour

// maxReporters bounds the daemons whose evidence is kept; the target has 370.
const maxReporters = 1024

// maxUse bounds the time for which a message keeps a session on the old version.
const maxUse = time.Minute

// announcedPhase returns the last phase of a release if the operators have been told that it has ended.
func announcedPhase(rel *object.Release) (p release.Phase, ended bool) {
	switch rel.State {
	case object.ReleaseCompleted:
		return release.Completed, true
	case object.ReleaseRolledBack:
		return release.Reverted, true
	}
	return "", false
}

func (r *releases) phase(rel *object.Release) release.Phase {
	if p, ok := announcedPhase(rel); ok {
		return p
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.tracked[rel.Service]; t != nil && t.order == rel.Order {
		return t.phase
	}
	return release.Trial
}

// Count implements pipeline.Releases.
func (r *releases) Count(service, version string, failed bool, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tracked[service]
	if t == nil || t.phase == release.Completed || t.phase == release.Reverted {
		return
	}
	c := &t.evidence.Old
	if version == t.target {
		c = &t.evidence.New
	}
	c.Answers++
	if failed {
		c.Failures++
		return
	}
	c.Latency += latency
}

func (r *releases) run() {
	for r.g.ctx.Err() == nil {
		if view := r.g.config.View(); view != nil {
			for _, rel := range view.Releases {
				r.step(rel, time.Now())
			}
		}
		timer := time.NewTimer(releaseStep)
		select {
		case <-timer.C:
		case <-r.wake:
			_ = pause.For(r.g.ctx, releaseStep/3)
		case <-r.g.ctx.Done():
		}
		timer.Stop()
	}
}

// step decides on one release and writes what is due.
func (r *releases) step(rel *object.Release, now time.Time) {
	t := r.track(rel, now)
	shared := r.sharedPhase(rel)
	total := r.total(t)
	r.mu.Lock()
	before := t.phase
	if t.phase != release.Reverted && t.phase != release.Completed && later(shared, t.phase) {
		r.log(rel, t, shared, total).Info("release's phase learned")
		t.phase = shared
	}
	next := release.Next(t.phase, total, rel, now.Sub(t.seen))
	if next == release.Reverted && t.phase != next { // no daemon waits for another one
		r.log(rel, t, next, total).Warn("release taken back")
		t.phase = next
	}
	if next != t.pending {
		t.pending = next
		t.due = now.Add(time.Duration(r.g.view.rank()) * rankDelay)
	}
	due, after := !now.Before(t.due), t.phase
	r.mu.Unlock()
	if after != before {
		r.tell(notice.Message{Service: rel.Service, Order: rel.Order, Phase: string(after)})
	}
	r.tellEvidence(rel, t, now)
	if due {
		r.write(rel, t, next, total)
	}
}

func (r *releases) track(rel *object.Release, now time.Time) *tracked {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tracked[rel.Service]
	if t == nil || t.order != rel.Order {
		t = &tracked{
			order: rel.Order, target: rel.Target, seen: now, heard: now, phase: release.Trial,
			others: map[string]release.Evidence{}, domains: map[string]release.Evidence{}, sessions: release.NewSessions(),
		}
		r.tracked[rel.Service] = t
		r.g.log.WithField("service", rel.Service).WithField("target", rel.Target).WithField("order", rel.Order).Info("release ordered")
	}
	return t
}

var phaseOrder = map[release.Phase]int{release.Trial: 0, release.Moved: 1, release.Completed: 2, release.Reverted: 3}

func later(a, b release.Phase) bool { return phaseOrder[a] > phaseOrder[b] }

func releaseKey(service string) string { return releasePrefix + service + "/phase" }

// sharedPhase returns the phase that the daemons agreed on.
func (r *releases) sharedPhase(rel *object.Release) release.Phase {
	if p, ok := announcedPhase(rel); ok {
		return p
	}
	e, ok := r.g.view.entry(releaseKey(rel.Service))
	if !ok {
		return release.Trial
	}
	var p progress
	if err := json.Unmarshal(e.Value, &p); err != nil || p.Order != rel.Order {
		return release.Trial // of an earlier order
	}
	return p.Phase
}

// total returns the evidence of all daemons.
func (r *releases) total(t *tracked) release.Evidence {
	sum := r.near(t)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range t.domains {
		sum.Add(e)
	}
	return sum
}

// near returns the evidence of the failure domain's daemons.
func (r *releases) near(t *tracked) release.Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := t.evidence
	for _, e := range t.others {
		sum.Add(e)
	}
	return sum
}

// tellEvidence tells the other daemons of the failure domain what this one has seen, and the other domains what all of this one
// have seen, if that is more than at the last message. The first daemons of the domain do the latter.
func (r *releases) tellEvidence(rel *object.Release, t *tracked, now time.Time) {
	x := r.g.notices.Load()
	if x == nil || rel.State != object.ReleaseRunning || now.Sub(t.toldAt) < evidencePause {
		return
	}
	t.toldAt = now
	near := r.near(t)
	r.mu.Lock()
	own := t.evidence
	m := notice.Message{Service: rel.Service, Order: rel.Order, From: r.g.spec.Name, Age: time.Since(t.seen)}
	r.mu.Unlock()
	var err error
	if own.New.Answers > t.told.New.Answers {
		t.told = own
		m.Evidence = own.Numbers()
		err = x.SendIn(r.g.spec.Domain, m)
	}
	if near.New.Answers > t.toldNear.New.Answers && r.g.view.nearRank() < notice.Relays {
		t.toldNear = near
		m.Evidence, m.Domain = near.Numbers(), r.g.spec.Domain
		err = errors.Join(err, x.SendBeyond(r.g.spec.Domain, m))
	}
	if err != nil {
		r.g.log.WithField("service", rel.Service).WithError(err).Debug("evidence not sent to the other daemons")
	}
}

// write stores a decision for the other daemons and for the operators.
func (r *releases) write(rel *object.Release, t *tracked, next release.Phase, total release.Evidence) {
	state := rel.State
	switch next {
	case release.Completed:
		state = object.ReleaseCompleted
	case release.Reverted:
		state = object.ReleaseRolledBack
	case release.Moved:
		if r.sharedPhase(rel) == release.Trial {
			r.writePhase(rel, t, next, total)
		}
	}
	if state == rel.State && rel.Announced {
		return
	}
	told := *rel
	told.State = state
	key, value, err := r.g.spec.Documents.Status(told)
	if err != nil {
		r.g.log.WithError(err).Error("state of the release not encoded")
		return
	}
	if r.cas(key, value) {
		r.log(rel, t, next, total).Info("state of the release written")
	}
}

func (r *releases) writePhase(rel *object.Release, t *tracked, next release.Phase, total release.Evidence) {
	value, err := json.Marshal(progress{rel.Order, next})
	if err != nil {
		r.g.log.WithError(err).Error("phase not encoded")
		return
	}
	if !r.cas(releaseKey(rel.Service), value) {
		return
	}
	r.mu.Lock()
	r.log(rel, t, next, total).Info("release's phase written")
	if t.phase == release.Trial {
		t.phase = next
	}
	r.mu.Unlock()
	r.tell(notice.Message{Service: rel.Service, Order: rel.Order, Phase: string(next)})
}

// cas writes a value if the entry is as this daemon knows it.
func (r *releases) cas(key string, value []byte) bool {
	var prev uint64
	if e, ok := r.g.view.entry(key); ok {
		prev = e.Revision
	}
	_, err := r.g.spec.Store.CAS(r.g.ctx, key, value, prev, 0)
	if err != nil && !errors.Is(err, kv.ErrConflict) {
		r.g.log.WithField("key", key).WithError(err).Warn("store not written")
	}
	return err == nil
}

func (r *releases) log(rel *object.Release, t *tracked, next release.Phase, e release.Evidence) *logrus.Entry {
	return r.g.log.WithFields(logrus.Fields{
		"service": rel.Service, "target": rel.Target, "order": rel.Order, "phase": t.phase, "next": next,
		"new": fmt.Sprintf("%d/%d failed", e.New.Failures, e.New.Answers), "old": fmt.Sprintf("%d/%d failed", e.Old.Failures, e.Old.Answers),
	})
}
