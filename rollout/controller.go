package rollout

import (
	"fmt"
	"maps"
	"math"
	"time"

	"github.com/bramleytrail/bramleytrail/object"
)

const (
	// holdEValue is the e-value at or above which a rollout is not advanced automatically.
	holdEValue = 4
	// maxDistinctCrashes bounds the crash hashes kept for one rollout; further crashes are not counted.
	maxDistinctCrashes = 4096
)

// metric is one measure by which the two versions are compared. The weights of all metrics sum to 1, so that the weighted
// mean of their e-values is an e-value as well.
type metric struct {
	name   string
	weight float64
	hypothesis
}

const (
	metricErrors = iota
	metricCrashes
	metricSlow
	metricPoorRatings
	metricCount
)

var metrics = [metricCount]metric{
	{"errors", 0.4, hypothesis{tolerance: 1.25, alternatives: [4]float64{2, 5, 25, 125}, absolute: true}},
	// The tolerance is high because a new version may run on few endpoints and, relative to its share of the requests,
	// see more host failures than the old version.
	{"crashes", 0.2, hypothesis{tolerance: 10, alternatives: [4]float64{30, 100, 300, 1000}}},
	{"slow answers", 0.15, hypothesis{tolerance: 1.5, alternatives: [4]float64{3, 6, 25, 125}}},
	{"poor ratings", 0.25, hypothesis{tolerance: 1.25, alternatives: [4]float64{1.75, 2.5, 5, 25}}},
}

// Controller decides on the rollouts during one term of the rollout duty. Each term restarts the tests from the totals
// that all daemons report. Term n may halt a healthy version with a probability of FalseAlarmRate/2^n, so that all terms
// of a rollout together stay within FalseAlarmRate. It is not safe for concurrent use.
type Controller struct {
	state   State
	tests   map[ID]*sequentialTest
	senders map[string]sender
	// processed is the last second, in Unix time, that the tests include.
	processed int64
}

// sender holds the last report of one daemon.
type sender struct {
	lastReport time.Time
	through    int64 // last second reported, in Unix time; 0 if the daemon sends no counts by second
	pairs      map[ID]Pair
}

// pairCounts holds call counts of both versions, summed over daemons.
type pairCounts struct {
	from, to               Counts
	fromCrashes, toCrashes uint64
}

// sequentialTest holds the evidence on one rollout.
type sequentialTest struct {
	metrics    [metricCount]comparison
	block      pairCounts // counts that the metrics don't include yet, see includeCalls
	total      pairCounts
	pending    timeline
	crashes    map[uint64]bool
	ratings    [2]Ratings // of the old and the new version, as included in the metrics
	hasRatings bool       // ratings is set
}

// NewController returns a controller that continues from the state of the previous term. Self is this daemon's peer
// address, to which the other daemons send their evidence.
func NewController(previous State, self string) *Controller {
	c := &Controller{state: State{Holder: self, Records: maps.Clone(previous.Records)}, tests: map[ID]*sequentialTest{}, senders: map[string]sender{}}
	if c.state.Records == nil {
		c.state.Records = map[string]Record{}
	}
	for name, r := range c.state.Records {
		r.Terms++
		c.state.Records[name] = r
	}
	return c
}

// State returns a copy of the current decisions.
func (c *Controller) State() State {
	return State{Holder: c.state.Holder, Records: maps.Clone(c.state.Records)}
}

// Report adds the counts of one daemon. Only what the daemon's totals have grown by since its last report counts, so that
// a report may be delivered more than once.
func (c *Controller) Report(e Evidence, now time.Time) {
	s, ok := c.senders[e.Sender]
	if !ok {
		s.pairs = map[ID]Pair{}
	}
	for _, p := range e.Pairs {
		before := s.pairs[p.ID]
		if e.Through < s.through && !(before.From.atMost(p.From) && before.To.atMost(p.To)) {
			continue // an older report that arrived out of order
		}
		t := c.testFor(p.ID)
		added := pairCounts{p.From.sub(before.From), p.To.sub(before.To), t.countNewCrashes(p.FromCrashes), t.countNewCrashes(p.ToCrashes)}
		if e.Through == 0 {
			t.addCalls(added)
		} else {
			c.addPending(t.pending, added, p, s.through, e.Through, now.Unix())
		}
		s.pairs[p.ID] = p
	}
	s.lastReport, s.through = now, max(s.through, min(e.Through, now.Unix()))
	c.senders[e.Sender] = s
}

// addCalls adds counts to the block and to the totals.
func (t *sequentialTest) addCalls(v pairCounts) {
	t.block.add(v)
	t.total.add(v)
}

// testFor returns the test of a rollout and creates it if it does not exist yet.
func (c *Controller) testFor(id ID) *sequentialTest {
	t := c.tests[id]
	if t == nil {
		t = &sequentialTest{pending: timeline{}, crashes: map[uint64]bool{}}
		c.tests[id] = t
	}
	return t
}

// countNewCrashes records the crashes that no daemon has reported before and returns their number.
func (t *sequentialTest) countNewCrashes(crashes []uint64) uint64 {
	n := uint64(0)
	for _, h := range crashes {
		if !t.crashes[h] && len(t.crashes) < maxDistinctCrashes {
			t.crashes[h] = true
			n++
		}
	}
	return n
}

