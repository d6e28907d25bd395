package daemon

import (
	"context"
	"sync"

	"github.com/bramleytrail/bramleytrail/ledger"
)

// dutyCompactionPrefix, followed by the name of a failure domain, is the name of the duty that compacts the bills of that
// domain. A single holder for all domains would need more CPU time than a daemon may spend outside of requests.
const dutyCompactionPrefix = "bills-"

// compactionTerm merges batches of bills in the background during one term of the compaction duty. It needs no fencing token:
// its writes are safe even if another holder writes at the same time, see ledger.Compactor.
type compactionTerm struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// startCompactionTerm starts a compactor for the bills of this daemon's failure domain.
func (d *Daemon) startCompactionTerm(context.Context, uint64) (dutyTerm, error) {
	failed := d.metrics.Counter("bramley_bill_compaction_errors_total")
	c := ledger.NewCompactor(ledger.CompactorSpec{
		Store: d.platform.Store, Domain: d.settings.Domain,
		OnError: func(err error) {
			failed.Inc()
			d.log.WithError(err).Warn("could not merge batches of bills; leaving them in small batches")
		},
	})
	ctx, cancel := context.WithCancel(d.ctx) // a pass may outlast the context of one lease renewal
	t := &compactionTerm{cancel: cancel}
	t.wg.Go(func() { c.Run(ctx) })
	return t, nil
}

func (t *compactionTerm) tick(context.Context) error { return nil }

func (t *compactionTerm) end() {
	t.cancel()
	t.wg.Wait()
}
