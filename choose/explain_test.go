package choose

import (
	"testing"

	"github.com/bramleytrail/bramleytrail/session"
)

// Guards against a decision that names the wrong rule, leaves an option out or gives a reason that does not hold.
func TestExplain(t *testing.T) {
	rated := known{"m03-1": firm(0.9), "m02-1": firm(0.86), "m01-1": {Mean: 0.9, Lower: 0.85, Upper: 0.95, N: 3}, "m00-1": firm(0.3)}
	unsigned := input(4)
	unsigned.Session = session.Token{ID: "callers-own"}
	named := input(4)
	named.Model = "m02"
	for name, c := range map[string]struct {
		in        Input
		estimates Estimator
		rule      Rule
		options   int
	}{
		"ratings":  {input(4), rated, RuleMix, 4},
		"declared": {unsigned, rated, RuleDeclared, 4},
		"unproven": {input(4), Declared{}, RuleUnproven, 4},
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

// checkVerdicts compares each verdict with the figures beside it.
func checkVerdicts(t *testing.T, choice Choice, d *Decision) {
	t.Helper()
	var chosen Weighed
	for _, o := range d.Options {
		if o.Verdict == VerdictChosen {
			chosen = o
		}
	}
	if chosen.Name != choice.Candidates[0].Version.Name {
		t.Errorf("%q is explained as chosen, %q was", chosen.Name, choice.Candidates[0].Version.Name)
	}
	for _, o := range d.Options {
		switch o.Verdict {
		case VerdictDearer:
			if o.Price <= chosen.Price {
				t.Errorf("%+v is not dearer than %+v", o, chosen)
			}
		case VerdictDoubtful:
			if o.Lower >= d.Target {
				t.Errorf("%+v does not miss the target %g", o, d.Target)
			}
		case VerdictUnrated:
			if o.Ratings >= enoughRatings {
				t.Errorf("%+v has many ratings", o)
			}
		}
	}
}
