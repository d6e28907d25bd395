package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/keyed"
	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/notice"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/pause"
	"github.com/bramleytrail/bramleytrail/release"
)

const (
	// evaluateInterval is the longest time between two evaluations of a release, and promotedInterval that while a version is
	// promoted, when each delay reaches all requests.
	evaluateInterval, promotedInterval = 300 * time.Millisecond, 100 * time.Millisecond
	// writeDelayPerRank is the time for which a daemon delays the write of a decision, for each daemon of lower rank. All daemons
	// can make the decision, but one write is enough.
	writeDelayPerRank = 800 * time.Millisecond
	// completionWriteReserve is the time before the deadline at which the second daemon writes a completion that the first one has not, as when
	// it died during the wait for evidence, and minCompletionDelay its shortest delay. A write after the first one changes nothing.
	completionWriteReserve, minCompletionDelay = 350 * time.Millisecond, 150 * time.Millisecond
	// sessionMargin is added to Spec.SessionGap for messages that are still in transit.
	sessionMargin = 500 * time.Millisecond
)

// phaseRecord is the phase of a release as stored for all daemons. Order identifies the release.
type phaseRecord struct {
	Order kv.Revision   `json:"order"`
	Phase release.Phase `json:"phase"`
}

// trackedRelease is this daemon's state of the newest release of a service. Fields that change are guarded by releases.mu, except
// sessions, which has its own lock.
type trackedRelease struct {
	order        kv.Revision
	target       string
	firstSeen    time.Time // when the first daemon saw the order, as far as known here
	trackedSince time.Time // since when this daemon is notified which sessions are in use
	phase        release.Phase
	evidence     releaseEvidence
	atPromotion  release.Evidence // of all daemons, from before the promotion
	promotedAt   time.Time        // zero before the promotion
	due          time.Time        // when this daemon writes the pending decision
	pending      release.Phase
	wait         completionWait
	restored     bool              // the store was restored during the release, so that its state may have to be written again
	sameUntil    time.Time         // until when another order for the same version is this one, which operators write again after a restore
	sessions     *release.Sessions // that are in use on the old version
}

// releases moves services to new versions: it assigns sessions to versions, collects evidence from all daemons and advances the
// phases. It implements pipeline.Releases.
type releases struct {
	g    *Gateway
	wake chan struct{}

	baselines *baselines

	mu      sync.Mutex
	tracked map[string]*trackedRelease // by service
}

func newReleases(g *Gateway) *releases {
	return &releases{g: g, wake: make(chan struct{}, 1), baselines: &baselines{release.NewBaseline(), release.NewBaseline()}, tracked: map[string]*trackedRelease{}}
}

// signal requests an evaluation of all releases, which run makes soon.
func (r *releases) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Assign implements pipeline.Releases.
func (r *releases) Assign(view *config.View, service string, session uint64, isSession, retry bool) (required, excluded string) {
	rel := releaseOf(view, service)
	if rel == nil {
		return "", ""
	}
	switch r.phase(rel) {
	case release.Completed, release.Promoted:
		if r.g.pool.CountUsable(service, rel.TargetVersion, time.Now()) > 0 {
			return rel.TargetVersion, ""
		}
		return "", ""
	case release.Canary:
		if !retry && r.inCanary(rel, session, isSession, time.Now()) {
			return rel.TargetVersion, ""
		}
	}
	return "", rel.TargetVersion
}

// inCanary reports whether a request goes to the new version in the canary phase. Sessions that are in use on the old version
// stay there. For Spec.SessionGap after this daemon learned of the release, no session goes to the new version: the daemons
// only notify each other of the sessions in use.
func (r *releases) inCanary(rel *object.Release, session uint64, isSession bool, now time.Time) bool {
	if !release.InCanary(session, isSession, r.g.spec.Exposure.Share) || r.g.pool.CountUsable(rel.Service, rel.TargetVersion, now) == 0 {
		return false
	}
	r.mu.Lock()
	t := r.tracked[rel.Service]
	known := t != nil && t.isOf(rel, now)
	r.mu.Unlock()
	switch {
	case !known:
		return false
	case !isSession:
		return true
	}
	return now.Sub(t.trackedSince) >= r.g.spec.SessionGap+sessionMargin && !t.sessions.InUse(session, now)
}

