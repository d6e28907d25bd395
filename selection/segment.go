package selection

import "math"

// An endpoint that serves several models computes a part of each in every step, so the streams of a small model are as
// slow there as those of the largest one. Long prompts pause the streams beside them in the same way. The endpoints of
// a failure domain are therefore divided into segments in proportion to the arriving work: one for each model, and one
// for long prompts. All daemons order the endpoints in the same way and know about the same mix of requests, so their
// segments agree. A segment is only a preference: a request leaves its own when another endpoint costs less.

// outOfSegmentPenalty is added to the cost of an endpoint outside the request's segment, as a fraction of the request's
// target time.
const outOfSegmentPenalty = 0.25

// Segment is the range of a group's endpoints that a model prefers.
type Segment struct {
	From, To float64 // fractions of the group, in [0, 1]
	Models   int     // number of models in use
	LongWork float64 // fraction of the model's work that long prompts take, if the segment is split; otherwise 0
}

// Includes reports whether the endpoint at a position among n is in the segment. Each segment has at least one endpoint
// if there are as many endpoints as models. In a split segment with at least two endpoints, long prompts get the last
// ones, in proportion to their work but leaving at least one for other prompts.
func (s Segment) Includes(position, n int, long bool) bool {
	first, last := s.bounds(n, long)
	return position >= first && position < last
}

// bounds returns the first position of the segment among n endpoints, and the one after its last.
func (s Segment) bounds(n int, long bool) (first, last int) {
	if n < 2 || s.Models < 2 {
		return 0, max(n, 1)
	}
	first, last = int(math.Round(s.From*float64(n))), int(math.Round(s.To*float64(n)))
	if s.From == 0 {
		last = min(max(last, 1), n-1)
	} else {
		first = min(max(first, 1), n-1)
		last = max(last, first+1)
	}
	if size := last - first; s.LongWork > 0 && size >= 2 {
		longStart := last - min(max(int(math.Round(s.LongWork*float64(size))), 1), size-1)
		if long {
			first = longStart
		} else {
			last = longStart
		}
	}
	return first, last
}

// segmentBounds holds the bounds of the request's segment in a group of n endpoints. Consecutive candidates are mostly in
// groups of the same size.
type segmentBounds struct{ n, first, last int }

// includes reports whether the endpoint is in the segment that the request's model prefers.
func (b *segmentBounds) includes(r *Request, e *Endpoint) bool {
	if b.n != e.GroupSize || b.last == 0 {
		s := r.Segment
		if r.Gap <= 0 { // no stream that a long prompt could pause
			s.LongWork = 0
		}
		b.n = e.GroupSize
		b.first, b.last = s.bounds(b.n, r.Long)
	}
	return e.Position >= b.first && e.Position < b.last
}
