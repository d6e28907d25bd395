package daemon

import (
	"context"
	"net"

	"github.com/bramleytrail/bramleytrail/engine/httpengine"
	"github.com/bramleytrail/bramleytrail/observe"
	"github.com/bramleytrail/bramleytrail/peer"
)

// Network replaces TCP sockets for the ports and connections of a daemon, for example by an in-memory network that works with
// a fake clock. Ports of a Network are served by net/http, since nbhttp needs sockets. A nil *Network means TCP sockets.
type Network struct {
	Listen func(addr string) (net.Listener, error)
	Dial   observe.DialFunc
}

// dialPlatform returns the dial function for the platform's services.
func (n *Network) dialPlatform() observe.DialFunc {
	if n == nil {
		return (&net.Dialer{}).DialContext
	}
	return n.Dial
}

// dialEndpoint returns the dial functions for endpoints.
func (n *Network) dialEndpoint() httpengine.Dialers {
	if n == nil {
		return httpengine.TCPDialers()
	}
	return httpengine.DialersFrom(n.Dial)
}

// dialPeer returns the dial function for peers. Over TCP it dials from the IP address of the peer listener.
func (n *Network) dialPeer(from net.Addr) func(context.Context, string) (net.Conn, error) {
	if n == nil {
		return peer.DialFrom(from)
	}
	return func(ctx context.Context, addr string) (net.Conn, error) { return n.Dial(ctx, "tcp", addr) }
}

// listen opens a listener on addr.
func (n *Network) listen(addr string) (net.Listener, error) {
	if n == nil {
		return net.Listen("tcp", addr)
	}
	return n.Listen(addr)
}
