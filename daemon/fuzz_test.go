package daemon

import (
	"bytes"
	"testing"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/declare"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/peer"
)

// Guards against a stored revision or a peer's document that crashes a daemon, is accepted under a number other than its own,
// or comes into force without passing validation.
func FuzzConfigDocument(f *testing.F) {
	rev := config.Revision{Number: 3, Digest: declare.Digest([]byte("x")), Body: []byte("x")}
	data, err := rev.Marshal()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(uint64(3), data)
	f.Add(uint64(4), data)
	f.Add(uint64(0), []byte(`{"number":18446744073709551615,"body":null}`))
	f.Add(uint64(1), []byte("\x1f\x8b"))
	valid, _, err := declare.Encode(object.Set{FailureDomains: []object.FailureDomain{{Name: "a", Region: "r", State: object.DomainIn}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(uint64(2), valid)
	f.Fuzz(func(t *testing.T, number uint64, body []byte) {
		h := &config.Holder{}
		changed, err := h.Apply(config.Revision{Number: number, Digest: declare.Digest(body), Body: body})
		if changed && (err != nil || len(declare.Check(h.View().Set, nil)) > 0) {
			t.Fatal("a set that fails validation is in force")
		}
		doc := peer.Document{DocumentID: peer.DocumentID{Name: docConfig, Number: number, Digest: rev.Digest}, Body: body}
		r, err := decodeConfigDocument(doc)
		if err != nil {
			return
		}
		if r.Number != number || declare.Digest(r.Body) != doc.Digest {
			t.Fatalf("revision %d %s accepted as document %d %s", r.Number, r.Digest, number, doc.Digest)
		}
	})
}

// Guards against a host list that crashes a daemon or changes when it is decoded and encoded again for a peer.
func FuzzHostsDocument(f *testing.F) {
	body, err := encodeHosts(hostlist.List{Revision: 7, Hosts: []hostlist.Host{{ID: "b"}, {ID: "a", Role: hostlist.RoleEntry, Versions: []string{"v"}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(uint64(7), body)
	f.Add(uint64(1)<<listRevisionBits|7, body)
	f.Add(uint64(8), body)
	f.Add(uint64(0), []byte("\x1f\x8b\x08\x00"))
	f.Fuzz(func(t *testing.T, number uint64, body []byte) {
		list, err := decodeHostsDocument(peer.Document{DocumentID: peer.DocumentID{Name: docHosts, Number: number, Digest: declare.Digest(body)}, Body: body})
		if err != nil {
			return
		}
		if list.Revision != number&maxListRevision {
			t.Fatalf("host list revision %d accepted as document number %d", list.Revision, number)
		}
		once, err := encodeHosts(list)
		if err != nil {
			t.Fatal(err)
		}
		again, err := decodeHosts(once)
		if err != nil || !sameHosts(list.Hosts, again.Hosts) {
			t.Fatalf("list changed by encoding and decoding: %v", err)
		}
		if twice, err := encodeHosts(again); err != nil || !bytes.Equal(once, twice) {
			t.Fatalf("equal lists have different encodings: %v", err)
		}
	})
}
