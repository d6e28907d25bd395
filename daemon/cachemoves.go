package daemon

import (
	"fmt"
	"time"

	"github.com/bramleytrail/bramleytrail/cachemove"
)

// buildMoves returns the mover of KV caches, or nil if the settings turn moves off.
func (d *Daemon) buildMoves() *cachemove.Mover {
	s := d.settings
	if s.CacheMoves == 0 {
		return nil
	}
	return cachemove.New(cachemove.Spec{
		Client: d.engines,
		Fleet:  cachemove.NewEndpoints(d.pool, d.docs.list.Load, time.Now),
		Limits: cachemove.Limits{Moves: s.CacheMoves, PerSource: s.CachePerSource, Bytes: s.CacheMoveBytes, Time: s.CacheMoveTime},
		Now:    time.Now,
		OnEnd:  d.countMove,
	})
}

func (d *Daemon) countMove(r *cachemove.Report) {
	d.metrics.Counter(fmt.Sprintf(`bramley_cache_moves_total{outcome=%q}`, r.Outcome)).Inc()
	if r.Begun() {
		d.metrics.Counter("bramley_cache_move_bytes_total").Add(int(r.Bytes))
		d.metrics.Histogram(fmt.Sprintf(`bramley_cache_move_seconds{outcome=%q}`, r.Outcome)).Update(r.Took.Seconds())
	}
}
