package daemon

import (
	"flag"
	"fmt"
	"maps"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/kv/memkv"
)

var (
	historyChecks = flag.Int("history-checks", 25, "number of random histories in TestHistories")
	historySeed   = flag.Uint64("history-seed", 1, "seed of TestHistories")
)

// step is one step of a random history: an event, and a pause in seconds after it.
type step struct {
	event string
	arg   int
	pause int
}

var events = []string{"publish", "publish", "race", "platform", "peers", "down", "up", "snapshot", "restore", "restart", "lose", "heal", "silence"}

// Guards against a daemon that goes back to an older revision, a revision that is lost or never published, daemons that
// end with different revisions, and a stored revision that is not the one in force, under random outages, cuts, restores,
// restarts and publications. A failure prints the seed.
func TestHistories(t *testing.T) {
	for name, value := range map[string]any{"rapid.checks": *historyChecks, "rapid.seed": *historySeed} {
		if err := flag.Set(name, fmt.Sprint(value)); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
			return step{rapid.SampledFrom(events).Draw(t, "event"), rapid.IntRange(0, 11).Draw(t, "arg"), rapid.IntRange(0, 12).Draw(t, "pause")}
		}), 1, 25).Draw(rt, "steps")
		var problems []string
		synctest.Test(t, func(t *testing.T) {
			h := &history{fleet: newFleet(t), published: map[string]bool{}, platform: map[string]bool{}, peers: map[string]bool{}}
			defer h.stop()
			h.grow(12, 3)
			for _, s := range steps {
				h.apply(s)
				time.Sleep(time.Duration(s.pause) * time.Second)
				h.checkPublished()
			}
			h.finish()
			problems = h.violations
		})
		for _, p := range problems {
			rt.Error(p)
		}
	})
}

// history is a fleet under a random schedule.
type history struct {
	*fleet
	published       map[string]bool // digests of revisions that may be stored
	platform, peers map[string]bool // failure domains that are cut off
	snapshot        *memkv.Snapshot
	restored        bool
	accepted        config.Revision // newest publication that succeeded
	count           int
}

func (h *history) apply(s step) {
	domain := fmt.Sprintf("d%d", s.arg%3)
	switch s.event {
	case "publish":
		h.publishNext()
	case "race":
		h.store.Faults.OnCall(h.interfere())
		h.publishNext()
		h.store.Faults.OnCall(nil)
	case "platform":
		h.platform[domain] = !h.platform[domain]
		h.cut(h.platform, h.peers)
	case "peers":
		h.peers[domain] = !h.peers[domain]
		h.cut(h.platform, h.peers)
	case "down", "up":
		h.store.Faults.SetDown(s.event == "down")
	case "snapshot":
		snap := h.store.Snapshot()
		h.snapshot = &snap
	case "restore":
		if h.snapshot != nil {
			h.restored = true
			h.store.Restore(*h.snapshot)
		}
	case "restart":
		h.restart(s.arg)
	case "lose":
		h.store.Faults.LoseReplies(1)
	case "heal":
		clear(h.platform)
		clear(h.peers)
		h.heal()
	case "silence":
		h.net.Silence()
	}
}

// publishNext publishes a new set. A write whose reply was lost does not count as accepted.
func (h *history) publishNext() {
	h.mu.Lock()
	h.count++
	label := fmt.Sprintf("set-%d", h.count)
	h.published[revision(h.t, 0, label).Digest] = true
	h.mu.Unlock()
	rev, err := h.publish(label)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil && rev.Newer(h.accepted) {
		h.accepted = rev
	}
}

// interfere publishes another operator's set between the read and the write of the one that is publishing.
func (h *history) interfere() func(memkv.Call) {
	var done atomic.Bool
	return func(c memkv.Call) {
		if c == memkv.CallCAS && done.CompareAndSwap(false, true) {
			h.publishNext()
		}
	}
}

// restart replaces a daemon by a new one with the same identity, which knows nothing.
func (h *history) restart(i int) {
	old := h.parts[i]
	old.stop()
	h.start(old.host.ID, old.host.Domain)
	h.parts[i] = h.parts[len(h.parts)-1]
	h.parts = h.parts[:len(h.parts)-1]
	h.cut(h.platform, h.peers)
}

func (h *history) checkPublished() {
	h.mu.Lock()
	published := maps.Clone(h.published)
	h.mu.Unlock()
	for _, p := range h.parts {
		if r := p.docs.spec.Config.Revision(); r.Number > 0 && !published[r.Digest] {
			h.violate("%s has revision %d, which nobody published", p.host.ID, r.Number)
		}
	}
}

// finish ends all faults. Within the settle time every daemon and the service must have the newest revision that the
// service or a daemon has now.
func (h *history) finish() {
	h.store.Faults.LoseReplies(0)
	h.store.Faults.SetDown(false)
	synctest.Wait() // what a daemon has just read is in force there
	want := h.stored()
	if mine := h.newest(); mine.Newer(want) {
		want = mine
	}
	if !h.restored && h.accepted.Newer(want) {
		h.violate("revision %d was accepted, the newest one left is %d", h.accepted.Number, want.Number)
	}
	h.heal()
	time.Sleep(settleTime)
	if l := h.lagging(want); len(l) > 0 {
		h.violate("revision %d is not in force %v after the last fault: %v", want.Number, settleTime, l)
	}
	if s := h.stored(); s.Digest != want.Digest {
		h.violate("revision %d is stored, %d is in force", s.Number, want.Number)
	}
}
