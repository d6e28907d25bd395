// Package choose is the fourth stage of the pipeline. It selects the versions that may answer a request, in the order
// in which they are tried. It does no I/O: the caller passes configuration, quality estimates, identities and the time.
package choose

import (
	"slices"
	"time"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/result"
	"github.com/bramleytrail/bramleytrail/session"
)

// AutoModel is the model name with which a caller lets the router choose the model.
const AutoModel = "auto"

// RolloutSteps reports the step of a rollout that is in force at this daemon. It must be safe for concurrent use.
type RolloutSteps interface {
	// Step returns the index of the step in r.Steps, or -1 if none is in force, and whether the rollout is halted, which
	// puts its new version out of service.
	Step(r *object.Rollout) (step int, halted bool)
}

// DeclaredRolloutSteps implements RolloutSteps with the step declared in the configuration. It never halts a rollout.
type DeclaredRolloutSteps struct{}

// Step implements RolloutSteps.
func (DeclaredRolloutSteps) Step(r *object.Rollout) (int, bool) { return r.Step, false }

// Input describes the request for which Filter.Do chooses versions. View and Team are required.
type Input struct {
	View    *config.View
	Team    *object.Team
	Model   string // model, version or AutoModel
	Kind    string // kind of request, which selects the quality estimates
	Session session.Token
	// RequestID assigns a request without a session, by its hash, to a version of a rollout and to an option of a split.
	RequestID string
	Now       time.Time
	// NoCascade excludes cascades, which may call several models for one request.
	NoCascade bool
}

// Candidate is a version that may answer the request, with the service that runs it.
type Candidate struct {
	Service string
	Version *object.Version

	option
}

// Choice is the result of Filter.Do.
type Choice struct {
	// Candidates are alternatives with the preferred one first or, if Cascade is set, one version for each of its steps.
	Candidates []Candidate
	Cascade    *object.Cascade // nil if one version answers
	Explored   bool            // chosen to collect ratings, although another option would answer otherwise

	grounds
}

// Spec configures a Filter.
type Spec struct {
	Estimator    Estimator
	RolloutSteps RolloutSteps
	// EscalationRate returns the share of a cascade's answers, from 0 to 1, that escalate to the next step. If it is nil,
	// AssumedEscalationRate applies.
	EscalationRate func(cascade string) float64
	// Exploration limits exploration. The zero value disables it.
	Exploration ExplorationBudget
}

// Filter chooses the versions that may answer a request. It is safe for concurrent use.
type Filter struct {
	spec    Spec
	explore explorer
}

// New returns a filter. Spec.Estimator is required; if RolloutSteps is nil, the declared steps apply.
func New(s Spec) *Filter {
	if s.RolloutSteps == nil {
		s.RolloutSteps = DeclaredRolloutSteps{}
	}
	if s.EscalationRate == nil {
		s.EscalationRate = func(string) float64 { return AssumedEscalationRate }
	}
	f := &Filter{spec: s}
	f.explore.init(s.Exploration)
	return f
}

// Do chooses the versions for a request. It returns a result error if the team may not use the model or no version is
// in service. It is called for each request and allocates nothing but the list of candidates.
func (f *Filter) Do(in Input) (Choice, error) {
	if in.Model != AutoModel {
		return f.chooseNamed(in)
	}
	if c, err := f.sessionCandidates(in); c != nil || err != nil {
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
	return f.chooseByRatings(in, list), nil
}

// chooseNamed chooses the version for a request that names a model or a version.
func (f *Filter) chooseNamed(in Input) (Choice, error) {
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

// chargeSession charges a request of a session that stays on a version below the target to the exploration budget,
// because the session's first request may have been chosen to explore.
func (f *Filter) chargeSession(in Input, v *object.Version) {
	e := f.estimate(in, v)
	f.explore.countWithoutChoice(in.Team.Name, price(v), e.Lower < in.Team.QualityTarget)
}

// inService reports whether a version is active and is not the new version of a halted rollout.
func (f *Filter) inService(in Input, v *object.Version) bool {
	if v.State != object.VersionActive {
		return false
	}
	if r := in.View.Rollouts[v.Model]; r != nil && r.To == v.Name {
		_, halted := f.spec.RolloutSteps.Step(r)
		return !halted
	}
	return true
}

// resolve returns the version of a model that serves the request, or nil if the model has no version in service.
func (f *Filter) resolve(in Input, model string) (*object.Version, error) {
	if v := in.View.Versions[in.Model]; v != nil {
		if !f.inService(in, v) {
			return nil, result.Newf(result.VersionWithdrawn, "Version %q is not in service.", v.Name)
		}
		return v, nil
	}
	if v, err := f.pinnedVersion(in, model); v != nil || err != nil {
		return v, err
	}
	if r := in.View.Rollouts[model]; r != nil {
		if v := f.rolloutVersion(in, r); v != nil {
			return v, nil
		}
	}
	return f.bestDeclared(in, in.View.ByModel[model]), nil
}

// Expired reports whether a session is older than the MaxAge of its team's session policy. An expired session may
// change its version.
func Expired(view *config.View, team *object.Team, t session.Token, now time.Time) bool {
	policy := view.Policies[team.SessionPolicy]
	return policy != nil && !t.Issued.IsZero() && now.Sub(t.Issued) > policy.MaxAge
}

// sessionCandidates returns the version that the session used last, so that a session with AutoModel stays on its
// version when prices or quality estimates change. It returns nil if the session has used no version or may change it.
func (f *Filter) sessionCandidates(in Input) ([]Candidate, error) {
	n := len(in.Session.Versions)
	if n == 0 {
		return nil, nil
	}
	last := in.View.Versions[in.Session.Versions[n-1]]
	if last == nil || !slices.Contains(in.Team.Models, last.Model) {
		return nil, nil
	}
	v, err := f.pinnedVersion(in, last.Model)
	if v == nil || err != nil {
		return nil, err
	}
	f.chargeSession(in, v)
	return []Candidate{{Service: in.View.Models[v.Model].Service, Version: v}}, nil
}

// pinnedVersion returns the version that the session's token names for the model. It returns nil if the token names
// none, the session has expired, or the version is out of service and the session may move to another one.
func (f *Filter) pinnedVersion(in Input, model string) (*object.Version, error) {
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

// rolloutVersion returns the old or the new version of a rollout, by a hash of the session's ID or, without a session,
// of the request's. It returns nil if neither version can serve. An unsigned session, which is known only by the
// caller's own identifier, has no record of its version, so each change of the step could move it. It therefore stays
// on the old version.
func (f *Filter) rolloutVersion(in Input, r *object.Rollout) *object.Version {
	id := in.Session.ID
	if id == "" {
		id = in.RequestID
	}
	step, halted := f.spec.RolloutSteps.Step(r)
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

// bestDeclared returns the version in service with the highest declared quality, and the last in the list among equals.
// It returns nil if none is in service.
func (f *Filter) bestDeclared(in Input, versions []*object.Version) *object.Version {
	var best *object.Version
	for _, v := range versions {
		if f.inService(in, v) && (best == nil || v.Quality >= best.Quality) {
			best = v
		}
	}
	return best
}
