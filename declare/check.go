package declare

import (
	"encoding/hex"
	"fmt"
	"time"

	"github.com/bramleytrail/bramleytrail/object"
)

// Upper bounds of declared numbers, and the length of a key hash.
const (
	maxPrice       = 1_000_000_000 // micro-units per 1,000 tokens
	maxSlots       = 4096
	maxTokens      = 100_000_000
	maxConcurrent  = 100_000
	maxRate        = 100_000 // requests a second
	maxPriority    = 9
	maxTimeout     = time.Hour
	maxSessionAge  = 30 * 24 * time.Hour
	sha256HexChars = 64
	maxAnswers     = 1_000_000_000
	maxStepTime    = 30 * 24 * time.Hour
)

// Check validates the whole set and returns every error; daemons refuse a set with any. It takes the files, lines and examples
// in the findings from sources, which may be nil.
func Check(set object.Set, sources Sources) []Finding {
	c := checker{set: set, sources: sources, index: newIndex(set)}
	c.checkDomains()
	c.checkServices()
	c.checkModels()
	c.checkVersions()
	c.checkSessionPolicies()
	c.checkCascades()
	c.checkTeams()
	c.checkRollouts()
	return c.findings
}

// index looks up the objects of a set by name.
type index struct {
	domains  map[string]object.FailureDomain
	services map[string]object.Service
	models   map[string]object.Model
	versions map[string]object.Version
	policies map[string]object.SessionPolicy
	cascades map[string]object.Cascade
	byModel  map[string][]object.Version
}

func newIndex(s object.Set) index {
	ix := index{
		domains:  byName(s.FailureDomains, func(v object.FailureDomain) string { return v.Name }),
		services: byName(s.Services, func(v object.Service) string { return v.Name }),
		models:   byName(s.Models, func(v object.Model) string { return v.Name }),
		versions: byName(s.Versions, func(v object.Version) string { return v.Name }),
		policies: byName(s.SessionPolicies, func(v object.SessionPolicy) string { return v.Name }),
		cascades: byName(s.Cascades, func(v object.Cascade) string { return v.Name }),
		byModel:  map[string][]object.Version{},
	}
	for _, v := range s.Versions {
		ix.byModel[v.Model] = append(ix.byModel[v.Model], v)
	}
	return ix
}

func byName[T any](list []T, name func(T) string) map[string]T {
	m := make(map[string]T, len(list))
	for _, v := range list {
		m[name(v)] = v
	}
	return m
}

type checker struct {
	set      object.Set
	sources  Sources
	index    index
	findings []Finding
}

func (c *checker) report(code Code, ref Ref, field, problem, want string) {
	f := NewFinding(code, ref, field, problem, want)
	if src, ok := c.sources[ref]; ok { // without sources, the findings are not for operators
		f.File, f.Line = src.File, src.line(field)
	}
	if c.sources != nil {
		f.Example = example(ref.Kind, field)
	}
	c.findings = append(c.findings, f)
}

// checkRange reports a value outside low to high, both inclusive.
func (c *checker) checkRange(ref Ref, field string, v, low, high int64) {
	if v < low || v > high {
		c.report(CodeOutOfRange, ref, field, fmt.Sprintf("%d is out of range", v), fmt.Sprintf("%d to %d", low, high))
	}
}

// checkDuration reports a duration that is not positive or exceeds high.
func (c *checker) checkDuration(ref Ref, field string, v, high time.Duration) {
	if v <= 0 || v > high {
		c.report(CodeOutOfRange, ref, field, fmt.Sprintf("%s is out of range", v), fmt.Sprintf("above 0s and at most %s", high))
	}
}

func (c *checker) checkDomains() {
	if len(c.set.FailureDomains) == 0 {
		c.report(CodeMissing, Ref{Kind: object.KindFailureDomain}, "", "none is declared", "at least one failure domain")
	}
	in := 0
	for _, d := range c.set.FailureDomains {
		ref := Ref{object.KindFailureDomain, d.Name}
		if d.Region == "" {
			c.report(CodeMissing, ref, "region", "is missing", "the region's name")
		}
		switch d.State {
		case object.DomainIn:
			in++
		case object.DomainOut:
		default:
			c.report(CodeUnknownValue, ref, "state", fmt.Sprintf("%q is unknown", d.State), "in or out")
		}
	}
	if in == 0 && len(c.set.FailureDomains) > 0 {
		c.report(CodeNoDomainInService, Ref{Kind: object.KindFailureDomain}, "state", "every failure domain is out", "at least one failure domain in service")
	}
}

