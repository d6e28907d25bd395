package local

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/claim"
	"github.com/bramleytrail/bramleytrail/daemon"
	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/engine/httpengine"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/identify"
	"github.com/bramleytrail/bramleytrail/kv/httpkv"
	"github.com/bramleytrail/bramleytrail/kv/memkv"
	"github.com/bramleytrail/bramleytrail/relay"
)

// plainRuns returns how often the plain services ran a call with an idempotency key.
func plainRuns(d *Deployment, key string) int {
	n := 0
	for _, p := range d.PlainEndpoints {
		for _, r := range p.Runs() {
			if r.Key == key {
				n++
			}
		}
	}
	return n
}

// engineRuns returns the number of requests that all engines ran.
func engineRuns(d *Deployment) int {
	n := 0
	for _, e := range d.Engines {
		n += len(e.Runs())
	}
	return n
}

// releaseLot calls the plain service through daemon i with an idempotency key. The call is not repeatable by default.
func releaseLot(ctx context.Context, d *Deployment, i int, key string, header map[string]string) (Answer, error) {
	h := map[string]string{identify.HeaderIdempotencyKey: key}
	for k, v := range header {
		h[k] = v
	}
	return sampleClient(d, i).Call(ctx, http.MethodPost, "/v1/services/lots/release", []byte("lot 1"), h)
}

// expectResponse checks a response's status and its header that tells whether the request ran.
func expectResponse(t *testing.T, a Answer, err error, status int, ran string) {
	t.Helper()
	if err != nil || a.Status != status || a.Header.Get(relay.HeaderRan) != ran {
		t.Errorf("status %d, run state %q, %s, error %v; want %d, %q", a.Status, a.Header.Get(relay.HeaderRan), a.Text, err, status, ran)
	}
}

// expectRuns checks how often the endpoints ran a request.
func expectRuns(t *testing.T, got, want int) {
	t.Helper()
	if got != want {
		t.Errorf("endpoints ran the request %d times, want %d", got, want)
	}
}

// claimState reads the state of a claim through daemon i. It returns a description of the failure if that is impossible.
func claimState(ctx context.Context, d *Deployment, i int, path string) string {
	a, err := sampleClient(d, i).Call(ctx, http.MethodGet, path, nil, nil)
	var s struct {
		State string `json:"state"`
	}
	if err != nil || json.Unmarshal([]byte(a.Text), &s) != nil || a.Status != http.StatusOK {
		return fmt.Sprintf("status %d, run state %q, error %v", a.Status, a.Header.Get(relay.HeaderRan), err)
	}
	return s.State
}

// expectClaimState waits until the claim of a key has a state, read through daemon i.
func expectClaimState(ctx context.Context, t *testing.T, d *Deployment, i int, key, want string) {
	t.Helper()
	path := relay.ClaimPrefix + SamplePlain + "/" + url.PathEscape(key)
	var got string
	if err := Wait(ctx, func() bool { got = claimState(ctx, d, i, path); return got == want }); err != nil {
		t.Errorf("claim of %q through daemon %d: %s, want %s", key, i, got, want)
	}
}

// expectNoSecondRun retries a call through daemon i, several times concurrently. It checks that each retry is rejected,
// and that the call has run as often as runs says.
func expectNoSecondRun(ctx context.Context, t *testing.T, d *Deployment, i int, key string, runs int) {
	t.Helper()
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			a, err := releaseLot(ctx, d, i, key, nil)
			expectResponse(t, a, err, http.StatusConflict, "unknown")
			if a.Header.Get(relay.HeaderClaim) == "" {
				t.Error("the rejection has no Bramley-Claim header")
			}
		})
	}
	wg.Wait()
	expectRuns(t, plainRuns(d, key), runs)
}

