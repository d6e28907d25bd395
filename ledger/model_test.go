package ledger

import (
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/bramleytrail/bramleytrail/kv/memkv"
)

const (
	modelRequests = 4 // number of identities in a history
	modelVariants = 4 // number of possible outcomes of a request; a lower one takes precedence over a higher one
	noBill        = modelVariants
)

// billOp is an append of a variant or a read of one identity. Compaction must not be visible to readers, so the model
// has no operation for it.
type billOp struct {
	request int
	append  bool
	variant int  // appended or read; noBill if nothing was read
	unknown bool // the append returned an error, so it may or may not have taken effect
}

// billModel specifies the stored bill of one request: a read returns the lowest variant appended so far. An append that
// returned an error may take effect at any time, or never.
var billModel = (&porcupine.NondeterministicModel{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, modelRequests)
		for _, op := range ops {
			r := op.Input.(billOp).request
			parts[r] = append(parts[r], op)
		}
		return parts
	},
	Init: func() []any { return []any{noBill} },
	Step: func(state, input, _ any) []any {
		best, op := state.(int), input.(billOp)
		switch {
		case !op.append && op.variant == best:
			return []any{best}
		case !op.append:
			return nil
		case op.unknown:
			return []any{best, min(best, op.variant)}
		default:
			return []any{min(best, op.variant)}
		}
	},
	DescribeOperation: func(input, _ any) string { return fmt.Sprintf("%+v", input) },
}).ToModel()

// billStep is one event of a random history. It starts after a pause and runs concurrently with others. Without the
// pause, the order of the calls of two steps, and thus the faults injected into them, would differ between runs with
// the same seed.
type billStep struct {
	event                    string
	daemon, request, variant int // variant also sets the pause of a read and the call before which a restore happens
	pause                    time.Duration
}

func drawBillStep(t *rapid.T) billStep {
	events := []string{"append", "append", "append", "again", "merge", "merge", "read", "read", "down", "up", "restore"}
	return billStep{
		event: rapid.SampledFrom(events).Draw(t, "event"), daemon: rapid.IntRange(0, 2).Draw(t, "daemon"),
		request: rapid.IntRange(0, modelRequests-1).Draw(t, "request"), variant: rapid.IntRange(0, modelVariants-1).Draw(t, "which"),
		pause: time.Duration(rapid.IntRange(1, 3000).Draw(t, "pause")) * time.Millisecond,
	}
}

// billHistory runs steps against an in-memory store through one unreliable client for each daemon, and records the
// operations of writers and readers.
type billHistory struct {
	t       *testing.T
	store   *memkv.Store
	clients []*memkv.Unreliable
	start   time.Time
	wg      sync.WaitGroup

	mu        sync.Mutex
	ops       []porcupine.Operation
	compacted int                   // number of batches that compaction deleted
	lastBatch map[int]appendedBatch // by daemon
	seq       uint64
}

// appendedBatch is a batch that was appended with the bill of one step.
type appendedBatch struct {
	step billStep
	seq  uint64
}

// modelMaxLateness is the longest delay with which the store applies a late write.
const modelMaxLateness = 5 * time.Second

func newBillHistory(t *testing.T, seed uint64) *billHistory {
	h := &billHistory{t: t, store: memkv.New(), start: time.Now(), lastBatch: map[int]appendedBatch{}}
	for i := range uint64(3) {
		h.clients = append(h.clients, memkv.NewUnreliable(h.store, memkv.UnreliableSpec{
			Seed: seed*3 + i, MaxDelay: time.Second, LostCall: 0.05, LostReply: 0.1, LateWrite: 0.1, MaxLateness: modelMaxLateness,
		}))
	}
	return h
}

// record adds an operation that was called at call. An operation that has not ended may take effect at any later time.
func (h *billHistory) record(call time.Time, ended bool, op billOp) {
	h.mu.Lock()
	defer h.mu.Unlock()
	end := int64(math.MaxInt64)
	if ended {
		end = int64(time.Since(h.start))
	}
	h.ops = append(h.ops, porcupine.Operation{ClientId: len(h.ops), Call: int64(call.Sub(h.start)), Input: op, Return: end})
}

// newBill returns a bill of a closed period. The lower half of the variants are answered and the upper half failed;
// within a half, lower variants are earlier.
func (h *billHistory) newBill(request, variant int) Bill {
	b := Bill{ID: fmt.Sprint(request), Team: "growers", Daemon: "d", At: h.start.Add(-time.Hour).UnixMilli() + int64(variant)}
	if variant >= modelVariants/2 {
		b.Code = 501
	}
	return b
}

func (h *billHistory) appendBatch(daemon int, seq uint64, steps ...billStep) {
	call := time.Now()
	var batch []Bill
	for _, s := range steps {
		batch = append(batch, h.newBill(s.request, s.variant))
	}
	err := WriteBatch(context.Background(), h.clients[daemon], BatchID{"north", fmt.Sprint("d", daemon), seq}, batch, "w")
	for _, s := range steps {
		h.record(call, err == nil, billOp{s.request, true, s.variant, err != nil})
	}
}

