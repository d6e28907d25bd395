package declare

import (
	"testing"

	"github.com/bramleytrail/bramleytrail/object"
)

// Guards against placement that is accepted for plain services or with no versions per endpoint, and against adapters
// whose base version is missing, is an adapter itself or belongs to another service.
func TestPlacementFindings(t *testing.T) {
	set := object.Set{
		Services: []object.Service{
			{Name: "llm", Type: object.ServiceModel, Placement: object.Placement{Enabled: true}},
			{Name: "app", Type: object.ServicePlain, Placement: object.Placement{Enabled: true, VersionsPerEndpoint: 1}},
			{Name: "other", Type: object.ServiceModel},
		},
		Models: []object.Model{{Name: "m", Service: "llm"}, {Name: "n", Service: "other"}},
		Versions: []object.Version{
			{Name: "base", Model: "m"}, {Name: "good", Model: "m", AdapterOf: "base"}, {Name: "stacked", Model: "m", AdapterOf: "good"},
			{Name: "lost", Model: "m", AdapterOf: "none"}, {Name: "far", Model: "n", AdapterOf: "base"},
		},
	}
	want := map[string]bool{
		"llm placement.versionsPerEndpoint": true, "app placement.enabled": true, "stacked adapterOf": true, "lost adapterOf": true, "far adapterOf": true,
	}
	for _, f := range Check(set, nil) {
		key := f.Name + " " + f.Field
		if key == "good adapterOf" {
			t.Errorf("finding on a valid adapter: %s", f)
		}
		delete(want, key)
	}
	for key := range want {
		t.Errorf("no finding on %s", key)
	}
}