// Guards against a second run when a daemon is killed after it sent the call and the caller retries through another
// daemon.
func TestOwnerKilledAfterTheCallWasSent(t *testing.T) {
	ctx, d := startSample(t, 2, fastEngine)
	for _, p := range d.PlainEndpoints {
		defer p.HoldReplies()()
	}
	failed := make(chan error, 1)
	go func() { _, err := releaseLot(ctx, d, 0, "lot-1", nil); failed <- err }()
	if err := Wait(ctx, func() bool { return plainRuns(d, "lot-1") == 1 }); err != nil {
		t.Fatal(err)
	}
	d.Daemons[0].Kill()
	if err := <-failed; err == nil {
		t.Error("the caller of a killed daemon got a response")
	}
	expectNoSecondRun(ctx, t, d, 1, "lot-1", 1)
	expectClaimState(ctx, t, d, 1, "lot-1", "running")
}

// Guards against a claim that is taken over after its daemon was killed before it sent the call. The other daemons can't
// know that the call was not sent.
func TestOwnerKilledBeforeTheCallWasSent(t *testing.T) {
	ctx, d := startSample(t, 2, fastEngine)
	release := d.Platform.KV.Faults.HoldReplies(claim.Prefix)
	defer release()
	go func() { _, _ = releaseLot(ctx, d, 1, "lot-1", nil) }() // blocked on the store's response until its daemon is killed
	expectClaimState(ctx, t, d, 0, "lot-1", "running")
	d.Daemons[1].Kill()
	release()
	if a, err := releaseLot(ctx, d, 0, "lot-2", nil); err != nil || a.Status != http.StatusOK {
		t.Errorf("another call failed: response %+v, error %v", a, err)
	}
	expectNoSecondRun(ctx, t, d, 0, "lot-1", 0)
	expectClaimState(ctx, t, d, 0, "lot-1", "running")
}

// pausedClient is an engine client that closes reached and then blocks each call until gate is closed, after the daemon
// has written the claim and before the call is sent.
type pausedClient struct {
	engine.Client
	reached chan struct{}
	gate    chan struct{}
}

// Call implements engine.Client.
func (c *pausedClient) Call(ctx context.Context, addr string, r engine.PlainRequest) (*engine.PlainResponse, error) {
	close(c.reached)
	<-c.gate
	return c.Client.Call(ctx, addr, r)
}

// Guards against a second run when the owner is paused between writing its claim and sending the call, and another daemon
// takes over the claim. The claim is backdated by two days, longer than any deadline or lease, before the owner resumes.
func TestOwnerPausedBetweenClaimAndCall(t *testing.T) {
	ctx, d := startSample(t, 1, fastEngine)
	client := &pausedClient{Client: httpengine.NewClient(), reached: make(chan struct{}), gate: make(chan struct{})}
	s := d.Settings("entry-2", SampleDomainB)
	owner := daemon.New(s, daemon.Platform{Store: httpkv.NewClient(s.Store), Hosts: hostlist.NewHTTPSource(s.Hosts)}, client, d.Log)
	if err := owner.Start(); err != nil {
		t.Fatal(err)
	}
	d.Daemons = append(d.Daemons, owner)
	d.Platform.Hosts.Put(hostlist.Host{ID: s.ID, Role: hostlist.RoleEntry, Domain: s.Domain, Rack: s.Rack, State: hostlist.StateLive, Addr: owner.PeerAddr()})
	if err := d.WaitEndpoints(ctx, 6); err != nil {
		t.Fatal(err)
	}
	type response struct {
		a   Answer
		err error
	}
	responses := make(chan response, 1)
	go func() { a, err := releaseLot(ctx, d, 1, "lot-1", nil); responses <- response{a, err} }()
	<-client.reached
	ageClaim(ctx, t, d, "lot-1", 48*time.Hour)
	expectNoSecondRun(ctx, t, d, 0, "lot-1", 0)
	expectClaimState(ctx, t, d, 0, "lot-1", "unknown")
	close(client.gate)
	if o := <-responses; o.err == nil && o.a.Status != http.StatusGatewayTimeout && o.a.Status != http.StatusOK {
		t.Errorf("status %d: %s", o.a.Status, o.a.Text)
	}
	if _, err := releaseLot(ctx, d, 0, "lot-1", nil); err != nil {
		t.Error(err)
	}
	if n := plainRuns(d, "lot-1"); n > 1 {
		t.Errorf("the call ran %d times, want at most 1", n)
	}
	drainAll(ctx, t, d)
}

