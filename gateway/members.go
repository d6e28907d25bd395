package gateway

import (
	"cmp"
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/pause"
)

// memberSeparator separates the failure domain, the address and the bandwidth in the value of a membership entry.
const memberSeparator = " "

// members returns the number of daemons that are registered in the store, at least 1.
func (v *storeView) members() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return max(1, v.memberCount)
}

// member is a decoded membership entry. addr is the address for messages between daemons, empty for none. linkBytes is the bandwidth of
// the host's link in bytes a second, 0 if not known.
type member struct {
	id, domain, addr string
	linkBytes        int64
}

// precedes reports whether a member is before another one in the order in which daemons lead and take on duties: those that can send
// most are first.
func (m member) precedes(other member) bool {
	return cmp.Or(cmp.Compare(other.linkBytes, m.linkBytes), strings.Compare(m.id, other.id)) < 0
}

// eachMember calls f for each membership entry, in no particular order.
func eachMember(entries map[string]kv.Entry, f func(member)) {
	for key, e := range entries {
		if id, ok := strings.CutPrefix(key, memberPrefix); ok {
			f(decodeMember(id, string(e.Value)))
		}
	}
}

// decodeMember decodes the value of a membership entry. The bandwidth is left out by daemons that do not know it.
func decodeMember(id, value string) member {
	domain, rest, _ := strings.Cut(value, memberSeparator)
	addr, link, _ := strings.Cut(rest, memberSeparator)
	m := member{id: id, domain: domain, addr: addr}
	if n, err := strconv.ParseInt(link, 10, 64); err == nil && n > 0 {
		m.linkBytes = n
	}
	return m
}

// countMembers returns the number of daemons for which match returns true.
func (v *storeView) countMembers(match func(member) bool) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	eachMember(v.ownEntries, func(m member) {
		if match(m) {
			n++
		}
	})
	return n
}

// memberDomains returns the failure domains of all daemons, by name.
func (v *storeView) memberDomains() map[string]string {
	v.mu.Lock()
	defer v.mu.Unlock()
	domains := map[string]string{}
	eachMember(v.ownEntries, func(m member) { domains[m.id] = m.domain })
	return domains
}

// domainPeers returns the number of other daemons in this daemon's failure domain.
func (v *storeView) domainPeers() int {
	return v.countMembers(func(m member) bool { return m.domain == v.g.spec.Domain && m.id != v.g.spec.Name })
}

// rank returns the position of this daemon among all members in their order, 0 for the first.
func (v *storeView) rank() int {
	self := v.g.self()
	return v.countMembers(func(m member) bool { return m.precedes(self) })
}

// memberNames returns the names of all members.
func (v *storeView) memberNames() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []string
	eachMember(v.ownEntries, func(m member) { out = append(out, m.id) })
	return out
}

// domainOf returns the failure domain of a member, empty if it is not known.
func (v *storeView) domainOf(name string) string {
	e, ok := v.entry(memberPrefix + name)
	if !ok {
		return ""
	}
	return decodeMember(name, string(e.Value)).domain
}

// firstLoadTimeout is the longest time for which a daemon waits for the store's content before it registers. The content shows
// the entry of an earlier process of the same name, which register can then replace without another read.
const firstLoadTimeout = time.Second

// maintainMembership keeps this daemon registered until it stops. It registers again when the lease has expired.
func (g *Gateway) maintainMembership() {
	timer := time.NewTimer(firstLoadTimeout)
	select {
	case <-g.view.firstLoad:
	case <-timer.C:
	case <-g.ctx.Done():
	}
	timer.Stop()
	wait := firstRetryDelay
	for g.ctx.Err() == nil {
		lease, err := g.register()
		if err != nil {
			if errors.Is(err, kv.ErrUnavailable) {
				g.view.reportFailure()
			}
			g.log.WithError(err).Info("registering as a member failed")
			_ = pause.For(g.ctx, wait)
			wait = min(maxRetryDelay, 2*wait)
			continue
		}
		wait = firstRetryDelay
		g.view.lease.Store(uint64(lease))
		g.keepAlive(lease)
	}
}

// self returns this daemon as a member.
func (g *Gateway) self() member {
	return member{g.spec.Name, g.spec.Domain, g.spec.PeerAddr, g.spec.LinkBytes}
}

// memberValue returns the value of this daemon's membership entry.
func (g *Gateway) memberValue() []byte {
	value := g.spec.Domain + memberSeparator + g.spec.PeerAddr
	if g.spec.LinkBytes > 0 {
		value += memberSeparator + strconv.FormatInt(g.spec.LinkBytes, 10)
	}
	return []byte(value)
}

// register writes this daemon's membership entry under a new lease, which it returns. An entry of an earlier process of the same
// name, whose lease has not expired yet, is replaced.
func (g *Gateway) register() (kv.LeaseID, error) {
	lease, err := g.spec.Store.Grant(g.ctx, memberTTL)
	if err != nil {
		return 0, err
	}
	key := memberPrefix + g.spec.Name
	value := g.memberValue()
	previous, _ := g.view.entry(key)
	_, err = g.spec.Store.CAS(g.ctx, key, value, previous.Revision, lease)
	if !errors.Is(err, kv.ErrConflict) {
		return lease, err
	}
	old, err := g.spec.Store.Get(g.ctx, key)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return lease, err
	}
	_, err = g.spec.Store.CAS(g.ctx, key, value, old.Revision, lease)
	return lease, err
}

// keepAlive renews the lease until it has expired or the daemon stops.
func (g *Gateway) keepAlive(lease kv.LeaseID) {
	for {
		if pause.For(g.ctx, leaseRenewInterval) != nil {
			return
		}
		if g.view.unavailable.Load() {
			continue // the probe for the store's recovery renews the lease
		}
		err := g.renewLease(lease)
		if errors.Is(err, kv.ErrNoLease) {
			g.log.Info("membership lapsed")
			return
		}
		if errors.Is(err, kv.ErrUnavailable) {
			g.view.reportFailure()
		}
	}
}

func (g *Gateway) renewLease(lease kv.LeaseID) error {
	ctx, cancel := context.WithTimeout(g.ctx, probeTimeout)
	defer cancel()
	return g.spec.Store.KeepAlive(ctx, lease)
}

// deregister revokes the lease of this daemon's membership entry. If that fails, the lease expires at the end of its TTL.
func (v *storeView) deregister() {
	lease := v.lease.Load()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), firstRetryDelay)
	defer cancel()
	if err := v.g.spec.Store.Revoke(ctx, kv.LeaseID(lease)); err != nil {
		v.g.log.WithError(err).Info("revoking the membership's lease failed; the lease will expire")
	}
}
