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

// For a longer run: go test ./ledger -run TestHistories -seeds 5000
var (
	seedCount = flag.Int("seeds", 60, "number of histories that TestHistories checks")
	firstSeed = flag.Uint64("first-seed", 1, "seed of the first one")
)

// start runs the background work of a member until kill is called.
func (m *member) start() {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	go m.ledger.Run(ctx)
	go func() {
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-time.After(testInterval):
				_ = m.copies.WriteOrphaned(ctx, time.Now(), m.ledger.Adopt) // bills that can't be written are adopted
			}
		}
	}()
}

// kill simulates a crash: the member does no further work and is unreachable.
func (m *member) kill() {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	m.down = true
	m.cancel()
}

// randomMember returns a random member that is up.
func (c *cluster) randomMember(r *rand.Rand) *member {
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

// addBills adds a bill to a random member every 700 ms on average, for the time d, and records the bills in added.
func (c *cluster) addBills(r *rand.Rand, d time.Duration, added map[string]bool) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(r.Int64N(int64(1400 * time.Millisecond))))
		m, id := c.randomMember(r), fmt.Sprint("bill ", len(added))
		added[id] = true
		m.ledger.Add(context.Background(), testBill(id))
	}
}

// failureGap is the shortest time between two failures that the ledger must survive: a holder considers an owner
// unresponsive after three intervals and checks once in each interval, and the owner of a lost copy notices the loss
// within one interval.
const failureGap = 5 * testInterval

// Guards against lost, repeated and invented bills when daemons are killed one by one, at least failureGap apart, while
// the store loses calls and replies, applies writes late and is down for up to ten minutes. A bill whose Add returned
// must survive any single failure; the test checks this invariant rather than a model of the single operations.
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
			Seed: r.Uint64(), MaxDelay: 3 * time.Second, LostCall: 0.1, LostReply: 0.15, LateWrite: 0.1, MaxLateness: time.Minute,
		})
		unreliable = append(unreliable, u)
		c.add(u).start()
	}
	for range 3 {
		add()
	}
	added := map[string]bool{}
	for range 6 {
		store.Faults.SetDown(r.IntN(2) == 0)
		c.addBills(r, failureGap+time.Duration(r.Int64N(int64(2*time.Minute))), added)
		c.randomMember(r).kill()
		add()
	}
	store.Faults.SetDown(false)
	for _, u := range unreliable {
		u.SetReliable(true)
	}
	time.Sleep(10 * testInterval) // holders write the batches of the killed owners
	checkStored(t, seed, c, store, added)
	for _, m := range c.members {
		if !m.down {
			m.kill()
		}
	}
	time.Sleep(2 * time.Minute) // delayed writes of the store take effect
}

// checkStored reports an error if the stored bills are not exactly the added ones, or if a running member still holds
// bills or copies.
func checkStored(t *testing.T, seed uint64, c *cluster, store *memkv.Store, added map[string]bool) {
	bills, err := Read(context.Background(), store)
	if err != nil {
		t.Errorf("seed %d: %v", seed, err)
	}
	stored := map[string]bool{}
	for _, b := range bills {
		if stored[b.ID] || !added[b.ID] {
			t.Errorf("seed %d: %s is stored twice or was never added", seed, b.ID)
		}
		stored[b.ID] = true
	}
	lost := 0
	for id := range added {
		if !stored[id] {
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("seed %d: %d of %d bills lost", seed, lost, len(added))
	}
	for _, m := range c.members {
		if held, _ := m.ledger.Held(); !m.down && held+m.copies.Held() > 0 {
			t.Errorf("seed %d: %s still holds %d bills and %d copies", seed, m.name, held, m.copies.Held())
		}
	}
}
