package choose

import (
	"cmp"
	"slices"

	"github.com/bramleytrail/bramleytrail/object"
)

// AssumedClimbRate is the part of a cascade's requests that reach the next step before any is counted.
const AssumedClimbRate = 0.4

// order puts the cheapest candidate whose lower bound meets the team's target first, with the dearer ones that meet it
// as alternatives. If none meets it, the best one is the only candidate.
//
// Once the ratings show that some candidate meets the target, only such candidates count: one with few ratings is tried
// within the budget of exploration until its own ratings suffice. Before that, the declared quality decides.
func (f *Filter) order(in Input, list []Candidate) Choice {
	proven := f.assess(in, list)
	cascade := f.cascade(in, list)
	if cascade.estimate.Firm && cascade.estimate.Lower >= in.Team.QualityTarget {
		proven = true
	}
	n := 0
	for i := range list {
		c := &list[i]
		c.good = c.estimate.Lower >= in.Team.QualityTarget && (c.estimate.Firm || !proven)
		if c.good {
			n++
		}
	}
	slices.SortFunc(list, compare)
	usual := list[0].price
	if n == 0 {
		best(list)
		usual = list[0].price
	}
	cascadeGood := cascade.object != nil && cascade.estimate.Lower >= in.Team.QualityTarget && (cascade.estimate.Firm || !proven)
	byCascade := cascadeGood && (n == 0 || cascade.price < usual)
	if byCascade {
		usual = cascade.price
	}
	if choice, ok := f.tryOther(in, list, n, cascade, byCascade, usual); ok {
		return choice
	}
	if byCascade {
		return cascade.choice(list, false)
	}
	return Choice{Candidates: f.limit(in, list[:max(n, 1)])}
}

// assess fills in estimates and prices. It reports whether the ratings show that a candidate meets the target.
func (f *Filter) assess(in Input, list []Candidate) (proven bool) {
	for i := range list {
		c := &list[i]
		c.estimate = f.spec.Estimator.Estimate(in.Kind, c.Version.Name, c.Version.Quality)
		c.price = price(c.Version)
		proven = proven || c.estimate.Firm && c.estimate.Lower >= in.Team.QualityTarget
	}
	return proven
}

// compare orders candidates that meet the target first, then by price and name.
func compare(a, b Candidate) int {
	if a.good != b.good {
		if a.good {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(a.Version.Name, b.Version.Name))
}

// best moves the candidate with the highest lower bound to the front.
func best(list []Candidate) {
	at := 0
	for i := range list {
		if list[i].estimate.Lower > list[at].estimate.Lower {
			at = i
		}
	}
	toFront(list, at)
}

func toFront(list []Candidate, at int) {
	c := list[at]
	copy(list[1:at+1], list[:at])
	list[0] = c
}

// limit removes the alternatives of a session, which stays with one version and does not fall back to another model.
func (f *Filter) limit(in Input, list []Candidate) []Candidate {
	if in.Session.ID != "" {
		return list[:1]
	}
	return list
}

// tryOther chooses a cheaper version, or the team's cascade, to learn about it, if one may meet the target and the budget
// allows. The one with the fewest ratings is tried first.
func (f *Filter) tryOther(in Input, list []Candidate, n int, cascade option, byCascade bool, usual float64) (Choice, bool) {
	at, ratings := -1, 0.0
	for i := n; i < len(list); i++ {
		c := &list[i]
		if c.price < usual && c.estimate.Upper >= in.Team.QualityTarget && (at < 0 || c.estimate.N < ratings) {
			at, ratings = i, c.estimate.N
		}
	}
	useCascade := cascade.object != nil && !byCascade && cascade.price < usual &&
		cascade.estimate.Upper >= in.Team.QualityTarget && (at < 0 || cascade.estimate.N < ratings)
	cost := usual
	switch {
	case useCascade:
		cost = cascade.price
	case at >= 0:
		cost = list[at].price
	}
	if !f.explore.take(in.Team.Name, cost, usual, useCascade || at >= 0) {
		return Choice{}, false
	}
	if useCascade {
		return cascade.choice(list, true), true
	}
	toFront(list, at)
	return Choice{Candidates: f.limit(in, list[:max(n, 1)+1]), Explored: true}, true
}

// option is the team's cascade as one of the candidates. Its object is nil if it can't be used.
type option struct {
	object   *object.Cascade
	estimate Estimate
	price    float64
}

// cascade assesses the team's cascade. A session stays on one version, so it runs no cascade. Before ratings of the
// cascade's answers arrive, its quality is taken as that of the steps without any skill in telling doubtful answers.
func (f *Filter) cascade(in Input, list []Candidate) option {
	if in.Team.Cascade == "" || in.Once || in.Session.ID != "" {
		return option{}
	}
	c := in.View.Cascades[in.Team.Cascade]
	if c == nil || len(c.Steps) < 2 {
		return option{}
	}
	o := option{object: c}
	climb, reach, quality := f.spec.ClimbRate(c.Name), 1.0, 0.0
	for i, model := range c.Steps {
		at := indexOf(list, model)
		if at < 0 {
			return option{}
		}
		stop := reach
		if i < len(c.Steps)-1 {
			stop = reach * (1 - climb)
		}
		quality += stop * list[at].estimate.Mean
		o.price += reach * list[at].price
		reach *= climb
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

// choice orders the list as the cascade's steps.
func (o option) choice(list []Candidate, explored bool) Choice {
	for i, model := range o.object.Steps {
		at := indexOf(list[i:], model)
		toFront(list[i:], at)
	}
	return Choice{Candidates: list[:len(o.object.Steps)], Cascade: o.object, Explored: explored}
}

// price compares versions by the cost of as many input as output tokens.
func price(v *object.Version) float64 { return float64(v.Prices.Input + v.Prices.Output) }