// Used implements pipeline.Releases.
func (r *releases) Used(service, version, team string, session uint64, limit time.Duration, ended bool) {
	r.mu.Lock()
	t := r.tracked[service]
	r.mu.Unlock()
	if t == nil || version == t.target || !release.InCanary(session, true, r.g.spec.Exposure.Share) {
		return
	}
	r.mu.Lock()
	phase, order := t.phase, t.order
	r.mu.Unlock()
	if phase != release.Canary {
		return
	}
	inUseFor := r.g.spec.SessionGap + sessionMargin
	if !ended {
		inUseFor += limit
	}
	owner := keyed.OwnerOf(team)
	t.sessions.MarkInUse(owner, session, time.Now().Add(inUseFor))
	r.broadcast(notice.Message{Service: service, Order: order, Session: session, SessionTeam: owner, InUseFor: inUseFor, Minor: ended})
}

// pushedOut returns the number of sessions that full sets have dropped, in the releases that are tracked.
func (r *releases) pushedOut() (n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.tracked {
		n += t.sessions.PushedOut()
	}
	return n
}

// broadcast sends a message about a release to all other daemons, with the age of the order.
func (r *releases) broadcast(m notice.Message) {
	r.mu.Lock()
	if t := r.tracked[m.Service]; t != nil && t.order == m.Order {
		m.Age = time.Since(t.firstSeen)
	}
	r.mu.Unlock()
	x := r.g.exchange.Load()
	if x == nil {
		return
	}
	if err := x.SendAll(r.g.spec.Domain, m); err != nil {
		r.g.log.WithField("service", m.Service).WithError(err).Debug("sending message about the release to peers failed")
	}
}

// receive applies a message of another daemon: evidence, a session in use on the old version, or a phase that the release has
// reached. Messages about other orders are ignored.
func (r *releases) receive(m notice.Message) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tracked[m.Service]
	if t == nil || t.order != m.Order {
		return
	}
	if first := now.Add(-min(m.Age, maxOrderAge)); first.Before(t.firstSeen) { // this daemon started after the order
		t.firstSeen = first
	}
	if m.From != "" {
		if err := t.evidence.receive(m, r.g.spec.Domain); err != nil {
			r.g.log.WithField("service", m.Service).WithField("from", m.From).WithError(err).Debug("evidence of a peer is not valid")
		}
		return
	}
	if m.Phase == "" {
		t.sessions.MarkInUse(m.SessionTeam, m.Session, now.Add(min(m.InUseFor, maxSessionHold)))
		return
	}
	if p := release.Hear(t.phase, release.Phase(m.Phase)); p != t.phase {
		r.g.log.WithField("service", m.Service).WithField("order", m.Order).WithField("phase", t.phase).WithField("next", p).Info("release's phase heard")
		r.enter(t, p)
	}
}

// enter changes the phase. The caller holds releases.mu.
func (r *releases) enter(t *trackedRelease, p release.Phase) {
	if p == release.Promoted && t.phase == release.Canary {
		t.atPromotion, t.promotedAt = t.evidence.total(r.baselines, time.Now()), time.Now()
	}
	t.phase = p
}

// maxOrderAge is the largest age of an order that is accepted from a message.
const maxOrderAge = 24 * time.Hour

// maxSessionHold is the longest time for which a message keeps a session on the old version.
const maxSessionHold = time.Minute

// finalPhase returns the final phase of a release, and whether the state that operators see says that it has ended.
func finalPhase(rel *object.Release) (p release.Phase, ended bool) {
	switch rel.State {
	case object.ReleaseCompleted:
		return release.Completed, true
	case object.ReleaseRolledBack:
		return release.Reverted, true
	}
	return "", false
}

// phase returns the phase of a release as this daemon knows it.
func (r *releases) phase(rel *object.Release) release.Phase {
	if p, ok := finalPhase(rel); ok {
		return p
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.tracked[rel.Service]; t != nil && t.isOf(rel, time.Now()) {
		return t.phase
	}
	return release.Canary
}

// run evaluates all releases at intervals and after changes in the store, until the daemon stops.
func (r *releases) run() {
	for r.g.ctx.Err() == nil {
		if view := r.g.config.View(); view != nil {
			for _, rel := range view.Releases {
				r.evaluate(rel, time.Now())
			}
		}
		timer := time.NewTimer(r.interval())
		select {
		case <-timer.C:
		case <-r.wake:
			_ = pause.For(r.g.ctx, evaluateInterval/3)
		case <-r.g.ctx.Done():
		}
		timer.Stop()
	}
}

// interval returns the time until the next evaluation.
func (r *releases) interval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.tracked {
		if t.phase == release.Promoted {
			return promotedInterval
		}
	}
	return evaluateInterval
}

