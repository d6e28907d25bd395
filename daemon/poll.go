package daemon

import (
	"context"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/pool"
)

// pollLoads reads load reports of endpoints. The number a second is fixed, so that the cost does not grow with the
// number of endpoints; a report that a request waits for goes first.
func (d *Daemon) pollLoads() {
	t := time.NewTicker(time.Second / time.Duration(d.settings.PollsPerSecond))
	defer t.Stop()
	busy := make(chan struct{}, d.settings.PollsPerSecond)
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-t.C:
		}
		for _, target := range d.pool.NextPolls(1, time.Now()) {
			select {
			case busy <- struct{}{}:
				d.wg.Go(func() {
					defer func() { <-busy }()
					d.pollLoad(target)
				})
			default: // as many reports as a second has are still pending
			}
		}
	}
}

func (d *Daemon) pollLoad(target pool.PollTarget) {
	ctx, cancel := context.WithTimeout(d.ctx, engine.LoadTimeout)
	defer cancel()
	asked := time.Now()
	load, err := d.engines.Load(ctx, target.Addr)
	if err != nil {
		if d.ctx.Err() == nil {
			d.pool.RecordLoadFailure(target.ID, time.Now())
		}
		return
	}
	d.pool.RecordLoad(target.ID, load, asked)
}
