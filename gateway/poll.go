package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
)

const (
	// maxPollShare is the fraction of Spec.Propagation that may pass between two polls of the store for changes. Half of that
	// time is left for the call itself and for a busy host. defaultPollInterval applies if Propagation is not known.
	maxPollShare        = 0.5
	defaultPollInterval = 250 * time.Millisecond
	// pollJitter is the fraction of the longest poll interval by which the intervals of daemons vary at random, so that the one
	// that polls first can notify the others before they poll too.
	pollJitter = 0.2
	// leaderPollShare and leaderWaitShare are the fractions of the longest poll interval for which the leader pauses between
	// polls, and for which its poll then waits at the store for a change. Their sum is below the other daemons' intervals:
	// those are notified of each change within leaderPollShare, and poll only if they receive nothing from the leader.
	leaderPollShare, leaderWaitShare = 0.3, 0.35
	// domainLeaderPollShare is the fraction of the longest poll interval after which the leader of a failure domain polls.
	// While the leader of all daemons is unresponsive, it notifies its peers before they would poll.
	domainLeaderPollShare = 0.7
	// leaseRenewInterval is the time between two renewals of the membership's lease. They also show whether the store answers,
	// at a tenth of the cost of a watch.
	leaseRenewInterval = 1500 * time.Millisecond
	// firstRetryDelay and maxRetryDelay bound the delay after a failed call of the store, which doubles with each failure.
	firstRetryDelay, maxRetryDelay = 150 * time.Millisecond, 600 * time.Millisecond
	// retryDelayPerPeer is the longest retry delay per daemon of the failure domain, so that the rate of their calls to an
	// unavailable store does not grow with their number. The daemon that finds the store available again notifies its peers.
	retryDelayPerPeer = 100 * time.Millisecond
	// probeTimeout bounds the call that checks whether an unavailable store is back, where a watch could wait for longer than
	// the outage lasts. It also bounds lease renewals.
	probeTimeout = 600 * time.Millisecond
)

// poll reads the changes after the revision in force. An unavailable store is first probed, which is cheaper. The leader waits at
// the store for a change.
func (v *storeView) poll(unavailable, isLeader bool) (kv.Changes, error) {
	if unavailable && !v.revision.IsZero() {
		if err := v.probe(); err != nil {
			return kv.Changes{}, err
		}
	}
	wait := time.Duration(0)
	if isLeader && !unavailable {
		wait = time.Duration(leaderWaitShare * float64(v.maxPollInterval()))
		wait = max(0, time.Until(v.minimum.nextCheck(time.Now().Add(wait))))
	}
	return v.watch(v.revision, wait)
}

// isLeader reports whether this daemon is the leader: the member with the lowest name, which polls the store on behalf of all
// daemons. A daemon that has not yet read its own membership entry is not the leader, since it does not know the others
// either: when all daemons start at once, each would consider itself the leader.
func (v *storeView) isLeader() bool {
	_, registered := v.entry(memberPrefix + v.g.spec.Name)
	return registered && v.rank() == 0
}

// waitForNextPoll returns when the next poll is due, when another call finds the store unavailable, or when the daemon stops.
// Meanwhile it applies notifications, which defer the poll, and drops lapsed endpoints whose grace period is over. Notifications that have
// arrived are applied before a poll, which would return all changes once more. While the store is unavailable, a notification of its
// recovery makes the poll due at once.
func (v *storeView) waitForNextPoll(due time.Time, unavailable bool) {
	callFailed := v.callFailed
	if unavailable {
		callFailed = nil // already known
	}
	for now := time.Now(); now.Before(due) || len(v.notifications) > 0 && !v.pollNow && v.g.ctx.Err() == nil; now = time.Now() {
		timer := time.NewTimer(v.nextExpiry(due).Sub(now))
		select {
		case <-timer.C:
			v.apply(kv.Changes{}, time.Now())
		case <-v.minimum.changed:
			v.apply(kv.Changes{}, time.Now())
		case m := <-v.notifications:
			v.noteNewerEra(m.Message, now)
			if m.StoreRecovered {
				if unavailable {
					due = now
					if v.rereadAt.After(now) { // all daemons read everything, so that they must not do it at once
						due = v.rereadAt
					}
				}
			} else if next, ok := v.acceptAndDefer(m, now); ok && next.After(due) {
				due = next
			}
			if v.pollNow && !unavailable { // otherwise the delays between attempts limit the calls to a store that refuses this host
				due = now
			}
			if at := v.rereadAt; !unavailable && !at.IsZero() && at.Before(due) {
				due = at
			}
		case <-callFailed:
			due = now
		case <-v.g.ctx.Done():
			due = now
		}
		timer.Stop()
	}
}

