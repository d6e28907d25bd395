package peer

import (
	"errors"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/poison"
)

// stubDiffer is a Differ whose differences apply only to documents with the body "good".
type stubDiffer struct{}

func (stubDiffer) Diff(from, _ Document) ([]byte, error) { return from.Body[:1], nil }

func (stubDiffer) Patch(from Document, _ []byte, _ DocumentID) ([]byte, error) {
	if string(from.Body) != "good" {
		return nil, errors.New("patched document has the wrong digest")
	}
	return []byte("patched"), nil
}

// Guards against a difference that is applied to another version than its base, and against a daemon that keeps
// requesting differences that it can't apply instead of the whole document.
func TestUnusableDifferenceFetchesWholeDocument(t *testing.T) {
	n, err := New(Spec{Self: hostlist.Host{ID: "a"}, Handler: nopHandler{}, Poison: poison.NewTable(), Now: time.Now, Dial: noDial, Differ: stubDiffer{}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	id := func(number uint64) DocumentID {
		return DocumentID{Name: "hosts", Number: number, Digest: "0123456789abcdef"}
	}
	for i, body := range []string{"good", "bad", "newest"} {
		if err := n.Offer(Document{DocumentID: id(uint64(i + 1)), Body: []byte(body)}); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		base uint64
		ok   bool
	}{{1, true}, {2, false}, {9, false}} {
		d, err := n.resolveDiff(Document{DocumentID: id(10), Base: id(c.base), Diff: []byte("x")})
		if (err == nil) != c.ok || c.ok && string(d.Body) != "patched" {
			t.Errorf("base %d: got body %q and error %v", c.base, d.Body, err)
		}
		if whole := n.fetchArgs("hosts").Have == (DocumentID{}); whole == c.ok {
			t.Errorf("base %d: next fetch requests the whole document: %t", c.base, whole)
		}
		if n.fetchArgs("hosts").Have != id(3) {
			t.Errorf("base %d: later fetches don't request a difference from the current version", c.base)
		}
	}
	for have, base := range map[uint64]uint64{1: 1, 2: 2, 0: 0} {
		if d, ok := n.documentFor("hosts", id(have)); !ok || d.Base.Number != base || (base == 0) != (string(d.Body) == "newest") {
			t.Errorf("a peer with version %d gets %+v", have, d)
		}
	}
}
