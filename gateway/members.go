package gateway

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/pause"
)

// memberSeparator stands between the failure domain and the address in a member's entry.
const memberSeparator = " "

func (v *storeView) members() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return max(1, v.count)
}

// member is a daemon's entry.
type member struct{ id, domain, addr string }

// eachMember calls f with each daemon among the entries, in no order.
func eachMember(own map[string]kv.Entry, f func(member)) {
	for key, e := range own {
		if id, ok := strings.CutPrefix(key, memberPrefix); ok {
			domain, addr, _ := strings.Cut(string(e.Value), memberSeparator)
			f(member{id, domain, addr})
		}
	}
}

// countOf returns the number of daemons that a condition holds for.
func (v *storeView) countOf(ok func(member) bool) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	eachMember(v.own, func(m member) {
		if ok(m) {
			n++
		}
	})
	return n
}

// near returns the number of other daemons in this one's failure domain.
func (v *storeView) near() int {
	return v.countOf(func(m member) bool { return m.domain == v.g.spec.Domain && m.id != v.g.spec.Name })
}

// rank returns the place of this daemon among the members, 0 for the first one.
func (v *storeView) rank() int { return v.countOf(func(m member) bool { return m.id < v.g.spec.Name }) }

// firstListWait bounds the time for which a daemon that starts waits to see the entry of an earlier process.
const firstListWait = time.Second

// join keeps this daemon's entry among the members.
func (g *Gateway) join() {
	timer := time.NewTimer(firstListWait)
	select {
	case <-g.view.firstList:
	case <-timer.C:
	case <-g.ctx.Done():
	}
	timer.Stop()
	wait := retryFirst
	for g.ctx.Err() == nil {
		lease, err := g.enter()
		if err != nil {
			if errors.Is(err, kv.ErrUnavailable) {
				g.view.suspect()
			}
			g.log.WithError(err).Info("membership not entered")
			_ = pause.For(g.ctx, wait)
			wait = min(retryMost, 2*wait)
			continue
		}
		wait = retryFirst
		g.view.lease.Store(uint64(lease))
		g.keep(lease)
	}
}

// enter writes this daemon's entry. That of an earlier process, whose lease has not ended yet, is replaced.
func (g *Gateway) enter() (kv.LeaseID, error) {
	lease, err := g.spec.Store.Grant(g.ctx, memberTTL)
	if err != nil {
		return 0, err
	}
	key := memberPrefix + g.spec.Name
	value := []byte(g.spec.Domain + memberSeparator + g.spec.PeerAddr)
	known, _ := g.view.entry(key)
	_, err = g.spec.Store.CAS(g.ctx, key, value, known.Revision, lease)
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

// keep renews the lease until it has ended.
func (g *Gateway) keep(lease kv.LeaseID) {
	for {
		if pause.For(g.ctx, livenessPause) != nil {
			return
		}
		if g.view.lost.Load() {
			continue // the call that finds out whether the store is back renews the lease
		}
		err := g.renew(lease)
		if errors.Is(err, kv.ErrNoLease) {
			g.log.Info("membership lapsed")
			return
		}
		if errors.Is(err, kv.ErrUnavailable) {
			g.view.suspect()
		}
	}
}

func (g *Gateway) renew(lease kv.LeaseID) error {
	ctx, cancel := context.WithTimeout(g.ctx, probeTimeout)
	defer cancel()
	return g.spec.Store.KeepAlive(ctx, lease)
}

// leave ends this daemon's membership.
func (v *storeView) leave() {
	lease := v.lease.Load()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), retryFirst)
	defer cancel()
	if err := v.g.spec.Store.Revoke(ctx, kv.LeaseID(lease)); err != nil {
		v.g.log.WithError(err).Info("membership not ended; it lapses")
	}
}
