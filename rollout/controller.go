package rollout

import (
	"fmt"
	"maps"
	"math"
	"time"

	"github.com/bramleytrail/bramleytrail/object"
)

const (
	// suspicion is the e-value from which a roll-out does not advance by itself.
	suspicion = 4
	// maxSeenCrashes bounds the crashes that are told apart in one roll-out.
	maxSeenCrashes = 4096
)

// metric is one comparison of the two versions. The weights sum to 1, so that the mean of the e-values is an e-value.
type metric struct {
	name   string
	weight float64
	hypothesis
}

const (
	metricErrors = iota
	metricCrashes
	metricSlow
	metricPoor
	metricCount
)

var metrics = [metricCount]metric{
	{"errors", 0.4, hypothesis{tolerance: 1.25, alternatives: [4]float64{2, 5, 25, 125}, alone: true}},
	// A new version may have few endpoints and, for its share of the requests, more failures of hosts than the old one.
	{"crashes", 0.2, hypothesis{tolerance: 10, alternatives: [4]float64{30, 100, 300, 1000}}},
	{"slow answers", 0.15, hypothesis{tolerance: 1.5, alternatives: [4]float64{3, 6, 25, 125}}},
	{"poor ratings", 0.25, hypothesis{tolerance: 1.25, alternatives: [4]float64{1.75, 2.5, 5, 25}}},
}

// Controller decides about the roll-outs during one term of the duty. Each term starts the tests anew from the totals
// that all daemons report. Term n may raise a false alarm with a probability of FalseAlarmRate/2^n, so that all terms
// of a roll-out together stay within FalseAlarmRate. It is used by one goroutine.
type Controller struct {
	state   State
	tests   map[ID]*test
	senders map[string]sender
	// processed is the last second, in Unix time, that the tests include.
	processed int64
}

type sender struct {
	seen    time.Time
	through int64 // last second reported; 0 without counts by second
	pairs   map[ID]Pair
}

// versions counts the calls of both versions over all daemons.
type versions struct {
	from, to               Counts
	fromCrashes, toCrashes uint64
}

// test holds the evidence on one roll-out.
type test struct {
	metrics  [metricCount]comparison
	block    versions // counts that the metrics don't include yet
	total    versions
	pending  timeline
	crashes  map[uint64]bool
	ratings  [2]Ratings // included in the metrics
	included bool       // ratings is set
}

// NewController starts a term with the state that the previous one left. Self is the address that takes evidence.
func NewController(previous State, self string) *Controller {
	c := &Controller{state: State{Holder: self, Records: maps.Clone(previous.Records)}, tests: map[ID]*test{}, senders: map[string]sender{}}
	if c.state.Records == nil {
		c.state.Records = map[string]Record{}
	}
	for name, r := range c.state.Records {
		r.Terms++
		c.state.Records[name] = r
	}
	return c
}

// State returns the state as decided so far.
func (c *Controller) State() State {
	return State{Holder: c.state.Holder, Records: maps.Clone(c.state.Records)}
}

// Report takes the counts of one daemon.
func (c *Controller) Report(e Evidence, now time.Time) {
	s, ok := c.senders[e.Sender]
	if !ok {
		s.pairs = map[ID]Pair{}
	}
	for _, p := range e.Pairs {
		before := s.pairs[p.ID]
		if e.Through < s.through && !(before.From.within(p.From) && before.To.within(p.To)) {
			continue // an earlier report that was overtaken
		}
		t := c.test(p.ID)
		growth := versions{p.From.minus(before.From), p.To.minus(before.To), t.fresh(p.FromCrashes), t.fresh(p.ToCrashes)}
		if e.Through == 0 {
			t.take(growth)
		} else {
			c.place(t.pending, growth, p, s.through, e.Through, now.Unix())
		}
		s.pairs[p.ID] = p
	}
	s.seen, s.through = now, max(s.through, min(e.Through, now.Unix()))
	c.senders[e.Sender] = s
}

// take adds counts to the block.
func (t *test) take(v versions) {
	t.block.add(v)
	t.total.add(v)
}

func (c *Controller) test(id ID) *test {
	t := c.tests[id]
	if t == nil {
		t = &test{pending: timeline{}, crashes: map[uint64]bool{}}
		c.tests[id] = t
	}
	return t
}

// fresh counts the crashes that no daemon has reported before.
func (t *test) fresh(crashes []uint64) uint64 {
	n := uint64(0)
	for _, h := range crashes {
		if !t.crashes[h] && len(t.crashes) < maxSeenCrashes {
			t.crashes[h] = true
			n++
		}
	}
	return n
}

// Tick evaluates the evidence. Ratings gives the totals of a version. It reports whether the state changed, and whether
// by a halt.
func (c *Controller) Tick(declared []object.Rollout, ratings func(version string) Ratings, now time.Time) (changed, halted bool) {
	names := map[string]bool{}
	ids := map[ID]bool{}
	c.processed = c.complete(now)
	for i := range declared {
		r := &declared[i]
		names[r.Name] = true
		ids[IDOf(r)] = true
		ch, h := c.decide(r, ratings, now)
		changed, halted = changed || ch, halted || h
	}
	for name := range c.state.Records {
		if !names[name] {
			delete(c.state.Records, name)
			changed = true
		}
	}
	c.forget(ids)
	return changed, halted
}

