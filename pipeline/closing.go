package pipeline

import (
	"context"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/result"
)

// Closing is the planned stop of a daemon: from its beginning, each request must be answered before its end. It is safe for concurrent use.
type Closing struct {
	over    context.Context // cancelled at the end
	setOver context.CancelFunc

	mu  sync.Mutex
	end time.Time // zero before the beginning
	// durations estimates how long the answered requests of a route take, by the route's name.
	durations map[string]duration
}

// duration is a fading mean of times, and of their deviations from it.
type duration struct{ mean, deviation time.Duration }

// NewClosing returns a stop that has not begun.
func NewClosing() *Closing {
	c := &Closing{durations: map[string]duration{}}
	c.over, c.setOver = context.WithCancel(context.Background())
	return c
}

// Begin begins the stop, which lasts until a time. onEnd is called then, before requests are ended.
func (c *Closing) Begin(end time.Time, onEnd func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end = end
	time.AfterFunc(time.Until(end), func() {
		onEnd()
		c.setOver()
	})
}

const (
	// meanWeight and deviationWeight are the weights of the newest time in the fading means, and deviations the number of mean
	// deviations by which a request may take longer, as in the retransmission timeout of TCP (RFC 6298).
	meanWeight, deviationWeight, deviations = 0.125, 0.25, 4
	// maxDurations bounds the routes of which durations are held.
	maxDurations = 4096
)

// observe records the time that an answered request of a route took.
func (c *Closing) observe(route string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d, known := c.durations[route]
	if !known {
		if len(c.durations) >= maxDurations {
			clear(c.durations)
		}
		c.durations[route] = duration{took, took / 2}
		return
	}
	d.deviation += time.Duration(deviationWeight * float64((took-d.mean).Abs()-d.deviation))
	d.mean += time.Duration(meanWeight * float64(took-d.mean))
	c.durations[route] = d
}

// admit returns an error for a request that may not run twice and would perhaps not be answered before the end: another daemon can serve
// it, but nobody can if it is cut. limit is the longest time that it may take.
func (c *Closing) admit(route *object.Route, limit time.Duration, now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.end.IsZero() || route.MayRepeat() {
		return nil
	}
	need := limit
	if d, known := c.durations[route.Name]; known {
		need = min(need, d.mean+deviations*d.deviation)
	}
	if c.end.Sub(now) < need {
		return result.Newf(result.Draining, "").WithRetryAfter(drainRetryAfter)
	}
	return nil
}

// drainRetryAfter is the delay after which a caller is told to retry at another daemon.
const drainRetryAfter = 50 * time.Millisecond

// bound returns a context that ends with the stop, as if the deadline of the request were then.
func (c *Closing) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	unregister := context.AfterFunc(c.over, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() { unregister(); cancel(nil) }
}
