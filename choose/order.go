package choose

import (
	"cmp"
	"math"
	"slices"

	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/session"
)

// AssumedEscalationRate is the share of a cascade's answers that are assumed to escalate before any is counted.
const AssumedEscalationRate = 0.4

// maxExploreCostRatio is the fraction of the default cost that the optimistic price of an option must stay below for
// the option to be explored. With 0.98, options with few ratings were explored in bursts for a saving of 2 %, because
// their bounds are wide.
const maxExploreCostRatio = 0.9

// maxExploreRatings is the effective number of ratings from which an option is no longer explored. That number decays
// with time, so that the option is explored again later.
const maxExploreRatings = 60

// halfPriorityRatings is the number of ratings at which the exploration priority of an option is halved. Without this
// discount, the cascade was explored only after all cheaper options had maxExploreRatings.
const halfPriorityRatings = 10

// optimismFactor is how far from an option's mean to its upper bound exploration assumes its quality to be. With 1,
// options were explored until maxExploreRatings although a few ratings had shown that they are bad.
const optimismFactor = 0.5

// option is the price and estimate of a candidate or of the team's cascade. The zero value can't be chosen.
type option struct {
	object      *object.Cascade // nil for a candidate
	estimate    Estimate
	price       float64 // expected price of a request, as price returns it
	meetsTarget bool    // meets the target without a split
}

// optionSet holds the options of a choice: the candidates by index and, after them, the team's cascade if it has one.
type optionSet struct {
	candidates   []Candidate
	cascade      option
	target       float64
	targetProven bool // an option with a reliable estimate meets the target
}

func (s *optionSet) len() int {
	if s.cascade.object != nil {
		return len(s.candidates) + 1
	}
	return len(s.candidates)
}

func (s *optionSet) at(i int) *option {
	if i == len(s.candidates) {
		return &s.cascade
	}
	return &s.candidates[i].option
}

// chooseByRatings chooses among versions and the team's cascade by their estimates.
//
// If the ratings of some option show that it meets the team's target, requests are split between two options at the
// lowest price at which their mean meets the target. Quality is then raised where it costs least, until the lower bound
// of the team's mean over all kinds of requests meets the target too. Otherwise, the cheapest option that meets the
// target by its declared quality is chosen, or the best one if none does.
//
// The target is raised by the score that exploration has recently cost the team, so that exploration does not push the
// team's mean below its target.
//
// Once the ratings show that some option meets the target, only options with a reliable estimate answer all requests of
// a kind. An option with few ratings is used within the exploration budget, and in a safe share of a split, until its
// ratings suffice. Before that, the declared quality decides.
func (f *Filter) chooseByRatings(in Input, candidates []Candidate) Choice {
	if in.Session.Unsigned() {
		return chooseByDeclaration(in, candidates)
	}
	s := optionSet{candidates: candidates, target: in.Team.QualityTarget}
	f.estimateAll(in, &s)
	n := s.markMeetingTarget()
	slices.SortFunc(candidates, compareCandidates)
	pick := s.defaultOption()
	mean, cost := s.target, s.at(pick).price
	front := s.frontier()
	position := f.explore.position(in.Team.Name, in.Kind, &front, s.target)
	if front.n > 0 {
		mean, _, cost = front.at(position)
		pick = front.pick(position, session.ScopedUnitHash("mix", requestIdentity(in)))
	}
	candidate := s.bestToExplore(pick, mean, cost)
	explored := f.explore.admit(in.Team.Name, s.exploration(candidate, mean, cost))
	if explored {
		pick = candidate
	}
	c := s.newChoice(in, pick, n, explored)
	c.grounds = grounds{rule: s.rule(explored), target: s.target, considered: s.candidates, cascade: s.cascade}
	return c
}