func (c *checker) checkServices() {
	for _, s := range c.set.Services {
		ref := Ref{object.KindService, s.Name}
		if s.Type != object.ServiceModel && s.Type != object.ServicePlain {
			c.report(CodeUnknownValue, ref, "type", fmt.Sprintf("%q is unknown", s.Type), "model or plain")
		}
		if len(s.FailureDomains) == 0 {
			c.report(CodeMissing, ref, "failureDomains", "is empty", "at least one failure domain")
		}
		for i, d := range s.FailureDomains {
			if _, ok := c.index.domains[d]; !ok {
				c.report(CodeNotDeclared, ref, fmt.Sprintf("failureDomains[%d]", i), fmt.Sprintf("failure domain %q is not declared", d), "a declared failure domain")
			}
		}
		c.checkRange(ref, "limits.slots", int64(s.Limits.Slots), 1, maxSlots)
		c.checkRange(ref, "limits.coldSlots", int64(s.Limits.ColdSlots), 1, int64(max(1, s.Limits.Slots)))
		c.checkRange(ref, "limits.warmAfter", int64(s.Limits.WarmAfter), 0, maxSlots)
		if s.Type == object.ServiceModel {
			c.checkRange(ref, "limits.tokens", s.Limits.Tokens, 1, maxTokens)
		}
		c.checkDuration(ref, "timeouts.firstByte", s.Timeouts.FirstByte, maxTimeout)
		c.checkDuration(ref, "timeouts.progress", s.Timeouts.Progress, maxTimeout)
		c.checkRange(ref, "callPrice", s.CallPrice, 0, maxPrice)
		c.checkPlacement(ref, s)
	}
}

func (c *checker) checkModels() {
	for _, m := range c.set.Models {
		ref := Ref{object.KindModel, m.Name}
		svc, ok := c.index.services[m.Service]
		switch {
		case !ok:
			c.report(CodeNotDeclared, ref, "service", fmt.Sprintf("service %q is not declared", m.Service), "a declared service")
		case svc.Type != object.ServiceModel:
			c.report(CodeWrongType, ref, "service", fmt.Sprintf("service %q has type %s", m.Service, svc.Type), "a service of type model")
		}
		if len(c.index.byModel[m.Name]) == 0 {
			c.report(CodeMissing, ref, "", "has no version", "at least one Version that names this model")
		}
	}
}

func (c *checker) checkVersions() {
	for _, v := range c.set.Versions {
		ref := Ref{object.KindVersion, v.Name}
		if _, ok := c.index.models[v.Model]; !ok {
			c.report(CodeNotDeclared, ref, "model", fmt.Sprintf("model %q is not declared", v.Model), "a declared model")
		}
		switch v.State {
		case object.VersionActive, object.VersionWithdrawn, object.VersionRetired:
		default:
			c.report(CodeUnknownValue, ref, "state", fmt.Sprintf("%q is unknown", v.State), "active, withdrawn or retired")
		}
		c.checkFraction(ref, "quality", v.Quality)
		c.checkRange(ref, "prices.input", v.Prices.Input, 0, maxPrice)
		c.checkRange(ref, "prices.output", v.Prices.Output, 0, maxPrice)
		c.checkAdapter(ref, v)
	}
}

// checkFraction reports a value outside 0 to 1, or NaN.
func (c *checker) checkFraction(ref Ref, field string, v float64) {
	if !(v >= 0 && v <= 1) {
		c.report(CodeOutOfRange, ref, field, fmt.Sprintf("%g is out of range", v), "0 to 1")
	}
}

func (c *checker) checkSessionPolicies() {
	for _, p := range c.set.SessionPolicies {
		ref := Ref{object.KindSessionPolicy, p.Name}
		c.checkDuration(ref, "maxAge", p.MaxAge, maxSessionAge)
		if p.OnWithdrawn != object.WithdrawnMove && p.OnWithdrawn != object.WithdrawnRefuse {
			c.report(CodeUnknownValue, ref, "onWithdrawn", fmt.Sprintf("%q is unknown", p.OnWithdrawn), "move or refuse")
		}
	}
}

