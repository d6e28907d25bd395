package peer

import (
	"net"
	"slices"

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

// setHosts replaces the host list. Connections of hosts that are listed now no longer give way.
func (b *inbound) setHosts(hosts []hostlist.Host) {
	b.hosts = map[string]bool{}
	for _, h := range hosts {
		if ip, _, err := net.SplitHostPort(h.Addr); err == nil && h.Role == hostlist.RoleEntry {
			b.hosts[ip] = true
		}
	}
	b.unlisted = slices.DeleteFunc(b.unlisted, b.isListed)
}

// isListed reports whether a connection is from a host of the host list. A connection in memory has no address and counts as one.
func (b *inbound) isListed(c net.Conn) bool {
	ip, _, err := net.SplitHostPort(c.RemoteAddr().String())
	return err != nil || b.hosts[ip]
}

// Reasons for which a limit refuses or closes a connection.
const (
	reasonListed       = "listed"        // refused: too many from listed hosts
	reasonUnlisted     = "unlisted"      // the oldest from a host that is not listed gave way to another such one
	reasonMessageBytes = "message_bytes" // its message was too large
	reasonMessageTime  = "message_time"  // its large message took too long, or got no slot
)

// add adds a connection and returns the slots for its large messages, nil if there are too many. It closes the oldest connection from
// a host that is not listed if the new one is from another such host and there are too many of these. The reason is empty if no connection was
// refused or closed.
func (b *inbound) add(c net.Conn) (slots messageSlots, reason string) {
	if b.isListed(c) {
		if len(b.conns)-len(b.unlisted) >= maxListed {
			return nil, reasonListed
		}
		b.conns[c] = true
		return b.slots, ""
	}
	if len(b.unlisted) >= maxUnlisted {
		reason = reasonUnlisted
		oldest := b.unlisted[0]
		b.remove(oldest)
		_ = oldest.Close() // ends the goroutine that serves it
	}
	b.conns[c] = true
	b.unlisted = append(b.unlisted, c)
	return b.unlistedSlots, reason
}

// remove removes a connection. It does nothing if the connection was removed before.
func (b *inbound) remove(c net.Conn) {
	delete(b.conns, c)
	b.unlisted = slices.DeleteFunc(b.unlisted, func(x net.Conn) bool { return x == c })
}
