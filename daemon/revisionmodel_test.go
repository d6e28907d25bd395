package daemon

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"math"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/kv"
	"github.com/bramleytrail/bramleytrail/kv/memkv"
)

const (
	modelDaemons         = 6
	modelOperators       = 3
	maxModelPublications = 32 // publications in one history
)

// revisionID identifies a revision in the model. Ranks follow the order of the digests, which decides between equal numbers.
type revisionID struct {
	number uint64
	rank   int // 0 means no revision
}

func (m revisionID) older(other revisionID) bool {
	return cmp.Or(cmp.Compare(m.number, other.number), cmp.Compare(m.rank, other.rank)) < 0
}

type revisionOpKind int

const (
	opPublish        revisionOpKind = iota // revision replaced base, which was stored
	opUnacknowledged                       // a publication without a reply, which may or may not have taken effect
	opRead                                 // revision is in force at a daemon
	opRestored                             // the stored revision may be an older one from now on
	opConverged                            // the store and all daemons have revision
)

type revisionOp struct {
	kind           revisionOpKind
	daemon         int
	base, revision revisionID
}

// revisionState is the state of the model. Porcupine requires it to be comparable.
type revisionState struct {
	stored    revisionID
	restored  bool                             // stored is uncertain, because daemons may write newer ones back
	published [maxModelPublications + 1]uint64 // number by rank; 0 if not published
	seen      [modelDaemons]revisionID         // newest revision of each daemon
}

func (s revisionState) isKnown(m revisionID) bool {
	return m == revisionID{} || s.published[m.rank] == m.number
}

func (s revisionState) publish(op revisionOp) (revisionState, bool) {
	if s.restored && !s.isKnown(op.base) || !s.restored && s.stored != op.base || op.revision.number != op.base.number+1 {
		return s, false
	}
	s.stored = op.revision
	s.published[op.revision.rank] = op.revision.number
	return s, true
}

// revisionModel is the specification of the distributed configuration: a publication replaces exactly the revision that its
// operator has read, and each daemon's revision was published and is not older than the one it had before.
var revisionModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{revisionState{}} },
	Step: func(state, input, _ any) []any {
		s, op := state.(revisionState), input.(revisionOp)
		switch op.kind {
		case opPublish, opUnacknowledged:
			next, ok := s.publish(op)
			switch {
			case ok && op.kind == opUnacknowledged:
				return []any{s, next}
			case ok:
				return []any{next}
			case op.kind == opUnacknowledged:
				return []any{s}
			}
			return nil
		case opRead:
			if !s.isKnown(op.revision) || op.revision.older(s.seen[op.daemon]) {
				return nil
			}
			s.seen[op.daemon] = op.revision
		case opRestored:
			s.restored = true
		case opConverged:
			if !s.isKnown(op.revision) || !s.restored && s.stored != op.revision {
				return nil
			}
			s.stored, s.restored = op.revision, false
		}
		return []any{s}
	},
	DescribeOperation: func(input, _ any) string { return fmt.Sprintf("%+v", input) },
}).ToModel()

// revisionHistory is a fleet whose operators publish concurrently, each over an unreliable connection.
type revisionHistory struct {
	*fleet
	operators    []*memkv.Unreliable
	ranks        map[string]int // by digest
	startedAt    time.Time
	wg           sync.WaitGroup
	snapshot     *memkv.Snapshot
	publications int

	operationsMu sync.Mutex
	operations   []porcupine.Operation
}

func newRevisionHistory(t *testing.T, seed uint64) *revisionHistory {
	h := &revisionHistory{fleet: newFleet(t), ranks: map[string]int{}, startedAt: time.Now()}
	var digests []string
	for i := range maxModelPublications {
		digests = append(digests, revision(t, 0, modelLabel(i)).Digest)
	}
	slices.Sort(digests)
	for i, d := range digests {
		h.ranks[d] = i + 1
	}
	for i := range uint64(modelOperators) {
		h.operators = append(h.operators, memkv.NewUnreliable(h.store, memkv.UnreliableSpec{
			Seed: seed*modelOperators + i, MaxDelay: 2 * time.Second, LostCall: 0.05, LostReply: 0.15, LateWrite: 0.1, MaxLateness: 5 * time.Second,
		}))
	}
	return h
}

func modelLabel(i int) string { return fmt.Sprint("model-", i) }

func (h *revisionHistory) idOf(r config.Revision) revisionID {
	return revisionID{r.Number, h.ranks[r.Digest]}
}

// record adds an operation that began at call. If ended is false, it may still take effect at any later time.
func (h *revisionHistory) record(call time.Time, ended bool, op revisionOp) {
	h.operationsMu.Lock()
	defer h.operationsMu.Unlock()
	end := int64(math.MaxInt64)
	if ended {
		end = int64(time.Since(h.startedAt))
	}
	h.operations = append(h.operations, porcupine.Operation{ClientId: len(h.operations), Call: int64(call.Sub(h.startedAt)), Input: op, Return: end})
}

// publishAndRecord publishes a set as an operator's tool does and records the outcome. A conflict is not recorded, since it
// changes nothing.
func (h *revisionHistory) publishAndRecord(operator int, label string) {
	base, rev, call, err := h.publishThrough(h.operators[operator], label)
	op := revisionOp{kind: opPublish, base: h.idOf(base), revision: h.idOf(rev)}
	switch {
	case errors.Is(err, kv.ErrConflict) || rev.Number == 0:
	case err != nil:
		op.kind = opUnacknowledged
		h.record(call, false, op)
	default:
		h.record(call, true, op)
	}
}

