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
	// maxCrashes bounds the crashes of one version in a report. A rollout is halted after far fewer.
	maxCrashes = 16
	// defaultSlowAfter is the time to first token beyond which an answer counts as slow if the rollout sets none. It is the
	// limit of the 95th-percentile time to first token.
	defaultSlowAfter = 690 * time.Millisecond
)

// ID identifies the declaration of a rollout. It is a hash of the declaration, so that an operator's publish of a changed
// declaration ends what was decided on the previous one.
type ID uint64

// IDOf returns the ID of a declared rollout.
func IDOf(r *object.Rollout) ID {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // declared objects hold no value that JSON can't encode
	}
	return ID(xxhash.Sum64(data))
}

// Counts holds numbers of model calls of one version, usually since the daemon started.
type Counts struct {
	Answers uint64 // calls that ended with an answer or an error
	Errors  uint64 // crashes excluded
	Slow    uint64 // first token later than the rollout allows
}

func (c *Counts) add(o Counts) {
	c.Answers += o.Answers
	c.Errors += o.Errors
	c.Slow += o.Slow
}

// sub returns the growth since the earlier counts o, or zero if any count has shrunk, as it does after a restart.
func (c Counts) sub(o Counts) Counts {
	if c.Answers < o.Answers || c.Errors < o.Errors || c.Slow < o.Slow {
		return Counts{}
	}
	return Counts{c.Answers - o.Answers, c.Errors - o.Errors, c.Slow - o.Slow}
}

// atMost reports whether no count exceeds that of o.
func (c Counts) atMost(o Counts) bool {
	return c.Answers <= o.Answers && c.Errors <= o.Errors && c.Slow <= o.Slow
}

// Pair holds the call counts of both versions of one rollout.
type Pair struct {
	ID       ID
	From, To Counts
	// FromCrashes and ToCrashes are hashes of endpoint crashes, at most maxCrashes each. A crash interrupts calls of many
	// daemons; the hash lets the receiver count it once.
	FromCrashes, ToCrashes []uint64
	// Seconds holds the counts by second since the last report that was received, as encoded by packSeconds.
	Seconds []byte `json:"-"`
}

// Evidence is the report of one daemon's counts. They are totals, so that a report may be lost or delivered twice, and a
// new holder of the rollout duty gets complete counts with the next report.
type Evidence struct {
	Sender string // incarnation of the daemon, new after each restart
	Pairs  []Pair
	// Through is the last second, in Unix time by the daemon's clock, that the counts include. It is 0 if the report has
	// no counts by second; such counts take effect on arrival.
	Through int64
}

// Calls returns the total number of calls of all rollouts.
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
	Crash     string        // ID of the endpoint crash that ended the call, or empty
	FirstByte time.Duration // 0 if there was no token
}

// Counter counts the calls of versions under rollout at one daemon. It is safe for concurrent use.
type Counter struct{ shards [countShards]countShard }

type countShard struct {
	mu       sync.Mutex
	versions map[string]*versionCounter // by version
}

// versionCounter counts the calls of one version of a rollout.
type versionCounter struct {
	id        ID
	to        bool // whether this is the new version
	slowAfter time.Duration
	counts    Counts
	recent    window
	crashes   map[uint64]bool
}

// NewCounter returns a counter without rollouts; see SetRollouts.
func NewCounter() *Counter { return &Counter{} }

// SetRollouts sets the rollouts in force. Those whose declaration did not change keep their counts.
func (c *Counter) SetRollouts(list []object.Rollout) {
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		old := s.versions
		s.versions = map[string]*versionCounter{}
		for j := range list {
			r := &list[j]
			id := IDOf(r)
			s.setVersion(old, r.From, &versionCounter{id: id, slowAfter: slowAfter(r)})
			s.setVersion(old, r.To, &versionCounter{id: id, to: true, slowAfter: slowAfter(r)})
		}
		s.mu.Unlock()
	}
}

