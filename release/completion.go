package release

import (
	"math"
	"time"

	"github.com/bramleytrail/bramleytrail/object"
)

// Hold is the reason for which a promoted version is not completed although its time has come. Its values are in logs and metrics.
type Hold string

// Reasons to wait.
const (
	Untried    Hold = "untried"     // the version has not answered a request without a failure
	FewAnswers Hold = "few answers" // of the requests since the promotion, too few have been answered, or can be compared
	Doubtful   Hold = "doubtful"    // the answers speak for a regression
)

// Completion says whether a promoted version waits for evidence before it is completed.
type Completion struct {
	Due     bool  // whether its time has come
	Hold    Hold  // empty if nothing holds up the completion
	Answers int64 // since the promotion, that count
	Wanted  int64 // number of them that is enough
	// AtLimit reports whether fewer than Wanted no longer hold up the completion, because the deadline is near.
	AtLimit bool
}

// Completion returns what a promoted version waits for, the zero value in other phases and before the completion is due.
func (s State) Completion(r *object.Release) Completion {
	if s.Phase != Promoted || s.Elapsed < completeAt(r) {
		return Completion{}
	}
	since := s.Evidence.since(s.AtPromotion)
	c := Completion{Due: true, AtLimit: s.Elapsed >= r.Duration-latestCompleteReserve}
	c.Answers, c.Wanted = s.current(since)
	tried := s.Elapsed-s.PromotedAt >= time.Duration(minPromoted*float64(r.Duration)) || since.newAnswers() >= enoughAnswers
	switch {
	case !s.Evidence.tried():
		c.Hold = Untried
	case !tried, c.Answers < c.Wanted && !c.AtLimit:
		c.Hold = FewAnswers
	case since.Unproven(s.Endpoints) || s.Evidence.Unproven(s.Endpoints):
		c.Hold = Doubtful
	}
	return c
}

// current returns the number of answers since the promotion that count, and how many of them make the evidence current: provingAnswers, or
// most of those that there must be by now. If times are compared, an answer counts once it failed or was compared.
func (s State) current(since Evidence) (answers, wanted int64) {
	c, _ := since.Totals()
	answers = c.Answers
	if all, _ := s.Evidence.Totals(); all.Latency.Timed > 0 {
		answers = c.Latency.Timed + c.Failures
	}
	byNow := math.Ceil(currentShare * s.Rate * (s.Elapsed - s.PromotedAt).Seconds())
	return answers, int64(min(provingAnswers, byNow))
}
