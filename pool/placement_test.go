package pool

import (
	"slices"
	"testing"

	"github.com/bramleytrail/bramleytrail/hostlist"
)

// Guards against sending requests for a version that is being drained, and against applying a placement after its
// service was taken out of it.
func TestPlacementReplacesHostList(t *testing.T) {
	h := hostlist.Host{ID: "e", Service: "llm", Versions: []string{"old"}}
	p := placement{map[string]bool{"llm": true}, map[string][]string{"e": {"new"}, "drained": {}}}
	drained := hostlist.Host{ID: "drained", Service: "llm", Versions: []string{"old"}}
	other := hostlist.Host{ID: "f", Service: "llm", Versions: []string{"old"}}
	for _, c := range []struct {
		p    placement
		h    hostlist.Host
		want []string
	}{{p, h, []string{"new"}}, {p, drained, nil}, {p, other, []string{"old"}}, {placement{nil, p.serve}, h, []string{"old"}}} {
		if got := c.p.versions(c.h); !slices.Equal(got, c.want) {
			t.Errorf("%s serves %v, want %v", c.h.ID, got, c.want)
		}
	}
}
