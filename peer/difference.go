package peer

import (
	"errors"
	"fmt"
	"slices"
)

var errBaseUnavailable = errors.New("base version of the difference is not available")

// maxHistory is the number of earlier versions of a document that are kept as bases of differences. At two versions a
// second, a peer that is 4 s behind still gets a difference.
const maxHistory = 8

// Differ computes and applies differences between versions of a document. Its methods may be called concurrently.
type Differ interface {
	// Diff returns a difference from which Patch makes the body of to out of from. It returns an error for documents that
	// must be sent whole.
	Diff(from, to Document) ([]byte, error)
	// Patch applies diff to from and returns the new body. It returns an error if the result does not match the identity
	// to.
	Patch(from Document, diff []byte, to DocumentID) (body []byte, err error)
}

// pushHistoryLocked adds the current version of a document, which is about to be replaced, to its history and discards
// the cached differences to that version. It does nothing without a Differ. n.mu must be held.
func (n *Node) pushHistoryLocked(name string) {
	d, ok := n.docs[name]
	if n.spec.Differ == nil || !ok {
		return
	}
	history := append(n.history[name], d)
	n.history[name] = history[max(0, len(history)-maxHistory):]
	delete(n.diffs, name)
}

// lookupVersion returns a version of a document, if it is the current one or still in the history.
func (n *Node) lookupVersion(id DocumentID) (Document, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if d := n.docs[id.Name]; d.DocumentID == id {
		return d, true
	}
	i := slices.IndexFunc(n.history[id.Name], func(d Document) bool { return d.DocumentID == id })
	if i < 0 {
		return Document{}, false
	}
	return n.history[id.Name][i], true
}

// diffBaseLocked returns the base of the difference for a peer that has the version have: this version, or else the
// newest older one in the history. Watchers may have read different revisions of a list that changes quickly, so the
// node may never have had the peer's version; the peer has most likely had the older one. n.mu must be held.
func (n *Node) diffBaseLocked(have DocumentID) (Document, bool) {
	for _, d := range slices.Backward(n.history[have.Name]) {
		if d.DocumentID == have || have.Newer(d.DocumentID) {
			return d, true
		}
	}
	return Document{}, false
}

// documentFor returns the node's version of a document for a peer that has the version have: as a difference if that is
// possible and shorter, otherwise whole. It reports false if the node has no version.
func (n *Node) documentFor(name string, have DocumentID) (Document, bool) {
	n.mu.Lock()
	d, ok := n.docs[name]
	base, found := n.diffBaseLocked(have)
	diff, cached := n.diffs[name][base.DocumentID]
	n.mu.Unlock()
	if !ok || !found {
		return d, ok
	}
	if !cached {
		computed, err := n.spec.Differ.Diff(base, d)
		if err != nil {
			return d, true
		}
		diff = computed
		n.cacheDiff(d.DocumentID, base.DocumentID, computed)
	}
	if len(diff) >= len(d.Body) {
		return d, true
	}
	return Document{DocumentID: d.DocumentID, Base: base.DocumentID, Diff: diff}, true
}

// cacheDiff stores a difference from base to to for other peers that have base, unless to has been replaced meanwhile.
func (n *Node) cacheDiff(to, base DocumentID, diff []byte) {
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

// resolveDiff returns a document with its body, which it reconstructs if the document came as a difference. A document
// that the node doesn't want is returned unchanged. After an error, the next fetch of the document requests the whole.
func (n *Node) resolveDiff(d Document) (Document, error) {
	if d.Base == (DocumentID{}) || !n.wants(d.DocumentID) {
		return d, nil
	}
	err := errBaseUnavailable
	if base, ok := n.lookupVersion(d.Base); ok && n.spec.Differ != nil {
		d.Body, err = n.spec.Differ.Patch(base, d.Diff, d.DocumentID)
	}
	if err != nil {
		n.mu.Lock()
		n.fetchWhole[d.Name] = true
		n.mu.Unlock()
		return d, fmt.Errorf("apply difference to document %q: %w", d.Name, err)
	}
	d.Base, d.Diff = DocumentID{}, nil
	return d, nil
}

// fetchArgs returns the arguments of the next fetch of a document. They request a difference against the node's
// version, or the whole document, once, after a difference could not be applied.
func (n *Node) fetchArgs(name string) FetchArgs {
	n.mu.Lock()
	defer n.mu.Unlock()
	args := FetchArgs{Name: name}
	if !n.fetchWhole[name] {
		args.Have = n.docs[name].DocumentID
	}
	delete(n.fetchWhole, name)
	return args
}

// receiveDocument processes a document that a peer has sent and returns the error of offer. If the document is a
// difference that can't be applied, the whole document is fetched from the peer in the background.
func (n *Node) receiveDocument(d Document, from string) error {
	whole, err := n.resolveDiff(d)
	if err != nil {
		n.spec.Log.WithError(err).Debug("difference between document versions not applied; fetching the whole document")
		n.fetchNewer(from, []DocumentID{d.DocumentID})
		return nil
	}
	return n.offer(whole, from)
}
