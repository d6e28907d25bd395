package relay

import (
	"io"
	"net/http"
	"testing"

	"github.com/bramleytrail/bramleytrail/engine"
)

// repeatedEvents is a source of n equal events.
type repeatedEvents struct{ n int }

func (e *repeatedEvents) Next() (engine.Event, error) {
	if e.n == 0 {
		return engine.Event{}, io.EOF
	}
	e.n--
	return engine.Event{Seq: 1, Text: "123456 "}, nil
}

// discardCaller discards the answer.
type discardCaller struct{}

func (discardCaller) Begin(int, http.Header) error         { return nil }
func (discardCaller) Write(p []byte) (int, error)          { return len(p), nil }
func (discardCaller) End() error                           { return nil }
func (discardCaller) Reply(int, http.Header, []byte) error { return nil }

// BenchmarkEvent measures how long Stream takes for one event without a connection.
func BenchmarkEvent(b *testing.B) {
	b.ReportAllocs()
	if err := Stream(&repeatedEvents{b.N}, discardCaller{}, AnswerMeta{ID: "chatcmpl-1", Model: "small-1", Created: 1e9}); err != nil {
		b.Fatal(err)
	}
}
