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

// Guards against a session that loses its KV cache when its endpoint is leaving and the next turn arrives at another
// daemon. Also guards against a cache move that is missing in the record of the request, or that is billed.
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
	if err := DeploySample(ctx, d, 2, spec); err != nil {
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
	var token, lastEndpoint string
	for turn := range 3 {
		a, err := sampleClient(d, turn%2).Chat(ctx, body(turn), map[string]string{identify.HeaderSession: token})
		if err != nil || a.Status != 200 {
			t.Fatalf("turn %d: status %d %s, %v", turn, a.Status, a.Text, err)
		}
		token = a.Header.Get(identify.HeaderSession)
		var r observe.Request
		page := "/debug/requests/" + a.Header.Get(relay.HeaderRequestID)
		err = Wait(ctx, func() bool { // the answer ends before the request is recorded
			return json.Unmarshal([]byte(operatorPage(ctx, t, d.Daemons[turn%2], page)), &r) == nil && len(r.Attempts) > 0
		})
		if err != nil {
			t.Fatal(err)
		}
		attempt := r.Attempts[0]
		want := []cachemove.Outcome{cachemove.NoPrevious, cachemove.Moved, cachemove.SameEndpoint}[turn]
		if attempt.Cache == nil || attempt.Cache.Outcome != want || turn == 1 && attempt.Cache.Source != lastEndpoint {
			t.Fatalf("turn %d at %s: %+v, want %s", turn, attempt.Endpoint, attempt.Cache, want)
		}
		if lastEndpoint = attempt.Endpoint; turn == 0 {
			markLeaving(t, d, lastEndpoint)
			continue
		}
		if c := lastRun(d.Engines[lastEndpoint]).CachedTokens; c < 1000 {
			t.Errorf("turn %d: %d prompt tokens found in the cache, want at least 1000", turn, c)
		}
	}
	if metrics := operatorPage(ctx, t, d.Daemons[1], "/metrics"); !strings.Contains(metrics, `bramley_cache_moves_total{outcome="moved"} 1`) {
		t.Error("bramley_cache_moves_total does not count the cache move")
	}
	drainAll(ctx, t, d)
	if bills, err := ledger.Read(ctx, d.Platform.KV); err != nil || len(bills) != 3 {
		t.Errorf("%d bills for 3 requests, error %v", len(bills), err)
	}
}

// markLeaving sets an endpoint's state in the host list to leaving and waits until no daemon uses it any more.
func markLeaving(t *testing.T, d *Deployment, id string) {
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

// lastRun returns the latest request that an engine ran.
func lastRun(e *standin.Engine) standin.EngineRun {
	runs := e.Runs()
	return runs[len(runs)-1]
}
