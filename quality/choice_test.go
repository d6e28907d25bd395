package quality

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/choose"
	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/rating"
)

// fullSizeRequest returns a filter with rated versions, and a request that may use all of them, a cascade and a
// rollout.
func fullSizeRequest(numVersions int) (*choose.Filter, choose.Input) {
	view := &config.View{
		Models: map[string]*object.Model{}, Versions: map[string]*object.Version{}, ByModel: map[string][]*object.Version{},
		Rollouts: map[string]*object.Rollout{}, Policies: map[string]*object.SessionPolicy{}, Cascades: map[string]*object.Cascade{},
	}
	team := &object.Team{Name: "t", QualityTarget: 0.8, Cascade: "c"}
	summary := NewSummary()
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range numVersions {
		model, name := fmt.Sprintf("m%02d", i), fmt.Sprintf("m%02d-1", i)
		version := &object.Version{Name: name, Model: model, State: object.VersionActive, Quality: 0.5 + 0.02*float64(i), Prices: object.Prices{Output: int64(100 * (i + 1))}}
		view.Models[model], view.Versions[name], view.ByModel[model] = &object.Model{Name: model, Service: "s"}, version, []*object.Version{version}
		team.Models = append(team.Models, model)
		for range 50 {
			summary.Add(rating.Rating{Version: name, Kind: "k", Score: min(1, 0.6+0.03*float64(i)*rng.Float64())})
		}
	}
	view.Rollouts["m00"] = &object.Rollout{Name: "r", Model: "m00", From: "m00-1", To: "m00-1", Steps: []float64{0.5}}
	view.Cascades["c"] = &object.Cascade{Name: "c", Steps: []string{"m00", "m01"}, RatingLabel: "c/"}
	e := &Estimates{}
	e.Set(summary)
	f := choose.New(choose.Spec{Estimator: e, Exploration: choose.DefaultExplorationBudget})
	return f, choose.Input{View: view, Team: team, Model: choose.AutoModel, Kind: "k", RequestID: "request-1", Now: time.Unix(0, 0)}
}

// Guards against heap allocations for each request, beyond the list that the choice returns, with estimates from a
// summary.
func TestChoiceAllocatesTheListOnly(t *testing.T) {
	f, in := fullSizeRequest(18)
	if n := testing.AllocsPerRun(1000, func() {
		if _, err := f.Do(in); err != nil {
			t.Fatal(err)
		}
	}); n > 1 {
		t.Errorf("%.0f allocations per choice; want at most 1, for the list", n)
	}
}

// BenchmarkChoice measures a choice among 18 versions, with a cascade and a rollout.
func BenchmarkChoice(b *testing.B) {
	f, in := fullSizeRequest(18)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := f.Do(in); err != nil {
			b.Fatal(err)
		}
	}
}
