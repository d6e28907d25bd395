package usage

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Spec configures a Ledger.
type Spec struct {
	Window time.Duration // length of a window
	Late   time.Duration // after the end of a window, when its report is due
	// Wait is the shortest time for which a window stays open after its end, or after the ledger has begun to collect reports, for daemons
	// that have not reported after the end.
	Wait time.Duration
	// Reserve is the time before a report is due that is kept for the call. A window is closed then with what is known.
	Reserve time.Duration
	// Handover is the time before a report is due that a successor of the holder needs to send it: the rest of the lease, its own wait and
	// a call. While daemons are missing, a window stays open until then, if that is later than Wait.
	Handover time.Duration
}

// Open returns the time after its end for which a window stays open for daemons that have not reported, if the holder does not change.
func (s Spec) Open() time.Duration { return min(max(s.Wait, s.Late-s.Handover), s.Late-s.Reserve) }

// Margin is the largest difference between the clocks of two holders that is allowed for. Estimates of true time that are further than
// half of it from the median are corrected.
const Margin = time.Second

// Report is what a daemon has counted. Counts are absolute, so that lost and repeated reports do no harm.
type Report struct {
	Daemon      string
	Incarnation int64     // start of the daemon in Unix nanoseconds
	At          time.Time // when the counts were read, by the daemon's estimate of true time
	Adjusted    int       // number of adjustments of that estimate
	Windows     []Window
}

// DecodeRecord decodes a stored record.
func DecodeRecord(body []byte) (*Record, error) {
	r := &Record{}
	if err := json.Unmarshal(body, r); err != nil {
		return nil, fmt.Errorf("decode record of usage: %w", err)
	}
	if r.Holder == "" { // for example of the empty object, which decodes
		return nil, errors.New("decode record of usage: no holder")
	}
	return r, nil
}

// Record is what is stored for the next holder before anything is sent.
type Record struct {
	Holder string `json:"holder"` // host that wrote it
	Era    uint64 `json:"era"`    // of the holder's term
	// First is the number of the first window that may be sent although it is not in Windows.
	First   int64    `json:"first"`
	Windows []Window `json:"windows"`
}

// Outcome is what has become of a window.
type Outcome string

// Outcomes.
const (
	Sent      Outcome = "sent"
	Repeated  Outcome = "repeated"
	Abandoned Outcome = "abandoned" // may have been sent with other counts before a restore of the store
	Missed    Outcome = "missed"    // was not sent before it was due
)

// closedWindow is a window whose counts are final.
type closedWindow struct {
	Window
	outcome Outcome // empty until the window needs no further call
	stored  bool    // the store is known to have the counts
	tried   bool    // a call may have been made, by this holder or an earlier one
	retryAt time.Time
}

// source identifies a process that reports.
type source struct {
	daemon      string
	incarnation int64
}

// observed is what a process has reported of a window.
type observed struct {
	counts map[string]int
	sum    int
	final  bool // everything that was counted until the end of the window has arrived
}

// Ledger decides which windows are reported to the platform, when, and with which counts. It keeps what it knows between the terms of its
// holder. All times are estimates of true time. It is not safe for concurrent use.
type Ledger struct {
	spec       Spec
	reports    map[int64]map[source]*observed
	closed     map[int64]*closedWindow
	first      int64 // lowest window that may be sent without being in a record
	next       int64 // lowest window of which nothing was said yet
	hasRecord  bool  // first is that of a record
	begun      bool  // a term has begun, so that windows below next were settled or logged
	pruned     int64 // lowest window that has not been dropped from closed
	collecting time.Time
	newest     map[string]int64 // incarnation by daemon
	adjusted   map[source]int
	absence    absence
	awaited    int
}

// NewLedger returns a ledger of a daemon that started at a time.
func NewLedger(s Spec, started time.Time) *Ledger {
	first := WindowOf(started, s.Window)
	l := &Ledger{spec: s, collecting: started, reports: map[int64]map[source]*observed{}, closed: map[int64]*closedWindow{}, first: first, next: first, newest: map[string]int64{}, adjusted: map[source]int{}}
	l.absence.limit = s.Late + s.Window // no window from before is open then
	l.absence.reset(started)
	return l
}

// maxListed bounds the windows that Close lists as not sent after a long time without a holder.
const maxListed = 1000

// Begin begins a term of the holder that acquired the duty at a time in an era of the store. record is what the store holds, nil for
// nothing.
//
// If the record is of an earlier era, the store may have lost newer ones: windows that ended before the acquisition and that are not known
// may have been sent with other counts. Later ones can't have been sent, since their counts would have had to be stored in this era.
//
// It returns the windows that are abandoned now: the next record no longer has them, so that a successor knows nothing of them.
func (l *Ledger) Begin(now time.Time, era uint64, record *Record) []Closing {
	return l.begin(now, record, record == nil && era > 0 || record != nil && record.Era != era)
}

