package dispatch

import (
	"testing"
	"time"
)

// Guards against daemons that together send more further attempts within a window than the ratio of the requests and the
// reserve allow. Each daemon takes what it can; requests come in bursts.
func TestWindowBudgetOverAllDaemons(t *testing.T) {
	const (
		daemons = 9
		ratio   = 0.9
		reserve = 58.0
		window  = 10 * time.Second
	)
	start := time.Unix(1000, 0)
	var budgets []*windowBudget
	for range daemons {
		budgets = append(budgets, newWindowBudget(ratio, reserve/daemons, window))
	}
	type event struct {
		at    time.Time
		retry bool
	}
	var events []event
	for step := range 6000 { // 60 s
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		busy := step/700%3 == 1 // bursts of 7 s
		for i, b := range budgets {
			if step%20 == 2*i || busy && step%4 == 0 {
				b.deposit(reserve/daemons, now)
				events = append(events, event{now, false})
			}
			for b.withdraw(0) {
				events = append(events, event{now, true})
			}
		}
	}
	for end := window; end <= 60*time.Second; end += 250 * time.Millisecond {
		var requests [3]int // in the window, half a window before, and the one before
		retries := 0
		for _, e := range events {
			d := e.at.Sub(start)
			if e.retry && d > end-window && d <= end {
				retries++
			}
			for k, back := range []time.Duration{0, window / 2, window} {
				if !e.retry && d > end-window-back && d <= end-back {
					requests[k]++
				}
			}
		}
		allowed := ratio*float64(max(requests[0], requests[1], requests[2])) + reserve
		if float64(retries) > allowed {
			t.Errorf("window to %v: %d further attempts, %.0f are allowed", end, retries, allowed)
		}
	}
}

// Guards against a budget that is empty although most requests need no further attempt, as with many daemons that have
// little of the reserve each (gdct-lampdesk-grown --small: 1,178 requests failed after a doubtful answer was dropped).
func TestWindowBudgetLeavesRoomForBursts(t *testing.T) {
	b := newWindowBudget(0.7, 2, 10*time.Second)
	now := time.Unix(1000, 0)
	for range 200 {
		b.deposit(2, now)
		now = now.Add(80 * time.Millisecond)
	}
	n := 0
	for b.withdraw(0) {
		n++
	}
	if n < 10 {
		t.Errorf("%d further attempts at once after 16 s with 12 requests a second", n)
	}
}
