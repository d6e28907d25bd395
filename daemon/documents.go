package daemon

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/declare"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/observe"
	"github.com/bramleytrail/bramleytrail/pause"
	"github.com/bramleytrail/bramleytrail/peer"
)

// Names of the documents that daemons distribute among each other.
const (
	docConfig  = "config"
	docHosts   = "hosts"
	docQuality = "quality"
	docRollout = "rollout"
)

const (
	retryInterval        = time.Second // pause after a failed call to the platform
	watcherCheckInterval = time.Second // interval at which a daemon checks whether it has become a watcher
	// longPollTimeout is the time after which a long poll for changes is cancelled and repeated on a new connection. The
	// connection may have stalled, and a change must be in force within 3 s nevertheless.
	longPollTimeout = 1500 * time.Millisecond
	// hostsReadInterval is the interval at which a watcher reads the host list while it changes. In the worst case, a change
	// happens right after a read and the connection of the next read stalls. The change is then read after hostsReadInterval
	// + longPollTimeout = 2 s, and all daemons must know it within 3 s.
	hostsReadInterval = 500 * time.Millisecond
	// configReadInterval is the time after which a watcher reads the configuration itself instead of watching it, see
	// watchConfig.
	configReadInterval = 30 * time.Second
)

var (
	errIdentityMismatch = errors.New("document does not have the identity under which it was offered")
	errNoEntryHost      = errors.New("host list has no entry host")
)

// documentsSpec configures documents.
type documentsSpec struct {
	Platform Platform
	Config   *config.Holder
	// OnHosts is called with each host list that comes into force, before the node's peers are updated.
	OnHosts func(hostlist.List)
	Metrics *observe.Metrics
	Log     logrus.FieldLogger
}

// documents keeps the configuration and the host list up to date. It reads them from the platform's services, accepts them
// from peers and offers them to peers. Fields other than hostList and liveEntryHosts are set before run.
type documents struct {
	spec           documentsSpec
	node           *peer.Node
	ctx            context.Context
	hostList       atomic.Pointer[hostlist.List]
	liveEntryHosts atomic.Int64 // number of live entry hosts in hostList
}

// run watches the platform's services until ctx is done.
func (d *documents) run() {
	var wg sync.WaitGroup
	wg.Go(d.watchHosts)
	wg.Go(d.watchConfig)
	wg.Wait()
}

// OfferDocument puts a document of a peer or of the platform in force. It returns an error, and keeps the current document, if
// the new one is invalid or unknown.
func (d *documents) OfferDocument(doc peer.Document) error {
	switch doc.Name {
	case docConfig:
		rev, err := decodeConfigDocument(doc)
		if err != nil {
			return err
		}
		return d.applyConfig(rev)
	case docHosts:
		list, err := decodeHostsDocument(doc)
		if err != nil {
			return err
		}
		return d.applyHosts(list)
	default:
		return fmt.Errorf("unknown document %q", doc.Name)
	}
}

// decodeConfigDocument decodes a configuration and checks its identity. A wrong number or digest is an errIdentityMismatch: the
// node compares only identities, so a wrong one could hide later revisions.
func decodeConfigDocument(doc peer.Document) (config.Revision, error) {
	rev, err := config.UnmarshalRevision(doc.Body)
	if err == nil && (rev.Number != doc.Number || !doc.Matches(rev.Digest)) {
		err = fmt.Errorf("revision %d offered as %d: %w", rev.Number, doc.Number, errIdentityMismatch)
	}
	return rev, err
}

// decodeHostsDocument decodes a host list and checks its identity. A wrong revision or digest is an errIdentityMismatch.
func decodeHostsDocument(doc peer.Document) (hostlist.List, error) {
	list, err := decodeHosts(doc.Body)
	if err == nil && (list.Revision != doc.Number&maxListRevision || !doc.Matches(declare.Digest(doc.Body))) {
		err = fmt.Errorf("host list %d offered as %d: %w", list.Revision, doc.Number, errIdentityMismatch)
	}
	return list, err
}

// applyConfig puts a configuration revision in force if it is newer. It returns an error, and keeps the current one, if the
// revision is invalid.
func (d *documents) applyConfig(rev config.Revision) error {
	changed, err := d.spec.Config.Apply(rev)
	if err != nil {
		d.spec.Metrics.Counter("bramley_config_rejected_total").Inc()
		d.spec.Log.WithError(err).WithField("revision", rev.Number).Error("configuration revision rejected; keeping the one in force")
		return err
	}
	if changed {
		d.spec.Log.WithField("revision", rev.Number).Info("configuration in force")
	}
	return nil
}

