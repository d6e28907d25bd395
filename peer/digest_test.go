package peer

import (
	"bytes"
	"encoding/gob"
	"strings"
	"testing"
)

// sampleDigest returns a digest with field sizes as in production.
func sampleDigest() DigestArgs {
	return DigestArgs{ID: "entry-1", Domain: "cotacachi", From: "10.0.0.1:8081", Watchers: 2, Docs: []DocumentID{
		{Name: "config", Number: 1 << 20, Digest: strings.Repeat("0123456789abcdef", 4)},
		{Name: "hosts", Number: 3<<40 | 1<<20, Digest: strings.Repeat("0123456789abcdef", 4)},
	}}
}

// Guards against a digest from a peer that makes the daemon panic when it is decoded or compared, and against two
// documents that are each newer than the other, which daemons would exchange forever.
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
					t.Fatalf("documents %v and %v are each newer than the other", a, b)
				}
			}
		}
	})
}

// BenchmarkDigestSize reports the encoded size of a digest, without the type descriptions that only the first message
// of a connection contains.
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
