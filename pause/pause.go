package pause

import (
	"context"
	"time"
)

// For sleeps for d. It returns the context's error if ctx ends first or has ended already, and nil otherwise.
func For(ctx context.Context, d time.Duration) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
