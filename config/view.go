package config

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/bramleytrail/bramleytrail/declare"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/result"
)

// View is an immutable revision with indexes over its objects. Maps are by name unless noted.
type View struct {
	Revision  Revision
	Set       object.Set
	Domains   map[string]*object.FailureDomain
	Services  map[string]*object.Service
	Models    map[string]*object.Model
	Versions  map[string]*object.Version
	Teams     map[string]*object.Team
	Policies  map[string]*object.SessionPolicy
	Cascades  map[string]*object.Cascade
	ByModel   map[string][]*object.Version // by model, each list ordered by name
	Rollouts  map[string]*object.Rollout   // by model
	Releases  map[string]*object.Release   // by service
	routes    map[string][]*object.Route   // by host, longest prefix first
	teamByKey map[string]*object.Team      // by key hash
}

// NewView decodes, validates and indexes a revision. It fails with result.ConfigInvalid if the body can't be decoded or
// the set has findings.
func NewView(rev Revision) (*View, error) {
	set, err := declare.Decode(rev.Body)
	if err != nil {
		return nil, result.Wrap(result.ConfigInvalid, result.NotRun, err)
	}
	if findings := declare.Check(set, nil); len(findings) > 0 {
		return nil, result.Newf(result.ConfigInvalid, "%d findings, first: %s", len(findings), findings[0])
	}
	return Index(rev, set), nil
}

// Index returns the view of a set without validating it.
func Index(rev Revision, set object.Set) *View {
	v := &View{
		Revision: rev,
		Set:      set,
		Domains:  index(set.FailureDomains, func(o *object.FailureDomain) string { return o.Name }),
		Services: index(set.Services, func(o *object.Service) string { return o.Name }),
		Models:   index(set.Models, func(o *object.Model) string { return o.Name }),
		Versions: index(set.Versions, func(o *object.Version) string { return o.Name }),
		Teams:    index(set.Teams, func(o *object.Team) string { return o.Name }),
		Policies: index(set.SessionPolicies, func(o *object.SessionPolicy) string { return o.Name }),
		Cascades: index(set.Cascades, func(o *object.Cascade) string { return o.Name }),
		Rollouts: index(set.Rollouts, func(o *object.Rollout) string { return o.Model }),
		Releases: index(set.Releases, func(o *object.Release) string { return o.Service }),
		ByModel:  map[string][]*object.Version{},
		routes:   map[string][]*object.Route{},
	}
	for i := range set.Routes {
		r := &set.Routes[i]
		v.routes[r.Host] = append(v.routes[r.Host], r)
	}
	for _, list := range v.routes {
		slices.SortStableFunc(list, func(a, b *object.Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for i := range set.Versions {
		ver := &set.Versions[i]
		v.ByModel[ver.Model] = append(v.ByModel[ver.Model], ver)
	}
	for _, c := range v.Cascades {
		c.RatingLabel = c.Label() // computed here so that choosing a version does not allocate
	}
	v.teamByKey = map[string]*object.Team{}
	for _, t := range v.Teams {
		for _, h := range t.KeyHashes {
			v.teamByKey[h] = t
		}
	}
	return v
}

// Route returns the host's route with the longest prefix that matches path, or nil.
func (v *View) Route(host, path string) *object.Route {
	for _, r := range v.routes[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// index maps the key of each element of list to the element. The last of equal keys wins.
func index[T any](list []T, key func(*T) string) map[string]*T {
	m := make(map[string]*T, len(list))
	for i := range list {
		m[key(&list[i])] = &list[i]
	}
	return m
}

// HashKey returns the hex SHA-256 hash under which a bearer key is stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// TeamByKey returns the team that owns a bearer key, or nil.
func (v *View) TeamByKey(key string) *object.Team {
	return v.teamByKey[HashKey(key)]
}

// DomainInService reports whether a failure domain is declared and in service.
func (v *View) DomainInService(name string) bool {
	d := v.Domains[name]
	return d != nil && d.State == object.DomainIn
}
