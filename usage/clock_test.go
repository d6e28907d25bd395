package usage

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a wrong clock that is kept, a sound one that is corrected, and halves that swap their clocks.
func TestWrongClockIsCorrected(t *testing.T) {
	for _, c := range []struct {
		offsets []int // in ms, from the first daemon
		want    string
	}{
		{[]int{0, 10, -400, 490}, ""},
		{[]int{0, 3000, 3000}, ""},
		{[]int{0, 3000, 3010, 2990}, "a+3s"},
		{[]int{0, -3000, 10, -10}, "b+3s"},
		{[]int{0, 0, 5000, 5000}, "a+5s b+5s"},
		{[]int{0, 3600e3, -3600e3, 20, 40}, "b-1h0m0s c+1h0m0s"},
	} {
		var o Offsets
		o.Receive("gone", 1, 0, 0)
		var members []string
		for i, ms := range c.offsets {
			members = append(members, string(rune('a'+i)))
			o.Receive(members[i], 1, 0, time.Duration(ms)*time.Millisecond)
			o.Receive(members[i], 1, 0, time.Duration(ms-900)*time.Millisecond) // a delayed report
		}
		got := ""
		for _, x := range o.Corrections(members) {
			got += fmt.Sprintf(" %s%s", x.Daemon, map[bool]string{true: "+"}[x.By > 0]) + x.By.String()
		}
		if len(got) > 0 {
			got = got[1:]
		}
		if got != c.want {
			t.Errorf("offsets %v: corrections %q, want %q", c.offsets, got, c.want)
		}
	}
}

// Guards against requests that are not counted, or counted twice, after a clock was set back.
func TestClockSetBack(t *testing.T) {
	c, l := NewCounter(testSpec.Window, 5), NewLedger(testSpec, at(0))
	l.Begin(at(0), 0, nil)
	c.Add("team", at(0))
	c.Add("team", at(time.Hour))
	l.Receive(Report{Daemon: "d", Incarnation: at(0).UnixNano(), At: at(time.Hour), Windows: c.Snapshot(at(0), at(time.Hour))})
	l.Receive(Report{Daemon: "d", Incarnation: at(0).UnixNano(), At: at(4 * time.Second), Windows: []Window{{Number: 200, Counts: map[string]int{"team": 9}, Total: 9}}})
	c.SetBack(at(4 * time.Second))
	if counted, _ := c.Add("team", at(4*time.Second)); !counted {
		t.Error("request after the correction is not counted")
	}
	r := Report{Daemon: "d", Incarnation: at(0).UnixNano(), Adjusted: 1, At: at(5 * time.Second), Windows: c.Snapshot(at(0), at(5*time.Second))}
	l.Receive(r)
	r.Adjusted, r.Windows = 0, []Window{{Number: 200, Counts: map[string]int{"team": 50}, Total: 50}}
	l.Receive(r) // late
	if got := closed(l.Close(at(5*time.Second), []string{"d"})); got != "200 3" {
		t.Errorf("closed %q, want 3 requests in window 200", got)
	}
}

// Guards against a team over the limit that displaces counts or floods the log, and against names in a report that exceed a datagram.
func TestTooManyTeams(t *testing.T) {
	c := NewCounter(testSpec.Window, 2)
	for i := range MaxTeams + 3 {
		if counted, first := c.Add(fmt.Sprint("team", i), at(0)); counted != (i < MaxTeams) || first != (i == MaxTeams) {
			t.Fatalf("team %d counted: %t, first refused: %t", i, counted, first)
		}
	}
	groups, n := Split(c.Snapshot(at(0), at(0)), 1000), 0
	for _, g := range groups {
		for _, w := range g {
			n += len(w.Counts)
		}
	}
	if n != MaxTeams || len(groups) < 14 {
		t.Errorf("%d teams in %d parts", n, len(groups))
	}
}