// applyHosts puts a host list in force. It rejects a list without entry hosts: this daemon runs on an entry host itself, so
// the list must come from a service that has not loaded all hosts yet.
func (d *documents) applyHosts(list hostlist.List) error {
	var entries []hostlist.Host
	live := 0
	for _, h := range list.Hosts {
		if h.Role != hostlist.RoleEntry {
			continue
		}
		entries = append(entries, h)
		if h.State == hostlist.StateLive {
			live++
		}
	}
	if len(entries) == 0 {
		return errNoEntryHost
	}
	d.hostList.Store(&list)
	d.liveEntryHosts.Store(int64(live))
	d.spec.OnHosts(list)
	d.node.SetHosts(entries)
	return nil
}

// awaitWatcherRole blocks until this daemon must read from the platform itself, because it has not loaded the document yet or
// is a watcher, and then returns true. It returns false when the daemon stops.
func (d *documents) awaitWatcherRole(loaded func() bool) bool {
	for d.ctx.Err() == nil {
		if !loaded() || d.node.Watching() {
			return true
		}
		d.sleep(watcherCheckInterval)
	}
	return false
}

// watchHosts reads the host list from the platform at start, and continues to do so while this daemon is a watcher.
func (d *documents) watchHosts() {
	known := uint64(0)
	for d.awaitWatcherRole(func() bool { return d.hostList.Load() != nil }) {
		var list hostlist.List
		timedOut, err := d.longPoll(func(ctx context.Context) (err error) {
			list, err = d.spec.Platform.Hosts.List(ctx, known)
			return err
		})
		if timedOut {
			continue
		}
		if err == nil {
			known = list.Revision
			err = d.offerHosts(list)
			d.sleep(untilNextHostsRead(time.Now()))
		}
		if err != nil && d.ctx.Err() == nil {
			known = 0 // a restarted list may have reached the same revision
			d.spec.Log.WithError(err).Warn("could not read or apply host list; keeping the last one")
			d.sleep(retryInterval)
		}
	}
}

// untilNextHostsRead returns the time until the host list may be read again after a change. Reads are aligned to multiples of
// hostsReadInterval, so that watchers with synchronized clocks distribute the same revisions.
func untilNextHostsRead(now time.Time) time.Duration {
	return now.Truncate(hostsReadInterval).Add(hostsReadInterval).Sub(now)
}

// longPoll makes a call that returns when something changes. It reports timedOut without an error if the call did not return
// within longPollTimeout.
func (d *documents) longPoll(call func(context.Context) error) (timedOut bool, err error) {
	ctx, cancel := context.WithTimeout(d.ctx, longPollTimeout)
	defer cancel()
	err = call(ctx)
	if err != nil && ctx.Err() != nil && d.ctx.Err() == nil {
		return true, nil
	}
	return false, err
}

// The number of a host list document consists of an epoch in its high bits and the list's own revision in its low bits. The
// epoch is increased when the platform's list has restarted with lower revisions, so that daemons accept the new list.
const (
	listRevisionBits = 40
	maxListRevision  = 1<<listRevisionBits - 1
)

// offerHosts offers a host list that was read from the platform to this daemon and its peers.
func (d *documents) offerHosts(list hostlist.List) error {
	if list.Revision > maxListRevision {
		return fmt.Errorf("host list revision %d exceeds %d", list.Revision, uint64(maxListRevision))
	}
	current, _ := d.node.Document(docHosts)
	if d.isOutOfSequence(list, current.Number&maxListRevision) {
		return d.offerRestartedHosts(current.Number)
	}
	return d.offerHostsWithNumber(list, current.Number&^maxListRevision|list.Revision)
}

// isOutOfSequence reports whether list cannot be a successor of the list in force within the same epoch: its revision is lower,
// or the same with other hosts.
func (d *documents) isOutOfSequence(list hostlist.List, inForce uint64) bool {
	if list.Revision != inForce {
		return list.Revision < inForce
	}
	current := d.hostList.Load()
	return current != nil && current.Revision == inForce && !sameHosts(current.Hosts, list.Hosts)
}

// offerRestartedHosts handles a list that is older than the one in force. It reads the list again: if another watcher merely
// read a newer list first, the second read returns at least that revision. Otherwise the platform's list has restarted, and
// the new one is offered with the next epoch.
func (d *documents) offerRestartedHosts(inForce uint64) error {
	list, err := d.spec.Platform.Hosts.List(d.ctx, 0)
	if err != nil {
		return err
	}
	epoch := inForce >> listRevisionBits
	if d.isOutOfSequence(list, inForce&maxListRevision) {
		epoch++
		d.spec.Log.WithField("revision", list.Revision).Warn("the platform's host list has started anew")
	}
	return d.offerHostsWithNumber(list, epoch<<listRevisionBits|list.Revision)
}

