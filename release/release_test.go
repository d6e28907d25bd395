package release

import (
	"strconv"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/object"
)

// evidence returns answers of both versions on one route, spread over 3 endpoints; the first ones are bad.
func evidence(newAnswers, newFailures, newSlow, oldAnswers, oldFailures int) Evidence {
	e := Evidence{Requests: int64(newAnswers + oldAnswers), Exposed: int64(newAnswers)}
	for i := range newAnswers {
		latency := Timing{Timed: 1, Expected: 0.1}
		if i < newSlow {
			latency.Slow = 1
		}
		e.Record(Answer{Route: "r", Endpoint: strconv.Itoa(i % 3), New: true, Failed: i < newFailures, Latency: latency})
	}
	for i := range oldAnswers {
		e.Record(Answer{Route: "r", Failed: i < oldFailures})
	}
	return e
}

// Guards against a regressed version that stays in use, and against a healthy one that is rolled back or never completed.
func TestNext(t *testing.T) {
	rel := &object.Release{Service: "s", TargetVersion: "v2", Duration: 20 * time.Second}
	for name, tc := range map[string]struct {
		phase   Phase
		ev      Evidence
		elapsed time.Duration
		want    Phase
	}{
		"too early":               {Canary, evidence(20, 0, 0, 300, 3), 5 * time.Second, Canary},
		"exposure not affordable": {Canary, evidence(20, 0, 0, 300, 3), 12 * time.Second, Canary},
		"affordable":              {Canary, evidence(20, 0, 0, 300, 3), 18 * time.Second, Promoted},
		"few requests":            {Canary, evidence(3, 0, 0, 24, 0), 12 * time.Second, Promoted},
		"not enough seen":         {Canary, evidence(2, 0, 0, 298, 3), 18 * time.Second, Canary},
		"last chance":             {Canary, evidence(2, 0, 0, 298, 3), 19 * time.Second, Promoted},
		"after its deadline":      {Canary, evidence(40, 0, 0, 900, 9), 30 * time.Second, Promoted},
		"failing":                 {Canary, evidence(12, 6, 0, 100, 1), 2 * time.Second, Reverted},
		"failing as the old":      {Canary, evidence(30, 5, 0, 300, 45), 18500 * time.Millisecond, Promoted},
		"slow":                    {Canary, evidence(20, 0, 12, 100, 1), 5 * time.Second, Reverted},
		"slower at its start":     {Canary, evidence(20, 0, 3, 100, 1), 5 * time.Second, Canary},
		"suspicious":              {Canary, evidence(60, 6, 0, 300, 6), 19 * time.Second, Canary},
		"moved, not yet done":     {Promoted, evidence(200, 1, 0, 300, 3), 18 * time.Second, Promoted},
		"moved and done":          {Promoted, evidence(200, 1, 0, 300, 3), 19500 * time.Millisecond, Completed},
		"moved and uncertain":     {Promoted, evidence(60, 7, 0, 300, 9), 19500 * time.Millisecond, Promoted},
		"never answered":          {Promoted, evidence(0, 0, 0, 30, 0), 19500 * time.Millisecond, Promoted},
		"no requests":             {Promoted, Evidence{}, 19500 * time.Millisecond, Completed},
		"bad after it was moved":  {Promoted, evidence(200, 90, 0, 300, 3), 17 * time.Second, Reverted},
		"completed stays":         {Completed, evidence(200, 190, 0, 100, 1), 30 * time.Second, Completed},
		"reverted stays":          {Reverted, evidence(20, 0, 0, 100, 1), 30 * time.Second, Reverted},
	} {
		s := State{Phase: tc.phase, Elapsed: tc.elapsed, Evidence: tc.ev, Endpoints: 3}
		if got := NextPhase(s, rel, Limit{exposureShare, exposureSlack}); got != tc.want {
			t.Errorf("%s: %s, want %s", name, got, tc.want)
		}
	}
}

// Guards against a version that is judged by one endpoint although others are in use.
func TestOneEndpointDoesNotRevert(t *testing.T) {
	var e Evidence
	for range 300 {
		e.Record(Answer{Route: "r"})
	}
	for range 20 {
		e.Record(Answer{Route: "r", Endpoint: "bad", New: true, Failed: true})
	}
	if s := e.Suspicion(3); s >= revertSuspicion {
		t.Errorf("suspicion %.1f by one endpoint of three", s)
	}
	if s := e.Suspicion(1); s < revertSuspicion {
		t.Errorf("suspicion %.1f although the only endpoint fails all requests", s)
	}
}

// Guards against a canary that gets more sessions than operators allow, or almost none.
func TestTrialShare(t *testing.T) {
	const sessions, exposure = 20000, 0.15
	for _, isSession := range []bool{false, true} {
		n := 0
		for s := range uint64(sessions) {
			if InCanary(s, isSession, exposure) {
				n++
			}
		}
		if share := float64(n) / sessions; share > exposure || share < exposure/4 {
			t.Errorf("sessions %t: the canary has %.3f of them, the limit is %.2f", isSession, share, exposure)
		}
	}
}

