package poison

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleytrail/bramleytrail/keyed"
)

const (
	// maxParts bounds the parts of a record. The last ones are kept: the first are shared by most requests, and known to be sound.
	maxParts = 16
	// maxSightings bounds the evidence that is kept. That of the crash with most of it yields: it says least about each of its requests.
	maxSightings = 2048
	// maxKnownParts bounds the parts that are remembered as sound, and those that survived. A part that is forgotten counts as suspicious at
	// the next crash until a request with it is answered.
	maxKnownParts = 1 << 15
	// reviewInterval is the longest time between two reviews of the evidence while it grows or ages.
	reviewInterval = 50 * time.Millisecond
	// MaxPartTrials is the number of requests with a refused set of parts that may still run, in all daemons together, without
	// getting an answer.
	MaxPartTrials = 2
	// firstPartTrial and laterPartTrials are the times from the refusal to the first trial, and from one trial to the next.
	firstPartTrial, laterPartTrials = 4 * time.Second, time.Minute
	// trialTimeout is the time after which the outcome of a trial is no longer awaited.
	trialTimeout = 2 * time.Second
)

// RefusedParts is a set of prompt parts of which one crashes endpoints. A request with all of them is refused; one with some of them runs
// only as a trial, since its outcome tells which part it is.
type RefusedParts struct {
	IDs    []uint64  // in ascending order
	Trials int       // requests that ran since as trials
	Since  time.Time // when the daemons first had the set in common; zero if they do not yet
}

// Verdict says whether a request may run, as far as the parts of its prompt are concerned.
type Verdict int

// Verdicts.
const (
	PartsAllowed Verdict = iota
	PartsRefused
	PartsNeedTrial // it may run as a trial if all daemons agree, see RefusedParts
)

// PartTable holds what this daemon knows of prompt parts. Requests with a part that crashes endpoints are no two alike, so evidence by
// content would refuse each only after crashes of its own. A complete answer proves the parts of its prompt sound; what remains are parts
// that were in flight at several crashes and never got one, see convict. It is safe for concurrent use.
type PartTable struct {
	active   atomic.Bool // there is evidence, or a refused set
	onReview atomic.Pointer[func()]

	mu         sync.Mutex
	sound      partSet
	survived   partSet
	sightings  []*sighting
	own        conclusion     // from the evidence
	shared     []RefusedParts // sets that the daemons have in common
	refused    []*refusedSet  // own and shared
	reviewAt   time.Time      // zero if there is nothing to review
	reviewedAt time.Time
}

// refusedSet is a set that is in force at this daemon.
type refusedSet struct {
	RefusedParts
	trialAt      time.Time // from which a request with all parts may run as a trial
	pendingUntil time.Time // while the outcome of a trial is awaited
}

// NewPartTable returns an empty table.
func NewPartTable() *PartTable {
	return &PartTable{sound: newPartSet(), survived: newPartSet()}
}

// OnReview sets a function that is called when there is new evidence. It must not block.
func (t *PartTable) OnReview(f func()) { t.onReview.Store(&f) }

func (t *PartTable) pushedOut() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sound.parts.PushedOut() + t.survived.parts.PushedOut()
}

// MarkSound records that requests of a team, see keyed.OwnerOf, with the parts got a complete answer. It returns those of which other daemons have to know, because there
// is evidence against them.
func (t *PartTable) MarkSound(team uint32, parts []uint64, now time.Time) (cleared []uint64) {
	if len(parts) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		if t.sound.has(p) {
			continue
		}
		t.sound.add(team, p)
		if t.isSuspect(p) {
			cleared = append(cleared, p)
		}
	}
	if len(cleared) > 0 {
		t.clear(cleared, now)
	}
	return cleared
}

// isSuspect reports whether there is evidence against a part. The caller holds mu.
func (t *PartTable) isSuspect(part uint64) bool {
	return slices.ContainsFunc(t.sightings, func(x *sighting) bool { return slices.Contains(x.parts, part) }) ||
		slices.ContainsFunc(t.refused, func(r *refusedSet) bool { return slices.Contains(r.IDs, part) })
}

