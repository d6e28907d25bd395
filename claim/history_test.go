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

// The longer run is: go test ./claim -run TestHistories -seeds 20000
var (
	seedCount = flag.Int("seeds", 700, "number of histories that TestHistories checks")
	firstSeed = flag.Uint64("first-seed", 1, "seed of the first one")
)

type outcome int

const (
	ranAnswered outcome = iota
	ranUnanswered
	replayed
	refusedNo
	refusedUnknown
	neverSent // released, or its owner ended before it sent the call
	seenDone
	seenNone // no claim, or a released one
	seenOther
)

type observation struct {
	outcome outcome
	answer  string
}

type callState struct {
	ran    bool
	answer string
}

// oneKey is the specification of one key: the call runs at most once, a replayed answer is the one of that run, a lookup
// reports an outcome only after it and reports no claim only before it.
var oneKey = porcupine.Model{
	Init: func() any { return callState{} },
	Step: func(state, _, output any) (bool, any) {
		s, o := state.(callState), output.(observation)
		switch o.outcome {
		case ranAnswered, ranUnanswered:
			return !s.ran, callState{true, o.answer}
		case replayed:
			return s.ran && s.answer == o.answer, s
		case seenDone:
			return s.ran, s
		case seenNone:
			return !s.ran, s
		default:
			return true, s
		}
	},
	DescribeOperation: func(_, output any) string { return fmt.Sprintf("%+v", output) },
}

// history drives several daemons' filters with one key over an unreliable store.
type history struct {
	rand    *rand.Rand // used before the goroutines start only
	stores  []*memkv.Unreliable
	filters []*Filter
	ends    []time.Time // a daemon that ends records no further outcome
	start   time.Time

	mu   sync.Mutex
	runs int
	ops  []porcupine.Operation
}

func newHistory(seed uint64, deaths bool) *history {
	h := &history{rand: rand.New(rand.NewPCG(seed, 1)), start: time.Now()}
	store := memkv.New()
	for i := range 3 {
		u := memkv.NewUnreliable(store, memkv.UnreliableSpec{
			Seed: seed*3 + uint64(i), MaxDelay: 30 * time.Millisecond, Lost: 0.1, LostReply: 0.15, Late: 0.1, LateBy: 5 * time.Second,
		})
		h.stores = append(h.stores, u)
		h.filters = append(h.filters, New(Spec{Store: u, Owner: fmt.Sprint(i), WritesPerSecond: 1e6, Now: time.Now}))
		end := h.start.Add(time.Hour * 24)
		if deaths && i == 0 {
			end = h.start.Add(h.random(3 * time.Second))
		}
		h.ends = append(h.ends, end)
	}
	return h
}

func (h *history) random(limit time.Duration) time.Duration {
	return time.Duration(h.rand.Int64N(int64(limit)))
}

// plan is the course of one delivery, drawn before it starts.
type plan struct {
	daemon             int
	at, pause, runtime time.Duration
	release, drop, die bool
}

