package rollout

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bramleytrail/bramleytrail/object"
)

// calls adds seconds of calls with the given rates of failures to a comparison.
func calls(c *comparison, rng *rand.Rand, at *int64, seconds int, old, new uint64, rate func() rates) {
	draw := func(n uint64, rate float64) (o outcome) {
		o.calls = n
		for range n {
			if rng.Float64() < rate {
				o.failed++
			}
		}
		return o
	}
	for range seconds {
		r := rate()
		o, n := draw(old, r.old), draw(new, r.new)
		c.add(metrics[metricErrors].compare(o, n), n.failed > 0, block{*at, *at})
		*at++
	}
}

func steadily(r rates) func() rates { return func() rates { return r } }

// Guards against a burst of the new version that raises the evidence by more than the cap of its cluster.
func TestBurstIsCapped(t *testing.T) {
	c, rng, at := &comparison{}, rand.New(rand.NewPCG(1, 1)), epoch.Unix()
	calls(c, rng, &at, 600, 60, 2, steadily(rates{0.01, 0}))
	before := c.steady.values()
	calls(c, rng, &at, burstLength, 60, 60, steadily(rates{0, 1}))
	for i, v := range c.steady.values() {
		if v > before[i]+c.steady.caps[i] {
			t.Errorf("alternative %d grew by %.1f in one burst, cap %.1f", i, v-before[i], c.steady.caps[i])
		}
	}
	if v := c.reserve.value(); v > 1 {
		t.Errorf("the reserve grew to %.2f by one burst", v)
	}
}

// Guards against bets that pay too little for bursts: under the assumed rate of bursts, in which all calls of the new
// version fail, a value of x is reached in at most one of x tests, also by the most favourable moment.
func TestBurstsArePaidFor(t *testing.T) {
	const runs, level = 200, 10
	for _, new := range []uint64{1, 30} {
		reached := 0
		for seed := range uint64(runs) {
			c, rng, at := &comparison{}, rand.New(rand.NewPCG(seed, 3)), epoch.Unix()
			left, highest := 0, 0.0
			for range 3600 {
				calls(c, rng, &at, 1, 100, new, func() rates {
					if left = max(0, left-1); left == 0 && rng.Float64() < burstRate {
						left = burstLength
					}
					if left > 0 {
						return rates{0.01, 1}
					}
					return rates{0.01, 0.01}
				})
				highest = max(highest, c.value())
			}
			if highest >= level {
				reached++
			}
		}
		if reached > runs/level {
			t.Errorf("%d calls a second: %d of %d tests of sound versions reached %d", new, reached, runs, level)
		}
	}
}

// Guards against a halt that comes the later the longer a version was sound before it turned bad.
func TestSoundTimeIsForgotten(t *testing.T) {
	delay := func(seed uint64, sound time.Duration) int {
		c, rng, at := &comparison{}, rand.New(rand.NewPCG(seed, 4)), epoch.Unix()
		calls(c, rng, &at, int(sound.Seconds()), 0, 20, steadily(rates{0, 0.01}))
		for i := range 3600 {
			if c.value()*metrics[metricErrors].weight >= 2/FalseAlarmRate {
				return i
			}
			calls(c, rng, &at, 1, 0, 20, steadily(rates{0, 0.2}))
		}
		return math.MaxInt
	}
	for seed := range uint64(10) {
		if early, late := delay(seed, time.Hour), delay(seed, 24*time.Hour); late > early+4*burstLength || late == math.MaxInt {
			t.Errorf("seed %d: halted after %d s of failures after a sound hour, %d s after a sound day", seed, early, late)
		}
	}
}

// Guards against calls of an earlier term, which may hold any number of bursts, that count as those of one second.
func TestEarlierTermIsNoEvidence(t *testing.T) {
	first := NewController(State{}, "a")
	tick(first, epoch)
	next := NewController(first.State(), "b")
	p := Pair{ID: IDOf(&declared), From: Counts{Answers: 5000}, To: Counts{Answers: 500, Errors: 200}, ToCrashes: []uint64{1, 2, 3}}
	next.Report(Evidence{Sender: "x", Pairs: []Pair{p}, Through: epoch.Unix()}, epoch)
	_, halted := next.Tick([]object.Rollout{declared}, noRatings, epoch.Add(time.Minute))
	test := next.test(p.ID)
	if value, _ := test.value(); halted || value > 1 || test.total.to != p.To {
		t.Errorf("halted %t, e-value %.1f, counted %+v of %+v", halted, value, test.total.to, p.To)
	}
}
