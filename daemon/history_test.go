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

// historyStep is one step of a random history: an event and the pause after it, in seconds in TestHistories and in
// milliseconds in TestRevisionsAreLinearizable.
type historyStep struct {
	event string
	arg   int
	pause int
}

var historyEvents = []string{"publish", "publish", "race", "platform", "peers", "down", "up", "snapshot", "restore", "restart", "lose", "heal", "silence"}

// Guards against daemons that revert to an older revision, lose one, have one that nobody published or end with different
// ones, and against a stored revision other than the one in force, under random outages, partitions, restores, restarts and
// publications. A failure prints the seed.
func TestHistories(t *testing.T) {
	for name, value := range map[string]any{"rapid.checks": *historyChecks, "rapid.seed": *historySeed} {
		if err := flag.Set(name, fmt.Sprint(value)); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) historyStep {
			return historyStep{rapid.SampledFrom(historyEvents).Draw(t, "event"), rapid.IntRange(0, 11).Draw(t, "arg"), rapid.IntRange(0, 12).Draw(t, "pause")}
		}), 1, 25).Draw(rt, "steps")
		var problems []string
		synctest.Test(t, func(t *testing.T) {
			h := &history{fleet: newFleet(t), published: map[string]bool{}, platformBlocked: map[string]bool{}, peersPartitioned: map[string]bool{}}
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

// history is a fleet under a random schedule of faults and publications.
type history struct {
	*fleet
	published                         map[string]bool // digests of revisions that may be stored
	platformBlocked, peersPartitioned map[string]bool // failure domains without links to the platform or to other domains
	snapshot                          *memkv.Snapshot
	restored                          bool
	accepted                          config.Revision // newest publication that succeeded
	publications                      int
}

// apply carries out the event of a step.
func (h *history) apply(s historyStep) {
	domain := fmt.Sprintf("d%d", s.arg%3)
	switch s.event {
	case "publish":
		h.publishNext()
	case "race":
		h.store.Faults.OnCall(h.publishBeforeCAS())
		h.publishNext()
		h.store.Faults.OnCall(nil)
	case "platform":
		h.platformBlocked[domain] = !h.platformBlocked[domain]
		h.partition(h.platformBlocked, h.peersPartitioned)
	case "peers":
		h.peersPartitioned[domain] = !h.peersPartitioned[domain]
		h.partition(h.platformBlocked, h.peersPartitioned)
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
		clear(h.platformBlocked)
		clear(h.peersPartitioned)
		h.heal()
	case "silence":
		h.net.StallConnections()
	}
}

// publishNext publishes a new set. A write whose reply was lost is not counted as accepted.
func (h *history) publishNext() {
	h.mu.Lock()
	h.publications++
	label := fmt.Sprintf("set-%d", h.publications)
	h.published[revision(h.t, 0, label).Digest] = true
	h.mu.Unlock()
	rev, err := h.publish(label)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil && rev.Newer(h.accepted) {
		h.accepted = rev
	}
}

// publishBeforeCAS returns a hook that publishes another operator's set between the read and the write of a publication, so
// that the two race.
func (h *history) publishBeforeCAS() func(memkv.Call) {
	var done atomic.Bool
	return func(c memkv.Call) {
		if c == memkv.CallCAS && done.CompareAndSwap(false, true) {
			h.publishNext()
		}
	}
}

// restart replaces a daemon by a new one with the same ID and without any documents.
func (h *history) restart(i int) {
	old := h.daemons[i]
	old.stop()
	h.start(old.host.ID, old.host.Domain)
	h.daemons[i] = h.daemons[len(h.daemons)-1]
	h.daemons = h.daemons[:len(h.daemons)-1]
	h.partition(h.platformBlocked, h.peersPartitioned)
}

// checkPublished checks that only published revisions are in force.
func (h *history) checkPublished() {
	h.mu.Lock()
	published := maps.Clone(h.published)
	h.mu.Unlock()
	for _, d := range h.daemons {
		if r := d.docs.spec.Config.Revision(); r.Number > 0 && !published[r.Digest] {
			h.addViolation("%s has revision %d, which nobody published", d.host.ID, r.Number)
		}
	}
}

// finish ends all faults. Within convergenceTime, every daemon and the store must have the newest revision that the store or
// any daemon has now.
func (h *history) finish() {
	h.store.Faults.LoseReplies(0)
	h.store.Faults.SetDown(false)
	synctest.Wait() // lets daemons apply what they have just read
	want := h.stored()
	if mine := h.newest(); mine.Newer(want) {
		want = mine
	}
	if !h.restored && h.accepted.Newer(want) {
		h.addViolation("revision %d was accepted, the newest one left is %d", h.accepted.Number, want.Number)
	}
	h.heal()
	time.Sleep(convergenceTime)
	if l := h.lagging(want); len(l) > 0 {
		h.addViolation("revision %d is not in force %v after the last fault: %v", want.Number, convergenceTime, l)
	}
	if s := h.stored(); s.Digest != want.Digest {
		h.addViolation("revision %d is stored, %d is in force", s.Number, want.Number)
	}
}
