package rollout

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/object"
)

// epoch is far from zero, which marks reports without counts by second.
var epoch = time.Unix(1_000_000, 0)

// source is a daemon in tests.
type source struct {
	counter *Counter
	sent    int64
}

func newSource() *source {
	s := &source{counter: NewCounter()}
	s.counter.SetRollouts([]object.Rollout{declared})
	return s
}

func (s *source) call(at time.Time, version string, failed bool) {
	s.counter.Add(uint64(at.Unix()), Call{At: at, Version: version, Failed: failed})
}

// tick evaluates the declared roll-out.
func tick(c *Controller, now time.Time) bool {
	_, halted := c.Tick([]object.Rollout{declared}, noRatings, now)
	return halted
}

// Guards against an e-value that depends on the times, losses and repetitions of reports, and against lost counts.
func TestReportsKeepOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	byReport, atOnce := NewController(State{}, "a"), NewController(State{}, "b")
	sources := []*source{newSource(), newSource(), newSource(), newSource()}
	pair := Pair{ID: IDOf(&declared)}
	for i := range 1200 {
		now := epoch.Add(time.Duration(i) * time.Second)
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
			e := s.counter.Evidence(string(rune('0'+j)), s.sent, now)
			if rng.Float64() < 0.2 {
				continue // lost, and sent again in time by the next one
			}
			for range 1 + rng.IntN(2) { // delivered again
				byReport.Report(e, now)
			}
			if rng.Float64() < 0.8 { // otherwise the confirmation was lost
				s.sent = e.Through
			}
		}
		tick(byReport, now)
	}
	got, want := byReport.test(pair.ID), atOnce.test(pair.ID)
	if got.total != want.total {
		t.Errorf("counted %+v of %+v", got.total, want.total)
	}
	if late := got.metrics[metricErrors]; !reflect.DeepEqual(late, want.metrics[metricErrors]) {
		t.Errorf("evidence %v by reports, %v by calls in their order", late, want.metrics[metricErrors])
	}
}

// Guards against a dead daemon that holds up the test, and against lost counts that arrive after the watermark or have
// left the daemon's window.
func TestWatermark(t *testing.T) {
	c := NewController(State{}, "a")
	dead, late := newSource(), newSource()
	dead.call(epoch, "m-1", false)
	c.Report(dead.counter.Evidence("dead", 0, epoch.Add(time.Second)), epoch.Add(time.Second))
	at := epoch.Add(5 * time.Second)
	late.call(at, "m-2", false)
	now := at.Add(time.Second)
	c.Report(late.counter.Evidence("late", 0, now), now)
	count := func(now time.Time) uint64 {
		tick(c, now)
		return c.test(IDOf(&declared)).total.to.Answers
	}
	if got := count(at.Add(watermark - time.Second)); got != 0 {
		t.Errorf("%d calls processed before the watermark, one daemon missing", got)
	}
	if got := count(at.Add(watermark)); got != 1 {
		t.Errorf("%d calls processed at the watermark", got)
	}
	late.call(at, "m-2", false)
	now = at.Add(10 * windowSeconds * time.Second)
	late.call(now, "m-2", false)
	now = now.Add(time.Second)
	c.Report(late.counter.Evidence("late", at.Unix(), now), now)
	if got := count(now.Add(watermark)); got != 3 {
		t.Errorf("%d calls counted of 3, one of them older than the window", got)
	}
}

// Guards against a value above the bound that is missed because later calls in the same reports lower it.
func TestPeakHalts(t *testing.T) {
	c := NewController(State{}, "a")
	s := newSource()
	now := epoch
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
		t.Error("4 failures of 4 calls, none of 1,000 before, did not halt")
	}
}

// Guards against packed seconds that change, exceed their size, or crash the holder when cut off.
func TestPackSeconds(t *testing.T) {
	list := []Second{{At: 99, From: Counts{300, 2, 1}, To: Counts{3, 0, 0}}, {At: 97, From: Counts{1, 0, 0}}}
	got, err := unpackSeconds(packSeconds(list, 100), 100)
	if err != nil || !reflect.DeepEqual(got, list) {
		t.Errorf("unpacked %+v, error %v", got, err)
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
		t.Errorf("%d bytes with %d calls, error %v", len(packed), sum, err)
	}
	busy[0].From, busy[0].To = Counts{1e9, 1e9, 1e9}, Counts{1e9, 1e9, 1e9}
	if packed := packSeconds(busy, 100); packed != nil {
		t.Errorf("counts that don't fit are packed into %d bytes", len(packed))
	}
	for n := 1; n < len(packed); n++ {
		if list, err := unpackSeconds(packed[:n], 100); err == nil && len(list) >= len(got) {
			t.Errorf("%d of %d bytes give all seconds", n, len(packed))
		}
	}
}

// Guards against calls of the new version that get the time of others although only those of the old version are too many.
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
		t.Errorf("%d calls of the old version, %v of the new one, error %v", from, to, err)
	}
}
