package selection

import (
	"testing"
	"time"
)

// Guards against a transient slow period that counts like a slow machine, a slow machine that is not seen or avoided forever, and an old report.
func TestSlowPeriodsAndSlowMachines(t *testing.T) {
	usual, slow := Slowness{}, Slowness{}
	for range 20 {
		usual, slow = usual.Report(1, time.Second), slow.Report(2.5, time.Second)
	}
	period := usual.Report(2.5, time.Second)
	for _, c := range []struct {
		name      string
		s         Slowness
		age       time.Duration
		workMs    float64
		low, high float64
	}{
		{"no report", Slowness{}, 0, 50, 1, 1},
		{"fresh report of a slow period, short work", period, 10 * time.Millisecond, 50, 1.8, 2.5},
		{"fresh report of a slow period, long work", period, 10 * time.Millisecond, 3000, 1, 1.15},
		{"old report of a slow period", period, 2 * time.Second, 50, 1, 1.1},
		{"slow machine, long work", slow, 2 * time.Second, 3000, 1.8, 2.5},
		{"slow machine, no report for a minute", slow, time.Minute, 3000, 1, 1},
		{"absurd report", Slowness{}.Report(1e300, time.Second), 0, 50, 1, maxSlowness},
	} {
		if got := c.s.relative(1, c.age, c.workMs); got < c.low || got > c.high {
			t.Errorf("%s: work takes %.2f times the mean, want %.2f to %.2f", c.name, got, c.low, c.high)
		}
	}
}

// Guards against requests that leave their domain without a shortage, all at once in a shortage, or into a partitioned domain.
func TestOverflow(t *testing.T) {
	for _, c := range []struct {
		local, remote int // requests at each of 4 endpoints of 16 slots
		unreachable   bool
		low, high     float64
	}{
		{8, 1, false, 0, 0}, {17, 17, false, 0, 0}, {17, 4, false, 0.3, 1}, {14, 11, false, 0.01, 0.6}, {17, 4, true, 0, 0},
	} {
		var chooser Chooser
		left := 0
		const n = 1000
		for i := range uint64(n) {
			chooser.Candidates = chooser.Candidates[:0]
			for j := range 8 {
				e := &Endpoint{Key: uint64(j), Slots: 16, Local: j < 4, DomainIndex: uint8(j / 4), InService: true, Position: j % 4, GroupSize: 4}
				others := c.local
				if !e.Local {
					others = c.remote
				}
				chooser.Candidates = append(chooser.Candidates, Candidate{Endpoint: e, Others: others, Slowdown: 1, Unreachable: c.unreachable && !e.Local})
			}
			d := chooser.Choose(&Request{BySpeed: true, HoldMs: 500, BaseMs: 50, Target: time.Second, Random: SplitMix64(i)})
			if d.Index < 0 {
				t.Fatalf("%+v: no endpoint", c)
			}
			if d.Index >= 4 {
				left++
			}
		}
		if share := float64(left) / n; share < c.low || share > c.high {
			t.Errorf("%+v: %.2f of the requests leave their domain", c, share)
		}
	}
}
