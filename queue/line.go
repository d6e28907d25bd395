package queue

import (
	"cmp"
	"slices"
	"time"
)

// line holds the requests that wait for one version. Each flow has a virtual time that advances by the inverse of its
// weight with every grant; the flow that is furthest behind goes first. A flow that was idle starts at the time of the
// flows that are waiting, so it can't save up room.
type line struct {
	flows   map[string]*flow
	count   int
	virtual float64 // largest virtual time at which room was granted

	interval time.Duration // moving average of the time between two grants while requests wait
	samples  int
	last     time.Time // last grant, or the time at which the line stopped being empty
}

// flow holds the waiting requests of one team and priority in order of arrival.
type flow struct {
	waiters []*waiter
	virtual float64
	weight  float64
}

// entry is a request with the virtual time of its turn.
type entry struct {
	w    *waiter
	turn float64
}

// idleReset is the time after which the rate of an earlier busy period says nothing about the next one.
const idleReset = 10 * time.Second

func (l *line) add(w *waiter, now time.Time) {
	f := l.flows[w.Flow]
	if f == nil {
		f = &flow{}
		l.flows[w.Flow] = f
	}
	if len(f.waiters) == 0 {
		f.virtual = max(f.virtual, l.virtual)
	}
	f.weight = w.Weight
	f.waiters = append(f.waiters, w)
	if l.count++; l.count == 1 {
		if now.Sub(l.last) > idleReset {
			l.samples = 0
		}
		l.last = now
	}
}

// remove takes the request out and reports whether it was in the line.
func (l *line) remove(w *waiter) bool {
	f := l.flows[w.Flow]
	if f == nil {
		return false
	}
	i := slices.Index(f.waiters, w)
	if i < 0 {
		return false
	}
	f.waiters = slices.Delete(f.waiters, i, i+1)
	l.count--
	return true
}

// granted charges a request's flow and notes the time. The request is off the line already.
func (l *line) granted(w *waiter, now time.Time) {
	f := l.flows[w.Flow]
	l.virtual = max(l.virtual, f.virtual)
	f.virtual += 1 / f.weight
	if d := now.Sub(l.last); l.samples == 0 {
		l.interval = d
	} else {
		l.interval += time.Duration(intervalAlpha * float64(d-l.interval))
	}
	l.samples++
	l.last = now
	l.forget()
}

// forget drops flows without requests that are not ahead of the line; a flow that is ahead keeps its virtual time, so
// that it gains nothing by letting its queue run empty.
func (l *line) forget() {
	for name, f := range l.flows {
		if len(f.waiters) == 0 && f.virtual <= l.virtual {
			delete(l.flows, name)
		}
	}
}

// order returns the waiting requests in the order of their turns.
func (l *line) order() []entry {
	out := make([]entry, 0, l.count)
	for _, f := range l.flows {
		if len(f.waiters) == 0 {
			continue
		}
		for i, w := range f.waiters {
			out = append(out, entry{w, f.virtual + float64(i)/f.weight})
		}
	}
	slices.SortFunc(out, func(a, b entry) int { return cmp.Or(cmp.Compare(a.turn, b.turn), cmp.Compare(a.w.seq, b.w.seq)) })
	return out
}

// predict returns the time until the nth request in order gets room, or 0 if too few grants were seen.
func (l *line) predict(n int) time.Duration {
	if l.samples < minSamples {
		return 0
	}
	return time.Duration(n) * l.interval
}
