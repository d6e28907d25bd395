package gateway

import (
	"testing"
	"time"
)

// Guards against a limit that allows no announcements at all. From 34 peers in a failure domain on, it was below one announcement,
// as seen with 39 daemons. Also guards against announcements that use more of the link than their share.
func TestAnnouncementRate(t *testing.T) {
	const seconds, everyMs = 10, 10
	for _, link := range []int64{0, 10e6 / 8, 20e6 / 8, 1e9 / 8} {
		limit := max(minAnnounceBytesPerSecond, announceLinkShare*float64(link)) // bytes a second
		for _, peers := range []int{1, 8, 33, 34, 43, 60, 194, 299, 999} {
			g := &Gateway{spec: Spec{LinkBytes: link}, announcements: newAnnounceLimiter()}
			start := time.Unix(1000, 0)
			announcements := 0
			for ms := 0; ms < 1000*seconds; ms += everyMs {
				if g.allowAnnouncement(peers, start.Add(time.Duration(ms)*time.Millisecond)) {
					announcements++
				}
			}
			bytes := float64(announcements * announceBytes * peers)
			burst := limit + float64(announceBytes*peers)                                    // bytes of the initial burst
			allowed := min(seconds*limit/float64(announceBytes*peers), 1000*seconds/everyMs) // announcements within the limit
			if float64(announcements) < max(1, allowed/2) {
				t.Errorf("link of %d bytes a second, %d peers: %d announced in %d s, the limit allows %.1f", link, peers, announcements, seconds, allowed)
			}
			if bytes > seconds*limit+burst {
				t.Errorf("link of %d bytes a second, %d peers: %.0f bytes in %d s, the limit is %.0f a second", link, peers, bytes, seconds, limit)
			}
		}
	}
}
