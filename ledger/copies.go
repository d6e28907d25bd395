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

// Errors for copies that are rejected. The owner of the bills then tries another daemon.
var (
	ErrCopiesFull   = errors.New("ledger: no room for copies of bills")
	ErrCopiesClosed = errors.New("ledger: daemon is leaving and keeps no copies of bills")
)

// Copies holds copies of other daemons' unwritten bills, and writes them to the key-value store if their owner stops
// sending messages. It is safe for concurrent use.
type Copies struct {
	store        kv.Store
	self         string
	ownerTimeout time.Duration

	mu     sync.Mutex
	owners map[string]*ownerState // by incarnation
	bytes  int                    // memory taken by the copies
	// closed is set when this daemon shuts down and accepts no further copies.
	closed bool
}

// keyEntryBytes is the memory taken by one entry of heldBatch.keys, in bytes.
const keyEntryBytes = 80

// ownerState is what is known about one incarnation of another daemon.
type ownerState struct {
	lastMessage  time.Time
	writtenBelow uint64 // sequence number below which every batch of the owner is stored
	batches      map[uint64]*heldBatch
}

// heldBatch contains the bills of a batch that this daemon has copies of, which may be a part of the batch.
type heldBatch struct {
	id     BatchID
	bills  []Bill
	keys   map[billKey]bool // identifies duplicates: an owner retries a bill if it received no answer
	memory int
}

// NewCopies returns an empty set of copies for the daemon whose incarnation is self. An owner that sends no message for
// ownerTimeout is considered unresponsive. The timeout must exceed the owners' write interval, because an owner with
// unwritten bills sends at least one message in each interval.
func NewCopies(store kv.Store, self string, ownerTimeout time.Duration) *Copies {
	return &Copies{store: store, self: self, ownerTimeout: ownerTimeout, owners: map[string]*ownerState{}}
}

// Keep stores the bills of a message received at now, and removes the copies that their owner has written itself. It
// returns ErrCopiesFull if the memory limit is reached and ErrCopiesClosed after Close.
func (c *Copies) Keep(m Copy, now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.ID.Incarnation == c.self {
		return nil // handed over by a daemon that shuts down; the ledger still has this daemon's own bills
	}
	if c.closed {
		return ErrCopiesClosed
	}
	o := c.owners[m.ID.Incarnation]
	if o == nil {
		o = &ownerState{batches: map[uint64]*heldBatch{}}
		c.owners[m.ID.Incarnation] = o
	}
	o.lastMessage = now
	o.writtenBelow = max(o.writtenBelow, m.Written)
	for seq, b := range o.batches {
		if seq < o.writtenBelow {
			c.bytes -= b.memory
			delete(o.batches, seq)
		}
	}
	if len(m.Bills) == 0 || m.ID.Seq < o.writtenBelow {
		return nil
	}
	if c.bytes >= MaxHeldBytes {
		return ErrCopiesFull
	}
	c.add(o, m)
	return nil
}

// add stores the bills of a message that are not held yet. The caller holds c.mu.
func (c *Copies) add(o *ownerState, m Copy) {
	b := o.batches[m.ID.Seq]
	if b == nil {
		b = &heldBatch{id: m.ID, keys: map[billKey]bool{}}
		o.batches[m.ID.Seq] = b
	}
	for _, bill := range m.Bills {
		if k := bill.key(); !b.keys[k] {
			b.keys[k] = true
			b.bills = append(b.bills, bill)
			b.memory += bill.memoryBytes() + keyEntryBytes
			c.bytes += bill.memoryBytes() + keyEntryBytes
		}
	}
}

// Held returns the number of bills held for other daemons.
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

// WriteOrphaned writes the batches of owners that have been unresponsive for longer than the timeout. If a write fails,
// it passes the bills that are not written to adopt and returns the error of the write. The adopter must treat these
// bills like its daemon's own and have them copied again; otherwise this daemon would hold the only copy until the
// key-value store is available again.
func (c *Copies) WriteOrphaned(ctx context.Context, now time.Time, adopt func([]Bill)) error {
	orphaned := func(o *ownerState) bool { return now.Sub(o.lastMessage) > c.ownerTimeout }
	err := c.writeMatching(ctx, orphaned)
	if err != nil {
		for _, b := range c.snapshot(orphaned) {
			adopt(b.bills)
			c.remove(b)
		}
	}
	return err
}

// Close rejects further copies and writes every batch. It is called when the daemon shuts down. If a write fails or ctx
// ends, it returns the error and keeps the remaining batches for HandOver.
func (c *Copies) Close(ctx context.Context) error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	return c.writeMatching(ctx, func(*ownerState) bool { return true })
}

// HandOver sends the batches that Close could not write to other daemons, which then write them if their owners are
// unresponsive. For each batch it alternates between sending and writing until one of them succeeds. If ctx ends first,
// it returns the error of the last attempt to send.
func (c *Copies) HandOver(ctx context.Context, r Replicator) error {
	for _, b := range c.snapshot(func(*ownerState) bool { return true }) {
		for {
			_, err := r.CopyBills(ctx, Copy{ID: b.id, Bills: b.bills})
			if err == nil || WriteBatch(ctx, c.store, b.id, b.bills, c.self) == nil {
				break
			}
			select {
			case <-ctx.Done():
				return err
			case <-time.After(retryDelay):
			}
		}
		c.remove(b)
	}
	return nil
}

// writeMatching writes and removes the batches of the owners that match. It stops at the first error.
func (c *Copies) writeMatching(ctx context.Context, match func(*ownerState) bool) error {
	for _, b := range c.snapshot(match) {
		if err := WriteBatch(ctx, c.store, b.id, b.bills, c.self); err != nil {
			return err
		}
		c.remove(b)
	}
	return nil
}

// snapshot returns the batches of the owners that match, ordered by incarnation and sequence number, and forgets
// matching owners that have none. The bills are not copied: elements of these slices never change, and Keep only
// appends.
func (c *Copies) snapshot(match func(*ownerState) bool) []heldBatch {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []heldBatch
	for inc, o := range c.owners {
		if !match(o) {
			continue
		}
		if len(o.batches) == 0 {
			delete(c.owners, inc)
		}
		for _, b := range o.batches {
			out = append(out, heldBatch{id: b.id, bills: slices.Clip(b.bills)})
		}
	}
	slices.SortFunc(out, func(a, b heldBatch) int {
		return cmp.Or(cmp.Compare(a.id.Incarnation, b.id.Incarnation), cmp.Compare(a.id.Seq, b.id.Seq))
	})
	return out
}

// remove removes a batch that was written or handed over, unless bills were added to it after the snapshot was taken.
func (c *Copies) remove(b heldBatch) {
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
