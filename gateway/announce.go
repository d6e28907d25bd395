package gateway

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/bramleytrail/bramleytrail/notice"
	"github.com/bramleytrail/bramleytrail/pool"
)

const (
	// announceLinkShare is the fraction of the host's link that announcements of prompts may use. They stay within the
	// failure domain. minAnnounceBytesPerSecond is the lower bound, for slow links and links of unknown bandwidth.
	announceLinkShare, minAnnounceBytesPerSecond = 0.02, 4000
	// announceBytes is the size of an announcement in bytes, including the headers of the datagram.
	announceBytes = 120
)

// announceLimit returns the rate and the burst of a daemon's announcements to a number of peers. The burst is at least one, so
// that more peers make announcements rarer but never stop them.
func announceLimit(linkBytes int64, peers int) (perSecond rate.Limit, burst int) {
	perSecond = rate.Limit(max(minAnnounceBytesPerSecond, announceLinkShare*float64(linkBytes)) / announceBytes / float64(max(1, peers)))
	return perSecond, max(1, int(perSecond))
}

// newAnnounceLimiter returns a limiter whose rate and burst allowAnnouncement sets by the number of peers.
func newAnnounceLimiter() *rate.Limiter { return rate.NewLimiter(0, 1) }

// announcePrompt notifies the peers in this daemon's failure domain that one of the domain's endpoints was sent a long prompt.
// Only these peers are notified, since they send most of their requests to the endpoints of their own domain. Announcements
// above the limit are dropped.
func (g *Gateway) announcePrompt(r pool.Reservation, work time.Duration) {
	x := g.exchange.Load()
	if x == nil || r.Domain != g.spec.Domain || !g.allowAnnouncement(g.view.domainPeers(), time.Now()) {
		return
	}
	if err := x.SendToDomain(r.Domain, notice.Message{Service: r.Service(), Endpoint: r.ID, Work: work}); err != nil {
		g.log.WithField("endpoint", r.ID).WithError(err).Debug("sending prompt announcement to peers failed")
	}
}

// allowAnnouncement reports whether the limit allows an announcement to a number of peers now, and counts it if so.
func (g *Gateway) allowAnnouncement(peers int, now time.Time) bool {
	perSecond, burst := announceLimit(g.spec.LinkBytes, peers)
	if perSecond != g.announcements.Limit() {
		g.announcements.SetLimitAt(now, perSecond)
		g.announcements.SetBurstAt(now, burst)
	}
	return g.announcements.AllowN(now, 1)
}
