package gateway

import (
	"errors"
	"slices"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/notice"
)

// maxPendingNotifications bounds the notifications of store changes that wait while the daemon polls, and the senders in
// storeView.newestPoll. A poll takes a second at most; more than a few daemons send notifications within it only if each of
// them polls the store.
const maxPendingNotifications = 256

// maxPayloadBytes bounds the keys and values in one notification; the rest of the datagram is for the encoding.
const maxPayloadBytes = notice.MaxMessageBytes / 2

// isDomainLeader reports whether this daemon is the first one of its failure domain in the order of members. Only domain leaders
// notify others of the changes that they read: if each daemon that polls did so, the messages would grow with the square of the
// number of daemons whenever the leader is unresponsive.
func (v *storeView) isDomainLeader() bool { return v.domainRank() == 0 }

// domainRank returns the position of this daemon among those of its failure domain in the order of members, 0 for the first.
func (v *storeView) domainRank() int {
	self := v.g.self()
	return v.countMembers(func(m member) bool { return m.domain == self.domain && m.precedes(self) })
}

// notifyPeers sends changes after a revision to other daemons, so that few of them have to poll the store. The leader sends them
// to all failure domains, another domain leader to its own domain, other daemons to none. polledAt is the time at which the
// poll began that read the changes.
func (v *storeView) notifyPeers(after kv.Revision, c kv.Changes, polledAt time.Time) {
	x := v.g.exchange.Load()
	if x == nil || c.Reset || !v.isDomainLeader() {
		return
	}
	list := v.splitChanges(after, c)
	for i := range list {
		m := &list[i]
		m.From, m.PolledAt = v.g.spec.Name, int64(polledAt.Sub(v.g.startedAt))+v.g.startedAt.UnixNano() // monotonic, even if the wall clock is set back
		m.Age = time.Since(polledAt)
	}
	send := x.SendToDomain
	if v.rank() == 0 {
		send = x.SendAll
	}
	if err := send(v.g.spec.Domain, list...); err != nil {
		v.g.log.WithError(err).Debug("sending store changes to peers failed")
	}
}

// relayMessage forwards a message from another failure domain to the daemons of this one.
func (g *Gateway) relayMessage(m notice.Message) {
	m.Relay = false
	x := g.exchange.Load()
	if x == nil {
		return
	}
	if err := x.SendBatched(g.spec.Domain, m); err != nil {
		g.log.WithError(err).Debug("relaying message to peers failed")
	}
}

// isNewest reports whether no notification of a later poll by the same sender has been received. A daemon that was frozen relays
// notifications that have become outdated in the meantime.
func (v *storeView) isNewest(m notice.Message) bool {
	if m.PolledAt < v.newestPoll[m.From] {
		return false
	}
	if len(v.newestPoll) >= maxPendingNotifications {
		clear(v.newestPoll)
	}
	v.newestPoll[m.From] = m.PolledAt
	return true
}

// splitChanges returns the changes after a revision as notifications that each fit in a datagram, in the order of revisions. For
// an operators' document, the notification contains only the key and the revision: these documents control access, so each
// daemon reads them from the store.
func (v *storeView) splitChanges(after kv.Revision, c kv.Changes) []notice.Message {
	entries := slices.SortedStableFunc(slices.Values(c.Entries), func(a, b kv.Entry) int { return a.Revision.Compare(b.Revision) })
	m := notice.Message{After: after, Revision: c.Revision}
	var out []notice.Message
	size := 0
	for _, e := range entries {
		if e.Key == usageKey {
			continue // only a new holder of the duties needs it, and reads it
		}
		if v.g.spec.Documents.Kind(e.Key) == KindOperator {
			e.Value = nil
		}
		bytes := len(e.Key) + len(e.Value)
		if last := len(m.Changes) - 1; last >= 0 && m.Changes[last].Revision.Compare(e.Revision) < 0 && (size+bytes > maxPayloadBytes || last+1 == notice.MaxChanges) {
			full := m
			full.Revision = m.Changes[last].Revision
			out = append(out, full)
			m, size = notice.Message{After: full.Revision, Revision: c.Revision}, 0
		}
		m.Changes = append(m.Changes, notice.Change{Key: e.Key, Value: e.Value, Revision: e.Revision, Deleted: e.Deleted})
		size += bytes
	}
	return append(out, m)
}

// notification is a message about changes in the store, with the time at which it was received.
type notification struct {
	notice.Message
	receivedAt time.Time
}

// receive queues a notification of another daemon. It is dropped if too many are waiting; the next poll reads its changes.
func (v *storeView) receive(m notice.Message) {
	select {
	case v.notifications <- notification{m, time.Now()}:
	default:
	}
}

// accept applies the changes of a notification if they follow the revision in force without a gap. It reports whether the view
// is now up to date as of the notification. If a changed document can't be read, it applies nothing and sets pollNow.
func (v *storeView) accept(m notice.Message, now time.Time) bool {
	if v.revision.IsZero() || m.After.Compare(v.revision) > 0 || m.Revision.Compare(v.revision) < 0 {
		return false
	}
	c := kv.Changes{Revision: m.Revision}
	for _, e := range m.Changes {
		if e.Revision.Compare(v.revision) <= 0 {
			continue
		}
		entry := kv.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision, Deleted: e.Deleted}
		if v.g.spec.Documents.Kind(e.Key) == KindOperator {
			v.docPending.Store(true)
			if v.unavailable.Load() { // the poll after the outage reads it
				return false
			}
			var ok bool
			if entry, ok = v.readOperatorDoc(e); !ok {
				v.pollNow = true
				return false
			}
		}
		c.Entries = append(c.Entries, entry)
	}
	v.advance(c, now)
	v.noteCurrent(now.Add(-m.Age))
	return true
}

// readOperatorDoc returns an operators' document that has changed according to a notification. It reads the newest state from the store, which is
// shorter than all states that a poll returns, unless that state is in force already. It returns false if the read fails; the caller then
// polls at once.
func (v *storeView) readOperatorDoc(change notice.Change) (kv.Entry, bool) {
	held, known := v.entry(change.Key)
	if known && held.Revision.Compare(change.Revision) >= 0 {
		return held, true
	}
	e, err := v.g.spec.Store.Get(v.g.ctx, change.Key)
	if errors.Is(err, kv.ErrNotFound) && change.Deleted && known {
		return kv.Entry{Key: change.Key, Revision: change.Revision, Deleted: true}, true
	}
	if err == nil && e.Revision.Era == change.Revision.Era && e.Revision.Compare(change.Revision) >= 0 { // in a newer era, it may be older
		return e, true
	}
	v.g.log.WithField("key", change.Key).WithField("told", change.Revision).WithField("read", e.Revision).WithError(err).Info("changed document not read")
	return kv.Entry{}, false
}

// notifyRecovery notifies the peers of the failure domain that the store answers again.
func (v *storeView) notifyRecovery(revision kv.Revision) {
	x := v.g.exchange.Load()
	if x == nil {
		return
	}
	if err := x.SendToDomain(v.g.spec.Domain, notice.Message{From: v.g.spec.Name, Revision: revision, After: revision, StoreRecovered: true}); err != nil {
		v.g.log.WithError(err).Debug("sending notification of the store's recovery to peers failed")
	}
}
