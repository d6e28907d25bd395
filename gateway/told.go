package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/notice"
)

// maxTold bounds the messages about the store that wait for the daemon. A call takes a second at most; more than a few daemons
// tell something within it only if each of them asks by itself.
const maxTold = 256

// maxToldBytes bounds the bytes a second that a daemon takes to tell the others of the store, less than a tenth of a link of 10 Mbit/s, and
// messageFrame is about what a message takes beside its changes, and a change beside its key and value. Few daemons tell;
// before thousands of endpoints that change all the time, each daemon has to ask by itself.
const maxToldBytes, messageFrame = 100_000, 60

// messageBytes bounds the keys and values in one message about the store; the rest of a datagram is for its framing.
const messageBytes = notice.MaxBytes / 2

// tells reports whether this daemon tells the others what it learns: the first one of each failure domain does. If each did
// that asks by itself, messages would grow with the square of the daemons whenever the first one is silent.
func (v *storeView) tells() bool {
	return v.countOf(func(m member) bool { return m.domain == v.g.spec.Domain && m.id < v.g.spec.Name }) == 0
}

// tell spreads changes to the other daemons, so that few of them have to ask the store. Operators' documents are left to each
// daemon: they are rare, large, and say who may do what.
func (v *storeView) tell(after uint64, c kv.Changes, asked time.Time) {
	x := v.g.notices.Load()
	if x == nil || c.Reset || !v.tells() {
		return
	}
	for _, m := range v.messages(after, c) {
		if !v.toldBytes.AllowN(time.Now(), v.tellSize(m)) {
			return // the others ask by themselves
		}
		m.Age = time.Since(asked)
		if err := x.Send(m); err != nil {
			v.g.log.WithError(err).Debug("changes not told to the other daemons")
			return
		}
	}
}

// tellSize returns about how many bytes it takes to tell a message to all other daemons.
func (v *storeView) tellSize(m notice.Message) int {
	bytes := messageFrame
	for _, c := range m.Changes {
		bytes += messageFrame + len(c.Key) + len(c.Value)
	}
	return bytes * (v.members() - 1)
}

// messages returns changes in messages that each fit in a datagram, in the order of their revisions; none if operators'
// documents are among them.
func (v *storeView) messages(after uint64, c kv.Changes) []notice.Message {
	entries := slices.SortedStableFunc(slices.Values(c.Entries), func(a, b kv.Entry) int { return cmp.Compare(a.Revision, b.Revision) })
	m := notice.Message{After: after, Revision: c.Revision}
	var out []notice.Message
	size := 0
	for _, e := range entries {
		if v.g.spec.Documents.Kind(e.Key) == KindOperator {
			return nil
		}
		bytes := len(e.Key) + len(e.Value)
		if last := len(m.Changes) - 1; last >= 0 && m.Changes[last].Revision < e.Revision && (size+bytes > messageBytes || last+1 == notice.MaxChanges) {
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

// toldChanges is a message with the time of its arrival.
type toldChanges struct {
	notice.Message
	arrived time.Time
}

// hear takes what another daemon tells of the store. A message that finds too many others waiting is dropped: the next call
// brings what it held.
func (v *storeView) hear(m notice.Message) {
	select {
	case v.told <- toldChanges{m, time.Now()}:
	default:
	}
}

// believe puts told changes in force if they follow those in force without a gap. It reports whether the daemon is now up to
// date as of the message.
func (v *storeView) believe(m notice.Message, now time.Time) bool {
	if v.revision == 0 || m.After > v.revision || m.Revision < v.revision {
		return false
	}
	c := kv.Changes{Revision: m.Revision}
	for _, e := range m.Changes {
		if e.Revision > v.revision && v.g.spec.Documents.Kind(e.Key) != KindOperator {
			c.Entries = append(c.Entries, kv.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision, Deleted: e.Deleted})
		}
	}
	v.follow(c, now)
	return true
}
