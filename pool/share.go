package pool

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleytrail/bramleytrail/hostlist"
)

// minShare is the number of slots for which a daemon is assigned to an endpoint. A smaller share makes a daemon's part
// too small to absorb bursts; a larger one leaves a daemon too few endpoints.
const minShare = 4

// notAssigned is the rank of a daemon that may not use an endpoint.
const notAssigned = -1

// position is a daemon's place among the daemons assigned to an endpoint.
type position struct {
	rank    int
	members int
}

// share returns the part of limit that belongs to the position. The shares of all ranks add up to limit.
func (p position) share(limit int64) int64 {
	if p.rank == notAssigned || p.members == 0 {
		return 0
	}
	n := limit / int64(p.members)
	if int64(p.rank) < limit%int64(p.members) {
		n++
	}
	return n
}

// assignmentSize returns the number of daemons assigned to an endpoint with the given slots.
func assignmentSize(daemons, slots int) int {
	return min(daemons, max(1, slots/minShare))
}

// locate computes self's position for an endpoint. Half of the assigned daemons come from the endpoint's own failure
// domain, so that a domain that is cut off can use its endpoints; they have the lowest ranks, which get the slots of a
// cold endpoint. The daemons that precede self are counted, not sorted: at 370 daemons and 840 endpoints the sort took
// most of the time of a change of the host list.
func locate(self string, endpoint hostlist.Host, daemons []hostlist.Host, slots int) position {
	listed, selfLocal := false, false
	for i := range daemons {
		if daemons[i].ID == self {
			listed, selfLocal = true, daemons[i].Domain == endpoint.Domain
			break
		}
	}
	locals, ahead := 0, 0
	own := rendezvous(self, endpoint.ID)
	for i := range daemons {
		d := &daemons[i]
		local := d.Domain == endpoint.Domain
		if local {
			locals++
		}
		if listed && local == selfLocal && d.ID != self {
			if score := rendezvous(d.ID, endpoint.ID); score > own || score == own && d.ID < self {
				ahead++
			}
		}
	}
	size := assignmentSize(len(daemons), slots)
	fromLocal := min(locals, (size+1)/2)
	fromRemote := min(len(daemons)-locals, size-fromLocal)
	fromLocal = min(locals, size-fromRemote)
	pos := position{rank: notAssigned, members: fromLocal + fromRemote}
	switch {
	case !listed:
	case selfLocal && ahead < fromLocal:
		pos.rank = ahead
	case !selfLocal && ahead < fromRemote:
		pos.rank = fromLocal + ahead
	}
	return pos
}

func rendezvous(daemon, endpoint string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(daemon) // never fails
	_, _ = d.WriteString("|")
	_, _ = d.WriteString(endpoint)
	return d.Sum64()
}

// positions is a daemon's current position for an endpoint and the earlier ones that other daemons may still assume.
type positions struct {
	current position
	earlier []expiring
}

type expiring struct {
	position
	until time.Time
}

// change sets a new position. Until settle has passed, the smaller share of the old and new position applies, so that
// the shares in use add up to at most the limit while daemons learn of the change at different times.
func (p *positions) change(next position, now time.Time, settle time.Duration) {
	if next == p.current {
		return
	}
	p.earlier = slices.DeleteFunc(p.earlier, func(e expiring) bool { return !now.Before(e.until) })
	p.earlier = append(p.earlier, expiring{p.current, now.Add(settle)})
	p.current = next
}

func (p *positions) share(limit int64, now time.Time) int64 {
	n := p.current.share(limit)
	for _, e := range p.earlier {
		if now.Before(e.until) {
			n = min(n, e.share(limit))
		}
	}
	return n
}
