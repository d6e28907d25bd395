package notice

import (
	"net"
	"slices"
	"strings"
)

// RelaysPerDomain is the number of daemons of each failure domain to which a message of another domain is sent. They pass it on to the
// rest of their domain. With two of them, messages still arrive while one is frozen, partitioned or slow.
const RelaysPerDomain = 2

// Peer is another daemon and the address of its Exchange.
type Peer struct {
	Name, Domain, Addr string
	LinkBytes          int64 // bandwidth of its link in bytes a second, 0 if not known
}

// peers are the other daemons by failure domain.
type peers struct {
	domains map[string]*domain
	known   map[string]bool // addresses
	names   map[string]*net.UDPAddr
}

// domain holds the daemons of a failure domain in the order of names.
type domain struct {
	addrs   []*net.UDPAddr
	weights []float64 // squares of the bandwidths in bytes a second
	sum     float64   // of weights
}

// newPeers returns the peers in a list. Those without a valid address, and the one with the address self, are left out.
func newPeers(all []Peer, self string) *peers {
	p := &peers{domains: map[string]*domain{}, known: map[string]bool{}, names: map[string]*net.UDPAddr{}}
	for _, peer := range slices.SortedFunc(slices.Values(all), func(a, b Peer) int { return strings.Compare(a.Name, b.Name) }) {
		addr, err := net.ResolveUDPAddr("udp4", peer.Addr)
		if err != nil || peer.Addr == self {
			continue
		}
		d := p.domains[peer.Domain]
		if d == nil {
			d = &domain{}
			p.domains[peer.Domain] = d
		}
		d.addrs = append(d.addrs, addr)
		link := float64(peer.LinkBytes)
		if link <= 0 {
			link = slowestLink
		}
		d.weights, d.sum = append(d.weights, link*link), d.sum+link*link
		p.known[addr.String()] = true
		p.names[peer.Name] = addr
	}
	return p
}

// in returns the addresses of the daemons of a failure domain.
func (p *peers) in(name string) []*net.UDPAddr {
	if d := p.domains[name]; d != nil {
		return d.addrs
	}
	return nil
}

// relays returns RelaysPerDomain daemons of each failure domain but one. They are drawn at random, so that daemons with equal links share the
// work and one that is slow or gone delays few messages. The square of the bandwidth makes a daemon with a slow link rarely relay where
// others have faster ones.
func (p *peers) relays(except string, random func() float64) []*net.UDPAddr {
	var out []*net.UDPAddr
	for name, d := range p.domains {
		if name != except {
			out = append(out, d.draw(random)...)
		}
	}
	return out
}

// draw returns RelaysPerDomain different daemons, or all if there are no more.
func (d *domain) draw(random func() float64) []*net.UDPAddr {
	if len(d.addrs) <= RelaysPerDomain {
		return d.addrs
	}
	left, drawn := d.sum, make([]int, 0, RelaysPerDomain)
	out := make([]*net.UDPAddr, RelaysPerDomain)
	for n := range out {
		at, chosen := random()*left, -1
		for i, weight := range d.weights {
			if slices.Contains(drawn, i) {
				continue
			}
			chosen = i // also the last one, if the sum is rounded
			if at -= weight; at < 0 {
				break
			}
		}
		drawn, left = append(drawn, chosen), left-d.weights[chosen]
		out[n] = d.addrs[chosen]
	}
	return out
}
