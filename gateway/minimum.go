package gateway

import (
	"cmp"
	"maps"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/notice"
)

const (
	// minimumPeers is the number of other daemons whose answers a starting daemon waits for. Most of a deployment serves while a few
	// daemons start, so that three that all start themselves are rare.
	minimumPeers = 3
	// minimumWait is the longest time for which a starting daemon waits for answers, and minimumRepeat the time between two rounds of
	// questions. A lost answer costs one round.
	minimumWait, minimumRepeat = time.Second, 100 * time.Millisecond
	// maxMinimumAnswers bounds the answers of a daemon in a second: those to 370 daemons that start within a second and ask minimumPeers
	// others each, several times over. An answer has about 100 bytes.
	maxMinimumAnswers = 50
)

// minimumState says whether the content of the store may be put in force at a daemon that starts.
type minimumState struct {
	askedAt   time.Time
	peers     int                       // that can be asked
	answers   map[string]notice.Minimum // by peer
	settledAt time.Time                 // when the peers no longer hold what the restored store has differently
}

// add adds the answer of a peer. own is the revision of the content that this daemon has read.
func (s *minimumState) add(a notice.Minimum, own kv.Revision, now time.Time) {
	s.answers[a.From] = a
	unsettled := min(a.Unsettled, restoreSettle)
	if a.Serving && a.Revision.Era < own.Era { // the peer does not know of the restore yet
		unsettled = restoreSettle
	}
	if at := now.Add(unsettled); a.Serving && at.After(s.settledAt) {
		s.settledAt = at
	}
}

// minimum returns the highest version of a configuration in force and the highest revision of the content in force at a peer.
func (s *minimumState) minimum() (version uint64, revision kv.Revision) {
	for _, a := range s.answers {
		version, revision = max(version, a.Config), revision.Max(a.Revision)
	}
	return version, revision
}

// Reasons why the content of the store is not in force yet.
const (
	minimumAsking   = "asking peers"
	minimumOldEra   = "a peer has content of a newer era"
	minimumUnsettle = "peers hold entries after a restore"
	minimumOlder    = "a peer has a newer configuration"
)

// check decides whether content with a version of the configuration may be put in force, and returns the reason if not. Within an era,
// the number of the revision does not matter: the store never loses writes there, and this daemon polls like the others. With no answer
// by the end of minimumWait, the content may be put in force.
func (s *minimumState) check(version uint64, revision kv.Revision, now time.Time) (ok bool, reason string) {
	if len(s.answers) < min(minimumPeers, s.peers) && now.Before(s.askedAt.Add(minimumWait)) {
		return false, minimumAsking
	}
	needed, newest := s.minimum()
	switch {
	case revision.Era < newest.Era:
		return false, minimumOldEra
	case version < needed:
		return false, minimumOlder
	case now.Before(s.settledAt):
		return false, minimumUnsettle
	}
	return true, ""
}

// nextCheck returns the earliest time after now at which check may decide differently without a new answer, or limit if that is earlier.
func (s *minimumState) nextCheck(now, limit time.Time) time.Time {
	for _, at := range []time.Time{s.askedAt.Add(minimumWait), s.settledAt} {
		if at.After(now) && at.Before(limit) {
			limit = at
		}
	}
	return limit
}

// minimumCheck holds back the operators' documents of a restored store at a daemon that starts, until they are known not to be older
// than what other daemons have in force. Such a daemon has nothing to compare with.
type minimumCheck struct {
	v        *storeView
	question uint64
	limiter  *rate.Limiter // of answers to other daemons
	changed  chan struct{} // an answer has arrived

	mu     sync.Mutex
	state  *minimumState // nil unless the documents are held back
	reason string        // logged last
}

func newMinimumCheck(v *storeView) *minimumCheck {
	return &minimumCheck{v: v, question: mathrand.Uint64(), limiter: rate.NewLimiter(maxMinimumAnswers, maxMinimumAnswers), changed: make(chan struct{}, 1)}
}

