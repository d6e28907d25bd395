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

// Hosts of a deployment in memory that belong to no failure domain.
const (
	platformHost = "10.0.0.1"
	endpointHost = "10.0.0.2"
	callerHost   = "10.0.0.3"
)

// Memory is the network of a deployment in memory. Each daemon has an address of its own.
type Memory struct {
	net *standin.MemNet

	mu       sync.Mutex
	domainOf map[string]string // by address of a daemon's host
	isolated map[string]bool   // domains cut off from the others
	cut      map[string]bool   // domains cut off from the platform
}

func newMemory() *Memory {
	m := &Memory{net: standin.NewMemNet(), domainOf: map[string]string{}, isolated: map[string]bool{}, cut: map[string]bool{}}
	m.net.SetMode(m.link)
	return m
}

// place gives a daemon an address and returns its network.
func (m *Memory) place(s *settings.Settings) *daemon.Network {
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

// link says how a connection from one host to an address is treated.
func (m *Memory) link(from, to string) standin.LinkMode {
	m.mu.Lock()
	defer m.mu.Unlock()
	host, _, _ := net.SplitHostPort(to) // addresses of this type have a port
	own, other := m.domainOf[from], m.domainOf[host]
	switch {
	case host == platformHost && m.cut[own]:
		return standin.Freeze
	case own != "" && other != "" && own != other && (m.isolated[own] || m.isolated[other]):
		return standin.Freeze
	}
	return standin.Pass
}

// Isolate cuts the daemons of a failure domain off from those of others, or connects them again.
func (m *Memory) Isolate(domain string, cut bool) { m.set(m.isolated, domain, cut) }

// CutPlatform cuts the daemons of a failure domain off from the platform, or connects them again.
func (m *Memory) CutPlatform(domain string, cut bool) { m.set(m.cut, domain, cut) }

func (m *Memory) set(state map[string]bool, domain string, on bool) {
	m.mu.Lock()
	state[domain] = on
	m.mu.Unlock()
	m.net.SetMode(m.link)
}

// Silence makes the open connections between daemons and to the platform go silent for good, while new ones work.
func (m *Memory) Silence() {
	m.net.StallConnectionsIf(func(from, to string) bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		host, _, _ := net.SplitHostPort(to)
		return m.domainOf[from] != "" && (host == platformHost || m.domainOf[host] != "")
	})
}

// serve starts a server of a stand-in at a host.
func (d *Deployment) serve(host string, handler http.Handler) (*standin.Server, error) {
	if d.Memory != nil {
		return standin.ServeOn(d.Memory.net.Listen(host+":0"), handler), nil
	}
	return standin.Serve("127.0.0.1:0", handler)
}

// NewClient returns a caller with its own connections.
func (d *Deployment) NewClient(addr, key string) *Client {
	c := NewClient(addr, key)
	if d.Memory != nil {
		dial := d.Memory.net.DialerFrom(callerHost)
		c.HTTP.Transport = &http.Transport{DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) { return dial(ctx, addr) }}
	}
	return c
}
