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

// Names of the documents that daemons spread.
const (
	docConfig  = "config"
	docHosts   = "hosts"
	docQuality = "quality"
	docRollout = "rollout"
)

const (
	followPause = time.Second // after a failed call to the platform
	roleCheck   = time.Second // interval at which a daemon checks whether it is a watcher
	// renewWatch is the time after which a pending call for changes is given up and made again on a new connection. The
	// established one may have gone silent, and a change has to be in force within 3 s all the same.
	renewWatch = 1500 * time.Millisecond
	// collectHosts is the interval at which a watcher reads the host list while it changes. A change that comes right
	// after a read on a connection that then goes silent is read after collectHosts + renewWatch = 2 s; it has to be
	// known everywhere within 3 s.
	collectHosts = 500 * time.Millisecond
	// rereadConfig is the time after which a watcher reads the configuration itself, see followConfig.
	rereadConfig = 30 * time.Second
)

var (
	errIdentity = errors.New("document does not have the identity under which it was offered")
	errNoEntry  = errors.New("host list has no entry host")
)

// documentsSpec configures documents.
type documentsSpec struct {
	Platform Platform
	Config   *config.Holder
	// OnHosts is called with each host list that comes into force, before the peers change.
	OnHosts func(hostlist.List)
	Metrics *observe.Metrics
	Log     logrus.FieldLogger
}

// documents keeps the configuration and the host list in force: it reads them from the platform's services, takes them
// from peers and gives them to peers.
type documents struct {
	spec    documentsSpec
	node    *peer.Node
	ctx     context.Context
	list    atomic.Pointer[hostlist.List]
	members atomic.Int64 // live entry hosts
}

// run follows the platform's services until ctx ends.
func (d *documents) run() {
	var wg sync.WaitGroup
	wg.Go(d.followHosts)
	wg.Go(d.followConfig)
	wg.Wait()
}

// OfferDocument takes a document into force.
func (d *documents) OfferDocument(doc peer.Document) error {
	switch doc.Name {
	case docConfig:
		rev, err := readConfigDocument(doc)
		if err != nil {
			return err
		}
		return d.applyConfig(rev)
	case docHosts:
		list, err := readHostsDocument(doc)
		if err != nil {
			return err
		}
		return d.applyHosts(list)
	default:
		return fmt.Errorf("unknown document %q", doc.Name)
	}
}

// readConfigDocument decodes a configuration. A wrong identity is refused: the node compares identities, so it would hide
// later revisions.
func readConfigDocument(doc peer.Document) (config.Revision, error) {
	rev, err := config.UnmarshalRevision(doc.Body)
	if err == nil && (rev.Number != doc.Number || !doc.Matches(rev.Digest)) {
		err = fmt.Errorf("revision %d offered as %d: %w", rev.Number, doc.Number, errIdentity)
	}
	return rev, err
}

// readHostsDocument decodes a host list and checks its identity.
func readHostsDocument(doc peer.Document) (hostlist.List, error) {
	list, err := decodeHosts(doc.Body)
	if err == nil && (list.Revision != doc.Number&maxListRevision || !doc.Matches(declare.Digest(doc.Body))) {
		err = fmt.Errorf("host list %d offered as %d: %w", list.Revision, doc.Number, errIdentity)
	}
	return list, err
}

func (d *documents) applyConfig(rev config.Revision) error {
	changed, err := d.spec.Config.Offer(rev)
	if err != nil {
		d.spec.Metrics.Counter("bramley_config_rejected_total").Inc()
		d.spec.Log.WithError(err).WithField("revision", rev.Number).Error("revision rejected; the one in force stays")
		return err
	}
	if changed {
		d.spec.Log.WithField("revision", rev.Number).Info("configuration in force")
	}
	return nil
}

// applyHosts puts a host list in force. A list without any entry host is that of a list service that is still filling
// up, since the reader itself is an entry host; it is refused.
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
		return errNoEntry
	}
	d.list.Store(&list)
	d.members.Store(int64(live))
	d.spec.OnHosts(list)
	d.node.SetHosts(entries)
	return nil
}

