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

// generatedTokens returns the number of tokens that all engines generated.
func generatedTokens(d *Deployment) int64 {
	var n int64
	for _, e := range d.Engines {
		for _, r := range e.Runs() {
			n += r.Tokens
		}
	}
	return n
}

// waitForCapacity lets requests queue for an endpoint without a time limit, as the wait depends on the speed of the
// machine.
func waitForCapacity(d *Deployment) { d.QueueWait = watchdog }

// publishProgressTimeout sets the progress timeout of the model service. A short one detects stalled streams soon, so
// that a test has time for many faults.
func publishProgressTimeout(ctx context.Context, t *testing.T, d *Deployment, timeout time.Duration) {
	t.Helper()
	set := SampleSet()
	set.Services[0].Timeouts.Progress = timeout
	rev, err := d.Publish(ctx, set)
	if err != nil {
		t.Fatal(err)
	}
	if err := d.WaitRevision(ctx, rev.Number); err != nil {
		t.Fatal(err)
	}
}

// Guards against lost, duplicate or reordered tokens when connections stall or break, endpoints crash and engines
// refuse to resume a stream, in random order and several times within one stream.
func TestStreamsSurviveFaults(t *testing.T) {
	const streams, workers, tokens, faults = 200, 50, 120, 20
	spec := fastEngine
	spec.AnswerTokens, spec.TokenDelay = tokens, 4*time.Millisecond
	ctx, d := startSample(t, 2, spec, waitForCapacity)
	publishProgressTimeout(ctx, t, d, 300*time.Millisecond)
	var next atomic.Int64
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for i := next.Add(1); i <= streams; i = next.Add(1) {
				prompt := fmt.Sprintf("prompt %d", i)
				a, err := sampleClient(d, int(i)%2).Chat(ctx, ChatBody("small", prompt, true), nil)
				if err != nil {
					t.Errorf("%s: %v after %d events", prompt, err, a.Events)
					continue
				}
				checkAnswer(t, a, prompt, tokens)
			}
		})
	}
	rnd := rand.New(rand.NewPCG(4, 1))
	targets := []*standin.Engine{d.Engines[SampleSmall+"-"+SampleDomainA], d.Engines[SampleSmall+"-"+SampleDomainB]}
	crashes := 0
	for n := range int64(faults) {
		if err := Wait(ctx, func() bool { return generatedTokens(d) >= (n+1)*streams*tokens/(faults+2) }); err != nil {
			t.Fatal(err)
		}
		e := targets[rnd.IntN(len(targets))]
		switch k := rnd.IntN(5); {
		case k == 0 && crashes < 4: // more would be treated as a poison request
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
	maxCalls := 0
	for _, e := range d.Engines {
		for _, r := range e.Runs() {
			request := r.ID[:strings.LastIndexByte(r.ID, '-')]
			calls[request]++
			maxCalls = max(maxCalls, calls[request])
		}
	}
	if maxCalls < 3 || crashes == 0 {
		t.Errorf("%d crashes, at most %d engine calls for one stream; want at least 1 and 3, or the fault schedule tests too little", crashes, maxCalls)
	}
	drainAll(ctx, t, d)
}

// Guards against a request that crashes its endpoints again and again and thereby breaks other requests. Although its
// caller retries through every daemon, it must be rejected after poison.MaxCrashes crashes in the whole fleet, and
// every other stream that the crashes interrupted must be completed.
func TestPoisonRequestHarmsNoOther(t *testing.T) {
	const otherRequests, tokens = 30, 400
	spec := fastEngine
	spec.AnswerTokens, spec.TokenDelay = tokens, 5*time.Millisecond
	ctx, d := startSample(t, 3, spec, waitForCapacity)
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
	for i := range otherRequests {
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
	if err := Wait(ctx, func() bool { return generatedTokens(d) > otherRequests*5 }); err != nil {
		t.Fatal(err)
	}
	rejected := 0
	for i := range 9 {
		a, err := sampleClient(d, i%3).Chat(ctx, ChatBody("small", "poison", true), nil)
		if err != nil {
			t.Fatal(err)
		}
		if a.Status == http.StatusUnprocessableEntity && a.Header.Get(relay.HeaderCode) == "404" {
			rejected++
		}
	}
	crashes := 0
	for _, e := range d.Engines {
		crashes += e.Boots() - 1
	}
	if crashes != poison.MaxCrashes || rejected != 9 {
		t.Errorf("%d crashes, rejected %d of 9 times; want %d and 9", crashes, rejected, poison.MaxCrashes)
	}
	wg.Wait()
	drainAll(ctx, t, d)
}