// evaluate decides on the next phase of a release, and writes the decision when this daemon's turn has come. A revert takes effect
// on this daemon at once.
func (r *releases) evaluate(rel *object.Release, now time.Time) {
	t := r.track(rel, now)
	stored, ended := r.storedPhase(rel)
	endpoints := r.g.pool.CountUsable(rel.Service, rel.TargetVersion, now)
	r.mu.Lock()
	before := t.phase
	if p := release.Learn(t.phase, stored, ended); p != t.phase {
		r.log(rel, t, p).Info("release's phase learned")
		r.enter(t, p)
	}
	state := r.state(t, now, endpoints)
	next := release.NextPhase(state, rel, r.g.spec.Exposure)
	r.observeWait(rel, t, state, next, now)
	if next == release.Reverted && t.phase != next { // a revert does not wait for other daemons
		r.log(rel, t, next).Warn("release taken back")
		r.enter(t, next)
	}
	if next != t.pending {
		t.pending = next
		t.due = now.Add(writeDelay(r.g.view.rank(), next, t.firstSeen.Add(rel.Duration).Sub(now)))
	}
	due, after := !now.Before(t.due), t.phase
	r.mu.Unlock()
	if after != before {
		r.broadcast(notice.Message{Service: rel.Service, Order: rel.Order, Phase: string(after)})
	}
	r.sendEvidence(rel, t, now)
	if due && !ended && (after != release.Completed || t.restored) { // without a restore, this daemon or another one has read the completion from the store
		r.writeDecision(rel, t, next)
	}
}

// state returns what is known about the release. The caller holds releases.mu.
func (r *releases) state(t *trackedRelease, now time.Time, endpoints int) release.State {
	total := t.evidence.total(r.baselines, now)
	return release.State{
		Phase: t.phase, Elapsed: now.Sub(t.firstSeen), Evidence: total, AtPromotion: t.atPromotion, PromotedAt: t.promotedAt.Sub(t.firstSeen), Rate: t.evidence.rate(total.Requests, now), Endpoints: endpoints,
	}
}

// isOf reports whether t is the state of a release. An order for the same version in a newer era of the store is the same order: the
// revision counts as of that era, or the operators wrote the order again. They may also write an order again that the restored store has.
func (t *trackedRelease) isOf(rel *object.Release, now time.Time) bool {
	return t.order == rel.Order || t.target == rel.TargetVersion && t.order.Compare(rel.Order) < 0 && (t.order.Era < rel.Order.Era || now.Before(t.sameUntil))
}

// track returns the state of a release, which it creates for a new order.
func (r *releases) track(rel *object.Release, now time.Time) *trackedRelease {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tracked[rel.Service]
	if t != nil && t.order != rel.Order && t.isOf(rel, now) {
		r.g.log.WithField("service", rel.Service).WithField("target", rel.TargetVersion).WithField("order", rel.Order).WithField("before", t.order).
			WithField("phase", t.phase).Info("release continued after a restore of the store")
		if t.order.Era < rel.Order.Era {
			t.sameUntil = now.Add(restoreSettle)
		}
		t.order, t.pending, t.restored = rel.Order, "", true
	}
	if t == nil || t.order != rel.Order {
		if t != nil {
			r.endWait(t, rel.Service, endedByUnordered, now)
		}
		t = &trackedRelease{
			order: rel.Order, target: rel.TargetVersion, firstSeen: now, trackedSince: now, phase: release.Canary,
			evidence: newReleaseEvidence(), sessions: release.NewSessions(),
		}
		r.tracked[rel.Service] = t
		r.g.log.WithField("service", rel.Service).WithField("target", rel.TargetVersion).WithField("order", rel.Order).Info("release ordered")
	}
	return t
}

// releaseKey returns the key of the phaseRecord of a service's release.
func releaseKey(service string) string { return releasePrefix + service + "/phase" }

// storedPhase returns the phase that the daemons have agreed on, and whether the release has ended: the final one if it has, else that
// of the phaseRecord in the store.
func (r *releases) storedPhase(rel *object.Release) (p release.Phase, ended bool) {
	if p, ok := finalPhase(rel); ok {
		return p, true
	}
	e, ok := r.g.view.entry(releaseKey(rel.Service))
	if !ok {
		return release.Canary, false
	}
	var record phaseRecord
	if err := json.Unmarshal(e.Value, &record); err != nil || record.Order != rel.Order {
		return release.Canary, false // the record is damaged or of an earlier order
	}
	return record.Phase, false
}

