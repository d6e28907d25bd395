package usage

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

var testSpec = Spec{Window: 5 * time.Second, Late: 10 * time.Second, Wait: 2 * time.Second, Reserve: 1800 * time.Millisecond, Handover: 7500 * time.Millisecond}

// at returns a time after the start of window 200.
func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

// report returns the report of a daemon that counted n requests of one team in each window from 200 to that of a time.
func report(daemon string, n int, now time.Time) Report {
	r := Report{Daemon: daemon, Incarnation: at(0).UnixNano(), At: now}
	for k := int64(200); k <= WindowOf(now, testSpec.Window); k++ {
		if k >= WindowOf(now.Add(-testSpec.Late), testSpec.Window) {
			r.Windows = append(r.Windows, Window{Number: k, Counts: map[string]int{"team": n}, Total: n})
		}
	}
	return r
}

func closed(list []Closing) string {
	var out []string
	for _, c := range list {
		out = append(out, fmt.Sprint(c.Number, " ", c.Outcome, c.Counts["team"]))
	}
	return strings.Join(out, " ")
}

// Guards against a window that no successor sends because the record already has a later one.
func TestWindowBeforeThatOfRecordIsSkipped(t *testing.T) {
	l := NewLedger(testSpec, at(0))
	l.Begin(at(7*time.Second), 0, &Record{Holder: "a", First: 200, Windows: []Window{{Number: 201, Counts: map[string]int{"team": 1}}}})
	l.Receive(report("d", 1, at(8*time.Second)))
	if got := closed(l.Close(at(8*time.Second), []string{"d"})); got != "200 1" {
		t.Errorf("closed %q, want window 200", got)
	}
}

// Guards against a loop over all windows since 1970 after a report of a daemon with a wrong clock.
func TestReportOfDaemonInThePast(t *testing.T) {
	l := NewLedger(testSpec, at(0))
	l.Begin(at(time.Second), 0, nil)
	past := report("d", 1, at(time.Second))
	past.Incarnation, past.At = 1, time.Unix(10, 0)
	l.Receive(past)
	if list := l.Close(at(6*time.Second), nil); len(list) > 3 {
		t.Errorf("%d windows were closed after one", len(list))
	}
}

// platformModel is what the platform has accepted.
type platformModel map[int64]map[string]int

// random is a run of holders that take over from each other, of a store that loses records in restores, and of lost responses.
type random struct {
	t      *testing.T
	seed   uint64
	r      *rand.Rand
	model  platformModel
	era    uint64
	record *Record
	backup []*Record
}

// send makes the calls that are due; the response of some is lost.
func (x *random) send(l *Ledger, now time.Time) {
	for w, _, ok := l.Due(now); ok; w, _, ok = l.Due(now) {
		arrives, answered := x.r.IntN(8) > 0, x.r.IntN(8) > 0
		if arrives {
			if old, sent := x.model[w.Number]; sent && !maps.Equal(old, w.Counts) {
				x.t.Fatalf("seed %d: window %d is sent as %v, then as %v", x.seed, w.Number, old, w.Counts)
			}
			x.model[w.Number] = maps.Clone(w.Counts)
		}
		if arrives && answered {
			l.Done(w.Number)
		} else {
			l.Retry(w.Number, now.Add(500*time.Millisecond), arrives)
		}
	}
}

// save stores the record of a term; the response of some writes is lost.
func (x *random) save(l *Ledger, name string, era uint64) {
	r := l.Record(name, era)
	if x.r.IntN(8) > 0 && era == x.era {
		x.record = &r
		if x.r.IntN(8) > 0 {
			l.Stored()
		}
	}
}

// run simulates two minutes. A holder of an older era acts until its lease has expired, which is when a new one may begin to act.
func (x *random) run(calm bool) {
	names, ledgers := []string{"a", "b", "c"}, []*Ledger{}
	for range names {
		ledgers = append(ledgers, NewLedger(testSpec, at(0)))
	}
	const lease = 3 * time.Second
	holder, era, acts := 0, x.era, at(0)
	previous, previousEra, previousEnd := 0, x.era, at(0)
	counts := make([]int, len(names))
	ledgers[0].Begin(at(0), 0, nil)
	for now := at(0); now.Before(at(2 * time.Minute)); now = now.Add(100 * time.Millisecond) {
		if now.Sub(at(0))%time.Second == 0 {
			if x.backup = append(x.backup, x.record); len(x.backup) > 10 {
				x.backup = x.backup[1:]
			}
		}
		counts[x.r.IntN(len(counts))]++
		restored := !calm && x.r.IntN(150) == 0
		if restored {
			x.era, x.record = x.era+1, x.backup[x.r.IntN(len(x.backup))]
		}
		if (restored || !calm && x.r.IntN(100) == 0) && !now.Before(acts) {
			previous, previousEra, previousEnd = holder, era, now
			if restored {
				previousEnd = now.Add(lease)
			}
			holder, era, acts = x.r.IntN(len(names)), x.era, now.Add(lease)
			if holder == previous && !previousEnd.Equal(now) {
				acts = now // the same process
			}
			if !calm && x.r.IntN(5) == 0 {
				ledgers[holder].BeginUnreadable(now)
			} else {
				ledgers[holder].Begin(now, era, x.record)
			}
		}
		for i, l := range ledgers { // reports; some are lost, and most go to the holder only
			if calm || x.r.IntN(20) == 0 || i == holder && x.r.IntN(3) > 0 {
				for d, name := range names {
					l.Receive(report(name, counts[d], now))
				}
			}
		}
		if holder != previous && now.Before(previousEnd) {
			x.save(ledgers[previous], names[previous], previousEra)
			x.send(ledgers[previous], now)
		}
		if !now.Before(acts) && era == x.era {
			ledgers[holder].Close(now, names)
			x.save(ledgers[holder], names[holder], era)
			x.send(ledgers[holder], now)
		}
	}
}

