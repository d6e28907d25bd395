package peer

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleytrail/bramleytrail/hostlist"
)

const (
	localPeers   = 3 // maximum number of peers in the daemon's own failure domain
	remotePeers  = 3 // maximum number of other failure domains in which the daemon has a peer
	watcherCount = 2 // number of daemons of a failure domain that watch the platform's services
	// maxFanIn limits how many daemons of one failure domain have the same peer in another one. Without it, a domain with
	// one daemon would get a message from each daemon of the others.
	maxFanIn = 2
)

// member is a daemon with the hash of its identity, which determines its position on the ring.
type member struct {
	hostlist.Host
	hash uint64
}

// topology orders the other daemons for the selection of peers. The daemons of each failure domain form a ring, ordered
// by hashed identity. A list starts with the preferred peer and continues around the ring, so that a peer that is down
// is replaced by the next daemon, and the ring stays closed whichever daemons fail. A topology is immutable.
type topology struct {
	ring   []member            // daemons of the own failure domain, starting with the successor of this one
	remote map[string][]member // daemons of each other failure domain, starting with the one assigned to this daemon
	// isGateway holds for each other failure domain whether this daemon must keep a peer there.
	isGateway map[string]bool
}

// newTopology returns the topology of the entry hosts in hosts as seen from self, which need not be listed.
func newTopology(self hostlist.Host, hosts []hostlist.Host) topology {
	domains := map[string][]member{self.Domain: {{self, xxhash.Sum64String(self.ID)}}}
	for _, h := range hosts {
		if h.Role == hostlist.RoleEntry && h.ID != self.ID {
			domains[h.Domain] = append(domains[h.Domain], member{h, xxhash.Sum64String(h.ID)})
		}
	}
	for _, list := range domains {
		slices.SortFunc(list, func(a, b member) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.ID, b.ID)) })
	}
	own := domains[self.Domain]
	rank := slices.IndexFunc(own, func(m member) bool { return m.ID == self.ID })
	t := topology{ring: rotate(own, rank+1)[:len(own)-1], remote: map[string][]member{}, isGateway: map[string]bool{}}
	for d, list := range domains {
		if d == self.Domain {
			continue
		}
		slot, first := assignSlot(rank, len(own), len(list))
		t.remote[d], t.isGateway[d] = rotate(list, slot), first
	}
	return t
}

// assignSlot maps a daemon to its preferred peer in another failure domain. The daemon is given by its rank on the ring
// of own daemons, the peer by its index on the ring of others. If there are more than maxFanIn daemons for each peer,
// they are divided into maxFanIn groups for each, and only the first daemon of a group is a gateway.
func assignSlot(rank, own, others int) (slot int, gateway bool) {
	if own <= maxFanIn*others {
		return rank * others / own, true
	}
	groups := maxFanIn * others
	i := rank * groups / own
	return i / maxFanIn, rank == 0 || (rank-1)*groups/own != i
}

// rotate returns a copy of list that starts with the element at index first modulo the length.
func rotate(list []member, first int) []member {
	first %= len(list)
	return slices.Concat(list[first:], list[:first])
}

// strides returns the distances on a ring of n other daemons at which a daemon has peers: 1 for the successor, which
// keeps the ring closed, and two longer ones, with which a change reaches all daemons in about 3 times the cube root of
// n hops.
func strides(n int) [localPeers]int {
	k := max(2, int(math.Ceil(math.Cbrt(float64(n+1)))))
	return [localPeers]int{1, k, k * k}
}

// peers returns the addresses of up to localPeers daemons of the own failure domain, the successor first, and up to
// remotePeers daemons of other failure domains. Daemons that are down are skipped. domain is the daemon's own one.
func (t topology) peers(domain string, down func(addr string) bool) []string {
	var out []string
	add := func(list []member, from int) bool {
		for i := range list {
			m := list[(from+i)%len(list)]
			if !down(m.Addr) && !slices.Contains(out, m.Addr) {
				out = append(out, m.Addr)
				return true
			}
		}
		return false
	}
	for _, s := range strides(len(t.ring)) {
		add(t.ring, s-1)
	}
	selected := 0 // failure domains, including those in which another daemon of this one keeps the peer
	for _, d := range domainsAfter(domain, t.remote) {
		if selected == remotePeers {
			break
		}
		// A failure domain whose daemons are all down is replaced by the next one.
		if !t.isGateway[d] || add(t.remote[d], 0) {
			selected++
		}
	}
	return out
}

// domainsAfter returns the names of the other failure domains in ring order, starting after domain, so that each
// failure domain is selected by the same number of others.
func domainsAfter(domain string, remote map[string][]member) []string {
	var names []string
	for d := range remote {
		names = append(names, d)
	}
	slices.SortFunc(names, func(a, b string) int {
		if (a > domain) != (b > domain) {
			if a > domain {
				return -1
			}
			return 1
		}
		return cmp.Compare(a, b)
	})
	return names
}
