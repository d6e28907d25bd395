package peer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleytrail/bramleytrail/hostlist"
)

// watcherSilence is the time after which a daemon that hears of no watcher takes over. A digest goes to the successor on
// the ring at least every 2 * (digestInterval + digestJitter) = 2.4 s, so two in a row must be lost.
const watcherSilence = 5 * time.Second

// watchReport is what a daemon of the same failure domain said about watchers.
type watchReport struct {
	count int // watchers among the daemons up to the sender's rank
	at    time.Time
}

// watchers decides whether a daemon watches the platform's services for its failure domain. The two daemons with the
// lowest hashed identities do. Each daemon tells the next ones on the ring how many watchers there are up to its own
// rank; one that hears of fewer than two watches too. So a daemon that is dead or paused but still listed as live is
// replaced, and the number of watches depends on the number of domains only.
type watchers struct {
	own     uint64
	ranked  bool // among the first two by the host list
	listed  bool // a host list has been seen
	since   time.Time
	reports map[uint64]watchReport // by the sender's hash
}

func newWatchers(id string, now time.Time) *watchers {
	return &watchers{own: xxhash.Sum64String(id), ranked: true, since: now, reports: map[uint64]watchReport{}}
}

// setHosts applies the host list, which may be stale.
func (w *watchers) setHosts(self hostlist.Host, hosts []hostlist.Host, now time.Time) {
	if !w.listed {
		w.listed, w.since = true, now
	}
	lower := 0
	for _, h := range hosts {
		if h.Role == hostlist.RoleEntry && h.Domain == self.Domain && h.ID != self.ID && h.State == hostlist.StateLive &&
			xxhash.Sum64String(h.ID) < w.own {
			lower++
		}
	}
	w.ranked = lower < watcherCount
}

// heard records a report of another daemon of the failure domain.
func (w *watchers) heard(id string, count int, now time.Time) {
	if hash := xxhash.Sum64String(id); hash < w.own {
		w.reports[hash] = watchReport{count, now}
	}
}

// below returns the number of watchers known among the daemons of lower rank, at most watcherCount. Before the first
// reports can have arrived, the host list is relied on.
func (w *watchers) below(now time.Time) int {
	if now.Sub(w.since) < watcherSilence && !w.ranked {
		return watcherCount
	}
	count := 0
	for hash, r := range w.reports {
		if now.Sub(r.at) >= watcherSilence {
			delete(w.reports, hash)
			continue
		}
		count = max(count, r.count)
	}
	return min(count, watcherCount)
}

func (w *watchers) watching(now time.Time) bool { return w.ranked || w.below(now) < watcherCount }

// count returns the number of watchers up to this daemon's rank.
func (w *watchers) count(now time.Time) int {
	n := w.below(now)
	if w.watching(now) {
		n++
	}
	return min(n, watcherCount)
}
