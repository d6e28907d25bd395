package choose

import (
	"cmp"
	"math"
	"slices"

	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/session"
)

// AssumedClimbRate is the part of a cascade's requests that reach the next step before any is counted.
const AssumedClimbRate = 0.4

// worthwhile is the part of the usual cost that a candidate must promise to undercut to be explored. With 0.98, options with
// few ratings were explored in bursts for a saving of 2 %, because their bounds are wide.
const worthwhile = 0.9

// enoughRatings is the effective number of ratings from which an option is no longer explored. Its estimate fades in time,
// so that it is explored again later.
const enoughRatings = 60

// fewRatings is the number of ratings that halves the claim of an option to be explored. Without it, the cascade was
// explored only after all cheaper options had enoughRatings.
const fewRatings = 10

// hopefulPart is the part of the distance from an option's mean to its upper bound that exploration hopes for. With the
// whole distance, options were explored until enoughRatings although a few ratings had shown that they are bad.
const hopefulPart = 0.5

// option is a candidate or the team's cascade, which has an object then. The zero value can't be chosen.
type option struct {
	object   *object.Cascade
	estimate Estimate
	price    float64
	good     bool // meets the target by itself
}

// scored is the list of candidates, with the team's cascade as one more option after them.
type scored struct {
	list    []Candidate
	cascade option
	target  float64
	proven  bool // an option with firm evidence meets the target
}

func (s *scored) len() int {
	if s.cascade.object != nil {
		return len(s.list) + 1
	}
	return len(s.list)
}

func (s *scored) at(i int) *option {
	if i == len(s.list) {
		return &s.cascade
	}
	return &s.list[i].option
}

// order makes the choice. If some option's ratings show that it meets the team's target, the cheapest mix of two options
// answers whose mean meets the target, raised where a score is cheapest until the lower bound of the team's mean over all
// its kinds meets it too. Otherwise, the cheapest option that is good by its declared quality answers, or the best one.
//
// The target is raised by what exploration has lately cost the team, so that exploring does not take it below.
//
// Once the ratings show that some option is good, only an option with firm evidence answers by itself: one with few
// ratings is tried within the budget of exploration, and in a mix that is safe, until its own ratings suffice. Before
// that, the declared quality decides.
func (f *Filter) order(in Input, list []Candidate) Choice {
	if in.Session.Unsigned() {
		return fixed(in, list)
	}
	s := scored{list: list, target: in.Team.QualityTarget}
	f.assess(in, &s)
	n := s.markGood()
	slices.SortFunc(list, compare)
	pick := s.usual()
	mean, cost := s.target, s.at(pick).price
	front := s.frontier()
	position := f.explore.position(in.Team.Name, in.Kind, &front, s.target)
	if front.n > 0 {
		mean, _, cost = front.at(position)
		pick = front.pick(position, session.ScopedUnitHash("mix", identity(in)))
	}
	other := s.promising(pick, mean, cost)
	explored := f.explore.take(in.Team.Name, s.tried(other, mean, cost))
	if explored {
		pick = other
	}
	c := s.choice(in, pick, n, explored)
	c.grounds = grounds{rule: s.rule(explored), target: s.target, considered: s.list, cascade: s.cascade}
	return c
}

// fixed makes the choice for a session that is known only by the caller's own identifier. It has no record of its version,
// so that only the declared qualities and prices may decide: they change with a publication, estimates at any time.
func fixed(in Input, list []Candidate) Choice {
	best := 0
	for i := range list {
		if preferred(list[i].Version, list[best].Version, in.Team.QualityTarget) {
			best = i
		}
	}
	g := grounds{rule: RuleDeclared, target: in.Team.QualityTarget, considered: list}
	return Choice{Candidates: list[best : best+1], grounds: g}
}

// preferred reports whether a goes before b: a version that meets the target before one that does not, then the cheaper,
// or the better if neither meets it.
func preferred(a, b *object.Version, target float64) bool {
	goodA, goodB := a.Quality >= target, b.Quality >= target
	switch {
	case goodA != goodB:
		return goodA
	case !goodA:
		return a.Quality > b.Quality
	default:
		return price(a) < price(b)
	}
}

// identity places a request among the requests of a mix, all requests of a session at the same point.
func identity(in Input) string {
	if in.Session.ID != "" {
		return in.Session.ID
	}
	return in.RequestID
}

