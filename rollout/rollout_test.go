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

// drive runs a roll-out with calls for a number of intervals until it halts. It returns the calls that the new version
// answered.
func drive(c *Controller, rng *rand.Rand, intervals, calls int, at func(int) rates) (newCalls uint64, halted bool) {
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

// Guards against halts of sound versions beyond the stated rate, under a steady rate of failures and in an outage that
// hits both versions alike.
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
			if _, halted := drive(c, rand.New(rand.NewPCG(seed, 7)), 80, 300, at); halted {
				halts++
			}
		}
		if halts > rollouts*FalseAlarmRate {
			t.Errorf("%s: %d of %d roll-outs of sound versions were halted", name, halts, rollouts)
		}
	}
}

// Guards against a test too weak to stop a version that fails a fifth of its answers, or one that never advances a sound
// version.
func TestHaltAndAdvance(t *testing.T) {
	for seed := range uint64(20) {
		calls, halted := drive(NewController(State{}, "self"), rand.New(rand.NewPCG(seed, 8)), 200, 300, func(int) rates { return rates{0.01, 0.2} })
		if !halted || calls > 100 {
			t.Errorf("seed %d: halted %t after %d answers of a version that fails every fifth", seed, halted, calls)
		}
	}
	c := NewController(State{}, "self")
	if _, halted := drive(c, rand.New(rand.NewPCG(1, 9)), 200, 300, func(int) rates { return rates{0.01, 0.01} }); halted {
		t.Fatal("a sound version was halted")
	}
	if got := c.State().Records["r"].Step; got != len(declared.Steps)-1 {
		t.Errorf("step %d after minimum evidence in every step", got)
	}
}

// Guards against evidence that is lost with the holder, counted twice in a repeated report, or halts without bound on
// the number of holders.
func TestNewHolderGoesOn(t *testing.T) {
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
		t.Errorf("the next holder starts with %+v", got)
	}
	pair.From.Answers, pair.To = 2000, Counts{Answers: 30, Errors: 7}
	next.Report(Evidence{Sender: "x", Pairs: []Pair{pair}}, start)
	if _, halted := next.Tick([]object.Rollout{declared}, noRatings, start); !halted {
		t.Error("7 failures of 30, one in 100 before, did not halt at the next holder")
	}
}

// Guards against totals that count again when a daemon reports after a long time without calls.
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
	if got := c.test(IDOf(&declared)).total.from.Answers; got != 101 {
		t.Errorf("%d calls counted of 101", got)
	}
}

// Guards against ratings that don't count, and against old ratings that do.
func TestPoorRatingsHalt(t *testing.T) {
	c := NewController(State{}, "a")
	totals := map[string]Ratings{"m-1": {1000, 100}, "m-2": {50, 50}}
	of := func(v string) Ratings { return totals[v] }
	if _, halted := c.Tick([]object.Rollout{declared}, of, start); halted {
		t.Fatal("halted by ratings from before the roll-out")
	}
	totals["m-1"], totals["m-2"] = Ratings{2000, 200}, Ratings{80, 65}
	if _, halted := c.Tick([]object.Rollout{declared}, of, start); !halted {
		t.Error("15 poor ratings of 30 did not halt; one in ten is usual")
	}
}

func viewOf(r object.Rollout) *config.View {
	return &config.View{Set: object.Set{Rollouts: []object.Rollout{r}}}
}

// Guards against a halt that an older or forked message undoes, an operator's publish that does not win, and a roll-out
// that goes on at a daemon that does not know yet whether it was halted.
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
