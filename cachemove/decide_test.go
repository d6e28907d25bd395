package cachemove

import (
	"math/rand/v2"
	"testing"
	"time"
)

// question is one that leads to a move: 2000 tokens at 100 µs save 200 ms, and the move takes 100 ms.
func question() Question {
	return Question{
		Cached: 2000, Prompt: 2500, Limits: Limits{Moves: 2, PerSource: 1, Bytes: 1 << 30, Time: time.Second},
		Estimate: Estimate{TokenPrefill: 100e-6, PrefillKnown: true, Bytes: 1 << 20, Move: 100 * time.Millisecond, MoveKnown: true},
	}
}

// Guards against moves beyond a limit, without a gain, without a measurement, or for longer than the prefill that they save.
func TestDecide(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Question)
		want   Verdict
	}{
		"pays":              {func(*Question) {}, Verdict{Outcome: Moved, Limit: 200 * time.Millisecond}},
		"within the margin": {func(q *Question) { q.Move = 161 * time.Millisecond }, Verdict{Outcome: PrefillFaster}},
		"short":             {func(q *Question) { q.Cached = leastTokens - 1 }, Verdict{Outcome: TooShort}},
		"daemon's limit":    {func(q *Question) { q.InFlight = 2 }, Verdict{Outcome: TooManyMoves}},
		"source's limit":    {func(q *Question) { q.FromSource = 1 }, Verdict{Outcome: SourceBusy}},
		"size":              {func(q *Question) { q.Estimate.Bytes = 1<<30 + 1 }, Verdict{Outcome: TooLarge}},
		"shorter limit":     {func(q *Question) { q.Time = 150 * time.Millisecond }, Verdict{Outcome: Moved, Limit: 150 * time.Millisecond}},
		"no measurement":    {func(q *Question) { q.MoveKnown = false }, Verdict{Outcome: Unmeasured}},
		"no prefill time":   {func(q *Question) { q.PrefillKnown = false }, Verdict{Outcome: Unmeasured}},
		"control":           {func(q *Question) { q.ControlDue = true }, Verdict{Outcome: Control}},
		"first trial": {func(q *Question) { q.MoveKnown, q.PrefillKnown, q.TrialDue = false, false, true },
			Verdict{Outcome: Moved, Trial: true, Limit: 125 * time.Millisecond}},
		"repeated trial": {func(q *Question) { q.Move, q.TrialDue = time.Second, true }, Verdict{Outcome: Moved, Trial: true, Limit: 125 * time.Millisecond}},
		"short trial": {func(q *Question) { q.MoveKnown, q.TrialDue, q.Cached = false, true, trialTokens-1 },
			Verdict{Outcome: Unmeasured}},
		"time limit":    {func(q *Question) { q.Time = 120 * time.Millisecond }, Verdict{Outcome: TooLong}},
		"deadline":      {func(q *Question) { q.Left = 400 * time.Millisecond }, Verdict{Outcome: Moved, Limit: 150 * time.Millisecond}},
		"near deadline": {func(q *Question) { q.Left = 340 * time.Millisecond }, Verdict{Outcome: NoTime, Limit: 90 * time.Millisecond}},
		"trial before the deadline": {func(q *Question) { q.MoveKnown, q.TrialDue, q.Left = false, true, 500*time.Millisecond },
			Verdict{Outcome: Moved, Trial: true, Limit: 62500 * time.Microsecond}},
	} {
		q := question()
		c.change(&q)
		got := Decide(q)
		got.Prefill = 0
		if got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}

// Guards against rates that one late first token decides, that don't follow a change, or that favour moves while they are
// known badly.
func TestRates(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	var r rates
	for i := range 200 {
		perToken := 100e-6
		if i >= 100 {
			perToken = 50e-6
		}
		if rate, ok := r.prefillRate(); ok && i < leastSamples || i == 100 && (!ok || rate < 95e-6 || rate > 105e-6) {
			t.Fatalf("after %d samples: %g s a token, %t", i, rate, ok)
		}
		tokens := 500 + rnd.Float64()*8000
		r.prefill.add(tokens, 0.05+tokens*perToken+rnd.ExpFloat64()*0.01)
	}
	if rate, _ := r.prefillRate(); rate < 45e-6 || rate > 55e-6 {
		t.Errorf("%g s a token after a change to 50 µs", rate)
	}
	p, now := path{movedAt: time.Unix(1e6, 0)}, time.Unix(1e6, 0)
	if p.move.add(1e9, 1); !p.trialDue(now) {
		t.Error("no further trial after a move of one size")
	}
	var same line
	for range 50 {
		same.add(1000, 0.1)
	}
	if _, ok := same.slope(); ok {
		t.Error("a slope from prompts of one length")
	}
	if small, large := same.at(500), same.at(2000); small < 0.099 || large < 0.199 {
		t.Errorf("estimates %g s and %g s are below what samples of one size allow", small, large)
	}
}

// Guards against names that two teams, sessions or versions share.
func TestNames(t *testing.T) {
	seen := map[string]bool{}
	for _, s := range []Session{{Team: "a", ID: "bc"}, {Team: "ab", ID: "c"}, {Team: "a", ID: "b"}, {Team: "a", ID: "bcv"}} {
		for _, version := range []string{"v", "cv", ""} {
			if name := s.Name(version); seen[name] || len(name) != 2*nameBytes {
				t.Errorf("%+v with %q has the name %q", s, version, name)
			} else {
				seen[name] = true
			}
		}
	}
	if (Session{Team: "a"}).Name("v") != "" {
		t.Error("a request without a session names a cache")
	}
}
