package gateway

import (
	"testing"
	"time"
)

// Guards against a number of daemons from which a daemon announces no prompts at all: from 34 neighbours on the limit was
// below one announcement (nac-hulling-large, 39 daemons in a failure domain). Also guards against announcements that take
// more of the link than their share.
func TestAnnouncementsAtEachSize(t *testing.T) {
	const seconds, everyMs = 10, 10
	for _, link := range []int64{0, 10e6 / 8, 20e6 / 8, 1e9 / 8} {
		limit := max(leastAnnounced, announcedShare*float64(link)) // bytes a second
		for _, others := range []int{1, 8, 33, 34, 43, 60, 194, 299, 999} {
			g := &Gateway{spec: Spec{LinkBytes: link}, announced: newAnnounceLimiter()}
			start := time.Unix(1000, 0)
			announced := 0
			for ms := 0; ms < 1000*seconds; ms += everyMs {
				if g.mayAnnounce(others, start.Add(time.Duration(ms)*time.Millisecond)) {
					announced++
				}
			}
			bytes := float64(announced * announceSize * others)
			once := limit + float64(announceSize*others)                                  // at once, before the rate counts
			most := min(seconds*limit/float64(announceSize*others), 1000*seconds/everyMs) // that the limit allows
			if float64(announced) < max(1, most/2) {
				t.Errorf("link of %d bytes a second, %d others: %d announced in %d s, the limit allows %.1f", link, others, announced, seconds, most)
			}
			if bytes > seconds*limit+once {
				t.Errorf("link of %d bytes a second, %d others: %.0f bytes in %d s, the limit is %.0f a second", link, others, bytes, seconds, limit)
			}
		}
	}
}
