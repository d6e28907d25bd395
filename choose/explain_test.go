package choose

import (
	"testing"

	"github.com/bramleytrail/bramleytrail/session"
)

// Guards against an explanation with the wrong rule, a missing option or a verdict that contradicts the option's
// figures.
func TestExplain(t *testing.T) {
	rated := fixedEstimates{"m03-1": reliableEstimate(0.9), "m02-1": reliableEstimate(0.86), "m01-1": {Mean: 0.9, Lower: 0.85, Upper: 0.95, N: 3}, "m00-1": reliableEstimate(0.3)}
	unsigned := testInput(4)
	unsigned.Session = session.Token{ID: "callers-own"}
	named := testInput(4)
	named.Model = "m02"
	for name, c := range map[string]struct {
		in        Input
		estimates Estimator
		rule      Rule
		options   int
	}{
		"ratings":  {testInput(4), rated, RuleMix, 4},
		"declared": {unsigned, rated, RuleDeclared, 4},
		"unproven": {testInput(4), Declared{}, RuleUnproven, 4},
		"named":    {named, rated, RuleNamed, 1},
	} {
		t.Run(name, func(t *testing.T) {
			choice, err := New(Spec{Estimator: c.estimates}).Do(c.in)
			if err != nil {
				t.Fatal(err)
			}
			d := choice.Explain()
			if d.Rule != c.rule || len(d.Options) != c.options {
				t.Fatalf("rule %q with %d options, want %q with %d: %+v", d.Rule, len(d.Options), c.rule, c.options, d)
			}
			checkVerdicts(t, choice, d)
		})
	}
}

// checkVerdicts checks each verdict against the option's price, estimate and number of ratings.
func checkVerdicts(t *testing.T, choice Choice, d *Decision) {
	t.Helper()
	var chosen EvaluatedOption
	for _, o := range d.Options {
		if o.Verdict == VerdictChosen {
			chosen = o
		}
	}
	if chosen.Name != choice.Candidates[0].Version.Name {
		t.Errorf("verdict %q on %q, but %q was chosen", VerdictChosen, chosen.Name, choice.Candidates[0].Version.Name)
	}
	for _, o := range d.Options {
		switch o.Verdict {
		case VerdictMoreExpensive:
			if o.Price <= chosen.Price {
				t.Errorf("%+v is not more expensive than the chosen %+v", o, chosen)
			}
		case VerdictUncertain:
			if o.Lower >= d.Target {
				t.Errorf("lower bound of %+v meets the target %g", o, d.Target)
			}
		case VerdictTooFewRatings:
			if o.Ratings >= maxExploreRatings {
				t.Errorf("%+v has at least %d ratings", o, maxExploreRatings)
			}
		}
	}
}
