package pipeline

import (
	"time"

	"github.com/bramleytrail/bramleytrail/relay"
)

const (
	// slowCallerTime is the time for which writes to a caller have blocked from which on its slowness may be why the endpoint gave the answer
	// up: endpoints cut off what remains unread for some seconds.
	slowCallerTime = time.Second
	// minWait is the time that a read of the answer takes at least if nothing of it was waiting.
	minWait = 5 * time.Millisecond
)

// backlog tells how long an answer has been waiting for its caller. It is used by one goroutine.
type backlog struct {
	now     func() time.Time
	blocked time.Duration // in writes to the caller, since the answer was last read up to what the endpoint had sent
}

// read measures a read of the answer that began at a time.
func (b *backlog) read(start time.Time) {
	if b.now().Sub(start) >= minWait {
		b.blocked = 0
	}
}

// wrote measures a write to the caller that began at a time.
func (b *backlog) wrote(start time.Time) { b.blocked += b.now().Sub(start) }

// isLong reports whether an endpoint may have given the answer up because its caller was slow.
func (b *backlog) isLong() bool { return b.blocked >= slowCallerTime }

// measuredCaller measures the writes to a caller.
type measuredCaller struct {
	relay.Caller
	backlog *backlog
}

// Write implements relay.Caller.
func (c measuredCaller) Write(p []byte) (int, error) {
	start := c.backlog.now()
	n, err := c.Caller.Write(p)
	c.backlog.wrote(start)
	return n, err
}
