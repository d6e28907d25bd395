package relay

import (
	"io"
	"net/http"
	"testing"

	"github.com/bramleytrail/bramleytrail/engine"
)

// events gives the same event n times.
type events struct{ n int }

func (e *events) Next() (engine.Event, error) {
	if e.n == 0 {
		return engine.Event{}, io.EOF
	}
	e.n--
	return engine.Event{Seq: 1, Text: "123456 "}, nil
}

type discard struct{}

func (discard) Begin(int, http.Header) error         { return nil }
func (discard) Write(p []byte) (int, error)          { return len(p), nil }
func (discard) End() error                           { return nil }
func (discard) Reply(int, http.Header, []byte) error { return nil }

// BenchmarkEvent measures the encoding of one event.
func BenchmarkEvent(b *testing.B) {
	b.ReportAllocs()
	if err := Stream(&events{b.N}, discard{}, Meta{ID: "chatcmpl-1", Model: "small-1", Created: 1e9}); err != nil {
		b.Fatal(err)
	}
}
