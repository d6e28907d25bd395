package local

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/identify"
	"github.com/bramleytrail/bramleytrail/ledger"
	"github.com/bramleytrail/bramleytrail/poison"
	"github.com/bramleytrail/bramleytrail/relay"
	"github.com/bramleytrail/bramleytrail/standin"
)

// fastEngine is the spec of an engine without delays and with capacity for every test.
var fastEngine = standin.EngineSpec{Slots: 64, ColdSlots: 64, WarmAfter: 4}

// watchdog is the time after which a test fails with a message if an event that it waits for has not happened. It is not
// a limit on the time that a test may take.
const watchdog = 5 * time.Minute

// startSample starts a deployment with the sample configuration. The options change it before daemons are added. It is
// stopped at the end of the test; the context ends after watchdog.
func startSample(t *testing.T, daemons int, spec standin.EngineSpec, options ...func(*Deployment)) (context.Context, *Deployment) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), watchdog)
	t.Cleanup(cancel)
	d, err := New(nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, o := range options {
		o(d)
	}
	t.Cleanup(d.Stop)
	if err := DeploySample(ctx, d, daemons, spec); err != nil {
		t.Fatal(err)
	}
	return ctx, d
}

// drainAll drains all daemons and reports the errors.
func drainAll(ctx context.Context, t *testing.T, d *Deployment) {
	t.Helper()
	for _, dm := range d.Daemons {
		if err := dm.Drain(ctx); err != nil {
			t.Error(err)
		}
	}
}

// sampleClient returns a client of daemon i with the sample team's API key.
func sampleClient(d *Deployment, i int) *Client { return NewClient(d.Daemons[i].Addr(), SampleKey) }

// checkAnswer checks that a caller received every token of the answer to its prompt, once and in order.
func checkAnswer(t *testing.T, a Answer, prompt string, tokens int64) {
	t.Helper()
	want := standin.Answer(a.Header.Get(relay.HeaderVersion), MessagesJSON(prompt), tokens)
	if a.Status != http.StatusOK || a.Text != want {
		t.Errorf("status %d, text %q; want %q", a.Status, a.Text, want)
	}
}

// Guards against a failure anywhere on the path from a caller's request to the stored bill, for streamed and for complete
// responses.
func TestWholePath(t *testing.T) {
	ctx, d := startSample(t, 2, fastEngine)
	for i := range 10 {
		prompt := fmt.Sprintf("prompt %d", i)
		a, err := sampleClient(d, i%2).Chat(ctx, ChatBody("auto", prompt, i%3 != 0), nil)
		if err != nil {
			t.Fatal(err)
		}
		checkAnswer(t, a, prompt, 24)
		if v := a.Header.Get(relay.HeaderVersion); v != SampleSmall {
			t.Errorf("answered by %s; want %s, the cheapest version that meets the quality target", v, SampleSmall)
		}
	}
	drainAll(ctx, t, d)
	bills, err := ledger.Read(ctx, d.Platform.KV)
	if err != nil {
		t.Fatal(err)
	}
	if len(bills) != 10 {
		t.Errorf("%d bills for 10 requests, want 10", len(bills))
	}
	for _, b := range bills {
		if b.Calls[0].Output != 24 || b.Cost() == 0 {
			t.Errorf("bill %+v; want 24 tokens and a cost", b)
		}
	}
}

// Guards against a second run of a call that is not repeatable when its caller retries through another entry host.
func TestClaimedCallRunsOnce(t *testing.T) {
	ctx, d := startSample(t, 2, fastEngine)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			a, err := sampleClient(d, i%2).Call(ctx, http.MethodPost, "/v1/services/lots/release", []byte("lot 1"), map[string]string{identify.HeaderIdempotencyKey: "lot-1"})
			if err != nil {
				t.Error(err)
			}
			if a.Status != http.StatusOK && a.Status != http.StatusConflict {
				t.Errorf("status %d: %s", a.Status, a.Text)
			}
			if a.Status == http.StatusConflict && a.Header.Get(relay.HeaderRan) == "no" {
				t.Error("the response to a retry says that the call did not run, although it was running")
			}
		})
	}
	wg.Wait()
	runs := 0
	for _, p := range d.PlainEndpoints {
		runs += len(p.Runs())
	}
	if runs != 1 {
		t.Errorf("the call ran %d times, want 1", runs)
	}
	drainAll(ctx, t, d)
}

