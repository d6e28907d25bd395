package choose

import "math"

// mixed is a mix of two options: part of the requests go to the cheaper one, which does not meet the target by itself.
type mixed struct {
	high, low int
	part      float64
	price     float64 // infinite if there is no mix
}

// mix returns the cheapest mix of a good option and a cheaper one whose lower bound meets the target. The good one needs
// firm evidence. The other one counts with the whole width of its bounds, so that one with few ratings gets a small part,
// from which its ratings come. If optimist is not negative, that option is the cheaper one, taken at its upper bound.
func (s *scored) mix(optimist int) mixed {
	best := mixed{price: math.Inf(1)}
	for i := range s.len() {
		high := s.at(i)
		if !high.good || !high.estimate.Firm {
			continue
		}
		for j := range s.len() {
			low := s.at(j)
			e := low.estimate
			if low.price >= high.price || optimist >= 0 && j != optimist {
				continue
			}
			if optimist >= 0 {
				e = Estimate{Mean: e.Upper, Lower: e.Upper, Upper: e.Upper}
			}
			part := largestPart(high.estimate, e, s.target)
			if price := part*low.price + (1-part)*high.price; part > 0 && price < best.price {
				best = mixed{high: i, low: j, part: part, price: price}
			}
		}
	}
	return best
}

// largestPart returns the largest part of requests that may go to low, so that the lower bound of the mix meets the
// target. The errors of both estimates are independent, so the width of the mix's bound is the root of the sum of
// squares.
func largestPart(high, low Estimate, target float64) float64 {
	a, b := low.Upper-low.Mean, high.Mean-high.Lower
	room, drop := high.Mean-target, high.Mean-low.Mean
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
