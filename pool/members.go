package pool

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleytrail/bramleytrail/hostlist"
)

// departedSettleTimes is how many settle times a daemon still counts after it left the host list. During the first, it
// may not have seen its removal. The second covers a daemon that is listed again before it has seen its removal: it
// then counts without a gap. A daemon whose listing changes three times within this period may be counted late.
const departedSettleTimes = 2

// members is the set of daemons in the host list, as seen by this daemon.
type members struct {
	self        string
	settle      time.Duration
	listed      []hashedDaemon
	departed    map[string]departedDaemon
	listedSince time.Time // when this daemon first appeared in the list; zero if it is not listed
}

// departedDaemon is a daemon that is no longer listed but still counts.
type departedDaemon struct {
	hashedDaemon
	until time.Time // the daemon counts before this time
}

// update applies a host list. A daemon that is leaving counts until it is off the list, because its requests in flight
// still use its shares.
func (m *members) update(hosts []hostlist.Host, now time.Time) {
	next := make([]hashedDaemon, 0, len(m.listed))
	selfListed := false
	for _, h := range hosts {
		if h.Role == hostlist.RoleEntry {
			next = append(next, hashedDaemon{h.ID, h.Domain, xxhash.Sum64String(h.ID)})
			selfListed = selfListed || h.ID == m.self
		}
	}
	for _, d := range m.listed {
		m.departed[d.id] = departedDaemon{d, now.Add(departedSettleTimes * m.settle)}
	}
	for _, d := range next {
		delete(m.departed, d.id)
	}
	for id, d := range m.departed {
		if !now.Before(d.until) {
			delete(m.departed, id)
		}
	}
	m.listed = next
	switch {
	case !selfListed:
		m.listedSince = time.Time{}
	case m.listedSince.IsZero():
		m.listedSince = now
	}
}

// withDeparted returns the daemons that may use endpoints: the listed ones and those that left recently. The set is
// valid until the returned time.
func (m *members) withDeparted() ([]hashedDaemon, time.Time) {
	all := append([]hashedDaemon(nil), m.listed...)
	var until time.Time
	for _, d := range m.departed {
		all = append(all, d.hashedDaemon)
		if d.until.After(until) {
			until = d.until
		}
	}
	return all, until
}

// joinSettleTimes is how many settle times a newly listed daemon waits before it uses its shares. After one, every
// other daemon counts it, unless it was removed again in the meantime; after two, it has seen that removal.
const joinSettleTimes = 2

// joinTime returns the time from which this daemon may use its shares.
func (m *members) joinTime() time.Time { return m.listedSince.Add(joinSettleTimes * m.settle) }
