package peer

import (
	"bytes"
	"encoding/gob"
	"strings"
	"testing"
)

func sampleDigest() DigestArgs {
	return DigestArgs{ID: "entry-1", Domain: "cotacachi", From: "10.0.0.1:8081", Watchers: 2, Docs: []DocumentID{
		{Name: "config", Number: 1 << 20, Digest: strings.Repeat("0123456789abcdef", 4)},
		{Name: "hosts", Number: 3<<40 | 1<<20, Digest: strings.Repeat("0123456789abcdef", 4)},
	}}
}

// Guards against a digest from a peer that stops a node when it is decoded or compared.
func FuzzDigest(f *testing.F) {
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(sampleDigest()); err != nil {
		f.Fatal(err)
	}
	f.Add(buf.Bytes())
	f.Add(buf.Bytes()[:buf.Len()/2])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		var d DigestArgs
		if gob.NewDecoder(bytes.NewReader(data)).Decode(&d) != nil {
			return
		}
		for _, a := range d.Docs {
			for _, b := range d.Docs {
				if a.Newer(b) && b.Newer(a) {
					t.Fatalf("%v and %v are each newer than the other", a, b)
				}
			}
		}
	})
}

// BenchmarkDigestSize reports the bytes of a digest on a connection that has described its types.
func BenchmarkDigestSize(b *testing.B) {
	var buf bytes.Buffer
	enc := gob.NewEncoder(&buf)
	for i := 0; b.Loop(); i++ {
		if i == 1 {
			buf.Reset()
		}
		if err := enc.Encode(sampleDigest()); err != nil {
			b.Fatal(err)
		}
		if i == 1 {
			b.ReportMetric(float64(buf.Len()), "B/digest")
		}
	}
}
