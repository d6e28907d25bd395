package relay

import (
	"testing"
	"time"
)

// Guards against an estimate that one unusual stream determines: the first one that is observed, or one that waits for a failed endpoint.
func TestEventIntervalsIgnoreOutliers(t *testing.T) {
	e := NewEventIntervals()
	e.Observe("s", "m", 900*time.Millisecond)
	for range 100 {
		e.Observe("s", "m", 100*time.Millisecond)
	}
	e.Observe("s", "m", 20*time.Second)
	if got := e.MeanMillis("s", "m"); got < 90 || got > 150 {
		t.Errorf("mean of %.0f ms", got)
	}
}

// Guards against a model that is taken for busy when it is idle, and against one that stays busy after its load has ended.
func TestCongestionFollowsLoad(t *testing.T) {
	e := NewEventIntervals()
	if got := e.Congestion("s", "m"); got != 1 {
		t.Errorf("congestion %.2f without observations", got)
	}
	for _, c := range []struct {
		interval time.Duration
		min, max float64
	}{{100 * time.Millisecond, 1, 1.1}, {300 * time.Millisecond, 2.7, 3.1}, {100 * time.Millisecond, 1, 1.2}} {
		for range 300 {
			e.Observe("s", "m", c.interval)
		}
		if got := e.Congestion("s", "m"); got < c.min || got > c.max {
			t.Errorf("congestion %.2f after intervals of %v", got, c.interval)
		}
	}
}
