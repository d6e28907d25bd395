package local

import (
	"context"
	"net/http"
	"testing"

	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/relay"
	"github.com/bramleytrail/bramleytrail/standin"
)

// newVersion is the version that a roll-out brings in.
const newVersion = "small-next"

func placementDeployment(t *testing.T, enabled bool) (*Deployment, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), watchdog)
	t.Cleanup(cancel)
	d, err := New(nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Stop)
	set := SampleSet()
	for i := range set.Services {
		if set.Services[i].Name == SampleLLM && enabled {
			set.Services[i].Placement = object.Placement{Enabled: true, VersionsPerEndpoint: 2}
		}
	}
	set.Versions = append(set.Versions, object.Version{Name: newVersion, Model: "small", State: object.VersionActive, Quality: 0.8})
	set.Rollouts = []object.Rollout{{Name: "next", Model: "small", From: SampleSmall, To: newVersion, Steps: []float64{1}, Step: 0}}
	if err := SampleWith(ctx, d, 2, standin.EngineSpec{Slots: 64, ColdSlots: 16}, set); err != nil {
		t.Fatal(err)
	}
	return d, ctx
}

// Guards against a roll-out whose new version gets requests before it has endpoints, and against daemons that don't learn
// where it was loaded: the host list never names it here.
func TestPlacementLoadsRolloutVersion(t *testing.T) {
	d, ctx := placementDeployment(t, true)
	client := NewClient(d.Daemons[0].Addr(), SampleKey)
	if err := Wait(ctx, func() bool {
		answer, err := client.Chat(ctx, ChatBody("small", "hello", false), nil)
		if err != nil {
			t.Fatal(err)
		}
		if answer.Status != http.StatusOK {
			t.Fatalf("status %d: the roll-out sends requests before its version has endpoints", answer.Status)
		}
		return answer.Header.Get(relay.HeaderVersion) == newVersion
	}); err != nil {
		t.Fatal("the version under roll-out gets no request: ", err)
	}
	for name, e := range d.Engines {
		for _, o := range e.Orders() {
			if o.Action != "load" || o.Fence == 0 {
				t.Errorf("order %+v to %s", o, name)
			}
		}
	}
	// One failure domain may have loaded the version before the other.
	if err := Wait(ctx, func() bool {
		tables := d.Daemons[0].State().Placement
		return tables[SampleDomainA].Versions[newVersion].Ready > 0 && tables[SampleDomainB].Versions[newVersion].Ready > 0
	}); err != nil {
		t.Errorf("tables %+v: %v", d.Daemons[0].State().Placement, err)
	}
}

// Guards against orders to the endpoints of a service whose declaration does not ask for placement, and against calls of
// the key-value service for it.
func TestPlacementIsOffByDefault(t *testing.T) {
	d, ctx := placementDeployment(t, false)
	if err := Wait(ctx, func() bool {
		return len(d.Daemons[0].State().Decisions.Duties)+len(d.Daemons[1].State().Decisions.Duties) >= 2
	}); err != nil {
		t.Fatal("the other duties are not taken: ", err)
	}
	entries, err := d.Platform.KV.List(ctx, kv.Range{Prefix: "duty/placement"})
	if err != nil || len(entries.Entries) > 0 {
		t.Errorf("%d placement duties, %v", len(entries.Entries), err)
	}
	for name, e := range d.Engines {
		if n := len(e.Orders()); n > 0 {
			t.Errorf("%d orders to %s", n, name)
		}
	}
}
