package daemon

import (
	"fmt"
	"time"

	"github.com/bramleytrail/bramleytrail/cachemove"
)

// newCacheMover returns the mover of KV caches between endpoints, or nil if the settings disable moves.
func (d *Daemon) newCacheMover() *cachemove.Mover {
	s := d.settings
	if s.CacheMoves == 0 {
		return nil
	}
	return cachemove.New(cachemove.Spec{
		Client:    d.engines,
		Directory: cachemove.NewPoolDirectory(d.pool, d.docs.hostList.Load, time.Now),
		Limits:    cachemove.Limits{MaxMoves: s.CacheMoves, MaxMovesPerSource: s.CacheMovesPerSource, MaxBytes: s.CacheMoveBytes, MaxDuration: s.CacheMoveTime},
		Now:       time.Now,
		OnReport:  d.countCacheMove,
	})
}

// countCacheMove updates the metrics after an attempt to move a cache. Bytes and duration are recorded only if the transfer
// began.
func (d *Daemon) countCacheMove(r *cachemove.Report) {
	d.metrics.Counter(fmt.Sprintf(`bramley_cache_moves_total{outcome=%q}`, r.Outcome)).Inc()
	if r.Started() {
		d.metrics.Counter("bramley_cache_move_bytes_total").Add(int(r.Bytes))
		d.metrics.Histogram(fmt.Sprintf(`bramley_cache_move_seconds{outcome=%q}`, r.Outcome)).Update(r.Took.Seconds())
	}
}