// chooseByDeclaration chooses for an unsigned session, which is known only by the caller's own identifier. Nothing
// records its version, so the choice uses only declared qualities and prices: they change only when a configuration is
// published, whereas estimates change at any time and would move the session.
func chooseByDeclaration(in Input, list []Candidate) Choice {
	best := 0
	for i := range list {
		if preferred(list[i].Version, list[best].Version, in.Team.QualityTarget) {
			best = i
		}
	}
	g := grounds{rule: RuleDeclared, target: in.Team.QualityTarget, considered: list}
	return Choice{Candidates: list[best : best+1], grounds: g}
}

// preferred reports whether a is preferred to b by declared quality and price: a version that meets the target to one
// that does not, the cheaper one if both meet it, and the better one if neither does.
func preferred(a, b *object.Version, target float64) bool {
	aMeets, bMeets := a.Quality >= target, b.Quality >= target
	switch {
	case aMeets != bMeets:
		return aMeets
	case !aMeets:
		return a.Quality > b.Quality
	default:
		return price(a) < price(b)
	}
}

// requestIdentity returns the string whose hash assigns a request to an option of a split. It is the same for all
// requests of a session.
func requestIdentity(in Input) string {
	if in.Session.ID != "" {
		return in.Session.ID
	}
	return in.RequestID
}

// estimateAll sets the estimate and price of each option.
func (f *Filter) estimateAll(in Input, s *optionSet) {
	for i := range s.candidates {
		c := &s.candidates[i]
		c.estimate = f.estimate(in, c.Version)
		c.price = price(c.Version)
	}
	s.cascade = f.cascade(in, s.candidates)
}

// estimate returns the estimate of a version. The new version of a rollout is treated as being as good as the old one
// until its own ratings suffice: the step of the rollout limits its share of sessions, and the rollout's test monitors
// them.
func (f *Filter) estimate(in Input, v *object.Version) Estimate {
	e := f.spec.Estimator.Estimate(in.Kind, v.Name, v.Quality)
	if r := in.View.Rollouts[v.Model]; r != nil && r.To == v.Name && !e.Reliable {
		from := in.View.Versions[r.From]
		return f.spec.Estimator.Estimate(in.Kind, from.Name, from.Quality)
	}
	return e
}

// markMeetingTarget sets meetsTarget of each option, and targetProven. It returns the number of candidates that meet
// the target, without the cascade.
func (s *optionSet) markMeetingTarget() (n int) {
	for i := range s.len() {
		e := s.at(i).estimate
		s.targetProven = s.targetProven || e.Reliable && e.Lower >= s.target
	}
	for i := range s.len() {
		o := s.at(i)
		o.meetsTarget = o.estimate.Lower >= s.target && (o.estimate.Reliable || !s.targetProven)
		if o.meetsTarget && i < len(s.candidates) {
			n++
		}
	}
	return n
}

