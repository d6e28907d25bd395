package pool

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleytrail/bramleytrail/hostlist"
)

// departedSettles is the number of settle times for which a daemon that left the list still counts. Within one, it may
// not have seen that it was removed. With one more, it counts without a gap if it returns to the list before it has
// seen its removal. A daemon whose listing changes three times within this time may be counted late.
const departedSettles = 2

// members is the set of daemons as this daemon has seen it.
type members struct {
	self     string
	settle   time.Duration
	present  []ranked
	departed map[string]departed
	since    time.Time // when this daemon found itself in the list; zero if it is not
}

type departed struct {
	ranked
	until time.Time
}

// update applies a host list. Daemons that are leaving count until they are off the list, because their requests in
// flight still use their shares.
func (m *members) update(hosts []hostlist.Host, now time.Time) {
	next := make([]ranked, 0, len(m.present))
	listed := false
	for _, h := range hosts {
		if h.Role == hostlist.RoleEntry {
			next = append(next, ranked{h.ID, h.Domain, xxhash.Sum64String(h.ID)})
			listed = listed || h.ID == m.self
		}
	}
	for _, d := range m.present {
		m.departed[d.id] = departed{d, now.Add(departedSettles * m.settle)}
	}
	for _, d := range next {
		delete(m.departed, d.id)
	}
	for id, d := range m.departed {
		if !now.Before(d.until) {
			delete(m.departed, id)
		}
	}
	m.present = next
	switch {
	case !listed:
		m.since = time.Time{}
	case m.since.IsZero():
		m.since = now
	}
}

// counted returns the daemons that may use endpoints: those in the list and those that left it a short time ago. The
// set holds until the returned time.
func (m *members) counted() ([]ranked, time.Time) {
	all := append([]ranked(nil), m.present...)
	var until time.Time
	for _, d := range m.departed {
		all = append(all, d.ranked)
		if d.until.After(until) {
			until = d.until
		}
	}
	return all, until
}

// joinSettles is the number of settle times after which a daemon that found itself in the list uses its shares. Within
// one, every other daemon counts it, unless it was removed again before; with one more, it has seen its removal.
const joinSettles = 2

// joined returns the time from which this daemon may use its shares.
func (m *members) joined() time.Time { return m.since.Add(joinSettles * m.settle) }
