package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/object"
)

var (
	start    = time.Unix(0, 0)
	declared = object.Rollout{Name: "r", Model: "m", From: "m-1", To: "m-2", Steps: []float64{0.01, 0.1, 0.5, 1}, MinAnswers: 200}
)

func noRatings(string) Ratings { return Ratings{} }

// rates are the failure rates of the old and the new version in one interval.
type rates struct{ old, new float64 }

// simulate runs the declared rollout for a number of intervals of 10 s, each with the given number of calls, or until it is
// halted. It returns the number of calls that the new version answered.
func simulate(c *Controller, rng *rand.Rand, intervals, calls int, at func(int) rates) (newCalls uint64, halted bool) {
	pair := Pair{ID: IDOf(&declared)}
	now := start
	for i := range intervals {
		step := 0
		if rec, ok := c.State().Records["r"]; ok {
			step = rec.Step
		}
		r := at(i)
		for range calls {
			counts, rate := &pair.From, r.old
			if rng.Float64() < declared.Steps[step] {
				counts, rate = &pair.To, r.new
			}
			counts.Answers++
			if rng.Float64() < rate {
				counts.Errors++
			}
		}
		c.Report(Evidence{Sender: "a", Pairs: []Pair{pair}}, now)
		if _, halted = c.Tick([]object.Rollout{declared}, noRatings, now); halted {
			return pair.To.Answers, true
		}
		now = now.Add(10 * time.Second)
	}
	return pair.To.Answers, false
}

// Guards against healthy versions that are halted more often than FalseAlarmRate, under a constant failure rate and in
// outages that hit both versions equally.
func TestFalseHalts(t *testing.T) {
	for name, at := range map[string]func(int) rates{
		"steady": func(int) rates { return rates{0.02, 0.02} },
		"outage": func(i int) rates {
			if i%40 < 5 {
				return rates{0.6, 0.6}
			}
			return rates{0.005, 0.005}
		},
	} {
		const rollouts = 1000
		halts := 0
		for seed := range uint64(rollouts) {
			c := NewController(State{}, "self")
			if _, halted := simulate(c, rand.New(rand.NewPCG(seed, 7)), 80, 300, at); halted {
				halts++
			}
		}
		if halts > rollouts*FalseAlarmRate {
			t.Errorf("%s: %d of %d rollouts of healthy versions were halted", name, halts, rollouts)
		}
	}
}

// Guards against a test that is too weak to halt a version that fails every fifth call, and against one that never
// advances a healthy version.
func TestHaltAndAdvance(t *testing.T) {
	for seed := range uint64(20) {
		calls, halted := simulate(NewController(State{}, "self"), rand.New(rand.NewPCG(seed, 8)), 200, 300, func(int) rates { return rates{0.01, 0.2} })
		if !halted || calls > 100 {
			t.Errorf("seed %d: halted %t after %d answers of a version that fails every fifth", seed, halted, calls)
		}
	}
	c := NewController(State{}, "self")
	if _, halted := simulate(c, rand.New(rand.NewPCG(1, 9)), 200, 300, func(int) rates { return rates{0.01, 0.01} }); halted {
		t.Fatal("a healthy version was halted")
	}
	if got := c.State().Records["r"].Step; got != len(declared.Steps)-1 {
		t.Errorf("step %d after enough answers and time for every step, want %d", got, len(declared.Steps)-1)
	}
}

