package dispatch

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/bramleytrail/bramleytrail/engine"
)

// Guards against refusals for lack of capacity that are not counted, and against failures of endpoints that count as such.
func TestRefusalsForLackOfCapacity(t *testing.T) {
	for _, c := range []struct {
		held int // requests that hold slots
		err  error
		want int
	}{{0, engine.ErrBusy, 1}, {32, nil, 1}, {0, engine.ErrUnreachable, 0}, {0, engine.ErrFailed, 0}} {
		synctest.Test(t, func(t *testing.T) {
			held := 0
			f, in := routedFilter(t, routerFunc(func(ctx context.Context, addr string, r *engine.RoutedRequest) (*engine.RoutedResponse, error) {
				if held++; held > c.held {
					return nil, c.err
				}
				return answerOK(ctx, addr, r)
			}))
			refused := 0
			f.spec.OnRefused = func(string) { refused++ }
			for range c.held {
				if _, err := f.NewExchange(context.Background(), in).Do("m", 0); err != nil {
					t.Fatal(err)
				}
			}
			if _, err := f.NewExchange(context.Background(), in).Do("m", 0); err == nil || refused != c.want {
				t.Errorf("%+v: error %v, %d refusals counted", c, err, refused)
			}
		})
	}
}
