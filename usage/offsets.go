package usage

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxOffset is the largest difference of an estimate of true time from the median that is not corrected.
	maxOffset = Margin / 2
	// minOthers is the number of other daemons without which there is no correction: with two, one wrong clock could decide.
	minOthers = 3
	// keptOffsets is the number of reports whose smallest delay is used.
	keptOffsets = 8
)

// Offsets holds how far the estimates of true time of the daemons are ahead of that of the holder. It is not safe for concurrent use.
type Offsets struct {
	daemons map[string]*offsets
}

// offsets are those of one daemon since its start or its last correction.
type offsets struct {
	incarnation int64
	adjusted    int
	recent      []time.Duration
}

// Correction is an adjustment that a daemon is to make if it has made Adjusted ones before.
type Correction struct {
	Daemon      string
	Incarnation int64
	Adjusted    int
	By          time.Duration
}

// Receive applies the offset that a report shows. A delay of the report makes it smaller.
func (o *Offsets) Receive(daemon string, incarnation int64, adjusted int, offset time.Duration) {
	if o.daemons == nil {
		o.daemons = map[string]*offsets{}
	}
	d := o.daemons[daemon]
	if d == nil || d.incarnation != incarnation || d.adjusted != adjusted {
		d = &offsets{incarnation: incarnation, adjusted: adjusted}
		o.daemons[daemon] = d
	}
	d.recent = append(d.recent, offset)
	d.recent = d.recent[max(0, len(d.recent)-keptOffsets):]
}

// Shift applies an adjustment of the holder's own estimate.
func (o *Offsets) Shift(by time.Duration) {
	for _, d := range o.daemons {
		for i := range d.recent {
			d.recent[i] -= by
		}
	}
}

// Corrections returns the adjustments that are necessary, and forgets daemons that are not members. Each daemon is compared with the
// median of the others as they are after the adjustments before it, so that two halves do not swap their clocks.
func (o *Offsets) Corrections(members []string) []Correction {
	maps.DeleteFunc(o.daemons, func(name string, _ *offsets) bool { return !slices.Contains(members, name) })
	names := slices.Sorted(maps.Keys(o.daemons))
	if len(names) <= minOthers {
		return nil
	}
	current := make([]time.Duration, len(names))
	for i, name := range names {
		current[i] = slices.Max(o.daemons[name].recent)
	}
	sorted := slices.Sorted(slices.Values(current))
	var out []Correction
	for i, name := range names {
		k, _ := slices.BinarySearch(sorted, current[i])
		others := slices.Delete(slices.Clone(sorted), k, k+1)
		by := others[(len(others)-1)/2] - current[i]
		if by.Abs() <= maxOffset {
			continue
		}
		d := o.daemons[name]
		out = append(out, Correction{Daemon: name, Incarnation: d.incarnation, Adjusted: d.adjusted, By: by})
		current[i] += by
		sorted = slices.Sorted(slices.Values(current))
	}
	return out
}
