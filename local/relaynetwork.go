package local

import (
	"fmt"
	"net"
	"strings"
	"sync"

	"github.com/bramleytrail/bramleytrail/settings"
	"github.com/bramleytrail/bramleytrail/standin"
)

// RelayNetwork places relays in front of the daemons' peer addresses and of the platform, to disturb their connections.
// Each failure domain has a loopback subnet and each daemon an IP address in it, so that a relay can determine from which
// failure domain a connection comes. It is safe for concurrent use.
type RelayNetwork struct {
	mu        sync.Mutex
	domains   []string                     // the index determines the subnet
	hostCount map[string]int               // number of daemons added, by failure domain
	peers     map[string]*standin.TCPProxy // by daemon identity
	platform  map[string]*standin.TCPProxy // by failure domain
	domainOf  map[string]string            // by daemon identity
	isolated  map[string]bool              // failure domains partitioned from the others
	ipOf      map[string]string            // by daemon identity
}

// UseRelayNetwork makes the daemons that are added later reach one another and the platform through relays. Close and
// Stop of the deployment close the relays.
func (d *Deployment) UseRelayNetwork() *RelayNetwork {
	d.RelayNetwork = &RelayNetwork{
		hostCount: map[string]int{}, peers: map[string]*standin.TCPProxy{}, platform: map[string]*standin.TCPProxy{}, domainOf: map[string]string{},
		isolated: map[string]bool{}, ipOf: map[string]string{},
	}
	return d.RelayNetwork
}

// attach changes the settings of a daemon so that its connections to peers and to the platform pass through relays.
func (n *RelayNetwork) attach(s *settings.Settings, platformAddr string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.platform[s.Domain] == nil {
		r, err := standin.NewTCPProxy("127.0.0.1:0")
		if err != nil {
			return err
		}
		r.SetTarget(platformAddr)
		n.platform[s.Domain] = r
		n.domains = append(n.domains, s.Domain)
	}
	if n.peers[s.ID] == nil {
		r, err := standin.NewTCPProxy("127.0.0.1:0")
		if err != nil {
			return err
		}
		n.peers[s.ID] = r
		n.hostCount[s.Domain]++
		n.domainOf[s.ID] = s.Domain
		n.ipOf[s.ID] = fmt.Sprintf("%s%d", n.subnet(s.Domain), n.hostCount[s.Domain])
		n.applyIsolation()
	}
	s.PeerListen = net.JoinHostPort(n.ipOf[s.ID], "0")
	s.PeerAdvertise = n.peers[s.ID].Addr
	s.Store = "http://" + n.platform[s.Domain].Addr
	s.Hosts = s.Store
	return nil
}

// subnet returns the IP prefix of a failure domain, with the final dot. The caller holds n.mu.
func (n *RelayNetwork) subnet(domain string) string {
	for i, d := range n.domains {
		if d == domain {
			return fmt.Sprintf("127.1.%d.", i+1)
		}
	}
	return "" // not reached: attach adds the domain first
}

// Peer returns the relay in front of a daemon's peer address, nil for an unknown daemon.
func (n *RelayNetwork) Peer(id string) *standin.TCPProxy {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers[id]
}

// Platform returns the relay between a failure domain's daemons and the platform, nil for an unknown failure domain.
func (n *RelayNetwork) Platform(domain string) *standin.TCPProxy {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.platform[domain]
}

// CutPlatform partitions the daemons of a failure domain from the platform if cut is true, and else reconnects them.
func (n *RelayNetwork) CutPlatform(domain string, cut bool) {
	link := standin.Pass
	if cut {
		link = standin.Freeze
	}
	n.Platform(domain).SetAll(link)
}

// Silence permanently stalls the open connections between daemons and from daemons to the platform: they stay open and
// deliver nothing. New connections work.
func (n *RelayNetwork) Silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.peers {
		r.StallConnections()
	}
	for _, r := range n.platform {
		r.StallConnections()
	}
}

// Isolate partitions the daemons of a failure domain from those of the others if cut is true, and else reconnects them.
func (n *RelayNetwork) Isolate(domain string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[domain] = cut
	n.applyIsolation()
}

// applyIsolation makes the relays in front of the daemons freeze connections from and to isolated failure domains. The
// caller holds n.mu.
func (n *RelayNetwork) applyIsolation() {
	isolatedSubnets := map[string]bool{}
	for d, isolated := range n.isolated {
		isolatedSubnets[n.subnet(d)] = isolated
	}
	for id, r := range n.peers {
		own := n.subnet(n.domainOf[id])
		r.SetMode(func(ip string) standin.LinkMode {
			if !strings.HasPrefix(ip, own) && (isolatedSubnets[own] || isolatedSubnets[ip[:strings.LastIndex(ip, ".")+1]]) {
				return standin.Freeze
			}
			return standin.Pass
		})
	}
}

// close closes all relays.
func (n *RelayNetwork) close() {
	for _, r := range n.peers {
		r.Close()
	}
	for _, r := range n.platform {
		r.Close()
	}
}
