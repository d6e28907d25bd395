package cachemove

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/engine/httpengine"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/pool"
	"github.com/bramleytrail/bramleytrail/standin"
)

// hardware describes a version and the network in the cost model.
type hardware struct {
	name       string
	prefill    time.Duration // for each token of a prompt
	tokenBytes int64
	rate       float64 // bytes a second through the daemon's host, shared by its moves
}

const (
	modelSetUp = 4 * time.Millisecond  // of an export and an import: connections and look-up
	modelQueue = 20 * time.Millisecond // mean wait of a prompt for the engine's step, exponential
	modelChunk = 4 << 20               // bytes
	learnTurns = 300                   // one a second
)

var models = []hardware{
	{"40 µs, 128 KiB, 1 GB/s", 40 * time.Microsecond, 128 << 10, 1e9},
	{"100 µs, 128 KiB, 1 GB/s", 100 * time.Microsecond, 128 << 10, 1e9},
	{"100 µs, 64 KiB, 1 GB/s", 100 * time.Microsecond, 64 << 10, 1e9},
	{"100 µs, 128 KiB, 3 GB/s", 100 * time.Microsecond, 128 << 10, 3e9},
	{"250 µs, 64 KiB, 1 GB/s", 250 * time.Microsecond, 64 << 10, 1e9},
}

// cluster is a model of the endpoints of one version and of a daemon's link. It is an engine.Client for moves.
type cluster struct {
	engine.Client
	hardware
	mu     sync.Mutex // of the next three
	rnd    *rand.Rand
	noise  *rand.Rand // of the link
	active int        // moves on the link
	hosts  map[uint64]hostlist.Host
	busy   map[string]chan struct{} // the engine prefills one prompt at a time
}

func newCluster(h hardware, domains, each int) *cluster {
	c := &cluster{hardware: h, rnd: rand.New(rand.NewPCG(7, 7)), noise: rand.New(rand.NewPCG(8, 8)), hosts: map[uint64]hostlist.Host{}, busy: map[string]chan struct{}{}}
	for i := range domains * each {
		id := fmt.Sprintf("e%d", i)
		c.hosts[Hash(id)] = hostlist.Host{ID: id, Addr: id, Role: hostlist.RoleEndpoint, State: hostlist.StateLive, Service: "llm", Domain: fmt.Sprint(i % domains)}
		c.busy[id] = make(chan struct{}, 1)
	}
	return c
}

func (c *cluster) Host(hash uint64) (hostlist.Host, bool) { h, ok := c.hosts[hash]; return h, ok }
func (c *cluster) State(id string) (pool.State, bool)     { return pool.State{ID: id, Slots: 64}, true }

func (c *cluster) mover(limits Limits) *Mover {
	return New(Spec{Client: c, Fleet: c, Limits: limits, Now: time.Now})
}

func (c *cluster) ExportCache(_ context.Context, _, name string) (*engine.CacheExport, error) {
	var tokens int64
	_, err := fmt.Sscanf(name, "%d", &tokens)
	time.Sleep(modelSetUp / 2)
	size := tokens * c.tokenBytes
	return &engine.CacheExport{Body: io.NopCloser(io.LimitReader(zeros{}, size)), Size: size}, err
}

// unread is the buffer of all imports in the model, which is never written to.
var unread = make([]byte, modelChunk)

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

func (c *cluster) ImportCache(ctx context.Context, _, _ string, data io.Reader, _ int64) (string, error) {
	time.Sleep(modelSetUp / 2)
	c.join(1)
	defer c.join(-1)
	for {
		n, err := io.ReadFull(data, unread)
		select {
		case <-time.After(seconds(float64(n) / c.rate * c.share())):
		case <-ctx.Done():
			return "", ctx.Err()
		}
		if err != nil {
			return "", nil
		}
	}
}

func (c *cluster) join(moves int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active += moves
}

// share returns by how much a piece takes longer than at the link's rate.
func (c *cluster) share() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return (0.8 + 0.4*c.noise.Float64()) * float64(c.active)
}

