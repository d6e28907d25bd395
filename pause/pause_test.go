package pause

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a wait that ends early, that continues after its context has ended, or that does not report that the
// context has ended.
func TestFor(t *testing.T) {
	for name, c := range map[string]struct {
		wait, until time.Duration // until the context ends
		took        time.Duration
		err         error
	}{
		"whole":     {wait: time.Second, until: time.Minute, took: time.Second},
		"cut short": {wait: time.Minute, until: time.Second, took: time.Second, err: context.DeadlineExceeded},
		"ended":     {wait: time.Minute, err: context.DeadlineExceeded},
		"no time":   {until: time.Second},
		"neither":   {err: context.DeadlineExceeded},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), c.until)
			defer cancel()
			start := time.Now()
			if err := For(ctx, c.wait); !errors.Is(err, c.err) || time.Since(start) != c.took {
				t.Errorf("%s: returned %v after %s; want %v after %s", name, err, time.Since(start), c.err, c.took)
			}
		})
	}
}