// BeginUnreadable begins a term whose holder could not decode what the store holds: windows that ended before the acquisition and that are
// not known may have been sent with other counts, as after a restore.
func (l *Ledger) BeginUnreadable(now time.Time) []Closing { return l.begin(now, nil, true) }

// begin begins a term. lost says that windows may have been sent that are not in the record.
func (l *Ledger) begin(now time.Time, record *Record, lost bool) []Closing {
	l.collecting = now
	l.absence.reset(now)
	// Another holder may have chosen other counts for what was not stored.
	maps.DeleteFunc(l.closed, func(_ int64, c *closedWindow) bool { return !c.stored || c.Counts == nil })
	for _, c := range l.closed {
		c.retryAt = time.Time{}
	}
	if record != nil {
		l.hasRecord, l.first = true, record.First
		if l.begun {
			l.next = max(l.next, record.First)
		} else { // windows from before the start of this process may still be sent, or are logged
			l.next = record.First
		}
		for _, w := range record.Windows {
			if l.closed[w.Number] == nil {
				l.closed[w.Number] = &closedWindow{Window: w, stored: true, tried: true}
			}
		}
	}
	if lost {
		l.hasRecord = true
		l.first = max(l.first, WindowOf(now.Add(Margin), l.spec.Window))
	}
	if record == nil && lost && !l.begun {
		l.next = min(l.next, WindowOf(now.Add(-l.spec.Late), l.spec.Window))
	}
	l.begun = true
	l.next = max(l.next, WindowOf(now, l.spec.Window)-maxListed)
	var out []Closing
	for k := l.next; k < l.first; k++ {
		if l.closed[k] == nil {
			out = append(out, l.giveUp(k, Abandoned))
		}
	}
	l.advance()
	return out
}

// Shift applies an adjustment of the estimate of true time.
func (l *Ledger) Shift(by time.Duration) {
	l.collecting = l.collecting.Add(by)
	l.absence.shift(by)
}

// Awaited returns the number of daemons without a membership entry for which windows are kept open.
func (l *Ledger) Awaited() int { return l.awaited }

// Receive applies a report.
func (l *Ledger) Receive(r Report) {
	l.newest[r.Daemon] = max(l.newest[r.Daemon], r.Incarnation)
	l.absence.receive(r.Daemon, r.At)
	if !l.hasRecord { // nothing was sent before: the window in which the first daemon started is reported too
		oldest := WindowOf(l.collecting.Add(-l.spec.Late), l.spec.Window) // the daemon's clock may be wrong by years
		if first := max(WindowOf(time.Unix(0, r.Incarnation), l.spec.Window), oldest, l.pruned); first < l.first {
			l.first, l.next = first, min(l.next, first)
		}
	}
	key := source{r.Daemon, r.Incarnation}
	switch old := l.adjusted[key]; {
	case r.Adjusted < old:
		return
	case r.Adjusted > old: // what it counted may be in other windows now
		for _, sources := range l.reports {
			delete(sources, key)
		}
		l.adjusted[key] = r.Adjusted
	}
	newest := WindowOf(r.At, l.spec.Window)
	for _, w := range r.Windows {
		if w.Number > newest || w.Number < newest-int64(l.spec.Late/l.spec.Window)-1 {
			continue
		}
		sources := l.reports[w.Number]
		if sources == nil {
			sources = map[source]*observed{}
			l.reports[w.Number] = sources
		}
		o := sources[key]
		if o == nil {
			o = &observed{counts: map[string]int{}}
			sources[key] = o
		}
		for team, n := range w.Counts {
			if old := o.counts[team]; n > old {
				o.counts[team], o.sum = n, o.sum+n-old
			}
		}
		o.final = o.final || !r.At.Before(WindowEnd(w.Number, l.spec.Window)) && o.sum >= w.Total
	}
}

// Closing describes a window that has been closed.
type Closing struct {
	Window
	Outcome Outcome  // empty if the window is to be sent
	Missing []string // daemons that have not reported after its end
}

// Close closes the windows whose time has come. members are the daemons that are expected to report. Those that were members and have
// disappeared without a report shortly before may be cut off, and are expected too.
func (l *Ledger) Close(now time.Time, members []string) []Closing {
	absent := l.absence.update(now, members)
	l.awaited, members = len(absent), slices.Concat(members, absent)
	var out []Closing
	for k := l.next; !now.Before(WindowEnd(k, l.spec.Window)); k++ {
		end := WindowEnd(k, l.spec.Window)
		due := end.Add(l.spec.Late)
		c := l.closed[k]
		switch {
		case c != nil && c.outcome == "" && !now.Before(due):
			c.outcome = Missed
			out = append(out, Closing{Window: c.Window, Outcome: Missed})
		case c != nil:
		case k < l.first:
			out = append(out, l.giveUp(k, Abandoned))
		case !now.Before(due):
			out = append(out, l.giveUp(k, Missed))
		default:
			if closing, ok := l.close(k, now, members); ok {
				out = append(out, closing)
			}
		}
	}
	l.advance()
	l.prune(now) // afterwards, so that a window that was not sent is given up as missed and not dropped
	return out
}

