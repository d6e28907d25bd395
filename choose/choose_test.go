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

// known is an Estimator with fixed estimates; others are the declared quality.
type known map[string]Estimate

func (k known) Estimate(_, label string, declared float64) Estimate {
	if e, ok := k[label]; ok {
		return e
	}
	return Declared{}.Estimate("", "", declared)
}

// halted is a Steps that has taken every roll-out's new version out of service.
type halted struct{}

func (halted) Step(*object.Rollout) (int, bool) { return -1, true }

// input returns a request to n models, the dearer the better, with a cascade of the first two.
func input(n int) Input {
	v := &config.View{
		Models: map[string]*object.Model{}, Versions: map[string]*object.Version{}, ByModel: map[string][]*object.Version{},
		Rollouts: map[string]*object.Rollout{}, Policies: map[string]*object.SessionPolicy{}, Cascades: map[string]*object.Cascade{},
	}
	team := &object.Team{Name: "t", QualityTarget: 0.8}
	for i := range n {
		m, name := fmt.Sprintf("m%02d", i), fmt.Sprintf("m%02d-1", i)
		ver := &object.Version{Name: name, Model: m, State: object.VersionActive, Quality: 0.7 + 0.25*float64(i)/float64(n-1), Prices: object.Prices{Output: int64(100 * (i + 1))}}
		v.Models[m], v.Versions[name], v.ByModel[m] = &object.Model{Name: m, Service: "s"}, ver, []*object.Version{ver}
		team.Models = append(team.Models, m)
	}
	v.Cascades["c"] = &object.Cascade{Name: "c", Steps: []string{"m00", "m01"}, RatingLabel: "c/"}
	return Input{View: v, Team: team, Model: AutoModel, Kind: "k", RequestID: "r", Now: time.Unix(0, 0)}
}

func firm(lower float64) Estimate {
	return Estimate{Mean: lower, Lower: lower, Upper: lower + 0.02, N: 100, Firm: true}
}