// wait returns the time that a prompt waits in the engine.
func (c *cluster) wait() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return seconds(c.rnd.ExpFloat64() * modelQueue.Seconds())
}

// first takes the time to the first token of a prompt with some tokens in the endpoint's cache.
func (c *cluster) first(id string, prompt, cached int64) time.Duration {
	start := time.Now()
	time.Sleep(c.wait())
	c.busy[id] <- struct{}{}
	time.Sleep(time.Duration(prompt-cached) * c.prefill)
	<-c.busy[id]
	return time.Since(start)
}

// turn serves a turn of a session whose cache is at one endpoint at another one, and returns the time to the first token.
func (c *cluster) turn(ctx context.Context, m *Mover, from, to string, tokens int64) (time.Duration, *Report) {
	const added = 100 // tokens of the new turn
	start := time.Now()
	var rep *Report
	cached := int64(0)
	if m != nil {
		s := Session{ID: "s", Version: "v", Endpoint: Hash(from), Tokens: tokens}
		rep = c.named(ctx, m, s, Target{ID: to, Addr: to, Domain: c.hosts[Hash(to)].Domain, Service: "llm", Version: "v", Prompt: tokens + added})
		if rep.Outcome == Moved {
			cached = tokens
		}
	}
	after := c.first(to, tokens+added, cached)
	if m != nil {
		m.FirstToken(rep, "llm", "v", tokens+added, after)
	}
	return time.Since(start), rep
}

// named moves under a name that tells the model the size of the cache.
func (c *cluster) named(ctx context.Context, m *Mover, s Session, t Target) *Report {
	rep := &Report{Target: t.ID, Tokens: s.Tokens}
	if from, ok := m.eligible(rep, s, t); ok {
		m.move(ctx, rep, fmt.Sprint(s.Tokens), from, t)
	}
	return rep
}

var modelLimits = Limits{Moves: 2, PerSource: 1, Bytes: 2 << 30, Time: 2 * time.Second}

// anyLength returns a context of 500 to 32,000 tokens, log-uniform.
func anyLength(rnd *rand.Rand) int64 { return int64(500 * math.Pow(64, rnd.Float64())) }

// TestDecisionPicksFasterWay prints where moves pay. It guards against a decision that, after some measurements, is wrong
// by more than its margin on both sides, or that makes first tokens later than without moves.
func TestDecisionPicksFasterWay(t *testing.T) {
	const sessions = 40
	for _, h := range models {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(h, 2, 1)
			load := rand.New(rand.NewPCG(11, 3))
			m := c.mover(modelLimits)
			for range learnTurns {
				c.turn(t.Context(), m, "e0", "e1", anyLength(load))
				time.Sleep(time.Second)
			}
			for _, tokens := range []int64{500, 1000, 2000, 4000, 8000, 16_000, 32_000} {
				var on, off time.Duration
				moved := 0
				for range sessions {
					d, rep := c.turn(t.Context(), m, "e0", "e1", tokens)
					on += d
					if rep.Outcome == Moved {
						moved++
					}
					d, _ = c.turn(t.Context(), nil, "e0", "e1", tokens)
					off += d
				}
				prefill := time.Duration(tokens) * h.prefill
				move := modelSetUp + seconds(float64(tokens*h.tokenBytes)/h.rate)
				t.Logf("| %s | %d | %d | %d | %d of %d | %d | %d |", h.name, tokens, prefill.Milliseconds(), move.Milliseconds(), moved, sessions,
					off.Milliseconds()/sessions, on.Milliseconds()/sessions)
				bounded := tokens*h.tokenBytes > modelLimits.Bytes || float64(move)*(1+margin)*(1+margin) > float64(modelLimits.Time) || tokens < leastTokens
				pays := !bounded && float64(move)*(1+margin)*(1+margin) < float64(prefill)
				if pays && moved < sessions*9/10 || move > prefill && moved > sessions/10 {
					t.Errorf("%d of %d moved", moved, sessions)
				}
				if float64(on) > float64(off)*(1+margin) {
					t.Errorf("%s with moves, %s without", on/sessions, off/sessions)
				}
			}
		})
	}
}

