package peer

import (
	"errors"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/poison"
)

// numberDiffer makes differences that apply only to documents with the body "good".
type numberDiffer struct{}

func (numberDiffer) Diff(from, _ Document) ([]byte, error) { return from.Body[:1], nil }

func (numberDiffer) Patch(from Document, _ []byte, _ DocumentID) ([]byte, error) {
	if string(from.Body) != "good" {
		return nil, errors.New("wrong digest")
	}
	return []byte("patched"), nil
}

// Guards against a difference that is applied to another version than its base, and against a daemon that asks for
// differences again and again although they can't be applied.
func TestDifferenceFallsBackToTheWholeDocument(t *testing.T) {
	n, err := New(Spec{Self: hostlist.Host{ID: "a"}, Handler: nothing{}, Poison: poison.NewTable(), Now: time.Now, Dial: noDial, Differ: numberDiffer{}}, nil)
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
		d, err := n.complete(Document{DocumentID: id(10), Base: id(c.base), Diff: []byte("x")})
		if (err == nil) != c.ok || c.ok && string(d.Body) != "patched" {
			t.Errorf("base %d: %q, %v", c.base, d.Body, err)
		}
		if whole := n.fetchArgs("hosts").Have == (DocumentID{}); whole == c.ok {
			t.Errorf("base %d: the next fetch asks for the whole document: %t", c.base, whole)
		}
		if n.fetchArgs("hosts").Have != id(3) {
			t.Errorf("base %d: later fetches don't name the version held", c.base)
		}
	}
	for have, base := range map[uint64]uint64{1: 1, 2: 2, 0: 0} {
		if d, ok := n.documentFor("hosts", id(have)); !ok || d.Base.Number != base || (base == 0) != (string(d.Body) == "newest") {
			t.Errorf("a peer with %d gets %+v", have, d)
		}
	}
}
