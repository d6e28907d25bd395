package dispatch

import (
	"time"

	"github.com/bramleytrail/bramleytrail/pool"
)

const (
	// failureBudgetShare is the fraction of the retry budget that is reserved for failures: cascades don't use it.
	failureBudgetShare = 0.2
	// rankBudgetShare is the fraction of the budget that cascades leave, for each rank, to those of more urgent requests, and
	// maxRankBudgetShare its limit.
	rankBudgetShare, maxRankBudgetShare = 0.15, 0.45
)

// Quote describes the answer that another model would probably give.
type Quote struct {
	Delay    time.Duration // until it begins
	Uncached int64         // prompt tokens that its endpoint would have to process
}

// Quote estimates the answer of another model. It returns false if the route's attempts or a lack of capacity forbid the
// call.
func (x *Exchange) Quote(model string) (Quote, bool) {
	if x.RemainingCalls() < 1 {
		return Quote{}, false
	}
	routed := x.in.Query
	routed.Model = model
	r, _, ok := x.filter.spec.Pool.Pick(pool.Query{Service: x.in.Service, Prompt: x.in.Prompt, Exclude: x.exclude, Routed: &routed, DryRun: true}, x.filter.spec.Now())
	return Quote{r.ExpectedDelay, r.ExpectedUncached}, ok
}

// RemainingCalls returns the number of further attempts that the route allows while an answer that has not been counted
// with CountRun is at hand.
func (x *Exchange) RemainingCalls() int { return x.in.Route.Attempts - x.attempts - 1 }

// ReserveEscalation charges the retry budget for the next attempt, which a cascade makes, and reports whether the budget
// allows it. The part of the budget that is reserved for failures is left. The budget is charged at once because the
// answer at hand is on time and must not be dropped unless the next attempt is certain.
func (x *Exchange) ReserveEscalation(rank int) bool {
	keep := failureBudgetShare + min(rankBudgetShare*float64(rank), maxRankBudgetShare)
	if !x.budget.withdraw(keep, x.filter.spec.Now()) {
		return false
	}
	x.prepaid.Store(true)
	return true
}
