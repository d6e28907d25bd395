package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleytrail/bramleytrail/dispatch"
	"github.com/bramleytrail/bramleytrail/pool"
)

// Bounds of the 95th percentiles, from the scale target of the design.
const (
	MaxFirstToken   = 690 * time.Millisecond
	MaxBetweenToken = 61 * time.Millisecond
)

// The load: daemons before replicas with the limits of a declared service of the examples.
const (
	latencyDaemons  = 2
	latencyReplicas = 10
	slots           = 32
	coldSlots       = 4
	warmAfter       = 16
	tokenLimit      = 400_000
	pollsPerSecond  = 8
	hedgeShare      = 0.05 // default of --hedge-share

	promptMin, promptMax = 100, 500 // tokens
	answerMin, answerMax = 16, 112  // tokens
	// utilisation is the part of capacity that is offered. Capacity counts all replicas, the failed one included.
	utilisation = 0.8

	latencyRun = 50 * time.Second
	// firstFault is the time of the first failure, from which on requests count. It is no multiple of any other interval,
	// so that no event coincides with it.
	firstFault = 5*time.Second + 333*time.Nanosecond
	// faultEvery is the time after which another replica fails. A cold replica has finished warmAfter requests by then, so
	// that no more than one in ten is cold.
	faultEvery = 15 * time.Second
)

// Fault is what happens to one replica in ten, another one after each faultEvery.
type Fault string

// Faults.
const (
	NoFault Fault = "none"
	Cold    Fault = "cold"   // it starts anew without notice
	Silent  Fault = "silent" // it answers nothing until the next one fails
)

// Faults lists all faults.
var Faults = []Fault{NoFault, Cold, Silent}

// LatencyVariant is a way to route that is measured.
type LatencyVariant struct {
	Name       string
	Policy     pool.Policy
	HedgeShare float64 // part of the requests that may be hedged
	Affinity   bool    // endpoints that probably hold a prompt's prefix go first
	Sessions   bool    // the load has sessions whose turns repeat the turns before
}

// LatencyVariants are the variants that are compared.
var LatencyVariants = []LatencyVariant{
	{Name: "current", HedgeShare: hedgeShare, Affinity: true},
	{Name: "without hedges", Affinity: true},
	{Name: "two choices", Policy: pool.TwoChoices},
	{Name: "round robin", Policy: pool.RoundRobin},
	{Name: "least requests", Policy: pool.LeastRequests},
	{Name: "sessions", HedgeShare: hedgeShare, Affinity: true, Sessions: true},
	{Name: "sessions without affinity", HedgeShare: hedgeShare, Sessions: true},
}

// LatencyResult is the result of one run. Requests count from the first fault on.
type LatencyResult struct {
	Variant   string
	Fault     Fault
	Seed      uint64
	Requests  int
	Failed    int
	First95   time.Duration // time to the first token
	First99   time.Duration
	Between95 time.Duration // time between tokens
	Overloads int           // crashes of cold engines by too many requests
	Hedges    int           // sent
	Refused   int           // late first tokens that were not hedged
	HitRate   float64       // part of the prompt tokens that were cached
	Balance   float64       // largest number of first tokens of a replica over the mean
}

// latencyRunner is one run.
type latencyRunner struct {
	variant LatencyVariant
	seed    uint64
	fleet   *fleet
	nodes   []*latencyNode
	start   time.Time
	setup   latencySetup

	mu      sync.Mutex
	first   [][]time.Duration // of each phase
	between []time.Duration
	failed  int
	hedges  map[dispatch.HedgeOutcome]int
}

// latencySetup is what the runs of a benchmark have in common.
type latencySetup struct {
	domains int // failure domains of replicas and daemons
	daemons int
	polls   int     // load reports that a daemon reads in a second
	rate    float64 // requests a second
	length  time.Duration
	phases  int
	// phase returns the phase of a request by the time since the start, or -1 if it does not count.
	phase func(time.Duration) int
}

// capacityPerReplica returns the requests a second at which an engine with all slots taken does nothing but its work,
// with full chunks at most. Caches save nothing in it.
func capacityPerReplica(sessions bool) float64 {
	step := (stepBase + slots*stepPerRequest).Seconds()
	answer := float64(answerMin+answerMax) / 2
	byTime := 1 / (answer/slots*step + meanPrompt(sessions)*stepPerToken.Seconds())
	byChunks := chunkTokens / (step + chunkTokens*stepPerToken.Seconds()) / meanPrompt(sessions)
	return min(byTime, byChunks)
}

// RunLatency runs one variant under the clock of package time; tests run it under a fake one.
func RunLatency(ctx context.Context, v LatencyVariant, fault Fault, seed uint64) LatencyResult {
	ctx, cancel := context.WithCancel(ctx)
	r := newLatencyRunner(v, seed, latencySetup{
		domains: 1, daemons: latencyDaemons, polls: pollsPerSecond, rate: utilisation * latencyReplicas * capacityPerReplica(v.Sessions), length: latencyRun, phases: 1,
		phase: func(since time.Duration) int {
			if since < firstFault {
				return -1
			}
			return 0
		},
	})
	var wg sync.WaitGroup
	wg.Go(func() { r.fail(ctx, fault) })
	r.run(ctx, &wg)
	cancel()
	wg.Wait()
	return r.result(fault)
}

