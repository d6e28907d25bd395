package pool

import (
	"cmp"
	"slices"
)

// assignPositions numbers the endpoints of each service, failure domain and software version by their keys.
func assignPositions(all []*endpoint) {
	type groupID struct{ service, domain, release string }
	groups := map[groupID][]*endpoint{}
	for _, e := range all {
		k := groupID{e.host.Service, e.host.Domain, e.host.Release}
		groups[k] = append(groups[k], e)
	}
	for _, list := range groups {
		slices.SortFunc(list, func(a, b *endpoint) int { return cmp.Compare(a.key, b.key) })
		for i, e := range list {
			e.mu.Lock()
			if s := e.properties; s.Position != i || s.GroupSize != len(list) {
				changed := *s
				changed.Position, changed.GroupSize = i, len(list)
				e.properties = &changed
			}
			e.mu.Unlock()
		}
	}
}
