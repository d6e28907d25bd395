package gateway

import (
	"time"

	"github.com/bramleytrail/bramleytrail/notice"
	"github.com/bramleytrail/bramleytrail/pause"
)

const (
	// minEstimateInterval is the shortest time between two messages with a daemon's estimates. With many peers the interval is
	// estimateIntervalPerPeer times their number, so that each daemon receives at most 40 messages a second.
	minEstimateInterval, estimateIntervalPerPeer = time.Second, 25 * time.Millisecond
	// startupEstimateInterval replaces minEstimateInterval in the startupPeriod after the start, when a few answers change the
	// estimates a lot.
	startupEstimateInterval, startupPeriod = 250 * time.Millisecond, 5 * time.Second
	// maxEstimatesWithTeams is the number of estimates, of up to 150 bytes, beside which the sums of teams, of up to 2 KB, fit into
	// one message.
	maxEstimatesWithTeams = 32
)

// shareEstimates sends the estimates that this daemon derived from its own requests, and the load reports that it got from
// endpoints that report their speed, to the peers of its failure domain, until the daemon stops.
func (g *Gateway) shareEstimates() {
	for pause.For(g.ctx, estimateInterval(time.Since(g.startedAt), g.view.domainPeers())) == nil {
		x := g.exchange.Load()
		now := time.Now()
		list, reports := g.pool.Estimates(now), g.pool.PeerReports(now)
		if x == nil || len(list) == 0 {
			continue
		}
		m := notice.Message{From: g.spec.Name, Estimates: list, Reports: reports}
		if len(list) <= maxEstimatesWithTeams {
			m.Teams = g.dispatch.TeamSums(now)
		}
		if err := x.SendToDomain(g.spec.Domain, m); err != nil {
			g.log.WithError(err).Debug("sending estimates to peers failed")
		}
	}
}

// receiveEstimates applies the estimates of another daemon of the failure domain, and the sums of its requests by team.
func (g *Gateway) receiveEstimates(m notice.Message) {
	now := time.Now()
	g.pool.SetPeerEstimates(m.From, m.Estimates, now)
	g.pool.RecordPeerReports(m.Reports, now)
	g.dispatch.SetPeerTeams(m.From, m.Teams, now)
}

// estimateInterval returns the time until the next message of a daemon that has run for age and has a number of peers.
func estimateInterval(age time.Duration, peers int) time.Duration {
	interval := minEstimateInterval
	if age < startupPeriod {
		interval = startupEstimateInterval
	}
	return max(interval, time.Duration(peers)*estimateIntervalPerPeer)
}
