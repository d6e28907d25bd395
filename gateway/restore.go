package gateway

import (
	"bytes"
	"strings"
	"time"

	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/notice"
)

const (
	// operatorHold is the time for which the operators' orders from before a restore of the store stay in force where the restored
	// store has other ones. Operators write their newer state again within it; endpoints take 2 s for theirs.
	operatorHold = 5 * time.Second
	// restoreSettle is the time after a restore by which also the states of releases are written again for orders that operators have
	// written within operatorHold.
	restoreSettle = operatorHold + time.Second
	// memberHold is the time for which daemons that a restored store does not list remain members. Each finds that its lease is lost
	// with its next renewal, which spreads their writes over leaseRenewInterval.
	memberHold = 2 * leaseRenewInterval
	// eraReadSpread is the time over which daemons read the store again after a peer has told them of a restore.
	eraReadSpread = 500 * time.Millisecond
)

// RestoreRule says when the state of an entry in a restored store replaces the one in force.
type RestoreRule int

// Rules for the entries of KindOperator.
const (
	RestoreNow       RestoreRule = iota
	RestoreByVersion             // at once unless its version is lower
	RestoreLater                 // after operatorHold, unless it is written again before
)

// RestoreRules is implemented by Documents whose store can be restored from a backup. Without it, RestoreNow applies to all entries.
type RestoreRules interface {
	// RestoreRule returns the rule for an entry, and its version if the rule depends on it.
	RestoreRule(e kv.Entry) (rule RestoreRule, version uint64)
}

// heldEntry is the state of an entry in a restored store that is applied at a time unless the entry is written before. Deleted means
// that the restored store does not have it.
type heldEntry struct {
	kv.Entry
	until time.Time
}

// isRestored reports whether changes are the first content of a newer era than that of the content in force.
func (v *storeView) isRestored(c kv.Changes) bool {
	return c.Reset && !v.revision.IsZero() && c.Revision.Era > v.revision.Era
}

// mergeRestored returns the changes that lead from the content in force to that of a restored store, as far as they apply at once. The
// others are held: the backup may be older than the content in force. An entry that was written after the highest revision in force is
// certainly newer.
func (v *storeView) mergeRestored(c kv.Changes, now time.Time) kv.Changes {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := kv.Changes{Revision: c.Revision}
	v.heldEntries = map[string]heldEntry{} // of an earlier restore
	listed := map[string]bool{}
	for _, e := range c.Entries {
		listed[e.Key] = true
		if hold := v.holdRestored(e, now); hold > 0 && e.Revision.Number <= v.revision.Number {
			v.heldEntries[e.Key] = heldEntry{e, now.Add(hold)}
		} else if hold >= 0 {
			out.Entries = append(out.Entries, e)
		}
	}
	for key := range v.endpoints {
		if _, pending := v.lapsed[key]; !listed[key] && !pending {
			v.lapsed[key] = now.Add(lapsedGrace)
		}
	}
	missing := func(entries map[string]kv.Entry) {
		for key, e := range entries {
			if listed[key] {
				continue
			}
			gone := kv.Entry{Key: key, Revision: kv.Revision{Era: c.Revision.Era}, Deleted: true}
			if hold := v.holdMissing(e); hold > 0 {
				v.heldEntries[key] = heldEntry{gone, now.Add(hold)}
			} else if hold == 0 {
				out.Entries = append(out.Entries, gone)
			}
		}
	}
	missing(v.operatorDocs)
	missing(v.ownEntries)
	v.g.log.WithField("era", c.Revision.Era).WithField("revision", c.Revision).WithField("in_force", v.revision).WithField("held", len(v.heldEntries)).
		WithField("lapsed_endpoints", len(v.lapsed)).Warn("the store was restored from a backup")
	return out
}

