package pool

import (
	"github.com/cespare/xxhash/v2"

	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/selection"
)

// minShare is the number of slots per assigned daemon. With 4, a daemon of the target deployment has no endpoint for 1
// in 50 versions at 128 slots; with 1, it polls twice as many endpoints.
const minShare = 2

// unassigned is the rank of a daemon that may not use an endpoint.
const unassigned = -1

// assignment is the rank of a daemon among all daemons for one endpoint. When a daemon is added to the set, neither the
// rank nor the number of daemons falls, so no share computed from an assignment grows. A daemon that computes its share
// from a superset of the daemons that use the endpoint therefore never uses more than its part.
type assignment struct {
	rank    int
	daemons int
}

// sharingDaemons returns the number of daemons that have a share of an endpoint with the given number of slots.
func (a assignment) sharingDaemons(slots int) int { return min(a.daemons, max(1, slots/minShare)) }

func (a assignment) hasShare(slots int) bool {
	return a.rank != unassigned && a.rank < a.sharingDaemons(slots)
}

// share returns the part of limit that belongs to the daemon. The shares of all ranks add up to limit.
func (a assignment) share(limit int64, slots int) int64 {
	if !a.hasShare(slots) {
		return 0
	}
	n := int64(a.sharingDaemons(slots))
	return max(0, (limit-int64(a.rank)+n-1)/n)
}

// limits are the limits of a service and the size of the largest request that any team may send.
type limits struct {
	object.EndpointLimits
	maxRequestTokens int64
}

// tokenShare returns the daemon's part of the token limit. If an equal share is smaller than the largest request, one
// half of the limit is shared equally, and the other half raises as many of the first ranks as possible to the largest
// request. Otherwise no daemon could send such a request, although the endpoint can hold it. The largest request counts
// as at most half of the limit.
func (a assignment) tokenShare(lim *limits) int64 {
	if !a.hasShare(lim.Slots) {
		return 0
	}
	n := int64(a.sharingDaemons(lim.Slots))
	half := lim.Tokens / 2
	maxRequest := min(lim.maxRequestTokens, half)
	if lim.Tokens/n >= maxRequest {
		return lim.Tokens / n
	}
	baseShare := half / n
	if int64(a.rank) < half/(maxRequest-baseShare) {
		return maxRequest
	}
	return baseShare
}

// assignmentFor computes the assignment of the daemon self to an endpoint. Ranks alternate between the daemons of the
// endpoint's failure domain and the others, starting with the former, and each group is in the order of its rendezvous
// hashes. About half of the sharing daemons are thus in the endpoint's domain, and a domain that is partitioned from
// the others can still use its endpoints.
func assignmentFor(self string, endpoint hostlist.Host, daemons []hashedDaemon) assignment {
	key := xxhash.Sum64String(endpoint.ID)
	selfIndex := unassigned
	for i := range daemons {
		if daemons[i].id == self {
			selfIndex = i
		}
	}
	if selfIndex == unassigned {
		return assignment{unassigned, len(daemons)}
	}
	own := &daemons[selfIndex]
	local, score := own.domain == endpoint.Domain, selection.Rendezvous(own.hash, key)
	ahead, groupSize := 0, 0
	for i := range daemons {
		d := &daemons[i]
		if (d.domain == endpoint.Domain) != local {
			continue
		}
		groupSize++
		if s := selection.Rendezvous(d.hash, key); s > score || s == score && d.id < self {
			ahead++
		}
	}
	others := len(daemons) - groupSize
	if local {
		return assignment{ahead + min(ahead, others), len(daemons)}
	}
	return assignment{ahead + min(ahead+1, others), len(daemons)}
}

// hashedDaemon is a daemon with the hash of its ID.
type hashedDaemon struct {
	id, domain string
	hash       uint64
}
