package ledger

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
)

const (
	// maxBatchBytes keeps an encoded batch well below the key-value store's value limit of 1 MiB. The limit is on
	// encoded bytes rather than on the number of bills, because a bill with the longest names and idempotency key takes
	// over 500 bytes.
	maxBatchBytes = 512 << 10
	// MaxHeldBytes limits the memory of a daemon's own unwritten bills, and separately that of the copies that it holds
	// for other daemons, while the key-value store is unavailable. One hour at 18 requests a second takes about 30 MB.
	MaxHeldBytes    = 64 << 20
	writeTimeout    = 5 * time.Second
	announceTimeout = 2 * time.Second
	retryDelay      = time.Second
	// DefaultCopyDelay is a CopyDelay that combines the bills of a burst and delays the end of an answer only slightly.
	DefaultCopyDelay = 5 * time.Millisecond
	// copyPending marks a bill in batch.holders whose first copy is not acknowledged yet.
	copyPending = "?"
)

// Copy is a message that sends bills to a daemon that holds copies of them. A Copy without bills is an announcement
// that the sender is alive, and of what it has written.
type Copy struct {
	ID    BatchID
	Bills []Bill
	// Written is the sequence number below which every batch of the incarnation is in the key-value store.
	Written uint64
}

// Replicator sends copies of bills to daemons in other failure domains. It is safe for concurrent use.
type Replicator interface {
	// CopyBills sends a copy to one daemon and returns the incarnation of the daemon that holds it. On an error, the
	// copy may not be held anywhere.
	CopyBills(ctx context.Context, c Copy) (holder string, err error)
	// AnnounceBills sends a Copy without bills to every daemon that holds copies, and returns the incarnations of the
	// daemons that answered.
	AnnounceBills(ctx context.Context, c Copy) (holders []string)
}

// Spec configures a Ledger.
type Spec struct {
	Store       kv.Store
	Replicator  Replicator
	Domain      string
	Incarnation string
	Interval    time.Duration // time between writes, and between announcements
	CopyTimeout time.Duration // for replicating one bill, including CopyDelay
	// CopyDelay is how long a bill waits for other bills so that they are copied in one message. It is capped at half
	// of CopyTimeout.
	CopyDelay time.Duration
	// OnUncopied is called for each bill whose copy is not acknowledged by the time its answer ends.
	OnUncopied func()
	// OnStoreError is called when writing a batch to the key-value store fails.
	OnStoreError func(error)
}

// Ledger buffers, replicates and writes the bills of one daemon. It is safe for concurrent use.
type Ledger struct {
	spec Spec

	mu        sync.Mutex
	openBatch *batch
	sealed    []*batch   // in order of their sequence numbers; the first one is written next
	pending   *copyGroup // bills whose copy is not sent yet, or nil
	bytes     int        // memory taken by bills that are not stored yet

	copySem  chan struct{} // semaphore: one copy of new bills is sent at a time
	flushSem chan struct{} // semaphore: one Flush writes at a time
}

// batch is a set of bills that are stored under one key.
type batch struct {
	id              BatchID
	bills           []Bill
	holders         []string // by index of the bill: incarnation that holds its copy, copyPending, or empty if there is no copy
	maxEncodedBytes int      // upper bound of the encoded size, in bytes
	memory          int      // bytes
	stored          bool
}

// copyGroup is a range of a batch's bills that are copied in one message.
type copyGroup struct {
	batch    *batch
	from, to int
	done     chan struct{}
	err      error
}

// New returns a ledger without bills. The caller starts it with Run.
func New(spec Spec) *Ledger {
	l := &Ledger{spec: spec, copySem: make(chan struct{}, 1), flushSem: make(chan struct{}, 1)}
	l.openBatch = &batch{id: l.batchID(1)}
	return l
}

// Add appends a bill to the open batch and replicates it to another daemon. It returns when the copy is acknowledged or
// the copy timeout has passed. The bill is kept in both cases.
func (l *Ledger) Add(ctx context.Context, b Bill) {
	g := l.appendBill(ctx, b)
	<-g.done
	if g.err != nil {
		l.spec.OnUncopied()
	}
}

// Adopt appends the bills of an unresponsive daemon and replicates them to another daemon in the background.
func (l *Ledger) Adopt(bills []Bill) {
	for _, b := range bills {
		l.appendBill(context.Background(), b)
	}
}

// appendBill appends a bill to the open batch and returns the group with which it is copied. It seals the open batch
// first if the bill does not fit.
func (l *Ledger) appendBill(ctx context.Context, b Bill) *copyGroup {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.openBatch.maxEncodedBytes+b.maxEncodedBytes() > maxBatchBytes {
		l.seal()
	}
	o := l.openBatch
	o.bills = append(o.bills, b)
	o.holders = append(o.holders, copyPending)
	o.maxEncodedBytes += b.maxEncodedBytes()
	o.memory += b.memoryBytes()
	l.bytes += b.memoryBytes()
	n := len(o.bills)
	g := l.pending
	if g == nil {
		g = &copyGroup{batch: o, from: n - 1, done: make(chan struct{})}
		l.pending = g
		go l.sendGroup(ctx, g)
	}
	g.to = n
	return g
}

