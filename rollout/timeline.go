package rollout

import (
	"maps"
	"slices"
	"time"
)

const (
	// reportInterval is the usual time between two reports of a daemon.
	reportInterval = 10 * time.Second
	// reportMargin allows for the transmission of a report and the time until the holder of the duty processes it.
	reportMargin = 3 * time.Second
	// watermarkAge is the age from which a second is processed even if a daemon has not reported past it. With an
	// evaluation every 3 s, a halt follows at most 16 s after the calls that decide it.
	watermarkAge = reportInterval + reportMargin
	// senderTimeout is the time since a daemon's last report after which the tests no longer wait for it.
	senderTimeout = 10 * time.Minute
)

// timeline holds the counts that are not processed yet, by second in Unix time.
type timeline map[int64]*pairCounts

// at returns the counts of a second and creates them if there are none.
func (l timeline) at(second int64) *pairCounts {
	v := l[second]
	if v == nil {
		v = &pairCounts{}
		l[second] = v
	}
	return v
}

// takeThrough removes the seconds up to and including through and returns their counts in order.
func (l timeline) takeThrough(through int64) []pairCounts {
	var out []pairCounts
	for _, second := range slices.Sorted(maps.Keys(l)) {
		if second > through {
			break
		}
		out = append(out, *l[second])
		delete(l, second)
	}
	return out
}

func (v *pairCounts) add(o pairCounts) {
	v.from.add(o.from)
	v.to.add(o.to)
	v.fromCrashes += o.fromCrashes
	v.toCrashes += o.toCrashes
}

// completeThrough returns the last second that can be processed: either every daemon that reported within senderTimeout
// has reported past it, or its age has reached watermarkAge. Since an idle daemon sends no report until its next call,
// senderTimeout is much longer than a report interval; until then, idle daemons delay a second up to watermarkAge.
func (c *Controller) completeThrough(now time.Time) int64 {
	through := now.Unix() - 1
	for _, s := range c.senders {
		if s.through != 0 && now.Sub(s.lastReport) < senderTimeout {
			through = min(through, s.through)
		}
	}
	return max(through, now.Add(-watermarkAge).Unix(), c.processed)
}

// addPending adds the growth of a sender's totals to the seconds in which it occurred. Seconds up to reported, which the
// sender has reported before, are skipped. Growth that the listed seconds don't account for is older than the sender's
// window; it is added to the first second that is not processed yet, as are seconds that arrive after their watermark.
// Crashes are reported without a time and count at the last second of the report.
func (c *Controller) addPending(pending timeline, growth pairCounts, p Pair, reported, through, now int64) {
	firstOpen := c.processed + 1
	remainder := growth
	if list, err := unpackSeconds(p.Seconds, through); err == nil {
		list = slices.DeleteFunc(list, func(s Second) bool { return s.At <= reported })
		var listed pairCounts
		for _, s := range list {
			listed.from.add(s.From)
			listed.to.add(s.To)
		}
		if listed.from.atMost(growth.from) && listed.to.atMost(growth.to) {
			for _, s := range list {
				pending.at(max(firstOpen, min(s.At, now))).add(pairCounts{from: s.From, to: s.To})
			}
			remainder.from, remainder.to = growth.from.sub(listed.from), growth.to.sub(listed.to)
		}
	}
	crashes := pairCounts{fromCrashes: remainder.fromCrashes, toCrashes: remainder.toCrashes}
	remainder.fromCrashes, remainder.toCrashes = 0, 0
	if remainder != (pairCounts{}) {
		pending.at(firstOpen).add(remainder)
	}
	if crashes != (pairCounts{}) {
		pending.at(max(firstOpen, min(through, now))).add(crashes)
	}
}