// TestCostOfDomainLeaving prints the times to the first token of the sessions of a failure domain that leaves, in their next
// turns, with and without moves. It guards against moves that make the sessions together slower.
func TestCostOfDomainLeaving(t *testing.T) {
	for _, h := range models {
		var means []time.Duration
		for _, moves := range []struct{ all, perSource int }{{0, 0}, {1, 1}, {2, 1}, {4, 2}, {8, 4}} {
			synctest.Test(t, func(t *testing.T) {
				times, before, moved := leave(t, h, moves.all, moves.perSource)
				slices.Sort(times)
				var sum time.Duration
				for _, d := range times {
					sum += d
				}
				n := len(times)
				means = append(means, sum/time.Duration(n))
				t.Logf("| %s | %d, %d | %d | %d of %d | %d | %d | %d |", h.name, moves.all, moves.perSource, before.Milliseconds(), moved, n, (sum / time.Duration(n)).Milliseconds(), times[n/2].Milliseconds(), times[n*95/100].Milliseconds())
			})
		}
		for _, mean := range means[1:] {
			if float64(mean) > float64(means[0])*(1+margin) {
				t.Errorf("%s: mean %s with moves, %s without", h.name, mean, means[0])
			}
		}
	}
}

// leave lets a domain of five leave, whose 2 endpoints hold 60 sessions with turns within 20 s, and returns the times to the
// first token of their next turns, and the mean of the turns before, in which the rates are learned.
func leave(t *testing.T, h hardware, moves, perSource int) (times []time.Duration, before time.Duration, moved int) {
	const sessions, within = 60, 20 * time.Second
	c := newCluster(h, 5, 2)
	load := rand.New(rand.NewPCG(11, 3)) // the same sessions with and without moves
	var m *Mover
	if moves > 0 {
		limits := modelLimits
		limits.Moves, limits.PerSource = moves, perSource
		m = c.mover(limits)
	}
	for range learnTurns { // sessions that moved before, one by one
		d, _ := c.turn(t.Context(), m, "e1", "e2", anyLength(load))
		before += d / learnTurns
		time.Sleep(time.Second)
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range sessions {
		start, tokens, to := time.Duration(load.Int64N(int64(within))), anyLength(load), fmt.Sprintf("e%d", []int{1, 2, 3, 4, 6, 7, 8, 9}[load.IntN(8)])
		from := fmt.Sprintf("e%d", i%2*5)
		wg.Go(func() {
			time.Sleep(start)
			d, rep := c.turn(t.Context(), m, from, to, tokens)
			mu.Lock()
			defer mu.Unlock()
			times = append(times, d)
			if rep != nil && rep.Outcome == Moved {
				moved++
			}
		})
	}
	wg.Wait()
	return times, before, moved
}

// BenchmarkTransfer measures a move of 64 MiB between two stand-in engines on loopback, all in one process.
func BenchmarkTransfer(b *testing.B) {
	const tokens = 64 << 10
	addr := map[string]string{}
	for _, id := range []string{"a", "b"} {
		server, err := standin.Serve("127.0.0.1:0", standin.NewEngine(standin.EngineSpec{Name: id, Versions: []string{"v"}, CacheBytes: 1 << 10}).Handler())
		if err != nil {
			b.Fatal(err)
		}
		defer server.Close()
		addr[id] = server.Addr
	}
	client := httpengine.NewClient()
	defer client.Close()
	s, err := client.Stream(b.Context(), addr["a"], engine.Request{ID: "r", Version: "v", Body: fmt.Appendf(nil, `{"messages":[%q]}`, strings.Repeat("abc ", tokens)), Session: "s"})
	for err == nil {
		_, err = s.Next()
	}
	b.ReportAllocs()
	for b.Loop() {
		x := &transfer{client: client, source: addr["a"], target: addr["b"], name: "s", bound: 1 << 30, now: time.Now}
		if o, err := x.run(b.Context()); o != Moved {
			b.Fatal(o, err)
		}
		b.SetBytes(x.read.Load())
	}
}
