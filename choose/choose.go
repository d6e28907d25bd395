// Package choose is the fourth stage: it selects the versions that may answer a request, in the order in which they are
// tried. It is pure: configuration, estimates and identities are handed in.
package choose

import (
	"cmp"
	"slices"
	"time"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/result"
	"github.com/bramleytrail/bramleytrail/session"
)

// AutoModel is the model name with which a caller leaves the choice to the router.
const AutoModel = "auto"

// Estimator gives the quality of a version for a kind of request.
type Estimator interface {
	// LowerBound returns the lower confidence bound of the expected rating, 0 to 1.
	LowerBound(kind string, v *object.Version) float64
}

// Declared is the Estimator that returns the declared quality.
type Declared struct{}

// LowerBound implements Estimator.
func (Declared) LowerBound(_ string, v *object.Version) float64 { return v.Quality }

// Input of the choice.
type Input struct {
	View    *config.View
	Team    *object.Team
	Model   string // model, version or AutoModel
	Kind    string
	Session session.Token
	// RequestID places a request without a session in a roll-out.
	RequestID string
	Now       time.Time
}

// Candidate is a version that may answer.
type Candidate struct {
	Service string
	Version *object.Version
}

// Filter chooses versions.
type Filter struct{ estimator Estimator }

// New returns a filter.
func New(e Estimator) *Filter { return &Filter{estimator: e} }

// Do returns the candidates, the preferred one first.
func (f *Filter) Do(in Input) ([]Candidate, error) {
	if c, err := continued(in); c != nil || err != nil {
		return c, err
	}
	models, err := models(in)
	if err != nil {
		return nil, err
	}
	if in.Model == AutoModel {
		if c, err := lastUsed(in); c != nil || err != nil {
			return c, err
		}
	}
	var list []Candidate
	for _, m := range models {
		v, err := resolve(in, m)
		if err != nil {
			return nil, err
		}
		if v != nil {
			list = append(list, Candidate{Service: in.View.Models[m].Service, Version: v})
		}
	}
	if len(list) == 0 {
		return nil, result.Newf(result.NoVersion, "")
	}
	if in.Model == AutoModel {
		list = f.order(in, list)
	}
	if in.Session.ID != "" {
		// A session stays with one version, so it doesn't fall back to another model.
		list = list[:1]
	}
	return list, nil
}

// continued returns the version that answered the session last, if the caller leaves the model open. Earlier versions of
// the session don't count: it would go back to one of them when a withdrawal is undone.
func continued(in Input) ([]Candidate, error) {
	if in.Model != AutoModel || len(in.Session.Versions) == 0 {
		return nil, nil
	}
	last := in.View.Versions[in.Session.Versions[len(in.Session.Versions)-1]]
	if last == nil || !slices.Contains(in.Team.Models, last.Model) {
		return nil, nil
	}
	v, err := pinned(in, last.Model)
	if v == nil || err != nil {
		return nil, err
	}
	return []Candidate{{Service: in.View.Models[v.Model].Service, Version: v}}, nil
}

// models returns the names of the models that the request may use.
func models(in Input) ([]string, error) {
	if in.Model == AutoModel {
		return in.Team.Models, nil
	}
	name := in.Model
	if v := in.View.Versions[name]; v != nil {
		name = v.Model
	}
	if in.View.Models[name] == nil || !slices.Contains(in.Team.Models, name) {
		return nil, result.Newf(result.ModelNotAllowed, "Model %q.", in.Model)
	}
	return []string{name}, nil
}

// resolve returns the version of a model that serves the request, or nil if the model has no active one.
func resolve(in Input, model string) (*object.Version, error) {
	if v := in.View.Versions[in.Model]; v != nil {
		if v.State != object.VersionActive {
			return nil, result.Newf(result.VersionWithdrawn, "Version %q is %s.", v.Name, v.State)
		}
		return v, nil
	}
	if v, err := pinned(in, model); v != nil || err != nil {
		return v, err
	}
	if r := in.View.Rollouts[model]; r != nil {
		if v := rolledOut(in, r); v != nil {
			return v, nil
		}
	}
	return newest(in.View.ByModel[model]), nil
}

// Expired reports whether a session has reached its policy's age. It then begins anew.
func Expired(view *config.View, team *object.Team, t session.Token, now time.Time) bool {
	policy := view.Policies[team.SessionPolicy]
	return policy != nil && !t.Issued.IsZero() && now.Sub(t.Issued) > policy.MaxAge
}

// lastUsed keeps a session that leaves the choice of the model to the router on the version that it used last, also when
// prices or quality estimates change. It returns nil if the session has none or may leave it.
func lastUsed(in Input) ([]Candidate, error) {
	n := len(in.Session.Versions)
	if n == 0 {
		return nil, nil
	}
	last := in.View.Versions[in.Session.Versions[n-1]]
	if last == nil || !slices.Contains(in.Team.Models, last.Model) {
		return nil, nil
	}
	v, err := pinned(in, last.Model)
	if v == nil || err != nil {
		return nil, err
	}
	return []Candidate{{Service: in.View.Models[v.Model].Service, Version: v}}, nil
}

// pinned returns the version that the session's token names for the model.
func pinned(in Input, model string) (*object.Version, error) {
	policy := in.View.Policies[in.Team.SessionPolicy]
	for _, name := range in.Session.Versions {
		v := in.View.Versions[name]
		if v == nil || v.Model != model {
			continue
		}
		if Expired(in.View, in.Team, in.Session, in.Now) {
			return nil, nil
		}
		if v.State == object.VersionActive {
			return v, nil
		}
		if policy != nil && policy.OnWithdrawn == object.WithdrawnRefuse {
			return nil, result.Newf(result.VersionWithdrawn, "Version %q.", name)
		}
	}
	return nil, nil
}

// rolledOut places the request by its session, or by its own identity without one. A session that is known only by the
// caller's own identifier has no record of its version, and a step in either direction would move it. It stays on the
// version that the roll-out starts from.
func rolledOut(in Input, r *object.Rollout) *object.Version {
	id := in.Session.ID
	if id == "" {
		id = in.RequestID
	}
	from, to := in.View.Versions[r.From], in.View.Versions[r.To]
	if r.Step >= 0 && !in.Session.Unsigned() && session.Point(r.Name+"/"+id) < r.Steps[r.Step] {
		from, to = to, from
	}
	if from.State == object.VersionActive {
		return from
	}
	if to.State == object.VersionActive && r.Step >= 0 {
		return to
	}
	return nil
}

// newest returns the active version with the best declared quality, the last by name among equals.
func newest(versions []*object.Version) *object.Version {
	var best *object.Version
	for _, v := range versions {
		if v.State == object.VersionActive && (best == nil || v.Quality >= best.Quality) {
			best = v
		}
	}
	return best
}

// order puts the cheapest candidate that meets the team's quality target first. If none meets it, the best one is the
// only candidate.
func (f *Filter) order(in Input, list []Candidate) []Candidate {
	good := list[:0:0]
	best, bestBound := list[0], -1.0
	for _, c := range list {
		bound := f.estimator.LowerBound(in.Kind, c.Version)
		if bound >= in.Team.QualityTarget {
			good = append(good, c)
		}
		if bound > bestBound {
			best, bestBound = c, bound
		}
	}
	if len(good) == 0 {
		return []Candidate{best}
	}
	slices.SortStableFunc(good, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(price(a.Version), price(b.Version)), cmp.Compare(a.Version.Name, b.Version.Name))
	})
	return good
}

// price compares versions by the cost of as many input as output tokens.
func price(v *object.Version) int64 { return v.Prices.Input + v.Prices.Output }
