package choose

// Rule says how a choice came about.
type Rule string

// Rules of a choice.
const (
	RuleNamed    Rule = "named"    // the request names the model or version
	RuleSession  Rule = "session"  // the session stays on the version that it used last
	RuleDeclared Rule = "declared" // the session has no record of its version, so that declared qualities and prices decide
	RuleUnproven Rule = "unproven" // no ratings show yet that an option meets the target
	RuleMix      Rule = "mix"      // the cheapest mix that meets the target with confidence
	RuleExplore  Rule = "explore"  // a cheaper option gets ratings within the budget of exploration
)

// Verdict says what became of an option.
type Verdict string

// Verdicts on an option.
const (
	VerdictChosen      Verdict = "chosen"
	VerdictAlternative Verdict = "alternative" // used if the chosen one has no endpoint with room
	VerdictStep        Verdict = "step"        // step of the chosen cascade
	VerdictDearer      Verdict = "dearer"
	VerdictUnrated     Verdict = "too few ratings"
	VerdictDoubtful    Verdict = "may miss the target"
	VerdictOtherPart   Verdict = "not for this request" // answers other requests of the mix, or is explored at other times
)

// Decision explains a choice. It holds nothing of the request's content.
type Decision struct {
	Rule    Rule      `json:"rule"`
	Target  float64   `json:"target,omitempty"` // quality target of the team
	Options []Weighed `json:"options"`
}

// Weighed is an option of a choice and what became of it.
type Weighed struct {
	Name    string  `json:"name"`            // version, or label of a cascade
	Price   float64 `json:"price,omitempty"` // micro-units for 1,000 tokens of prompt and of answer each
	Mean    float64 `json:"mean,omitempty"`  // estimated rating, with its bounds
	Lower   float64 `json:"lower,omitempty"`
	Upper   float64 `json:"upper,omitempty"`
	Ratings float64 `json:"ratings,omitempty"` // effective number
	Verdict Verdict `json:"verdict"`
}

// grounds is what a choice was made from.
type grounds struct {
	rule       Rule
	target     float64
	considered []Candidate // the chosen one among them; its array is shared with Choice.Candidates
	cascade    option
}

// rule returns the rule under which a choice from ratings is made.
func (s *scored) rule(explored bool) Rule {
	switch {
	case explored:
		return RuleExplore
	case s.proven:
		return RuleMix
	default:
		return RuleUnproven
	}
}

// Explain says how the choice came about and why other versions were not chosen. It returns nil without a choice.
func (c *Choice) Explain() *Decision {
	if c == nil {
		return nil
	}
	d := &Decision{Rule: c.rule, Target: c.target}
	considered := c.considered
	if considered == nil {
		considered = c.Candidates
	}
	chosen := c.grounds.cascade
	if c.Cascade == nil {
		chosen = c.option(&c.Candidates[0])
	}
	for i := range considered {
		o := c.option(&considered[i])
		d.Options = append(d.Options, weigh(considered[i].Version.Name, o, c.verdict(considered[i].Version.Name, o, chosen)))
	}
	if o := c.grounds.cascade; o.object != nil {
		v := VerdictChosen
		if c.Cascade == nil {
			v = c.compare(o, chosen)
		}
		d.Options = append(d.Options, weigh(o.object.Label(), o, v))
	}
	return d
}

// option returns a candidate as it was weighed. Rules that use no ratings weigh the declared quality.
func (c *Choice) option(of *Candidate) option {
	switch c.rule {
	case RuleNamed, RuleSession, RuleDeclared:
		q := of.Version.Quality
		return option{price: price(of.Version), estimate: Estimate{Mean: q, Lower: q, Upper: q, Firm: true}}
	default:
		return of.option
	}
}

func weigh(name string, o option, v Verdict) Weighed {
	e := o.estimate
	return Weighed{Name: name, Price: o.price, Mean: e.Mean, Lower: e.Lower, Upper: e.Upper, Ratings: e.N, Verdict: v}
}

// verdict returns what became of a version.
func (c *Choice) verdict(version string, o, chosen option) Verdict {
	for i := range c.Candidates {
		switch {
		case c.Candidates[i].Version.Name != version:
		case c.Cascade != nil:
			return VerdictStep
		case i == 0:
			return VerdictChosen
		default:
			return VerdictAlternative
		}
	}
	return c.compare(o, chosen)
}

// compare says why an option was not chosen.
func (c *Choice) compare(o, chosen option) Verdict {
	switch {
	case o.price > chosen.price:
		return VerdictDearer
	case c.rule != RuleUnproven && !o.estimate.Firm:
		return VerdictUnrated
	case o.estimate.Lower < c.target:
		return VerdictDoubtful
	default:
		return VerdictOtherPart
	}
}
