package peer

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleytrail/bramleytrail/hostlist"
)

const (
	localPeers   = 3 // peers in the own failure domain
	remotePeers  = 3 // other failure domains with a peer
	watcherCount = 2 // daemons of a failure domain that watch the platform's services
	// maxFanIn bounds the daemons of one failure domain that have the same peer in another one. Without it, a domain with
	// one daemon would get a message from each daemon of the others.
	maxFanIn = 2
)

// member is another daemon as seen from this one.
type member struct {
	hostlist.Host
	hash uint64
}

// topology orders the other daemons for the choice of peers. Each failure domain is a ring of its daemons by hashed
// identity. A list starts with the preferred peer and goes on around the ring, so that a peer that is down is replaced
// by the next daemon, and the ring stays closed whichever daemons fail.
type topology struct {
	ring   []member            // own failure domain, from the successor on
	remote map[string][]member // other failure domains, from the assigned peer on
	// gateway tells for which other failure domains this daemon has the duty to keep a peer there.
	gateway map[string]bool
}

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
	t := topology{ring: rotate(own, rank+1)[:len(own)-1], remote: map[string][]member{}, gateway: map[string]bool{}}
	for d, list := range domains {
		if d == self.Domain {
			continue
		}
		slot, first := assign(rank, len(own), len(list))
		t.remote[d], t.gateway[d] = rotate(list, slot), first
	}
	return t
}

// assign maps the daemon with a rank among own daemons to a slot among others. If there are more than maxFanIn daemons
// for each slot, only the first of those that share one are gateways.
func assign(rank, own, others int) (slot int, gateway bool) {
	if own <= maxFanIn*others {
		return rank * others / own, true
	}
	n := maxFanIn * others
	i := rank * n / own
	return i / maxFanIn, rank == 0 || (rank-1)*n/own != i
}

func rotate(list []member, first int) []member {
	first %= len(list)
	return slices.Concat(list[first:], list[:first])
}

// strides are the distances on the ring at which a daemon has peers: the successor, which keeps the ring closed, and two
// longer ones, which make a change reach a ring of n daemons in about 3 times the cube root of n steps.
func strides(n int) [localPeers]int {
	k := max(2, int(math.Ceil(math.Cbrt(float64(n+1)))))
	return [localPeers]int{1, k, k * k}
}

// peers returns the addresses of up to localPeers and remotePeers members that are not down, the successor first.
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
	n := 0
	for _, d := range domainsAfter(domain, t.remote) {
		if n == remotePeers {
			break
		}
		// A domain without a live daemon is replaced by the next one.
		if !t.gateway[d] || add(t.remote[d], 0) {
			n++
		}
	}
	return out
}

// domainsAfter orders the other failure domains as a ring that starts after domain, so that each domain is the neighbour
// of the same number of others.
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