// ageClaim backdates the stored claim of a key.
func ageClaim(ctx context.Context, t *testing.T, d *Deployment, key string, age time.Duration) {
	t.Helper()
	name := claim.StoreKey(SamplePlain, SampleTeam, key)
	e, err := d.Platform.KV.Get(ctx, name)
	if err != nil {
		t.Fatal(err)
	}
	var r claim.Record
	if err := json.Unmarshal(e.Value, &r); err != nil {
		t.Fatal(err)
	}
	r.At = r.At.Add(-age)
	data, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := d.Platform.KV.CAS(ctx, name, data, e.Revision, 0); err != nil {
		t.Fatal(err)
	}
}

// Guards against a wrong "not run" and a second run under faults of the key-value store. In each case the first call
// meets the fault, the fault ends, and the call is retried through the other daemon until it succeeds.
func TestClaimsUnderStoreFaults(t *testing.T) {
	ctx, d := startSample(t, 2, fastEngine)
	faults := d.Platform.KV.Faults
	for name, c := range map[string]struct {
		inject func()
		header map[string]string
		status int
		ran    string
		runs   int
	}{
		"down before the claim": {inject: func() { faults.SetDown(true) }, status: 503, ran: "no"},
		"reply lost":            {inject: func() { faults.LoseRepliesOf(claim.Prefix, 1) }, status: 200, runs: 1},
		"reply lost and reading back fails": {inject: func() {
			faults.LoseRepliesOf(claim.Prefix, 1)
			faults.OnCall(func(c memkv.Call) {
				if c == memkv.CallCAS || c == memkv.CallGet {
					faults.SetDown(true) // the write itself is still applied
				}
			})
		}, status: 503, ran: "no"},
		"slow beyond the deadline": {inject: func() { faults.SetDelay(time.Hour) }, header: map[string]string{identify.HeaderDeadline: "200"}, status: 503, ran: "no"},
		"slow":                     {inject: func() { faults.SetDelay(20 * time.Millisecond) }, status: 200, runs: 1},
	} {
		c.inject()
		a, err := releaseLot(ctx, d, 0, name, c.header)
		expectResponse(t, a, err, c.status, c.ran)
		expectRuns(t, plainRuns(d, name), c.runs)
		faults.OnCall(nil)
		faults.SetDown(false)
		faults.SetDelay(0)
		faults.LoseReplies(0)
		if err := Wait(ctx, func() bool { a, err = releaseLot(ctx, d, 1, name, nil); return err == nil && a.Status == http.StatusOK }); err != nil {
			t.Errorf("%s: the retry got status %d: %s", name, a.Status, a.Text)
		}
		expectRuns(t, plainRuns(d, name), 1)
		expectClaimState(ctx, t, d, 0, name, "done")
	}
	drainAll(ctx, t, d)
}

// Guards against a second run when the endpoint ran the call and dropped the connection instead of responding.
func TestEndpointDropsTheReply(t *testing.T) {
	ctx, d := startSample(t, 2, fastEngine)
	for _, p := range d.PlainEndpoints {
		p.DropReplies(1)
	}
	a, err := releaseLot(ctx, d, 0, "lot-1", nil)
	expectResponse(t, a, err, http.StatusBadGateway, "unknown")
	expectClaimState(ctx, t, d, 1, "lot-1", "unknown")
	expectNoSecondRun(ctx, t, d, 1, "lot-1", 1)
	drainAll(ctx, t, d)
	bills := readBills(ctx, t, d)
	if len(bills) != 1 || bills[0].Code != 501 || bills[0].Cost() != 0 {
		t.Errorf("bills %+v; want one with code 501 and no cost", bills)
	}
}

