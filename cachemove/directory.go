package cachemove

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/pool"
)

// PoolDirectory is the Directory of a daemon. It reads the daemon's host list and its pool. It is safe for concurrent use.
type PoolDirectory struct {
	pool *pool.Pool
	list func() *hostlist.List
	now  func() time.Time

	index atomic.Pointer[hashIndex] // of the newest list
}

// hashIndex maps the hash of each endpoint to its position in a host list.
type hashIndex struct {
	list   *hostlist.List
	byHash map[uint64]int
}

// NewPoolDirectory returns a directory that reads a pool and the newest host list. A list may be nil, and must not change
// once list has returned it.
func NewPoolDirectory(p *pool.Pool, list func() *hostlist.List, now func() time.Time) *PoolDirectory {
	return &PoolDirectory{pool: p, list: list, now: now}
}

// Host implements Directory.
func (d *PoolDirectory) Host(hash uint64) (hostlist.Host, bool) {
	list := d.list()
	if list == nil {
		return hostlist.Host{}, false
	}
	index := d.index.Load()
	if index == nil || index.list != list {
		index = newHashIndex(list)
		d.index.Store(index)
	}
	i, ok := index.byHash[hash]
	if !ok {
		return hostlist.Host{}, false
	}
	return list.Hosts[i], true
}

func newHashIndex(list *hostlist.List) *hashIndex {
	index := &hashIndex{list: list, byHash: map[uint64]int{}}
	for i, h := range list.Hosts {
		if h.Role == hostlist.RoleEndpoint {
			index.byHash[HashEndpoint(h.ID)] = i
		}
	}
	return index
}

// State implements Directory.
func (d *PoolDirectory) State(id string) (pool.EndpointState, bool) {
	for _, s := range d.pool.Dump(d.now(), math.MaxInt) {
		if s.ID == id {
			return s, true
		}
	}
	return pool.EndpointState{}, false
}
