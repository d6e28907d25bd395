package peer

import (
	"net"

	"github.com/bramleytrail/bramleytrail/hostlist"
)

const (
	// maxListed bounds the connections from hosts of the host list. Each of the 370 daemons of the target deployment has one at most.
	maxListed = 1024
	// maxUnlisted bounds the connections from other hosts: of daemons that have just started, and of strangers. The oldest one gives way.
	maxUnlisted = 32
	// listedSlots and unlistedSlots are the numbers of large messages that are read from them at the same time.
	listedSlots, unlistedSlots = 4, 1
)

// inbound holds the connections that other daemons have opened, and bounds them. It is not safe for concurrent use.
type inbound struct {
	hosts    map[string]bool // IP addresses of the host list
	conns    map[net.Conn]bool
	unlisted []net.Conn // those of conns from other hosts, the oldest first

	slots, unlistedSlots messageSlots
}

func newInbound() *inbound {
	return &inbound{conns: map[net.Conn]bool{}, slots: make(messageSlots, listedSlots), unlistedSlots: make(messageSlots, unlistedSlots)}
}

// setHosts replaces the host list. It applies to connections from then on.
func (b *inbound) setHosts(hosts []hostlist.Host) {
	b.hosts = map[string]bool{}
	for _, h := range hosts {
		if ip, _, err := net.SplitHostPort(h.Addr); err == nil && h.Role == hostlist.RoleEntry {
			b.hosts[ip] = true
		}
	}
}

// add adds a connection and returns the slots for its large messages, or false if there are too many. It closes the oldest connection from
// a host that is not listed if the new one is from another such host and there are too many of these.
func (b *inbound) add(c net.Conn) (slots messageSlots, ok bool) {
	ip, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if isListed := err != nil || b.hosts[ip]; isListed { // a connection in memory has no address
		if len(b.conns)-len(b.unlisted) >= maxListed {
			return nil, false
		}
		b.conns[c] = true
		return b.slots, true
	}
	if len(b.unlisted) >= maxUnlisted {
		oldest := b.unlisted[0]
		b.remove(oldest)
		_ = oldest.Close() // ends the goroutine that serves it
	}
	b.conns[c] = true
	b.unlisted = append(b.unlisted, c)
	return b.unlistedSlots, true
}

// remove removes a connection. It does nothing if the connection was removed before.
func (b *inbound) remove(c net.Conn) {
	delete(b.conns, c)
	for i, x := range b.unlisted {
		if x == c {
			b.unlisted = append(b.unlisted[:i:i], b.unlisted[i+1:]...)
			return
		}
	}
}