// advance moves next over the windows that need no further call.
func (l *Ledger) advance() {
	for c := l.closed[l.next]; c != nil && c.outcome != ""; c = l.closed[l.next] {
		l.next++
	}
}

// close closes a window if its time has come.
func (l *Ledger) close(k int64, now time.Time, members []string) (c Closing, ok bool) {
	missing := l.missing(k, members)
	if len(missing) > 0 && now.Before(l.openUntil(k)) {
		return Closing{}, false
	}
	w := Window{Number: k, Counts: l.sum(k)}
	l.closed[k] = &closedWindow{Window: w}
	return Closing{Window: w, Missing: missing}, true
}

// openUntil returns the time until which a window stays open while daemons are missing.
func (l *Ledger) openUntil(k int64) time.Time {
	end := WindowEnd(k, l.spec.Window)
	last := end.Add(l.spec.Late - l.spec.Reserve)
	until := end.Add(l.spec.Open())
	if !l.collecting.Before(until) { // a successor of this holder would be too late anyway
		return last
	}
	if t := l.collecting.Add(l.spec.Wait); t.After(until) {
		until = t
	}
	if until.After(last) {
		return last
	}
	return until
}

// giveUp records that a window is not sent.
func (l *Ledger) giveUp(k int64, o Outcome) Closing {
	l.closed[k] = &closedWindow{Window: Window{Number: k}, outcome: o}
	return Closing{Window: Window{Number: k}, Outcome: o}
}

// missing returns the members whose counts of a window are not final. A daemon that started after the end of the window has none.
func (l *Ledger) missing(k int64, members []string) []string {
	var out []string
	end := WindowEnd(k, l.spec.Window).UnixNano()
	for _, m := range members {
		if started := l.newest[m]; started >= end && l.adjusted[source{m, started}] == 0 {
			continue
		}
		if o := l.reports[k][source{m, l.newest[m]}]; o == nil || !o.final {
			out = append(out, m)
		}
	}
	slices.Sort(out)
	return out
}

// sum returns the counts of a window over all processes.
func (l *Ledger) sum(k int64) map[string]int {
	out := map[string]int{}
	for _, o := range l.reports[k] {
		for team, n := range o.counts {
			out[team] += n
		}
	}
	return out
}

// keptAfterDue is the number of windows that are kept after they were due, so that a holder whose clock is behind does not take one for a
// window that was never sent.
const keptAfterDue = 2

// prune drops what is no longer needed.
func (l *Ledger) prune(now time.Time) {
	oldest := WindowOf(now.Add(-l.spec.Late), l.spec.Window) - keptAfterDue
	maps.DeleteFunc(l.reports, func(k int64, _ map[source]*observed) bool { return k < oldest })
	maps.DeleteFunc(l.closed, func(k int64, _ *closedWindow) bool {
		if k < oldest {
			l.first, l.pruned = max(l.first, k+1), max(l.pruned, k+1)
		}
		return k < oldest
	})
	maps.DeleteFunc(l.adjusted, func(s source, _ int) bool { return s.incarnation < l.newest[s.daemon] || l.newest[s.daemon] == 0 })
	maps.DeleteFunc(l.newest, func(daemon string, _ int64) bool {
		for _, sources := range l.reports {
			for s := range sources {
				if s.daemon == daemon {
					return false
				}
			}
		}
		return true
	})
}

// Record returns what must be stored before the closed windows may be sent.
func (l *Ledger) Record(holder string, era uint64) Record {
	r := Record{Holder: holder, Era: era, First: max(l.first, l.next), Windows: []Window{}} // nothing more is said of windows below next
	for _, k := range slices.Sorted(maps.Keys(l.closed)) {
		if c := l.closed[k]; c.Counts != nil {
			r.Windows = append(r.Windows, c.Window)
		}
	}
	return r
}

// Stored records that the store has the last Record.
func (l *Ledger) Stored() {
	for _, c := range l.closed {
		c.stored = true
	}
}

// Due returns the next window that must be sent, and whether the platform may have accepted it before.
func (l *Ledger) Due(now time.Time) (w Window, repeated, ok bool) {
	for _, k := range slices.Sorted(maps.Keys(l.closed)) {
		c := l.closed[k]
		if c.stored && c.outcome == "" && !now.Before(c.retryAt) && now.Before(WindowEnd(k, l.spec.Window).Add(l.spec.Late)) {
			return c.Window, c.tried, true
		}
	}
	return Window{}, false, false
}

// Done records that the platform has accepted a window.
func (l *Ledger) Done(number int64) {
	if c := l.closed[number]; c != nil {
		c.outcome = Sent
		l.advance()
	}
}

// Retry records that a call with a window failed and when to try again. tried says that the platform may have accepted it.
func (l *Ledger) Retry(number int64, at time.Time, tried bool) {
	if c := l.closed[number]; c != nil {
		c.retryAt, c.tried = at, c.tried || tried
	}
}
