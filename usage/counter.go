package usage

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// MaxTeams bounds the teams that are counted in one window. Their counts take about 40 KB of memory.
const MaxTeams = 1024

// Window holds the counts of one window, or a part of them.
type Window struct {
	Number int64          `msgpack:"n" json:"n"`
	Counts map[string]int `msgpack:"c" json:"c"` // by team
	// Total is the sum of all counts, also of those in other parts. A receiver that has less has not received all parts.
	Total int `msgpack:"t" json:"-"`
}

// Counter counts requests by team and window. Only the newest windows are kept.
type Counter struct {
	window  time.Duration
	keep    int
	windows map[int64]map[string]int
	refused int64 // last window in which a request was not counted
}

// NewCounter returns a counter for windows of a length, which keeps a number of them.
func NewCounter(window time.Duration, keep int) *Counter {
	return &Counter{window: window, keep: keep, windows: map[int64]map[string]int{}}
}

// Add counts a request of a team whose answer began at a time. It returns false if the request was not counted, because the window has
// too many teams or is no longer kept. first says that it is the first such request of the window.
func (c *Counter) Add(team string, at time.Time) (counted, first bool) {
	k := WindowOf(at, c.window)
	if c.add(team, k) {
		return true, false
	}
	first, c.refused = k != c.refused, k
	return false, first
}

func (c *Counter) add(team string, k int64) bool {
	w := c.windows[k]
	if w == nil {
		w = map[string]int{}
		c.windows[k] = w
		for len(c.windows) > c.keep {
			delete(c.windows, slices.Min(slices.Collect(maps.Keys(c.windows))))
		}
		if c.windows[k] == nil {
			return false
		}
	}
	if _, known := w[team]; !known && len(w) >= MaxTeams {
		return false
	}
	w[team]++
	return true
}

// SetBack applies an adjustment of the clock after which it shows now. Counts of windows that have not begun yet are moved to that of now;
// the others stay where they are, since the times of their requests are not known.
func (c *Counter) SetBack(now time.Time) {
	current := WindowOf(now, c.window)
	for _, k := range slices.Sorted(maps.Keys(c.windows)) {
		if k <= current {
			continue
		}
		if c.windows[current] == nil {
			c.windows[current] = map[string]int{}
		}
		for team, n := range c.windows[k] {
			c.windows[current][team] += n
		}
		delete(c.windows, k)
	}
}

// Snapshot returns the counts of the windows that end after a time and begin before now, also of those without requests.
func (c *Counter) Snapshot(after, now time.Time) []Window {
	var out []Window
	for k := WindowOf(after, c.window); k <= WindowOf(now, c.window); k++ {
		w := Window{Number: k, Counts: maps.Clone(c.windows[k])}
		for _, n := range w.Counts {
			w.Total += n
		}
		out = append(out, w)
	}
	return out
}

// Split divides windows into groups of parts, each with at most a number of bytes of names and counts.
func Split(windows []Window, maxBytes int) [][]Window {
	const windowBytes, countBytes = 24, 6 // of the encoding, in addition to the names
	var out [][]Window
	var group []Window
	size := 0
	for _, w := range windows {
		part := Window{Number: w.Number, Total: w.Total, Counts: map[string]int{}}
		size += windowBytes
		for _, team := range slices.SortedFunc(maps.Keys(w.Counts), cmp.Compare) {
			if bytes := len(team) + countBytes; size+bytes > maxBytes {
				out = append(out, append(group, part))
				group, size = nil, windowBytes
				part = Window{Number: w.Number, Total: w.Total, Counts: map[string]int{}}
			}
			part.Counts[team] = w.Counts[team]
			size += len(team) + countBytes
		}
		group = append(group, part)
	}
	if len(group) > 0 {
		out = append(out, group)
	}
	return out
}
