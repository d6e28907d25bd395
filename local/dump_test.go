package local

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/bramleytrail/bramleytrail/daemon"
	"github.com/bramleytrail/bramleytrail/observe"
	"github.com/bramleytrail/bramleytrail/pipeline"
	"github.com/bramleytrail/bramleytrail/relay"
)

// dump reads a page of a daemon's operators' port.
func dump(ctx context.Context, t *testing.T, dm *daemon.Daemon, path string) string {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+dm.OperatorAddr()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%s: status %d, %v", path, resp.StatusCode, err)
	}
	return string(body)
}

// holdPlains makes the calls of plain services wait after they took effect, until the returned function is called.
func holdPlains(d *Deployment) (release func()) {
	var releases []func()
	for _, p := range d.Plains {
		releases = append(releases, p.HoldReplies())
	}
	return sync.OnceFunc(func() {
		for _, f := range releases {
			f()
		}
	})
}

// Guards against a request in flight that an operator can't find: where it waits, and which daemon claimed it. A repeat
// through another daemon names the daemon that holds the claim.
func TestDumpShowsRequestInFlight(t *testing.T) {
	ctx, d := startSample(t, 2, fastEngine)
	release := holdPlains(d)
	defer release()
	done := make(chan error, 1)
	go func() { _, err := releaseLot(ctx, d, 0, "lot-1", nil); done <- err }()
	if err := Wait(ctx, func() bool { return plainRuns(d, "lot-1") == 1 }); err != nil {
		t.Fatal(err)
	}
	first := d.Daemons[0].State()
	if len(first.Running) != 1 {
		t.Fatalf("requests in flight: %+v, want one", first.Running)
	}
	running := first.Running[0]
	if running.Stage != pipeline.StageDispatch || running.Target != SamplePlain || running.Owner != first.Incarnation {
		t.Errorf("%+v, want stage dispatch of %s, claimed by %s", running, SamplePlain, first.Incarnation)
	}
	var found observe.RequestInFlight
	if err := json.Unmarshal([]byte(dump(ctx, t, d.Daemons[0], "/debug/requests/"+running.ID)), &found); err != nil || found.Claim != running.Claim {
		t.Errorf("%+v, %v; want claim %s", found, err, running.Claim)
	}
	repeat, err := releaseLot(ctx, d, 1, "lot-1", nil)
	expect(t, repeat, err, http.StatusConflict, "unknown")
	var refused observe.Request
	text := dump(ctx, t, d.Daemons[1], "/debug/requests/"+repeat.Header.Get(relay.HeaderRequestID))
	if err := json.Unmarshal([]byte(text), &refused); err != nil || !strings.Contains(refused.Detail, first.Incarnation) {
		t.Errorf("%+v, %v; want the daemon %s that holds the claim", refused, err, first.Incarnation)
	}
	release()
	if err := <-done; err != nil {
		t.Error(err)
	}
	if err := Wait(ctx, func() bool { return len(d.Daemons[0].State().Running) == 0 }); err != nil {
		t.Error("the request that ended is still shown in flight")
	}
}

// Guards against prompts, answers and keys in a dump, and against a dump that grows with the requests in flight.
func TestDumpHoldsNoSecretsAndIsBounded(t *testing.T) {
	const dumpBound = 1 << 20 // bytes
	ctx, d := startSample(t, 1, fastEngine)
	const prompt, key = "a secret prompt", "secret-idempotency-key"
	answer, err := sampleClient(d, 0).Chat(ctx, ChatBody("auto", prompt, false), nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := releaseLot(ctx, d, 0, key, nil); err != nil {
		t.Fatal(err)
	}
	release := holdPlains(d)
	defer release()
	const calls = 200
	for range calls {
		go func() { _, _ = sampleClient(d, 0).Call(ctx, http.MethodGet, "/v1/services/lots/grade", nil, nil) }()
	}
	if err := Wait(ctx, func() bool { return d.Daemons[0].State().InFlight > 60 }); err != nil {
		t.Fatal(err)
	}
	state := dump(ctx, t, d.Daemons[0], "/debug/state")
	request := dump(ctx, t, d.Daemons[0], "/debug/requests/"+answer.Header.Get(relay.HeaderRequestID))
	for _, secret := range []string{prompt, key, SampleKey, answer.Text} {
		if strings.Contains(state+request, secret) {
			t.Errorf("a dump holds %q", secret)
		}
	}
	var explained observe.Request
	if err := json.Unmarshal([]byte(request), &explained); err != nil || explained.Decision == nil || len(explained.Decision.Options) != 2 {
		t.Errorf("%s, %v; want the decision between two versions", request, err)
	}
	if len(state) > dumpBound {
		t.Errorf("the dump takes %d bytes", len(state))
	}
}