// publishThrough publishes a set through store. It returns the revision that it read, the one that it sent, which is zero if
// nothing was sent, and the time of sending.
func (h *revisionHistory) publishThrough(store kv.Store, label string) (base, rev config.Revision, call time.Time, err error) {
	ctx := context.Background()
	e, err := store.Get(ctx, config.Key)
	if err == nil {
		base, err = config.UnmarshalRevision(e.Value)
	}
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return base, rev, call, err
	}
	rev = revision(h.t, base.Number+1, label)
	data, err := rev.Marshal()
	if err != nil {
		return base, config.Revision{}, call, err
	}
	call = time.Now()
	_, err = store.CAS(ctx, config.Key, data, e.Revision, 0)
	return base, rev, call, err
}

// observe records each revision when it comes into force at a daemon, in addition to the reads of readAll.
func (h *revisionHistory) observe() {
	for i, d := range h.daemons {
		d.docs.spec.Config.OnChange(func(v *config.View) {
			h.record(time.Now(), true, revisionOp{kind: opRead, daemon: i, revision: h.idOf(v.Revision)})
		})
	}
}

// readAll records the revision in force at each daemon.
func (h *revisionHistory) readAll() {
	for i, d := range h.daemons {
		h.record(time.Now(), true, revisionOp{kind: opRead, daemon: i, revision: h.idOf(d.docs.spec.Config.Revision())})
	}
}

// apply carries out the event of a step.
func (h *revisionHistory) apply(s historyStep) {
	switch s.event {
	case "publish":
		if h.publications < maxModelPublications {
			label := modelLabel(h.publications)
			h.publications++
			h.wg.Go(func() { h.publishAndRecord(s.arg%modelOperators, label) })
		}
	case "down", "up":
		h.store.Faults.SetDown(s.event == "down")
	case "cut", "heal":
		h.partition(map[string]bool{fmt.Sprint("d", s.arg%2): s.event == "cut"}, nil)
	case "snapshot":
		snapshot := h.store.Snapshot()
		h.snapshot = &snapshot
	case "restore":
		if h.snapshot != nil {
			h.record(time.Now(), true, revisionOp{kind: opRestored})
			h.store.Restore(*h.snapshot)
		}
	case "settle":
		h.converge()
	}
}

// converge ends all faults and waits until the store and all daemons agree.
func (h *revisionHistory) converge() {
	h.wg.Wait()
	h.store.Faults.SetDown(false)
	h.heal()
	time.Sleep(convergenceTime + 5*time.Second) // delayed writes take effect up to 5 s later
	time.Sleep(convergenceTime)
	stored := h.stored()
	if l := h.lagging(stored); len(l) > 0 {
		h.addViolation("revision %d is stored, %v", stored.Number, l)
	}
	h.record(time.Now(), true, revisionOp{kind: opConverged, revision: h.idOf(stored)})
}

func drawRevisionStep(t *rapid.T) historyStep {
	events := []string{"publish", "publish", "publish", "publish", "read", "down", "up", "cut", "heal", "snapshot", "restore", "settle"}
	return historyStep{rapid.SampledFrom(events).Draw(t, "event"), rapid.IntRange(0, 11).Draw(t, "arg"), rapid.IntRange(1, 4000).Draw(t, "pause")}
}

// Guards against a publication that overwrites one its operator has not seen, and against a daemon that reverts to an older
// revision or has one that nobody published. Operators race over connections that lose calls and replies and delay writes,
// while the store is down, partitioned or restored to older data.
func TestRevisionsAreLinearizable(t *testing.T) {
	for name, value := range map[string]any{"rapid.checks": *historyChecks, "rapid.seed": *historySeed} {
		if err := flag.Set(name, fmt.Sprint(value)); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		steps := rapid.SliceOfN(rapid.Custom(drawRevisionStep), 10, 40).Draw(rt, "steps")
		var h *revisionHistory
		ok := false
		synctest.Test(t, func(t *testing.T) {
			h = newRevisionHistory(t, seed)
			defer h.stop()
			h.grow(modelDaemons, 2)
			h.observe()
			for _, s := range steps {
				h.apply(s)
				time.Sleep(time.Duration(s.pause) * time.Millisecond)
				h.readAll()
			}
			h.converge()
			h.readAll()
			ok = porcupine.CheckOperations(revisionModel, h.operations)
		})
		if !ok {
			rt.Fatalf("not linearizable: %+v", h.operations)
		}
		for _, v := range h.violations {
			rt.Error(v)
		}
	})
}

// Guards against a model that accepts invalid histories, which would make TestRevisionsAreLinearizable pass always.
func TestRevisionModelRejects(t *testing.T) {
	first, second, third := revisionID{1, 1}, revisionID{2, 2}, revisionID{2, 3}
	publish := func(base, next revisionID) revisionOp { return revisionOp{kind: opPublish, base: base, revision: next} }
	read := func(m revisionID) revisionOp { return revisionOp{kind: opRead, revision: m} }
	for name, ops := range map[string][]revisionOp{
		"overwritten":     {publish(revisionID{}, first), publish(first, second), publish(first, third)},
		"went back":       {publish(revisionID{}, first), publish(first, second), read(second), read(first)},
		"never published": {publish(revisionID{}, first), read(second)},
		"back to nothing": {publish(revisionID{}, first), read(first), read(revisionID{})},
		"lost":            {publish(revisionID{}, first), publish(first, second), {kind: opConverged, revision: first}},
	} {
		var history []porcupine.Operation
		for i, op := range ops {
			history = append(history, porcupine.Operation{Call: int64(2 * i), Return: int64(2*i + 1), Input: op})
		}
		if porcupine.CheckOperations(revisionModel, history) {
			t.Errorf("%s: the model accepts an invalid history", name)
		}
	}
}
