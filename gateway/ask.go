package gateway

import (
	"context"
	"errors"
	mathrand "math/rand/v2"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
)

const (
	// watchShare is the part of the time within which a change has to be in force that may pass between two calls for
	// changes: half of it is left for the call and for a busy host. watchPause applies if that time is not known.
	watchShare = 0.5
	watchPause = 250 * time.Millisecond
	// watchJitter is the part of that time by which the daemons differ at random, so that the first one can tell the others
	// before they ask too.
	watchJitter = 0.2
	// leadPause and leadWait are the parts of that time for which the first daemon pauses, and then waits at the store for a
	// change. Together they end before the others' pauses: those hear of each change within leadPause, and ask by themselves
	// only if they do not hear from the first one.
	leadPause, leadWait = 0.3, 0.35
	// nearPause is that part for the first daemon of each failure domain: while the first one of all is silent, the others hear
	// from it before they would ask.
	nearPause = 0.7
	// livenessPause is the time between two renewals of the membership, which also show that the store answers. A renewal
	// costs a tenth of a watch.
	livenessPause = 1500 * time.Millisecond
	// retryFirst and retryMost are the pauses after a failed call of the store.
	retryFirst, retryMost = 150 * time.Millisecond, 600 * time.Millisecond
	// retrySpread is added to the longest pause for each daemon of the failure domain, so that their calls to a store that is away
	// do not grow with their number. The one that finds it back tells the others.
	retrySpread = 100 * time.Millisecond
	// probeTimeout bounds the call that finds out whether a lost store is back. A watch would wait for longer than its
	// outage lasts.
	probeTimeout = 600 * time.Millisecond
)

// ask reads the changes since the last ones. A store that was lost is probed first.
func (v *storeView) ask(lost, leads bool) (kv.Changes, error) {
	if lost && v.revision > 0 {
		if err := v.probe(); err != nil {
			return kv.Changes{}, err
		}
	}
	wait := time.Duration(0)
	if leads && !lost {
		wait = time.Duration(leadWait * float64(v.longestPause()))
	}
	return v.watch(v.revision, wait)
}

// leads reports whether this daemon is the first one, which follows the store for the others. One whose own entry is not listed
// yet does not know the others either: when all start at once, each of them would lead.
func (v *storeView) leads() bool {
	_, entered := v.entry(memberPrefix + v.g.spec.Name)
	return entered && v.rank() == 0
}

// rest pauses until the next call is due, or until another call finds the store away. What other daemons tell of the store
// puts the call off. Endpoints whose time to come back is over are dropped in the meantime.
func (v *storeView) rest(due time.Time, lost bool) {
	suspected := v.suspected
	if lost {
		suspected = nil // it is known
	}
	for now := time.Now(); now.Before(due); now = time.Now() {
		timer := time.NewTimer(v.nextLapse(due).Sub(now))
		select {
		case <-timer.C:
			v.apply(kv.Changes{}, time.Now())
		case m := <-v.told:
			if m.Regained {
				if lost {
					due = now
				}
			} else if next, ok := v.putOff(m, now); ok && next.After(due) {
				due = next
			}
			if v.behind {
				due = now
			}
		case <-suspected:
			due = now
		case <-v.g.ctx.Done():
			due = now
		}
		timer.Stop()
	}
}

// putOff puts told changes in force and returns the time at which the daemon has to ask by itself if it hears nothing more.
func (v *storeView) putOff(m toldChanges, now time.Time) (time.Time, bool) {
	current := v.current(m.Message)
	if !v.believe(m.Message, now) || !current {
		return time.Time{}, false
	}
	return m.arrived.Add(v.pause(v.leads()) - m.Age), true
}

// nextLapse returns the time at which an endpoint is dropped next if that is before a limit, else the limit.
func (v *storeView) nextLapse(limit time.Time) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, at := range v.lapsed {
		if at.Before(limit) {
			limit = at
		}
	}
	return limit
}

// longestRetry returns the longest pause after a failed call. The first daemon of a failure domain does not wait for the others.
func (v *storeView) longestRetry() time.Duration {
	if v.nearRank() == 0 {
		return retryMost
	}
	return max(retryMost, min(retrySpread*time.Duration(v.near()+1), v.longestPause()))
}

// pause returns the time from one call for changes until the next.
func (v *storeView) pause(leads bool) time.Duration {
	share := 1 - watchJitter*mathrand.Float64()
	switch {
	case leads:
		share = leadPause
	case v.listed() && v.nearRank() == 0:
		share = nearPause
	}
	return time.Duration(share * float64(v.longestPause()))
}

// longestPause returns the longest time from one call for changes until the next.
func (v *storeView) longestPause() time.Duration {
	if d := v.g.spec.Propagation; d > 0 {
		return time.Duration(watchShare * float64(d))
	}
	return watchPause
}

// watch waits for changes. It gives up when another call shows that the store does not answer.
func (v *storeView) watch(revision uint64, wait time.Duration) (kv.Changes, error) {
	select {
	case <-v.suspected: // of before
	default:
	}
	ctx, cancel := context.WithCancel(v.g.ctx)
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-v.suspected:
			cancel()
		case <-done:
		}
	}()
	if w, ok := v.g.spec.Store.(kv.Waiter); ok {
		return w.WatchFor(ctx, "", revision, wait)
	}
	return v.g.spec.Store.Watch(ctx, "", revision)
}

// suspect notes that a call of the store failed.
func (v *storeView) suspect() {
	select {
	case v.suspected <- struct{}{}:
	default:
	}
}

// probe reports whether the store answers. The renewal of a lease costs a tenth of a read, and shows that also if the lease has
// ended.
func (v *storeView) probe() error {
	ctx, cancel := context.WithTimeout(v.g.ctx, probeTimeout)
	defer cancel()
	if lease := kv.LeaseID(v.lease.Load()); lease != 0 {
		err := v.g.spec.Store.KeepAlive(ctx, lease)
		if errors.Is(err, kv.ErrNoLease) {
			return nil
		}
		return err
	}
	_, err := v.g.spec.Store.Get(ctx, memberPrefix+v.g.spec.Name)
	if errors.Is(err, kv.ErrNotFound) {
		return nil
	}
	return err
}
