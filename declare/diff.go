package declare

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/bramleytrail/bramleytrail/object"
)

// Change is one difference between two sets.
type Change struct {
	Kind  object.Kind `json:"kind"`
	Name  string      `json:"name"`
	Field string      `json:"field,omitempty"` // empty if the whole object was added or removed
	Old   string      `json:"old,omitempty"`   // JSON; empty if added
	New   string      `json:"new,omitempty"`   // JSON; empty if removed
}

// String formats the change on one line.
func (c Change) String() string {
	switch {
	case c.Field == "" && c.Old == "":
		return fmt.Sprintf("+ %s/%s", c.Kind, c.Name)
	case c.Field == "" && c.New == "":
		return fmt.Sprintf("- %s/%s", c.Kind, c.Name)
	default:
		return fmt.Sprintf("~ %s/%s: %s: %s -> %s", c.Kind, c.Name, c.Field, c.Old, c.New)
	}
}

// Diff returns the changes that turn one set into another, ordered by kind, name and field.
func Diff(from, to object.Set) []Change {
	a, b := fieldsByObject(from), fieldsByObject(to)
	var out []Change
	for ref, old := range a {
		if fields, ok := b[ref]; ok {
			out = append(out, diffFields(ref, old, fields)...)
			continue
		}
		out = append(out, Change{Kind: ref.Kind, Name: ref.Name, Old: string(mustJSON(old))})
	}
	for ref, fields := range b {
		if _, ok := a[ref]; !ok {
			out = append(out, Change{Kind: ref.Kind, Name: ref.Name, New: string(mustJSON(fields))})
		}
	}
	slices.SortFunc(out, func(x, y Change) int {
		return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Name, y.Name), cmp.Compare(x.Field, y.Field))
	})
	return out
}

// fieldMap holds the JSON values of an object's top-level fields.
type fieldMap map[string]json.RawMessage

func diffFields(ref Ref, old, new fieldMap) []Change {
	var out []Change
	for name, v := range old {
		if !bytes.Equal(v, new[name]) {
			out = append(out, Change{Kind: ref.Kind, Name: ref.Name, Field: name, Old: string(v), New: string(new[name])})
		}
	}
	for name, v := range new {
		if _, ok := old[name]; !ok {
			out = append(out, Change{Kind: ref.Kind, Name: ref.Name, Field: name, New: string(v)})
		}
	}
	return out
}

func fieldsByObject(s object.Set) map[Ref]fieldMap {
	m := map[Ref]fieldMap{}
	addFields(m, object.KindFailureDomain, s.FailureDomains, func(o object.FailureDomain) string { return o.Name })
	addFields(m, object.KindService, s.Services, func(o object.Service) string { return o.Name })
	addFields(m, object.KindModel, s.Models, func(o object.Model) string { return o.Name })
	addFields(m, object.KindVersion, s.Versions, func(o object.Version) string { return o.Name })
	addFields(m, object.KindTeam, s.Teams, func(o object.Team) string { return o.Name })
	addFields(m, object.KindSessionPolicy, s.SessionPolicies, func(o object.SessionPolicy) string { return o.Name })
	addFields(m, object.KindCascade, s.Cascades, func(o object.Cascade) string { return o.Name })
	addFields(m, object.KindRollout, s.Rollouts, func(o object.Rollout) string { return o.Name })
	addFields(m, object.KindRoute, s.Routes, func(o object.Route) string { return o.Name })
	return m
}

func addFields[T any](m map[Ref]fieldMap, kind object.Kind, list []T, name func(T) string) {
	for _, o := range list {
		var fields fieldMap
		if err := json.Unmarshal(mustJSON(o), &fields); err != nil {
			panic(err) // a struct always encodes as an object
		}
		m[Ref{kind, name(o)}] = fields
	}
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // declared objects hold no value that JSON can't encode
	}
	return data
}

// DiffMeaning is Diff without differences that have no effect: the order of keys and failure domains, and a common factor of the
// weights of a route. Changes in an object within an object are reported field by field, and times with their unit.
func DiffMeaning(from, to object.Set) []Change {
	var out []Change
	for _, c := range Diff(canonical(from), canonical(to)) {
		out = append(out, splitChange(c)...)
	}
	return out
}

// splitChange returns the changes of the fields within a changed field, in order.
func splitChange(c Change) []Change {
	var old, new fieldMap
	if c.Field == "" || json.Unmarshal([]byte(c.Old), &old) != nil || json.Unmarshal([]byte(c.New), &new) != nil {
		c.Old, c.New = withUnit(c.Field, c.Old), withUnit(c.Field, c.New)
		return []Change{c}
	}
	inner := diffFields(Ref{c.Kind, c.Name}, old, new)
	slices.SortFunc(inner, func(x, y Change) int { return cmp.Compare(x.Field, y.Field) })
	var out []Change
	for _, i := range inner {
		i.Field = c.Field + "." + i.Field
		out = append(out, splitChange(i)...)
	}
	return out
}

// durationFields are the fields whose JSON values are nanoseconds.
var durationFields = []string{"timeout", "target", "gap", "bootTime", "firstByte", "progress", "maxAge", "minTime", "slowAfter"}

// withUnit returns a field's JSON value, as a time with its unit if it is one.
func withUnit(field, value string) string {
	if n, err := strconv.ParseInt(value, 10, 64); err == nil && slices.Contains(durationFields, field[strings.LastIndex(field, ".")+1:]) {
		return time.Duration(n).String()
	}
	return value
}

// canonical returns a copy of set in which sets with the same effect are equal.
func canonical(set object.Set) object.Set {
	set.Teams, set.Services, set.Routes = slices.Clone(set.Teams), slices.Clone(set.Services), slices.Clone(set.Routes)
	for i := range set.Teams {
		set.Teams[i].KeyHashes = slices.Sorted(slices.Values(set.Teams[i].KeyHashes))
	}
	for i := range set.Services {
		set.Services[i].FailureDomains = slices.Sorted(slices.Values(set.Services[i].FailureDomains))
	}
	seen := map[string]int{} // routes by name; unlike other objects, routes with the same name are all in force
	for i := range set.Routes {
		name := set.Routes[i].Name
		if seen[name]++; seen[name] > 1 {
			set.Routes[i].Name = fmt.Sprintf("%s#%d", name, seen[name])
		}
		backends := slices.Clone(set.Routes[i].Backends)
		factor := 0
		for j := range backends {
			backends[j].Weight = max(0, backends[j].Weight)
			for a := backends[j].Weight; a != 0; {
				factor, a = a, factor%a
			}
		}
		for j := range backends {
			backends[j].Weight /= max(1, factor)
		}
		set.Routes[i].Backends = backends
	}
	return set
}
