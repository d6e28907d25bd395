// Package suspect keeps the sets of prompt parts that all daemons refuse in one entry of the key-value store, for daemons that start
// later. The condition on the entry's revision orders the trials of all daemons.
package suspect

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/pause"
	"github.com/bramleytrail/bramleytrail/poison"
)

const (
	// reviewInterval is the time between two looks at the evidence while it may change the conclusions.
	reviewInterval = 100 * time.Millisecond
	// writeDelay is the time for which a conclusion must hold before a daemon writes it, and delayPerRank is added for each daemon of
	// lower rank, up to maxWriteDelay: all daemons reach the same conclusion, and one write is enough.
	writeDelay, delayPerRank, maxWriteDelay = 300 * time.Millisecond, 100 * time.Millisecond, 2 * time.Second
	// callTimeout bounds a call of the store.
	callTimeout = 600 * time.Millisecond
	// setTTL is the time after which a set is dropped.
	setTTL = 24 * time.Hour
	// lostTTL is the time after a restore of the store in which lost sets are written again. It covers the longest delay of a write and some
	// failed ones. Later, a set that is missing was removed by a daemon.
	lostTTL = 10 * time.Second
)

// Spec configures a Keeper.
type Spec struct {
	Parts *poison.PartTable
	Store kv.Store
	Key   string // of the entry
	// Entry returns the newest state of the entry that this daemon has or can read. If there is none, the number of its revision is 0.
	Entry func(context.Context) (kv.Entry, error)
	// OnWrite is called with the entry after this daemon has written it; it may be nil.
	OnWrite func(kv.Entry)
	// Rank returns the position of this daemon among all daemons, 0 for the first.
	Rank func() int
	// OnTrial is called with each trial that this daemon was granted.
	OnTrial func()
	Log     logrus.FieldLogger
}

// Keeper writes this daemon's conclusions to the entry, puts those of others in force and grants trials.
type Keeper struct {
	spec Spec
	wake chan struct{}

	mu        sync.Mutex
	sets      []poison.RefusedParts // that were applied last
	lost      []poison.RefusedParts // applied before a restore of the store and not read since; written again until lostUntil
	lostUntil time.Time
	applied   kv.Revision // revision of the entry that was applied last
	reported  []poison.RefusedParts
}

// New returns a keeper. Run must be called.
func New(spec Spec) *Keeper {
	k := &Keeper{spec: spec, wake: make(chan struct{}, 1)}
	spec.Parts.OnReview(k.signal)
	return k
}

// signal says that there is new evidence.
func (k *Keeper) signal() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// document is the value of the entry.
type document struct {
	Sets []refusedSet `json:"sets"`
}

type refusedSet struct {
	Parts  []string `json:"parts"` // IDs in hexadecimal
	Trials int      `json:"trials"`
	Since  int64    `json:"since"` // Unix seconds
}

// encode encodes refused sets as of a time.
func encode(sets []poison.RefusedParts, now time.Time) ([]byte, error) {
	doc := document{Sets: []refusedSet{}}
	for _, s := range sets {
		if s.Since.IsZero() {
			s.Since = now
		}
		doc.Sets = append(doc.Sets, refusedSet{FormatParts(s.IDs), s.Trials, s.Since.Unix()})
	}
	return json.Marshal(doc)
}

// decode decodes the value of the entry, without the sets that have expired.
func decode(value []byte, now time.Time) ([]poison.RefusedParts, error) {
	if len(value) == 0 {
		return nil, nil
	}
	var doc document
	if err := json.Unmarshal(value, &doc); err != nil {
		return nil, fmt.Errorf("decode refused prompt parts: %w", err)
	}
	var sets []poison.RefusedParts
	for _, s := range doc.Sets {
		set := poison.RefusedParts{Trials: s.Trials, Since: time.Unix(s.Since, 0)}
		for _, text := range s.Parts {
			id, err := strconv.ParseUint(text, 16, 64)
			if err != nil {
				return nil, fmt.Errorf("decode refused prompt parts: %w", err)
			}
			set.IDs = append(set.IDs, id)
		}
		if len(set.IDs) > 0 && now.Sub(set.Since) < setTTL {
			slices.Sort(set.IDs)
			sets = append(sets, set)
		}
	}
	return sets, nil
}

// FormatParts returns the IDs of prompt parts in hexadecimal.
func FormatParts(ids []uint64) []string {
	out := make([]string, len(ids))
	for i, id := range ids {
		out[i] = strconv.FormatUint(id, 16)
	}
	return out
}

// Apply puts the entry in force and returns its sets and its revision. An entry that can't be decoded counts as empty. Sets that the store
// has lost in a restore stay in force and are among the returned ones.
func (k *Keeper) Apply(e kv.Entry) (sets []poison.RefusedParts, revision kv.Revision) {
	now := time.Now()
	sets, err := decode(e.Value, now)
	k.mu.Lock()
	defer k.mu.Unlock()
	if e.Revision == k.applied || !e.Revision.IsZero() && e.Revision.Compare(k.applied) < 0 { // known, or an older read
		return withLost(sets, k.lost), e.Revision
	}
	if e.Revision.Era > k.applied.Era {
		k.lost, k.lostUntil = k.sets, now.Add(lostTTL)
	}
	if now.After(k.lostUntil) {
		k.lost = nil
	}
	k.lost = slices.DeleteFunc(slices.Clone(k.lost), func(x poison.RefusedParts) bool {
		return now.Sub(x.Since) >= setTTL || slices.ContainsFunc(sets, func(s poison.RefusedParts) bool { return slices.Equal(s.IDs, x.IDs) && s.Trials >= x.Trials })
	})
	sets = withLost(sets, k.lost)
	k.applied, k.sets = e.Revision, sets
	if err != nil {
		k.spec.Log.WithField("key", k.spec.Key).WithError(err).Warn("entry not used")
	}
	k.spec.Parts.Share(sets, now)
	return sets, e.Revision
}

