package local

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/identify"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/relay"
	"github.com/bramleytrail/bramleytrail/standin"
)

// sampleSmallNext is a second version of the sample's small model.
const sampleSmallNext = "small-2"

// nextVersionSet returns the sample configuration with sampleSmallNext added, changed by edit unless that is nil.
func nextVersionSet(edit func(*object.Set)) object.Set {
	s := SampleSet()
	next := s.Versions[0]
	next.Name = sampleSmallNext
	s.Versions = append(s.Versions, next)
	if edit != nil {
		edit(&s)
	}
	return s
}

// startPartitioned starts a deployment with relays and endpoints of both versions of the small model. The daemons of
// failure domain south can't reach the platform, only their peers.
func startPartitioned(t *testing.T, spec standin.EngineSpec) (context.Context, *Deployment) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), watchdog)
	t.Cleanup(cancel)
	d, err := New(nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Stop)
	n := d.UseRelayNetwork()
	for _, domain := range []string{SampleDomainA, SampleDomainB} {
		e := spec
		e.Name, e.Versions = sampleSmallNext+"-"+domain, []string{sampleSmallNext}
		if _, err := d.AddEngine(domain, SampleLLM, e); err != nil {
			t.Fatal(err)
		}
	}
	if err := DeploySample(ctx, d, 4, spec); err != nil {
		t.Fatal(err)
	}
	n.Platform(SampleDomainB).SetAll(standin.Refuse)
	publishNextVersion(ctx, t, d, nil)
	return ctx, d
}

// publishNextVersion publishes nextVersionSet(edit) and waits until every daemon has it.
func publishNextVersion(ctx context.Context, t *testing.T, d *Deployment, edit func(*object.Set)) {
	t.Helper()
	rev, err := d.Publish(ctx, nextVersionSet(edit))
	if err != nil {
		t.Fatal(err)
	}
	if err := d.WaitRevision(ctx, rev.Number); err != nil {
		t.Fatal(err)
	}
}

// loadGenerator sends requests to all daemons until stop is called. wg waits for the requests in progress.
type loadGenerator struct {
	started, answered []atomic.Int64 // number of requests by worker
	wg                sync.WaitGroup
	stop              func()
}

// startLoad starts a loadGenerator with one client per worker. It stops at the latest when ctx ends.
func startLoad(ctx context.Context, t *testing.T, d *Deployment) *loadGenerator {
	const workers = 8
	ctx, cancel := context.WithCancel(ctx)
	l := &loadGenerator{started: make([]atomic.Int64, workers), answered: make([]atomic.Int64, workers), stop: cancel}
	for w := range workers {
		l.wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				l.started[w].Add(1)
				prompt := fmt.Sprintf("worker %d request %d", w, n)
				// Without the cancellation, so that stop lets the requests in progress finish.
				a, err := sampleClient(d, w%len(d.Daemons)).Chat(context.WithoutCancel(ctx), ChatBody("small", prompt, true), nil)
				if err != nil {
					t.Errorf("%s: %v", prompt, err)
					return
				}
				checkAnswer(t, a, prompt, 24)
				l.answered[w].Add(1)
			}
		})
	}
	return l
}

// waitRequests waits until each worker has finished n requests that it started after the call of waitRequests.
func (l *loadGenerator) waitRequests(ctx context.Context, t *testing.T, n int64) {
	t.Helper()
	var goal []int64
	for i := range l.started {
		goal = append(goal, l.started[i].Load()+n)
	}
	if err := Wait(ctx, func() bool {
		for i := range goal {
			if l.answered[i].Load() < goal[i] {
				return false
			}
		}
		return true
	}); err != nil {
		t.Fatal(err)
	}
}

// countRuns returns the number of requests at all engines for which selected is true.
func countRuns(d *Deployment, selected func(standin.EngineRun) bool) int {
	n := 0
	for _, e := range d.Engines {
		for _, r := range e.Runs() {
			if selected(r) {
				n++
			}
		}
	}
	return n
}

