package relay

import (
	"errors"
	"net/http"
	"testing"

	"github.com/bramleytrail/bramleytrail/result"
)

var errClosed = errors.New("connection closed")

// closingCaller is a caller that closes its connection after the given number of writes.
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

// Guards against a complete answer that counts as abandoned because the caller closed its connection at the final marker, and
// against an answer that counts as complete although its marker was not sent.
func TestFinishStreamAfterCallerClosed(t *testing.T) {
	if err := FinishStream(&closingCaller{writes: 1}); err != nil {
		t.Errorf("connection closed after the final marker: error %v, want none", err)
	}
	if err := FinishStream(&closingCaller{}); result.From(err).Code != result.CallerGone {
		t.Errorf("connection closed before the final marker: error %v, want code %v", err, result.CallerGone)
	}
}
