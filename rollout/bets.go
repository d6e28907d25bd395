package rollout

import "math"

const (
	// burstLength is the longest burst of failures in seconds that a sound version may have by itself.
	burstLength = 60
	// burstRate bounds the bursts that begin in a second, given all that happened before, for a sound version: 24 a day.
	burstRate = 24.0 / 86_400
	// firstGap is the time between blocks in seconds that is assumed at first. A longer one is learnt from a few blocks, and
	// caps may then shrink at once, but grow only after a cluster.
	firstGap = 10
	// gapWeight is the weight of the newest time between blocks in their mean.
	gapWeight = 0.25
	// firstPrice is what the first block pays for a cap that is larger the shorter the block is. A version that fails
	// each call from the first second on is halted in that second.
	firstPrice = 1.7
	// steadyWeight is the part of the e-value that bets on all blocks. The rest is the reserve.
	steadyWeight = 0.6
	// lateStake is the part of the reserve that is put on a version after a suspicious cluster. A burst of a sound
	// version costs at most this part.
	lateStake = 0.25
	// lostStake is the part of a stake below which its bets end.
	lostStake = 0.05
	// suspicious is the likelihood ratio of a cluster from which the reserve bets. If calls fail independently, a cluster
	// reaches it by chance with a probability of at most 1 in 20.
	suspicious = 20
)

// clusterCaps bound the factor by which a cluster can raise the evidence for each alternative, if blocks come a minute or
// more apart, as at step 1 %. They are about what one failed call brings there; larger ones cost more for each block.
var clusterCaps = ratios{4, 8, 14, 30}

// block is the time of the new version's calls in a block, in Unix time.
type block struct{ first, last int64 }

// bets is an e-process for each alternative that takes failures in bursts into account.
//
// The first failure opens a cluster that covers the next burstLength seconds. What its calls add is capped, whatever they
// do, so that a burst which the new version has by itself raises the value by the cap at most. Blocks without failures of
// the new version never raise it. A block pays for the bursts that may have begun since the last one: with the probability
// p that one did and the headroom c up to the cap, the expected value grows by the factor 1 + p(c-1) at most, by which it
// is divided. Therefore the expected value is at most the initial one at any time.
//
// Caps are in inverse proportion to the time between blocks, so that each block pays the same and busy versions are
// halted after fewer clusters.
type bets struct {
	logs   ratios  // before the open cluster, and less what was paid in it
	growth ratios  // of the open cluster, without the cap
	opened int64   // time of the failure that opened the last cluster
	last   int64   // time of the last call
	gap    float64 // mean time between blocks in seconds, at most burstLength
	caps   ratios  // logarithms of the caps of the next or open cluster
	// resumed says that a burst may be under way at the first block.
	resumed bool
}

// open reports whether a time is within the last cluster.
func (b *bets) open(at int64) bool { return b.opened != 0 && at < b.opened+burstLength }

// add takes the ratios of a block.
func (b *bets) add(r ratios, failed bool, t block) {
	within := b.open(t.first)
	b.pace(t)
	seconds := b.unseen(t, within)
	if !within {
		b.next()
	}
	for i := range b.logs {
		headroom := math.Expm1(b.caps[i] - min(b.growth[i], b.caps[i]))
		b.logs[i] -= math.Log1p(burstRate * seconds * headroom)
	}
	b.grow(r)
	if !within && failed {
		b.opened = t.last
	}
	b.last = t.last
}

// grow adds ratios to the open cluster. A loss lowers the cap with it, which keeps the headroom, and what it costs, small.
func (b *bets) grow(r ratios) {
	b.growth = b.growth.plus(r)
	for i, g := range b.growth {
		if g < 0 {
			b.logs[i] += g
			b.growth[i] = 0
		}
	}
}

// pace takes the time since the last block.
func (b *bets) pace(t block) {
	if b.gap == 0 {
		b.gap = firstGap
	}
	if b.last != 0 {
		b.gap += (float64(max(1, min(t.last-b.last, burstLength))) - b.gap) * gapWeight
	}
}