func (c *checker) checkCascades() {
	for _, cs := range c.set.Cascades {
		ref := Ref{object.KindCascade, cs.Name}
		if len(cs.Steps) == 0 {
			c.report(CodeMissing, ref, "steps", "is empty", "at least one model")
		}
		c.checkFraction(ref, "minConfidence", cs.MinConfidence)
		c.checkRange(ref, "minTokens", cs.MinTokens, 0, maxTokens)
		seen := map[string]bool{}
		for i, step := range cs.Steps {
			field := fmt.Sprintf("steps[%d]", i)
			if _, ok := c.index.cascades[step]; ok {
				c.report(CodeWrongType, ref, field, fmt.Sprintf("%q is a cascade", step), "a model; cascades can't contain cascades")
				continue
			}
			c.checkModelRef(ref, field, step)
			if seen[step] {
				c.report(CodeDuplicate, ref, field, fmt.Sprintf("model %q appears twice", step), "each model once")
			}
			seen[step] = true
		}
	}
}

// checkModelRef reports a reference to a model that is not declared or that has only retired versions.
func (c *checker) checkModelRef(ref Ref, field, name string) {
	if _, ok := c.index.models[name]; !ok {
		c.report(CodeNotDeclared, ref, field, fmt.Sprintf("model %q is not declared", name), "a declared model")
		return
	}
	versions := c.index.byModel[name]
	for _, v := range versions {
		if v.State != object.VersionRetired {
			return
		}
	}
	if len(versions) > 0 {
		c.report(CodeNoUsableVersion, ref, field, fmt.Sprintf("model %q has only retired versions", name), "a model with a version that is not retired")
	}
}

func (c *checker) checkTeams() {
	keyOwner := map[string]string{}
	for _, t := range c.set.Teams {
		ref := Ref{object.KindTeam, t.Name}
		c.checkTeamKeys(ref, t, keyOwner)
		c.checkTeamRefs(ref, t)
		c.checkFraction(ref, "qualityTarget", t.QualityTarget)
		c.checkRange(ref, "priority", int64(t.Priority), 0, maxPriority)
		c.checkRange(ref, "share", int64(t.Share), 1, maxConcurrent)
		c.checkRange(ref, "limits.concurrent", int64(t.Limits.Concurrent), 1, maxConcurrent)
		c.checkRange(ref, "limits.burst", int64(t.Limits.Burst), 1, maxConcurrent)
		c.checkRange(ref, "limits.maxTokens", t.Limits.MaxTokens, 1, maxTokens)
		if !(t.Limits.RequestsPerSecond > 0 && t.Limits.RequestsPerSecond <= maxRate) {
			c.report(CodeOutOfRange, ref, "limits.requestsPerSecond", fmt.Sprintf("%g is out of range", t.Limits.RequestsPerSecond), fmt.Sprintf("above 0 and at most %d", maxRate))
		}
	}
}

// checkTeamKeys reports invalid key hashes and those in keyOwner, which maps the hashes seen so far to their teams.
func (c *checker) checkTeamKeys(ref Ref, t object.Team, keyOwner map[string]string) {
	if len(t.KeyHashes) == 0 {
		c.report(CodeMissing, ref, "keyHashes", "is empty", "at least one hex SHA-256 hash")
	}
	for i, h := range t.KeyHashes {
		field := fmt.Sprintf("keyHashes[%d]", i)
		if _, err := hex.DecodeString(h); err != nil || len(h) != sha256HexChars {
			c.report(CodeInvalidKeyHash, ref, field, "is not a SHA-256 hash", "64 lower-case hex digits")
		}
		if other, ok := keyOwner[h]; ok {
			c.report(CodeSharedKey, ref, field, fmt.Sprintf("is also a key of team %q", other), "a key that belongs to one team")
		}
		keyOwner[h] = t.Name
	}
}

func (c *checker) checkTeamRefs(ref Ref, t object.Team) {
	if len(t.Models) == 0 && len(t.Services) == 0 {
		c.report(CodeNoPermission, ref, "models", "the team may use no model and no service", "at least one model or plain service")
	}
	for i, m := range t.Models {
		c.checkModelRef(ref, fmt.Sprintf("models[%d]", i), m)
	}
	for i, name := range t.Services {
		field := fmt.Sprintf("services[%d]", i)
		svc, ok := c.index.services[name]
		switch {
		case !ok:
			c.report(CodeNotDeclared, ref, field, fmt.Sprintf("service %q is not declared", name), "a declared service")
		case svc.Type != object.ServicePlain:
			c.report(CodeWrongType, ref, field, fmt.Sprintf("service %q has type %s", name, svc.Type), "a service of type plain; model services are allowed through models")
		}
	}
	if t.SessionPolicy != "" {
		if _, ok := c.index.policies[t.SessionPolicy]; !ok {
			c.report(CodeNotDeclared, ref, "sessionPolicy", fmt.Sprintf("session policy %q is not declared", t.SessionPolicy), "a declared session policy")
		}
	}
	c.checkTeamCascade(ref, t)
	c.checkTeamQuality(ref, t)
}