// Guards against new requests to a failure domain that is declared out of service, an endpoint that is leaving or a
// version that is withdrawn, once every daemon has the change, and against answers that the change interrupts. Half of
// the daemons can't reach the platform. Tests of packages peer and daemon check under a fake clock that every daemon
// has a change within 3 s.
func TestNoNewWorkAfterChange(t *testing.T) {
	spec := fastEngine
	spec.TokenDelay = 2 * time.Millisecond
	ctx, d := startPartitioned(t, spec)
	l := startLoad(ctx, t, d)
	south, leaving := sampleSmallNext+"-"+SampleDomainB, sampleSmallNext+"-"+SampleDomainA
	setState := func(s hostlist.State) func() {
		return func() {
			d.Platform.Hosts.SetState(leaving, s)
			list, err := d.Platform.Hosts.List(ctx, 0)
			if err != nil {
				t.Fatal(err)
			}
			if err := Wait(ctx, func() bool {
				for _, dm := range d.Daemons {
					if dm.State().HostListRevision < list.Revision {
						return false
					}
				}
				return true
			}); err != nil {
				t.Fatal(err)
			}
		}
	}
	publish := func(change func(*object.Set)) func() { return func() { publishNextVersion(ctx, t, d, change) } }
	for _, c := range []struct {
		name        string
		apply, undo func()
		selected    func(standin.EngineRun) bool
	}{
		{"failure domain out", publish(func(s *object.Set) { s.FailureDomains[1].State = object.DomainOut }), publish(nil),
			func(r standin.EngineRun) bool { return r.Engine == south }},
		{"endpoint leaving", setState(hostlist.StateLeaving), setState(hostlist.StateLive),
			func(r standin.EngineRun) bool { return r.Engine == leaving }},
		{"version withdrawn", publish(func(s *object.Set) { s.Versions[2].State = object.VersionWithdrawn }), publish(nil),
			func(r standin.EngineRun) bool { return r.Version == sampleSmallNext }},
	} {
		before := countRuns(d, c.selected)
		if err := Wait(ctx, func() bool { return countRuns(d, c.selected) > before }); err != nil {
			t.Fatalf("%s: no request started before the change: %v", c.name, err)
		}
		c.apply()
		l.waitRequests(ctx, t, 1) // until then, requests sent before the change may still arrive
		before = countRuns(d, c.selected)
		l.waitRequests(ctx, t, 5)
		if n := countRuns(d, c.selected) - before; n != 0 {
			t.Errorf("%s: %d requests started after the change, want 0", c.name, n)
		}
		c.undo()
	}
	l.stop()
	l.wg.Wait()
	d.RelayNetwork.Platform(SampleDomainB).SetAll(standin.Pass)
	drainAll(ctx, t, d)
}

// Guards against a queued request that is sent to a version that was withdrawn while the request was waiting for
// capacity.
func TestWaitingRequestUsesNewestConfiguration(t *testing.T) {
	spec := fastEngine
	spec.TokenDelay = 20 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), watchdog)
	defer cancel()
	d, err := New(nil)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Stop()
	for _, version := range []string{SampleSmall, sampleSmallNext} {
		e := spec
		e.Name, e.Versions = version, []string{version}
		if _, err := d.AddEngine(SampleDomainA, SampleLLM, e); err != nil {
			t.Fatal(err)
		}
	}
	s := d.Settings("entry-1", SampleDomainA)
	s.QueueWait = time.Minute
	if _, err := d.AddDaemon(s); err != nil {
		t.Fatal(err)
	}
	oneSlot := func(s *object.Set) { s.Services[0].Limits.Slots, s.Services[0].Limits.ColdSlots = 1, 1 }
	publishNextVersion(ctx, t, d, oneSlot)
	if err := d.WaitEndpoints(ctx, 2); err != nil {
		t.Fatal(err)
	}
	chat := func(prompt, session string) Answer {
		a, err := sampleClient(d, 0).Chat(ctx, ChatBody("small", prompt, true), map[string]string{identify.HeaderSession: session})
		if err != nil {
			t.Error(err)
		}
		return a
	}
	var wg sync.WaitGroup
	wg.Go(func() { checkAnswer(t, chat("holds the slot", "one"), "holds the slot", 24) })
	if err := Wait(ctx, func() bool { return len(d.Engines[sampleSmallNext].Runs()) == 1 }); err != nil {
		t.Fatal(err)
	}
	wg.Go(func() {
		a := chat("waits", "two")
		checkAnswer(t, a, "waits", 24)
		if v := a.Header.Get(relay.HeaderVersion); v != SampleSmall {
			t.Errorf("answered by %s, which is withdrawn", v)
		}
	})
	if err := Wait(ctx, func() bool { return d.Daemons[0].State().InFlight == 2 }); err != nil {
		t.Fatal(err)
	}
	publishNextVersion(ctx, t, d, func(s *object.Set) { oneSlot(s); s.Versions[2].State = object.VersionWithdrawn })
	wg.Wait()
	if n := len(d.Engines[sampleSmallNext].Runs()); n != 1 {
		t.Errorf("the withdrawn version started %d requests; want the one that held the slot", n)
	}
	drainAll(ctx, t, d)
}

