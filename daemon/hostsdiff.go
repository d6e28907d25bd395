package daemon

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"

	"github.com/bramleytrail/bramleytrail/declare"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/peer"
)

var errNoDiff = errors.New("documents of this kind have no diff and are sent in full")

// hostsDiff is the JSON form of the difference between two host lists. It is not compressed, since connections between daemons
// already are.
type hostsDiff struct {
	Revision uint64          `json:"revision"`
	Put      []hostlist.Host `json:"put,omitempty"`
	Remove   []string        `json:"remove,omitempty"`
}

// hostsDiffer implements peer.Differ for host lists. A diff does not pay off for the other documents, which change rarely or
// almost entirely.
type hostsDiffer struct{}

// Diff implements peer.Differ. It returns errNoDiff for documents other than host lists.
func (hostsDiffer) Diff(from, to peer.Document) ([]byte, error) {
	if to.Name != docHosts {
		return nil, errNoDiff
	}
	old, err := decodeHosts(from.Body)
	if err != nil {
		return nil, err
	}
	list, err := decodeHosts(to.Body)
	if err != nil {
		return nil, err
	}
	previous := hostsByID(old.Hosts)
	diff := hostsDiff{Revision: list.Revision}
	for _, h := range list.Hosts {
		if p, ok := previous[h.ID]; !ok || !reflect.DeepEqual(p, h) {
			diff.Put = append(diff.Put, h)
		}
		delete(previous, h.ID)
	}
	for _, h := range sortedByID(old.Hosts) {
		if _, removed := previous[h.ID]; removed {
			diff.Remove = append(diff.Remove, h.ID)
		}
	}
	data, err := json.Marshal(diff)
	if err != nil {
		return nil, fmt.Errorf("encode host list diff: %w", err)
	}
	return data, nil
}

// Patch implements peer.Differ. It returns errIdentityMismatch if the result does not have the digest of the complete list, so
// that a diff never produces a list other than the one that the watcher read from the platform.
func (hostsDiffer) Patch(from peer.Document, data []byte, to peer.DocumentID) ([]byte, error) {
	if to.Name != docHosts {
		return nil, errNoDiff
	}
	var diff hostsDiff
	if err := json.Unmarshal(data, &diff); err != nil {
		return nil, fmt.Errorf("decode host list diff: %w", err)
	}
	old, err := decodeHosts(from.Body)
	if err != nil {
		return nil, err
	}
	hosts := hostsByID(old.Hosts)
	for _, id := range diff.Remove {
		delete(hosts, id)
	}
	for _, h := range diff.Put {
		hosts[h.ID] = h
	}
	list := hostlist.List{Revision: diff.Revision}
	for _, h := range hosts {
		list.Hosts = append(list.Hosts, h)
	}
	body, err := encodeHosts(list)
	if err == nil && !to.Matches(declare.Digest(body)) {
		err = errIdentityMismatch
	}
	return body, err
}

func hostsByID(hosts []hostlist.Host) map[string]hostlist.Host {
	out := make(map[string]hostlist.Host, len(hosts))
	for _, h := range hosts {
		out[h.ID] = h
	}
	return out
}
