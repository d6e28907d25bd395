// Package choose is the fourth stage: it selects the versions that may answer a request, in the order in which they are
// tried. It is pure: configuration, estimates and identities are handed in.
package choose

import (
	"slices"
	"time"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/result"
	"github.com/bramleytrail/bramleytrail/session"
)

// AutoModel is the model name with which a caller leaves the choice to the router.
const AutoModel = "auto"

// Steps gives the step of a roll-out that is in force.
type Steps interface {
	// Step returns the index of the step, -1 for none, and whether the roll-out's new version is out of service.
	Step(r *object.Rollout) (step int, halted bool)
}

// DeclaredSteps is the Steps that returns the declared step.
type DeclaredSteps struct{}

// Step implements Steps.
func (DeclaredSteps) Step(r *object.Rollout) (int, bool) { return r.Step, false }

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
	// Once excludes cascades, which may run several models for one request.
	Once bool
}

// Candidate is a version that may answer.
type Candidate struct {
	Service string
	Version *object.Version

	option
}

// Choice is the result.
type Choice struct {
	// Candidates are alternatives, the preferred one first, or the steps of Cascade in their order.
	Candidates []Candidate
	Cascade    *object.Cascade // nil if one version answers
	Explored   bool            // the first choice was made to learn about it

	grounds
}

// Spec configures a Filter.
type Spec struct {
	Estimator Estimator
	Steps     Steps
	// ClimbRate returns the part of a cascade's requests that reach its next step; nil for an assumed rate.
	ClimbRate func(cascade string) float64
	// Explore bounds exploration; the zero value allows none.
	Explore Budget
}

// Filter chooses versions.
type Filter struct {
	spec    Spec
	explore explorer
}

// New returns a filter. Steps may be nil for the declared ones.
func New(s Spec) *Filter {
	if s.Steps == nil {
		s.Steps = DeclaredSteps{}
	}
	if s.ClimbRate == nil {
		s.ClimbRate = func(string) float64 { return AssumedClimbRate }
	}
	f := &Filter{spec: s}
	f.explore.init(s.Explore)
	return f
}

// Do returns the choice. Apart from the list of candidates, it allocates nothing.
func (f *Filter) Do(in Input) (Choice, error) {
	if in.Model != AutoModel {
		return f.named(in)
	}
	if c, err := f.lastUsed(in); c != nil || err != nil {
		return Choice{Candidates: c, grounds: grounds{rule: RuleSession}}, err
	}
	list := make([]Candidate, 0, len(in.Team.Models))
	for _, m := range in.Team.Models {
		v, err := f.resolve(in, m)
		if err != nil {
			return Choice{}, err
		}
		if v != nil {
			list = append(list, Candidate{Service: in.View.Models[m].Service, Version: v})
		}
	}
	if len(list) == 0 {
		return Choice{}, result.Newf(result.NoVersion, "")
	}
	return f.order(in, list), nil
}

// named resolves a model or version that the request names.
func (f *Filter) named(in Input) (Choice, error) {
	name := in.Model
	if v := in.View.Versions[name]; v != nil {
		name = v.Model
	}
	m := in.View.Models[name]
	if m == nil || !slices.Contains(in.Team.Models, name) {
		return Choice{}, result.Newf(result.ModelNotAllowed, "Model %q.", in.Model)
	}
	v, err := f.resolve(in, name)
	if err != nil {
		return Choice{}, err
	}
	if v == nil {
		return Choice{}, result.Newf(result.NoVersion, "")
	}
	return Choice{Candidates: []Candidate{{Service: m.Service, Version: v}}, grounds: grounds{rule: RuleNamed}}, nil
}

// countSession charges the requests of a session that stays on a version below the target to the budget of exploration,
// whose first request may have been chosen to explore.
func (f *Filter) countSession(in Input, v *object.Version) {
	e := f.estimate(in, v)
	f.explore.count(in.Team.Name, price(v), e.Lower < in.Team.QualityTarget)
}

// inService reports whether a version is active and not halted in a roll-out.
func (f *Filter) inService(in Input, v *object.Version) bool {
	if v.State != object.VersionActive {
		return false
	}
	if r := in.View.Rollouts[v.Model]; r != nil && r.To == v.Name {
		_, halted := f.spec.Steps.Step(r)
		return !halted
	}
	return true
}

// resolve returns the version of a model that serves the request, or nil if the model has no active one.
func (f *Filter) resolve(in Input, model string) (*object.Version, error) {
	if v := in.View.Versions[in.Model]; v != nil {
		if !f.inService(in, v) {
			return nil, result.Newf(result.VersionWithdrawn, "Version %q is not in service.", v.Name)
		}
		return v, nil
	}
	if v, err := f.pinned(in, model); v != nil || err != nil {
		return v, err
	}
	if r := in.View.Rollouts[model]; r != nil {
		if v := f.rolledOut(in, r); v != nil {
			return v, nil
		}
	}
	return f.newest(in, in.View.ByModel[model]), nil
}

// Expired reports whether a session has reached its policy's age. It then begins anew.
func Expired(view *config.View, team *object.Team, t session.Token, now time.Time) bool {
	policy := view.Policies[team.SessionPolicy]
	return policy != nil && !t.Issued.IsZero() && now.Sub(t.Issued) > policy.MaxAge
}

// lastUsed keeps a session that leaves the choice of the model to the router on the version that it used last, also when
// prices or quality estimates change. It returns nil if the session has none or may leave it.
func (f *Filter) lastUsed(in Input) ([]Candidate, error) {
	n := len(in.Session.Versions)
	if n == 0 {
		return nil, nil
	}
	last := in.View.Versions[in.Session.Versions[n-1]]
	if last == nil || !slices.Contains(in.Team.Models, last.Model) {
		return nil, nil
	}
	v, err := f.pinned(in, last.Model)
	if v == nil || err != nil {
		return nil, err
	}
	f.countSession(in, v)
	return []Candidate{{Service: in.View.Models[v.Model].Service, Version: v}}, nil
}

// pinned returns the version that the session's token names for the model.
func (f *Filter) pinned(in Input, model string) (*object.Version, error) {
	policy := in.View.Policies[in.Team.SessionPolicy]
	for _, name := range in.Session.Versions {
		v := in.View.Versions[name]
		if v == nil || v.Model != model {
			continue
		}
		if Expired(in.View, in.Team, in.Session, in.Now) {
			return nil, nil
		}
		if f.inService(in, v) {
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
func (f *Filter) rolledOut(in Input, r *object.Rollout) *object.Version {
	id := in.Session.ID
	if id == "" {
		id = in.RequestID
	}
	step, halted := f.spec.Steps.Step(r)
	started := step >= 0 && !halted
	from, to := in.View.Versions[r.From], in.View.Versions[r.To]
	if started && !in.Session.Unsigned() && session.ScopedUnitHash(r.Name, id) < r.Steps[min(step, len(r.Steps)-1)] {
		from, to = to, from
	}
	if from.State == object.VersionActive {
		return from
	}
	if to.State == object.VersionActive && started {
		return to
	}
	return nil
}

// newest returns the version in service with the best declared quality, the last by name among equals.
func (f *Filter) newest(in Input, versions []*object.Version) *object.Version {
	var best *object.Version
	for _, v := range versions {
		if f.inService(in, v) && (best == nil || v.Quality >= best.Quality) {
			best = v
		}
	}
	return best
}
