package declare

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/bramleytrail/bramleytrail/object"
)

// RetryBudget bounds the retries of a service: each request adds Ratio retries, and Reserve are allowed beyond.
type RetryBudget struct{ Ratio, Reserve float64 }

// CheckRoutes returns every error of a set with routes; daemons refuse a set with any.
func CheckRoutes(set object.Set) []Finding {
	var c routeChecker
	for i, r := range set.Routes {
		if len(r.Backends) == 0 {
			c.report(CodeRouteNoService, object.KindRoute, i, r.Name, "backends", "has no service", "a service that receives the route's requests")
		}
	}
	return c.findings
}

// Outdated reports whether daemons ignore a set with routes because its version is below the one in force.
func Outdated(version, inForce uint64) bool { return version < inForce }

// CheckVersion compares the version of a set with routes with the one in force. Daemons apply another set with the version in
// force, but its version then no longer tells which of the two a daemon has.
func CheckVersion(version, inForce uint64, changed bool) []Finding {
	var c routeChecker
	want := fmt.Sprintf("above %d", inForce)
	switch {
	case Outdated(version, inForce):
		c.report(CodeVersionOutdated, "", 0, "", "version", fmt.Sprintf("%d is below %d, which is in force", version, inForce), want)
	case version == inForce && changed:
		c.report(CodeVersionUnchanged, "", 0, "", "version", fmt.Sprintf("%d is in force with other content", version), want)
	}
	return c.findings
}

// WarnRoutes returns the parts of a set with routes that have no effect or contradict each other. Daemons accept them. Attempts
// are compared with the retry budget unless it is nil.
func WarnRoutes(set object.Set, budget *RetryBudget) []Finding {
	c := routeChecker{services: byName(set.Services, func(s object.Service) string { return s.Name })}
	c.warnMatches(set.Routes)
	for i := range set.Routes {
		c.warnBackends(i, &set.Routes[i])
		c.warnTimes(i, &set.Routes[i])
		c.warnAttempts(i, &set.Routes[i], budget)
	}
	c.warnServices(set)
	c.warnTeams(set)
	return c.findings
}

type routeChecker struct {
	services map[string]object.Service
	findings []Finding
}

func (c *routeChecker) report(code Code, kind object.Kind, i int, name, field, problem, want string) {
	f := NewFinding(code, Ref{kind, name}, field, problem, want)
	f.Index = i
	c.findings = append(c.findings, f)
}

// warnMatches reports routes that match no request. As in config.View.Route, the longest prefix of a host wins, and the first of
// equal ones.
func (c *routeChecker) warnMatches(routes []object.Route) {
	type match struct{ host, prefix string }
	first := map[match]string{}
	for i, r := range routes {
		if r.Host == "" {
			c.report(CodeRouteUnreachable, object.KindRoute, i, r.Name, "host", "is empty", "the host that callers name")
		}
		if r.PathPrefix != "" && !strings.HasPrefix(r.PathPrefix, "/") {
			c.report(CodeRouteUnreachable, object.KindRoute, i, r.Name, "pathPrefix", fmt.Sprintf("%q is the start of no path", r.PathPrefix), "a prefix that begins with a slash")
		}
		m := match{r.Host, r.PathPrefix}
		if other, ok := first[m]; ok {
			c.report(CodeRouteShadowed, object.KindRoute, i, r.Name, "pathPrefix", fmt.Sprintf("route %q before it has the same host and prefix", other), "another prefix or host")
			continue
		}
		first[m] = r.Name
	}
}

// warnBackends reports services that get no request of the route, and models that none of its services declares.
func (c *routeChecker) warnBackends(i int, r *object.Route) {
	positive := slices.ContainsFunc(r.Backends, func(b object.Backend) bool { return b.Weight > 0 })
	var names []string
	priced := len(r.Models) > 0
	for j, b := range r.Backends {
		field := fmt.Sprintf("backends[%d]", j)
		s, ok := c.services[b.Service]
		if !ok {
			c.report(CodeServiceUndeclared, object.KindRoute, i, r.Name, field+".service", fmt.Sprintf("service %q is not declared", b.Service), "a declared service")
		}
		if b.Weight <= 0 && positive {
			c.report(CodeWeightZero, object.KindRoute, i, r.Name, field+".weight", fmt.Sprintf("weight %d sends no request to service %q", b.Weight, b.Service), "a weight above 0, or no entry")
		}
		priced = priced && ok && s.Routed != nil && len(s.Routed.Tariffs) > 0
		if priced {
			for m := range s.Routed.Tariffs {
				names = append(names, m)
			}
		}
	}
	if !positive && len(r.Backends) > 0 {
		c.report(CodeWeightZero, object.KindRoute, i, r.Name, "backends", fmt.Sprintf("no weight is above 0, so service %q gets every request", r.Backends[0].Service), "a weight above 0")
	}
	for j, m := range r.Models {
		if priced && !slices.Contains(names, m) {
			c.report(CodeModelUnknown, object.KindRoute, i, r.Name, fmt.Sprintf("models[%d]", j), fmt.Sprintf("no service of the route declares a cost for model %q", m), "a model of the services' engines")
		}
	}
}

