package local

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/poison"
	"github.com/bramleytrail/bramleytrail/relay"
	"github.com/bramleytrail/bramleytrail/standin"
)

// generated returns the number of tokens that all engines generated.
func generated(d *Deployment) int64 {
	var n int64
	for _, e := range d.Engines {
		for _, r := range e.Runs() {
			n += r.Tokens
		}
	}
	return n
}

// waitForRoom has requests wait for room at an endpoint for as long as it takes: how long depends on the machine.
func waitForRoom(d *Deployment) { d.QueueWait = watchdog }

// publishTimeouts makes a stalled stream noticed soon, so that a test has time for many faults.
func publishTimeouts(ctx context.Context, t *testing.T, d *Deployment, progress time.Duration) {
	t.Helper()
	set := SampleSet()
	set.Services[0].Timeouts.Progress = progress
	rev, err := d.Publish(ctx, set)
	if err != nil {
		t.Fatal(err)
	}
	if err := d.WaitRevision(ctx, rev.Number); err != nil {
		t.Fatal(err)
	}
}

// Guards against lost, repeated or reordered tokens when connections go silent or break, endpoints crash and resumption
// is refused, in random order and several times in one stream.
func TestStreamsSurviveFaults(t *testing.T) {
	const streams, workers, tokens, faults = 200, 50, 120, 20
	spec := fastEngine
	spec.AnswerTokens, spec.TokenDelay = tokens, 4*time.Millisecond
	ctx, d := startSample(t, 2, spec, waitForRoom)
	publishTimeouts(ctx, t, d, 300*time.Millisecond)
	var next atomic.Int64
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for i := next.Add(1); i <= streams; i = next.Add(1) {
				prompt := fmt.Sprintf("prompt %d", i)
				a, err := sampleClient(d, int(i)%2).Chat(ctx, ChatBody("small", prompt, true), nil)
				if err != nil {
					t.Errorf("%s: %v after %d events", prompt, err, a.Parts)
					continue
				}
				checkAnswer(t, a, prompt, tokens)
			}
		})
	}
	rnd := rand.New(rand.NewPCG(4, 1))
	victims := []*standin.Engine{d.Engines[SampleSmall+"-"+SampleDomainA], d.Engines[SampleSmall+"-"+SampleDomainB]}
	crashes := 0
	for n := range int64(faults) {
		if err := Wait(ctx, func() bool { return generated(d) >= (n+1)*streams*tokens/(faults+2) }); err != nil {
			t.Fatal(err)
		}
		e := victims[rnd.IntN(len(victims))]
		switch k := rnd.IntN(5); {
		case k == 0 && crashes < 4: // more count as a poison request
			crashes++
			e.Crash()
		case k == 1:
			e.StallConnections()
		case k == 2:
			e.RefuseResume(true)
			e.BreakStreams()
		case k == 3:
			e.RefuseResume(false)
			e.BreakStreams()
		default:
			e.BreakStreams()
		}
	}
	wg.Wait()
	calls := map[string]int{}
	most := 0
	for _, e := range d.Engines {
		for _, r := range e.Runs() {
			request := r.ID[:strings.LastIndexByte(r.ID, '-')]
			calls[request]++
			most = max(most, calls[request])
		}
	}
	if most < 3 || crashes == 0 {
		t.Errorf("%d crashes, at most %d endpoints for one stream; the schedule tests too little", crashes, most)
	}
	drainAll(ctx, t, d)
}

// Guards against a request that crashes endpoints and takes others down with it: sent again by its caller through every
// daemon, it stops after the stated number of crashes in the fleet, and every other stream that those crashes
// interrupted is answered in full.
func TestPoisonRequestHarmsNoOther(t *testing.T) {
	const innocents, tokens = 30, 400
	spec := fastEngine
	spec.AnswerTokens, spec.TokenDelay = tokens, 5*time.Millisecond
	ctx, d := startSample(t, 3, spec, waitForRoom)
	for i := range 2 { // six model endpoints, four of them of the small version
		s := spec
		s.Name, s.Versions = fmt.Sprintf("%s-extra-%d", SampleSmall, i), []string{SampleSmall}
		if _, err := d.AddEngine([]string{SampleDomainA, SampleDomainB}[i], SampleLLM, s); err != nil {
			t.Fatal(err)
		}
	}
	if err := d.WaitEndpoints(ctx, 8); err != nil {
		t.Fatal(err)
	}
	for _, e := range d.Engines {
		e.CrashOn("poison")
	}
	var wg sync.WaitGroup
	for i := range innocents {
		wg.Go(func() {
			prompt := fmt.Sprintf("innocent %d", i)
			a, err := sampleClient(d, i%3).Chat(ctx, ChatBody("small", prompt, true), nil)
			if err != nil {
				t.Errorf("%s: %v", prompt, err)
				return
			}
			checkAnswer(t, a, prompt, tokens)
		})
	}
	if err := Wait(ctx, func() bool { return generated(d) > innocents*5 }); err != nil {
		t.Fatal(err)
	}
	refused := 0
	for i := range 9 {
		a, err := sampleClient(d, i%3).Chat(ctx, ChatBody("small", "poison", true), nil)
		if err != nil {
			t.Fatal(err)
		}
		if a.Status == http.StatusUnprocessableEntity && a.Header.Get(relay.HeaderCode) == "404" {
			refused++
		}
	}
	crashes := 0
	for _, e := range d.Engines {
		crashes += e.Boots() - 1
	}
	if crashes != poison.MaxCrashes || refused != 9 {
		t.Errorf("%d crashes, refused %d of 9 times; want %d and 9", crashes, refused, poison.MaxCrashes)
	}
	wg.Wait()
	drainAll(ctx, t, d)
}
