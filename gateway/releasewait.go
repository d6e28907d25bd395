package gateway

import (
	"fmt"
	"time"

	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/release"
)

// completionWait is a wait for evidence of a promoted version whose time to be completed has come. The zero value is none.
type completionWait struct {
	since time.Time
	last  release.Completion // as last evaluated
}

// Ends of a completionWait.
const (
	endedByAnswers   = "answers"   // enough of them, and they speak for the version
	endedByDeadline  = "deadline"  // too few of them, but none speaks against the version, and the deadline is near
	endedByRevert    = "reverted"  // they speak against the version
	endedByOthers    = "elsewhere" // another daemon has completed or reverted the release
	endedByUnordered = "order"     // the operators have ordered something else
)

// update applies an evaluation of a release, and returns why the wait ended, or an empty string if it goes on or there was none. state is what
// the evaluation was made of, and next its result.
func (w *completionWait) update(state release.State, next release.Phase, c release.Completion, now time.Time) (end string) {
	if c.Due && next == release.Promoted {
		if w.since.IsZero() {
			w.since = now
		}
		w.last = c
		return ""
	}
	if w.since.IsZero() {
		return ""
	}
	switch {
	case state.Phase != release.Promoted:
		return endedByOthers
	case next == release.Reverted:
		end = endedByRevert
	case c.Answers < c.Wanted:
		end = endedByDeadline
	default:
		end = endedByAnswers
	}
	hold := w.last.Hold
	w.last = c
	w.last.Hold = hold
	return end
}

// observeWait follows the wait of a release for evidence before its completion, and logs and counts its end. The caller holds r.mu.
func (r *releases) observeWait(rel *object.Release, t *trackedRelease, state release.State, next release.Phase, now time.Time) {
	end := t.wait.update(state, next, state.Completion(rel), now)
	if end != "" {
		r.endWait(t, rel.Service, end, now)
	}
}

// endWait logs and counts the end of a wait, if there is one. The caller holds r.mu.
func (r *releases) endWait(t *trackedRelease, service, end string, now time.Time) {
	w := t.wait
	if t.wait = (completionWait{}); w.since.IsZero() {
		return
	}
	waited := now.Sub(w.since)
	labels := fmt.Sprintf("{service=%q,end=%q}", service, end)
	r.g.spec.Metrics.Histogram("bramley_release_wait_seconds" + labels).Update(waited.Seconds())
	r.g.spec.Metrics.Histogram("bramley_release_wait_answers" + labels).Update(float64(w.last.Answers))
	r.g.log.WithField("service", service).WithField("target", t.target).WithField("order", t.order).WithField("end", end).WithField("last_reason", w.last.Hold).
		WithField("waited_ms", waited.Milliseconds()).WithField("answers", w.last.Answers).WithField("wanted", w.last.Wanted).
		WithField("age_ms", now.Sub(t.firstSeen).Milliseconds()).Info("wait for evidence before the completion ended")
}

// writeDelay returns the time for which a daemon delays the write of a decision, by its rank and the time left until the deadline.
func writeDelay(rank int, next release.Phase, left time.Duration) time.Duration {
	delay := time.Duration(rank) * writeDelayPerRank
	if next == release.Completed && rank == 1 {
		return min(delay, max(left-completionWriteReserve, minCompletionDelay))
	}
	return delay
}
