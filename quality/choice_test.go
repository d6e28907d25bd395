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

// fullChoice returns a filter with estimates and a request to as many versions as a deployment has, with a cascade.
func fullChoice(versions int) (*choose.Filter, choose.Input) {
	v := &config.View{
		Models: map[string]*object.Model{}, Versions: map[string]*object.Version{}, ByModel: map[string][]*object.Version{},
		Rollouts: map[string]*object.Rollout{}, Policies: map[string]*object.SessionPolicy{}, Cascades: map[string]*object.Cascade{},
	}
	team := &object.Team{Name: "t", QualityTarget: 0.8, Cascade: "c"}
	summary := NewSummary()
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range versions {
		m, name := fmt.Sprintf("m%02d", i), fmt.Sprintf("m%02d-1", i)
		ver := &object.Version{Name: name, Model: m, State: object.VersionActive, Quality: 0.5 + 0.02*float64(i), Prices: object.Prices{Output: int64(100 * (i + 1))}}
		v.Models[m], v.Versions[name], v.ByModel[m] = &object.Model{Name: m, Service: "s"}, ver, []*object.Version{ver}
		team.Models = append(team.Models, m)
		for range 50 {
			summary.Add(rating.Rating{Version: name, Kind: "k", Score: min(1, 0.6+0.03*float64(i)*rng.Float64())})
		}
	}
	v.Rollouts["m00"] = &object.Rollout{Name: "r", Model: "m00", From: "m00-1", To: "m00-1", Steps: []float64{0.5}}
	v.Cascades["c"] = &object.Cascade{Name: "c", Steps: []string{"m00", "m01"}, RatingLabel: "c/"}
	e := &Estimates{}
	e.Set(summary)
	f := choose.New(choose.Spec{Estimator: e, Explore: choose.DefaultBudget})
	return f, choose.Input{View: v, Team: team, Model: choose.AutoModel, Kind: "k", RequestID: "request-1", Now: time.Unix(0, 0)}
}

// Guards against allocations on the path of each request beyond the list that the choice returns.
func TestChoiceAllocatesTheListOnly(t *testing.T) {
	f, in := fullChoice(18)
	if n := testing.AllocsPerRun(1000, func() {
		if _, err := f.Do(in); err != nil {
			t.Fatal(err)
		}
	}); n > 1 {
		t.Errorf("%.0f allocations a choice; the list is one", n)
	}
}

// BenchmarkChoice measures a choice among 18 versions, a cascade and a roll-out.
func BenchmarkChoice(b *testing.B) {
	f, in := fullChoice(18)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := f.Do(in); err != nil {
			b.Fatal(err)
		}
	}
}
