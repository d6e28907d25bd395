package ledger

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
)

// Reasons for which copies are refused. The owner then asks another daemon.
var (
	ErrCopiesFull   = errors.New("ledger: no room for copies of bills")
	ErrCopiesClosed = errors.New("ledger: daemon is leaving and keeps no copies of bills")
)

// Copies keeps other daemons' bills and writes them when their owner has fallen silent.
type Copies struct {
	store  kv.Store
	self   string
	silent time.Duration

	mu     sync.Mutex
	owners map[string]*owner // by incarnation
	bytes  int               // memory of the copies
	closed bool
}

// memoryOfKey is the memory of a bill's entry in copied.have, in bytes.
const memoryOfKey = 80

type owner struct {
	heard   time.Time
	written uint64 // sequence number below which the owner has stored every batch
	batches map[uint64]*copied
}

// copied is the part of a batch of which this daemon has copies.
type copied struct {
	id     BatchID
	bills  []Bill
	have   map[billKey]bool // an owner sends a bill again if it got no answer
	memory int
}

// NewCopies returns an empty holder. An owner is silent after the given time without a message; it must exceed the
// owners' write interval, since an owner with unwritten bills sends at least one message in each.
func NewCopies(store kv.Store, self string, silent time.Duration) *Copies {
	return &Copies{store: store, self: self, silent: silent, owners: map[string]*owner{}}
}

// Keep stores a copy and drops those that the owner has written. It returns ErrCopiesFull or ErrCopiesClosed if it does
// not keep the copy.
func (c *Copies) Keep(m Copy, now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.ID.Incarnation == c.self {
		return nil // a leaving holder hands this daemon's own bills back; the ledger has them
	}
	if c.closed {
		return ErrCopiesClosed
	}
	o := c.owners[m.ID.Incarnation]
	if o == nil {
		o = &owner{batches: map[uint64]*copied{}}
		c.owners[m.ID.Incarnation] = o
	}
	o.heard = now
	o.written = max(o.written, m.Written)
	for seq, b := range o.batches {
		if seq < o.written {
			c.bytes -= b.memory
			delete(o.batches, seq)
		}
	}
	if len(m.Bills) == 0 || m.ID.Seq < o.written {
		return nil
	}
	if c.bytes >= MaxHeldBytes {
		return ErrCopiesFull
	}
	c.add(o, m)
	return nil
}

func (c *Copies) add(o *owner, m Copy) {
	b := o.batches[m.ID.Seq]
	if b == nil {
		b = &copied{id: m.ID, have: map[billKey]bool{}}
		o.batches[m.ID.Seq] = b
	}
	for _, bill := range m.Bills {
		if k := bill.key(); !b.have[k] {
			b.have[k] = true
			b.bills = append(b.bills, bill)
			b.memory += bill.memory() + memoryOfKey
			c.bytes += bill.memory() + memoryOfKey
		}
	}
}

// Held returns the number of bills kept for other daemons.
func (c *Copies) Held() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, o := range c.owners {
		for _, b := range o.batches {
			n += len(b.bills)
		}
	}
	return n
}

// WriteSilent writes the batches of owners that have fallen silent. Bills that can't be written are passed to adopt, which
// must keep them like bills of this daemon: they are copied again, so that they don't depend on one daemon until the
// key-value service comes back.
func (c *Copies) WriteSilent(ctx context.Context, now time.Time, adopt func([]Bill)) error {
	silent := func(o *owner) bool { return now.Sub(o.heard) > c.silent }
	err := c.writeAll(ctx, silent)
	if err != nil {
		for _, b := range c.collect(silent) {
			adopt(b.bills)
			c.drop(b)
		}
	}
	return err
}

// Close accepts no further copies and writes every batch, for a daemon that stops. Batches that can't be written before
// ctx ends stay for HandOver.
func (c *Copies) Close(ctx context.Context) error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	return c.writeAll(ctx, func(*owner) bool { return true })
}

// HandOver passes the batches that Close could not write to other daemons, which then watch over their owners. Until ctx
// ends, it tries each batch again, also to write it.
func (c *Copies) HandOver(ctx context.Context, r Replicator) error {
	for _, b := range c.collect(func(*owner) bool { return true }) {
		for {
			_, err := r.CopyBills(ctx, Copy{ID: b.id, Bills: b.bills})
			if err == nil || WriteBatch(ctx, c.store, b.id, b.bills, c.self) == nil {
				break
			}
			select {
			case <-ctx.Done():
				return err
			case <-time.After(retryPause):
			}
		}
		c.drop(b)
	}
	return nil
}

func (c *Copies) writeAll(ctx context.Context, due func(*owner) bool) error {
	for _, b := range c.collect(due) {
		if err := WriteBatch(ctx, c.store, b.id, b.bills, c.self); err != nil {
			return err
		}
		c.drop(b)
	}
	return nil
}

// collect returns the batches of the owners that are due. Their bills are slices that only Keep extends.
func (c *Copies) collect(due func(*owner) bool) []copied {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []copied
	for inc, o := range c.owners {
		if !due(o) {
			continue
		}
		if len(o.batches) == 0 {
			delete(c.owners, inc)
		}
		for _, b := range o.batches {
			out = append(out, copied{id: b.id, bills: slices.Clip(b.bills)})
		}
	}
	slices.SortFunc(out, func(a, b copied) int {
		return cmp.Or(cmp.Compare(a.id.Incarnation, b.id.Incarnation), cmp.Compare(a.id.Seq, b.id.Seq))
	})
	return out
}

// drop removes a batch that is safe elsewhere, unless it has grown since it was collected.
func (c *Copies) drop(b copied) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.owners[b.id.Incarnation]
	if o == nil {
		return
	}
	if kept := o.batches[b.id.Seq]; kept != nil && len(kept.bills) == len(b.bills) {
		c.bytes -= kept.memory
		delete(o.batches, b.id.Seq)
	}
}
