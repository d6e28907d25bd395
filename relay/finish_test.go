package relay

import (
	"errors"
	"net/http"
	"testing"

	"github.com/bramleytrail/bramleytrail/result"
)

var errClosed = errors.New("connection closed")

// closingCaller fails each call after its first writes.
type closingCaller struct{ writes int }

func (*closingCaller) Begin(int, http.Header) error         { return nil }
func (*closingCaller) Reply(int, http.Header, []byte) error { return nil }
func (c *closingCaller) Write(p []byte) (int, error) {
	if c.writes == 0 {
		return 0, errClosed
	}
	c.writes--
	return len(p), nil
}

func (c *closingCaller) End() error {
	if c.writes == 0 {
		return errClosed
	}
	return nil
}

// Guards against a whole answer that counts as one whose caller left, since the caller closed its connection at the final
// marker; and against one without its marker that counts as whole.
func TestFinishWithoutReader(t *testing.T) {
	if err := Finish(&closingCaller{writes: 1}); err != nil {
		t.Errorf("closed after the marker: %v", err)
	}
	if err := Finish(&closingCaller{}); result.From(err).Code != result.CallerGone {
		t.Errorf("closed before the marker: %v", err)
	}
}
