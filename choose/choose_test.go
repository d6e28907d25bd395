package choose

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/session"
)

// fixedEstimates is an Estimator with fixed estimates by label. For other labels, it returns the declared quality.
type fixedEstimates map[string]Estimate

func (k fixedEstimates) Estimate(_, label string, declared float64) Estimate {
	if e, ok := k[label]; ok {
		return e
	}
	return Declared{}.Estimate("", "", declared)
}

// haltedSteps implements RolloutSteps with all rollouts halted.
type haltedSteps struct{}

func (haltedSteps) Step(*object.Rollout) (int, bool) { return -1, true }

// testInput returns a request of a team with several models, where a more expensive model has a better declared
// quality. The configuration has a cascade of the first two models, which the team does not use yet.
func testInput(numModels int) Input {
	view := &config.View{
		Models: map[string]*object.Model{}, Versions: map[string]*object.Version{}, ByModel: map[string][]*object.Version{},
		Rollouts: map[string]*object.Rollout{}, Policies: map[string]*object.SessionPolicy{}, Cascades: map[string]*object.Cascade{},
	}
	team := &object.Team{Name: "t", QualityTarget: 0.8}
	for i := range numModels {
		model, name := fmt.Sprintf("m%02d", i), fmt.Sprintf("m%02d-1", i)
		version := &object.Version{Name: name, Model: model, State: object.VersionActive, Quality: 0.7 + 0.25*float64(i)/float64(numModels-1), Prices: object.Prices{Output: int64(100 * (i + 1))}}
		view.Models[model], view.Versions[name], view.ByModel[model] = &object.Model{Name: model, Service: "s"}, version, []*object.Version{version}
		team.Models = append(team.Models, model)
	}
	view.Cascades["c"] = &object.Cascade{Name: "c", Steps: []string{"m00", "m01"}, RatingLabel: "c/"}
	return Input{View: view, Team: team, Model: AutoModel, Kind: "k", RequestID: "r", Now: time.Unix(0, 0)}
}

// reliableEstimate returns an estimate from 100 ratings with equal mean and lower bound.
func reliableEstimate(lower float64) Estimate {
	return Estimate{Mean: lower, Lower: lower, Upper: lower + 0.02, N: 100, Reliable: true}
}

// chosenName returns the label of the chosen cascade or the name of the first candidate.
func chosenName(t *testing.T, f *Filter, in Input) string {
	t.Helper()
	c, err := f.Do(in)
	if err != nil {
		t.Fatal(err)
	}
	if c.Cascade != nil {
		return c.Cascade.Label()
	}
	return c.Candidates[0].Version.Name
}

// Guards against a choice that ignores ratings, prices or the cascade, and against choosing a version for its few
// ratings although another one has proven to meet the target.
func TestChooseByRatings(t *testing.T) {
	for _, tc := range []struct {
		name       string
		estimates  fixedEstimates
		cascade    string
		want       string
		candidates int
	}{
		{"declared quality before any rating", fixedEstimates{}, "", "m02-1", 2},
		{"cheapest proven version", fixedEstimates{"m01-1": reliableEstimate(0.85)}, "", "m01-1", 1},
		{"a reliable version excludes cheaper ones with few ratings", fixedEstimates{"m03-1": reliableEstimate(0.9)}, "", "m03-1", 1},
		{"ratings refute the declared quality", fixedEstimates{"m02-1": reliableEstimate(0.6)}, "", "m03-1", 1},
		{"none meets the target", fixedEstimates{"m02-1": reliableEstimate(0.6), "m03-1": reliableEstimate(0.7)}, "", "m01-1", 1},
		{"proven cascade cheaper than the cheapest version", fixedEstimates{"m01-1": reliableEstimate(0.85), "c/": reliableEstimate(0.9)}, "c", "c/", 2},
		{"cascade that falls short", fixedEstimates{"m01-1": reliableEstimate(0.85), "c/": reliableEstimate(0.7)}, "c", "m01-1", 1},
	} {
		in := testInput(4)
		in.Team.Cascade = tc.cascade
		for i := 0; session.ScopedUnitHash("mix", in.RequestID) < 0.9; i++ {
			in.RequestID = fmt.Sprint(i) // its hash lies outside the share of the cheaper option of a split
		}
		f := New(Spec{Estimator: tc.estimates})
		if got := chosenName(t, f, in); got != tc.want {
			t.Errorf("%s: %s chosen; want %s", tc.name, got, tc.want)
		}
		if c, _ := f.Do(in); len(c.Candidates) != tc.candidates {
			t.Errorf("%s: %d candidates; want %d", tc.name, len(c.Candidates), tc.candidates)
		}
	}
}

// Guards against a split of requests whose lower bound misses the target or exceeds it at needless cost, which happens
// if the share of the cheap version ignores the margins of the estimates.
func TestSplitMeetsTheTarget(t *testing.T) {
	for _, margin := range []float64{0, 0.02} {
		low := Estimate{Mean: 0.6, Lower: 0.6 - margin, Upper: 0.6 + margin, N: 500, Reliable: true}
		high := Estimate{Mean: 0.9, Lower: 0.9 - margin, Upper: 0.9 + margin, N: 500, Reliable: true}
		f := New(Spec{Estimator: fixedEstimates{"m00-1": low, "m03-1": high, "m01-1": reliableEstimate(0.1), "m02-1": reliableEstimate(0.1)}})
		in := testInput(4)
		const requests = 20_000
		cheapAnswers := 0
		for i := range requests {
			in.RequestID = fmt.Sprint(i)
			if chosenName(t, f, in) == "m00-1" {
				cheapAnswers++
			}
		}
		cheapShare := float64(cheapAnswers) / requests
		bound := cheapShare*low.Mean + (1-cheapShare)*high.Mean - math.Hypot(cheapShare*margin, (1-cheapShare)*margin)
		if math.Abs(bound-in.Team.QualityTarget) > 0.005 {
			t.Errorf("margin %.2f: the lower bound of the split is %.4f with %.3f of the requests at the cheap version; the target is %.2f", margin, bound, cheapShare, in.Team.QualityTarget)
		}
	}
}

