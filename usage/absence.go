package usage

import (
	"maps"
	"slices"
	"time"
)

// silence is the time without a report after which a daemon whose entry disappears is taken for one that was cut off. Reports come once a
// second. The entry of a daemon that stops is deleted directly after its last report; that of one that is cut off expires several seconds
// after it.
const silence = 2 * time.Second

// absence holds the daemons without a membership entry that may still have counts, since they may be cut off from the store and from the
// holder. It holds only names that were members in the term of the holder.
type absence struct {
	present map[string]bool      // members at the last update
	heard   map[string]time.Time // last report
	gone    map[string]time.Time // when the entry of a former member disappeared
	limit   time.Duration        // after its last report, for which a daemon is awaited
	begin   time.Time            // of the term
}

// reset begins a term.
func (a *absence) reset(now time.Time) {
	*a = absence{limit: a.limit, begin: now, heard: map[string]time.Time{}, gone: map[string]time.Time{}}
}

// shift applies an adjustment of the holder's clock.
func (a *absence) shift(by time.Duration) {
	a.begin = a.begin.Add(by)
	for _, m := range []map[string]time.Time{a.heard, a.gone} {
		for name, at := range m {
			m[name] = at.Add(by)
		}
	}
}

// receive applies a report that was made at a time.
func (a *absence) receive(daemon string, at time.Time) {
	if at.After(a.heard[daemon]) && (a.present[daemon] || !a.gone[daemon].IsZero() || len(a.heard) < maxHeard) {
		a.heard[daemon] = at
	}
}

// maxHeard bounds the daemons that are not members and whose last report is known: a report may arrive before the entry.
const maxHeard = 2000

// update applies the present members, and returns the absent daemons that are awaited.
func (a *absence) update(now time.Time, members []string) []string {
	present := make(map[string]bool, len(members))
	for _, m := range members {
		present[m] = true
		delete(a.gone, m)
	}
	for m := range a.present {
		if !present[m] {
			a.gone[m] = now
		}
	}
	a.present = present
	maps.DeleteFunc(a.gone, func(name string, _ time.Time) bool { return now.After(a.last(name).Add(a.limit)) })
	maps.DeleteFunc(a.heard, func(name string, at time.Time) bool {
		return !present[name] && a.gone[name].IsZero() && now.After(at.Add(a.limit))
	})
	var out []string
	for name, gone := range a.gone {
		if last := a.last(name); gone.Sub(last) >= silence || last.After(gone.Add(Margin)) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// last returns when a daemon was heard last. One that did not report in this term may have been cut off since before it.
func (a *absence) last(daemon string) time.Time {
	if at, ok := a.heard[daemon]; ok {
		return at
	}
	return a.begin.Add(-silence)
}
