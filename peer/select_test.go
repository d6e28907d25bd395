package peer

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/bramleytrail/bramleytrail/hostlist"
)

// drawHosts returns 1 to 400 daemons in 1 to 5 failure domains of different sizes.
func drawHosts(t *rapid.T) []hostlist.Host {
	domains := rapid.IntRange(1, 5).Draw(t, "domains")
	size := rapid.IntRange(1, 400).Draw(t, "daemons")
	skew := rapid.IntRange(1, 50).Draw(t, "skew") // one in skew daemons may be outside the first failure domain
	hosts := make([]hostlist.Host, size)
	for i := range hosts {
		d := 0
		if i < domains || i%skew == 0 {
			d = (i / skew) % domains
		}
		if i < domains {
			d = i
		}
		id := fmt.Sprintf("host-%d", i)
		hosts[i] = hostlist.Host{ID: id, Addr: id, Role: hostlist.RoleEntry, Domain: fmt.Sprintf("domain-%d", d), State: hostlist.StateLive}
	}
	return hosts
}

// Guards against live daemons that a change can't reach because of the daemons that have failed, and against a daemon
// that is the peer of too many others. Exchanges transfer documents both ways, so the graph of peers is undirected.
func TestPeersConnectLiveDaemons(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := drawHosts(t)
		percent := rapid.IntRange(0, 95).Draw(t, "failed percent")
		seed := rapid.IntRange(0, 1<<20).Draw(t, "failure seed")
		failed := map[string]bool{}
		for i, h := range hosts {
			if (i*7919+seed)*31%100 < percent {
				failed[h.Addr] = true
			}
		}
		parent, inDegree := map[string]string{}, map[string]int{}
		var find func(string) string
		find = func(a string) string {
			if p := parent[a]; p != "" && p != a {
				parent[a] = find(p)
				return parent[a]
			}
			return a
		}
		live := 0
		for _, h := range hosts {
			if failed[h.Addr] {
				continue
			}
			live++
			peers := newTopology(h, hosts).peers(h.Domain, func(a string) bool { return failed[a] })
			if len(peers) > localPeers+remotePeers {
				t.Fatalf("%s has %d peers", h.ID, len(peers))
			}
			for _, p := range peers {
				inDegree[p]++
				parent[find(h.Addr)] = find(p)
			}
		}
		roots := map[string]bool{}
		for _, h := range hosts {
			if !failed[h.Addr] {
				roots[find(h.Addr)] = true
			}
			if limit := localPeers + maxFanIn*remotePeers; percent == 0 && inDegree[h.Addr] > limit {
				t.Fatalf("%s is the peer of %d daemons; want at most %d", h.ID, inDegree[h.Addr], limit)
			}
		}
		if live > 0 && len(roots) != 1 {
			t.Fatalf("%d live daemons of %d are in %d disconnected components", live, len(hosts), len(roots))
		}
	})
}
