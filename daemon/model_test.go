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
	modelDaemons   = 6
	modelOperators = 3
	modelLabels    = 32 // publications in a history
)

// mark identifies a revision in the model. Ranks are in the order of digests, which decide between equal numbers.
type mark struct {
	number uint64
	rank   int // 0 stands for no revision
}

func (m mark) older(other mark) bool {
	return cmp.Or(cmp.Compare(m.number, other.number), cmp.Compare(m.rank, other.rank)) < 0
}

type revisionOpKind int

const (
	opPublish  revisionOpKind = iota // base was stored and revision replaces it
	opUnsure                         // a publication without an answer
	opRead                           // a daemon has revision in force
	opRestored                       // from now on, the stored revision may be an older one
	opSettled                        // the service and every daemon have revision
)

type revisionOp struct {
	kind           revisionOpKind
	daemon         int
	base, revision mark
}

// revisionState is the state of the specification. It is comparable.
type revisionState struct {
	stored    mark
	restored  bool                    // stored is not known exactly, because daemons write newer ones back
	published [modelLabels + 1]uint64 // number by rank; 0 if not published
	seen      [modelDaemons]mark      // newest revision of each daemon
}

func (s revisionState) known(m mark) bool { return m == mark{} || s.published[m.rank] == m.number }

func (s revisionState) publish(op revisionOp) (revisionState, bool) {
	if s.restored && !s.known(op.base) || !s.restored && s.stored != op.base || op.revision.number != op.base.number+1 {
		return s, false
	}
	s.stored = op.revision
	s.published[op.revision.rank] = op.revision.number
	return s, true
}

// revisionModel is the specification of the configuration: a publication replaces exactly the revision that its operator
// has read, and a daemon has a revision that was published and is not older than the one it had.
var revisionModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{revisionState{}} },
	Step: func(state, input, _ any) []any {
		s, op := state.(revisionState), input.(revisionOp)
		switch op.kind {
		case opPublish, opUnsure:
			next, ok := s.publish(op)
			switch {
			case ok && op.kind == opUnsure:
				return []any{s, next}
			case ok:
				return []any{next}
			case op.kind == opUnsure:
				return []any{s}
			}
			return nil
		case opRead:
			if !s.known(op.revision) || op.revision.older(s.seen[op.daemon]) {
				return nil
			}
			s.seen[op.daemon] = op.revision
		case opRestored:
			s.restored = true
		case opSettled:
			if !s.known(op.revision) || !s.restored && s.stored != op.revision {
				return nil
			}
			s.stored, s.restored = op.revision, false
		}
		return []any{s}
	},
	DescribeOperation: func(input, _ any) string { return fmt.Sprintf("%+v", input) },
}).ToModel()

// revisionHistory is a fleet whose operators publish at the same time, each over an unreliable connection.
type revisionHistory struct {
	*fleet
	operators []*memkv.Unreliable
	ranks     map[string]int // by digest
	begin     time.Time
	work      sync.WaitGroup
	snapshot  *memkv.Snapshot
	count     int

	opsMu sync.Mutex
	ops   []porcupine.Operation
}

func newRevisionHistory(t *testing.T, seed uint64) *revisionHistory {
	h := &revisionHistory{fleet: newFleet(t), ranks: map[string]int{}, begin: time.Now()}
	var digests []string
	for i := range modelLabels {
		digests = append(digests, revision(t, 0, modelLabel(i)).Digest)
	}
	slices.Sort(digests)
	for i, d := range digests {
		h.ranks[d] = i + 1
	}
	for i := range uint64(modelOperators) {
		h.operators = append(h.operators, memkv.NewUnreliable(h.store, memkv.UnreliableSpec{
			Seed: seed*modelOperators + i, MaxDelay: 2 * time.Second, Lost: 0.05, LostReply: 0.15, Late: 0.1, LateBy: 5 * time.Second,
		}))
	}
	return h
}

func modelLabel(i int) string { return fmt.Sprint("model-", i) }

func (h *revisionHistory) mark(r config.Revision) mark { return mark{r.Number, h.ranks[r.Digest]} }

func (h *revisionHistory) record(call time.Time, ended bool, op revisionOp) {
	h.opsMu.Lock()
	defer h.opsMu.Unlock()
	end := int64(math.MaxInt64)
	if ended {
		end = int64(time.Since(h.begin))
	}
	h.ops = append(h.ops, porcupine.Operation{ClientId: len(h.ops), Call: int64(call.Sub(h.begin)), Input: op, Return: end})
}

