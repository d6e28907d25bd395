package local

import (
	"fmt"
	"net"
	"strings"
	"sync"

	"github.com/bramleytrail/bramleytrail/settings"
	"github.com/bramleytrail/bramleytrail/standin"
)

// Network puts relays between daemons and before the platform. Each failure domain has a loopback subnet and each daemon
// an address in it, so that a relay knows from which domain a connection comes.
type Network struct {
	mu        sync.Mutex
	domains   []string                     // index gives the subnet
	hosts     map[string]int               // daemons added, by domain
	peers     map[string]*standin.TCPProxy // by daemon identity
	platform  map[string]*standin.TCPProxy // by domain
	domainOf  map[string]string            // by daemon identity
	isolated  map[string]bool              // domains cut off from the others
	addressOf map[string]string            // IP address by daemon identity
}

// UseNetwork makes the daemons that are added later reach one another and the platform through relays.
func (d *Deployment) UseNetwork() *Network {
	d.Network = &Network{
		hosts: map[string]int{}, peers: map[string]*standin.TCPProxy{}, platform: map[string]*standin.TCPProxy{}, domainOf: map[string]string{},
		isolated: map[string]bool{}, addressOf: map[string]string{},
	}
	return d.Network
}

// place changes the settings of a daemon so that its connections pass through relays.
func (n *Network) place(s *settings.Settings, platformAddr string) error {
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
		n.hosts[s.Domain]++
		n.domainOf[s.ID] = s.Domain
		n.addressOf[s.ID] = fmt.Sprintf("%s%d", n.subnet(s.Domain), n.hosts[s.Domain])
		n.applyPeers()
	}
	s.PeerListen = net.JoinHostPort(n.addressOf[s.ID], "0")
	s.PeerAdvertise = n.peers[s.ID].Addr
	s.Store = "http://" + n.platform[s.Domain].Addr
	s.Hosts = s.Store
	return nil
}

func (n *Network) subnet(domain string) string {
	for i, d := range n.domains {
		if d == domain {
			return fmt.Sprintf("127.1.%d.", i+1)
		}
	}
	return "" // place adds the domain first
}

// Peer returns the relay before a daemon's peer address.
func (n *Network) Peer(id string) *standin.TCPProxy {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers[id]
}

// Platform returns the relay between a failure domain and the platform.
func (n *Network) Platform(domain string) *standin.TCPProxy {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.platform[domain]
}

// CutPlatform cuts the daemons of a failure domain off from the platform, or connects them again.
func (n *Network) CutPlatform(domain string, cut bool) {
	link := standin.Pass
	if cut {
		link = standin.Freeze
	}
	n.Platform(domain).SetAll(link)
}

// Silence makes the open connections between daemons and to the platform go silent for good, while new ones work.
func (n *Network) Silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.peers {
		r.StallConnections()
	}
	for _, r := range n.platform {
		r.StallConnections()
	}
}

// Isolate cuts the daemons of a failure domain off from those of others, or connects them again.
func (n *Network) Isolate(domain string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[domain] = cut
	n.applyPeers()
}

func (n *Network) applyPeers() {
	cut := map[string]bool{} // subnets
	for d, isolated := range n.isolated {
		cut[n.subnet(d)] = isolated
	}
	for id, r := range n.peers {
		own := n.subnet(n.domainOf[id])
		r.SetMode(func(ip string) standin.LinkMode {
			if !strings.HasPrefix(ip, own) && (cut[own] || cut[ip[:strings.LastIndex(ip, ".")+1]]) {
				return standin.Freeze
			}
			return standin.Pass
		})
	}
}

func (n *Network) close() {
	for _, r := range n.peers {
		r.Close()
	}
	for _, r := range n.platform {
		r.Close()
	}
}