func (c *checker) checkTeamCascade(ref Ref, t object.Team) {
	if t.Cascade == "" {
		return
	}
	cs, ok := c.index.cascades[t.Cascade]
	if !ok {
		c.report(CodeNotDeclared, ref, "cascade", fmt.Sprintf("cascade %q is not declared", t.Cascade), "a declared cascade")
		return
	}
	allowed := map[string]bool{}
	for _, m := range t.Models {
		allowed[m] = true
	}
	for _, step := range cs.Steps {
		if !allowed[step] {
			c.report(CodeCascadeNotAllowed, ref, "cascade", fmt.Sprintf("step %q of cascade %q is not among the team's models", step, cs.Name), "a cascade of allowed models")
		}
	}
}

// checkTeamQuality reports a team without an allowed active version, or whose allowed active versions are all below its
// quality target.
func (c *checker) checkTeamQuality(ref Ref, t object.Team) {
	if len(t.Models) == 0 {
		return
	}
	best, found := 0.0, false
	for _, m := range t.Models {
		for _, v := range c.index.byModel[m] {
			if v.State == object.VersionActive {
				best, found = max(best, v.Quality), true
			}
		}
	}
	if !found {
		c.report(CodeNoUsableVersion, ref, "models", "no allowed model has an active version", "at least one active version")
		return
	}
	if best < t.QualityTarget {
		c.report(CodeUnreachableQuality, ref, "qualityTarget", fmt.Sprintf("%g is above the best allowed version's quality %g", t.QualityTarget, best), fmt.Sprintf("at most %g, or a better allowed model", best))
	}
}

func (c *checker) checkRollouts() {
	byModel := map[string]string{}
	for _, r := range c.set.Rollouts {
		ref := Ref{object.KindRollout, r.Name}
		c.checkModelRef(ref, "model", r.Model)
		if other, ok := byModel[r.Model]; ok {
			c.report(CodeDuplicate, ref, "model", fmt.Sprintf("model %q already has roll-out %q", r.Model, other), "one roll-out per model")
		}
		byModel[r.Model] = r.Name
		c.checkRolloutVersion(ref, "from", r.From, r.Model)
		c.checkRolloutVersion(ref, "to", r.To, r.Model)
		if r.From == r.To {
			c.report(CodeSameVersion, ref, "to", "equals from", "a different version")
		}
		c.checkRolloutSteps(ref, r)
	}
}

// checkRolloutVersion reports a version that is not declared, is retired or belongs to another model.
func (c *checker) checkRolloutVersion(ref Ref, field, name, model string) {
	v, ok := c.index.versions[name]
	switch {
	case !ok:
		c.report(CodeNotDeclared, ref, field, fmt.Sprintf("version %q is not declared", name), "a declared version")
	case v.Model != model:
		c.report(CodeWrongType, ref, field, fmt.Sprintf("version %q belongs to model %q", name, v.Model), "a version of model "+model)
	case v.State == object.VersionRetired:
		c.report(CodeNoUsableVersion, ref, field, fmt.Sprintf("version %q is retired", name), "a version that is not retired")
	}
}

func (c *checker) checkRolloutSteps(ref Ref, r object.Rollout) {
	if len(r.Steps) == 0 {
		c.report(CodeMissing, ref, "steps", "is empty", "at least one share")
	}
	previous := 0.0
	for i, s := range r.Steps {
		if !(s > previous && s <= 1) {
			c.report(CodeStepsNotAscending, ref, fmt.Sprintf("steps[%d]", i), fmt.Sprintf("%g does not ascend from %g", s, previous), "shares that ascend, above 0 and at most 1")
		}
		previous = s
	}
	c.checkRange(ref, "step", int64(r.Step), -1, int64(len(r.Steps)-1))
	c.checkRange(ref, "minAnswers", r.MinAnswers, 0, maxAnswers)
	c.checkRange(ref, "minTime", int64(r.MinTime), 0, int64(maxStepTime))
	c.checkRange(ref, "slowAfter", int64(r.SlowAfter), 0, int64(maxTimeout))
	c.checkRange(ref, "attempt", int64(r.Attempt), 0, maxAnswers)
}