// offerHostsWithNumber offers a host list to this daemon and its peers under a document number.
func (d *documents) offerHostsWithNumber(list hostlist.List, number uint64) error {
	body, err := encodeHosts(list)
	if err != nil {
		return err
	}
	return d.node.Offer(peer.Document{DocumentID: peer.DocumentID{Name: docHosts, Number: number, Digest: declare.Digest(body)}, Body: body})
}

// watchConfig reads the configuration from the key-value store at start, and watches it while this daemon is a watcher.
// After a failure, after a watch that returns no changes, and when a watch times out with the last read more than
// configReadInterval ago, it reads the value itself instead of relying on the watch position: a store that lost writes may
// have reached the same position again with other data.
func (d *documents) watchConfig() {
	for d.awaitWatcherRole(func() bool { return d.spec.Config.View() != nil }) {
		if err := d.syncConfig(); err != nil {
			d.spec.Log.WithError(err).Debug("could not read or watch the configuration in the key-value store")
			d.sleep(retryInterval)
		}
	}
}

// syncConfig reads the stored revision and then watches for later ones. It returns when a call fails, when the watch must be
// replaced by a read, or when this daemon is no longer a watcher.
func (d *documents) syncConfig() error {
	entry, err := d.spec.Platform.Store.Get(d.ctx, config.Key)
	if errors.Is(err, kv.ErrNotFound) {
		entry, err = kv.Entry{Key: config.Key, Deleted: true}, nil
	}
	if err != nil {
		return err
	}
	after, readAt := entry.Revision, time.Now()
	d.handleStoredConfig(entry)
	for {
		var changes kv.Changes
		timedOut, err := d.longPoll(func(ctx context.Context) (err error) {
			changes, err = d.spec.Platform.Store.Watch(ctx, config.Key, after)
			return err
		})
		if err != nil {
			return err
		}
		if timedOut && d.node.Watching() && time.Since(readAt) < configReadInterval {
			continue
		}
		if changes.Reset || len(changes.Entries) == 0 || !d.node.Watching() {
			return nil
		}
		after = changes.Revision
		for _, e := range changes.Entries {
			if e.Key == config.Key {
				d.handleStoredConfig(e)
			}
		}
	}
}

// handleStoredConfig offers a stored revision to this daemon and its peers. If a newer one is in force, the key-value store
// has lost writes, and the newer one is written back.
func (d *documents) handleStoredConfig(e kv.Entry) {
	inForce := d.spec.Config.Revision()
	if e.Deleted {
		if inForce.Number > 0 {
			d.restoreConfig(inForce, kv.Entry{}, config.Revision{})
		}
		return
	}
	rev, err := config.UnmarshalRevision(e.Value)
	if err != nil {
		d.spec.Log.WithError(err).Error("could not decode the stored configuration")
		return
	}
	if err := d.offerConfig(rev, e.Value); err != nil {
		return // logged by applyConfig
	}
	if inForce = d.spec.Config.Revision(); inForce.Newer(rev) {
		d.restoreConfig(inForce, e, rev)
	}
}

func (d *documents) offerConfig(rev config.Revision, body []byte) error {
	return d.node.Offer(peer.Document{DocumentID: peer.DocumentID{Name: docConfig, Number: rev.Number, Digest: rev.Digest}, Body: body})
}

// restoreConfig writes the revision in force to a key-value store that has an older one or none after a loss of data. The
// replaced revision is saved under another key, since an operator may have published it on top of the older data.
func (d *documents) restoreConfig(inForce config.Revision, stored kv.Entry, replaced config.Revision) {
	data, err := inForce.Marshal()
	if err != nil {
		d.spec.Log.WithError(err).Error("could not encode the configuration revision in force")
		return
	}
	if !stored.Revision.IsZero() {
		_, err := d.spec.Platform.Store.CAS(d.ctx, config.ReplacedKey(replaced), stored.Value, kv.Revision{}, 0)
		if err != nil && !errors.Is(err, kv.ErrConflict) {
			d.spec.Log.WithError(err).Warn("could not save the configuration revision that is to be replaced")
			return // retried with the next read
		}
	}
	_, err = d.spec.Platform.Store.CAS(d.ctx, config.Key, data, stored.Revision, 0)
	switch {
	case err == nil:
		d.spec.Metrics.Counter("bramley_config_restored_total").Inc()
		d.spec.Log.WithFields(logrus.Fields{"revision": inForce.Number, "replaced": replaced.Number, "publisher": replaced.Publisher}).
			Warn("key-value store held an older configuration revision; wrote back the one in force")
	case !errors.Is(err, kv.ErrConflict): // a conflict means that another watcher wrote it first
		d.spec.Log.WithError(err).Warn("could not write back the configuration revision in force")
	}
}

// sleep waits for the duration or until the daemon stops.
func (d *documents) sleep(duration time.Duration) { _ = pause.For(d.ctx, duration) }