// Guards against evidence that changes on its way, and against malformed or impossible evidence that is counted.
func TestEvidenceEncoding(t *testing.T) {
	e := evidence(20, 3, 2, 100, 1)
	e.RecordInterval("r", "0", Shift{5, -2.5})
	got, err := DecodeEvidence(e.Encode())
	if err != nil || got.Requests != e.Requests || got.Exposed != e.Exposed || len(got.cells) != len(e.cells) {
		t.Fatalf("decoded %+v, error %v; want %+v", got, err, e)
	}
	for key, c := range e.cells {
		if g := got.cells[key]; g.Answers != c.Answers || g.Failures != c.Failures || g.Latency.Slow != c.Latency.Slow || g.Latency.Expected < c.Latency.Expected-0.01 || g.Interval != c.Interval {
			t.Errorf("cell %v: %+v, want %+v", key, g, c)
		}
	}
	for name, data := range map[string][]byte{
		"empty": {}, "truncated": e.Encode()[:9], "more exposed than sent": {1, 2}, "more failures than answers": {9, 9, 1, 0, 1, 2, 0, 0, 0, 0, 0},
		"unknown group": {9, 9, 1, 77, 1, 0, 0, 0, 0, 0, 0}, "more slow than timed": {9, 9, 1, 0, 1, 0, 1, 2, 0, 0, 0}, "impossible shift": {9, 9, 1, 0, 1, 0, 0, 0, 0, 1, 0x80, 0x7f}, "huge": {0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1, 0},
	} {
		if _, err := DecodeEvidence(data); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	var large Evidence
	for i := range 2000 {
		large.Record(Answer{Route: strconv.Itoa(i), Endpoint: strconv.Itoa(i), New: true})
	}
	if n := len(large.Encode()); n > 8<<10-200 {
		t.Errorf("the evidence of 2,000 routes takes %d bytes, more than a message", n)
	}
}

// Guards against a version that counts as slow for what the old version does as well, and one that hides behind other routes.
func TestBaselineComparesLikeWithLike(t *testing.T) {
	b := NewBaseline()
	if got := b.CompareLatency("s", "r", "m", time.Second); got != (Timing{}) {
		t.Errorf("a latency was compared with nothing: %+v", got)
	}
	for i := range 200 {
		b.Add("s", "r", "m", time.Duration(50+i%50)*time.Millisecond)
		b.Add("s", "long", "m", time.Duration(900+i)*time.Millisecond)
	}
	for latency, want := range map[time.Duration]int64{90 * time.Millisecond: 0, 150 * time.Millisecond: 0, 500 * time.Millisecond: 1} {
		if got := b.CompareLatency("s", "r", "m", latency); got.Timed != 1 || got.Slow != want || got.Expected <= 0 || got.Expected > 2*slowTail {
			t.Errorf("%v: %+v, want %d slow", latency, got, want)
		}
	}
	if got := b.CompareLatency("s", "long", "m", 1500*time.Millisecond); got.Timed != 1 || got.Slow != 0 {
		t.Errorf("an answer of a route with long answers counts as slow: %+v", got)
	}
}

// Guards against a version whose answers begin as early as the old one's, but whose streams are several times slower.
func TestSlowStreamsRevert(t *testing.T) {
	b := NewBaseline()
	for i := range 200 {
		b.Add("s", "r", "m", time.Duration(30+i%20)*time.Millisecond)
	}
	e := evidence(40, 0, 0, 400, 2)
	for i := range 30 {
		e.RecordInterval("r", strconv.Itoa(i%3), b.CompareInterval("s", "r", "m", time.Duration(30+i%20*10)*time.Millisecond))
	}
	if s := e.Suspicion(3); s < revertSuspicion || e.since(evidence(40, 0, 0, 400, 2)).Unproven(3) != true {
		t.Errorf("suspicion %.1f by streams that take three times as long in the mean", s)
	}
}

// Guards against a strict limit that is exceeded because a version is promoted at a fixed time before its deadline.
func TestStrictLimitDelaysPromotion(t *testing.T) {
	rel := &object.Release{Service: "s", TargetVersion: "v2", Duration: 20 * time.Second}
	s := State{Phase: Canary, Elapsed: 18800 * time.Millisecond, Evidence: evidence(5, 0, 0, 300, 3), Endpoints: 3}
	if got := NextPhase(s, rel, Limit{Share: 0.04}); got != Canary {
		t.Errorf("%s with 6 %% of the time left and a limit of 4 %%, want %s", got, Canary)
	}
	s.Elapsed = 19700 * time.Millisecond
	if got := NextPhase(s, rel, Limit{Share: 0.04}); got != Promoted {
		t.Errorf("%s with 1.5 %% of the time left and a limit of 4 %%, want %s", got, Promoted)
	}
}
