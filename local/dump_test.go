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

// operatorPage returns the body of a page of a daemon's operator listener.
func operatorPage(ctx context.Context, t *testing.T, dm *daemon.Daemon, path string) string {
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

// holdPlainCalls makes the plain endpoints delay their responses, after the calls took effect, until release is called.
func holdPlainCalls(d *Deployment) (release func()) {
	var releases []func()
	for _, p := range d.PlainEndpoints {
		releases = append(releases, p.HoldReplies())
	}
	return sync.OnceFunc(func() {
		for _, f := range releases {
			f()
		}
	})
}

// Guards against a state dump that does not show a request in flight with its stage and the daemon that claimed it. Also
// guards against a retry through another daemon whose record does not name the daemon that holds the claim.
func TestDumpShowsRequestInFlight(t *testing.T) {
	ctx, d := startSample(t, 2, fastEngine)
	release := holdPlainCalls(d)
	defer release()
	done := make(chan error, 1)
	go func() { _, err := releaseLot(ctx, d, 0, "lot-1", nil); done <- err }()
	if err := Wait(ctx, func() bool { return plainRuns(d, "lot-1") == 1 }); err != nil {
		t.Fatal(err)
	}
	first := d.Daemons[0].State()
	if len(first.Running) != 1 {
		t.Fatalf("requests in flight: %+v, want exactly one", first.Running)
	}
	running := first.Running[0]
	if running.Stage != pipeline.StageDispatch || running.Target != SamplePlain || running.Owner != first.Incarnation {
		t.Errorf("request in flight %+v, want stage dispatch, target %s, claimed by %s", running, SamplePlain, first.Incarnation)
	}
	var found observe.RequestInFlight
	if err := json.Unmarshal([]byte(operatorPage(ctx, t, d.Daemons[0], "/debug/requests/"+running.ID)), &found); err != nil || found.Claim != running.Claim {
		t.Errorf("request by ID: %+v, error %v; want claim %s", found, err, running.Claim)
	}
	retry, err := releaseLot(ctx, d, 1, "lot-1", nil)
	expectResponse(t, retry, err, http.StatusConflict, "unknown")
	var rejected observe.Request
	text := operatorPage(ctx, t, d.Daemons[1], "/debug/requests/"+retry.Header.Get(relay.HeaderRequestID))
	if err := json.Unmarshal([]byte(text), &rejected); err != nil || !strings.Contains(rejected.Detail, first.Incarnation) {
		t.Errorf("record of the rejected retry: %+v, error %v; want the claim holder %s in the detail", rejected, err, first.Incarnation)
	}
	release()
	if err := <-done; err != nil {
		t.Error(err)
	}
	if err := Wait(ctx, func() bool { return len(d.Daemons[0].State().Running) == 0 }); err != nil {
		t.Error("the state dump still shows the request in flight after it ended")
	}
}

// Guards against state dumps that contain prompts, answers or keys, or whose size grows with the requests in flight.
func TestDumpHoldsNoSecretsAndIsBounded(t *testing.T) {
	const maxDumpBytes = 1 << 20
	ctx, d := startSample(t, 1, fastEngine)
	const prompt, key = "a secret prompt", "secret-idempotency-key"
	answer, err := sampleClient(d, 0).Chat(ctx, ChatBody("auto", prompt, false), nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := releaseLot(ctx, d, 0, key, nil); err != nil {
		t.Fatal(err)
	}
	release := holdPlainCalls(d)
	defer release()
	const calls = 200
	for range calls {
		go func() { _, _ = sampleClient(d, 0).Call(ctx, http.MethodGet, "/v1/services/lots/grade", nil, nil) }()
	}
	if err := Wait(ctx, func() bool { return d.Daemons[0].State().InFlight > 60 }); err != nil {
		t.Fatal(err)
	}
	state := operatorPage(ctx, t, d.Daemons[0], "/debug/state")
	request := operatorPage(ctx, t, d.Daemons[0], "/debug/requests/"+answer.Header.Get(relay.HeaderRequestID))
	for _, secret := range []string{prompt, key, SampleKey, answer.Text} {
		if strings.Contains(state+request, secret) {
			t.Errorf("a state dump contains %q", secret)
		}
	}
	var recorded observe.Request
	if err := json.Unmarshal([]byte(request), &recorded); err != nil || recorded.Decision == nil || len(recorded.Decision.Options) != 2 {
		t.Errorf("record %s, error %v; want a decision between two versions", request, err)
	}
	if len(state) > maxDumpBytes {
		t.Errorf("the state dump has %d bytes", len(state))
	}
}
