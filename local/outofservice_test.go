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

const sampleNext = "small-2"

// nextSet returns the sample configuration with a second version of the small model.
func nextSet(change func(*object.Set)) object.Set {
	s := SampleSet()
	next := s.Versions[0]
	next.Name = sampleNext
	s.Versions = append(s.Versions, next)
	if change != nil {
		change(&s)
	}
	return s
}

// startCut starts a deployment with relays. Failure domain south is cut off from the platform, not from its peers.
func startCut(t *testing.T, spec standin.EngineSpec) (context.Context, *Deployment) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), watchdog)
	t.Cleanup(cancel)
	d, err := New(nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Stop)
	n := d.UseNetwork()
	for _, domain := range []string{SampleDomainA, SampleDomainB} {
		e := spec
		e.Name, e.Versions = sampleNext+"-"+domain, []string{sampleNext}
		if _, err := d.AddEngine(domain, SampleLLM, e); err != nil {
			t.Fatal(err)
		}
	}
	if err := Sample(ctx, d, 4, spec); err != nil {
		t.Fatal(err)
	}
	n.Platform(SampleDomainB).SetAll(standin.Refuse)
	publishAll(ctx, t, d, nil)
	return ctx, d
}

func publishAll(ctx context.Context, t *testing.T, d *Deployment, change func(*object.Set)) {
	t.Helper()
	rev, err := d.Publish(ctx, nextSet(change))
	if err != nil {
		t.Fatal(err)
	}
	if err := d.WaitRevision(ctx, rev.Number); err != nil {
		t.Fatal(err)
	}
}

// load sends requests to all daemons until stop is called.
type load struct {
	begun, answered []atomic.Int64 // by worker
	wg              sync.WaitGroup
	stop            func()
}

