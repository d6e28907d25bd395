package peer

import (
	"errors"
	"fmt"
	"slices"
)

var errOtherBase = errors.New("difference is against another version than the one held")

// maxPast is the number of earlier versions of a document against which differences are given. With two versions a
// second, a peer that is 4 s behind still gets a difference.
const maxPast = 8

// Differ makes and applies differences between versions of a document.
type Differ interface {
	// Diff returns what turns from into to. It fails for documents that are sent whole.
	Diff(from, to Document) ([]byte, error)
	// Patch applies diff to from. It fails if the result does not have the identity to.
	Patch(from Document, diff []byte, to DocumentID) (body []byte, err error)
}

// keepPastLocked keeps the version that is about to be replaced.
func (n *Node) keepPastLocked(name string) {
	d, ok := n.docs[name]
	if n.spec.Differ == nil || !ok {
		return
	}
	past := append(n.past[name], d)
	n.past[name] = past[max(0, len(past)-maxPast):]
	delete(n.diffs, name)
}

// versionOf returns one version of a document, if the node has it or has had it lately.
func (n *Node) versionOf(id DocumentID) (Document, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if d := n.docs[id.Name]; d.DocumentID == id {
		return d, true
	}
	i := slices.IndexFunc(n.past[id.Name], func(d Document) bool { return d.DocumentID == id })
	if i < 0 {
		return Document{}, false
	}
	return n.past[id.Name][i], true
}

// baseLocked returns the version against which a peer that has the version have gets a difference. Watchers may have read
// different revisions of a list that changes quickly; if the node has not had the peer's, it takes the newest older one,
// which the peer most likely has had.
func (n *Node) baseLocked(have DocumentID) (Document, bool) {
	for _, d := range slices.Backward(n.past[have.Name]) {
		if d.DocumentID == have || have.Newer(d.DocumentID) {
			return d, true
		}
	}
	return Document{}, false
}

// documentFor returns the node's version of a document for a peer that has the version have: as a difference if that is
// shorter, otherwise whole.
func (n *Node) documentFor(name string, have DocumentID) (Document, bool) {
	n.mu.Lock()
	d, ok := n.docs[name]
	base, found := n.baseLocked(have)
	cached, known := n.diffs[name][base.DocumentID]
	n.mu.Unlock()
	if !ok || !found {
		return d, ok
	}
	if !known {
		diff, err := n.spec.Differ.Diff(base, d)
		if err != nil {
			return d, true
		}
		cached = diff
		n.keepDiff(d.DocumentID, base.DocumentID, diff)
	}
	if len(cached) >= len(d.Body) {
		return d, true
	}
	return Document{DocumentID: d.DocumentID, Base: base.DocumentID, Diff: cached}, true
}

// keepDiff keeps a difference for the next peer that has the same version, as long as to is the newest one.
func (n *Node) keepDiff(to, base DocumentID, diff []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.docs[to.Name].DocumentID != to {
		return
	}
	if n.diffs[to.Name] == nil {
		n.diffs[to.Name] = map[DocumentID][]byte{}
	}
	n.diffs[to.Name][base] = diff
}

// complete returns a document with its body. After a failure the next fetch of the document asks for all of it.
func (n *Node) complete(d Document) (Document, error) {
	if d.Base == (DocumentID{}) || !n.wants(d.DocumentID) {
		return d, nil
	}
	err := errOtherBase
	if base, ok := n.versionOf(d.Base); ok && n.spec.Differ != nil {
		d.Body, err = n.spec.Differ.Patch(base, d.Diff, d.DocumentID)
	}
	if err != nil {
		n.mu.Lock()
		n.whole[d.Name] = true
		n.mu.Unlock()
		return d, fmt.Errorf("document %q: %w", d.Name, err)
	}
	d.Base, d.Diff = DocumentID{}, nil
	return d, nil
}

// fetchArgs asks for a difference against the version that the node has, or for the whole document if the last
// difference could not be applied.
func (n *Node) fetchArgs(name string) FetchArgs {
	n.mu.Lock()
	defer n.mu.Unlock()
	args := FetchArgs{Name: name}
	if !n.whole[name] {
		args.Have = n.docs[name].DocumentID
	}
	delete(n.whole, name)
	return args
}

// take offers a document from a peer. If it is a difference that can't be applied, the whole document is fetched.
func (n *Node) take(d Document, from string) error {
	whole, err := n.complete(d)
	if err != nil {
		n.spec.Log.WithError(err).Debug("difference not applied; the whole document is fetched")
		n.fetchNewer(from, []DocumentID{d.DocumentID})
		return nil
	}
	return n.offer(whole, from)
}
