package gateway

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/notice"
	"github.com/bramleytrail/bramleytrail/pause"
)

// maxTold bounds the messages about the store that wait for the daemon. A call takes a second at most; more than a few daemons
// tell something within it only if each of them asks by itself.
const maxTold = 256

const (
	// toldShare is the part of the host's link that messages about the store may take, and toldBurst the time of the whole link that
	// they may take at once, when all daemons start or return. leastTold applies if the link is not known, in bytes a second. Before
	// thousands of endpoints that change all the time, each daemon has to ask by itself.
	toldShare, toldBurst, leastTold = 0.08, 500 * time.Millisecond, 100_000
	// messageFrame is about what a message takes beside its changes, and a change beside its key and value, in bytes.
	messageFrame = 60
	// staleTries and stalePause bound the cheap reads of a document until one is as new as the word on it.
	staleTries, stalePause = 4, 200 * time.Millisecond
)

// toldLimiter returns the limit to the bytes that a daemon takes to tell the others of the store.
func toldLimiter(linkBytes int64) *rate.Limiter {
	if linkBytes <= 0 {
		return rate.NewLimiter(leastTold, 2*leastTold)
	}
	return rate.NewLimiter(rate.Limit(toldShare*float64(linkBytes)), int(toldBurst.Seconds()*float64(linkBytes)))
}

// messageBytes bounds the keys and values in one message about the store; the rest of a datagram is for its framing.
const messageBytes = notice.MaxBytes / 2

// tells reports whether this daemon tells the others what it learns: the first one of each failure domain does. If each did
// that asks by itself, messages would grow with the square of the daemons whenever the first one is silent.
func (v *storeView) tells() bool { return v.nearRank() == 0 }

// nearRank is the place of this daemon among those of its failure domain, 0 for the first one.
func (v *storeView) nearRank() int {
	return v.countOf(func(m member) bool { return m.domain == v.g.spec.Domain && m.id < v.g.spec.Name })
}

// tell spreads changes to the other daemons, so that few of them have to ask the store: the first daemon of all to each failure
// domain, another one to its own.
func (v *storeView) tell(after uint64, c kv.Changes, asked time.Time) {
	x := v.g.notices.Load()
	if x == nil || c.Reset || !v.tells() {
		return
	}
	first := v.rank() == 0
	for _, m := range v.messages(after, c) {
		m.From, m.Asked = v.g.spec.Name, int64(asked.Sub(v.g.born))+v.g.born.UnixNano() // grows though the time of day is set back
		if !v.mayTell(m, first) {
			return // the others ask by themselves
		}
		m.Age = time.Since(asked)
		send := x.SendIn
		if first {
			send = x.SendAll
		}
		if err := send(v.g.spec.Domain, m); err != nil {
			v.g.log.WithError(err).Debug("changes not told to the other daemons")
			return
		}
	}
}

// mayTell takes the bytes of a message about the store from the limit.
func (v *storeView) mayTell(m notice.Message, beyond bool) bool {
	copies := v.near()
	if beyond {
		copies += v.relays()
	}
	return v.toldBytes.AllowN(time.Now(), copies*messageSize(m))
}

// relays returns the number of daemons of other failure domains that pass messages on.
func (v *storeView) relays() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	domains := map[string]int{}
	eachMember(v.own, func(m member) { domains[m.domain]++ })
	n := 0
	for domain, daemons := range domains {
		if domain != v.g.spec.Domain {
			n += min(daemons, notice.Relays)
		}
	}
	return n
}

// messageSize returns about how many bytes a message about the store takes.
func messageSize(m notice.Message) int {
	bytes := messageFrame
	for _, c := range m.Changes {
		bytes += messageFrame + len(c.Key) + len(c.Value)
	}
	return bytes
}

// passOn sends a message that has come from another failure domain to the daemons of this one.
func (g *Gateway) passOn(m notice.Message) {
	m.Relay = false
	x := g.notices.Load()
	if x == nil || m.Revision > 0 && !g.view.mayTell(m, false) {
		return
	}
	if err := x.SendSoon(g.spec.Domain, m); err != nil {
		g.log.WithError(err).Debug("message not passed on to the other daemons")
	}
}

// current reports whether no newer message about the store of the same sender has come before. A daemon that was frozen passes on
// what has become old in the meantime.
func (v *storeView) current(m notice.Message) bool {
	if m.Asked < v.newest[m.From] {
		return false
	}
	if len(v.newest) >= maxTold {
		clear(v.newest)
	}
	v.newest[m.From] = m.Asked
	return true
}

// messages returns changes in messages that each fit in a datagram, in the order of their revisions. Of operators' documents,
// only the revision is told: they say who may do what, so that each daemon reads them from the store itself.
func (v *storeView) messages(after uint64, c kv.Changes) []notice.Message {
	entries := slices.SortedStableFunc(slices.Values(c.Entries), func(a, b kv.Entry) int { return cmp.Compare(a.Revision, b.Revision) })
	m := notice.Message{After: after, Revision: c.Revision}
	var out []notice.Message
	size := 0
	for _, e := range entries {
		if v.g.spec.Documents.Kind(e.Key) == KindOperator {
			e.Value = nil
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
		if e.Revision <= v.revision {
			continue
		}
		entry := kv.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision, Deleted: e.Deleted}
		if v.g.spec.Documents.Kind(e.Key) == KindOperator {
			var ok bool
			if entry, ok = v.readOperator(e); !ok {
				v.behind = true
				return false
			}
		}
		c.Entries = append(c.Entries, entry)
	}
	v.follow(c, now)
	return true
}

// readOperator reads an operators' document that has changed by another daemon's word. The cheap read may be older than the word;
// it is then not used, and the daemon asks the store for the changes at once.
func (v *storeView) readOperator(told notice.Change) (kv.Entry, bool) {
	store, ok := v.g.spec.Store.(kv.StaleReader)
	if !ok {
		return kv.Entry{}, false
	}
	var e kv.Entry
	var err error
	for try := range staleTries {
		if try > 0 && pause.For(v.g.ctx, stalePause) != nil {
			break
		}
		e, err = v.getStale(store, told.Key)
		if _, known := v.entry(told.Key); errors.Is(err, kv.ErrNotFound) && told.Deleted && known {
			return kv.Entry{Key: told.Key, Revision: told.Revision, Deleted: true}, true
		}
		if err == nil && e.Revision >= told.Revision {
			return e, true
		}
		if err != nil && !errors.Is(err, kv.ErrNotFound) {
			break
		}
	}
	v.g.log.WithField("key", told.Key).WithField("told", told.Revision).WithField("read", e.Revision).WithError(err).Info("changed document not read")
	return kv.Entry{}, false
}

func (v *storeView) getStale(store kv.StaleReader, key string) (kv.Entry, error) {
	ctx, cancel := context.WithTimeout(v.g.ctx, probeTimeout)
	defer cancel()
	return store.GetStale(ctx, key)
}

// tellRegained tells the daemons of the failure domain that the store answers again.
func (v *storeView) tellRegained(revision uint64) {
	x := v.g.notices.Load()
	if x == nil {
		return
	}
	if err := x.SendIn(v.g.spec.Domain, notice.Message{From: v.g.spec.Name, Revision: revision, After: revision, Regained: true}); err != nil {
		v.g.log.WithError(err).Debug("return of the store not told to the other daemons")
	}
}