func (h *billHistory) compact(s billStep) {
	done, _ := NewCompactor(CompactorSpec{Store: h.clients[s.daemon], Domain: "north"}).RunOnce(context.Background(), time.Now())
	h.mu.Lock()
	defer h.mu.Unlock()
	h.compacted += done.Batches
}

func (h *billHistory) read(s billStep) {
	call := time.Now()
	slow := &faultStore{Store: h.clients[s.daemon], faultCall: 2, onFault: func() { time.Sleep(time.Duration(s.variant) * modelMaxLateness) }}
	bills, err := Read(context.Background(), slow) // pauses between reading the batches and the merged values
	if err != nil {
		return
	}
	seen := [modelRequests]int{noBill, noBill, noBill, noBill}
	for _, b := range bills {
		var request int
		if _, err := fmt.Sscan(b.ID, &request); err != nil || seen[request] != noBill {
			h.t.Errorf("bill %q has an unexpected identity or was read twice", b.ID)
		}
		seen[request] = int(b.At - h.start.Add(-time.Hour).UnixMilli())
	}
	for request, variant := range seen {
		h.record(call, true, billOp{request: request, variant: variant})
	}
}

// restore restores the store to a snapshot from before a pass while that pass runs. Appends acknowledged after the
// snapshot would be lost without any way to recover them, so none run at that time.
func (h *billHistory) restore(s billStep) {
	h.wg.Wait()
	time.Sleep(modelMaxLateness)
	snapshot := h.store.Snapshot()
	store := &faultStore{Store: h.store, faultCall: 2 + s.variant, onFault: func() { h.store.Restore(snapshot) }}
	_, _ = NewCompactor(CompactorSpec{Store: store, Domain: "north"}).RunOnce(context.Background(), time.Now())
}

func (h *billHistory) apply(s billStep) {
	time.Sleep(s.pause)
	switch s.event {
	case "append":
		h.seq++
		b := appendedBatch{s, h.seq}
		h.lastBatch[s.daemon] = b
		h.wg.Go(func() { h.appendBatch(s.daemon, b.seq, s) })
	case "again": // an owner that received no reply, or part of whose batch was written by a holder of copies
		if b, ok := h.lastBatch[s.daemon]; ok {
			h.wg.Go(func() { h.appendBatch(s.daemon, b.seq, b.step, s) })
		}
	case "merge":
		h.wg.Go(func() { h.compact(s) })
	case "read":
		h.wg.Go(func() { h.read(s) })
	case "down", "up":
		h.store.Faults.SetDown(s.event == "down")
	case "restore":
		h.restore(s)
	}
}

// finish ends the faults, and records reads of the final state before and after a last compaction.
func (h *billHistory) finish() {
	h.store.Faults.SetDown(false)
	h.wg.Wait()
	time.Sleep(modelMaxLateness)
	for _, u := range h.clients {
		u.SetReliable(true)
	}
	h.read(billStep{})
	h.compact(billStep{})
	h.read(billStep{})
}

// Guards against readers that see a bill vanish, revert to a worse outcome or appear without an append, while daemons
// append, retry and compact, and the store fails calls, loses replies, applies writes late, is down and is restored to
// the state before a compaction.
func TestBillsAreLinearizable(t *testing.T) {
	reads, merged := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		steps := rapid.SliceOfN(rapid.Custom(drawBillStep), 8, 30).Draw(rt, "steps")
		ok := false
		var h *billHistory
		synctest.Test(t, func(t *testing.T) {
			h = newBillHistory(t, seed)
			for _, s := range steps {
				h.apply(s)
			}
			h.finish()
			ok = porcupine.CheckOperations(billModel, h.ops)
		})
		if !ok {
			rt.Fatalf("history is not linearizable: %+v", h.ops)
		}
		reads, merged = reads+len(h.ops), merged+h.compacted
	})
	if merged == 0 {
		t.Error("no history compacted a batch, so the test does not cover compaction")
	}
	t.Logf("%d operations, %d batches compacted", reads, merged)
}

// Guards against a model that accepts invalid histories.
func TestBillModelRejects(t *testing.T) {
	for name, ops := range map[string][]billOp{
		"lost bill":      {{append: true, variant: 0}, {variant: noBill}},
		"worse outcome":  {{append: true, variant: 1}, {append: true, variant: 3}, {variant: 3}},
		"never appended": {{append: true, variant: 1}, {variant: 0}},
		"vanished":       {{append: true, variant: 1, unknown: true}, {variant: 1}, {variant: noBill}},
	} {
		var history []porcupine.Operation
		for i, op := range ops {
			history = append(history, porcupine.Operation{Call: int64(2 * i), Return: int64(2*i + 1), Input: op})
		}
		if porcupine.CheckOperations(billModel, history) {
			t.Errorf("model accepts an invalid history: %s", name)
		}
	}
}
