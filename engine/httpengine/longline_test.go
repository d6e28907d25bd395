package httpengine

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// Guards against events that are lost or joined where a line fills the read buffer.
func TestLinesAroundTheBufferSize(t *testing.T) {
	for _, size := range []int{streamBufSize, 2 * streamBufSize} {
		for n := size - 3; n <= size+3; n++ {
			const frame = `data: {"choices":[{"delta":{"content":""}}]}`
			text := strings.Repeat("a", n-len(frame))
			body := fmt.Sprintf("id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\nid: 2\ndata: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\ndata: [DONE]\n\n", text)
			s := NewStream(&http.Response{Body: io.NopCloser(strings.NewReader(body))}, func() {})
			first, err1 := s.Next()
			second, err2 := s.Next()
			_, end := s.Next()
			if err1 != nil || err2 != nil || end != io.EOF || first.Text != text || second.Text != "b" {
				t.Errorf("line of %d bytes: events of %d and %d bytes, errors %v, %v, %v", n, len(first.Text), len(second.Text), err1, err2, end)
			}
		}
	}
}