// assess fills in estimates and prices.
func (f *Filter) assess(in Input, s *scored) {
	for i := range s.list {
		c := &s.list[i]
		c.estimate = f.estimate(in, c.Version)
		c.price = price(c.Version)
	}
	s.cascade = f.cascade(in, s.list)
}

// estimate returns the estimate of a version. A new version under roll-out is taken to be as good as the old one until
// its own ratings suffice: the step says how many sessions it gets, and the roll-out's test watches them.
func (f *Filter) estimate(in Input, v *object.Version) Estimate {
	e := f.spec.Estimator.Estimate(in.Kind, v.Name, v.Quality)
	if r := in.View.Rollouts[v.Model]; r != nil && r.To == v.Name && !e.Firm {
		from := in.View.Versions[r.From]
		return f.spec.Estimator.Estimate(in.Kind, from.Name, from.Quality)
	}
	return e
}

// markGood marks the good options and returns the number of those in the list.
func (s *scored) markGood() (n int) {
	for i := range s.len() {
		e := s.at(i).estimate
		s.proven = s.proven || e.Firm && e.Lower >= s.target
	}
	for i := range s.len() {
		o := s.at(i)
		o.good = o.estimate.Lower >= s.target && (o.estimate.Firm || !s.proven)
		if o.good && i < len(s.list) {
			n++
		}
	}
	return n
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

// usual returns the cheapest good option, or the one with the highest lower bound if none is good.
func (s *scored) usual() int {
	pick := 0
	for i := 1; i < s.len(); i++ {
		a, b := s.at(i), s.at(pick)
		switch {
		case a.good != b.good:
			if a.good {
				pick = i
			}
		case a.good && a.price < b.price, !a.good && a.estimate.Lower > b.estimate.Lower:
			pick = i
		}
	}
	return pick
}

// tried describes option i, -1 for none, instead of a choice of the given mean and cost.
func (s *scored) tried(i int, mean, cost float64) tried {
	if i < 0 {
		return tried{usual: cost}
	}
	return tried{wanted: true, cost: s.at(i).price, usual: cost, loss: mean - s.at(i).estimate.Mean}
}

// promising returns the option that would lower the cost of a mean most for its number of ratings if its quality were near
// its upper bound, alone or in a mix; -1 if none would lower it by much.
func (s *scored) promising(usual int, mean, cost float64) int {
	pick, best := -1, 0.0
	for i := range s.len() {
		o := s.at(i)
		if i == usual || o.price >= cost || o.estimate.N >= enoughRatings {
			continue
		}
		hope := s.hope(o, mean)
		if hope >= worthwhile*cost {
			continue
		}
		if value := (cost - hope) / (1 + o.estimate.N/fewRatings); value > best {
			pick, best = i, value
		}
	}
	return pick
}

// hope returns the lowest price of a mean if the quality of an option were near its upper bound; at that of a cascade,
// because its expected quality assumes no skill in telling doubtful answers.
func (s *scored) hope(o *option, mean float64) float64 {
	reach := hopefulPart
	if o.object != nil {
		reach = 1
	}
	hoped := o.estimate.Mean + reach*(o.estimate.Upper-o.estimate.Mean)
	if hoped >= mean {
		return o.price
	}
	best := math.Inf(1)
	for i := range s.len() {
		high := s.at(i)
		if !high.estimate.Firm || high.estimate.Mean < mean || high.price <= o.price {
			continue
		}
		part := (high.estimate.Mean - mean) / (high.estimate.Mean - hoped)
		best = min(best, part*o.price+(1-part)*high.price)
	}
	return best
}

// choice returns the list with the picked option first. For a version, the good ones that it does not contain follow as
// alternatives; a session has none, because it stays with one version.
func (s *scored) choice(in Input, pick, n int, explored bool) Choice {
	if pick == len(s.list) {
		for i, model := range s.cascade.object.Steps {
			toFront(s.list[i:], indexOf(s.list[i:], model))
		}
		return Choice{Candidates: s.list[:len(s.cascade.object.Steps)], Cascade: s.cascade.object, Explored: explored}
	}
	length := n
	if pick >= n {
		length++
	}
	if in.Session.ID != "" {
		length = 1
	}
	toFront(s.list, pick)
	return Choice{Candidates: s.list[:length], Explored: explored}
}

func toFront(list []Candidate, at int) {
	c := list[at]
	copy(list[1:at+1], list[:at])
	list[0] = c
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

// price compares versions by the cost of as many input as output tokens.
func price(v *object.Version) float64 { return float64(v.Prices.Input + v.Prices.Output) }