// begin holds the documents back if the first content that was read is that of a restored store, and asks the peers. Without a restore,
// or without messages between daemons, nothing is held back.
func (m *minimumCheck) begin(revision kv.Revision, entries []kv.Entry, now time.Time) {
	if revision.Era == 0 || m.v.g.exchange.Load() == nil {
		return
	}
	own := map[string]kv.Entry{}
	for _, e := range entries {
		own[e.Key] = e
	}
	var names []string
	eachMember(own, func(p member) {
		if p.id != m.v.g.spec.Name && p.addr != "" {
			names = append(names, p.id)
		}
	})
	if len(names) == 0 {
		return
	}
	m.mu.Lock()
	m.state = &minimumState{askedAt: now, peers: len(names), answers: map[string]notice.Minimum{}}
	m.mu.Unlock()
	m.v.g.wg.Go(func() { m.ask(names) })
}

// ask asks peers, in random order, until enough have answered or minimumWait has passed. Each round asks as many as answers are missing.
func (m *minimumCheck) ask(names []string) {
	mathrand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	select { // the exchange does not know the peers before
	case <-m.v.firstLoad:
	case <-m.v.g.ctx.Done():
		return
	}
	tick := time.NewTicker(minimumRepeat)
	defer tick.Stop()
	next := 0
	for begun := time.Now(); time.Since(begun) < minimumWait; {
		missing := m.missing()
		if missing == 0 {
			return
		}
		question := notice.Message{Minimum: &notice.Minimum{From: m.v.g.spec.Name, Question: m.question}}
		for range missing {
			name := names[next%len(names)]
			next++
			if err := m.v.g.exchange.Load().SendToPeer(name, question); err != nil {
				m.v.g.log.WithField("peer", name).WithError(err).Debug("asking a peer for the minimum failed")
			}
		}
		select {
		case <-tick.C:
		case <-m.v.g.ctx.Done():
			return
		}
	}
}

// missing returns the number of answers that this daemon still waits for.
func (m *minimumCheck) missing() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state == nil {
		return 0
	}
	return max(0, min(minimumPeers, m.state.peers)-len(m.state.answers))
}

// receive applies the answer of a peer.
func (m *minimumCheck) receive(a notice.Minimum) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state == nil || a.Question != m.question || len(m.state.answers) >= m.state.peers {
		return
	}
	m.state.add(a, *m.v.inForce.Load(), time.Now())
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// answer returns the answer to the question of a daemon that starts, false if there were too many questions.
func (m *minimumCheck) answer(q notice.Minimum) (notice.Minimum, bool) {
	if !m.limiter.Allow() {
		return notice.Minimum{}, false
	}
	a := notice.Minimum{From: m.v.g.spec.Name, Question: q.Question, Answered: true}
	revision := m.v.inForce.Load()
	if revision == nil || m.v.g.config.View() == nil {
		return a, true
	}
	a.Serving, a.Config, a.Revision = true, m.v.g.config.Revision().Number, *revision
	if at := m.v.restoredAt.Load(); at != nil {
		a.Unsettled = max(0, restoreSettle-time.Since(*at))
	}
	return a, true
}

// isHolding reports whether documents are held back.
func (m *minimumCheck) isHolding() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state != nil
}

// extend holds the documents back for longer, because the store was restored once more.
func (m *minimumCheck) extend(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state != nil {
		m.state.settledAt = now.Add(restoreSettle)
	}
}

// mayApply reports whether documents with a version of the configuration may be put in force. Once they may, they always may.
func (m *minimumCheck) mayApply(version uint64, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state == nil {
		return true
	}
	ok, reason := m.state.check(version, m.v.revision, now)
	needed, newest := m.state.minimum()
	log := m.v.g.log.WithField("config", version).WithField("needed", needed).WithField("revision", m.v.revision).WithField("newest", newest).
		WithField("answers", len(m.state.answers)).WithField("ms", now.Sub(m.state.askedAt).Milliseconds())
	if ok {
		log.Info("content of the restored store put in force")
		m.state = nil
	} else if reason != m.reason {
		log.WithField("reason", reason).Info("content of the restored store not in force yet")
	}
	m.reason = cmp.Or(reason, m.reason)
	return ok
}

// nextCheck returns the time at which mayApply may become true without a new answer, or limit if that is earlier.
func (m *minimumCheck) nextCheck(limit time.Time) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state == nil {
		return limit
	}
	return m.state.nextCheck(time.Now(), limit)
}

// heldDocs returns the operators' documents if they are held back.
func (v *storeView) heldDocs() map[string]kv.Entry {
	if !v.minimum.isHolding() {
		return nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return maps.Clone(v.operatorDocs)
}
