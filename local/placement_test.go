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

// rolloutVersion is the new version of the rollout.
const rolloutVersion = "small-next"

// placementDeployment starts a deployment with a rollout to a version that no endpoint has loaded, with or without
// placement.
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
	set.Versions = append(set.Versions, object.Version{Name: rolloutVersion, Model: "small", State: object.VersionActive, Quality: 0.8})
	set.Rollouts = []object.Rollout{{Name: "next", Model: "small", From: SampleSmall, To: rolloutVersion, Steps: []float64{1}, Step: 0}}
	if err := DeploySampleSet(ctx, d, 2, standin.EngineSpec{Slots: 64, ColdSlots: 16}, set); err != nil {
		t.Fatal(err)
	}
	return d, ctx
}

// Guards against a rollout that sends requests to its new version before an endpoint has loaded it. Also guards against
// daemons that don't receive where placement loaded the version: the host list never contains it here.
func TestPlacementLoadsRolloutVersion(t *testing.T) {
	d, ctx := placementDeployment(t, true)
	client := NewClient(d.Daemons[0].Addr(), SampleKey)
	if err := Wait(ctx, func() bool {
		answer, err := client.Chat(ctx, ChatBody("small", "hello", false), nil)
		if err != nil {
			t.Fatal(err)
		}
		if answer.Status != http.StatusOK {
			t.Fatalf("status %d: the rollout sends requests to a version before an endpoint has loaded it", answer.Status)
		}
		return answer.Header.Get(relay.HeaderVersion) == rolloutVersion
	}); err != nil {
		t.Fatal("the rollout's new version gets no request: ", err)
	}
	for name, e := range d.Engines {
		for _, o := range e.Orders() {
			if o.Action != "load" || o.Fence == 0 {
				t.Errorf("order %+v to engine %s; want action load and a fencing token", o, name)
			}
		}
	}
	// The first answer shows that one failure domain has loaded the version; the other one may be later.
	if err := Wait(ctx, func() bool {
		tables := d.Daemons[0].State().Placement
		return tables[SampleDomainA].Versions[rolloutVersion].Ready > 0 && tables[SampleDomainB].Versions[rolloutVersion].Ready > 0
	}); err != nil {
		t.Errorf("the version is not ready in both failure domains: placement tables %+v: %v", d.Daemons[0].State().Placement, err)
	}
}

// Guards against orders to the endpoints of a service that does not enable placement, and against store entries of its
// placement duty.
func TestPlacementIsOffByDefault(t *testing.T) {
	d, ctx := placementDeployment(t, false)
	if err := Wait(ctx, func() bool {
		return len(d.Daemons[0].State().Decisions.Duties)+len(d.Daemons[1].State().Decisions.Duties) >= 2
	}); err != nil {
		t.Fatal("the other duties were not acquired: ", err)
	}
	entries, err := d.Platform.KV.List(ctx, kv.Range{Prefix: "duty/placement"})
	if err != nil || len(entries.Entries) > 0 {
		t.Errorf("%d placement duties in the store, want 0, error %v", len(entries.Entries), err)
	}
	for name, e := range d.Engines {
		if n := len(e.Orders()); n > 0 {
			t.Errorf("%d orders to engine %s, want 0", n, name)
		}
	}
}
