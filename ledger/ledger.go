package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/kv"
)

const (
	// maxBatchBills keeps a batch far below the key-value service's value limit of a megabyte.
	maxBatchBills = 4000
	writeTimeout  = 5 * time.Second
	retryPause    = time.Second
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
	CopyBills(ctx context.Context, c Copy) error
	// AnnounceBills sends a Copy without bills to every daemon that holds copies.
	AnnounceBills(ctx context.Context, c Copy)
}

// Spec configures a Ledger.
type Spec struct {
	Store       kv.Store
	Replicator  Replicator
	Domain      string
	Incarnation string
	Interval    time.Duration // time between writes
	CopyTimeout time.Duration
	// OnUncopied is called for each bill that no other daemon holds a copy of when its answer ends.
	OnUncopied func()
	// OnStoreError is called when a write fails.
	OnStoreError func(error)
}

// Ledger collects the bills of one daemon.
type Ledger struct {
	spec Spec

	mu      sync.Mutex
	open    []Bill
	seq     uint64 // of the open batch
	sealed  []batch
	pending *group // bills that wait to be copied

	copying  sync.Mutex // held while a copy is sent
	flushing sync.Mutex // held while batches are written
}

type batch struct {
	id    BatchID
	bills []Bill
}

// group is a set of bills that are copied together.
type group struct {
	bills []Bill
	done  chan struct{}
	err   error
}

// New returns a ledger.
func New(spec Spec) *Ledger { return &Ledger{spec: spec, seq: 1} }

// Add puts a bill into the open batch and copies it to another daemon. It returns when the copy is acknowledged or the
// copy timeout has passed; the bill is kept in both cases.
func (l *Ledger) Add(ctx context.Context, b Bill) {
	l.mu.Lock()
	l.open = append(l.open, b)
	if len(l.open) >= maxBatchBills {
		l.seal()
	}
	g := l.pending
	if g == nil {
		g = &group{done: make(chan struct{})}
		l.pending = g
		go l.copyGroup(ctx, g)
	}
	g.bills = append(g.bills, b)
	l.mu.Unlock()
	<-g.done
	if g.err != nil {
		l.spec.OnUncopied()
	}
}

// copyGroup sends one group. While a group is on its way, the next one collects bills, so that the number of messages
// stays small under load without a fixed delay.
func (l *Ledger) copyGroup(ctx context.Context, g *group) {
	defer close(g.done)
	l.copying.Lock()
	defer l.copying.Unlock()
	l.mu.Lock()
	l.pending = nil
	c := Copy{ID: l.id(l.seq), Bills: g.bills, Written: l.written()}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.spec.CopyTimeout)
	defer cancel()
	g.err = l.spec.Replicator.CopyBills(ctx, c)
}

func (l *Ledger) id(seq uint64) BatchID {
	return BatchID{Domain: l.spec.Domain, Incarnation: l.spec.Incarnation, Seq: seq}
}

// written returns the sequence number below which every batch is stored. The caller holds the lock.
func (l *Ledger) written() uint64 {
	if len(l.sealed) > 0 {
		return l.sealed[0].id.Seq
	}
	return l.seq
}

// seal closes the open batch. The caller holds the lock.
func (l *Ledger) seal() {
	if len(l.open) == 0 {
		return
	}
	l.sealed = append(l.sealed, batch{l.id(l.seq), l.open})
	l.open = nil
	l.seq++
}

// Run writes batches until ctx ends.
func (l *Ledger) Run(ctx context.Context) {
	t := time.NewTicker(l.spec.Interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			l.Flush(ctx)
			l.announce(ctx)
		}
	}
}

// announce tells the holders of copies that this daemon lives and which batches are stored. It is sent although the
// key-value service may be down; otherwise the holders would write the batches of every daemon when it comes back.
func (l *Ledger) announce(ctx context.Context) {
	l.mu.Lock()
	c := Copy{ID: l.id(l.seq), Written: l.written()}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, l.spec.CopyTimeout)
	defer cancel()
	l.spec.Replicator.AnnounceBills(ctx, c)
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

// Flush seals the open batch and writes all sealed ones in order. It reports whether none is left. One call runs at a
// time: two would write the same batch, and the second would then drop the next one unwritten.
func (l *Ledger) Flush(ctx context.Context) bool {
	l.flushing.Lock()
	defer l.flushing.Unlock()
	l.mu.Lock()
	l.seal()
	l.mu.Unlock()
	for {
		l.mu.Lock()
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
		l.mu.Unlock()
	}
}

// Held returns the number of bills that are not in the key-value service yet.
func (l *Ledger) Held() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.open)
	for _, b := range l.sealed {
		n += len(b.bills)
	}
	return n
}

// WriteBatch stores a batch under its name. If the name is taken, because an earlier write took effect or the holder of
// the copies wrote the batch, the bills that it lacks go to a name of the writer's own.
func WriteBatch(ctx context.Context, store kv.Store, id BatchID, bills []Bill, writer string) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	key := id.Key()
	for {
		data, err := encodeBills(bills)
		if err != nil {
			return err
		}
		_, err = store.CAS(ctx, key, data, 0, 0)
		if !errors.Is(err, kv.ErrConflict) {
			return err
		}
		stored, err := store.Get(ctx, key)
		if err != nil {
			return err
		}
		have, err := decodeBills(stored.Value)
		if err != nil {
			return err
		}
		if bills = missing(bills, have); len(bills) == 0 {
			return nil
		}
		key += "." + writer
	}
}

// Read returns all stored bills, merged by identity.
func Read(ctx context.Context, store kv.Store) ([]Bill, error) {
	entries, err := store.List(ctx, Prefix)
	if err != nil {
		return nil, err
	}
	var all []Bill
	for _, e := range entries {
		bills, err := decodeBills(e.Value)
		if err != nil {
			return nil, err
		}
		all = append(all, bills...)
	}
	return Merge(all), nil
}
