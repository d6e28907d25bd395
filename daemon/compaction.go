package daemon

import (
	"context"
	"sync"

	"github.com/bramleytrail/bramleytrail/ledger"
)

// dutyBills precedes the failure domain in the name of the duty that merges its bills. One holder for all domains would
// need more processor time than a daemon may use for control.
const dutyBills = "bills-"

// compactionTerm merges batches of bills in the background. It needs no fencing number: every write that it makes is safe
// beside those of another holder, see ledger.Compactor.
type compactionTerm struct {
	cancel context.CancelFunc
	work   sync.WaitGroup
}

func (d *Daemon) startCompaction(context.Context, uint64) (term, error) {
	failed := d.metrics.Counter("bramley_bill_compaction_errors_total")
	c := ledger.NewCompactor(ledger.CompactorSpec{
		Store: d.platform.Store, Domain: d.settings.Domain,
		OnError: func(err error) {
			failed.Inc()
			d.log.WithError(err).Warn("bills not merged; they stay in small batches")
		},
	})
	ctx, cancel := context.WithCancel(d.ctx) // the pass outlives one renewal of the lease
	t := &compactionTerm{cancel: cancel}
	t.work.Go(func() { c.Run(ctx) })
	return t, nil
}

func (t *compactionTerm) tick(context.Context) error { return nil }

func (t *compactionTerm) end() {
	t.cancel()
	t.work.Wait()
}