// Tick evaluates the evidence on the declared rollouts. The function ratings returns the total ratings of a version. Tick
// reports whether any decision changed, and whether a rollout was halted.
func (c *Controller) Tick(declared []object.Rollout, ratings func(version string) Ratings, now time.Time) (changed, halted bool) {
	names := map[string]bool{}
	ids := map[ID]bool{}
	c.processed = c.completeThrough(now)
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
	c.dropUndeclared(ids)
	return changed, halted
}

// dropUndeclared removes the tests and counts of rollouts that are no longer declared.
func (c *Controller) dropUndeclared(ids map[ID]bool) {
	for id := range c.tests {
		if !ids[id] {
			delete(c.tests, id)
		}
	}
	// A daemon without new calls sends no reports for any length of time. Its totals are kept until its rollouts end;
	// otherwise its next report would count them again.
	for name, s := range c.senders {
		maps.DeleteFunc(s.pairs, func(id ID, _ Pair) bool { return !ids[id] })
		if len(s.pairs) == 0 {
			delete(c.senders, name)
		}
	}
}

// decide starts, advances or halts one rollout.
func (c *Controller) decide(r *object.Rollout, ratings func(string) Ratings, now time.Time) (changed, halted bool) {
	rec, ok := c.state.Records[r.Name]
	id := IDOf(r)
	if !ok || rec.ID != id {
		rec = Record{ID: id, Step: r.Step, Since: now, Terms: 1, Ratings: [2]Ratings{ratings(r.From), ratings(r.To)}}
		c.state.Records[r.Name] = rec
		changed = true
	}
	t := c.testFor(id)
	due := t.pending.takeThrough(c.processed)
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
	case rec.Step >= 0 && rec.Step < len(r.Steps)-1 && r.MinAnswers > 0 && value < holdEValue &&
		t.total.to.Answers >= rec.Answers+uint64(r.MinAnswers) && now.Sub(rec.Since) >= r.MinTime:
		rec.Step++
		rec.Since, rec.Answers = now, t.total.to.Answers
	default:
		return changed, false
	}
	c.state.Records[r.Name] = rec
	return true, halted
}

// process adds the counts second by second, in order, and evaluates the test after each second. An e-value that reaches
// the bound is therefore not missed when later calls lower it. It stops at the bound and returns the e-value and the
// metric that contributes most to it.
func (t *sequentialTest) process(seconds []pairCounts, bound float64) (eValue float64, worst int) {
	t.includeCalls()
	eValue, worst = t.eValue()
	for _, v := range seconds {
		if eValue >= bound {
			break
		}
		t.addCalls(v)
		t.includeCalls()
		eValue, worst = t.eValue()
	}
	return eValue, worst
}

// includeCalls adds the block of calls to the comparisons once it is large enough, and starts a new block.
func (t *sequentialTest) includeCalls() {
	b := t.block
	if !enoughCalls(b.from.Answers, b.to.Answers) {
		return
	}
	t.block = pairCounts{}
	t.compare(metricErrors, outcome{b.from.Answers, b.from.Errors}, outcome{b.to.Answers, b.to.Errors})
	t.compare(metricCrashes, outcome{b.from.Answers, b.fromCrashes}, outcome{b.to.Answers, b.toCrashes})
	t.compare(metricSlow, outcome{b.from.Answers, b.from.Slow}, outcome{b.to.Answers, b.to.Slow})
}

// includeRatings adds the ratings given since those included last to the comparison, once there are enough of them. Base
// holds the ratings from before the rollout, which don't count.
func (t *sequentialTest) includeRatings(base, current [2]Ratings) {
	if !t.hasRatings {
		t.ratings, t.hasRatings = base, true
	}
	if from, to := newRatings(current[0], t.ratings[0]), newRatings(current[1], t.ratings[1]); enoughCalls(from.calls, to.calls) {
		t.compare(metricPoorRatings, from, to)
		t.ratings = current
	}
}

// enoughCalls reports whether a block of calls shows the old version's failure rate well enough to compare the new
// version with it. In a smaller block, a failure of the new version may just reflect the common failure rate. The rule
// depends only on the numbers of calls, never on their outcomes, which keeps the test valid.
func enoughCalls(old, new uint64) bool {
	return old >= 50 && new >= 1 || old == 0 && new >= 20 || new >= 500
}

func (t *sequentialTest) compare(m int, old, new outcome) {
	old.failed, new.failed = min(old.failed, old.calls), min(new.failed, new.calls)
	t.metrics[m].add(&metrics[m].hypothesis, old, new)
}

// newRatings returns the ratings given since before, or none if the totals shrank.
func newRatings(now, before Ratings) outcome {
	if now.Rated < before.Rated || now.Poor < before.Poor {
		return outcome{}
	}
	return outcome{now.Rated - before.Rated, now.Poor - before.Poor}
}

// eValue returns the e-value of all metrics together and the index of the metric that contributes most to it.
func (t *sequentialTest) eValue() (eValue float64, worst int) {
	largest := -1.0
	for i := range t.metrics {
		v := metrics[i].weight * t.metrics[i].eValue()
		eValue += v
		if v > largest {
			worst, largest = i, v
		}
	}
	return eValue, worst
}

// describe returns the counts behind a metric, for the reason of a halt.
func (t *sequentialTest) describe(m int) string {
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