// Guards against a session that changes its version during a rollout after the entry host that served it is lost,
// although its caller sends the session token.
func TestSessionSurvivesHostLoss(t *testing.T) {
	ctx, d := startPartitioned(t, fastEngine)
	publishRolloutStep := func(step int) {
		publishNextVersion(ctx, t, d, func(s *object.Set) {
			s.Rollouts = []object.Rollout{{Name: "next", Model: "small", From: SampleSmall, To: sampleSmallNext, Steps: []float64{0.5, 1}, Step: step}}
		})
	}
	publishRolloutStep(0)
	type sessionState struct{ token, version string }
	sessions := map[string]sessionState{}
	chat := func(daemon int, token string) Answer {
		header := map[string]string{}
		if token != "" {
			header[identify.HeaderSession] = token
		}
		a, err := sampleClient(d, daemon).Chat(ctx, ChatBody("small", "hello", false), header)
		if err != nil || a.Status != http.StatusOK {
			t.Fatalf("status %d: %v", a.Status, err)
		}
		return a
	}
	sessionsOnVersion := map[string]int{}
	for i := range 24 {
		a := chat(0, "")
		k := sessionState{a.Header.Get(identify.HeaderSession), a.Header.Get(relay.HeaderVersion)}
		sessions[fmt.Sprint(i)] = k
		sessionsOnVersion[k.version]++
	}
	if len(sessionsOnVersion) != 2 {
		t.Fatalf("sessions started on versions %v; want both versions", sessionsOnVersion)
	}
	d.Daemons[0].Kill()
	d.Platform.Hosts.Remove("entry-1")
	d.Daemons = d.Daemons[1:]
	for i, step := range []int{1, 0, -1} {
		publishRolloutStep(step)
		for id, k := range sessions {
			if v := chat(i, k.token).Header.Get(relay.HeaderVersion); v != k.version {
				t.Errorf("session %s changed from version %s to %s at step %d", id, k.version, v, step)
			}
		}
	}
	d.RelayNetwork.Platform(SampleDomainB).SetAll(standin.Pass)
	drainAll(ctx, t, d)
}

// Guards against a failure domain that stops serving requests when it is partitioned from the platform and all other
// failure domains, and against one that does not receive the newest configuration after it is reconnected.
func TestIsolatedDomainServes(t *testing.T) {
	ctx, d := startPartitioned(t, fastEngine)
	before := d.Daemons[1].State()
	d.RelayNetwork.Isolate(SampleDomainB, true)
	rev, err := d.Publish(ctx, nextVersionSet(func(s *object.Set) { s.Versions[2].State = object.VersionWithdrawn }))
	if err != nil {
		t.Fatal(err)
	}
	if err := Wait(ctx, func() bool { return d.Daemons[0].State().Revision == rev.Number }); err != nil {
		t.Fatal(err)
	}
	for i := range 20 {
		prompt := fmt.Sprintf("prompt %d", i)
		a, err := sampleClient(d, 1).Chat(ctx, ChatBody("small", prompt, true), nil)
		if err != nil {
			t.Fatal(err)
		}
		checkAnswer(t, a, prompt, 24)
	}
	if s := d.Daemons[1].State(); s.Revision != before.Revision || !s.Ready {
		t.Errorf("revision %d, ready %t in the partitioned failure domain; want %d and ready", s.Revision, s.Ready, before.Revision)
	}
	d.RelayNetwork.Isolate(SampleDomainB, false)
	if err := d.WaitRevision(ctx, rev.Number); err != nil {
		t.Fatal(err)
	}
	d.RelayNetwork.Platform(SampleDomainB).SetAll(standin.Pass)
	drainAll(ctx, t, d)
}

// Guards against an answer that resumes at another endpoint on a version withdrawn in the meantime: that is a new
// request to the withdrawn version.
func TestAnswerIsNotContinuedOnWithdrawnVersion(t *testing.T) {
	spec := fastEngine
	spec.TokenDelay, spec.AnswerTokens = 10*time.Millisecond, 1000
	ctx, d := startPartitioned(t, spec)
	onNextVersion := func(r standin.EngineRun) bool { return r.Version == sampleSmallNext }
	done := make(chan error, 1)
	go func() {
		_, err := sampleClient(d, 0).Chat(ctx, ChatBody("small", "long", true), nil)
		done <- err
	}()
	if err := Wait(ctx, func() bool {
		return countRuns(d, func(r standin.EngineRun) bool { return onNextVersion(r) && r.Tokens > 3 }) == 1
	}); err != nil {
		t.Fatal(err)
	}
	publishNextVersion(ctx, t, d, func(s *object.Set) { s.Versions[2].State = object.VersionWithdrawn })
	for _, e := range d.Engines {
		e.Crash()
	}
	if err := <-done; err == nil {
		t.Error("the interrupted answer ended without an error")
	}
	if n := countRuns(d, onNextVersion); n != 1 {
		t.Errorf("the withdrawn version started %d requests; want the one before the withdrawal", n)
	}
	d.RelayNetwork.Platform(SampleDomainB).SetAll(standin.Pass)
	drainAll(ctx, t, d)
}

// Guards against daemons that keep waiting on stalled connections to peers while new connections work. It uses real
// sockets, and half of the daemons receive changes from peers only.
func TestStalledSocketsAreReplaced(t *testing.T) {
	ctx, d := startPartitioned(t, fastEngine)
	for range 3 {
		for i := range d.Daemons {
			d.RelayNetwork.Peer(fmt.Sprintf("entry-%d", i+1)).StallConnections()
		}
		publishNextVersion(ctx, t, d, nil)
	}
	d.RelayNetwork.Platform(SampleDomainB).SetAll(standin.Pass)
	drainAll(ctx, t, d)
}
