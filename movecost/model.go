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

// Hardware describes the speed and size of a version's KV cache and of the network.
type Hardware struct {
	Name            string
	PrefillPerToken time.Duration // per token of a prompt
	TokenBytes      int64         // bytes of KV cache per token
	LinkRate        float64       // bytes per second
}

const (
	service = "llm"
	version = "v"

	// SetupTime is the fixed time of a move, which an export and an import take even without data: connections and lookup.
	SetupTime      = 4 * time.Millisecond
	meanQueueDelay = 20 * time.Millisecond // mean time until the engine's next step takes a prompt, exponentially distributed
	chunkBytes     = 4 << 20               // transferred at a constant rate; it changes between chunks only
	learnTurns     = 300                   // turns that are served before the measurement, one per second
	turnTokens     = 100                   // tokens that each turn adds to the prompt
)

// Cases lists the combinations of a version and a network in docs/cache-moves.md.
var Cases = []Hardware{
	{"40 µs, 128 KiB, 1 GB/s", 40 * time.Microsecond, 128 << 10, 1e9},
	{"100 µs, 128 KiB, 1 GB/s", 100 * time.Microsecond, 128 << 10, 1e9},
	{"100 µs, 64 KiB, 1 GB/s", 100 * time.Microsecond, 64 << 10, 1e9},
	{"100 µs, 128 KiB, 3 GB/s", 100 * time.Microsecond, 128 << 10, 3e9},
	{"250 µs, 64 KiB, 1 GB/s", 250 * time.Microsecond, 64 << 10, 1e9},
}

// cluster simulates the endpoints of one version and a daemon's link. It is the engine.Client and the directory of a
// cachemove.Mover. Its methods may be called concurrently.
type cluster struct {
	engine.Client
	Hardware
	mu           sync.Mutex // guards the next four fields
	queueRand    *rand.Rand
	linkNoise    *rand.Rand       // varies the link's rate
	activeMoves  int              // number of moves that share the link
	cacheSizes   map[string]int64 // bytes, by name of the cache
	hosts        map[uint64]hostlist.Host
	prefillSlots map[string]chan struct{} // by endpoint, full while the engine prefills: one prompt at a time
}

// newCluster returns a cluster whose endpoints are distributed to the failure domains in turn.
func newCluster(h Hardware, domains, endpointsPerDomain int) *cluster {
	c := &cluster{Hardware: h, queueRand: rand.New(rand.NewPCG(7, 7)), linkNoise: rand.New(rand.NewPCG(8, 8)),
		hosts: map[uint64]hostlist.Host{}, prefillSlots: map[string]chan struct{}{}, cacheSizes: map[string]int64{}}
	for i := range domains * endpointsPerDomain {
		id := fmt.Sprintf("e%d", i)
		c.hosts[cachemove.HashEndpoint(id)] = hostlist.Host{ID: id, Addr: id, Role: hostlist.RoleEndpoint, State: hostlist.StateLive, Service: service, Domain: fmt.Sprint(i % domains)}
		c.prefillSlots[id] = make(chan struct{}, 1)
	}
	return c
}

// Host and State implement cachemove.Directory. All endpoints have free slots.
func (c *cluster) Host(hash uint64) (hostlist.Host, bool) { h, ok := c.hosts[hash]; return h, ok }
func (c *cluster) State(id string) (pool.EndpointState, bool) {
	return pool.EndpointState{ID: id, Slots: 64}, true
}

// newMover returns a mover between the endpoints of the cluster.
func (c *cluster) newMover(limits cachemove.Limits) *cachemove.Mover {
	return cachemove.New(cachemove.Spec{Client: c, Directory: c, Limits: limits, Now: time.Now})
}

// ExportCache implements engine.Client. It takes half of SetupTime.
func (c *cluster) ExportCache(_ context.Context, _, name string) (*engine.CacheExport, error) {
	time.Sleep(SetupTime / 2)
	c.mu.Lock()
	defer c.mu.Unlock()
	size := c.cacheSizes[name]
	return &engine.CacheExport{Body: io.NopCloser(io.LimitReader(zeroReader{}, size)), Size: size}, nil
}

