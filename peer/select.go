package peer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleytrail/bramleytrail/hostlist"
)

const (
	localPeers   = 3 // peers in the own failure domain
	remotePeers  = 3 // peers in other failure domains, one in each
	watcherCount = 2 // daemons of a failure domain that watch the platform's services
)

// member is another daemon as seen from this one.
type member struct {
	hostlist.Host
	score uint64
}

// candidates orders the other daemons for the choice of peers. The first local one is the successor on the ring of
// hashed identities, which keeps the graph of peers connected; the rest are in rendezvous order.
func candidates(self hostlist.Host, hosts []hostlist.Host) (local []member, remote map[string][]member) {
	remote = map[string][]member{}
	for _, h := range hosts {
		if h.Role != hostlist.RoleEntry || h.ID == self.ID {
			continue
		}
		m := member{h, xxhash.Sum64String(self.ID + "|" + h.ID)}
		if h.Domain == self.Domain {
			local = append(local, m)
		} else {
			remote[h.Domain] = append(remote[h.Domain], m)
		}
	}
	byScore := func(a, b member) int { return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.ID, b.ID)) }
	slices.SortFunc(local, byScore)
	for _, list := range remote {
		slices.SortFunc(list, byScore)
	}
	if i := successor(self.ID, local); i > 0 {
		s := local[i]
		local = slices.Insert(slices.Delete(local, i, i+1), 0, s)
	}
	return local, remote
}

// successor returns the index of the member that follows self on the ring of hashed identities, or -1.
func successor(self string, list []member) int {
	origin := xxhash.Sum64String(self)
	best, bestDistance := -1, uint64(0)
	for i, m := range list {
		distance := xxhash.Sum64String(m.ID) - origin // wraps around the ring
		if best < 0 || distance < bestDistance {
			best, bestDistance = i, distance
		}
	}
	return best
}

// choosePeers returns up to localPeers and remotePeers members that are not down.
func choosePeers(local []member, remote map[string][]member, domain string, down func(addr string) bool) []string {
	var out []string
	for _, m := range local {
		if len(out) == localPeers {
			break
		}
		if !down(m.Addr) {
			out = append(out, m.Addr)
		}
	}
	n := 0
	for _, d := range domainsAfter(domain, remote) {
		if n == remotePeers {
			break
		}
		for _, m := range remote[d] {
			if !down(m.Addr) {
				out = append(out, m.Addr)
				n++
				break
			}
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

// IsWatcher reports whether the daemon is one of those in its failure domain that watch the platform's services for the
// others. The number of watches then depends on the number of domains only.
func IsWatcher(self hostlist.Host, hosts []hostlist.Host) bool {
	lower := 0
	own := xxhash.Sum64String(self.ID)
	for _, h := range hosts {
		if h.Role != hostlist.RoleEntry || h.Domain != self.Domain || h.ID == self.ID || h.State != hostlist.StateLive {
			continue
		}
		if xxhash.Sum64String(h.ID) < own {
			lower++
		}
	}
	return lower < watcherCount
}
