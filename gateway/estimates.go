package gateway

import (
	"time"

	"github.com/bramleytrail/bramleytrail/notice"
	"github.com/bramleytrail/bramleytrail/pause"
)

const (
	// estimatePause is the time between two messages with a daemon's estimates, estimateSpread what each other daemon of the failure
	// domain adds to it from some on, so that the messages that each receives stay below 40 a second.
	estimatePause, estimateSpread = time.Second, 25 * time.Millisecond
	// earlyPause applies for earlyTime after the start, when a few answers tell much.
	earlyPause, earlyTime = 250 * time.Millisecond, 5 * time.Second
)

// shareEstimates tells the other daemons of the failure domain what this one's requests have shown, until the daemon stops.
func (g *Gateway) shareEstimates() {
	for pause.For(g.ctx, estimateInterval(time.Since(g.born), g.view.near())) == nil {
		x := g.notices.Load()
		list := g.pool.Estimates(time.Now())
		if x == nil || len(list) == 0 {
			continue
		}
		if err := x.SendIn(g.spec.Domain, notice.Message{From: g.spec.Name, Estimates: list}); err != nil {
			g.log.WithError(err).Debug("estimates not told to the other daemons")
		}
	}
}

// estimateInterval returns the time until the next message of a daemon with an age among a number of others.
func estimateInterval(age time.Duration, others int) time.Duration {
	least := estimatePause
	if age < earlyTime {
		least = earlyPause
	}
	return max(least, time.Duration(others)*estimateSpread)
}
