package daemon

import (
	"context"
	"net"

	"github.com/bramleytrail/bramleytrail/engine/httpengine"
	"github.com/bramleytrail/bramleytrail/observe"
	"github.com/bramleytrail/bramleytrail/peer"
)

// Network opens the ports and connections of a daemon in place of TCP sockets, for example in memory, where they work
// under a fake clock. Its ports are served by net/http, since nbhttp needs sockets.
type Network struct {
	Listen func(addr string) (net.Listener, error)
	Dial   observe.DialFunc
}

// dialPlatform returns the function that connects to the platform.
func (n *Network) dialPlatform() observe.DialFunc {
	if n == nil {
		return (&net.Dialer{}).DialContext
	}
	return n.Dial
}

// dialEndpoint returns the functions that connect to endpoints.
func (n *Network) dialEndpoint() httpengine.Dialers {
	if n == nil {
		return httpengine.TCPDialers()
	}
	return httpengine.DialersFrom(n.Dial)
}

// dialPeer returns the function that connects to other daemons from the address of a listener.
func (n *Network) dialPeer(from net.Addr) func(context.Context, string) (net.Conn, error) {
	if n == nil {
		return peer.DialFrom(from)
	}
	return func(ctx context.Context, addr string) (net.Conn, error) { return n.Dial(ctx, "tcp", addr) }
}

// listen opens a port.
func (n *Network) listen(addr string) (net.Listener, error) {
	if n == nil {
		return net.Listen("tcp", addr)
	}
	return n.Listen(addr)
}