func first(t *testing.T, f *Filter, in Input) string {
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

// Guards against a choice that ignores the evidence, the price, the cascade or the rule for thin evidence.
func TestOrder(t *testing.T) {
	for _, tc := range []struct {
		name    string
		known   known
		cascade string
		want    string
		list    int // candidates
	}{
		{"declared quality before any rating", known{}, "", "m02-1", 2},
		{"cheapest proven version", known{"m01-1": firm(0.85)}, "", "m01-1", 1},
		{"a proven version bars cheaper ones with thin evidence", known{"m03-1": firm(0.9)}, "", "m03-1", 1},
		{"ratings refute the declared quality", known{"m02-1": firm(0.6)}, "", "m03-1", 1},
		{"none meets the target", known{"m02-1": firm(0.6), "m03-1": firm(0.7)}, "", "m01-1", 1},
		{"proven cascade cheaper than the cheapest version", known{"m01-1": firm(0.85), "c/": firm(0.9)}, "c", "c/", 2},
		{"cascade that falls short", known{"m01-1": firm(0.85), "c/": firm(0.7)}, "c", "m01-1", 1},
	} {
		in := input(4)
		in.Team.Cascade = tc.cascade
		for i := 0; session.ScopedUnitHash("mix", in.RequestID) < 0.9; i++ {
			in.RequestID = fmt.Sprint(i) // outside the part that a mix gives to its cheaper option
		}
		f := New(Spec{Estimator: tc.known})
		if got := first(t, f, in); got != tc.want {
			t.Errorf("%s: %s; want %s", tc.name, got, tc.want)
		}
		if c, _ := f.Do(in); len(c.Candidates) != tc.list {
			t.Errorf("%s: %d candidates; want %d", tc.name, len(c.Candidates), tc.list)
		}
	}
}

// Guards against a mix whose quality misses the target, that leaves quality to spare, or that ignores the width of the
// bounds.
func TestMixMeetsTheTarget(t *testing.T) {
	for _, width := range []float64{0, 0.02} {
		low := Estimate{Mean: 0.6, Lower: 0.6 - width, Upper: 0.6 + width, N: 500, Firm: true}
		high := Estimate{Mean: 0.9, Lower: 0.9 - width, Upper: 0.9 + width, N: 500, Firm: true}
		f := New(Spec{Estimator: known{"m00-1": low, "m03-1": high, "m01-1": firm(0.1), "m02-1": firm(0.1)}})
		in := input(4)
		const requests = 20_000
		cheap := 0
		for i := range requests {
			in.RequestID = fmt.Sprint(i)
			if first(t, f, in) == "m00-1" {
				cheap++
			}
		}
		part := float64(cheap) / requests
		bound := part*low.Mean + (1-part)*high.Mean - math.Hypot(part*width, (1-part)*width)
		if math.Abs(bound-in.Team.QualityTarget) > 0.005 {
			t.Errorf("width %.2f: the bound of the mix is %.4f with %.3f of the requests at the cheap version; the target is %.2f", width, bound, part, in.Team.QualityTarget)
		}
	}
}

// Guards against exploration beyond its budget, of hopeless or dearer versions, or within a session.
func TestExploration(t *testing.T) {
	in := input(4)
	f := New(Spec{
		Estimator: known{"m03-1": firm(0.9), "m02-1": {Mean: 0.5, Upper: 0.75}, "m01-1": {Mean: 0.5, Upper: 0.95}, "m00-1": firm(0.3)},
		Explore:   DefaultBudget,
	})
	counts := map[string]int{}
	const requests = 1000
	for range requests {
		counts[first(t, f, in)]++
	}
	explored := counts["m01-1"]
	if explored == 0 || float64(explored) > DefaultBudget.Requests*requests {
		t.Errorf("%d of %d requests explored; the budget is %g", explored, requests, DefaultBudget.Requests)
	}
	if counts["m02-1"] > 0 || counts["m00-1"] > 0 {
		t.Errorf("answers %v; only m01-1, which may meet the target at the lowest cost, is worth exploring", counts)
	}
	in.Session = session.Token{ID: "s", Issued: in.Now, Versions: []string{"m01-1"}}
	for range requests {
		if got := first(t, f, in); got != "m01-1" {
			t.Fatalf("the session moved to %s", got)
		}
	}
	in.Session = session.Token{}
	if got := first(t, f, in); got != "m03-1" {
		t.Errorf("explored %s although a session below the target has spent the budget", got)
	}
}

// Guards against a budget that is saved up and then spent in a burst, before the first ratings of its answers arrive.
func TestExplorationIsSpaced(t *testing.T) {
	in := input(4)
	estimates := known{"m03-1": firm(0.9), "m02-1": firm(0.3), "m01-1": firm(0.3), "m00-1": firm(0.3)}
	f := New(Spec{Estimator: estimates, Explore: DefaultBudget})
	for range 1000 {
		first(t, f, in)
	}
	estimates["m01-1"] = Estimate{Mean: 0.5, Upper: 0.95}
	explored := 0
	const requests = 100
	for range requests {
		if first(t, f, in) == "m01-1" {
			explored++
		}
	}
	if explored == 0 || float64(explored) > DefaultBudget.Requests*requests+1 {
		t.Errorf("%d of %d requests explored in a row; the budget is %g", explored, requests, DefaultBudget.Requests)
	}
}

// Guards against work at a version that a roll-out has halted, for new requests, pinned sessions and named versions.
func TestHaltedVersionIsOutOfService(t *testing.T) {
	in := input(2)
	to := &object.Version{Name: "m01-2", Model: "m01", State: object.VersionActive, Quality: 1, Prices: object.Prices{Output: 200}}
	in.View.Versions[to.Name] = to
	in.View.ByModel["m01"] = append(in.View.ByModel["m01"], to)
	in.View.Rollouts["m01"] = &object.Rollout{Name: "r", Model: "m01", From: "m01-1", To: to.Name, Steps: []float64{1}, Step: 0}
	if got := first(t, New(Spec{Estimator: Declared{}}), in); got != to.Name {
		t.Fatalf("%s answers at share 1", got)
	}
	f := New(Spec{Estimator: Declared{}, Steps: halted{}})
	in.Session = session.Token{ID: "s", Issued: in.Now, Versions: []string{to.Name}}
	if got := first(t, f, in); got != "m01-1" {
		t.Errorf("%s answers a session after the halt", got)
	}
	in.Model = to.Name
	if _, err := f.Do(in); err == nil {
		t.Error("a halted version answers a request that names it")
	}
}

// Guards against a new version that gets no requests of its step, because it has no ratings, and against one that keeps
// them although its own ratings are bad.
func TestNewVersionGetsItsShare(t *testing.T) {
	for _, tc := range []struct {
		to   Estimate
		want string
	}{
		{Estimate{Mean: 0.7, Lower: 0.6, Upper: 0.8, N: 2}, "m01-2"},
		{firm(0.3), "m02-1"},
	} {
		in := input(3)
		in.View.Versions["m01-2"] = &object.Version{Name: "m01-2", Model: "m01", State: object.VersionActive, Prices: object.Prices{Output: 200}}
		in.View.Rollouts["m01"] = &object.Rollout{Name: "r", Model: "m01", From: "m01-1", To: "m01-2", Steps: []float64{1}}
		f := New(Spec{Estimator: known{"m00-1": firm(0.1), "m01-1": firm(0.85), "m01-2": tc.to, "m02-1": firm(0.9)}})
		for i := 0; session.ScopedUnitHash("mix", in.RequestID) < 0.9; i++ {
			in.RequestID = fmt.Sprint(i)
		}
		if got := first(t, f, in); got != tc.want {
			t.Errorf("new version with %+v: %s answers; want %s", tc.to, got, tc.want)
		}
	}
}
