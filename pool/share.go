package pool

import (
	"github.com/cespare/xxhash/v2"

	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/object"
)

// minShare is the number of slots for which a daemon is assigned to an endpoint. With 4, a daemon of the target fleet
// has no endpoint for 1 in 50 versions at 128 slots; with 1, it polls twice as many endpoints.
const minShare = 2

// notAssigned is the rank of a daemon that may not use an endpoint.
const notAssigned = -1

// place is a daemon's place among all daemons for one endpoint. Neither the rank nor the number of daemons falls when a
// daemon is added to the set, so no share computed from a place grows when the set does. A daemon that computes its
// share from a superset of the daemons that use the endpoint therefore uses at most its part.
type place struct {
	rank    int
	daemons int
}

// members returns the number of daemons that have a share of an endpoint with the given slots.
func (p place) members(slots int) int { return min(p.daemons, max(1, slots/minShare)) }

func (p place) assigned(slots int) bool { return p.rank != notAssigned && p.rank < p.members(slots) }

// share returns the part of limit that belongs to the place. The shares of all ranks add up to limit.
func (p place) share(limit int64, slots int) int64 {
	if !p.assigned(slots) {
		return 0
	}
	n := int64(p.members(slots))
	return max(0, (limit-int64(p.rank)+n-1)/n)
}

// limits are a service's limits and the size of the largest request that a team may send.
type limits struct {
	object.EndpointLimits
	largest int64 // tokens
}

// tokens returns the place's part of the token limit. If an equal share is smaller than the largest request, half of
// the limit is shared equally and the other half goes to the first ranks, as many as it lifts to the largest request.
// Otherwise such a request could run nowhere, although the endpoint can hold it. The largest request counts as at most
// half of the limit.
func (p place) tokens(lim *limits) int64 {
	if !p.assigned(lim.Slots) {
		return 0
	}
	n := int64(p.members(lim.Slots))
	half := lim.Tokens / 2
	largest := min(lim.largest, half)
	if lim.Tokens/n >= largest {
		return lim.Tokens / n
	}
	common := half / n
	if int64(p.rank) < half/(largest-common) {
		return largest
	}
	return common
}

// locate computes self's place for an endpoint. The daemons of the endpoint's own failure domain and the others
// alternate, each in the order of their rendezvous hash, and a daemon of the own domain is first. So about half of the
// members are in the own domain, and a domain that is cut off can use its endpoints.
func locate(self string, endpoint hostlist.Host, daemons []ranked) place {
	key := xxhash.Sum64String(endpoint.ID)
	mine := notAssigned
	for i := range daemons {
		if daemons[i].id == self {
			mine = i
		}
	}
	if mine == notAssigned {
		return place{notAssigned, len(daemons)}
	}
	me := &daemons[mine]
	local, score := me.domain == endpoint.Domain, rendezvous(me.hash, key)
	before, same := 0, 0
	for i := range daemons {
		d := &daemons[i]
		if (d.domain == endpoint.Domain) != local {
			continue
		}
		same++
		if s := rendezvous(d.hash, key); s > score || s == score && d.id < self {
			before++
		}
	}
	others := len(daemons) - same
	if local {
		return place{before + min(before, others), len(daemons)}
	}
	return place{before + min(before+1, others), len(daemons)}
}

// ranked is a daemon with the hash of its identity.
type ranked struct {
	id, domain string
	hash       uint64
}

// rendezvous mixes the hashes of a daemon and an endpoint with the finalizer of SplitMix64.
func rendezvous(daemon, endpoint uint64) uint64 { return mix(daemon + mix(endpoint)) }

func mix(z uint64) uint64 {
	z += 0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
