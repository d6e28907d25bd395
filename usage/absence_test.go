package usage

import (
	"testing"
	"time"
)

// Guards against a window that is closed without a daemon that is cut off, or kept open for one that has stopped or has just started.
func TestWindowWaitsForDaemonsWithoutEntry(t *testing.T) {
	for name, c := range map[string]struct {
		last, gone, back time.Duration // last report, end of the entry, next report
		started          time.Duration
		closed           time.Duration // offset from the end of the window, at which it is closed with the counts of both
	}{
		"cut off, back in time": {last: 500, gone: 4500, back: 7300, closed: 2300},
		"cut off, back late":    {last: 500, gone: 4500, back: 8000, closed: 2500},
		"cut off from store":    {last: 4900, gone: 3000, back: 6100, closed: 1100},
		"stopped":               {last: 4300, gone: 4500, back: 9000, closed: 0},
		"started later":         {last: 5000, gone: 9000, back: 9000, started: 5000, closed: 0},
	} {
		l, closedAfter := NewLedger(testSpec, at(0)), time.Duration(-1)
		l.Begin(at(0), 0, &Record{Holder: "h", First: 200})
		for ms := time.Duration(0); ms < 10000; ms += 100 {
			now, members := at(ms*time.Millisecond), []string{"here"}
			if ms >= c.started && ms < c.gone {
				members = append(members, "away")
			}
			l.Receive(report("here", 1, now))
			if ms >= c.started && ms <= c.last || ms >= c.back {
				r := report("away", 2, now)
				if r.Incarnation = at(c.started * time.Millisecond).UnixNano(); c.started > 0 {
					r.Windows = nil
				}
				l.Receive(r)
			}
			for _, x := range l.Close(now, members) {
				if x.Number == 200 {
					closedAfter = ms - 5000
				}
			}
		}
		if closedAfter != c.closed {
			t.Errorf("%s: closed after %d ms, want %d", name, closedAfter, c.closed)
		}
	}
}

// Guards against a window that is kept open for so long that no successor can send it in time when the holder dies.
func TestSuccessorSendsWindowThatWasKeptOpen(t *testing.T) {
	const lease, call, takeover = 3 * time.Second, 900 * time.Millisecond, 600 * time.Millisecond
	for dies := 5 * time.Second; dies < 15*time.Second; dies += 100 * time.Millisecond {
		var record *Record
		sent := false
		hold := func(name string, begin, act, end time.Duration) {
			l := NewLedger(testSpec, at(0))
			l.Begin(at(begin), 0, record)
			for now := begin; now < end; now += 100 * time.Millisecond {
				l.Receive(report("here", 1, at(now)))
				if now < act {
					continue
				}
				l.Close(at(now), []string{"here", "away"})
				r := l.Record(name, 0)
				record = &r
				l.Stored()
				for w, _, ok := l.Due(at(now)); ok; w, _, ok = l.Due(at(now)) {
					sent = sent || w.Number == 200 && now+call <= 15*time.Second
					l.Done(w.Number)
				}
			}
		}
		hold("a", 0, 0, dies)
		hold("b", dies+lease+takeover, dies+2*lease+takeover, dies+20*time.Second)
		if !sent {
			t.Errorf("the holder dies after %v: window 200 was not sent in time", dies)
		}
	}
}