// Guards against evidence that is lost when the duty changes hands or counted twice when a report is repeated, and against
// terms that are not counted, which would let false alarms add up with each new holder.
func TestNewHolderContinues(t *testing.T) {
	first := NewController(State{}, "a")
	pair := Pair{ID: IDOf(&declared), From: Counts{Answers: 1000, Errors: 10}, To: Counts{Answers: 10, Errors: 2}}
	for range 3 { // a repeated report is no new evidence
		first.Report(Evidence{Sender: "x", Pairs: []Pair{pair}}, start)
		if _, halted := first.Tick([]object.Rollout{declared}, noRatings, start); halted {
			t.Fatal("halted by a report that was delivered again")
		}
	}
	next := NewController(first.State(), "b")
	if got := next.State().Records["r"]; got.Terms != 2 || got.Step != 0 {
		t.Errorf("the next holder starts with %+v, want 2 terms and step 0", got)
	}
	pair.From.Answers, pair.To = 2000, Counts{Answers: 30, Errors: 7}
	next.Report(Evidence{Sender: "x", Pairs: []Pair{pair}}, start)
	if _, halted := next.Tick([]object.Rollout{declared}, noRatings, start); !halted {
		t.Error("7 failures of 30 calls, compared with one in 100 before, did not halt the rollout at the next holder")
	}
}

// Guards against totals that are counted twice when a daemon reports again after a long time without calls.
func TestIdleSenderCountsOnce(t *testing.T) {
	c := NewController(State{}, "a")
	report := func(calls uint64, now time.Time) {
		p := Pair{ID: IDOf(&declared), From: Counts{Answers: calls}}
		c.Report(Evidence{Sender: "x", Pairs: []Pair{p}}, now)
		c.Tick([]object.Rollout{declared}, noRatings, now)
	}
	report(100, start)
	c.Tick([]object.Rollout{declared}, noRatings, start.Add(time.Hour))
	report(101, start.Add(time.Hour))
	if got := c.testFor(IDOf(&declared)).total.from.Answers; got != 101 {
		t.Errorf("%d calls counted of 101", got)
	}
}

// Guards against poor ratings that are ignored, and against ratings from before the rollout that are counted.
func TestPoorRatingsHalt(t *testing.T) {
	c := NewController(State{}, "a")
	totals := map[string]Ratings{"m-1": {1000, 100}, "m-2": {50, 50}}
	ratings := func(v string) Ratings { return totals[v] }
	if _, halted := c.Tick([]object.Rollout{declared}, ratings, start); halted {
		t.Fatal("halted by ratings from before the rollout")
	}
	totals["m-1"], totals["m-2"] = Ratings{2000, 200}, Ratings{80, 65}
	if _, halted := c.Tick([]object.Rollout{declared}, ratings, start); !halted {
		t.Error("15 poor ratings of 30 did not halt the rollout although the old version has one in ten")
	}
}

func viewOf(r object.Rollout) *config.View {
	return &config.View{Set: object.Set{Rollouts: []object.Rollout{r}}}
}

// Guards against a halt that is undone by an older or conflicting state, against an operator's publish that does not
// override a halt, and against a rollout that continues at a daemon that does not know yet whether it was halted.
func TestTable(t *testing.T) {
	var table Table
	table.SetView(viewOf(declared))
	check := func(what string, r object.Rollout, step int, halted bool) {
		t.Helper()
		if s, h := table.Step(&r); s != step || h != halted {
			t.Errorf("%s: step %d, halted %t; want %d, %t", what, s, h, step, halted)
		}
	}
	check("state unknown", declared, -1, false)
	id := IDOf(&declared)
	table.Apply(State{Records: map[string]Record{"r": {ID: id, Step: 2}}})
	check("advanced", declared, 2, false)
	table.Apply(State{Records: map[string]Record{"r": {ID: id, Step: -1, Halted: true}}})
	check("halted", declared, -1, true)
	table.Apply(State{Records: map[string]Record{"r": {ID: id, Step: 3}}})
	check("message that does not know of the halt", declared, -1, true)
	table.Apply(State{})
	check("empty message", declared, -1, true)
	published := declared
	published.Attempt, published.Step = 1, 1
	table.SetView(viewOf(published))
	check("operator's publish", published, 1, false)
	table.Apply(State{Records: map[string]Record{"r": {ID: id, Step: -1, Halted: true}}})
	check("halt of the earlier declaration", published, 1, false)
}