// following waits while another daemon watches the platform's services for this one. It returns false at the end.
func (d *documents) following(have func() bool) bool {
	for d.ctx.Err() == nil {
		if !have() || d.node.Watching() {
			return true
		}
		d.sleep(roleCheck)
	}
	return false
}

// followHosts reads the host list from the platform at start, and goes on as long as this daemon is a watcher.
func (d *documents) followHosts() {
	known := uint64(0)
	for d.following(func() bool { return d.list.Load() != nil }) {
		var list hostlist.List
		renew, err := d.pending(func(ctx context.Context) (err error) {
			list, err = d.spec.Platform.Hosts.List(ctx, known)
			return err
		})
		if renew {
			continue
		}
		if err == nil {
			known = list.Revision
			err = d.offerHosts(list)
			d.sleep(untilNextRead(time.Now()))
		}
		if err != nil && d.ctx.Err() == nil {
			known = 0 // a list that has started anew may have reached the same revision
			d.spec.Log.WithError(err).Warn("host list not applied; the last one stays")
			d.sleep(followPause)
		}
	}
}

// untilNextRead returns the time until the list may be read again after a change. The moments are the same for all
// watchers whose clocks agree, so that they spread the same revisions.
func untilNextRead(now time.Time) time.Duration {
	return now.Truncate(collectHosts).Add(collectHosts).Sub(now)
}

// pending makes a call that waits for a change. It reports renew if the call brought none within renewWatch.
func (d *documents) pending(call func(context.Context) error) (renew bool, err error) {
	ctx, cancel := context.WithTimeout(d.ctx, renewWatch)
	defer cancel()
	err = call(ctx)
	if err != nil && ctx.Err() != nil && d.ctx.Err() == nil {
		return true, nil
	}
	return false, err
}

// The number of a host list document has the list's own revision in its low bits. The rest is increased when the
// platform's list has started anew with lower revisions, so that daemons accept the new list.
const (
	listRevisionBits = 40
	maxListRevision  = 1<<listRevisionBits - 1
)

func (d *documents) offerHosts(list hostlist.List) error {
	if list.Revision > maxListRevision {
		return fmt.Errorf("host list revision %d exceeds %d", list.Revision, uint64(maxListRevision))
	}
	current, _ := d.node.Document(docHosts)
	if d.precedes(list, current.Number&maxListRevision) {
		return d.offerRestartedHosts(current.Number)
	}
	return d.offerHostsAs(list, current.Number&^maxListRevision|list.Revision)
}

// precedes reports whether list can't follow the one in force in the same sequence of revisions.
func (d *documents) precedes(list hostlist.List, inForce uint64) bool {
	if list.Revision != inForce {
		return list.Revision < inForce
	}
	current := d.list.Load()
	return current != nil && current.Revision == inForce && !sameHosts(current.Hosts, list.Hosts)
}

// offerRestartedHosts handles a list that is older than the one in force. If another watcher was faster, a second read
// gives at least that revision. Otherwise the list has started anew.
func (d *documents) offerRestartedHosts(inForce uint64) error {
	list, err := d.spec.Platform.Hosts.List(d.ctx, 0)
	if err != nil {
		return err
	}
	epoch := inForce >> listRevisionBits
	if d.precedes(list, inForce&maxListRevision) {
		epoch++
		d.spec.Log.WithField("revision", list.Revision).Warn("the platform's host list has started anew")
	}
	return d.offerHostsAs(list, epoch<<listRevisionBits|list.Revision)
}

func (d *documents) offerHostsAs(list hostlist.List, number uint64) error {
	body, err := encodeHosts(list)
	if err != nil {
		return err
	}
	return d.node.Offer(peer.Document{DocumentID: peer.DocumentID{Name: docHosts, Number: number, Digest: declare.Digest(body)}, Body: body})
}

