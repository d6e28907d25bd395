package cachemove

import (
	"math/rand/v2"
	"testing"
	"time"
)

// movingInput returns an input that leads to a move: 2000 tokens at 100 µs save 200 ms, and the move takes 100 ms.
func movingInput() Input {
	return Input{
		CachedTokens: 2000, PromptTokens: 2500, Limits: Limits{MaxMoves: 2, MaxMovesPerSource: 1, MaxBytes: 1 << 30, MaxDuration: time.Second},
		Estimate: Estimate{TokenPrefill: 100e-6, PrefillKnown: true, Bytes: 1 << 20, Move: 100 * time.Millisecond, MoveKnown: true},
	}
}

// Guards against moves that exceed a limit, save no time, rely on rates that were not measured, or may take longer than the
// prefill that they save.
func TestDecide(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Input)
		want   Decision
	}{
		"pays":              {func(*Input) {}, Decision{Outcome: Moved, TimeLimit: 200 * time.Millisecond}},
		"within the margin": {func(q *Input) { q.Move = 161 * time.Millisecond }, Decision{Outcome: PrefillFaster}},
		"short":             {func(q *Input) { q.CachedTokens = minTokens - 1 }, Decision{Outcome: TooShort}},
		"daemon's limit":    {func(q *Input) { q.InFlight = 2 }, Decision{Outcome: TooManyMoves}},
		"source's limit":    {func(q *Input) { q.InFlightFromSource = 1 }, Decision{Outcome: SourceBusy}},
		"size":              {func(q *Input) { q.Estimate.Bytes = 1<<30 + 1 }, Decision{Outcome: TooLarge}},
		"shorter limit":     {func(q *Input) { q.MaxDuration = 150 * time.Millisecond }, Decision{Outcome: Moved, TimeLimit: 150 * time.Millisecond}},
		"no measurement":    {func(q *Input) { q.MoveKnown = false }, Decision{Outcome: Unmeasured}},
		"no prefill time":   {func(q *Input) { q.PrefillKnown = false }, Decision{Outcome: Unmeasured}},
		"control":           {func(q *Input) { q.ControlDue = true }, Decision{Outcome: Control}},
		"first trial": {func(q *Input) { q.MoveKnown, q.PrefillKnown, q.TrialDue = false, false, true },
			Decision{Outcome: Moved, Trial: true, TimeLimit: 125 * time.Millisecond}},
		"repeated trial": {func(q *Input) { q.Move, q.TrialDue = time.Second, true }, Decision{Outcome: Moved, Trial: true, TimeLimit: 125 * time.Millisecond}},
		"short trial": {func(q *Input) { q.MoveKnown, q.TrialDue, q.CachedTokens = false, true, minTrialTokens-1 },
			Decision{Outcome: Unmeasured}},
		"time limit":    {func(q *Input) { q.MaxDuration = 120 * time.Millisecond }, Decision{Outcome: TooLong}},
		"deadline":      {func(q *Input) { q.TimeLeft = 400 * time.Millisecond }, Decision{Outcome: Moved, TimeLimit: 150 * time.Millisecond}},
		"near deadline": {func(q *Input) { q.TimeLeft = 340 * time.Millisecond }, Decision{Outcome: NoTime, TimeLimit: 90 * time.Millisecond}},
		"trial before the deadline": {func(q *Input) { q.MoveKnown, q.TrialDue, q.TimeLeft = false, true, 500*time.Millisecond },
			Decision{Outcome: Moved, Trial: true, TimeLimit: 62500 * time.Microsecond}},
	} {
		q := movingInput()
		c.change(&q)
		got := Decide(q)
		got.SavedPrefill = 0
		if got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}

// Guards against rates that one late first token determines, that don't adapt to a change, or that favour moves while there
// are too few or too similar samples.
func TestRates(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	var r rates
	for i := range 200 {
		perToken := 100e-6
		if i >= 100 {
			perToken = 50e-6
		}
		if rate, ok := r.prefillRate(); ok && i < minSamples || i == 100 && (!ok || rate < 95e-6 || rate > 105e-6) {
			t.Fatalf("after %d samples: prefill rate %g s per token, known %t", i, rate, ok)
		}
		tokens := 500 + rnd.Float64()*8000
		r.prefill.add(tokens, 0.05+tokens*perToken+rnd.ExpFloat64()*0.01)
	}
	if rate, _ := r.prefillRate(); rate < 45e-6 || rate > 55e-6 {
		t.Errorf("prefill rate %g s per token after a change to 50 µs", rate)
	}
	p, now := pathRates{measuredAt: time.Unix(1e6, 0)}, time.Unix(1e6, 0)
	if p.move.add(1e9, 1); !p.trialDue(now) {
		t.Error("no further trial is due after a single move")
	}
	var same regression
	for range 50 {
		same.add(1000, 0.1)
	}
	if _, ok := same.slope(); ok {
		t.Error("a slope was computed from prompts of one length")
	}
	if small, large := same.predict(500), same.predict(2000); small < 0.099 || large < 0.199 {
		t.Errorf("estimates of %g s and %g s from samples of one size are too low", small, large)
	}
}

// Guards against cache names that two teams, sessions or versions share.
func TestCacheNamesAreUnique(t *testing.T) {
	seen := map[string]bool{}
	for _, s := range []Session{{Team: "a", ID: "bc"}, {Team: "ab", ID: "c"}, {Team: "a", ID: "b"}, {Team: "a", ID: "bcv"}} {
		for _, version := range []string{"v", "cv", ""} {
			if name := s.CacheName(version); seen[name] || len(name) != 2*cacheNameBytes {
				t.Errorf("session %+v with version %q has the cache name %q, which is not unique or has the wrong length", s, version, name)
			} else {
				seen[name] = true
			}
		}
	}
	if (Session{Team: "a"}).CacheName("v") != "" {
		t.Error("a request without a session has a cache name")
	}
}
