package peer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleytrail/bramleytrail/hostlist"
)

// watcherTimeout is the time after which a report of watchers expires. Without reports of enough watchers, a daemon
// becomes one itself. A digest goes to the successor on the ring at least every 2 * (digestInterval + digestJitter) =
// 2.4 s, so two in a row must be lost before a report expires.
const watcherTimeout = 5 * time.Second

// watcherReport is the number of watchers that another daemon of the same failure domain has reported in a digest.
type watcherReport struct {
	count      int // watchers among the daemons up to and including the sender in rank
	receivedAt time.Time
}

// watcherElection decides whether a daemon watches the platform's services for its failure domain. Daemons are ranked
// by hashed identity, and the watcherCount lowest ones are watchers. Each daemon reports to its peers how many watchers
// there are up to its own rank; a daemon that receives reports of fewer than watcherCount from lower ranks watches too.
// So a daemon that is dead or paused but still listed as live is replaced, and the number of watches depends only on
// the number of failure domains. The caller serializes all calls.
type watcherElection struct {
	selfHash  uint64
	preferred bool                     // among the watcherCount lowest live daemons of the host list
	hasHosts  bool                     // setHosts has been called
	since     time.Time                // first call of setHosts, before that the creation
	reports   map[uint64]watcherReport // by the sender's hash
}

func newWatcherElection(id string, now time.Time) *watcherElection {
	return &watcherElection{selfHash: xxhash.Sum64String(id), preferred: true, since: now, reports: map[uint64]watcherReport{}}
}

// setHosts updates preferred from the host list, which may still list daemons as live that are not.
func (w *watcherElection) setHosts(self hostlist.Host, hosts []hostlist.Host, now time.Time) {
	if !w.hasHosts {
		w.hasHosts, w.since = true, now
	}
	lower := 0
	for _, h := range hosts {
		if h.Role == hostlist.RoleEntry && h.Domain == self.Domain && h.ID != self.ID && h.State == hostlist.StateLive &&
			xxhash.Sum64String(h.ID) < w.selfHash {
			lower++
		}
	}
	w.preferred = lower < watcherCount
}

// recordReport records the number of watchers that another daemon of the failure domain has reported. Reports of
// daemons of higher rank are ignored.
func (w *watcherElection) recordReport(id string, count int, now time.Time) {
	if hash := xxhash.Sum64String(id); hash < w.selfHash {
		w.reports[hash] = watcherReport{count, now}
	}
}

// lowerRankedCount returns the number of watchers among the daemons of lower rank according to their reports, at most
// watcherCount. For the first watcherTimeout, while reports may not have arrived yet, it relies on the host list.
func (w *watcherElection) lowerRankedCount(now time.Time) int {
	if now.Sub(w.since) < watcherTimeout && !w.preferred {
		return watcherCount
	}
	count := 0
	for hash, r := range w.reports {
		if now.Sub(r.receivedAt) >= watcherTimeout {
			delete(w.reports, hash)
			continue
		}
		count = max(count, r.count)
	}
	return min(count, watcherCount)
}

// isWatcher reports whether this daemon is a watcher.
func (w *watcherElection) isWatcher(now time.Time) bool {
	return w.preferred || w.lowerRankedCount(now) < watcherCount
}

// count returns the number of watchers up to and including this daemon in rank, at most watcherCount. It is what the
// daemon reports to its peers.
func (w *watcherElection) count(now time.Time) int {
	n := w.lowerRankedCount(now)
	if w.isWatcher(now) {
		n++
	}
	return min(n, watcherCount)
}
