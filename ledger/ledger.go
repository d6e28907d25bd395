package ledger

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
)

const (
	// maxBatchBytes keeps an encoded batch far below the key-value service's value limit of a megabyte. Only encoded bytes
	// bound it: a bill with the longest names and idempotency key takes over 500 bytes.
	maxBatchBytes = 512 << 10
	// MaxHeldBytes bounds the memory of a daemon's own bills, and that of the copies that it keeps for others, while the
	// key-value service is down. An hour at 18 requests a second takes about 30 MB.
	MaxHeldBytes    = 64 << 20
	writeTimeout    = 5 * time.Second
	announceTimeout = 2 * time.Second
	retryPause      = time.Second
	// CollectTime is a Collect that adds little to the end of an answer and joins the bills of a burst.
	CollectTime = 5 * time.Millisecond
	// copyPending marks a bill whose first copy is on its way.
	copyPending = "?"
)

// Copy is a message to the daemon that keeps copies of another daemon's bills.
type Copy struct {
	ID    BatchID
	Bills []Bill
	// Written is the sequence number below which every batch of the incarnation is in the key-value service.
	Written uint64
}

// Replicator sends copies to a daemon in another failure domain.
type Replicator interface {
	// CopyBills returns the incarnation of the daemon that keeps the copy.
	CopyBills(ctx context.Context, c Copy) (holder string, err error)
	// AnnounceBills sends a Copy without bills to every daemon that holds copies, and returns the incarnations of those
	// that answered.
	AnnounceBills(ctx context.Context, c Copy) (holders []string)
}

// Spec configures a Ledger.
type Spec struct {
	Store       kv.Store
	Replicator  Replicator
	Domain      string
	Incarnation string
	Interval    time.Duration // time between writes
	CopyTimeout time.Duration // for one copy, with Collect
	// Collect is the time for which a bill waits for others that are copied together with it. At most half of CopyTimeout
	// is used.
	Collect time.Duration
	// OnUncopied is called for each bill that no other daemon holds a copy of when its answer ends.
	OnUncopied func()
	// OnStoreError is called when a write fails.
	OnStoreError func(error)
}

// Ledger collects the bills of one daemon.
type Ledger struct {
	spec Spec

	mu      sync.Mutex
	open    *batch
	sealed  []*batch // in the order of their numbers
	pending *group   // bills that wait to be copied
	bytes   int      // memory of the bills that are not stored yet

	copying  chan struct{} // holds a value while a copy is sent
	flushing chan struct{} // holds a value while batches are written
}

// batch is a set of bills that are stored under one name.
type batch struct {
	id      BatchID
	bills   []Bill
	holders []string // by bill: incarnation that keeps a copy, copyPending, or empty
	encoded int      // upper bound of the encoded size, in bytes
	memory  int      // bytes
	stored  bool
}

// group is a range of a batch's bills that are copied together.
type group struct {
	batch    *batch
	from, to int
	done     chan struct{}
	err      error
}

// New returns a ledger.
func New(spec Spec) *Ledger {
	l := &Ledger{spec: spec, copying: make(chan struct{}, 1), flushing: make(chan struct{}, 1)}
	l.open = &batch{id: l.id(1)}
	return l
}

// Add puts a bill into the open batch and copies it to another daemon. It returns when the copy is acknowledged or the
// copy timeout has passed; the bill is kept in both cases.
func (l *Ledger) Add(ctx context.Context, b Bill) {
	g := l.append(ctx, b)
	<-g.done
	if g.err != nil {
		l.spec.OnUncopied()
	}
}

// Adopt keeps bills of a daemon that has fallen silent, and has them copied to another daemon in the background.
func (l *Ledger) Adopt(bills []Bill) {
	for _, b := range bills {
		l.append(context.Background(), b)
	}
}

func (l *Ledger) append(ctx context.Context, b Bill) *group {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open.encoded+b.encodedBound() > maxBatchBytes {
		l.seal()
	}
	o := l.open
	o.bills = append(o.bills, b)
	o.holders = append(o.holders, copyPending)
	o.encoded += b.encodedBound()
	o.memory += b.memory()
	l.bytes += b.memory()
	n := len(o.bills)
	g := l.pending
	if g == nil {
		g = &group{batch: o, from: n - 1, done: make(chan struct{})}
		l.pending = g
		go l.copyGroup(ctx, g)
	}
	g.to = n
	return g
}