// Guards against answers that a graceful stop interrupts: all daemons are replaced one after the other under load.
func TestRollingRestartCutsNoAnswer(t *testing.T) {
	spec := fastEngine
	spec.TokenDelay = 5 * time.Millisecond
	ctx, d := startSample(t, 3, spec)
	var mu sync.Mutex
	addrs := []string{d.Daemons[0].Addr(), d.Daemons[1].Addr(), d.Daemons[2].Addr()}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	answered := 0
	for worker := range 12 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				mu.Lock()
				addr := addrs[(worker+n)%len(addrs)]
				mu.Unlock()
				prompt := fmt.Sprintf("worker %d request %d", worker, n)
				a, err := NewClient(addr, SampleKey).Chat(ctx, ChatBody("auto", prompt, true), nil)
				if err != nil {
					t.Errorf("%s: %v", prompt, err)
					return
				}
				if a.Status == http.StatusServiceUnavailable && a.Header.Get(relay.HeaderRan) == "no" {
					continue // the daemon is draining; a load balancer would choose another host
				}
				checkAnswer(t, a, prompt, 24)
				mu.Lock()
				answered++
				mu.Unlock()
			}
		})
	}
	for i := range 3 {
		replacement, err := d.AddDaemon(d.Settings(fmt.Sprintf("entry-%d", i+4), SampleDomainA))
		if err != nil {
			t.Fatal(err)
		}
		if err := Wait(ctx, func() bool {
			s := replacement.State()
			return s.Ready && len(s.Endpoints) > 0 && s.Endpoints[0].Boot != ""
		}); err != nil {
			t.Fatal(err)
		}
		mu.Lock()
		addrs[i] = replacement.Addr()
		mu.Unlock()
		if err := d.Daemons[i].Drain(ctx); err != nil {
			t.Error(err)
		}
		d.Platform.Hosts.Remove(fmt.Sprintf("entry-%d", i+1))
	}
	close(stop)
	wg.Wait()
	if answered == 0 {
		t.Error("no request was answered")
	}
	d.Daemons = d.Daemons[3:]
	drainAll(ctx, t, d)
	bills, err := ledger.Read(ctx, d.Platform.KV)
	if err != nil {
		t.Fatal(err)
	}
	if len(bills) != answered {
		t.Errorf("%d bills for %d answers", len(bills), answered)
	}
}

// Guards against lost, duplicate or reordered tokens when an endpoint crashes in the middle of its answers.
func TestCrashInMidStreamContinuesElsewhere(t *testing.T) {
	spec := fastEngine
	spec.TokenDelay = 10 * time.Millisecond
	ctx, d := startSample(t, 2, spec)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			prompt := fmt.Sprintf("prompt %d", i)
			a, err := sampleClient(d, i%2).Chat(ctx, ChatBody("small", prompt, true), nil)
			if err != nil {
				t.Error(err)
				return
			}
			checkAnswer(t, a, prompt, 24)
		})
	}
	victim := d.Engines[SampleSmall+"-"+SampleDomainA]
	if err := Wait(ctx, func() bool {
		for _, r := range victim.Runs() {
			if r.Tokens > 3 {
				return true
			}
		}
		return false
	}); err != nil {
		t.Fatal(err)
	}
	victim.Crash()
	wg.Wait()
	drainAll(ctx, t, d)
}

// Guards against a request that crashes every endpoint it reaches: it must be rejected after poison.MaxCrashes crashes
// in the whole fleet, and other requests must still be answered.
func TestPoisonRequestStops(t *testing.T) {
	ctx, d := startSample(t, 2, fastEngine)
	for _, e := range d.Engines {
		e.CrashOn("poison")
	}
	for i := range 6 {
		if _, err := sampleClient(d, i%2).Chat(ctx, ChatBody("auto", "poison", true), nil); err != nil {
			t.Fatal(err)
		}
	}
	crashes := 0
	for _, e := range d.Engines {
		crashes += e.Boots() - 1
	}
	if crashes > poison.MaxCrashes {
		t.Errorf("one request crashed endpoints %d times; want at most %d", crashes, poison.MaxCrashes)
	}
	if err := Wait(ctx, func() bool {
		a, err := sampleClient(d, 0).Chat(ctx, ChatBody("auto", "harmless", true), nil)
		return err == nil && a.Status == http.StatusOK
	}); err != nil {
		t.Error("no other request is answered after the crashes: ", err)
	}
	drainAll(ctx, t, d)
}