// withLost returns sets with the lost ones. A lost set replaces the same one with fewer trials.
func withLost(sets, lost []poison.RefusedParts) []poison.RefusedParts {
	if len(lost) == 0 {
		return sets
	}
	out := slices.Clone(sets)
	for _, x := range lost {
		i := slices.IndexFunc(out, func(s poison.RefusedParts) bool { return slices.Equal(s.IDs, x.IDs) })
		if i < 0 {
			out = append(out, x)
		} else if out[i].Trials < x.Trials {
			out[i] = x
		}
	}
	return out
}

// hasLost reports whether the store has lost sets that must be written again.
func (k *Keeper) hasLost() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.lost) > 0 && time.Now().Before(k.lostUntil)
}

// read applies the newest state of the entry.
func (k *Keeper) read(ctx context.Context) (sets []poison.RefusedParts, revision kv.Revision, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := k.spec.Entry(ctx)
	if err != nil {
		return nil, kv.Revision{}, err
	}
	sets, revision = k.Apply(e)
	return sets, revision, nil
}

// Run writes the daemon's conclusions until ctx ends. It reads the entry at its start and when the conclusions change.
func (k *Keeper) Run(ctx context.Context) {
	if _, _, err := k.read(ctx); err != nil {
		k.spec.Log.WithError(err).Info("reading refused prompt parts failed")
	}
	var since time.Time // from which the conclusions differ from the sets in common
	for ctx.Err() == nil {
		want, same, settled := k.spec.Parts.Conclude(time.Now())
		same = same && !k.hasLost()
		k.report()
		switch now := time.Now(); {
		case same:
			since = time.Time{}
		case since.IsZero():
			since = now
		case now.Sub(since) >= min(maxWriteDelay, writeDelay+time.Duration(k.spec.Rank())*delayPerRank):
			since = now
			k.publish(ctx, want)
		}
		if same && settled {
			select {
			case <-k.wake:
			case <-ctx.Done():
			}
			continue
		}
		_ = pause.For(ctx, reviewInterval)
	}
}

// publish writes sets unless the entry has changed since the daemon last applied it; the sets then follow from its new state.
func (k *Keeper) publish(ctx context.Context, want []poison.RefusedParts) {
	k.mu.Lock()
	before := k.applied
	k.mu.Unlock()
	_, revision, err := k.read(ctx)
	if err == nil && revision == before {
		err = k.write(ctx, want, revision)
	}
	if err != nil && !errors.Is(err, kv.ErrConflict) {
		k.spec.Log.WithError(err).Info("writing refused prompt parts failed")
	}
}

// write replaces the entry if it still has the given revision.
func (k *Keeper) write(ctx context.Context, sets []poison.RefusedParts, revision kv.Revision) error {
	value, err := encode(sets, time.Now())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if revision.Number == 0 {
		revision = kv.Revision{} // no entry, whatever the era
	}
	next, err := k.spec.Store.CAS(ctx, k.spec.Key, value, revision, 0)
	if err != nil {
		return err
	}
	e := kv.Entry{Key: k.spec.Key, Value: value, Revision: next}
	if k.spec.OnWrite != nil {
		k.spec.OnWrite(e)
	}
	k.mu.Lock()
	k.lost = nil // the value has them, except those that this daemon knows to be sound
	k.mu.Unlock()
	k.Apply(e)
	return nil
}

// Grant counts a trial of a set in the entry. It refuses if the set is not there, if its trials are used up, or if the entry has changed
// or can't be written, since another daemon may have begun a trial.
func (k *Keeper) Grant(ctx context.Context, set poison.RefusedParts) bool {
	sets, revision, err := k.read(ctx)
	if err != nil {
		return false
	}
	i := slices.IndexFunc(sets, func(x poison.RefusedParts) bool { return slices.Equal(x.IDs, set.IDs) })
	if i < 0 || sets[i].Trials >= poison.MaxPartTrials {
		return false
	}
	sets = slices.Clone(sets) // the table has the others
	sets[i].Trials++
	log := k.spec.Log.WithFields(logrus.Fields{"parts": FormatParts(set.IDs), "trials": sets[i].Trials})
	if err := k.write(ctx, sets, revision); err != nil {
		log.WithError(err).Info("trial of refused prompt parts not granted")
		return false
	}
	k.spec.OnTrial()
	log.Info("trial of refused prompt parts")
	return true
}

// report logs changes of the sets in force.
func (k *Keeper) report() {
	sets := k.spec.Parts.Refused()
	k.mu.Lock()
	before := k.reported
	k.reported = sets
	k.mu.Unlock()
	for _, x := range sets {
		if !contains(before, x) {
			k.spec.Log.WithFields(logrus.Fields{"parts": FormatParts(x.IDs), "trials": x.Trials}).Warn("prompt parts refused")
		}
	}
	for _, x := range before {
		if !contains(sets, x) {
			k.spec.Log.WithField("parts", FormatParts(x.IDs)).Info("prompt parts no longer refused")
		}
	}
}

func contains(sets []poison.RefusedParts, set poison.RefusedParts) bool {
	return slices.ContainsFunc(sets, func(x poison.RefusedParts) bool { return slices.Equal(x.IDs, set.IDs) })
}