// clear removes parts from the evidence. The caller holds mu.
func (t *PartTable) clear(parts []uint64, now time.Time) {
	for _, x := range t.sightings {
		x.parts = without(x.parts, parts)
	}
	t.sightings = slices.DeleteFunc(t.sightings, func(x *sighting) bool { return len(x.parts) == 0 })
	t.review(now)
}

// MarkSurvived records that an endpoint went on answering a request of a team with the parts for a while. It returns those of which other daemons
// have to know, because there is evidence against them. It does not prove them sound, as the endpoint may still crash.
func (t *PartTable) MarkSurvived(team uint32, parts []uint64) (suspected []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		if t.sound.has(p) || t.survived.has(p) {
			continue
		}
		t.survived.add(team, p)
		if t.isSuspect(p) {
			suspected = append(suspected, p)
		}
	}
	return suspected
}

// Suspicious returns the parts that are not known to be sound, maxParts at most.
func (t *PartTable) Suspicious(parts []uint64) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []uint64
	for _, p := range parts {
		if !t.sound.has(p) && !slices.Contains(out, p) {
			out = append(out, p)
		}
	}
	return out[max(0, len(out)-maxParts):]
}

// Add adds the evidence of a record, of this daemon or another one, and reports whether it was new.
func (t *PartTable) Add(r Record, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Sound || r.Survived {
		return t.acquit(r, now)
	}
	x := &sighting{crash: r.Crash, request: r.Request, at: now.Add(-r.Ago)}
	x.sent = x.at.Add(-r.Ran)
	for _, p := range r.Parts[max(0, len(r.Parts)-maxParts):] {
		if !t.sound.has(p) {
			x.parts = append(x.parts, p)
		}
	}
	repeated := slices.ContainsFunc(t.sightings, func(y *sighting) bool { return y.crash == x.crash && y.request == x.request })
	if len(x.parts) == 0 || repeated {
		return false
	}
	if len(t.sightings) >= maxSightings {
		t.sightings = thin(t.sightings)
	}
	t.sightings = append(t.sightings, x)
	t.active.Store(true)
	if t.reviewAt.IsZero() { // a crash interrupts many requests, whose records arrive together
		t.reviewAt = now
		if next := t.reviewedAt.Add(reviewInterval); next.After(now) {
			t.reviewAt = next
		}
	}
	t.notify()
	return true
}

// thin removes the oldest half of the sightings of the crash that has most of them.
func thin(list []*sighting) []*sighting {
	counts := map[string]int{}
	most := ""
	for _, x := range list {
		counts[x.crash]++
		if n := counts[x.crash]; n > counts[most] {
			most = x.crash
		}
	}
	drop := (counts[most] + 1) / 2
	return slices.DeleteFunc(list, func(x *sighting) bool {
		if x.crash != most || drop == 0 {
			return false
		}
		drop--
		return true
	})
}

// notify calls the function for new evidence.
func (t *PartTable) notify() {
	if f := t.onReview.Load(); f != nil {
		(*f)()
	}
}

// Recurs reports whether a request with a part of the record's was in flight at another crash before the record's request was sent.
func (t *PartTable) Recurs(r Record, now time.Time) bool {
	sent := now.Add(-r.Ago - r.Ran)
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.sightings, func(x *sighting) bool { return x.crash != r.Crash && x.at.Before(sent) && intersects(x.parts, r.Parts) })
}

// acquit adds a record in favor of parts, and reports whether it was new. The caller holds mu.
func (t *PartTable) acquit(r Record, now time.Time) bool {
	list := &t.survived
	if r.Sound {
		list = &t.sound
	}
	fresh := false
	for _, p := range r.Parts {
		fresh = fresh || !list.has(p)
		list.add(r.Team, p)
	}
	if r.Sound && fresh {
		t.clear(r.Parts, now)
	}
	return fresh
}