// publishModel publishes a set as an operator does and records the outcome. A conflict changed nothing.
func (h *revisionHistory) publishModel(operator int, label string) {
	base, rev, call, err := h.publishThrough(h.operators[operator], label)
	op := revisionOp{kind: opPublish, base: h.mark(base), revision: h.mark(rev)}
	switch {
	case errors.Is(err, kv.ErrConflict) || rev.Number == 0:
	case err != nil:
		op.kind = opUnsure
		h.record(call, false, op)
	default:
		h.record(call, true, op)
	}
}

// publishThrough returns the base, the revision, which is zero if nothing was sent, and the time at which it was sent.
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

// observe records each revision that comes into force, beside those of readAll.
func (h *revisionHistory) observe() {
	for i, p := range h.parts {
		p.docs.spec.Config.OnChange(func(v *config.View) {
			h.record(time.Now(), true, revisionOp{kind: opRead, daemon: i, revision: h.mark(v.Revision)})
		})
	}
}

func (h *revisionHistory) readAll() {
	for i, p := range h.parts {
		h.record(time.Now(), true, revisionOp{kind: opRead, daemon: i, revision: h.mark(p.docs.spec.Config.Revision())})
	}
}

func (h *revisionHistory) apply(s step) {
	switch s.event {
	case "publish":
		if h.count < modelLabels {
			label := modelLabel(h.count)
			h.count++
			h.work.Go(func() { h.publishModel(s.arg%modelOperators, label) })
		}
	case "down", "up":
		h.store.Faults.SetDown(s.event == "down")
	case "cut", "heal":
		h.cut(map[string]bool{fmt.Sprint("d", s.arg%2): s.event == "cut"}, nil)
	case "snapshot":
		snapshot := h.store.Snapshot()
		h.snapshot = &snapshot
	case "restore":
		if h.snapshot != nil {
			h.record(time.Now(), true, revisionOp{kind: opRestored})
			h.store.Restore(*h.snapshot)
		}
	case "settle":
		h.settle()
	}
}

// settle ends the faults and waits until the service and all daemons agree.
func (h *revisionHistory) settle() {
	h.work.Wait()
	h.store.Faults.SetDown(false)
	h.heal()
	time.Sleep(settleTime + 5*time.Second) // writes that take effect late
	time.Sleep(settleTime)
	stored := h.stored()
	if l := h.lagging(stored); len(l) > 0 {
		h.violate("revision %d is stored, %v", stored.Number, l)
	}
	h.record(time.Now(), true, revisionOp{kind: opSettled, revision: h.mark(stored)})
}

func drawRevisionStep(t *rapid.T) step {
	events := []string{"publish", "publish", "publish", "publish", "read", "down", "up", "cut", "heal", "snapshot", "restore", "settle"}
	return step{rapid.SampledFrom(events).Draw(t, "event"), rapid.IntRange(0, 11).Draw(t, "arg"), rapid.IntRange(1, 4000).Draw(t, "pause")}
}

// Guards against a publication that overwrites one its operator has not seen, and a daemon that goes back or has a
// revision that nobody published, while operators race over connections that lose calls and replies and delay writes, and
// the service is down, cut off or restored to older data.
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
			h.settle()
			h.readAll()
			ok = porcupine.CheckOperations(revisionModel, h.ops)
		})
		if !ok {
			rt.Fatalf("not linearizable: %+v", h.ops)
		}
		for _, v := range h.violations {
			rt.Error(v)
		}
	})
}

// Guards against a model that accepts everything.
func TestRevisionModelRejects(t *testing.T) {
	first, second, third := mark{1, 1}, mark{2, 2}, mark{2, 3}
	publish := func(base, next mark) revisionOp { return revisionOp{kind: opPublish, base: base, revision: next} }
	read := func(m mark) revisionOp { return revisionOp{kind: opRead, revision: m} }
	for name, ops := range map[string][]revisionOp{
		"overwritten":     {publish(mark{}, first), publish(first, second), publish(first, third)},
		"went back":       {publish(mark{}, first), publish(first, second), read(second), read(first)},
		"never published": {publish(mark{}, first), read(second)},
		"back to nothing": {publish(mark{}, first), read(first), read(mark{})},
		"lost":            {publish(mark{}, first), publish(first, second), {kind: opSettled, revision: first}},
	} {
		var history []porcupine.Operation
		for i, op := range ops {
			history = append(history, porcupine.Operation{Call: int64(2 * i), Return: int64(2*i + 1), Input: op})
		}
		if porcupine.CheckOperations(revisionModel, history) {
			t.Errorf("%s: accepted", name)
		}
	}
}
