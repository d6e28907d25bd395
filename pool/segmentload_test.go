package pool

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/object"
)

// prefillSimulation simulates a failure domain: endpoints that process prompts one after the other, and daemons that
// choose among them.
type prefillSimulation struct {
	endpoints, daemons int
	utilization        float64 // arriving work as a fraction of what the endpoints can process
	announced          bool    // daemons announce long prompts to each other without delay
	seed               uint64
}

// simulationResult holds what callers see after the estimates have settled.
type simulationResult struct {
	longLatencies []time.Duration // time until long prompts are processed
}

// requestKind is a kind of request: its model, its share of all requests and its prompt length.
type requestKind struct {
	model  string
	share  float64
	tokens int64
}

// A token takes 0.002 ms with the small model and 0.02 ms with the large one. Long prompts take 800 ms, and the maximum
// gap is 1,000 ms.
var (
	tokenMsByModel = map[string]float64{"small": 0.002, "large": 0.02}
	requestKinds   = []requestKind{{"small", 0.75, 2000}, {"large", 0.19, 5000}, {"large", 0.06, 40000}}
)

const longPromptTokens = 40000

// scheduledAnswer is an answer that begins at a time.
type scheduledAnswer struct {
	at          time.Time
	latency     time.Duration
	reservation Reservation
	long        bool // the answer is to a long prompt after the warm-up
}

type answerHeap []scheduledAnswer

func (a answerHeap) Len() int           { return len(a) }
func (a answerHeap) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a answerHeap) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *answerHeap) Push(x any)        { *a = append(*a, x.(scheduledAnswer)) }
func (a *answerHeap) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

func (l prefillSimulation) pools(now time.Time) []*Pool {
	set := object.Set{
		FailureDomains: []object.FailureDomain{{Name: "a", State: object.DomainIn}},
		Services:       []object.Service{{Name: "llm", Type: object.ServicePlain, Routed: &object.RoutedService{}}},
	}
	var list hostlist.List
	for i := range l.endpoints {
		list.Hosts = append(list.Hosts, hostlist.Host{ID: fmt.Sprintf("e%d", i), Role: hostlist.RoleEndpoint, Domain: "a", State: hostlist.StateLive,
			Addr: fmt.Sprintf("e%d:1", i), Service: "llm", Release: "v1", Slots: 200})
	}
	var pools []*Pool
	for i := range l.daemons {
		spec := Spec{Self: fmt.Sprintf("d%d", i), Domain: "a", Settle: time.Second, Rand: func() uint64 { return 0 }}
		if l.announced {
			spec.OnPrefill = func(r Reservation, prefill time.Duration) {
				for j, other := range pools {
					if j != i {
						other.RecordPeerPrefill(r.ID, prefill, r.reservedAt)
					}
				}
			}
		}
		p := New(spec)
		p.SetView(config.Index(config.Revision{Number: 1}, set), now)
		p.SetHosts(list, now)
		pools = append(pools, p)
	}
	return pools
}

// simulate runs the load for 25 s of simulated time. The first 10 s are not counted.
func (l prefillSimulation) simulate(t *testing.T) simulationResult {
	const warmUp, length = 10 * time.Second, 25 * time.Second
	start := time.Unix(1000, 0)
	rng := rand.New(rand.NewPCG(l.seed, 0))
	pools := l.pools(start)
	meanPrefillMs := 0.0 // per request
	for _, k := range requestKinds {
		meanPrefillMs += k.share * tokenMsByModel[k.model] * float64(k.tokens)
	}
	requestRate := l.utilization * float64(l.endpoints) * 1000 / meanPrefillMs
	idleAt := map[string]time.Time{} // when each endpoint has processed all its prompts
	var scheduled answerHeap
	var out simulationResult
	for now := start; now.Before(start.Add(length)); now = now.Add(time.Duration(rng.ExpFloat64() / requestRate * float64(time.Second))) {
		for len(scheduled) > 0 && !scheduled[0].at.After(now) {
			d := heap.Pop(&scheduled).(scheduledAnswer)
			d.reservation.RecordRoutedHeader(d.latency, true, nil, 0, d.at)
			d.reservation.Release(Succeeded, d.at)
			if d.long {
				out.longLatencies = append(out.longLatencies, d.latency)
			}
		}
		kind, pick := requestKinds[0], rng.Float64()
		for _, k := range requestKinds {
			kind = k
			if pick -= k.share; pick < 0 {
				break
			}
		}
		p := pools[rng.IntN(len(pools))]
		r, _, ok := p.Pick(Query{Service: "llm", Prompt: kind.tokens, Routed: &RoutedQuery{Model: kind.model, Target: 2 * time.Second, Gap: time.Second}}, now)
		if !ok {
			t.Fatal("no endpoint")
		}
		prefill := time.Duration(tokenMsByModel[kind.model] * float64(kind.tokens) * float64(time.Millisecond))
		begin := now
		if idleAt[r.ID].After(now) {
			begin = idleAt[r.ID]
		}
		idleAt[r.ID] = begin.Add(prefill)
		heap.Push(&scheduled, scheduledAnswer{at: idleAt[r.ID], latency: idleAt[r.ID].Sub(now), reservation: r, long: kind.tokens == longPromptTokens && now.Sub(start) >= warmUp})
	}
	return out
}

// The load is half of what a domain can process, two thirds of it prompts of 40,000 tokens, from 40 to 300 daemons to 3
// to 100 endpoints. Guards against daemons that all choose the same endpoint while they know little, and against long
// prompts that wait for one endpoint while others are idle, so that their answers begin after the target.
func TestLongPromptsGetTheirShareOfEndpoints(t *testing.T) {
	const target = 2 * time.Second
	for _, c := range []struct {
		endpoints, daemons int
		announced          bool
		percent            int // percentage of long prompts that must be processed within the target
	}{
		{3, 40, false, 50}, {16, 40, false, 50}, {16, 300, false, 50}, {100, 300, false, 50}, {3, 40, true, 90}, {16, 40, true, 90},
	} {
		for seed := range uint64(2) {
			got := prefillSimulation{endpoints: c.endpoints, daemons: c.daemons, utilization: 0.5, announced: c.announced, seed: seed}.simulate(t)
			slices.Sort(got.longLatencies)
			if latency := got.longLatencies[len(got.longLatencies)*c.percent/100]; latency > target {
				t.Errorf("%+v, seed %d: %d %% of the long prompts take up to %v until they are processed, the target is %v", c, seed, c.percent, latency, target)
			}
		}
	}
}
