package choose

// Rule is the rule by which a choice was made.
type Rule string

// Rules by which a choice is made.
const (
	RuleNamed    Rule = "named"    // the request names the model or version
	RuleSession  Rule = "session"  // the session stays on the version that it used last
	RuleDeclared Rule = "declared" // the session has no record of its version, so only declared qualities and prices count
	RuleUnproven Rule = "unproven" // no option is shown by its ratings to meet the target
	RuleMix      Rule = "mix"      // the cheapest split of requests between two options that meets the target with confidence
	RuleExplore  Rule = "explore"  // a cheaper option is tried, within the exploration budget, to collect ratings
)

// Verdict says whether and why an option was chosen or rejected.
type Verdict string

// Verdicts on an option.
const (
	VerdictChosen         Verdict = "chosen"
	VerdictAlternative    Verdict = "alternative" // used if no endpoint of the chosen one has capacity
	VerdictStep           Verdict = "step"        // a step of the chosen cascade
	VerdictMoreExpensive  Verdict = "dearer"
	VerdictTooFewRatings  Verdict = "too few ratings"
	VerdictUncertain      Verdict = "may miss the target"
	VerdictNotThisRequest Verdict = "not for this request" // answers other requests of the split, or is explored at other times
)

// Decision explains a choice to operators. It contains nothing of the request's content.
type Decision struct {
	Rule    Rule              `json:"rule"`
	Target  float64           `json:"target,omitempty"` // quality target of the team
	Options []EvaluatedOption `json:"options"`
}

// EvaluatedOption is an option that a choice considered, with its figures and the verdict on it.
type EvaluatedOption struct {
	Name    string  `json:"name"`            // version, or label of a cascade
	Price   float64 `json:"price,omitempty"` // micro-units per 1,000 prompt tokens plus 1,000 answer tokens
	Mean    float64 `json:"mean,omitempty"`  // estimated rating from 0 to 1; Lower and Upper are its confidence bounds
	Lower   float64 `json:"lower,omitempty"`
	Upper   float64 `json:"upper,omitempty"`
	Ratings float64 `json:"ratings,omitempty"` // effective number of ratings
	Verdict Verdict `json:"verdict"`
}

// grounds is the input to a choice, kept for Explain.
type grounds struct {
	rule       Rule
	target     float64
	considered []Candidate // includes the chosen ones; shares its array with Choice.Candidates
	cascade    option
}

// rule returns the rule of a choice that is based on ratings.
func (s *optionSet) rule(explored bool) Rule {
	switch {
	case explored:
		return RuleExplore
	case s.targetProven:
		return RuleMix
	default:
		return RuleUnproven
	}
}

// Explain returns the rule of the choice and the verdict on each option. It returns nil for a nil choice.
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
		d.Options = append(d.Options, newEvaluatedOption(considered[i].Version.Name, o, c.versionVerdict(considered[i].Version.Name, o, chosen)))
	}
	if o := c.grounds.cascade; o.object != nil {
		v := VerdictChosen
		if c.Cascade == nil {
			v = c.rejectionVerdict(o, chosen)
		}
		d.Options = append(d.Options, newEvaluatedOption(o.object.Label(), o, v))
	}
	return d
}

// option returns a candidate's price and estimate as the rule considered them. Rules that use no ratings consider the
// declared quality.
func (c *Choice) option(candidate *Candidate) option {
	switch c.rule {
	case RuleNamed, RuleSession, RuleDeclared:
		q := candidate.Version.Quality
		return option{price: price(candidate.Version), estimate: Estimate{Mean: q, Lower: q, Upper: q, Reliable: true}}
	default:
		return candidate.option
	}
}

func newEvaluatedOption(name string, o option, v Verdict) EvaluatedOption {
	e := o.estimate
	return EvaluatedOption{Name: name, Price: o.price, Mean: e.Mean, Lower: e.Lower, Upper: e.Upper, Ratings: e.N, Verdict: v}
}

// versionVerdict returns the verdict on a version.
func (c *Choice) versionVerdict(version string, o, chosen option) Verdict {
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
	return c.rejectionVerdict(o, chosen)
}

// rejectionVerdict returns the reason for which an option was not chosen.
func (c *Choice) rejectionVerdict(o, chosen option) Verdict {
	switch {
	case o.price > chosen.price:
		return VerdictMoreExpensive
	case c.rule != RuleUnproven && !o.estimate.Reliable:
		return VerdictTooFewRatings
	case o.estimate.Lower < c.target:
		return VerdictUncertain
	default:
		return VerdictNotThisRequest
	}
}