// sendGroup sends the copies of one group. It first waits for more bills, and while one group is being sent, bills
// accumulate in the next one, which keeps the number of messages small under load.
func (l *Ledger) sendGroup(ctx context.Context, g *copyGroup) {
	defer close(g.done)
	delay := min(l.spec.CopyDelay, l.spec.CopyTimeout/2)
	if delay > 0 {
		time.Sleep(delay)
	}
	l.copySem <- struct{}{}
	defer func() { <-l.copySem }()
	l.mu.Lock()
	if l.pending == g {
		l.pending = nil
	}
	if g.batch.stored {
		l.mu.Unlock()
		return
	}
	c := Copy{ID: g.batch.id, Bills: g.batch.bills[g.from:g.to:g.to], Written: l.writtenBelow()}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.spec.CopyTimeout-delay)
	defer cancel()
	holder, err := l.spec.Replicator.CopyBills(ctx, c)
	g.err = err
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := g.from; i < g.to; i++ {
		g.batch.holders[i] = holder
	}
}

func (l *Ledger) batchID(seq uint64) BatchID {
	return BatchID{Domain: l.spec.Domain, Incarnation: l.spec.Incarnation, Seq: seq}
}

// writtenBelow returns the sequence number below which every batch is stored. The caller holds l.mu.
func (l *Ledger) writtenBelow() uint64 {
	if len(l.sealed) > 0 {
		return l.sealed[0].id.Seq
	}
	return l.openBatch.id.Seq
}

// seal closes the open batch and opens the next one. A pending group remains in the closed batch and is still copied.
// The caller holds l.mu.
func (l *Ledger) seal() {
	if len(l.openBatch.bills) == 0 {
		return
	}
	l.sealed = append(l.sealed, l.openBatch)
	l.openBatch = &batch{id: l.batchID(l.openBatch.id.Seq + 1)}
	l.pending = nil
}

// Run writes batches and sends announcements until ctx ends. The two run independently of each other: if a slow
// key-value store delayed the announcements, the daemons that hold copies would write the batches as well.
func (l *Ledger) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { l.runEvery(ctx, func() { l.Announce(ctx) }) })
	l.runEvery(ctx, func() { l.Flush(ctx) })
	wg.Wait()
}

// runEvery calls f once in each interval until ctx ends.
func (l *Ledger) runEvery(ctx context.Context, f func()) {
	t := time.NewTicker(l.spec.Interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f()
		}
	}
}

// Announce notifies the daemons that hold copies that this daemon is alive and which batches it has stored. It does so
// also while the key-value store is unavailable; otherwise the holders would write the batches of every daemon when the
// store recovers. Bills whose holder does not answer, or that have no copy, are copied again; otherwise the loss of a
// holder during an outage would leave them on this daemon only until the outage ends.
func (l *Ledger) Announce(ctx context.Context) {
	l.mu.Lock()
	c := Copy{ID: l.openBatch.id, Written: l.writtenBelow()}
	l.mu.Unlock()
	announceCtx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	alive := l.spec.Replicator.AnnounceBills(announceCtx, c)
	for _, b := range l.unstoredBatches() {
		if !l.retryCopies(ctx, b, alive) {
			return
		}
	}
}

// unstoredBatches returns the sealed batches in order, followed by the open one.
func (l *Ledger) unstoredBatches() []*batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append(slices.Clone(l.sealed), l.openBatch)
}

// retryCopies copies the bills of a batch that have no copy on one of the daemons in alive, except those whose first
// copy is pending. It reports false if they could not be sent.
func (l *Ledger) retryCopies(ctx context.Context, b *batch, alive []string) bool {
	l.mu.Lock()
	var index []int
	c := Copy{ID: b.id, Written: l.writtenBelow()}
	for i, h := range b.holders {
		if h != copyPending && !slices.Contains(alive, h) {
			index = append(index, i)
			c.Bills = append(c.Bills, b.bills[i])
		}
	}
	l.mu.Unlock()
	if len(index) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	holder, err := l.spec.Replicator.CopyBills(ctx, c)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, i := range index {
		b.holders[i] = holder
	}
	return err == nil
}

// Drain calls Flush until it succeeds or ctx ends. It reports whether all bills are stored.
func (l *Ledger) Drain(ctx context.Context) bool {
	for !l.Flush(ctx) {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(retryDelay):
		}
	}
	return true
}

// Flush writes the sealed batches in order, then the open one. It stops at the first failure, and reports whether all
// were written. The open batch is sealed only after the others are stored, so that an outage leaves a few large batches
// instead of one for each interval.
func (l *Ledger) Flush(ctx context.Context) bool {
	select {
	case l.flushSem <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-l.flushSem }()
	for last := false; ; {
		l.mu.Lock()
		if len(l.sealed) == 0 {
			l.seal()
			last = true
		}
		if len(l.sealed) == 0 {
			l.mu.Unlock()
			return true
		}
		b := l.sealed[0]
		l.mu.Unlock()
		if err := WriteBatch(ctx, l.spec.Store, b.id, b.bills, l.spec.Incarnation); err != nil {
			l.spec.OnStoreError(err)
			return false
		}
		l.mu.Lock()
		l.sealed = l.sealed[1:]
		l.bytes -= b.memory
		b.stored = true
		left := len(l.sealed)
		l.mu.Unlock()
		if last && left == 0 {
			return true
		}
	}
}

// Held returns the number of bills that are not in the key-value store yet, and how many of them have no acknowledged
// copy.
func (l *Ledger) Held() (bills, uncopied int) {
	for _, b := range l.unstoredBatches() {
		l.mu.Lock()
		bills += len(b.bills)
		for _, h := range b.holders {
			if h == "" || h == copyPending {
				uncopied++
			}
		}
		l.mu.Unlock()
	}
	return bills, uncopied
}

// Full reports whether the bills that are not stored yet take MaxHeldBytes or more of memory. Requests must then be
// rejected, because their bills could not be kept.
func (l *Ledger) Full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes >= MaxHeldBytes
}
