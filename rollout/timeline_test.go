package rollout

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/object"
)

// testStart is far from zero, because a report whose Through is 0 has no counts by second.
var testStart = time.Unix(1_000_000, 0)

// testDaemon is a daemon that counts calls and reports them.
type testDaemon struct {
	counter   *Counter
	confirmed int64 // last second that the controller has confirmed
}

func newTestDaemon() *testDaemon {
	s := &testDaemon{counter: NewCounter()}
	s.counter.SetRollouts([]object.Rollout{declared})
	return s
}

func (s *testDaemon) call(at time.Time, version string, failed bool) {
	s.counter.Add(uint64(at.Unix()), Call{At: at, Version: version, Failed: failed})
}

// tick evaluates the declared rollout and reports whether it was halted.
func tick(c *Controller, now time.Time) bool {
	_, halted := c.Tick([]object.Rollout{declared}, noRatings, now)
	return halted
}

// Guards against an e-value that depends on when reports arrive and which of them are lost or repeated, and against lost
// counts. The reference receives every call at once.
func TestReportsKeepOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	byReport, atOnce := NewController(State{}, "a"), NewController(State{}, "b")
	sources := []*testDaemon{newTestDaemon(), newTestDaemon(), newTestDaemon(), newTestDaemon()}
	pair := Pair{ID: IDOf(&declared)}
	for i := range 1200 {
		now := testStart.Add(time.Duration(i) * time.Second)
		for n := 0; i < 1150 && n < rng.IntN(2); n++ {
			counts, version, failed := &pair.From, "m-1", rng.Float64() < 0.02
			if rng.Float64() < 0.1 {
				counts, version = &pair.To, "m-2"
			}
			counts.add(Counts{Answers: 1})
			if failed {
				counts.Errors++
			}
			sources[rng.IntN(len(sources))].call(now, version, failed)
		}
		atOnce.Report(Evidence{Sender: "all", Pairs: []Pair{pair}}, now)
		tick(atOnce, now)
		for j, s := range sources {
			if (i+3*j)%5 != 0 {
				continue
			}
			e := s.counter.Evidence(string(rune('0'+j)), s.confirmed, now)
			if rng.Float64() < 0.2 {
				continue // lost; the next report contains the same seconds
			}
			for range 1 + rng.IntN(2) { // delivered once or twice
				byReport.Report(e, now)
			}
			if rng.Float64() < 0.8 { // otherwise the confirmation is lost
				s.confirmed = e.Through
			}
		}
		tick(byReport, now)
	}
	got, want := byReport.testFor(pair.ID), atOnce.testFor(pair.ID)
	if got.total != want.total {
		t.Errorf("counted %+v, want %+v", got.total, want.total)
	}
	if fromReports := got.metrics[metricErrors]; !reflect.DeepEqual(fromReports, want.metrics[metricErrors]) {
		t.Errorf("evidence from reports %v, want %v as from calls in order", fromReports, want.metrics[metricErrors])
	}
}

// Guards against a dead daemon that delays the evaluation without bound, and against the loss of counts that arrive after
// the watermark or have left the daemon's window.
func TestWatermark(t *testing.T) {
	c := NewController(State{}, "a")
	dead, delayed := newTestDaemon(), newTestDaemon()
	dead.call(testStart, "m-1", false)
	c.Report(dead.counter.Evidence("dead", 0, testStart.Add(time.Second)), testStart.Add(time.Second))
	at := testStart.Add(5 * time.Second)
	delayed.call(at, "m-2", false)
	now := at.Add(time.Second)
	c.Report(delayed.counter.Evidence("late", 0, now), now)
	count := func(now time.Time) uint64 {
		tick(c, now)
		return c.testFor(IDOf(&declared)).total.to.Answers
	}
	if got := count(at.Add(watermarkAge - time.Second)); got != 0 {
		t.Errorf("%d calls processed before the watermark although one daemon has not reported", got)
	}
	if got := count(at.Add(watermarkAge)); got != 1 {
		t.Errorf("%d calls processed at the watermark, want 1", got)
	}
	delayed.call(at, "m-2", false)
	now = at.Add(10 * windowSeconds * time.Second)
	delayed.call(now, "m-2", false)
	now = now.Add(time.Second)
	c.Report(delayed.counter.Evidence("late", at.Unix(), now), now)
	if got := count(now.Add(watermarkAge)); got != 3 {
		t.Errorf("%d calls counted, want 3, one of them older than the window", got)
	}
}

