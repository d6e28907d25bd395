package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxShared bounds the teams in one message to other daemons.
	MaxShared = 32
	// maxPeers bounds the daemons whose sums are kept.
	maxPeers = 1024
	// peerTTL is the age at which another daemon's sums no longer count. It bridges a lost message at the longest usual interval,
	// 3.5 s with 140 daemons in a failure domain. Until then they count in full, since the daemon's rate probably goes on.
	peerTTL = 8 * time.Second
	// maxSum bounds a valid sum: no daemon serves more requests in the time constant.
	maxSum = 1e6
)

// TeamSums are a daemon's decaying numbers of requests for a service by team, of the teams that sent the most.
type TeamSums struct {
	Service  string    `msgpack:"s"`
	Teams    []uint32  `msgpack:"t"` // by TeamKey
	Requests []float32 `msgpack:"n"` // in the order of Teams
}

// TeamKey identifies a team in messages. Its hash keeps them small; two teams with the same one share their sums.
func TeamKey(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

func (s *TeamSums) valid() bool {
	return len(s.Teams) == len(s.Requests) && len(s.Teams) <= MaxShared &&
		!slices.ContainsFunc(s.Requests, func(n float32) bool { return !(n >= 0 && n <= maxSum) }) // finds NaN too
}

// peerSums are the sums of another daemon as of a time.
type peerSums struct {
	sums TeamSums
	at   time.Time
}

// SetPeer replaces the sums of another daemon. Invalid ones are dropped.
func (c *Controller) SetPeer(peer string, s TeamSums, now time.Time) {
	if _, known := c.peers[peer]; !s.valid() || !known && len(c.peers) >= maxPeers {
		return
	}
	c.peers[peer] = peerSums{s, now}
}

// addPeers adds up the sums of the other daemons.
func (c *Controller) addPeers(now time.Time) {
	clear(c.others)
	for name, p := range c.peers {
		if now.Sub(p.at) > peerTTL {
			delete(c.peers, name)
			continue
		}
		for i, key := range p.sums.Teams {
			c.others[key] += float64(p.sums.Requests[i])
		}
	}
}

// Sums returns the sums of the at most n teams that sent the most requests to this daemon.
func (c *Controller) Sums(service string, n int, now time.Time) TeamSums {
	c.decayTo(now)
	type team struct {
		key uint32
		sum float64
	}
	list := make([]team, 0, len(c.teams))
	for name, s := range c.teams {
		list = append(list, team{TeamKey(name), s.total()})
	}
	slices.SortFunc(list, func(a, b team) int { return cmp.Or(cmp.Compare(b.sum, a.sum), cmp.Compare(a.key, b.key)) })
	out := TeamSums{Service: service}
	for _, t := range list[:min(n, MaxShared, len(list))] {
		out.Teams = append(out.Teams, t.key)
		out.Requests = append(out.Requests, float32(math.Min(t.sum, maxSum)))
	}
	return out
}