// writeDecision stores a decision: the phase for the other daemons, and the state of the release for the operators.
func (r *releases) writeDecision(rel *object.Release, t *trackedRelease, next release.Phase) {
	state := rel.State
	switch next {
	case release.Completed:
		state = object.ReleaseCompleted
	case release.Reverted:
		state = object.ReleaseRolledBack
	case release.Promoted:
		if stored, _ := r.storedPhase(rel); stored == release.Canary {
			r.writePhase(rel, t, next)
		}
	}
	if state == rel.State && rel.Announced {
		return
	}
	updated := *rel
	updated.State = state
	key, value, err := r.g.spec.Documents.Status(updated)
	if err != nil {
		r.g.log.WithError(err).Error("encoding the release's state failed")
		return
	}
	if r.storeState(rel, key, value) {
		r.mu.Lock()
		r.log(rel, t, next).Info("state of the release written")
		r.mu.Unlock()
	}
}

// writePhase stores the phase for the other daemons, adopts it and broadcasts it.
func (r *releases) writePhase(rel *object.Release, t *trackedRelease, next release.Phase) {
	value, err := json.Marshal(phaseRecord{rel.Order, next})
	if err != nil {
		r.g.log.WithError(err).Error("encoding the release's phase failed")
		return
	}
	if !r.cas(releaseKey(rel.Service), value) {
		return
	}
	r.mu.Lock()
	r.log(rel, t, next).Info("release's phase written")
	if t.phase == release.Canary {
		r.enter(t, next)
	}
	r.mu.Unlock()
	r.broadcast(notice.Message{Service: rel.Service, Order: rel.Order, Phase: string(next)})
}

// storeState writes the state of a release over the one on which the decision was made, if the order is still in force. A decision on an
// older state must not replace a newer one: the platform acts on each.
func (r *releases) storeState(rel *object.Release, key string, value []byte) bool {
	store, ok := r.g.spec.Store.(kv.ConditionalWriter)
	if !ok {
		_, err := r.g.spec.Store.CAS(r.g.ctx, key, value, rel.StateRevision, 0)
		return r.written(key, err)
	}
	order := kv.Condition{Key: r.g.spec.Documents.OrderKey(rel.Service), Revision: rel.Order}
	_, err := store.CASIf(r.g.ctx, order, key, value, rel.StateRevision, 0)
	return r.written(key, err)
}

// cas writes a value if the entry still has the revision that this daemon knows. It returns false if another daemon was first or
// the call failed.
func (r *releases) cas(key string, value []byte) bool {
	var prev kv.Revision
	if e, ok := r.g.view.entry(key); ok {
		prev = e.Revision
	}
	_, err := r.g.spec.Store.CAS(r.g.ctx, key, value, prev, 0)
	return r.written(key, err)
}

// written reports whether a write succeeded, and logs its failure unless another daemon was first.
func (r *releases) written(key string, err error) bool {
	if err != nil && !errors.Is(err, kv.ErrConflict) {
		r.g.log.WithField("key", key).WithError(err).Warn("writing to the store failed")
	}
	return err == nil
}

// log returns a log entry with fields for a release, its phases and its evidence. The caller holds r.mu.
func (r *releases) log(rel *object.Release, t *trackedRelease, next release.Phase) *logrus.Entry {
	total := t.evidence.total(r.baselines, time.Now())
	newVersion, old := total.Totals()
	return r.g.log.WithFields(logrus.Fields{
		"service": rel.Service, "target": rel.TargetVersion, "order": rel.Order, "phase": t.phase, "next": next,
		"new": fmt.Sprintf("%d/%d failed", newVersion.Failures, newVersion.Answers), "old": fmt.Sprintf("%d/%d failed", old.Failures, old.Answers),
		"slow": newVersion.Latency.String(), "slow_expected": total.ExpectedSlow(), "slow_streams": newVersion.Interval.String(), "exposed": fmt.Sprintf("%d/%d", total.Exposed, total.Requests),
		"suspicion": total.Suspicion(r.g.pool.CountUsable(rel.Service, rel.TargetVersion, time.Now())),
		"age_ms":    time.Since(t.firstSeen).Milliseconds(), "duration_ms": rel.Duration.Milliseconds(),
		"peers": len(t.evidence.peers), "other_domains": len(t.evidence.otherDomains),
	})
}