// Guards against an outcome that is lost because the caller disconnected: the call continues, and a retry gets its
// response.
func TestCallerLeavesDuringTheCall(t *testing.T) {
	ctx, d := startSample(t, 2, fastEngine)
	var releases []func()
	for _, p := range d.PlainEndpoints {
		releases = append(releases, p.HoldReplies())
	}
	callCtx, cancel := context.WithCancel(ctx)
	returned := make(chan struct{})
	go func() { _, _ = releaseLot(callCtx, d, 0, "lot-1", nil); close(returned) }()
	if err := Wait(ctx, func() bool { return plainRuns(d, "lot-1") == 1 }); err != nil {
		t.Fatal(err)
	}
	cancel()
	<-returned
	for _, f := range releases {
		f()
	}
	expectClaimState(ctx, t, d, 1, "lot-1", "done")
	a, err := releaseLot(ctx, d, 1, "lot-1", nil)
	expectResponse(t, a, err, http.StatusOK, "yes")
	expectRuns(t, plainRuns(d, "lot-1"), 1)
	drainAll(ctx, t, d)
	if bills := readBills(ctx, t, d); len(bills) != 1 {
		t.Errorf("%d bills for one call, want 1", len(bills))
	}
}

// Guards against a second run and a wrong "not run" of a chat request that is marked as not repeatable, when its deadline
// expires before the first token or when the engine fails after it accepted the request.
func TestChatThatMustNotBeRepeated(t *testing.T) {
	ctx, d := startSample(t, 2, fastEngine)
	forEachEngine := func(f func(key string)) {
		for name := range d.Engines {
			f(name)
		}
	}
	runs := 0
	for _, c := range []struct {
		key    string
		set    func(on bool)
		status int
	}{
		{"deadline", func(on bool) { forEachEngine(func(n string) { d.Engines[n].SetStreamsStalled(on) }) }, http.StatusGatewayTimeout},
		{"failure", func(on bool) { forEachEngine(func(n string) { d.Engines[n].FailEvery(map[bool]int{true: 1}[on]) }) }, http.StatusBadGateway},
	} {
		header := map[string]string{identify.HeaderIdempotencyKey: c.key, identify.HeaderRepeatable: "no"}
		first := map[string]string{identify.HeaderIdempotencyKey: c.key, identify.HeaderRepeatable: "no", identify.HeaderDeadline: "1000"}
		c.set(true)
		a, err := sampleClient(d, 0).Chat(ctx, ChatBody("small", c.key, false), first)
		expectResponse(t, a, err, c.status, "unknown")
		c.set(false)
		runs++
		for range 2 {
			a, err = sampleClient(d, 1).Chat(ctx, ChatBody("small", c.key, false), header)
			expectResponse(t, a, err, http.StatusConflict, "unknown")
		}
		expectRuns(t, engineRuns(d), runs)
	}
	header := map[string]string{identify.HeaderIdempotencyKey: "whole", identify.HeaderRepeatable: "no"}
	for i := range 2 {
		if err := Wait(ctx, func() bool {
			a, err := sampleClient(d, i).Chat(ctx, ChatBody("small", "whole", false), header)
			return err == nil && a.Status == http.StatusOK && a.Text != ""
		}); err != nil {
			t.Error(err)
		}
	}
	expectRuns(t, engineRuns(d), runs+1)
	drainAll(ctx, t, d)
	if bills := readBills(ctx, t, d); len(bills) != 3 {
		t.Errorf("%d bills for 3 requests that ran, want 3", len(bills))
	}
}