func startLoad(ctx context.Context, t *testing.T, d *Deployment) *load {
	const workers = 8
	ctx, cancel := context.WithCancel(ctx)
	l := &load{begun: make([]atomic.Int64, workers), answered: make([]atomic.Int64, workers), stop: cancel}
	for w := range workers {
		l.wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				l.begun[w].Add(1)
				prompt := fmt.Sprintf("worker %d request %d", w, n)
				// The answer is read to its end after stop, so that no request is cut off.
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

// passes waits until each worker has finished n requests that it began after the call.
func (l *load) passes(ctx context.Context, t *testing.T, n int64) {
	t.Helper()
	var goal []int64
	for i := range l.begun {
		goal = append(goal, l.begun[i].Load()+n)
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

// runs returns the number of requests that the selected engines started.
func runs(d *Deployment, selected func(standin.EngineRun) bool) int {
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

// Guards against new work for a failure domain that is declared out, an endpoint that is leaving and a version that is
// withdrawn, once each daemon has the change, and against answers cut off by it. Half of the daemons are cut off from the
// platform. That each daemon has a change within 3 s is shown under a fake clock in packages peer and daemon.
func TestNoNewWorkAfterChange(t *testing.T) {
	spec := fastEngine
	spec.TokenDelay = 2 * time.Millisecond
	ctx, d := startCut(t, spec)
	l := startLoad(ctx, t, d)
	south, leaving := sampleNext+"-"+SampleDomainB, sampleNext+"-"+SampleDomainA
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
	declare := func(change func(*object.Set)) func() { return func() { publishAll(ctx, t, d, change) } }
	for _, c := range []struct {
		name        string
		apply, undo func()
		selected    func(standin.EngineRun) bool
	}{
		{"failure domain out", declare(func(s *object.Set) { s.FailureDomains[1].State = object.DomainOut }), declare(nil),
			func(r standin.EngineRun) bool { return r.Engine == south }},
		{"endpoint leaving", setState(hostlist.StateLeaving), setState(hostlist.StateLive),
			func(r standin.EngineRun) bool { return r.Engine == leaving }},
		{"version withdrawn", declare(func(s *object.Set) { s.Versions[2].State = object.VersionWithdrawn }), declare(nil),
			func(r standin.EngineRun) bool { return r.Version == sampleNext }},
	} {
		before := runs(d, c.selected)
		if err := Wait(ctx, func() bool { return runs(d, c.selected) > before }); err != nil {
			t.Fatalf("%s: no work before the change: %v", c.name, err)
		}
		c.apply()
		l.passes(ctx, t, 1) // what was on its way to an endpoint has arrived
		before = runs(d, c.selected)
		l.passes(ctx, t, 5)
		if n := runs(d, c.selected) - before; n != 0 {
			t.Errorf("%s: %d requests started after the change", c.name, n)
		}
		c.undo()
	}
	l.stop()
	l.wg.Wait()
	d.Network.Platform(SampleDomainB).SetAll(standin.Pass)
	drainAll(ctx, t, d)
}

// Guards against a request that waits for room while its version is withdrawn and then starts on it.
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
	for _, version := range []string{SampleSmall, sampleNext} {
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
	single := func(s *object.Set) { s.Services[0].Limits.Slots, s.Services[0].Limits.ColdSlots = 1, 1 }
	publishAll(ctx, t, d, single)
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
	if err := Wait(ctx, func() bool { return len(d.Engines[sampleNext].Runs()) == 1 }); err != nil {
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
	publishAll(ctx, t, d, func(s *object.Set) { single(s); s.Versions[2].State = object.VersionWithdrawn })
	wg.Wait()
	if n := len(d.Engines[sampleNext].Runs()); n != 1 {
		t.Errorf("the withdrawn version started %d requests; want the one that held the slot", n)
	}
	drainAll(ctx, t, d)
}

// Guards against a session that changes its version when the host that served it is lost, with the token that the caller
// echoes, during a roll-out.
func TestSessionSurvivesHostLoss(t *testing.T) {
	ctx, d := startCut(t, fastEngine)
	rollout := func(step int) {
		publishAll(ctx, t, d, func(s *object.Set) {
			s.Rollouts = []object.Rollout{{Name: "next", Model: "small", From: SampleSmall, To: sampleNext, Steps: []float64{0.5, 1}, Step: step}}
		})
	}
	rollout(0)
	type kept struct{ token, version string }
	sessions := map[string]kept{}
	ask := func(daemon int, token string) Answer {
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
	seen := map[string]int{}
	for i := range 24 {
		a := ask(0, "")
		k := kept{a.Header.Get(identify.HeaderSession), a.Header.Get(relay.HeaderVersion)}
		sessions[fmt.Sprint(i)] = k
		seen[k.version]++
	}
	if len(seen) != 2 {
		t.Fatalf("sessions began on %v; want both versions", seen)
	}
	d.Daemons[0].Kill()
	d.Platform.Hosts.Remove("entry-1")
	d.Daemons = d.Daemons[1:]
	for i, step := range []int{1, 0, -1} {
		rollout(step)
		for id, k := range sessions {
			if v := ask(i, k.token).Header.Get(relay.HeaderVersion); v != k.version {
				t.Errorf("session %s moved from %s to %s at step %d", id, k.version, v, step)
			}
		}
	}
	d.Network.Platform(SampleDomainB).SetAll(standin.Pass)
	drainAll(ctx, t, d)
}

// Guards against a failure domain that stops serving when it is cut off from the platform and from all other domains, and
// against one that does not catch up after it is connected again.
func TestIsolatedDomainServes(t *testing.T) {
	ctx, d := startCut(t, fastEngine)
	before := d.Daemons[1].State()
	d.Network.Isolate(SampleDomainB, true)
	rev, err := d.Publish(ctx, nextSet(func(s *object.Set) { s.Versions[2].State = object.VersionWithdrawn }))
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
		t.Errorf("revision %d, ready %t in the domain that is cut off; want %d and ready", s.Revision, s.Ready, before.Revision)
	}
	d.Network.Isolate(SampleDomainB, false)
	if err := d.WaitRevision(ctx, rev.Number); err != nil {
		t.Fatal(err)
	}
	d.Network.Platform(SampleDomainB).SetAll(standin.Pass)
	drainAll(ctx, t, d)
}

// Guards against an answer that is continued on a withdrawn version at another endpoint, which is new work for it.
func TestAnswerIsNotContinuedOnWithdrawnVersion(t *testing.T) {
	spec := fastEngine
	spec.TokenDelay, spec.AnswerTokens = 10*time.Millisecond, 1000
	ctx, d := startCut(t, spec)
	withNext := func(r standin.EngineRun) bool { return r.Version == sampleNext }
	done := make(chan error, 1)
	go func() {
		_, err := sampleClient(d, 0).Chat(ctx, ChatBody("small", "long", true), nil)
		done <- err
	}()
	if err := Wait(ctx, func() bool {
		return runs(d, func(r standin.EngineRun) bool { return withNext(r) && r.Tokens > 3 }) == 1
	}); err != nil {
		t.Fatal(err)
	}
	publishAll(ctx, t, d, func(s *object.Set) { s.Versions[2].State = object.VersionWithdrawn })
	for _, e := range d.Engines {
		e.Crash()
	}
	if err := <-done; err == nil {
		t.Error("the answer ended without an error")
	}
	if n := runs(d, withNext); n != 1 {
		t.Errorf("the withdrawn version started %d requests; want the one before the withdrawal", n)
	}
	d.Network.Platform(SampleDomainB).SetAll(standin.Pass)
	drainAll(ctx, t, d)
}

// Guards against daemons that wait on connections to peers that have gone silent for good while new ones work, on real
// sockets: half of the daemons learn of changes from peers only.
func TestSilentSocketsAreReplaced(t *testing.T) {
	ctx, d := startCut(t, fastEngine)
	for range 3 {
		for i := range d.Daemons {
			d.Network.Peer(fmt.Sprintf("entry-%d", i+1)).StallConnections()
		}
		publishAll(ctx, t, d, nil)
	}
	d.Network.Platform(SampleDomainB).SetAll(standin.Pass)
	drainAll(ctx, t, d)
}