// acceptAndDefer applies the changes of a notification. It returns the time at which the daemon has to poll if it receives no
// further notification, and false if the notification does not defer the poll.
func (v *storeView) acceptAndDefer(m notification, now time.Time) (time.Time, bool) {
	isNewest := v.isNewest(m.Message)
	aged := m.Message
	aged.Age += now.Sub(m.receivedAt)
	if !v.accept(aged, now) || !isNewest {
		return time.Time{}, false
	}
	return m.receivedAt.Add(v.pollInterval(v.isLeader()) - m.Age), true
}

// nextExpiry returns the earliest time at which a lapsed endpoint is dropped, a held entry is applied or documents may no longer be held
// back, but no later than limit.
func (v *storeView) nextExpiry(limit time.Time) time.Time {
	limit = v.minimum.nextCheck(limit)
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, at := range v.lapsed {
		if at.Before(limit) {
			limit = at
		}
	}
	for _, h := range v.heldEntries {
		if h.until.Before(limit) {
			limit = h.until
		}
	}
	return limit
}

// retryDelayLimit returns the longest delay after a failed call. For the leader of a failure domain it does not grow with the
// number of peers.
func (v *storeView) retryDelayLimit() time.Duration {
	if v.domainRank() == 0 {
		return maxRetryDelay
	}
	return max(maxRetryDelay, min(retryDelayPerPeer*time.Duration(v.domainPeers()+1), v.maxPollInterval()))
}

// pollInterval returns the time from one poll until the next, with jitter for daemons that are not leaders.
func (v *storeView) pollInterval(isLeader bool) time.Duration {
	share := 1 - pollJitter*v.random()
	switch {
	case isLeader:
		share = leaderPollShare
	case v.loaded() && v.domainRank() == 0:
		share = domainLeaderPollShare
	}
	return time.Duration(share * float64(v.maxPollInterval()))
}

// maxPollInterval returns the longest time from one poll until the next.
func (v *storeView) maxPollInterval() time.Duration {
	if d := v.g.spec.Propagation; d > 0 {
		return time.Duration(maxPollShare * float64(d))
	}
	return defaultPollInterval
}

// watch waits for changes after a revision, for at most wait if the store supports that. It is cancelled when another call of
// the store fails.
func (v *storeView) watch(revision kv.Revision, wait time.Duration) (kv.Changes, error) {
	select {
	case <-v.callFailed: // a failure before this call
	default:
	}
	ctx, cancel := context.WithCancel(v.g.ctx)
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-v.callFailed:
			cancel()
		case <-done:
		}
	}()
	if w, ok := v.g.spec.Store.(kv.TimedWatcher); ok {
		return w.WatchFor(ctx, "", revision, wait)
	}
	return v.g.spec.Store.Watch(ctx, "", revision)
}

// reportFailure notifies run that a call of the store has failed.
func (v *storeView) reportFailure() {
	select {
	case v.callFailed <- struct{}{}:
	default:
	}
}

// probe checks whether the store answers, and returns the error of the call if not. It renews the membership's lease if there is
// one, which costs a tenth of a read; a store that answers that the lease has expired is available too.
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
