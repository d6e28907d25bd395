package rollout

import (
	"maps"
	"slices"
	"time"
)

const (
	// reportInterval is the usual time between the reports of a daemon.
	reportInterval = 10 * time.Second
	// reportMargin covers the way of a report and the time until the holder takes it in.
	reportMargin = 3 * time.Second
	// watermark is the age from which a second is processed although a daemon has not reported past it. With an
	// evaluation every 3 s, a halt comes at most 16 s after the calls that decide it.
	watermark = reportInterval + reportMargin
	// silentAfter is the time after its last report from which a daemon is not waited for.
	silentAfter = 10 * time.Minute
)

// timeline holds counts that are not processed yet, by second.
type timeline map[int64]*versions

func (l timeline) at(second int64) *versions {
	v := l[second]
	if v == nil {
		v = &versions{}
		l[second] = v
	}
	return v
}

// take removes the seconds up to the given one and returns their counts in order.
func (l timeline) take(through int64) []versions {
	var out []versions
	for _, second := range slices.Sorted(maps.Keys(l)) {
		if second > through {
			break
		}
		out = append(out, *l[second])
		delete(l, second)
	}
	return out
}

func (v *versions) add(o versions) {
	v.from.add(o.from)
	v.to.add(o.to)
	v.fromCrashes += o.fromCrashes
	v.toCrashes += o.toCrashes
}

// complete returns the last second that can be processed: all daemons that are not silent have reported past it, or it is
// older than the watermark. An idle daemon sends no reports until its next call, so that it is waited for, up to the
// watermark, for much longer than a report interval.
func (c *Controller) complete(now time.Time) int64 {
	through := now.Unix() - 1
	for _, s := range c.senders {
		if s.through != 0 && now.Sub(s.seen) < silentAfter {
			through = min(through, s.through)
		}
	}
	return max(through, now.Add(-watermark).Unix(), c.processed)
}

// place puts the growth of a sender's totals in the timeline. Seconds that the sender has reported before are left out.
// Growth that no second explains is older than the sender's window; it joins the first second that is open, as do
// seconds that arrive after the watermark.
func (c *Controller) place(l timeline, growth versions, p Pair, reported, through, now int64) {
	open := c.processed + 1
	rest := growth
	if list, err := unpackSeconds(p.Seconds, through); err == nil {
		list = slices.DeleteFunc(list, func(s Second) bool { return s.At <= reported })
		var sum versions
		for _, s := range list {
			sum.from.add(s.From)
			sum.to.add(s.To)
		}
		if sum.from.within(growth.from) && sum.to.within(growth.to) {
			for _, s := range list {
				l.at(max(open, min(s.At, now))).add(versions{from: s.From, to: s.To})
			}
			rest.from, rest.to = growth.from.minus(sum.from), growth.to.minus(sum.to)
		}
	}
	crashes := versions{fromCrashes: rest.fromCrashes, toCrashes: rest.toCrashes}
	rest.fromCrashes, rest.toCrashes = 0, 0
	if rest != (versions{}) {
		l.at(open).add(rest)
	}
	if crashes != (versions{}) {
		l.at(max(open, min(through, now))).add(crashes)
	}
}
