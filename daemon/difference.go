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

var errNoDifference = errors.New("document is sent whole")

// hostsDiff turns one host list into another. It is not compressed, since connections between daemons are.
type hostsDiff struct {
	Revision uint64          `json:"revision"`
	Put      []hostlist.Host `json:"put,omitempty"`
	Remove   []string        `json:"remove,omitempty"`
}

// differ implements peer.Differ for host lists. Other documents change rarely or in all parts.
type differ struct{}

// Diff implements peer.Differ.
func (differ) Diff(from, to peer.Document) ([]byte, error) {
	if to.Name != docHosts {
		return nil, errNoDifference
	}
	old, err := decodeHosts(from.Body)
	if err != nil {
		return nil, err
	}
	list, err := decodeHosts(to.Body)
	if err != nil {
		return nil, err
	}
	before := byID(old.Hosts)
	diff := hostsDiff{Revision: list.Revision}
	for _, h := range list.Hosts {
		if b, ok := before[h.ID]; !ok || !reflect.DeepEqual(b, h) {
			diff.Put = append(diff.Put, h)
		}
		delete(before, h.ID)
	}
	for _, h := range sorted(old.Hosts) {
		if _, gone := before[h.ID]; gone {
			diff.Remove = append(diff.Remove, h.ID)
		}
	}
	data, err := json.Marshal(diff)
	if err != nil {
		return nil, fmt.Errorf("encode difference: %w", err)
	}
	return data, nil
}

// Patch implements peer.Differ. The result has to have the digest of the whole list, so a difference never leads to
// another list than the one that the watcher has read.
func (differ) Patch(from peer.Document, data []byte, to peer.DocumentID) ([]byte, error) {
	if to.Name != docHosts {
		return nil, errNoDifference
	}
	var diff hostsDiff
	if err := json.Unmarshal(data, &diff); err != nil {
		return nil, fmt.Errorf("decode difference: %w", err)
	}
	old, err := decodeHosts(from.Body)
	if err != nil {
		return nil, err
	}
	hosts := byID(old.Hosts)
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
		err = errIdentity
	}
	return body, err
}

func byID(hosts []hostlist.Host) map[string]hostlist.Host {
	out := make(map[string]hostlist.Host, len(hosts))
	for _, h := range hosts {
		out[h.ID] = h
	}
	return out
}
