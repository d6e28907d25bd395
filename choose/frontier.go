package choose

import "math"

// maxPoints bounds the options of a frontier. Options beyond it, the dearest, are not mixed.
const maxPoints = 20

// point is an option on a frontier.
type point struct {
	option              int // index in scored
	mean, margin, price float64
}

// frontier holds the options that are cheapest for their quality, alone or in a mix of neighbours, by rising price and
// quality. A position on it is the index of an option plus the part of requests that go to the next one.
type frontier struct {
	points [maxPoints]point
	n      int
}

// frontier returns the frontier of the options. It is empty unless some option with firm evidence meets the target.
// Options without it are taken at the lower end of the whole width of their bounds, so that one with few ratings gets a
// small, safe part of a mix, from which its ratings come; by itself, it does not answer.
func (s *scored) frontier() (f frontier) {
	if !s.proven {
		return f
	}
	for f.n < maxPoints {
		next, found := point{}, false
		best := math.Inf(1)
		for i := range s.len() {
			p, ok := s.point(i)
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

// point returns option i as a point, and whether it may be part of a mix.
func (s *scored) point(i int) (point, bool) {
	o := s.at(i)
	e := o.estimate
	if e.Firm {
		return point{option: i, mean: e.Mean, margin: e.Mean - e.Lower, price: o.price}, true
	}
	mean := 2*e.Mean - e.Upper
	return point{option: i, mean: mean, price: o.price}, mean < s.target
}

// at returns the mean, its margin and the price at a position.
func (f *frontier) at(position float64) (mean, margin, price float64) {
	i := int(position)
	part := position - float64(i)
	a := f.points[i]
	if part == 0 {
		return a.mean, a.margin, a.price
	}
	b := f.points[i+1]
	return (1-part)*a.mean + part*b.mean, math.Hypot((1-part)*a.margin, part*b.margin), (1-part)*a.price + part*b.price
}

// slope returns what a score costs beyond a position; infinite at the end.
func (f *frontier) slope(position float64) float64 {
	i := int(position)
	if i+1 >= f.n {
		return math.Inf(1)
	}
	a, b := f.points[i], f.points[i+1]
	return (b.price - a.price) / (b.mean - a.mean)
}

// base returns the first position at which the mean meets the target and the lower bound misses it by kindTolerance at
// most, or the last one.
func (f *frontier) base(target float64) float64 {
	for i := range f.n {
		p := f.points[i]
		if p.mean < target || p.mean-p.margin < target-kindTolerance {
			continue
		}
		if i == 0 {
			return 0
		}
		low := f.points[i-1]
		part := largestPart(p, low, target-kindTolerance)
		if low.mean < target {
			part = min(part, (p.mean-target)/(p.mean-low.mean))
		}
		return float64(i) - part
	}
	return float64(max(0, f.n-1))
}

// pick returns the option for a request at a point of 0 to 1 among the requests of the kind.
func (f *frontier) pick(position, point float64) int {
	i := int(position)
	if part := position - float64(i); point < 1-part || i+1 >= f.n {
		return f.points[i].option
	}
	return f.points[i+1].option
}

// largestPart returns the largest part of requests that may go to low, so that the lower bound of the mix meets the
// target. The errors of both estimates are independent, so the width of the mix's bound is the root of the sum of
// squares.
func largestPart(high, low point, target float64) float64 {
	a, b := low.margin, high.margin
	room, drop := high.mean-target, high.mean-low.mean
	if room < b {
		return 0
	}
	// The bound meets the target as long as (room - part*drop)^2 >= part^2*a^2 + (1-part)^2*b^2, up to the smaller
	// positive root.
	x, y, z := drop*drop-a*a-b*b, 2*(b*b-room*drop), room*room-b*b
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