func newLatencyRunner(v LatencyVariant, seed uint64, setup latencySetup) *latencyRunner {
	r := &latencyRunner{variant: v, seed: seed, start: time.Now(), setup: setup, hedges: map[dispatch.HedgeOutcome]int{},
		first: make([][]time.Duration, setup.phases)}
	r.build()
	return r
}

// run starts the polls and sends the requests.
func (r *latencyRunner) run(ctx context.Context, wg *sync.WaitGroup) {
	for i, n := range r.nodes {
		wg.Go(func() {
			time.Sleep(time.Duration(1+i) * time.Microsecond) // so that no two polls coincide
			n.poll(ctx, wg, r.setup.polls)
		})
	}
	r.offer(ctx)
}

// offer sends requests with exponential intervals and waits for their answers.
func (r *latencyRunner) offer(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(r.seed, 0))
	load := newLatencyLoad(rnd, r.variant.Sessions)
	var wg sync.WaitGroup
	for i := 0; time.Since(r.start) < r.setup.length; i++ {
		time.Sleep(time.Duration(rnd.ExpFloat64() / r.setup.rate * float64(time.Second)))
		n := r.nodes[rnd.IntN(len(r.nodes))]
		d := load.next()
		in := n.input
		in.RequestID, in.Fingerprint = fmt.Sprint(i), uint64(i+1)
		in.Body = fmt.Appendf(nil, "%d %d %d", d.prompt, d.answer, d.session)
		in.Tokens, in.MaxTokens, in.Prefix = d.prompt, d.answer, prefixOf(d.session, 0)
		if d.session == 0 {
			in.Prefix = prefixOf(0, i+1)
		}
		phase := r.setup.phase(time.Since(r.start))
		wg.Go(func() { r.request(ctx, n.filter, in, phase) })
	}
	wg.Wait()
}

// prefixOf returns the hash of a prompt's beginning. A request without a session has a beginning of its own.
func prefixOf(session uint64, request int) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%d/%d", session, request))
}

// request reads one answer to its end.
func (r *latencyRunner) request(ctx context.Context, f *dispatch.Filter, in dispatch.Input, phase int) {
	sent := time.Now()
	first, between, err := readAnswer(ctx, f, in)
	if phase < 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.between = append(r.between, between...)
	if err != nil {
		r.failed++
	}
	if first.IsZero() {
		r.first[phase] = append(r.first[phase], math.MaxInt64)
		return
	}
	r.first[phase] = append(r.first[phase], first.Sub(sent))
}

func readAnswer(ctx context.Context, f *dispatch.Filter, in dispatch.Input) (first time.Time, between []time.Duration, err error) {
	a, err := f.Do(ctx, in)
	if err != nil {
		return first, nil, err
	}
	defer a.Close()
	var last time.Time
	for {
		_, err := a.Next()
		if errors.Is(err, io.EOF) {
			return first, between, nil
		}
		if err != nil {
			return first, between, err
		}
		now := time.Now()
		if last.IsZero() {
			first = now
		} else {
			between = append(between, now.Sub(last))
		}
		last = now
	}
}

// fail lets one replica in ten fail until the end.
func (r *latencyRunner) fail(ctx context.Context, fault Fault) {
	rnd := rand.New(rand.NewPCG(r.seed, 1))
	order := rnd.Perm(latencyReplicas)
	wait := firstFault
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = faultEvery
		e := r.fleet.engines[replicaName(order[i%latencyReplicas])]
		switch fault {
		case Cold:
			e.becomeCold()
		case Silent:
			if i > 0 {
				r.fleet.engines[replicaName(order[(i-1)%latencyReplicas])].setSilent(false)
			}
			e.setSilent(true)
		}
	}
}

func (r *latencyRunner) result(fault Fault) LatencyResult {
	out := LatencyResult{Variant: r.variant.Name, Fault: fault, Seed: r.seed, Requests: len(r.first[0]), Failed: r.failed}
	out.First95, out.First99 = percentile(r.first[0], 0.95), percentile(r.first[0], 0.99)
	out.Between95 = percentile(r.between, 0.95)
	for o, n := range r.hedges {
		switch o {
		case dispatch.HedgeWon, dispatch.HedgeLost, dispatch.HedgeFailed:
			out.Hedges += n
		default:
			out.Refused += n
		}
	}
	most, all := 0, 0
	var hits, prefilled int64
	for _, e := range r.fleet.engines {
		out.Overloads += e.overloads
		hits, prefilled = hits+e.hits, prefilled+e.prefilled
		most, all = max(most, e.served), all+e.served
	}
	out.HitRate = float64(hits) / float64(max(1, hits+prefilled))
	out.Balance = float64(most) * latencyReplicas / float64(max(1, all))
	return out
}

func percentile(d []time.Duration, p float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	d = slices.Sorted(slices.Values(d))
	return d[min(len(d)-1, int(math.Ceil(p*float64(len(d)))))]
}
