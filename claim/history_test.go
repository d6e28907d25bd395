package claim

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/bramleytrail/bramleytrail/kv/memkv"
	"github.com/bramleytrail/bramleytrail/result"
)

// For a longer run: go test ./claim -run TestHistories -seeds 20000
var (
	seedCount = flag.Int("seeds", 700, "number of histories that TestHistories checks")
	firstSeed = flag.Uint64("first-seed", 1, "seed of the first one")
)

// outcome is what the caller of a delivery or a lookup observed.
type outcome int

const (
	ranAnswered    outcome = iota // the call ran and its answer arrived
	ranUnanswered                 // the call ran and its answer was lost
	replayed                      // the recorded answer was returned
	refusedNotRun                 // an error with result.NotRun
	refusedUnknown                // an error that leaves open whether the call ran
	neverSent                     // the claim was released, or its owner ended before it sent the call
	lookupDone                    // the lookup returned an outcome
	lookupNone                    // the lookup returned no claim or a released one
	lookupOther                   // the lookup returned a running or an unknown call
)

type observation struct {
	outcome outcome
	answer  string
}

// callState is the state of singleKeyModel.
type callState struct {
	ran    bool
	answer string
}

// singleKeyModel specifies the calls with one idempotency key: the call runs at most once, a replayed answer is that of
// this run, and a lookup returns an outcome only after the run and no claim only before it.
var singleKeyModel = porcupine.Model{
	Init: func() any { return callState{} },
	Step: func(state, _, output any) (bool, any) {
		s, o := state.(callState), output.(observation)
		switch o.outcome {
		case ranAnswered, ranUnanswered:
			return !s.ran, callState{true, o.answer}
		case replayed:
			return s.ran && s.answer == o.answer, s
		case lookupDone:
			return s.ran, s
		case lookupNone:
			return !s.ran, s
		default:
			return true, s
		}
	},
	DescribeOperation: func(_, output any) string { return fmt.Sprintf("%+v", output) },
}

// history drives the filters of three daemons with one idempotency key over an unreliable store and records the
// operations.
type history struct {
	rand     *rand.Rand // used only before the goroutines start
	stores   []*memkv.Unreliable
	filters  []*Filter
	endTimes []time.Time // by daemon; after its end a daemon accepts no delivery and records no outcome
	start    time.Time

	mu   sync.Mutex
	runs int
	ops  []porcupine.Operation
}

// newHistory returns a history of three daemons. With crashes, the first daemon ends within 3 s.
func newHistory(seed uint64, crashes bool) *history {
	h := &history{rand: rand.New(rand.NewPCG(seed, 1)), start: time.Now()}
	store := memkv.New()
	for i := range 3 {
		u := memkv.NewUnreliable(store, memkv.UnreliableSpec{
			Seed: seed*3 + uint64(i), MaxDelay: 30 * time.Millisecond, LostCall: 0.1, LostReply: 0.15, LateWrite: 0.1, MaxLateness: 5 * time.Second,
		})
		h.stores = append(h.stores, u)
		h.filters = append(h.filters, New(Spec{Store: u, Owner: fmt.Sprint(i), WritesPerSecond: 1e6, Now: time.Now}))
		end := h.start.Add(time.Hour * 24)
		if crashes && i == 0 {
			end = h.start.Add(h.random(3 * time.Second))
		}
		h.endTimes = append(h.endTimes, end)
	}
	return h
}

func (h *history) random(limit time.Duration) time.Duration {
	return time.Duration(h.rand.Int64N(int64(limit)))
}

// plan holds the random choices of one delivery or lookup, which are drawn before it starts.
type plan struct {
	daemon                     int
	delay, pause, runtime      time.Duration
	release, loseAnswer, crash bool
}

// newPlan draws a plan.
func (h *history) newPlan(crashes bool) plan {
	p := plan{
		daemon: h.rand.IntN(len(h.filters)), delay: h.random(3 * time.Second), pause: h.random(50 * time.Millisecond), runtime: h.random(time.Second),
		release: h.rand.Float64() < 0.4, loseAnswer: h.rand.Float64() < 0.2, crash: crashes && h.rand.Float64() < 0.1,
	}
	if h.rand.Float64() < 0.2 {
		p.pause = h.random(2 * time.Hour) // the owner is paused between the claim and the call
	}
	return p
}

func (h *history) record(client int, call time.Time, o observation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Call: int64(call.Sub(h.start)), Output: o, Return: int64(time.Since(h.start))})
}

// deliver makes one delivery of the call and records what its caller and the endpoint observe.
func (h *history) deliver(client int, p plan) {
	time.Sleep(p.delay)
	f, call := h.filters[p.daemon], time.Now()
	if call.After(h.endTimes[p.daemon]) {
		return
	}
	c, earlier, err := f.Do(context.Background(), Input{Service: "lots", Team: "growers", Key: "k", Request: 1})
	switch {
	case err != nil && result.From(err).Ran == result.NotRun:
		h.record(client, call, observation{outcome: refusedNotRun})
		return
	case err != nil:
		h.record(client, call, observation{outcome: refusedUnknown})
		return
	case earlier != nil:
		h.record(client, call, observation{replayed, string(earlier.Body)})
		return
	}
	time.Sleep(p.pause)
	if p.crash || time.Now().After(h.endTimes[p.daemon]) {
		h.record(client, call, observation{outcome: neverSent})
		return
	}
	if p.release {
		c.Release()
		h.record(client, call, observation{outcome: neverSent})
		return
	}
	h.sendCall(client, c, p)
}

