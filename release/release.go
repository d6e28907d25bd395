// Package release decides how a service's requests shift to endpoints that run a new version of its software: which share
// of the sessions is in the canary, when all requests follow, and when the release is rolled back. Decisions are pure
// functions of the evidence that all daemons report.
//
// A version that is sound until it gets all requests can't be recognised before. The plan therefore keeps the number of
// requests that reach a version until its deadline within the operators' limit even if nothing is ever found: all requests
// follow only when what remains of the time fits into the limit.
package release

import (
	"time"

	"github.com/bramleytrail/bramleytrail/object"
)

const (
	// sessionCanaryShare and canaryShare are the parts of the operators' exposure limit that the canary gets of the requests
	// that belong to sessions, and of the others. Sessions in use stay on the old version, so that fewer of theirs arrive.
	sessionCanaryShare, canaryShare = 0.6, 0.3
	// plannedShare and plannedSlack are the parts of the exposure limit that the plan of a release uses. The rest is for
	// growing traffic and for daemons that have not received a decision yet.
	plannedShare, plannedSlack = 0.85, 0.65
	// promoteFrom is the part of the release's duration before which sessions in use never change their version.
	promoteFrom = 0.52
	// promoteReserve is the part of the duration before the deadline in which a version that is not suspicious is promoted
	// whatever the traffic does.
	promoteReserve = 0.07
	// completeReserve is the part of the duration that is left for writing the completion, and for the operators to see it, within
	// its bounds.
	completeReserve, minCompleteReserve, maxCompleteReserve = 0.045, 800 * time.Millisecond, 5 * time.Second
	// minPromoted is the part of the duration for which all requests go to the new version before it is completed, unless it has
	// given enoughAnswers by then.
	minPromoted, enoughAnswers = 0.04, 30
	// provingAnswers and currentShare define when the evidence since the promotion is current enough for a completion: by its number of
	// answers, or as the share of the requests sent since then. With 35 of 350 answers known, slow versions were completed.
	provingAnswers, currentShare = 150, 0.5
	// latestCompleteReserve is the time before the deadline from which evidence that is not current no longer delays a completion.
	// Completions that were written 0.3 s before it were seen too late.
	latestCompleteReserve = 500 * time.Millisecond
	// minAnswers is the number of answers of the new version that are required to promote it before promoteReserve.
	minAnswers = 3
)

// Limit bounds the requests that a regressed version may get between the order of its release and its deadline: Share of all
// requests of the service, plus Slack.
type Limit struct{ Share, Slack float64 }

// Phase is the progress of a release. Its values are sent and stored.
type Phase string

// Phases of a release. The comments say which requests the new version gets.
const (
	Canary    Phase = "trial"     // those of a share of the sessions
	Promoted  Phase = "moved"     // all, while the old endpoints finish their streams
	Completed Phase = "completed" // all; the old endpoints may be removed
	Reverted  Phase = "reverted"  // none
)

// phaseOrder is the order in which phases follow each other.
var phaseOrder = map[Phase]int{Canary: 0, Promoted: 1, Completed: 2, Reverted: 3}

// isFinal reports whether no phase follows p.
func (p Phase) isFinal() bool { return p == Completed || p == Reverted }

// Learn returns the phase of a daemon in phase own after it has read the stored one. ended says that the store holds an end of the release that
// the operators have been shown. Such an end is in force whatever the daemon found out by itself: endpoints have been stopped because of it.
func Learn(own, stored Phase, ended bool) Phase {
	if ended || !own.isFinal() && phaseOrder[stored] > phaseOrder[own] {
		return stored
	}
	return own
}

// Hear returns the phase of a daemon in phase own after another daemon has announced one. A completion is announced only once it is
// stored, so it is final; a revert takes effect before that.
func Hear(own, announced Phase) Phase {
	switch {
	case announced == Completed,
		announced == Promoted && own == Canary,
		announced == Reverted && own != Completed:
		return announced
	}
	return own
}

// State is what is known about a release when the next phase is decided.
type State struct {
	Phase   Phase
	Elapsed time.Duration // since the release was ordered
	// Evidence is that of all daemons, AtPromotion the part of it from before the promotion.
	Evidence, AtPromotion Evidence
	PromotedAt            time.Duration // time of the promotion after the order
	Rate                  float64       // requests a second of the service, at present
	Endpoints             int           // usable endpoints of the new version
}

// NextPhase returns the phase that follows s.Phase, or s.Phase itself if it is not over.
//
// A version is completed only if the evidence since its promotion shows no sign of a regression. An uncertain one stays as it
// is, beyond its deadline if need be, until the evidence decides.
func NextPhase(s State, r *object.Release, limit Limit) Phase {
	if s.Phase.isFinal() {
		return s.Phase
	}
	suspicion := s.suspicion()
	if suspicion >= revertSuspicion {
		return Reverted
	}
	if s.Phase == Canary && suspicion < promoteSuspicion && s.mayPromote(r, limit) {
		return Promoted
	}
	if c := s.Completion(r); c.Due && c.Hold == "" {
		return Completed
	}
	return s.Phase
}

// suspicion returns the larger of the suspicions by all evidence and by that since the promotion.
func (s State) suspicion() float64 {
	suspicion := s.Evidence.Suspicion(s.Endpoints)
	if s.Phase == Promoted {
		suspicion = max(suspicion, s.Evidence.since(s.AtPromotion).Suspicion(s.Endpoints))
	}
	return suspicion
}

// mayPromote reports whether the new version may get all requests until the deadline.
func (s State) mayPromote(r *object.Release, limit Limit) bool {
	if s.Elapsed < time.Duration(promoteFrom*float64(r.Duration)) || s.Endpoints == 0 {
		return false
	}
	remaining := max(0, r.Duration-s.Elapsed)
	if float64(remaining) <= min(promoteReserve, limit.Share/2)*float64(r.Duration) { // a strict limit leaves less time
		return true
	}
	rate := max(s.Rate, float64(s.Evidence.Requests)/max(1, s.Elapsed.Seconds()))
	upcoming := rate * remaining.Seconds()
	allowed := plannedShare*limit.Share*(float64(s.Evidence.Requests)+upcoming) + plannedSlack*limit.Slack
	return s.Evidence.newAnswers() >= minAnswers && float64(s.Evidence.Exposed)+upcoming <= allowed
}

// completeAt returns the time after the order at which a promoted version is completed: late, since each answer until then counts,
// and old endpoints finish their streams.
func completeAt(r *object.Release) time.Duration {
	reserve := time.Duration(completeReserve * float64(r.Duration))
	return r.Duration - min(max(reserve, minCompleteReserve), maxCompleteReserve, r.Duration/4)
}

// InCanary reports whether a request belongs to the share that goes to the new version first. id is that of its session or,
// if it has none, its own. Exposure is the operators' limit of that share, in [0, 1]. All daemons get the same result.
func InCanary(id uint64, isSession bool, exposure float64) bool {
	share := canaryShare
	if isSession {
		share = sessionCanaryShare
	}
	return float64(mixBits(id)>>11)/(1<<53) < share*exposure
}

// mixBits distributes session IDs that are not random over all values. It is the finalizer of SplitMix64.
func mixBits(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