// importBuffer is the read buffer of all imports. They may share it, as zeroReader never writes to it.
var importBuffer = make([]byte, chunkBytes)

// zeroReader provides any number of bytes without writing to the buffer.
type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { return len(p), nil }

// ImportCache implements engine.Client. It takes half of SetupTime and then the time of the transfer over the shared link.
func (c *cluster) ImportCache(ctx context.Context, _, _ string, data io.Reader, _ int64) (string, error) {
	time.Sleep(SetupTime / 2)
	c.addActiveMoves(1)
	defer c.addActiveMoves(-1)
	for {
		n, err := io.ReadFull(data, importBuffer)
		select {
		case <-time.After(seconds(float64(n) / c.LinkRate * c.slowdown())):
		case <-ctx.Done():
			return "", ctx.Err()
		}
		if err != nil {
			return "", nil
		}
	}
}

// addActiveMoves changes the number of moves that share the link.
func (c *cluster) addActiveMoves(moves int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeMoves += moves
}

// slowdown returns the factor by which a chunk takes longer than at the link's full rate: the number of active moves, with random
// noise of 20 % either way.
func (c *cluster) slowdown() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return (0.8 + 0.4*c.linkNoise.Float64()) * float64(c.activeMoves)
}

// queueDelay returns a random time that a prompt waits for a step of the engine.
func (c *cluster) queueDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return seconds(c.queueRand.ExpFloat64() * meanQueueDelay.Seconds())
}

// serveFirstToken prefills a prompt, of which some tokens are in the endpoint's cache. It sleeps until the first token and returns
// the time that this took.
func (c *cluster) serveFirstToken(id string, prompt, cached int64) time.Duration {
	start := time.Now()
	time.Sleep(c.queueDelay())
	c.prefillSlots[id] <- struct{}{}
	time.Sleep(time.Duration(prompt-cached) * c.PrefillPerToken)
	<-c.prefillSlots[id]
	return time.Since(start)
}

// newSession returns a new session whose KV cache with a number of tokens is at an endpoint.
func (c *cluster) newSession(endpoint string, tokens int64) cachemove.Session {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := cachemove.Session{ID: fmt.Sprint(len(c.cacheSizes)), Version: version, EndpointHash: cachemove.HashEndpoint(endpoint), Tokens: tokens}
	c.cacheSizes[s.CacheName(version)] = tokens * c.TokenBytes
	return s
}

// serveTurn serves the next turn of a new session at endpoint to, while the session's cache is at endpoint from. It returns the
// time to the first token and whether the cache was moved. If the mover is nil, caches are never moved.
func (c *cluster) serveTurn(m *cachemove.Mover, from, to string, tokens int64) (time.Duration, bool) {
	start := time.Now()
	if m == nil {
		c.serveFirstToken(to, tokens+turnTokens, 0)
		return time.Since(start), false
	}
	report := m.Move(context.Background(), c.newSession(from, tokens), cachemove.Target{
		ID: to, Addr: to, Domain: c.hosts[cachemove.HashEndpoint(to)].Domain, Service: service, Version: version, PromptTokens: tokens + turnTokens,
	})
	moved := report.Outcome == cachemove.Moved
	cached := int64(0)
	if moved {
		cached = tokens
	}
	m.ObserveFirstToken(report, service, version, tokens+turnTokens, c.serveFirstToken(to, tokens+turnTokens, cached))
	return time.Since(start), moved
}

// Limits are the limits of the simulated daemon's moves: a daemon's defaults, but two moves at a time instead of one.
var Limits = cachemove.Limits{MaxMoves: 2, MaxMovesPerSource: 1, MaxBytes: 2 << 30, MaxDuration: 2 * time.Second}

// randomLength returns the length of a context, from 500 to 32,000 tokens, with a log-uniform distribution.
func randomLength(rnd *rand.Rand) int64 { return int64(500 * math.Pow(64, rnd.Float64())) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