// Known returns records of what this daemon knows in favor of the parts of a crash record, of which the other daemons have to know.
func (t *PartTable) Known(r Record) (known []Record) {
	if r.Sound || r.Survived || len(r.Parts) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var sound, survived []uint64
	for _, p := range r.Parts {
		switch {
		case t.sound.has(p):
			sound = append(sound, p)
		case t.survived.has(p):
			survived = append(survived, p)
		}
	}
	if len(sound) > 0 {
		known = append(known, Record{Sound: true, Parts: sound})
	}
	if len(survived) > 0 {
		known = append(known, Record{Survived: true, Parts: survived})
	}
	return known
}

// records returns the evidence, for daemons that have just started.
func (t *PartTable) records(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Record, len(t.sightings))
	for i, x := range t.sightings {
		out[i] = Record{Crash: x.crash, Request: x.request, Parts: slices.Clone(x.parts), Ran: x.at.Sub(x.sent), Ago: now.Sub(x.at)}
	}
	return out
}

// Share replaces the sets that the daemons have in common.
func (t *PartTable) Share(sets []RefusedParts, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shared = sets
	t.review(now)
}

// review draws the conclusions from the evidence. The caller holds mu.
func (t *PartTable) review(now time.Time) {
	t.sightings = slices.DeleteFunc(t.sightings, func(x *sighting) bool { return now.Sub(x.at) > recordTTL })
	t.own = convict(t.sightings, t.survived.has, t.own.culprits, now)
	sets := t.inForce()
	for _, s := range sets {
		i := slices.IndexFunc(t.refused, func(r *refusedSet) bool { return intersects(r.IDs, s.IDs) })
		if i < 0 {
			s.trialAt = now.Add(firstPartTrial)
			continue
		}
		old := t.refused[i]
		s.trialAt, s.pendingUntil = old.trialAt, old.pendingUntil
		if s.Trials > old.Trials { // by another daemon
			s.trialAt, s.pendingUntil = now.Add(laterPartTrials), now.Add(trialTimeout)
		}
		s.Trials = max(s.Trials, old.Trials)
	}
	t.refused = sets
	t.active.Store(len(t.refused)+len(t.sightings) > 0)
	t.reviewAt = time.Time{}
	if slices.ContainsFunc(t.sightings, func(x *sighting) bool { return now.Sub(x.at) < patience+evidenceDelay }) {
		t.reviewAt = now.Add(reviewInterval) // later, only new evidence changes the conclusions
	}
	t.reviewedAt = now
	t.notify()
}

// inForce returns the shared sets without the parts known to be sound, narrowed by this daemon's own evidence, and its own sets that are
// not among them. The caller holds mu.
func (t *PartTable) inForce() []*refusedSet {
	var out []*refusedSet
	for _, s := range MergeParts(t.shared, t.own.sets, t.sound.has) {
		out = append(out, &refusedSet{RefusedParts: s})
	}
	return out
}

