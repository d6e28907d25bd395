package usage

import "time"

// Clock estimates true time: the time of day at the start of the process, advanced by a clock that never jumps, so that later jumps of the
// time of day are ignored.
type Clock struct {
	wall, steady time.Time // of the same moment
	adjusted     int
}

// NewClock returns a clock that shows wall when the clock that never jumps shows steady.
func NewClock(wall, steady time.Time) *Clock {
	return &Clock{wall: wall.Round(0), steady: steady} // Round removes the monotonic reading
}

// At returns the estimate of true time when the clock that never jumps shows steady.
func (c *Clock) At(steady time.Time) time.Time { return c.wall.Add(steady.Sub(c.steady)) }

// Adjust adds d to the estimate.
func (c *Clock) Adjust(d time.Duration) { c.wall, c.adjusted = c.wall.Add(d), c.adjusted+1 }

// Adjusted returns the number of adjustments.
func (c *Clock) Adjusted() int { return c.adjusted }

// WindowOf returns the number of the window that contains a time.
func WindowOf(at time.Time, window time.Duration) int64 {
	n := at.UnixNano()
	k := n / int64(window)
	if n < 0 && n%int64(window) != 0 {
		k--
	}
	return k
}

// WindowEnd returns the end of a window.
func WindowEnd(number int64, window time.Duration) time.Time {
	return time.Unix(0, (number+1)*int64(window))
}