func (c *Controller) forget(ids map[ID]bool) {
	for id := range c.tests {
		if !ids[id] {
			delete(c.tests, id)
		}
	}
	// A daemon without new calls sends no reports, however long. If its totals were forgotten before its roll-outs end,
	// its next report would count them again.
	for name, s := range c.senders {
		maps.DeleteFunc(s.pairs, func(id ID, _ Pair) bool { return !ids[id] })
		if len(s.pairs) == 0 {
			delete(c.senders, name)
		}
	}
}

// decide starts, advances or halts one roll-out.
func (c *Controller) decide(r *object.Rollout, ratings func(string) Ratings, now time.Time) (changed, halted bool) {
	rec, ok := c.state.Records[r.Name]
	id := IDOf(r)
	if !ok || rec.ID != id {
		rec = Record{ID: id, Step: r.Step, Since: now, Terms: 1, Ratings: [2]Ratings{ratings(r.From), ratings(r.To)}}
		c.state.Records[r.Name] = rec
		changed = true
	}
	t := c.test(id)
	due := t.pending.take(c.processed)
	if rec.Halted {
		return changed, false
	}
	bound := math.Exp2(float64(rec.Terms)) / FalseAlarmRate
	t.includeRatings(rec.Ratings, [2]Ratings{ratings(r.From), ratings(r.To)})
	value, worst := t.process(due, bound)
	switch {
	case value >= bound:
		rec.Step, rec.Halted, rec.Since = -1, true, now
		rec.Reason = fmt.Sprintf("%s: %s", metrics[worst].name, t.describe(worst))
		halted = true
	case rec.Step >= 0 && rec.Step < len(r.Steps)-1 && r.MinAnswers > 0 && value < suspicion &&
		t.total.to.Answers >= rec.Answers+uint64(r.MinAnswers) && now.Sub(rec.Since) >= r.MinTime:
		rec.Step++
		rec.Since, rec.Answers = now, t.total.to.Answers
	default:
		return changed, false
	}
	c.state.Records[r.Name] = rec
	return true, halted
}

// process takes the counts of seconds in their order and evaluates the test after each of them, so that a value that
// reaches the bound is not missed when later calls lower it. It stops at the bound.
func (t *test) process(seconds []versions, bound float64) (value float64, worst int) {
	t.includeCalls()
	value, worst = t.value()
	for _, v := range seconds {
		if value >= bound {
			break
		}
		t.take(v)
		t.includeCalls()
		value, worst = t.value()
	}
	return value, worst
}

// includeCalls adds the block of calls to the comparisons, once it is large enough.
func (t *test) includeCalls() {
	b := t.block
	if !large(b.from.Answers, b.to.Answers) {
		return
	}
	t.block = versions{}
	t.compare(metricErrors, outcome{b.from.Answers, b.from.Errors}, outcome{b.to.Answers, b.to.Errors})
	t.compare(metricCrashes, outcome{b.from.Answers, b.fromCrashes}, outcome{b.to.Answers, b.toCrashes})
	t.compare(metricSlow, outcome{b.from.Answers, b.from.Slow}, outcome{b.to.Answers, b.to.Slow})
}

// includeRatings adds the new ratings to the comparison, once there are enough.
func (t *test) includeRatings(base, current [2]Ratings) {
	if !t.included {
		t.ratings, t.included = base, true
	}
	if from, to := growth(current[0], t.ratings[0]), growth(current[1], t.ratings[1]); large(from.calls, to.calls) {
		t.compare(metricPoor, from, to)
		t.ratings = current
	}
}

// large reports whether a block of calls shows the old version's rate of failures well enough to judge the new one by
// it. In smaller blocks, a failure of the new version could as well be the common rate. The rule looks at the numbers of
// calls only, never at their outcomes, which keeps the test valid.
func large(old, new uint64) bool {
	return old >= 50 && new >= 1 || old == 0 && new >= 20 || new >= 500
}

func (t *test) compare(m int, old, new outcome) {
	old.failed, new.failed = min(old.failed, old.calls), min(new.failed, new.calls)
	t.metrics[m].add(&metrics[m].hypothesis, old, new)
}

func growth(now, before Ratings) outcome {
	if now.Rated < before.Rated || now.Poor < before.Poor {
		return outcome{}
	}
	return outcome{now.Rated - before.Rated, now.Poor - before.Poor}
}

// value returns the e-value of all metrics together and the metric with the largest part in it.
func (t *test) value() (value float64, worst int) {
	largest := -1.0
	for i := range t.metrics {
		v := metrics[i].weight * t.metrics[i].value()
		value += v
		if v > largest {
			worst, largest = i, v
		}
	}
	return value, worst
}

func (t *test) describe(m int) string {
	from, to := t.total.from, t.total.to
	switch m {
	case metricErrors:
		return fmt.Sprintf("%d of %d calls, old version %d of %d", to.Errors, to.Answers, from.Errors, from.Answers)
	case metricCrashes:
		return fmt.Sprintf("%d in %d calls, old version %d in %d", t.total.toCrashes, to.Answers, t.total.fromCrashes, from.Answers)
	case metricSlow:
		return fmt.Sprintf("%d of %d calls, old version %d of %d", to.Slow, to.Answers, from.Slow, from.Answers)
	}
	return fmt.Sprintf("%d of %d, old version %d of %d", t.ratings[1].Poor, t.ratings[1].Rated, t.ratings[0].Poor, t.ratings[0].Rated)
}
