package intake

import (
	"bytes"
	"testing"
)

// FuzzHeader guards against a measure of header sections that depends on the pieces in which they arrive, or that allocates.
func FuzzHeader(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\nbody"), 3)
	f.Add(bytes.Repeat([]byte("\r\n"), 100), 1)
	f.Add(append([]byte("GET / HTTP/1.1\r\n"), bytes.Repeat([]byte("a:\n"), 500)...), 7)
	f.Fuzz(func(t *testing.T, data []byte, piece int) {
		var whole, pieces Header
		if n := testing.AllocsPerRun(1, func() { whole = Header{}; whole.Add(data) }); n > 0 {
			t.Errorf("%g allocations", n)
		}
		for rest := data; len(rest) > 0; {
			n := min(len(rest), max(1, piece))
			pieces.Add(rest[:n])
			rest = rest[n:]
		}
		if whole != pieces {
			t.Errorf("%+v at once, %+v in pieces of %d", whole, pieces, piece)
		}
		if size := whole.FirstLine + whole.Bytes; size > len(data) || whole.Lines > len(data) || whole.Cost() < int64(size) {
			t.Errorf("%+v of %d bytes", whole, len(data))
		}
	})
}
