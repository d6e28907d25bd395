package ledger

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
)

// Copies keeps other daemons' bills and writes them when their owner has fallen silent.
type Copies struct {
	store  kv.Store
	self   string
	silent time.Duration

	mu     sync.Mutex
	owners map[string]*owner // by incarnation
}

type owner struct {
	heard   time.Time
	batches map[uint64]*batch
}

// NewCopies returns an empty holder. An owner is silent after the given time without a message; it must exceed the
// owners' write interval, since an owner with unwritten bills sends at least one message in each.
func NewCopies(store kv.Store, self string, silent time.Duration) *Copies {
	return &Copies{store: store, self: self, silent: silent, owners: map[string]*owner{}}
}

// Keep stores a copy and drops those that the owner has written.
func (c *Copies) Keep(m Copy, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.owners[m.ID.Incarnation]
	if o == nil {
		o = &owner{batches: map[uint64]*batch{}}
		c.owners[m.ID.Incarnation] = o
	}
	o.heard = now
	for seq := range o.batches {
		if seq < m.Written {
			delete(o.batches, seq)
		}
	}
	if len(m.Bills) == 0 {
		return
	}
	b := o.batches[m.ID.Seq]
	if b == nil {
		b = &batch{id: m.ID}
		o.batches[m.ID.Seq] = b
	}
	b.bills = append(b.bills, m.Bills...)
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

// WriteSilent writes the batches of owners that have fallen silent. Batches that can't be written stay.
func (c *Copies) WriteSilent(ctx context.Context, now time.Time) error {
	return c.writeAll(ctx, func(o *owner) bool { return now.Sub(o.heard) > c.silent })
}

// WriteAll writes every batch, for a daemon that stops.
func (c *Copies) WriteAll(ctx context.Context) error {
	return c.writeAll(ctx, func(*owner) bool { return true })
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

func (c *Copies) collect(due func(*owner) bool) []batch {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []batch
	for inc, o := range c.owners {
		if !due(o) {
			continue
		}
		if len(o.batches) == 0 {
			delete(c.owners, inc)
		}
		for _, b := range o.batches {
			out = append(out, batch{b.id, slices.Clone(b.bills)})
		}
	}
	slices.SortFunc(out, func(a, b batch) int {
		return cmp.Or(cmp.Compare(a.id.Incarnation, b.id.Incarnation), cmp.Compare(a.id.Seq, b.id.Seq))
	})
	return out
}

// drop removes a written batch unless it has grown since it was collected.
func (c *Copies) drop(b batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.owners[b.id.Incarnation]
	if o == nil {
		return
	}
	if kept := o.batches[b.id.Seq]; kept != nil && len(kept.bills) == len(b.bills) {
		delete(o.batches, b.id.Seq)
	}
}