// followConfig reads the configuration from the key-value service at start, and watches it as long as this daemon is a
// watcher. After a failure, and whenever a watch ends without a change, it reads the value itself instead of relying on
// the watch position: a service that lost writes may have passed that position again with other data.
func (d *documents) followConfig() {
	for d.following(func() bool { return d.spec.Config.View() != nil }) {
		if err := d.readConfig(); err != nil {
			d.spec.Log.WithError(err).Debug("configuration not read")
			d.sleep(followPause)
		}
	}
}

// readConfig takes the stored revision and then those that follow, until a watch fails or ends without a change.
func (d *documents) readConfig() error {
	entry, err := d.spec.Platform.Store.Get(d.ctx, config.Key)
	if errors.Is(err, kv.ErrNotFound) {
		entry, err = kv.Entry{Key: config.Key, Deleted: true}, nil
	}
	if err != nil {
		return err
	}
	after, read := entry.Revision, time.Now()
	d.takeConfig(entry)
	for {
		var changes kv.Changes
		renew, err := d.pending(func(ctx context.Context) (err error) {
			changes, err = d.spec.Platform.Store.Watch(ctx, config.Key, after)
			return err
		})
		if err != nil {
			return err
		}
		if renew && d.node.Watching() && time.Since(read) < rereadConfig {
			continue
		}
		if changes.Reset || len(changes.Entries) == 0 || !d.node.Watching() {
			return nil
		}
		after = changes.Revision
		for _, e := range changes.Entries {
			if e.Key == config.Key {
				d.takeConfig(e)
			}
		}
	}
}

// takeConfig offers a stored revision to this daemon and its peers. If the daemons have a newer one, the service has lost
// writes, and the newer one is written back.
func (d *documents) takeConfig(e kv.Entry) {
	mine := d.spec.Config.Revision()
	if e.Deleted {
		if mine.Number > 0 {
			d.restoreConfig(mine, kv.Entry{}, config.Revision{})
		}
		return
	}
	rev, err := config.UnmarshalRevision(e.Value)
	if err != nil {
		d.spec.Log.WithError(err).Error("stored configuration can't be read")
		return
	}
	if err := d.offerConfig(rev, e.Value); err != nil {
		return // logged by applyConfig
	}
	if mine = d.spec.Config.Revision(); mine.Newer(rev) {
		d.restoreConfig(mine, e, rev)
	}
}

func (d *documents) offerConfig(rev config.Revision, body []byte) error {
	return d.node.Offer(peer.Document{DocumentID: peer.DocumentID{Name: docConfig, Number: rev.Number, Digest: rev.Digest}, Body: body})
}

// restoreConfig writes the revision in force back to a key-value service that came back with an older one or with none.
// The replaced one is kept under another key, as an operator may have published it on top of the older data.
func (d *documents) restoreConfig(mine config.Revision, stored kv.Entry, replaced config.Revision) {
	data, err := mine.Marshal()
	if err != nil {
		d.spec.Log.WithError(err).Error("revision in force can't be encoded")
		return
	}
	if stored.Revision > 0 {
		_, err := d.spec.Platform.Store.CAS(d.ctx, config.ReplacedKey(replaced), stored.Value, 0, 0)
		if err != nil && !errors.Is(err, kv.ErrConflict) {
			d.spec.Log.WithError(err).Warn("replaced revision not kept")
			return // tried again with the next read
		}
	}
	_, err = d.spec.Platform.Store.CAS(d.ctx, config.Key, data, stored.Revision, 0)
	switch {
	case err == nil:
		d.spec.Metrics.Counter("bramley_config_restored_total").Inc()
		d.spec.Log.WithFields(logrus.Fields{"revision": mine.Number, "replaced": replaced.Number, "publisher": replaced.Publisher}).
			Warn("key-value service held an older revision; the one in force was written back")
	case !errors.Is(err, kv.ErrConflict): // another watcher was faster
		d.spec.Log.WithError(err).Warn("revision in force not written back")
	}
}

// sleep waits for t, or until the daemon stops.
func (d *documents) sleep(t time.Duration) { _ = pause.For(d.ctx, t) }