// setVersion sets the counter of a version to vc, or to its old counter if the rollout's declaration did not change.
func (s *countShard) setVersion(old map[string]*versionCounter, version string, vc *versionCounter) {
	if previous := old[version]; previous != nil && previous.id == vc.id {
		vc = previous
	}
	s.versions[version] = vc
}

// slowAfter returns the time to first token beyond which an answer counts as slow.
func slowAfter(r *object.Rollout) time.Duration {
	if r.SlowAfter > 0 {
		return r.SlowAfter
	}
	return defaultSlowAfter
}

// Add counts a call. Calls of versions without a rollout are ignored. Any evenly distributed shardHint distributes
// concurrent callers over the shards.
func (c *Counter) Add(shardHint uint64, call Call) {
	s := &c.shards[shardHint%countShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	vc := s.versions[call.Version]
	if vc == nil {
		return
	}
	increment := Counts{Answers: 1}
	switch {
	case call.Crash != "" && len(vc.crashes) < maxCrashes:
		if vc.crashes == nil {
			vc.crashes = map[uint64]bool{}
		}
		vc.crashes[xxhash.Sum64String(call.Crash)] = true
	case call.Crash == "" && call.Failed:
		increment.Errors = 1
	}
	if call.FirstByte > vc.slowAfter {
		increment.Slow = 1
	}
	vc.counts.add(increment)
	vc.recent.add(call.At.Unix(), increment)
}

// Evidence returns the counts of all rollouts in force with at least one call, up to the last complete second. The counts
// by second begin after the second that the receiver already has, in Unix time.
func (c *Counter) Evidence(sender string, after int64, now time.Time) Evidence {
	e := Evidence{Sender: sender, Through: now.Unix() - 1}
	after = max(after, e.Through-windowSeconds+1) // the current second may already have overwritten the oldest slot
	totals := map[ID]*pairTotals{}
	for i := range c.shards {
		c.shards[i].addTo(totals, after, e.Through)
	}
	for _, p := range totals {
		if p.From.Answers+p.To.Answers > 0 {
			p.Seconds = packSeconds(p.list(after, e.Through), e.Through)
			e.Pairs = append(e.Pairs, p.Pair)
		}
	}
	return e
}

// pairTotals sums up a pair over the shards.
type pairTotals struct {
	Pair
	seconds map[int64]*Second // by Unix time
}

// addTo adds the shard's counts up to the second through, and its counts by second later than the second after.
func (s *countShard) addTo(totals map[ID]*pairTotals, after, through int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, vc := range s.versions {
		if vc.counts.Answers == 0 {
			continue
		}
		p := totals[vc.id]
		if p == nil {
			p = &pairTotals{Pair: Pair{ID: vc.id}, seconds: map[int64]*Second{}}
			totals[vc.id] = p
		}
		p.add(vc, after, through)
	}
}

// add adds the counts of one version.
func (p *pairTotals) add(vc *versionCounter, after, through int64) {
	counts, crashes := &p.From, &p.FromCrashes
	if vc.to {
		counts, crashes = &p.To, &p.ToCrashes
	}
	counts.add(vc.counts.sub(vc.recent.countsAt(through + 1)))
	for h := range vc.crashes {
		if len(*crashes) < maxCrashes && !slices.Contains(*crashes, h) {
			*crashes = append(*crashes, h)
		}
	}
	for at := after + 1; at <= through; at++ {
		n := vc.recent.countsAt(at)
		if n == (Counts{}) {
			continue
		}
		second := p.seconds[at]
		if second == nil {
			second = &Second{At: at}
			p.seconds[at] = second
		}
		if vc.to {
			second.To.add(n)
		} else {
			second.From.add(n)
		}
	}
}

// list returns the seconds with counts in (after, through], newest first.
func (p *pairTotals) list(after, through int64) []Second {
	var out []Second
	for at := through; at > after; at-- {
		if s := p.seconds[at]; s != nil {
			out = append(out, *s)
		}
	}
	return out
}
