package cachemove

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/pool"
)

// Endpoints is the Fleet of a daemon: its host list and its pool.
type Endpoints struct {
	pool *pool.Pool
	list func() *hostlist.List
	now  func() time.Time

	index atomic.Pointer[index] // of the newest list
}

type index struct {
	list   *hostlist.List
	byHash map[uint64]int
}

// NewEndpoints returns the fleet of a pool and of a host list, which may be nil and must not change once returned.
func NewEndpoints(p *pool.Pool, list func() *hostlist.List, now func() time.Time) *Endpoints {
	return &Endpoints{pool: p, list: list, now: now}
}

// Host implements Fleet.
func (e *Endpoints) Host(hash uint64) (hostlist.Host, bool) {
	list := e.list()
	if list == nil {
		return hostlist.Host{}, false
	}
	x := e.index.Load()
	if x == nil || x.list != list {
		x = indexed(list)
		e.index.Store(x)
	}
	i, ok := x.byHash[hash]
	if !ok {
		return hostlist.Host{}, false
	}
	return list.Hosts[i], true
}

func indexed(list *hostlist.List) *index {
	x := &index{list: list, byHash: map[uint64]int{}}
	for i, h := range list.Hosts {
		if h.Role == hostlist.RoleEndpoint {
			x.byHash[Hash(h.ID)] = i
		}
	}
	return x
}

// State implements Fleet.
func (e *Endpoints) State(id string) (pool.EndpointState, bool) {
	for _, s := range e.pool.Dump(e.now(), math.MaxInt) {
		if s.ID == id {
			return s, true
		}
	}
	return pool.EndpointState{}, false
}
