package rollout

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleytrail/bramleytrail/object"
)

const (
	countShards = 16
	// maxCrashes bounds the crashes of one version in a report. Far fewer halt a roll-out.
	maxCrashes = 16
	// defaultSlowAfter is the limit of the 95th-percentile time to first token.
	defaultSlowAfter = 690 * time.Millisecond
)

// ID identifies the declaration of a roll-out. Each change of the declaration gives a new one, so that an operator's
// publish ends what was decided about the old one.
type ID uint64

// IDOf returns the identity of a declared roll-out.
func IDOf(r *object.Rollout) ID {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // declared objects hold no value that JSON can't encode
	}
	return ID(xxhash.Sum64(data))
}

// Counts of model calls of one version since the daemon started.
type Counts struct {
	Answers uint64 // calls that ended with an answer or an error
	Errors  uint64 // crashes excluded
	Slow    uint64 // first token later than the roll-out allows
}

func (c *Counts) add(o Counts) {
	c.Answers += o.Answers
	c.Errors += o.Errors
	c.Slow += o.Slow
}

// minus returns the growth since an earlier count; zero if the sender seems to have started anew.
func (c Counts) minus(o Counts) Counts {
	if c.Answers < o.Answers || c.Errors < o.Errors || c.Slow < o.Slow {
		return Counts{}
	}
	return Counts{c.Answers - o.Answers, c.Errors - o.Errors, c.Slow - o.Slow}
}

// within reports whether no count exceeds that of o.
func (c Counts) within(o Counts) bool {
	return c.Answers <= o.Answers && c.Errors <= o.Errors && c.Slow <= o.Slow
}

// Pair counts the calls of both versions of one roll-out.
type Pair struct {
	ID       ID
	From, To Counts
	// FromCrashes and ToCrashes are hashes of crashes of endpoints, at most maxCrashes each. A crash interrupts calls of
	// many daemons; the hash lets it count once.
	FromCrashes, ToCrashes []uint64
	// Seconds holds the counts by second since the last report that arrived, see packSeconds.
	Seconds []byte `json:"-"`
}

// Evidence is what one daemon has counted. Counts are totals, so that a report which is lost or delivered twice does no
// harm and a new holder of the duty learns everything from the next one.
type Evidence struct {
	Sender string // incarnation of the daemon
	Pairs  []Pair
	// Through is the last second, in Unix time by the daemon's clock, that the counts include. It is 0 if the report has
	// no counts by second; these count when they arrive.
	Through int64
}

// Calls returns the number of calls in the totals.
func (e Evidence) Calls() (n uint64) {
	for _, p := range e.Pairs {
		n += p.From.Answers + p.To.Answers
	}
	return n
}

// Call is a finished model call.
type Call struct {
	At        time.Time // of its end
	Version   string
	Failed    bool
	Crash     string        // identity of the endpoint's crash that ended the call, or empty
	FirstByte time.Duration // 0 if there was no token
}

// Counter counts calls of versions under roll-out.
type Counter struct{ shards [countShards]countShard }

type countShard struct {
	mu    sync.Mutex
	lanes map[string]*lane // by version
}

// lane counts one version of a roll-out.
type lane struct {
	id        ID
	to        bool
	slowAfter time.Duration
	counts    Counts
	recent    window
	crashes   map[uint64]bool
}

// NewCounter returns a counter without roll-outs.
func NewCounter() *Counter { return &Counter{} }

// SetRollouts sets the roll-outs in force. Counts go on for those that did not change.
func (c *Counter) SetRollouts(list []object.Rollout) {
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		old := s.lanes
		s.lanes = map[string]*lane{}
		for j := range list {
			r := &list[j]
			id := IDOf(r)
			s.keep(old, r.From, &lane{id: id, slowAfter: slowAfter(r)})
			s.keep(old, r.To, &lane{id: id, to: true, slowAfter: slowAfter(r)})
		}
		s.mu.Unlock()
	}
}

func (s *countShard) keep(old map[string]*lane, version string, l *lane) {
	if before := old[version]; before != nil && before.id == l.id {
		l = before
	}
	s.lanes[version] = l
}

func slowAfter(r *object.Rollout) time.Duration {
	if r.SlowAfter > 0 {
		return r.SlowAfter
	}
	return defaultSlowAfter
}

// Add counts a call. Point spreads concurrent callers over the shards.
func (c *Counter) Add(point uint64, call Call) {
	s := &c.shards[point%countShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.lanes[call.Version]
	if l == nil {
		return
	}
	one := Counts{Answers: 1}
	switch {
	case call.Crash != "" && len(l.crashes) < maxCrashes:
		if l.crashes == nil {
			l.crashes = map[uint64]bool{}
		}
		l.crashes[xxhash.Sum64String(call.Crash)] = true
	case call.Crash == "" && call.Failed:
		one.Errors = 1
	}
	if call.FirstByte > l.slowAfter {
		one.Slow = 1
	}
	l.counts.add(one)
	l.recent.add(call.At.Unix(), one)
}

// Evidence returns the counts of all roll-outs in force that have any, up to the last complete second. The counts by
// second begin after the given second, which the receiver has.
func (c *Counter) Evidence(sender string, after int64, now time.Time) Evidence {
	e := Evidence{Sender: sender, Through: now.Unix() - 1}
	after = max(after, e.Through-windowSeconds+1) // the slot of the current second may have replaced that of the oldest
	sums := map[ID]*pairSum{}
	for i := range c.shards {
		c.shards[i].sum(sums, after, e.Through)
	}
	for _, p := range sums {
		if p.From.Answers+p.To.Answers > 0 {
			p.Seconds = packSeconds(p.list(after, e.Through), e.Through)
			e.Pairs = append(e.Pairs, p.Pair)
		}
	}
	return e
}

// pairSum adds up the shards of a pair.
type pairSum struct {
	Pair
	seconds map[int64]*Second
}

func (s *countShard) sum(sums map[ID]*pairSum, after, through int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.lanes {
		if l.counts.Answers == 0 {
			continue
		}
		p := sums[l.id]
		if p == nil {
			p = &pairSum{Pair: Pair{ID: l.id}, seconds: map[int64]*Second{}}
			sums[l.id] = p
		}
		p.add(l, after, through)
	}
}

func (p *pairSum) add(l *lane, after, through int64) {
	counts, crashes := &p.From, &p.FromCrashes
	if l.to {
		counts, crashes = &p.To, &p.ToCrashes
	}
	counts.add(l.counts.minus(l.recent.sum(through + 1)))
	for h := range l.crashes {
		if len(*crashes) < maxCrashes && !slices.Contains(*crashes, h) {
			*crashes = append(*crashes, h)
		}
	}
	for at := after + 1; at <= through; at++ {
		n := l.recent.sum(at)
		if n == (Counts{}) {
			continue
		}
		second := p.seconds[at]
		if second == nil {
			second = &Second{At: at}
			p.seconds[at] = second
		}
		if l.to {
			second.To.add(n)
		} else {
			second.From.add(n)
		}
	}
}

// list returns the seconds, newest first.
func (p *pairSum) list(after, through int64) []Second {
	var out []Second
	for at := through; at > after; at-- {
		if s := p.seconds[at]; s != nil {
			out = append(out, *s)
		}
	}
	return out
}