// Admit returns whether a request with the given parts may run. set is the refused set that forbids it or of which it is a trial, and wait
// the time after which it may come again.
func (t *PartTable) Admit(parts []uint64, now time.Time) (v Verdict, set RefusedParts, wait time.Duration) {
	if len(parts) == 0 || !t.active.Load() {
		return PartsAllowed, RefusedParts{}, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.reviewAt.IsZero() && !now.Before(t.reviewAt) {
		t.review(now)
	}
	for _, r := range t.refused {
		if !intersects(r.IDs, parts) {
			continue
		}
		all := len(without(r.IDs, parts)) == 0
		switch {
		case r.Trials >= MaxPartTrials && !all && now.After(r.pendingUntil):
			continue // the trials are used up; only the whole set is known to crash endpoints
		case r.Trials >= MaxPartTrials:
			return PartsRefused, r.RefusedParts, laterPartTrials
		case now.Before(r.pendingUntil):
			return PartsRefused, r.RefusedParts, r.pendingUntil.Sub(now)
		case all && now.Before(r.trialAt):
			return PartsRefused, r.RefusedParts, r.trialAt.Sub(now)
		}
		return PartsNeedTrial, r.RefusedParts, 0
	}
	return PartsAllowed, RefusedParts{}, 0
}

// BeginTrial records that a request of this daemon runs as a trial of a set, to which all daemons have agreed.
func (t *PartTable) BeginTrial(set RefusedParts, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.refused {
		if intersects(r.IDs, set.IDs) {
			r.Trials = max(r.Trials, set.Trials+1)
			r.trialAt, r.pendingUntil = now.Add(laterPartTrials), now.Add(trialTimeout)
		}
	}
}

// Conclude returns the sets that all daemons should have in common, as far as this one knows, and whether these are those that they have.
// settled says that they do not change without new evidence.
func (t *PartTable) Conclude(now time.Time) (want []RefusedParts, same, settled bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.reviewAt.IsZero() {
		t.review(now)
	}
	want = MergeParts(t.shared, t.own.sets, t.sound.has)
	same = slices.EqualFunc(want, t.shared, func(x, y RefusedParts) bool { return slices.Equal(x.IDs, y.IDs) })
	return want, same, t.reviewAt.IsZero()
}

// Refused returns the sets in force.
func (t *PartTable) Refused() []RefusedParts {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]RefusedParts, len(t.refused))
	for i, r := range t.refused {
		out[i] = r.RefusedParts
	}
	return out
}

// Explains reports whether a refused set is the cause of a crash, so that it says nothing about the other requests at the endpoint.
func (t *PartTable) Explains(crash string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.own.explained[crash]
}

// MergeParts returns the sets that all daemons should have in common: the shared ones without the parts that are known to be sound, each
// narrowed by a set that is a part of it, and the own ones that no shared one contains.
func MergeParts(shared []RefusedParts, own [][]uint64, isSound func(uint64) bool) []RefusedParts {
	var out []RefusedParts
	for _, s := range shared {
		s.IDs = slices.DeleteFunc(slices.Clone(s.IDs), isSound)
		for _, o := range own {
			if len(o) < len(s.IDs) && len(without(o, s.IDs)) == 0 {
				s.IDs = o
			}
		}
		if len(s.IDs) > 0 && !slices.ContainsFunc(out, func(x RefusedParts) bool { return slices.Equal(x.IDs, s.IDs) }) {
			out = append(out, s)
		}
	}
	for _, o := range own {
		known := slices.ContainsFunc(out, func(s RefusedParts) bool { return len(without(s.IDs, o)) == 0 })
		if known || len(out) >= maxRefusedSets {
			continue
		}
		trials := 0 // those of sets with the same parts count
		for _, s := range out {
			if intersects(s.IDs, o) {
				trials = max(trials, s.Trials)
			}
		}
		out = append(out, RefusedParts{IDs: o, Trials: trials})
	}
	return out
}

// maxRefusedSets bounds the sets in force. A deployment with more has another problem than a prompt part.
const maxRefusedSets = 64

// without returns the elements of list that are not in drop.
func without(list, drop []uint64) []uint64 {
	var out []uint64
	for _, p := range list {
		if !slices.Contains(drop, p) {
			out = append(out, p)
		}
	}
	return out
}

// intersects reports whether two lists have an element in common.
func intersects(a, b []uint64) bool {
	return slices.ContainsFunc(a, func(p uint64) bool { return slices.Contains(b, p) })
}

// partSet is a set of limited size, of which the parts go that were not added or asked for recently, of the team with the most of them.
type partSet struct {
	parts *keyed.Table[uint64, struct{}]
}

func newPartSet() partSet { return partSet{keyed.New[uint64, struct{}](maxKnownParts)} }

func (s partSet) has(part uint64) bool {
	_, ok := s.parts.Use(part)
	return ok
}

// add adds a part that a team's request had, see keyed.OwnerOf.
func (s partSet) add(team uint32, part uint64) { s.parts.Put(team, part, struct{}{}) }
