package httpengine

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/bramleytrail/bramleytrail/engine"
)

// endless repeats a text and counts the bytes that were read of it.
type endless struct {
	text string
	read int
}

// Read implements io.Reader.
func (e *endless) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		n += copy(p[n:], e.text[(e.read+n)%len(e.text):])
	}
	e.read += n
	return n, nil
}

// Guards against an engine that never ends an event, all of which the daemon would keep in memory.
func TestEventWithoutEnd(t *testing.T) {
	for name, tc := range map[string]struct{ start, repeated string }{
		"no line break":      {"", "garbage"},
		"one data line":      {"data: ", "x"},
		"many data lines":    {"id: 1\n", "data: x\n"},
		"empty data lines":   {"", "data:\n"},
		"many IDs":           {"data: x\n", "id: 1234567\n"},
		"lines without data": {"", "retry: 1\n"},
	} {
		t.Run(name, func(t *testing.T) {
			source := &endless{text: tc.repeated}
			s := NewStream(&http.Response{Body: io.NopCloser(io.MultiReader(strings.NewReader(tc.start), io.LimitReader(source, 1<<26)))}, func() {})
			_, err := s.Next()
			if limit := 2 * maxEventBytes; !errors.Is(err, engine.ErrBroken) || source.read > limit {
				t.Errorf("error %v after %d bytes, want one that the stream is broken after at most %d", err, source.read, limit)
			}
		})
	}
}