// Guards against idempotency keys that are altered by escaping in the store or in a lookup, or that collide with another
// key's claim.
func TestKeysWithSpecialCharacters(t *testing.T) {
	ctx, d := startSample(t, 2, fastEngine)
	keys := []string{"a/b", "a%2Fb", "a//b", "a b", "a+b", "a?b=c", "a#b", "..", "../..", `"a"`, "größe", "a&b;c,d", "%", "a\\b"}
	for i, key := range keys {
		a, err := releaseLot(ctx, d, i%2, key, nil)
		expectResponse(t, a, err, http.StatusOK, "")
		expectRuns(t, plainRuns(d, key), 1)
		for j := range 2 {
			var got string
			if err := Wait(ctx, func() bool { got = claimState(ctx, d, j, a.Header.Get(relay.HeaderClaim)); return got == "done" }); err != nil {
				t.Errorf("key %q: state at the address in the Bramley-Claim header, read through daemon %d: %s, want done", key, j, got)
			}
			resp, err := sampleClient(d, j).Call(ctx, http.MethodGet, relay.ClaimPrefix+SamplePlain, nil, map[string]string{identify.HeaderIdempotencyKey: key})
			expectResponse(t, resp, err, http.StatusOK, "")
		}
		again, err := releaseLot(ctx, d, (i+1)%2, key, nil)
		expectResponse(t, again, err, http.StatusOK, "yes")
		expectRuns(t, plainRuns(d, key), 1)
	}
	a, err := sampleClient(d, 0).Call(ctx, http.MethodGet, relay.ClaimPrefix+SamplePlain+"/other", nil, nil)
	expectResponse(t, a, err, http.StatusNotFound, "unknown")
	drainAll(ctx, t, d)
}

// awaitQuietStore waits until the number of store calls has not changed for longer than a silent holder of a duty keeps it, since the daemon
// that is left then takes over the duties.
func awaitQuietStore(ctx context.Context, t *testing.T, counts func() any) {
	t.Helper()
	const quiet = 1200 * time.Millisecond
	last, since := counts(), time.Now()
	if err := Wait(ctx, func() bool {
		if now := counts(); now != last {
			last, since = now, time.Now()
		}
		return time.Since(since) >= quiet
	}); err != nil {
		t.Fatal(err)
	}
}

// Guards against more store calls than intended on the whole path: two writes for a claimed call, one write for a
// daemon's bills of an interval, and one conflicting write and one read for a retry.
func TestStoreCallsOfAClaimedCall(t *testing.T) {
	ctx, d := startSample(t, 1, fastEngine)
	s := d.Settings("entry-2", SampleDomainB)
	s.BillInterval = time.Hour
	dm, err := d.AddDaemon(s)
	if err != nil {
		t.Fatal(err)
	}
	if err := d.WaitEndpoints(ctx, 6); err != nil {
		t.Fatal(err)
	}
	if err := d.Daemons[0].Drain(ctx); err != nil { // otherwise it could write bills whose copies it holds
		t.Fatal(err)
	}
	counts := func() [3]int {
		c := d.Platform.KV.Faults.Counts()
		return [3]int{c[memkv.CallCAS], c[memkv.CallGet], c[memkv.CallDelete] + c[memkv.CallList] + c[memkv.CallGrant]}
	}
	awaitQuietStore(ctx, t, func() any { return counts() })
	check := func(phase string, before, want [3]int) {
		t.Helper()
		for i, n := range counts() {
			if n -= before[i]; n != want[i] {
				t.Errorf("%s: %d store calls of kind %d (0 write, 1 read, 2 other), want %d", phase, n, i, want[i])
			}
		}
	}
	const claimedCalls = 5
	before := counts()
	for i := range claimedCalls {
		a, err := releaseLot(ctx, d, 1, fmt.Sprint("lot-", i), nil)
		expectResponse(t, a, err, http.StatusOK, "")
	}
	written := func() bool { return counts()[0]-before[0] >= 2*claimedCalls }
	if err := Wait(ctx, written); err != nil {
		t.Error(err)
	}
	check("claimed calls", before, [3]int{2 * claimedCalls, 0, 0})
	before = counts()
	a, err := releaseLot(ctx, d, 1, "lot-0", nil)
	expectResponse(t, a, err, http.StatusOK, "yes")
	check("repeat", before, [3]int{1, 1, 0})
	before = counts()
	if err := dm.Drain(ctx); err != nil {
		t.Error(err)
	}
	check("bills", before, [3]int{1, 0, 0})
}
