package declare

import (
	"fmt"

	"github.com/bramleytrail/bramleytrail/object"
)

// Warn returns the parts of a valid set that have no effect or contradict each other. Daemons accept them.
func Warn(set object.Set, sources Sources) []Finding {
	c := checker{set: set, sources: sources, index: newIndex(set)}
	c.warnUnused()
	c.warnServices()
	c.warnCascades()
	c.warnTeamTokens()
	c.warnRollouts()
	return c.findings
}

// warnUnused reports objects to which nothing refers.
func (c *checker) warnUnused() {
	used := map[Ref]bool{}
	for _, t := range c.set.Teams {
		for _, m := range t.Models {
			used[Ref{object.KindModel, m}] = true
		}
		for _, s := range t.Services {
			used[Ref{object.KindService, s}] = true
		}
		used[Ref{object.KindCascade, t.Cascade}], used[Ref{object.KindSessionPolicy, t.SessionPolicy}] = true, true
	}
	for _, v := range c.set.Versions {
		if base, ok := c.index.versions[v.AdapterOf]; ok {
			used[Ref{object.KindModel, base.Model}] = true
		}
	}
	for _, m := range c.set.Models {
		used[Ref{object.KindService, m.Service}] = true
		c.warnIfUnused(used, Ref{object.KindModel, m.Name}, "no team may use the model", "a team that names the model in models")
	}
	for _, s := range c.set.Services {
		for _, d := range s.FailureDomains {
			used[Ref{object.KindFailureDomain, d}] = true
		}
		c.warnIfUnused(used, Ref{object.KindService, s.Name}, "no model and no team names the service", "a model or, for a plain service, a team that names it")
	}
	for _, d := range c.set.FailureDomains {
		c.warnIfUnused(used, Ref{object.KindFailureDomain, d.Name}, "no service names the failure domain", "a service that has endpoints there")
	}
	for _, cs := range c.set.Cascades {
		c.warnIfUnused(used, Ref{object.KindCascade, cs.Name}, "no team names the cascade", "a team with this cascade")
	}
	for _, p := range c.set.SessionPolicies {
		c.warnIfUnused(used, Ref{object.KindSessionPolicy, p.Name}, "no team names the session policy", "a team with this sessionPolicy")
	}
}

func (c *checker) warnIfUnused(used map[Ref]bool, ref Ref, problem, want string) {
	if !used[ref] {
		c.report(CodeUnused, ref, "", problem, want)
	}
}

func (c *checker) warnServices() {
	for _, s := range c.set.Services {
		ref := Ref{object.KindService, s.Name}
		in := false
		for _, d := range s.FailureDomains {
			in = in || c.index.domains[d].State == object.DomainIn
		}
		if !in {
			c.report(CodeServiceOut, ref, "failureDomains", "every failure domain of the service is out", "at least one that is in service")
		}
		if s.Limits.WarmAfter > 0 && s.Limits.ColdSlots == s.Limits.Slots {
			c.report(CodeColdNoEffect, ref, "limits.coldSlots", fmt.Sprintf("%d slots when cold are as many as when warm, so warmAfter has no effect", s.Limits.ColdSlots),
				"fewer coldSlots than slots, or warmAfter 0")
		}
	}
}

// warnCascades reports steps that no request reaches because their models have no active version.
func (c *checker) warnCascades() {
	for _, cs := range c.set.Cascades {
		for i, step := range cs.Steps {
			active := false
			for _, v := range c.index.byModel[step] {
				active = active || v.State == object.VersionActive
			}
			if !active {
				c.report(CodeStepNeverReached, Ref{object.KindCascade, cs.Name}, fmt.Sprintf("steps[%d]", i),
					fmt.Sprintf("model %q has no active version", step), "a model with an active version")
			}
		}
	}
}

// warnTeamTokens reports a team whose largest request has more tokens than any endpoint of its models takes at once.
func (c *checker) warnTeamTokens() {
	for _, t := range c.set.Teams {
		most := int64(0)
		for _, m := range t.Models {
			most = max(most, c.index.services[c.index.models[m].Service].Limits.Tokens)
		}
		if len(t.Models) > 0 && t.Limits.MaxTokens > most {
			c.report(CodeTokensNeverFit, Ref{object.KindTeam, t.Name}, "limits.maxTokens", fmt.Sprintf("%d is above the %d tokens that an endpoint takes at once", t.Limits.MaxTokens, most),
				fmt.Sprintf("at most %d, or higher limits.tokens of a service", most))
		}
	}
}

// warnRollouts reports a limit for slow answers that no answer exceeds because the service's timeout ends it before.
func (c *checker) warnRollouts() {
	for _, r := range c.set.Rollouts {
		timeout := c.index.services[c.index.models[r.Model].Service].Timeouts.FirstByte
		if r.SlowAfter >= timeout {
			c.report(CodeTargetOverTimeout, Ref{object.KindRollout, r.Name}, "slowAfter", fmt.Sprintf("%s is not below the timeout %s of the first byte", r.SlowAfter, timeout),
				fmt.Sprintf("below %s", timeout))
		}
	}
}
