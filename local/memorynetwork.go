package local

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"

	"github.com/bramleytrail/bramleytrail/daemon"
	"github.com/bramleytrail/bramleytrail/settings"
	"github.com/bramleytrail/bramleytrail/standin"
)

// Addresses of the hosts of a MemoryNetwork that belong to no failure domain.
const (
	platformHost = "10.0.0.1"
	endpointHost = "10.0.0.2"
	callerHost   = "10.0.0.3"
)

// MemoryNetwork connects a deployment's processes in memory and can partition it. Each daemon has an IP address of its
// own. It is safe for concurrent use.
type MemoryNetwork struct {
	net *standin.MemNet

	mu          sync.Mutex
	domainOf    map[string]string // by IP address of a daemon
	isolated    map[string]bool   // failure domains partitioned from the others
	platformCut map[string]bool   // failure domains that can't reach the platform
}

func newMemoryNetwork() *MemoryNetwork {
	m := &MemoryNetwork{net: standin.NewMemNet(), domainOf: map[string]string{}, isolated: map[string]bool{}, platformCut: map[string]bool{}}
	m.net.SetMode(m.linkMode)
	return m
}

// attach assigns an IP address to a daemon, sets its listen addresses in s and returns the network that the daemon must
// use.
func (m *MemoryNetwork) attach(s *settings.Settings) *daemon.Network {
	m.mu.Lock()
	defer m.mu.Unlock()
	host := fmt.Sprintf("10.0.1.%d", len(m.domainOf)+1)
	m.domainOf[host] = s.Domain
	s.Listen, s.PeerListen, s.OperatorListen = host+":0", host+":0", host+":0"
	dial := m.net.DialerFrom(host)
	return &daemon.Network{
		Listen: func(addr string) (net.Listener, error) { return m.net.Listen(addr), nil },
		Dial:   func(ctx context.Context, _, addr string) (net.Conn, error) { return dial(ctx, addr) },
	}
}

// linkMode returns how connections from an IP address to an address with a port are treated.
func (m *MemoryNetwork) linkMode(from, to string) standin.LinkMode {
	m.mu.Lock()
	defer m.mu.Unlock()
	host, _, _ := net.SplitHostPort(to) // a MemNet's addresses always have a port
	own, other := m.domainOf[from], m.domainOf[host]
	switch {
	case host == platformHost && m.platformCut[own]:
		return standin.Freeze
	case own != "" && other != "" && own != other && (m.isolated[own] || m.isolated[other]):
		return standin.Freeze
	}
	return standin.Pass
}

// Isolate partitions the daemons of a failure domain from those of the others if cut is true, and else reconnects them.
func (m *MemoryNetwork) Isolate(domain string, cut bool) { m.setFlag(m.isolated, domain, cut) }

// CutPlatform partitions the daemons of a failure domain from the platform if cut is true, and else reconnects them.
func (m *MemoryNetwork) CutPlatform(domain string, cut bool) { m.setFlag(m.platformCut, domain, cut) }

// setFlag changes one of the partition flags and applies it to open and new connections.
func (m *MemoryNetwork) setFlag(flags map[string]bool, domain string, on bool) {
	m.mu.Lock()
	flags[domain] = on
	m.mu.Unlock()
	m.net.SetMode(m.linkMode)
}

// Silence permanently stalls the open connections between daemons and from daemons to the platform: they stay open and
// deliver nothing. New connections work.
func (m *MemoryNetwork) Silence() {
	m.net.StallConnectionsIf(func(from, to string) bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		host, _, _ := net.SplitHostPort(to)
		return m.domainOf[from] != "" && (host == platformHost || m.domainOf[host] != "")
	})
}

// serve starts the server of a stand-in, in memory at a host's address or else on a free loopback port.
func (d *Deployment) serve(host string, handler http.Handler) (*standin.Server, error) {
	if d.MemoryNetwork != nil {
		return standin.ServeOn(d.MemoryNetwork.net.Listen(host+":0"), handler), nil
	}
	return standin.Serve("127.0.0.1:0", handler)
}

// NewClient returns a client with its own connections that reaches the deployment in memory as well.
func (d *Deployment) NewClient(addr, key string) *Client {
	c := NewClient(addr, key)
	if d.MemoryNetwork != nil {
		dial := d.MemoryNetwork.net.DialerFrom(callerHost)
		c.HTTP.Transport = &http.Transport{DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) { return dial(ctx, addr) }}
	}
	return c
}