// holdRestored returns the time for which the state of an entry in a restored store is held: 0 if it applies at once, negative if it never
// does. The caller holds mu.
func (v *storeView) holdRestored(e kv.Entry, now time.Time) time.Duration {
	switch v.g.spec.Documents.Kind(e.Key) {
	case KindEndpoint:
		old, known := v.endpoints[e.Key]
		h, err := v.g.spec.Documents.Endpoint(e, now)
		if known && err == nil && old.Addr == h.Addr && old.Started == h.Started && old.State == h.State && old.Release == h.Release {
			return 0
		}
		return lapsedGrace
	case KindOperator:
		old, known := v.operatorDocs[e.Key]
		if known && bytes.Equal(old.Value, e.Value) {
			return 0
		}
		switch rule, version := v.restoreRule(e); {
		case rule == RestoreLater:
			return operatorHold
		case rule == RestoreByVersion && known && version < v.g.config.Revision().Number:
			return -1
		}
	}
	return 0
}

// holdMissing is holdRestored for an entry that a restored store does not have.
func (v *storeView) holdMissing(e kv.Entry) time.Duration {
	if v.g.spec.Documents.Kind(e.Key) == KindOperator {
		switch rule, _ := v.restoreRule(e); rule {
		case RestoreLater:
			return operatorHold
		case RestoreByVersion:
			return -1
		}
	}
	if strings.HasPrefix(e.Key, memberPrefix) {
		return memberHold
	}
	return 0
}

func (v *storeView) restoreRule(e kv.Entry) (RestoreRule, uint64) {
	if rules, ok := v.g.spec.Documents.(RestoreRules); ok {
		return rules.RestoreRule(e)
	}
	return RestoreNow, 0
}

// dropHeld drops the held states of entries that have been written since the restore.
func (v *storeView) dropHeld(entries []kv.Entry) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range entries {
		delete(v.heldEntries, e.Key)
	}
}

// applyHeld applies held states that are due and marks their kinds in changed. The caller holds mu.
func (v *storeView) applyHeld(now time.Time, changed map[Kind]bool) {
	for key, h := range v.heldEntries {
		if now.Before(h.until) {
			continue
		}
		delete(v.heldEntries, key)
		log := v.g.log.WithField("key", key).WithField("revision", h.Revision)
		if taken, by := v.addressInUse(h.Entry, now); taken {
			log.WithField("endpoint", by).Info("endpoint of the backup not used; another one has its address")
			continue
		}
		log.WithField("removed", h.Deleted).Info("entry was not written again after the restore")
		changed[v.applyEntry(h.Entry, now)] = true
	}
}

// addressInUse reports whether the address of an endpoint's entry is that of another endpoint in force. The caller holds mu.
func (v *storeView) addressInUse(e kv.Entry, now time.Time) (taken bool, by string) {
	if e.Deleted || v.g.spec.Documents.Kind(e.Key) != KindEndpoint {
		return false, ""
	}
	h, err := v.g.spec.Documents.Endpoint(e, now)
	if err != nil {
		return false, ""
	}
	for key, other := range v.endpoints {
		if key != e.Key && other.Addr == h.Addr && other.State == hostlist.StateLive {
			return true, other.ID
		}
	}
	return false, ""
}

// noteNewerEra makes a poll due after another daemon has told of a newer era than that of the content in force. Until that poll the content
// stays in force.
func (v *storeView) noteNewerEra(m notice.Message, now time.Time) {
	if m.Revision.Era <= v.revision.Era || !v.rereadAt.IsZero() {
		return
	}
	v.rereadAt = now.Add(time.Duration(v.random() * float64(eraReadSpread)))
	v.g.log.WithField("era", m.Revision.Era).WithField("from", m.From).Info("told that the store was restored from a backup")
}

// notifyRestored tells other daemons of a new era, as notifyPeers does of changes.
func (v *storeView) notifyRestored(c kv.Changes, polledAt time.Time) {
	v.notifyPeers(c.Revision, kv.Changes{Revision: c.Revision}, polledAt)
}