// Guards against two reports of a window with different counts after takeovers, restores and lost responses.
func TestWindowIsSentWithOtherCounts(t *testing.T) {
	sent := 0
	for seed := range uint64(300) {
		x := &random{t: t, seed: seed, r: rand.New(rand.NewPCG(seed, 2)), model: platformModel{}}
		x.run(seed%10 == 0)
		if sent += len(x.model); seed%10 == 0 && len(x.model) < 22 {
			t.Errorf("seed %d: %d of 23 windows sent without a disturbance", seed, len(x.model))
		}
	}
	if sent < 300*8 {
		t.Errorf("%d windows sent in 300 runs", sent)
	}
}

// Guards against a window that is kept open for a daemon that was killed, or closed without one that is late.
func TestWindowWaitsForDaemons(t *testing.T) {
	l := NewLedger(testSpec, at(0))
	l.Begin(at(0), 0, nil)
	l.Receive(report("d", 3, at(5100*time.Millisecond)))
	for _, c := range []struct {
		after time.Duration
		want  string
	}{{5200, ""}, {7400, ""}, {7500, "200 3"}} {
		if got := closed(l.Close(at(c.after*time.Millisecond), []string{"d", "late"})); got != c.want {
			t.Errorf("closed %q after %d ms, want %q", got, c.after, c.want)
		}
	}
}

// Guards against a window that is reported as abandoned, again and again, after it was sent and dropped.
func TestWindowIsAbandonedAfterItWasSent(t *testing.T) {
	l := NewLedger(Spec{Window: 5 * time.Second, Late: 10 * time.Second, Wait: 2 * time.Second, Reserve: time.Second}, at(0))
	l.Begin(at(0), 0, nil)
	for s := time.Second; s < time.Minute; s += time.Second {
		l.Receive(Report{Daemon: "a", Incarnation: at(0).UnixNano(), At: at(s)})
		for _, c := range l.Close(at(s), []string{"a"}) {
			if c.Outcome != "" {
				t.Fatalf("after %v, window %d is %s", s, c.Number, c.Outcome)
			}
		}
		l.Stored()
		for w, _, ok := l.Due(at(s)); ok; w, _, ok = l.Due(at(s)) {
			l.Done(w.Number)
		}
	}
}

// Guards against a window that is reported as abandoned, as after a restore, because it was dropped before it was given up as missed.
func TestWindowIsAbandonedWithoutRestore(t *testing.T) {
	l := NewLedger(testSpec, at(0))
	l.Begin(at(12*time.Second), 0, &Record{Holder: "a", First: 200, Windows: []Window{{Number: 200, Counts: map[string]int{"team": 1}}}})
	if got := closed(l.Close(at(40*time.Second), []string{"d"})); !strings.HasPrefix(got, "200 missed1 201 missed0 202 missed0") {
		t.Errorf("closed %q, want windows 200 to 202 missed", got)
	}
}

// Guards against windows that nobody sends and no log explains because the new holder has just started.
func TestHolderThatJustStartedSkipsWindows(t *testing.T) {
	l := NewLedger(testSpec, at(17*time.Second))
	l.Begin(at(18*time.Second), 0, &Record{Holder: "a", First: 200})
	l.Receive(report("d", 1, at(18*time.Second)))
	if got := closed(l.Close(at(18*time.Second), []string{"d"})); got != "200 missed0 201 1 202 1" {
		t.Errorf("closed %q, want windows 200 to 202", got)
	}
}

// Guards against duties that a record without content blocks, or that send what was perhaps sent before.
func TestUnreadableRecordIsReplaced(t *testing.T) {
	for _, body := range []string{"", "{", "{}", "null", `{"holder":"a","windows":{}}`, "[]"} {
		if r, err := DecodeRecord([]byte(body)); err == nil {
			t.Errorf("%q was decoded as %v", body, r)
		}
	}
	l := NewLedger(testSpec, at(0))
	if got := closed(l.BeginUnreadable(at(6 * time.Second))); got != "199 abandoned0 200 abandoned0" {
		t.Errorf("%q at the takeover, want windows 199 and 200 abandoned", got)
	}
	l.Receive(report("d", 1, at(12*time.Second)))
	if got := closed(l.Close(at(12*time.Second), []string{"d"})); got != "201 1" {
		t.Errorf("closed %q, want window 201", got)
	}
}
