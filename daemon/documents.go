package daemon

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/declare"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/ledger"
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
	// maxHostListBytes bounds a host list; 1,210 hosts have about 200 KB.
	maxHostListBytes = 16 << 20
)

// OfferDocument implements peer.Handler.
func (d *Daemon) OfferDocument(doc peer.Document) error {
	switch doc.Name {
	case docConfig:
		rev, err := config.UnmarshalRevision(doc.Body)
		if err != nil {
			return err
		}
		return d.applyConfig(rev)
	case docHosts:
		list, err := decodeHosts(doc.Body)
		if err != nil {
			return err
		}
		d.applyHosts(list)
		return nil
	case docQuality:
		return d.applyQuality(doc.Body)
	case docRollout:
		return d.applyRollout(doc.Body)
	default:
		return fmt.Errorf("unknown document %q", doc.Name)
	}
}

// KeepBills implements peer.Handler.
func (d *Daemon) KeepBills(c ledger.Copy) { d.copies.Keep(c, time.Now()) }

func (d *Daemon) applyConfig(rev config.Revision) error {
	changed, err := d.config.Offer(rev)
	if err != nil {
		d.metrics.Counter("bramley_config_rejected_total").Inc()
		d.log.WithError(err).WithField("revision", rev.Number).Error("revision rejected; the one in force stays")
		return err
	}
	if changed {
		d.log.WithField("revision", rev.Number).Info("configuration in force")
	}
	return nil
}

func (d *Daemon) applyHosts(list hostlist.List) {
	d.list.Store(&list)
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
	d.members.Store(int64(live))
	d.watcher.Store(peer.IsWatcher(d.self(), entries))
	d.node.SetHosts(entries)
	d.pool.SetHosts(list, time.Now())
}

func (d *Daemon) self() hostlist.Host {
	return hostlist.Host{ID: d.settings.ID, Role: hostlist.RoleEntry, Domain: d.settings.Domain, Rack: d.settings.Rack, Addr: d.peerAddr}
}

// followHosts reads the host list from the platform at start, and goes on as long as this daemon is a watcher.
func (d *Daemon) followHosts() {
	known := uint64(0)
	for d.ctx.Err() == nil {
		if d.list.Load() != nil && !d.watcher.Load() {
			d.sleep(roleCheck)
			continue
		}
		list, err := d.platform.Hosts.List(d.ctx, known)
		if err != nil {
			d.log.WithError(err).Debug("host list not read")
			d.sleep(followPause)
			continue
		}
		known = list.Revision
		if err := d.offerHosts(list); err != nil {
			d.log.WithError(err).Error("host list rejected")
			d.sleep(followPause)
		}
	}
}

func (d *Daemon) offerHosts(list hostlist.List) error {
	body, err := encodeHosts(list)
	if err != nil {
		return err
	}
	return d.node.Offer(peer.Document{DocumentID: peer.DocumentID{Name: docHosts, Number: list.Revision, Digest: declare.Digest(body)}, Body: body})
}

// followConfig reads the configuration from the key-value service at start, and watches it as long as this daemon is a
// watcher.
func (d *Daemon) followConfig() {
	after := uint64(0)
	for d.ctx.Err() == nil {
		if d.config.View() != nil && !d.watcher.Load() {
			d.sleep(roleCheck)
			continue
		}
		changes, err := d.platform.Store.Watch(d.ctx, config.Key, after)
		if err != nil {
			d.log.WithError(err).Debug("configuration not read")
			d.sleep(followPause)
			continue
		}
		after = changes.Revision
		d.takeConfig(changes)
	}
}

func (d *Daemon) takeConfig(changes kv.Changes) {
	for _, e := range changes.Entries {
		if e.Key != config.Key || e.Deleted {
			continue
		}
		rev, err := config.UnmarshalRevision(e.Value)
		if err != nil {
			d.log.WithError(err).Error("stored configuration can't be read")
			continue
		}
		if err := d.offerConfig(rev, e.Value); err != nil {
			continue // logged by applyConfig
		}
		if mine := d.config.Revision(); mine.Newer(rev) {
			d.restoreConfig(mine, e)
		}
	}
}

func (d *Daemon) offerConfig(rev config.Revision, body []byte) error {
	return d.node.Offer(peer.Document{DocumentID: peer.DocumentID{Name: docConfig, Number: rev.Number, Digest: rev.Digest}, Body: body})
}

// restoreConfig writes the revision in force back to a key-value service that came back with an older one.
func (d *Daemon) restoreConfig(mine config.Revision, stored kv.Entry) {
	data, err := mine.Marshal()
	if err != nil {
		d.log.WithError(err).Error("revision in force can't be encoded")
		return
	}
	_, err = d.platform.Store.CAS(d.ctx, config.Key, data, stored.Revision, 0)
	switch {
	case err == nil:
		d.log.WithField("revision", mine.Number).Warn("key-value service held an older revision; the one in force was written back")
	case !errors.Is(err, kv.ErrConflict): // another watcher was faster
		d.log.WithError(err).Warn("revision in force not written back")
	}
}

func (d *Daemon) sleep(t time.Duration) {
	select {
	case <-time.After(t):
	case <-d.ctx.Done():
	}
}

// writeSilentCopies writes the bills of daemons that have fallen silent.
func (d *Daemon) writeSilentCopies() {
	for d.ctx.Err() == nil {
		d.sleep(d.settings.BillInterval)
		ctx, cancel := context.WithTimeout(d.ctx, stopTimeout)
		if err := d.copies.WriteSilent(ctx, time.Now()); err != nil && d.ctx.Err() == nil {
			d.log.WithError(err).Warn("copies of bills not written")
		}
		cancel()
	}
}

func encodeHosts(list hostlist.List) ([]byte, error) {
	var buf bytes.Buffer
	zw := gzip.NewWriter(&buf)
	if err := json.NewEncoder(zw).Encode(list); err != nil {
		return nil, fmt.Errorf("encode host list: %w", err)
	}
	if err := zw.Close(); err != nil {
		return nil, fmt.Errorf("encode host list: %w", err)
	}
	return buf.Bytes(), nil
}

func decodeHosts(body []byte) (hostlist.List, error) {
	var list hostlist.List
	zr, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return list, fmt.Errorf("decode host list: %w", err)
	}
	if err := json.NewDecoder(io.LimitReader(zr, maxHostListBytes)).Decode(&list); err != nil {
		return list, fmt.Errorf("decode host list: %w", err)
	}
	return list, nil
}
