package movecost

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/cachemove"
	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/pool"
)

// Hardware describes a version and the network.
type Hardware struct {
	Name       string
	Prefill    time.Duration // for each token of a prompt
	TokenBytes int64         // of the KV cache
	Rate       float64       // bytes a second of the link
}

const (
	service = "llm"
	version = "v"

	// SetUp is the time of an export and an import of no bytes: connections and look-up.
	SetUp      = 4 * time.Millisecond
	queueWait  = 20 * time.Millisecond // mean wait of a prompt for the engine's step, exponential
	chunk      = 4 << 20               // bytes that share the link at one rate
	learnTurns = 300                   // one a second
	addedTurn  = 100                   // tokens that a turn adds to the prompt
)

// Cases are the versions and networks of docs/cache-moves.md.
var Cases = []Hardware{
	{"40 µs, 128 KiB, 1 GB/s", 40 * time.Microsecond, 128 << 10, 1e9},
	{"100 µs, 128 KiB, 1 GB/s", 100 * time.Microsecond, 128 << 10, 1e9},
	{"100 µs, 64 KiB, 1 GB/s", 100 * time.Microsecond, 64 << 10, 1e9},
	{"100 µs, 128 KiB, 3 GB/s", 100 * time.Microsecond, 128 << 10, 3e9},
	{"250 µs, 64 KiB, 1 GB/s", 250 * time.Microsecond, 64 << 10, 1e9},
}

// cluster is a model of the endpoints of one version and of a daemon's link. It is an engine.Client for moves.
type cluster struct {
	engine.Client
	Hardware
	mu     sync.Mutex // of the next four
	rnd    *rand.Rand
	noise  *rand.Rand       // of the link
	active int              // moves on the link
	sizes  map[string]int64 // bytes of the caches by name
	hosts  map[uint64]hostlist.Host
	busy   map[string]chan struct{} // the engine prefills one prompt at a time
}

func newCluster(h Hardware, domains, each int) *cluster {
	c := &cluster{Hardware: h, rnd: rand.New(rand.NewPCG(7, 7)), noise: rand.New(rand.NewPCG(8, 8)),
		hosts: map[uint64]hostlist.Host{}, busy: map[string]chan struct{}{}, sizes: map[string]int64{}}
	for i := range domains * each {
		id := fmt.Sprintf("e%d", i)
		c.hosts[cachemove.HashEndpoint(id)] = hostlist.Host{ID: id, Addr: id, Role: hostlist.RoleEndpoint, State: hostlist.StateLive, Service: service, Domain: fmt.Sprint(i % domains)}
		c.busy[id] = make(chan struct{}, 1)
	}
	return c
}

func (c *cluster) Host(hash uint64) (hostlist.Host, bool) { h, ok := c.hosts[hash]; return h, ok }
func (c *cluster) State(id string) (pool.EndpointState, bool) {
	return pool.EndpointState{ID: id, Slots: 64}, true
}

func (c *cluster) mover(limits cachemove.Limits) *cachemove.Mover {
	return cachemove.New(cachemove.Spec{Client: c, Directory: c, Limits: limits, Now: time.Now})
}

func (c *cluster) ExportCache(_ context.Context, _, name string) (*engine.CacheExport, error) {
	time.Sleep(SetUp / 2)
	c.mu.Lock()
	defer c.mu.Unlock()
	size := c.sizes[name]
	return &engine.CacheExport{Body: io.NopCloser(io.LimitReader(zeros{}, size)), Size: size}, nil
}

// unread is the buffer of all imports in the model, which is never written to.
var unread = make([]byte, chunk)

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

func (c *cluster) ImportCache(ctx context.Context, _, _ string, data io.Reader, _ int64) (string, error) {
	time.Sleep(SetUp / 2)
	c.join(1)
	defer c.join(-1)
	for {
		n, err := io.ReadFull(data, unread)
		select {
		case <-time.After(seconds(float64(n) / c.Rate * c.share())):
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
	return seconds(c.rnd.ExpFloat64() * queueWait.Seconds())
}

// first takes the time to the first token of a prompt with some tokens in the endpoint's cache.
func (c *cluster) first(id string, prompt, cached int64) time.Duration {
	start := time.Now()
	time.Sleep(c.wait())
	c.busy[id] <- struct{}{}
	time.Sleep(time.Duration(prompt-cached) * c.Prefill)
	<-c.busy[id]
	return time.Since(start)
}

// session returns a session of its own whose cache of some tokens is at an endpoint.
func (c *cluster) session(at string, tokens int64) cachemove.Session {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := cachemove.Session{ID: fmt.Sprint(len(c.sizes)), Version: version, EndpointHash: cachemove.HashEndpoint(at), Tokens: tokens}
	c.sizes[s.CacheName(version)] = tokens * c.TokenBytes
	return s
}

// turn serves a turn of a session whose cache is at one endpoint at another one. It returns the time to the first token and
// whether the cache was moved. The mover is nil if caches are not moved.
func (c *cluster) turn(m *cachemove.Mover, from, to string, tokens int64) (time.Duration, bool) {
	start := time.Now()
	if m == nil {
		c.first(to, tokens+addedTurn, 0)
		return time.Since(start), false
	}
	rep := m.Move(context.Background(), c.session(from, tokens), cachemove.Target{
		ID: to, Addr: to, Domain: c.hosts[cachemove.HashEndpoint(to)].Domain, Service: service, Version: version, PromptTokens: tokens + addedTurn,
	})
	moved := rep.Outcome == cachemove.Moved
	cached := int64(0)
	if moved {
		cached = tokens
	}
	m.ObserveFirstToken(rep, service, version, tokens+addedTurn, c.first(to, tokens+addedTurn, cached))
	return time.Since(start), moved
}

// Limits are the default settings.
var Limits = cachemove.Limits{MaxMoves: 2, MaxMovesPerSource: 1, MaxBytes: 2 << 30, MaxDuration: 2 * time.Second}

// anyLength returns a context of 500 to 32,000 tokens, log-uniform.
func anyLength(rnd *rand.Rand) int64 { return int64(500 * math.Pow(64, rnd.Float64())) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