// compareCandidates orders candidates that meet the target first, then by price and name.
func compareCandidates(a, b Candidate) int {
	if a.meetsTarget != b.meetsTarget {
		if a.meetsTarget {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(a.Version.Name, b.Version.Name))
}

// defaultOption returns the cheapest option that meets the target, or the one with the highest lower bound if none
// does.
func (s *optionSet) defaultOption() int {
	pick := 0
	for i := 1; i < s.len(); i++ {
		a, b := s.at(i), s.at(pick)
		switch {
		case a.meetsTarget != b.meetsTarget:
			if a.meetsTarget {
				pick = i
			}
		case a.meetsTarget && a.price < b.price, !a.meetsTarget && a.estimate.Lower > b.estimate.Lower:
			pick = i
		}
	}
	return pick
}

// exploration compares option i with a choice of the given mean and cost. An i of -1 means that there is nothing to
// explore.
func (s *optionSet) exploration(i int, mean, cost float64) exploration {
	if i < 0 {
		return exploration{defaultCost: cost}
	}
	return exploration{available: true, cost: s.at(i).price, defaultCost: cost, expectedLoss: mean - s.at(i).estimate.Mean}
}

// bestToExplore returns the option with the highest exploration priority, or -1 if none is worth exploring. The
// priority is the saving at the given mean quality if the option's quality were near its upper bound, discounted by its
// number of ratings.
func (s *optionSet) bestToExplore(chosen int, mean, cost float64) int {
	pick, best := -1, 0.0
	for i := range s.len() {
		o := s.at(i)
		if i == chosen || o.price >= cost || o.estimate.N >= maxExploreRatings {
			continue
		}
		optimisticPrice := s.optimisticPrice(o, mean)
		if optimisticPrice >= maxExploreCostRatio*cost {
			continue
		}
		if priority := (cost - optimisticPrice) / (1 + o.estimate.N/halfPriorityRatings); priority > best {
			pick, best = i, priority
		}
	}
	return pick
}

// optimisticPrice returns the lowest price of a mean quality, by the option alone or by a split with a better one, if
// the option's quality were near its upper bound. For a cascade, it assumes the upper bound itself, because the
// expected quality of a cascade assumes that it detects bad answers no better than by chance.
func (s *optionSet) optimisticPrice(o *option, mean float64) float64 {
	optimism := optimismFactor
	if o.object != nil {
		optimism = 1
	}
	optimisticMean := o.estimate.Mean + optimism*(o.estimate.Upper-o.estimate.Mean)
	if optimisticMean >= mean {
		return o.price
	}
	best := math.Inf(1)
	for i := range s.len() {
		high := s.at(i)
		if !high.estimate.Reliable || high.estimate.Mean < mean || high.price <= o.price {
			continue
		}
		lowShare := (high.estimate.Mean - mean) / (high.estimate.Mean - optimisticMean)
		best = min(best, lowShare*o.price+(1-lowShare)*high.price)
	}
	return best
}

// newChoice returns the choice of the option at index pick, whose versions come first. The other versions that meet the
// target follow a version as alternatives, but not in a session, which stays on one version. numMeeting is the number
// of candidates that meet the target.
func (s *optionSet) newChoice(in Input, pick, numMeeting int, explored bool) Choice {
	if pick == len(s.candidates) {
		for i, model := range s.cascade.object.Steps {
			moveToFront(s.candidates[i:], indexOf(s.candidates[i:], model))
		}
		return Choice{Candidates: s.candidates[:len(s.cascade.object.Steps)], Cascade: s.cascade.object, Explored: explored}
	}
	length := numMeeting
	if pick >= numMeeting {
		length++
	}
	if in.Session.ID != "" {
		length = 1
	}
	moveToFront(s.candidates, pick)
	return Choice{Candidates: s.candidates[:length], Explored: explored}
}

// moveToFront moves the candidate at an index to the front and keeps the order of the others.
func moveToFront(list []Candidate, at int) {
	c := list[at]
	copy(list[1:at+1], list[:at])
	list[0] = c
}

// cascade returns the team's cascade as an option, or the zero option if the request can't use it. A session stays on
// one version, so it uses no cascade. Until the cascade's answers have ratings, its quality is that of its steps, as if
// it escalated answers at random.
func (f *Filter) cascade(in Input, list []Candidate) option {
	if in.Team.Cascade == "" || in.NoCascade || in.Session.ID != "" {
		return option{}
	}
	c := in.View.Cascades[in.Team.Cascade]
	if c == nil || len(c.Steps) < 2 {
		return option{}
	}
	o := option{object: c}
	escalationRate, reachShare, quality := f.spec.EscalationRate(c.Name), 1.0, 0.0
	for i, model := range c.Steps {
		at := indexOf(list, model)
		if at < 0 {
			return option{}
		}
		answerShare := reachShare
		if i < len(c.Steps)-1 {
			answerShare = reachShare * (1 - escalationRate)
		}
		quality += answerShare * list[at].estimate.Mean
		o.price += reachShare * list[at].price
		reachShare *= escalationRate
	}
	o.estimate = f.spec.Estimator.Estimate(in.Kind, c.Label(), quality)
	return o
}

func indexOf(list []Candidate, model string) int {
	for i := range list {
		if list[i].Version.Model == model {
			return i
		}
	}
	return -1
}

// price returns a version's price for a request with as many input as output tokens. Versions are compared by it.
func price(v *object.Version) float64 { return float64(v.Prices.Input + v.Prices.Output) }
