package standin

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/rating"
	"github.com/bramleytrail/bramleytrail/weight"
)

// Guards against a service of the platform whose answer has no end: the daemon would keep all of it until its call times out.
func TestServiceAnswerWithoutEnd(t *testing.T) {
	const maxSent = 32 << 20 // the largest limit, and what the connection buffers
	for name, tc := range map[string]struct {
		start string
		call  func(ctx context.Context, url string) error
	}{
		"host list": {`{"hosts":[{"id":"`, func(ctx context.Context, url string) error {
			_, err := hostlist.NewHTTPSource(url).List(ctx, 0)
			return err
		}},
		"ratings": {`{"ratings":[{"id":"`, func(ctx context.Context, url string) error {
			_, err := rating.NewHTTPSource(url).After(ctx, 0, 10)
			return err
		}},
		"ticket": {`{"ticket":"`, func(ctx context.Context, url string) error {
			_, err := weight.NewHTTPStore(url).Reserve(ctx, "v1")
			return err
		}},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			addr := serveHandler(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				chunk := make([]byte, 64<<10)
				for i := range chunk {
					chunk[i] = 'x'
				}
				_, err := io.WriteString(w, tc.start)
				for err == nil && sent.Load() <= maxSent {
					var n int
					n, err = w.Write(chunk)
					sent.Add(int64(n))
				}
			}))
			if err := tc.call(testContext(t), "http://"+addr); err == nil || sent.Load() > maxSent {
				t.Errorf("error %v after %d bytes", err, sent.Load())
			}
		})
	}
}