// Guards against exploration beyond its budget, of versions that are too bad or too expensive, or within a session. A
// session on a version below the target must count against the budget.
func TestExploration(t *testing.T) {
	in := testInput(4)
	f := New(Spec{
		Estimator:   fixedEstimates{"m03-1": reliableEstimate(0.9), "m02-1": {Mean: 0.5, Upper: 0.75}, "m01-1": {Mean: 0.5, Upper: 0.95}, "m00-1": reliableEstimate(0.3)},
		Exploration: DefaultExplorationBudget,
	})
	counts := map[string]int{}
	const requests = 1000
	for range requests {
		counts[chosenName(t, f, in)]++
	}
	explored := counts["m01-1"]
	if explored == 0 || float64(explored) > DefaultExplorationBudget.RequestShare*requests {
		t.Errorf("%d of %d requests explored; the budget is %g", explored, requests, DefaultExplorationBudget.RequestShare)
	}
	if counts["m02-1"] > 0 || counts["m00-1"] > 0 {
		t.Errorf("choices by version %v; only m01-1, which may meet the target at the lowest cost, is worth exploring", counts)
	}
	in.Session = session.Token{ID: "s", Issued: in.Now, Versions: []string{"m01-1"}}
	for range requests {
		if got := chosenName(t, f, in); got != "m01-1" {
			t.Fatalf("the session moved to %s", got)
		}
	}
	in.Session = session.Token{}
	if got := chosenName(t, f, in); got != "m03-1" {
		t.Errorf("%s explored although a session below the target has spent the budget", got)
	}
}

// Guards against a burst of explored requests before the first ratings of their answers arrive. It would come from
// budget that accumulated while there was nothing to explore.
func TestExplorationIsSpaced(t *testing.T) {
	in := testInput(4)
	estimates := fixedEstimates{"m03-1": reliableEstimate(0.9), "m02-1": reliableEstimate(0.3), "m01-1": reliableEstimate(0.3), "m00-1": reliableEstimate(0.3)}
	f := New(Spec{Estimator: estimates, Exploration: DefaultExplorationBudget})
	for range 1000 {
		chosenName(t, f, in)
	}
	estimates["m01-1"] = Estimate{Mean: 0.5, Upper: 0.95}
	explored := 0
	const requests = 100
	for range requests {
		if chosenName(t, f, in) == "m01-1" {
			explored++
		}
	}
	if explored == 0 || float64(explored) > DefaultExplorationBudget.RequestShare*requests+1 {
		t.Errorf("%d of %d consecutive requests explored; the budget is %g", explored, requests, DefaultExplorationBudget.RequestShare)
	}
}

// Guards against requests to the new version of a halted rollout, from new requests, from sessions on that version, and
// from requests that name it.
func TestHaltedVersionIsOutOfService(t *testing.T) {
	in := testInput(2)
	to := &object.Version{Name: "m01-2", Model: "m01", State: object.VersionActive, Quality: 1, Prices: object.Prices{Output: 200}}
	in.View.Versions[to.Name] = to
	in.View.ByModel["m01"] = append(in.View.ByModel["m01"], to)
	in.View.Rollouts["m01"] = &object.Rollout{Name: "r", Model: "m01", From: "m01-1", To: to.Name, Steps: []float64{1}, Step: 0}
	if got := chosenName(t, New(Spec{Estimator: Declared{}}), in); got != to.Name {
		t.Fatalf("%s chosen at a rollout step with share 1; want %s", got, to.Name)
	}
	f := New(Spec{Estimator: Declared{}, RolloutSteps: haltedSteps{}})
	in.Session = session.Token{ID: "s", Issued: in.Now, Versions: []string{to.Name}}
	if got := chosenName(t, f, in); got != "m01-1" {
		t.Errorf("%s chosen for a session after the halt; want m01-1", got)
	}
	in.Model = to.Name
	if _, err := f.Do(in); err == nil {
		t.Error("halted version chosen for a request that names it")
	}
}

// Guards against a rollout's new version that gets no requests because it has too few ratings, and against one that
// keeps its requests although its own ratings are bad.
func TestNewVersionGetsItsShare(t *testing.T) {
	for _, tc := range []struct {
		to   Estimate
		want string
	}{
		{Estimate{Mean: 0.7, Lower: 0.6, Upper: 0.8, N: 2}, "m01-2"},
		{reliableEstimate(0.3), "m02-1"},
	} {
		in := testInput(3)
		in.View.Versions["m01-2"] = &object.Version{Name: "m01-2", Model: "m01", State: object.VersionActive, Prices: object.Prices{Output: 200}}
		in.View.Rollouts["m01"] = &object.Rollout{Name: "r", Model: "m01", From: "m01-1", To: "m01-2", Steps: []float64{1}}
		f := New(Spec{Estimator: fixedEstimates{"m00-1": reliableEstimate(0.1), "m01-1": reliableEstimate(0.85), "m01-2": tc.to, "m02-1": reliableEstimate(0.9)}})
		for i := 0; session.ScopedUnitHash("mix", in.RequestID) < 0.9; i++ {
			in.RequestID = fmt.Sprint(i)
		}
		if got := chosenName(t, f, in); got != tc.want {
			t.Errorf("new version with estimate %+v: %s chosen; want %s", tc.to, got, tc.want)
		}
	}
}