// copyGroup sends one group. It waits for further bills first, and while a group is on its way, the next one collects
// bills, so that the number of messages stays small under load.
func (l *Ledger) copyGroup(ctx context.Context, g *group) {
	defer close(g.done)
	collect := min(l.spec.Collect, l.spec.CopyTimeout/2)
	if collect > 0 {
		time.Sleep(collect)
	}
	l.copying <- struct{}{}
	defer func() { <-l.copying }()
	l.mu.Lock()
	if l.pending == g {
		l.pending = nil
	}
	if g.batch.stored {
		l.mu.Unlock()
		return
	}
	c := Copy{ID: g.batch.id, Bills: g.batch.bills[g.from:g.to:g.to], Written: l.written()}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.spec.CopyTimeout-collect)
	defer cancel()
	holder, err := l.spec.Replicator.CopyBills(ctx, c)
	g.err = err
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := g.from; i < g.to; i++ {
		g.batch.holders[i] = holder
	}
}

func (l *Ledger) id(seq uint64) BatchID {
	return BatchID{Domain: l.spec.Domain, Incarnation: l.spec.Incarnation, Seq: seq}
}

// written returns the sequence number below which every batch is stored. The caller holds the lock.
func (l *Ledger) written() uint64 {
	if len(l.sealed) > 0 {
		return l.sealed[0].id.Seq
	}
	return l.open.id.Seq
}

// seal closes the open batch. A group that waits to be copied stays with it. The caller holds the lock.
func (l *Ledger) seal() {
	if len(l.open.bills) == 0 {
		return
	}
	l.sealed = append(l.sealed, l.open)
	l.open = &batch{id: l.id(l.open.id.Seq + 1)}
	l.pending = nil
}

// Run writes batches and sends announcements until ctx ends. They don't wait for each other: if a slow key-value service
// delayed the announcements, the holders of copies would write the batches too.
func (l *Ledger) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { l.every(ctx, func() { l.Announce(ctx) }) })
	l.every(ctx, func() { l.Flush(ctx) })
	wg.Wait()
}

func (l *Ledger) every(ctx context.Context, f func()) {
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

// Announce tells the holders of copies that this daemon lives and which batches are stored, also while the key-value
// service is down; otherwise the holders would write the batches of every daemon when it comes back. Bills whose holder
// does not answer, or that have no copy yet, are copied again: without that, the loss of a holder during an outage
// would leave them in one place until the outage ends.
func (l *Ledger) Announce(ctx context.Context) {
	l.mu.Lock()
	c := Copy{ID: l.open.id, Written: l.written()}
	l.mu.Unlock()
	announceCtx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	alive := l.spec.Replicator.AnnounceBills(announceCtx, c)
	for _, b := range l.unstored() {
		if !l.copyAgain(ctx, b, alive) {
			return
		}
	}
}

func (l *Ledger) unstored() []*batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append(slices.Clone(l.sealed), l.open)
}

// copyAgain copies the bills of a batch that have no copy at one of the daemons in alive. It reports whether all have one.
func (l *Ledger) copyAgain(ctx context.Context, b *batch, alive []string) bool {
	l.mu.Lock()
	var index []int
	c := Copy{ID: b.id, Written: l.written()}
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

// Drain writes everything, and tries again until it succeeds or ctx ends. It reports whether all bills are stored.
func (l *Ledger) Drain(ctx context.Context) bool {
	for !l.Flush(ctx) {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(retryPause):
		}
	}
	return true
}

// Flush writes all sealed batches in order, then the open one. It reports whether none is left. The open batch is not
// sealed before the others are stored, so that an outage leaves few large batches instead of one for each interval.
func (l *Ledger) Flush(ctx context.Context) bool {
	select {
	case l.flushing <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-l.flushing }()
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

// Held returns the number of bills that are not in the key-value service yet, and how many of them have no copy.
func (l *Ledger) Held() (bills, uncopied int) {
	for _, b := range l.unstored() {
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

// Full reports whether the bills that are not stored yet take MaxHeldBytes. No request may be admitted then, since there
// is no room for its bill.
func (l *Ledger) Full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes >= MaxHeldBytes
}