// Guards against an e-value above the bound that is missed because later calls in the same report lower it.
func TestPeakHalts(t *testing.T) {
	c := NewController(State{}, "a")
	s := newTestDaemon()
	now := testStart
	second := func(old, new int, failed bool) {
		for range old {
			s.call(now, "m-1", false)
		}
		for range new {
			s.call(now, "m-2", failed)
		}
		now = now.Add(time.Second)
	}
	second(1000, 4, true)
	second(1000, 2000, false)
	c.Report(s.counter.Evidence("x", 0, now), now)
	if !tick(c, now) {
		t.Error("4 failures of 4 calls, with none in 1,000 of the old version, did not halt the rollout")
	}
}

// Guards against packed seconds that change, that exceed the size limit, or that crash the holder when truncated.
func TestPackSeconds(t *testing.T) {
	list := []Second{{At: 99, From: Counts{300, 2, 1}, To: Counts{3, 0, 0}}, {At: 97, From: Counts{1, 0, 0}}}
	got, err := unpackSeconds(packSeconds(list, 100), 100)
	if err != nil || !reflect.DeepEqual(got, list) {
		t.Errorf("unpacked %+v, error %v; want %+v", got, err, list)
	}
	var busy []Second
	for at := int64(100); at > 100-windowSeconds; at-- {
		busy = append(busy, Second{At: at, From: Counts{Answers: 20, Errors: 1}, To: Counts{Answers: 20}})
	}
	packed := packSeconds(busy, 100)
	got, err = unpackSeconds(packed, 100)
	sum := uint64(0)
	for _, s := range got {
		sum += s.From.Answers
	}
	if err != nil || len(packed) > maxPackedSeconds || sum != 20*windowSeconds {
		t.Errorf("%d bytes with %d calls, error %v; want at most %d bytes with %d calls", len(packed), sum, err, maxPackedSeconds, 20*windowSeconds)
	}
	busy[0].From, busy[0].To = Counts{1e9, 1e9, 1e9}, Counts{1e9, 1e9, 1e9}
	if packed := packSeconds(busy, 100); packed != nil {
		t.Errorf("counts that exceed the size limit were packed into %d bytes", len(packed))
	}
	for n := 1; n < len(packed); n++ {
		if list, err := unpackSeconds(packed[:n], 100); err == nil && len(list) >= len(got) {
			t.Errorf("the first %d of %d bytes decode to all seconds", n, len(packed))
		}
	}
}

// Guards against merged seconds of the new version when it would suffice to merge those of the old version.
func TestPackKeepsNewSeconds(t *testing.T) {
	var list []Second
	for at := int64(100); at > 85; at-- {
		list = append(list, Second{At: at, From: Counts{Answers: 1}})
	}
	list[3].To, list[8].To = Counts{Answers: 1}, Counts{Answers: 2, Errors: 1}
	got, err := unpackSeconds(packSeconds(list, 100), 100)
	from, to := uint64(0), map[int64]Counts{}
	for _, s := range got {
		from += s.From.Answers
		if s.To != (Counts{}) {
			to[s.At] = s.To
		}
	}
	if want := map[int64]Counts{97: list[3].To, 92: list[8].To}; err != nil || from != 15 || !reflect.DeepEqual(to, want) {
		t.Errorf("%d calls of the old version and %v of the new one, error %v; want 15 and %v", from, to, err, want)
	}
}
