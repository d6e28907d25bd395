package pool

import "math"

// An endpoint that serves several models computes them in turn in each step, so that the streams of a small model are as
// slow there as those of the largest. Long prompts pause the streams beside them in the same way. The endpoints of a
// failure domain are therefore divided into segments by the work that arrives, one for each model and one for long prompts. All
// daemons order the endpoints alike and know about the same mix of requests, so that their segments agree. A segment is a
// preference: a request leaves its own when that costs less.
const (
	// strayShare is the part of the request's target by which an endpoint outside of its segment has to be better.
	strayShare = 0.25
	// longShare is the part of the route's longest pause that it takes to read a long prompt.
	longShare = 0.4
)

// segment is the part of a group's endpoints that a model prefers.
type segment struct {
	from, to float64 // of [0, 1]
	models   int     // in use
	long     float64 // part of the model's work that long prompts take, if the segment is divided; 0 otherwise
}

// includes reports whether the endpoint at a position among n is in the segment. Each segment has at least one endpoint if
// there are as many as models. In a divided segment of several, long prompts have the last endpoints, as many as their part of
// the work takes, and leave the others at least one.
func (s segment) includes(position, n int, long bool) bool {
	if n < 2 || s.models < 2 {
		return true
	}
	first, last := int(math.Round(s.from*float64(n))), int(math.Round(s.to*float64(n)))
	if s.from == 0 {
		last = min(max(last, 1), n-1)
	} else {
		first = min(max(first, 1), n-1)
		last = max(last, first+1)
	}
	if size := last - first; s.long > 0 && size >= 2 {
		border := last - min(max(int(math.Round(s.long*float64(size))), 1), size-1)
		if long {
			first = border
		} else {
			last = border
		}
	}
	return position >= first && position < last
}
