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
	modelRequests = 4 // identities in a history
	modelVariants = 4 // outcomes of a request that may be billed; a lower one counts before a higher one
	noBill        = modelVariants
)

// billOp is an append of a variant or a read of one identity. A merge must not show, so it is no operation of the model.
type billOp struct {
	request int
	append  bool
	variant int // appended or read; noBill if nothing was read
	unknown bool
}

// billModel is the specification of the stored bill of one request: a read returns the best of the variants appended
// so far. An append without an answer may take effect at any time, or never.
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

// billStep is one step of a random history; it is started after a pause and runs beside others. Without a pause, the order
// of the calls of two steps, and so their faults, would differ from run to run.
type billStep struct {
	event                  string
	daemon, request, which int
	pause                  time.Duration
}

func drawBillStep(t *rapid.T) billStep {
	events := []string{"append", "append", "append", "again", "merge", "merge", "read", "read", "down", "up", "restore"}
	return billStep{
		event: rapid.SampledFrom(events).Draw(t, "event"), daemon: rapid.IntRange(0, 2).Draw(t, "daemon"),
		request: rapid.IntRange(0, modelRequests-1).Draw(t, "request"), which: rapid.IntRange(0, modelVariants-1).Draw(t, "which"),
		pause: time.Duration(rapid.IntRange(1, 3000).Draw(t, "pause")) * time.Millisecond,
	}
}

// billHistory runs steps against one fake store and records what writers and readers saw.
type billHistory struct {
	t     *testing.T
	store *memkv.Store
	users []*memkv.Unreliable
	start time.Time
	work  sync.WaitGroup

	mu     sync.Mutex
	ops    []porcupine.Operation
	merged int              // batches deleted
	last   map[int]appended // by daemon
	seq    uint64
}

// appended is a batch of one bill.
type appended struct {
	bill billStep
	seq  uint64
}

const modelLateBy = 5 * time.Second

func newBillHistory(t *testing.T, seed uint64) *billHistory {
	h := &billHistory{t: t, store: memkv.New(), start: time.Now(), last: map[int]appended{}}
	for i := range uint64(3) {
		h.users = append(h.users, memkv.NewUnreliable(h.store, memkv.UnreliableSpec{
			Seed: seed*3 + i, MaxDelay: time.Second, Lost: 0.05, LostReply: 0.1, Late: 0.1, LateBy: modelLateBy,
		}))
	}
	return h
}

func (h *billHistory) record(call time.Time, ended bool, op billOp) {
	h.mu.Lock()
	defer h.mu.Unlock()
	end := int64(math.MaxInt64)
	if ended {
		end = int64(time.Since(h.start))
	}
	h.ops = append(h.ops, porcupine.Operation{ClientId: len(h.ops), Call: int64(call.Sub(h.start)), Input: op, Return: end})
}

// variant returns a bill of a closed period. The answered ones count before the failed ones, then the earlier ones.
func (h *billHistory) variant(request, which int) Bill {
	b := Bill{ID: fmt.Sprint(request), Team: "growers", Daemon: "d", At: h.start.Add(-time.Hour).UnixMilli() + int64(which)}
	if which >= modelVariants/2 {
		b.Code = 501
	}
	return b
}

func (h *billHistory) append(daemon int, seq uint64, bills ...billStep) {
	call := time.Now()
	var batch []Bill
	for _, s := range bills {
		batch = append(batch, h.variant(s.request, s.which))
	}
	err := WriteBatch(context.Background(), h.users[daemon], BatchID{"north", fmt.Sprint("d", daemon), seq}, batch, "w")
	for _, s := range bills {
		h.record(call, err == nil, billOp{s.request, true, s.which, err != nil})
	}
}

func (h *billHistory) merge(s billStep) {
	done, _ := NewCompactor(CompactorSpec{Store: h.users[s.daemon], Domain: "north"}).Pass(context.Background(), time.Now())
	h.mu.Lock()
	defer h.mu.Unlock()
	h.merged += done.Batches
}

func (h *billHistory) read(s billStep) {
	call := time.Now()
	slow := &gate{Store: h.users[s.daemon], at: 2, event: func() { time.Sleep(time.Duration(s.which) * modelLateBy) }}
	bills, err := Read(context.Background(), slow) // with a pause between the batches and the merged values
	if err != nil {
		return
	}
	seen := [modelRequests]int{noBill, noBill, noBill, noBill}
	for _, b := range bills {
		var request int
		if _, err := fmt.Sscan(b.ID, &request); err != nil || seen[request] != noBill {
			h.t.Errorf("%s is foreign or read twice", b.ID)
		}
		seen[request] = int(b.At - h.start.Add(-time.Hour).UnixMilli())
	}
	for request, which := range seen {
		h.record(call, true, billOp{request: request, variant: which})
	}
}

// restore brings the service back with the data from before a pass while that pass runs. Appends that are acknowledged
// after the snapshot would be lost, which nothing can mend, so there are none.
func (h *billHistory) restore(s billStep) {
	h.work.Wait()
	time.Sleep(modelLateBy)
	snapshot := h.store.Snapshot()
	store := &gate{Store: h.store, at: 2 + s.which, event: func() { h.store.Restore(snapshot) }}
	_, _ = NewCompactor(CompactorSpec{Store: store, Domain: "north"}).Pass(context.Background(), time.Now())
}

func (h *billHistory) apply(s billStep) {
	time.Sleep(s.pause)
	switch s.event {
	case "append":
		h.seq++
		b := appended{s, h.seq}
		h.last[s.daemon] = b
		h.work.Go(func() { h.append(s.daemon, b.seq, s) })
	case "again": // an owner whose holder has stored a part of the batch, or that got no answer
		if b, ok := h.last[s.daemon]; ok {
			h.work.Go(func() { h.append(s.daemon, b.seq, b.bill, s) })
		}
	case "merge":
		h.work.Go(func() { h.merge(s) })
	case "read":
		h.work.Go(func() { h.read(s) })
	case "down", "up":
		h.store.Faults.SetDown(s.event == "down")
	case "restore":
		h.restore(s)
	}
}

func (h *billHistory) finish() {
	h.store.Faults.SetDown(false)
	h.work.Wait()
	time.Sleep(modelLateBy)
	for _, u := range h.users {
		u.SetReliable(true)
	}
	h.read(billStep{})
	h.merge(billStep{})
	h.read(billStep{})
}

// Guards against a bill that is lost, goes back to a worse outcome or appears from nowhere in what readers see, while
// daemons append, write again and merge, and the store fails calls, loses replies, applies writes late, is down and comes
// back without a merge.
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
			rt.Fatalf("not linearizable: %+v", h.ops)
		}
		reads, merged = reads+len(h.ops), merged+h.merged
	})
	if merged == 0 {
		t.Error("no history merges a batch")
	}
	t.Logf("%d operations, %d batches merged", reads, merged)
}

// Guards against a model that accepts everything.
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
			t.Errorf("%s: accepted", name)
		}
	}
}