// sendCall runs the call under claim c and records its outcome. With plan.loseAnswer, the answer does not arrive.
func (h *history) sendCall(client int, c *Claim, p plan) {
	call := time.Now()
	h.mu.Lock()
	h.runs++
	answer := fmt.Sprint("answer of run ", h.runs)
	h.mu.Unlock()
	time.Sleep(p.runtime)
	if p.loseAnswer {
		h.record(client, call, observation{outcome: ranUnanswered})
		c.Finish(Unknown, 0, nil, nil, false)
		return
	}
	h.record(client, call, observation{ranAnswered, answer})
	c.Finish(Done, 200, nil, []byte(answer), true)
}

func (h *history) lookup(client int, p plan) {
	time.Sleep(p.delay + p.pause)
	call := time.Now()
	rec, err := h.filters[p.daemon].Lookup(context.Background(), "lots", "growers", "k")
	switch {
	case err != nil:
	case rec == nil || rec.State == Released:
		h.record(client, call, observation{outcome: lookupNone})
	case rec.State == Done:
		h.record(client, call, observation{outcome: lookupDone})
	default:
		h.record(client, call, observation{outcome: lookupOther})
	}
}

// run makes 10 deliveries and 6 lookups concurrently and waits for them.
func (h *history) run(crashes bool) {
	var wg sync.WaitGroup
	for i := range h.filters {
		time.AfterFunc(time.Until(h.endTimes[i]), h.filters[i].cancel)
	}
	for client := range 10 {
		p := h.newPlan(crashes)
		wg.Go(func() { h.deliver(client, p) })
	}
	for client := range 6 {
		p := h.newPlan(crashes)
		wg.Go(func() { h.lookup(10+client, p) })
	}
	wg.Wait()
}

// finalRepeat repeats the call after the faults have ended and all background work is done. The repeat must not run if
// the call ran before. Otherwise it must run, unless a daemon ended, which may leave a claim that was not released.
func (h *history) finalRepeat(crashes bool) error {
	time.Sleep(time.Hour)
	for _, s := range h.stores {
		s.SetReliable(true)
	}
	c, _, err := h.filters[1].Do(context.Background(), Input{Service: "lots", Team: "growers", Key: "k", Request: 1})
	if h.runs == 0 && !crashes && c == nil {
		return fmt.Errorf("the call never ran and can't be repeated: %w", err)
	}
	if h.runs > 0 && c != nil {
		return errors.New("a call that ran may run again")
	}
	return nil
}

// Guards against a second run, a wrong replay, a wrong lookup and a call that can never run. Random histories repeat a
// call through three daemons, with lost store calls, lost replies, late writes, paused owners and owners that crash.
func TestHistories(t *testing.T) {
	totals := map[outcome]int{}
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		synctest.Test(t, func(t *testing.T) {
			crashes := seed%2 == 0
			h := newHistory(seed, crashes)
			h.run(crashes)
			if h.runs > 1 || !porcupine.CheckOperations(singleKeyModel, h.ops) {
				t.Errorf("seed %d: call ran %d times, or the history is not linearizable: %+v", seed, h.runs, h.ops)
			}
			if err := h.finalRepeat(crashes); err != nil {
				t.Errorf("seed %d: %v", seed, err)
			}
			for _, f := range h.filters {
				f.cancel()
			}
			for _, op := range h.ops {
				totals[op.Output.(observation).outcome]++
			}
		})
	}
	for o := ranAnswered; o <= lookupOther; o++ {
		if totals[o] == 0 {
			t.Errorf("no history has outcome %d, so the test does not cover it", o)
		}
	}
	t.Logf("outcomes %v", totals)
}

// Guards against a model that accepts invalid histories: it must reject a second run, the answer of another run, an
// outcome before the run and a missing claim after it.
func TestModelRejects(t *testing.T) {
	for name, outputs := range map[string][]observation{
		"second run":     {{ranAnswered, "a"}, {ranUnanswered, ""}},
		"foreign answer": {{ranAnswered, "a"}, {replayed, "b"}},
		"early lookup":   {{lookupDone, ""}, {ranAnswered, "a"}},
		"lost claim":     {{ranAnswered, "a"}, {lookupNone, ""}},
	} {
		var ops []porcupine.Operation
		for i, o := range outputs {
			ops = append(ops, porcupine.Operation{Call: int64(2 * i), Return: int64(2*i + 1), Output: o})
		}
		if porcupine.CheckOperations(singleKeyModel, ops) {
			t.Errorf("model accepts an invalid history: %s", name)
		}
	}
}
