package daemon

import (
	"context"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/pool"
)

// pollLoads polls the load reports of endpoints until the daemon stops. The number of polls per second is fixed, so that the
// cost does not grow with the number of endpoints. The pool returns first the endpoints whose report a request waits for.
func (d *Daemon) pollLoads() {
	t := time.NewTicker(time.Second / time.Duration(d.settings.PollsPerSecond))
	defer t.Stop()
	pending := make(chan struct{}, d.settings.PollsPerSecond)
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-t.C:
		}
		for _, target := range d.pool.NextPolls(1, time.Now()) {
			select {
			case pending <- struct{}{}:
				d.wg.Go(func() {
					defer func() { <-pending }()
					d.pollLoad(target)
				})
			default: // one second's worth of polls is still pending
			}
		}
	}
}

// pollLoad reads the load report of an endpoint within engine.LoadTimeout and passes it, or the failure, to the pool.
func (d *Daemon) pollLoad(target pool.PollTarget) {
	ctx, cancel := context.WithTimeout(d.ctx, engine.LoadTimeout)
	defer cancel()
	requestedAt := time.Now()
	load, err := d.engines.Load(ctx, target.Addr)
	if err != nil {
		if d.ctx.Err() == nil {
			d.pool.RecordLoadFailure(target.ID, time.Now())
		}
		return
	}
	d.pool.RecordLoad(target.ID, load, requestedAt)
}