func (h *history) plan(deaths bool) plan {
	p := plan{
		daemon: h.rand.IntN(len(h.filters)), at: h.random(3 * time.Second), pause: h.random(50 * time.Millisecond), runtime: h.random(time.Second),
		release: h.rand.Float64() < 0.4, drop: h.rand.Float64() < 0.2, die: deaths && h.rand.Float64() < 0.1,
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

// deliver carries out one delivery of the call and records what its caller and the endpoint saw.
func (h *history) deliver(client int, p plan) {
	time.Sleep(p.at)
	f, call := h.filters[p.daemon], time.Now()
	if call.After(h.ends[p.daemon]) {
		return
	}
	c, earlier, err := f.Do(context.Background(), Input{Service: "lots", Team: "growers", Key: "k", Request: 1})
	switch {
	case err != nil && result.From(err).Ran == result.NotRun:
		h.record(client, call, observation{outcome: refusedNo})
		return
	case err != nil:
		h.record(client, call, observation{outcome: refusedUnknown})
		return
	case earlier != nil:
		h.record(client, call, observation{replayed, string(earlier.Body)})
		return
	}
	time.Sleep(p.pause)
	if p.die || time.Now().After(h.ends[p.daemon]) {
		h.record(client, call, observation{outcome: neverSent})
		return
	}
	if p.release {
		c.Release()
		h.record(client, call, observation{outcome: neverSent})
		return
	}
	h.send(client, c, p)
}

func (h *history) send(client int, c *Claim, p plan) {
	call := time.Now()
	h.mu.Lock()
	h.runs++
	answer := fmt.Sprint("answer of run ", h.runs)
	h.mu.Unlock()
	time.Sleep(p.runtime)
	if p.drop {
		h.record(client, call, observation{outcome: ranUnanswered})
		c.Finish(Unknown, 0, nil, nil, false)
		return
	}
	h.record(client, call, observation{ranAnswered, answer})
	c.Finish(Done, 200, nil, []byte(answer), true)
}

func (h *history) lookUp(client int, p plan) {
	time.Sleep(p.at + p.pause)
	call := time.Now()
	rec, err := h.filters[p.daemon].Lookup(context.Background(), "lots", "growers", "k")
	switch {
	case err != nil:
	case rec == nil || rec.State == Released:
		h.record(client, call, observation{outcome: seenNone})
	case rec.State == Done:
		h.record(client, call, observation{outcome: seenDone})
	default:
		h.record(client, call, observation{outcome: seenOther})
	}
}

func (h *history) run(deaths bool) {
	var wg sync.WaitGroup
	for i := range h.filters {
		time.AfterFunc(time.Until(h.ends[i]), h.filters[i].cancel)
	}
	for client := range 10 {
		p := h.plan(deaths)
		wg.Go(func() { h.deliver(client, p) })
	}
	for client := range 6 {
		p := h.plan(deaths)
		wg.Go(func() { h.lookUp(10+client, p) })
	}
	wg.Wait()
}

// finalDelivery repeats the call after the faults have ended and all background work is done. It must run unless the
// call ran before or a daemon ended, which may leave a claim that was not given back.
func (h *history) finalDelivery(deaths bool) error {
	time.Sleep(time.Hour)
	for _, s := range h.stores {
		s.SetReliable(true)
	}
	c, _, err := h.filters[1].Do(context.Background(), Input{Service: "lots", Team: "growers", Key: "k", Request: 1})
	if h.runs == 0 && !deaths && c == nil {
		return fmt.Errorf("the call never ran and can't be repeated: %w", err)
	}
	if h.runs > 0 && c != nil {
		return errors.New("a call that ran may run again")
	}
	return nil
}

// Guards against a second run, a wrong replay, a wrong lookup and a call that can never run, in histories of repeats
// through three daemons with lost calls, lost replies, late writes, paused owners and owners that end.
func TestHistories(t *testing.T) {
	totals := map[outcome]int{}
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		synctest.Test(t, func(t *testing.T) {
			deaths := seed%2 == 0
			h := newHistory(seed, deaths)
			h.run(deaths)
			if h.runs > 1 || !porcupine.CheckOperations(oneKey, h.ops) {
				t.Errorf("seed %d: %d runs, history %+v", seed, h.runs, h.ops)
			}
			if err := h.finalDelivery(deaths); err != nil {
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
	for o := ranAnswered; o <= seenOther; o++ {
		if totals[o] == 0 {
			t.Errorf("no history has outcome %d; the check covers nothing of it", o)
		}
	}
	t.Logf("outcomes %v", totals)
}

// Guards against a model that accepts everything: it must reject a second run, a foreign answer and an early lookup.
func TestModelRejects(t *testing.T) {
	for name, outputs := range map[string][]observation{
		"second run":     {{ranAnswered, "a"}, {ranUnanswered, ""}},
		"foreign answer": {{ranAnswered, "a"}, {replayed, "b"}},
		"early lookup":   {{seenDone, ""}, {ranAnswered, "a"}},
		"lost claim":     {{ranAnswered, "a"}, {seenNone, ""}},
	} {
		var ops []porcupine.Operation
		for i, o := range outputs {
			ops = append(ops, porcupine.Operation{Call: int64(2 * i), Return: int64(2*i + 1), Output: o})
		}
		if porcupine.CheckOperations(oneKey, ops) {
			t.Errorf("%s: accepted", name)
		}
	}
}
