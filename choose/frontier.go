package choose

import "math"

// maxFrontierPoints is the maximum number of options on a frontier. The most expensive ones beyond it are not used.
const maxFrontierPoints = 20

// frontierPoint is an option on a frontier. The margin is the distance from the mean to the lower confidence bound.
type frontierPoint struct {
	option              int // index in optionSet
	mean, margin, price float64
}

// frontier is the cost-quality frontier of the options: the lower convex hull of price over mean quality, in ascending
// order of both. Between two neighbours, requests are split. A position on the frontier is the index of an option plus
// the share of requests, from 0 to 1, that go to the next option.
type frontier struct {
	points [maxFrontierPoints]frontierPoint
	n      int
}

// frontier returns the frontier of the options. It is empty unless an option with a reliable estimate meets the target.
// An option without a reliable estimate counts as far below its mean as its upper bound lies above. It therefore gets
// only a small, safe share of a split, from which it collects ratings, and never answers all requests.
func (s *optionSet) frontier() (f frontier) {
	if !s.targetProven {
		return f
	}
	for f.n < maxFrontierPoints {
		next, found := frontierPoint{}, false
		best := math.Inf(1)
		for i := range s.len() {
			p, ok := s.frontierPoint(i)
			if !ok {
				continue
			}
			key := p.price
			if f.n > 0 {
				last := f.points[f.n-1]
				if p.mean <= last.mean {
					continue
				}
				key = (p.price - last.price) / (p.mean - last.mean)
			}
			if key < best || key == best && p.mean > next.mean {
				next, found, best = p, true, key
			}
		}
		if !found {
			return f
		}
		f.points[f.n] = next
		f.n++
	}
	return f
}

// frontierPoint returns option i as a point, and whether it may be on the frontier.
func (s *optionSet) frontierPoint(i int) (frontierPoint, bool) {
	o := s.at(i)
	e := o.estimate
	if e.Reliable {
		return frontierPoint{option: i, mean: e.Mean, margin: e.Mean - e.Lower, price: o.price}, true
	}
	mean := 2*e.Mean - e.Upper
	return frontierPoint{option: i, mean: mean, price: o.price}, mean < s.target
}

// at returns the mean quality, its margin and the price at a position. The margins of two neighbours add up as the root
// of the sum of squares, because their errors are independent.
func (f *frontier) at(position float64) (mean, margin, price float64) {
	i := int(position)
	share := position - float64(i)
	a := f.points[i]
	if share == 0 {
		return a.mean, a.margin, a.price
	}
	b := f.points[i+1]
	return (1-share)*a.mean + share*b.mean, math.Hypot((1-share)*a.margin, share*b.margin), (1-share)*a.price + share*b.price
}

// marginalPrice returns the price per unit of quality beyond a position, or infinity at the end of the frontier.
func (f *frontier) marginalPrice(position float64) float64 {
	i := int(position)
	if i+1 >= f.n {
		return math.Inf(1)
	}
	a, b := f.points[i], f.points[i+1]
	return (b.price - a.price) / (b.mean - a.mean)
}

// basePosition returns the first position at which the mean meets the target and the lower bound falls short of it by
// at most kindTolerance. If there is none, it returns the last position.
func (f *frontier) basePosition(target float64) float64 {
	for i := range f.n {
		p := f.points[i]
		if p.mean < target || p.mean-p.margin < target-kindTolerance {
			continue
		}
		if i == 0 {
			return 0
		}
		low := f.points[i-1]
		lowShare := maxLowShare(p, low, target-kindTolerance)
		if low.mean < target {
			lowShare = min(lowShare, (p.mean-target)/(p.mean-low.mean))
		}
		return float64(i) - lowShare
	}
	return float64(max(0, f.n-1))
}

// pick returns the option at a position for a request whose hash is requestPoint, from 0 to 1.
func (f *frontier) pick(position, requestPoint float64) int {
	i := int(position)
	if upperShare := position - float64(i); requestPoint < 1-upperShare || i+1 >= f.n {
		return f.points[i].option
	}
	return f.points[i+1].option
}

// maxLowShare returns the largest share of requests that may go to low while the lower bound of the split meets the
// target. The errors of both estimates are independent, so the margin of the split is the root of the sum of squares.
func maxLowShare(high, low frontierPoint, target float64) float64 {
	a, b := low.margin, high.margin
	slack, drop := high.mean-target, high.mean-low.mean
	if slack < b {
		return 0
	}
	// The bound meets the target while (slack - share*drop)^2 >= share^2*a^2 + (1-share)^2*b^2, which holds up to the
	// smaller positive root of the difference.
	x, y, z := drop*drop-a*a-b*b, 2*(b*b-slack*drop), slack*slack-b*b
	if math.Abs(x) < 1e-12 {
		if y >= 0 {
			return 0
		}
		return min(1, -z/y)
	}
	d := y*y - 4*x*z
	if d < 0 {
		return 0
	}
	p, q := (-y-math.Sqrt(d))/(2*x), (-y+math.Sqrt(d))/(2*x)
	if p > q {
		p, q = q, p
	}
	if p < 0 {
		p = q
	}
	if p < 0 {
		return 0
	}
	return min(1, p)
}