// unseen returns the seconds in which a burst may have begun that the block is the first to see.
func (b *bets) unseen(t block, within bool) float64 {
	since := b.last
	switch {
	case !within && b.opened != 0:
		since = b.opened // a burst that began in the cluster may go on after its end
	case b.last == 0 && !b.resumed:
		since = t.first - 1
	}
	return float64(max(1, min(t.last-since, burstLength+t.last-t.first)))
}

// next ends the open cluster, if any, and sets the caps of the next one. Until it opens, they may only shrink, since bursts
// that began since the last cluster were paid for.
func (b *bets) next() {
	b.logs, b.growth = b.values(), ratios{}
	for i := range b.caps {
		limit := math.Log1p((clusterCaps[i] - 1) * burstLength / b.gap)
		if b.opened == 0 && b.last != 0 {
			limit = min(limit, b.caps[i])
		}
		b.caps[i] = limit
	}
	b.opened = 0
}

// values returns the logarithm of the value for each alternative.
func (b *bets) values() (v ratios) {
	for i := range v {
		v[i] = b.logs[i] + min(b.growth[i], b.caps[i])
	}
	return v
}

// reserve is an e-process that stays out of the sound time of a version, so that it forgets it. It bets on the first
// block and then, after each suspicious cluster, on the calls that follow its end. Whether it bets depends on the past only.
type reserve struct {
	began   bool
	cash    float64 // logarithm of the value that is not at stake
	betting bool
	bets    bets
	lost    float64 // logarithm of the value of the bets at which they end
	watched ratios  // of the cluster that is watched
	until   int64   // end of the window, 0 without one
}

// add takes the ratios of a block.
func (v *reserve) add(r ratios, failed bool, t block) {
	if !v.began {
		v.began = true
		v.first(r, t)
	}
	if v.betting {
		v.bets.add(r, failed, t)
		if v.bets.values().logMean() < v.lost {
			v.stop()
		}
		return
	}
	ended := v.until != 0 && t.first > v.until
	switch {
	case ended && v.watched.logMean() >= math.Log(suspicious):
		v.start()
		v.bets.add(r, failed, t)
	case v.until != 0 && !ended:
		v.watched = v.watched.plus(r)
	case failed && r.logMean() > 0:
		v.watched, v.until = r, t.last+burstLength-1
	}
}

func (v *reserve) start() {
	staked := v.cash + math.Log(lateStake)
	v.betting, v.bets, v.lost = true, bets{opened: v.until - burstLength + 1}, staked+math.Log(lostStake)
	for i := range v.bets.logs {
		v.bets.logs[i] = staked
	}
	v.cash += math.Log1p(-lateStake)
}

func (v *reserve) stop() {
	v.cash = math.Log(v.value())
	v.betting, v.until = false, 0
}

// first bets on the first block, with a cap that depends on its duration.
func (v *reserve) first(r ratios, t block) {
	limit := math.Log1p(firstPrice / (burstRate * float64(min(burstLength, t.last-t.first+1))))
	for i := range r {
		r[i] = min(r[i], limit)
	}
	v.cash += r.logMean() - math.Log1p(firstPrice)
}

func (v *reserve) value() float64 {
	value := math.Exp(v.cash)
	if v.betting {
		value += math.Exp(v.bets.values().logMean())
	}
	return value
}

// comparison is the e-process of one metric: the product of those of the calls whose times are known and of the others.
type comparison struct {
	steady  bets
	reserve reserve
	untimed ratios // blocks whose times are not known; their calls count as independent
}

// resume starts the evidence of a later term: a burst may be under way, so that there is no bet on the first block.
func (c *comparison) resume() {
	c.steady.resumed, c.steady.gap, c.reserve.began = true, burstLength, true
}

// add takes a block of calls with known times.
func (c *comparison) add(r ratios, failed bool, t block) {
	c.steady.add(r, failed, t)
	c.reserve.add(r, failed, t)
}

// value returns the e-value: the mean over the alternatives, and over steady bets and reserve.
func (c *comparison) value() float64 {
	return math.Exp(c.untimed.logMean()) * (steadyWeight*math.Exp(c.steady.values().logMean()) + (1-steadyWeight)*c.reserve.value())
}