func (c *routeChecker) warnTimes(i int, r *object.Route) {
	if r.Timeout <= 0 {
		c.report(CodeNoTimeout, object.KindRoute, i, r.Name, "timeout", fmt.Sprintf("%s is no timeout", r.Timeout), "a time above 0")
		return
	}
	for _, t := range []struct {
		field string
		value time.Duration
	}{{"target", r.TargetLatency}, {"gap", r.TargetGap}} {
		if t.value > r.Timeout {
			c.report(CodeTargetOverTimeout, object.KindRoute, i, r.Name, t.field, fmt.Sprintf("%s is above the timeout %s", t.value, r.Timeout), "at most the timeout")
		}
	}
}

func (c *routeChecker) warnAttempts(i int, r *object.Route, budget *RetryBudget) {
	if r.Resumable && !r.Stream {
		c.report(CodeResumeNoEffect, object.KindRoute, i, r.Name, "resumable", "is set, but the route is no stream", "a stream, or no resumption")
	}
	if budget != nil && float64(r.Attempts-1) > budget.Ratio+budget.Reserve {
		c.report(CodeAttemptsBudget, object.KindRoute, i, r.Name, "attempts", fmt.Sprintf("%d attempts need %d retries, a request has at most %g", r.Attempts, r.Attempts-1, budget.Ratio+budget.Reserve),
			"fewer attempts or a larger retry budget")
	}
}

func (c *routeChecker) warnServices(set object.Set) {
	longest := map[string]time.Duration{} // timeout of the routes, by service
	for _, r := range set.Routes {
		for _, b := range r.Backends {
			longest[b.Service] = max(longest[b.Service], r.Timeout)
		}
	}
	last := lastByName(set.Services, func(s object.Service) string { return s.Name })
	for i, s := range set.Services {
		if last[s.Name] != i {
			c.report(CodeNameRepeated, object.KindService, i, s.Name, "name", "a later service has the same name and replaces this one", "a name of its own")
		}
		timeout, routed := longest[s.Name]
		if !routed {
			c.report(CodeServiceUnrouted, object.KindService, i, s.Name, "", "no route names the service", "a route with this service")
		}
		if s.Routed == nil {
			continue
		}
		if n := s.Routed.Connections; n > 0 && n < s.Limits.Slots {
			c.report(CodeConnectionsShort, object.KindService, i, s.Name, "connections", fmt.Sprintf("%d connections are fewer than %d slots", n, s.Limits.Slots), "at least as many connections as slots")
		}
		if rate := s.Routed.ColdPerSecond; rate < 0 {
			c.report(CodeLimitIgnored, object.KindService, i, s.Name, "coldPerSecond", fmt.Sprintf("%g is ignored", rate), "a rate above 0, or 0 for no limit")
		} else if rate > 0 && timeout > 0 && 1/rate > timeout.Seconds() {
			c.report(CodeColdRate, object.KindService, i, s.Name, "coldPerSecond", fmt.Sprintf("a cold endpoint takes a request each %.3g s, every route ends within %s", 1/rate, timeout),
				"a higher rate, or 0 for no limit")
		}
	}
}

// warnTeams reports teams for which no request counts, and keys that identify no single team.
func (c *routeChecker) warnTeams(set object.Set) {
	last := lastByName(set.Teams, func(t object.Team) string { return t.Name })
	owner := map[string]int{}
	for i, t := range set.Teams {
		switch {
		case last[t.Name] != i:
			c.report(CodeNameRepeated, object.KindTeam, i, t.Name, "name", "a later team has the same name and replaces this one", "a name of its own")
			continue
		case len(t.KeyHashes) == 0:
			c.report(CodeTeamUnreachable, object.KindTeam, i, t.Name, "keyHashes", "the team has no key", "at least one key")
		case len(set.Routes) == 0:
			c.report(CodeTeamUnreachable, object.KindTeam, i, t.Name, "", "there is no route that the team could use", "a route")
		}
		for j, h := range t.KeyHashes {
			if other, ok := owner[h]; ok && other != i {
				c.report(CodeKeyRepeated, object.KindTeam, i, t.Name, fmt.Sprintf("keyHashes[%d]", j), fmt.Sprintf("is also a key of team %q", set.Teams[other].Name), "a key that belongs to one team")
			}
			owner[h] = i
		}
	}
}

// lastByName returns the position of the last element with each name, which is the one that config.Index uses.
func lastByName[T any](list []T, name func(T) string) map[string]int {
	m := make(map[string]int, len(list))
	for i, v := range list {
		m[name(v)] = i
	}
	return m
}
