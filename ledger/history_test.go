package ledger

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleytrail/bramleytrail/kv/memkv"
)

// The longer run is: go test ./ledger -run TestHistories -seeds 5000
var (
	seedCount = flag.Int("seeds", 60, "number of histories that TestHistories checks")
	firstSeed = flag.Uint64("first-seed", 1, "seed of the first one")
)

// start runs a member's background work until it is killed.
func (m *member) start() {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	go m.ledger.Run(ctx)
	go func() {
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-time.After(testInterval):
				_ = m.copies.WriteSilent(ctx, time.Now(), m.ledger.Adopt) // what is not written is adopted
			}
		}
	}()
}

func (m *member) kill() {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	m.down = true
	m.cancel()
}

// pick returns a random member that is up.
func (c *cluster) pick(r *rand.Rand) *member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var up []*member
	for _, m := range c.members {
		if !m.down {
			up = append(up, m)
		}
	}
	return up[r.IntN(len(up))]
}

// bills adds one bill every 700 ms on average until the time has passed.
func (c *cluster) bills(r *rand.Rand, d time.Duration, issued map[string]bool) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(r.Int64N(int64(1400 * time.Millisecond))))
		m, id := c.pick(r), fmt.Sprint("bill ", len(issued))
		issued[id] = true
		m.ledger.Add(context.Background(), bill(id))
	}
}

// failureGap is the time between two failures that the ledger must survive: a holder takes an owner for dead after three
// intervals, looks once in an interval, and the owner of a lost copy notices within one.
const failureGap = 5 * testInterval

// Guards against lost, repeated and invented bills when daemons are killed one after the other, failureGap apart, while the store loses calls and replies, applies writes late and is down for up to ten minutes.
// The ledger promises that a bill whose Add returned survives any single failure, so an invariant is checked instead of a
// model of its steps.
func TestHistories(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		synctest.Test(t, func(t *testing.T) { checkHistory(t, seed) })
	}
}

func checkHistory(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 2))
	store := memkv.New()
	c := &cluster{}
	var unreliable []*memkv.Unreliable
	add := func() {
		u := memkv.NewUnreliable(store, memkv.UnreliableSpec{
			Seed: r.Uint64(), MaxDelay: 3 * time.Second, Lost: 0.1, LostReply: 0.15, Late: 0.1, LateBy: time.Minute,
		})
		unreliable = append(unreliable, u)
		c.add(u).start()
	}
	for range 3 {
		add()
	}
	issued := map[string]bool{}
	for range 6 {
		store.Faults.SetDown(r.IntN(2) == 0)
		c.bills(r, failureGap+time.Duration(r.Int64N(int64(2*time.Minute))), issued)
		c.pick(r).kill()
		add()
	}
	store.Faults.SetDown(false)
	for _, u := range unreliable {
		u.SetReliable(true)
	}
	time.Sleep(10 * testInterval) // silent owners are written by the holders
	checkStored(t, seed, c, store, issued)
	for _, m := range c.members {
		if !m.down {
			m.kill()
		}
	}
	time.Sleep(2 * time.Minute) // late writes
}

func checkStored(t *testing.T, seed uint64, c *cluster, store *memkv.Store, issued map[string]bool) {
	bills, err := Read(context.Background(), store)
	if err != nil {
		t.Errorf("seed %d: %v", seed, err)
	}
	stored := map[string]bool{}
	for _, b := range bills {
		if stored[b.ID] || !issued[b.ID] {
			t.Errorf("seed %d: %s is stored twice or was never issued", seed, b.ID)
		}
		stored[b.ID] = true
	}
	lost := 0
	for id := range issued {
		if !stored[id] {
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("seed %d: %d of %d bills lost", seed, lost, len(issued))
	}
	for _, m := range c.members {
		if held, _ := m.ledger.Held(); !m.down && held+m.copies.Held() > 0 {
			t.Errorf("seed %d: %s still holds %d bills and %d copies", seed, m.name, held, m.copies.Held())
		}
	}
}
