package local

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/bramleytrail/bramleytrail/cachemove"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/identify"
	"github.com/bramleytrail/bramleytrail/ledger"
	"github.com/bramleytrail/bramleytrail/observe"
	"github.com/bramleytrail/bramleytrail/relay"
	"github.com/bramleytrail/bramleytrail/standin"
)

// Guards against a session whose next turn, through another daemon, does not find its KV cache after its endpoint began to
// leave, and against a move that a state dump does not show, or that is billed.
func TestCacheFollowsSession(t *testing.T) {
	d, err := New(nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Stop)
	d.CacheMoves = 1
	ctx := t.Context()
	spec := fastEngine
	spec.CacheBytesPerToken = 64
	if err := Sample(ctx, d, 2, spec); err != nil {
		t.Fatal(err)
	}
	prompt := strings.Repeat("moisture ", 600)
	body := func(turns int) []byte {
		messages := []map[string]string{{"role": "user", "content": prompt}}
		for i := range turns {
			messages = append(messages, map[string]string{"role": "user", "content": fmt.Sprint("turn ", i)})
		}
		data, _ := json.Marshal(map[string]any{"model": "small", "messages": messages, "stream": turns%2 == 0})
		return data
	}
	var token, last string
	for turn := range 3 {
		a, err := sampleClient(d, turn%2).Chat(ctx, body(turn), map[string]string{identify.HeaderSession: token})
		if err != nil || a.Status != 200 {
			t.Fatalf("turn %d: status %d %s, %v", turn, a.Status, a.Text, err)
		}
		token = a.Header.Get(identify.HeaderSession)
		var r observe.Request
		page := "/debug/requests/" + a.Header.Get(relay.HeaderRequestID)
		err = Wait(ctx, func() bool { // the caller has the end of its answer before the request is recorded
			return json.Unmarshal([]byte(dump(ctx, t, d.Daemons[turn%2], page)), &r) == nil && len(r.Attempts) > 0
		})
		if err != nil {
			t.Fatal(err)
		}
		at := r.Attempts[0]
		want := []cachemove.Outcome{cachemove.NoPrevious, cachemove.Moved, cachemove.SameEndpoint}[turn]
		if at.Cache == nil || at.Cache.Outcome != want || turn == 1 && at.Cache.Source != last {
			t.Fatalf("turn %d at %s: %+v, want %s", turn, at.Endpoint, at.Cache, want)
		}
		if last = at.Endpoint; turn == 0 {
			leaveEndpoint(t, d, last)
			continue
		}
		if c := lastRun(d.Engines[last]).CachedTokens; c < 1000 {
			t.Errorf("turn %d found %d tokens in the cache", turn, c)
		}
	}
	if metrics := dump(ctx, t, d.Daemons[1], "/metrics"); !strings.Contains(metrics, `bramley_cache_moves_total{outcome="moved"} 1`) {
		t.Error("the metrics do not count the move")
	}
	drainAll(ctx, t, d)
	if bills, err := ledger.Read(ctx, d.Platform.KV); err != nil || len(bills) != 3 {
		t.Errorf("%d bills for 3 requests, %v", len(bills), err)
	}
}

// leaveEndpoint lists an endpoint as leaving and waits until no daemon sends it work.
func leaveEndpoint(t *testing.T, d *Deployment, id string) {
	t.Helper()
	d.Platform.Hosts.SetState(id, hostlist.StateLeaving)
	err := Wait(t.Context(), func() bool {
		for _, dm := range d.Daemons {
			for _, e := range dm.State().Endpoints {
				if e.ID == id {
					return false
				}
			}
		}
		return true
	})
	if err != nil {
		t.Fatal(err)
	}
}

func lastRun(e *standin.Engine) standin.EngineRun {
	runs := e.Runs()
	return runs[len(runs)-1]
}
