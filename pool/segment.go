package pool

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

// An endpoint that serves several models computes them in turn in each step, so that the streams of a small model are as
// slow there as those of the largest. Long prompts pause the streams beside them in the same way. The endpoints of a
// failure domain are therefore divided into segments by the work that arrives, one for each model and one for long prompts. All daemons order the
// endpoints alike and see about the same mix of requests, so that their segments agree without messages. A segment is a
// preference: a request leaves its own when that costs less.
const (
	// strayShare is the part of the request's target by which an endpoint outside of its segment has to be better.
	strayShare = 0.25
	// mixTTL is the time in which the weight of earlier requests in the mix falls to 1/e.
	mixTTL = 10 * time.Second
	// longShare is the part of the route's longest pause that it takes to read a long prompt.
	longShare = 0.4
)

// mixes holds the work for each model of each service.
type mixes struct {
	mu       sync.Mutex
	services map[string]map[string]*work
}

// work is a decaying sum.
type work struct {
	pace  float64 // of the model, to order them
	sum   float64 // milliseconds
	long  float64 // part of sum for long prompts, milliseconds
	count float64 // requests
	at    time.Time
}

// segment is the part of a group's endpoints that a model prefers.
type segment struct {
	from, to float64 // of [0, 1]
	models   int     // in use
	long     float64 // part of the model's work that long prompts take, if the segment is divided; 0 otherwise
}

func newMixes() *mixes { return &mixes{services: map[string]map[string]*work{}} }

// left returns what is left of the sums at a time, as a part of them.
func (w *work) left(t time.Time) float64 { return math.Exp(-float64(t.Sub(w.at)) / float64(mixTTL)) }

// add records a request.
func (m *mixes) add(service, model string, long bool, pace, ms float64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	models := m.services[service]
	if models == nil {
		models = map[string]*work{}
		m.services[service] = models
	}
	w := models[model]
	if w == nil {
		w = &work{at: now}
		models[model] = w
	}
	left := w.left(now)
	w.sum, w.long, w.count, w.at, w.pace = left*w.sum+ms, left*w.long, left*w.count+1, now, pace
	if long {
		w.long += ms
	}
}

// segment returns the part of the endpoints that belongs to a model: the models in the order of their pace, each with its
// part of the work. That of the slowest model is divided between its long prompts and the others. It also returns the mean
// work for a request of the service.
func (m *mixes) segment(service, model string, now time.Time) (s segment, mean float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	type part struct {
		name            string
		pace, sum, long float64
	}
	var parts []part
	total, count := 0.0, 0.0
	for name, w := range m.services[service] {
		left := w.left(now)
		parts = append(parts, part{name, w.pace, left * w.sum, left * w.long})
		total += left * w.sum
		count += left * w.count
	}
	slices.SortFunc(parts, func(a, b part) int { return cmp.Or(cmp.Compare(a.pace, b.pace), cmp.Compare(a.name, b.name)) })
	if total <= 0 || count <= 0 {
		return segment{0, 1, 1, 0}, 0
	}
	mean = total / count
	sum := 0.0
	for i, p := range parts {
		if p.name != model {
			sum += p.sum
			continue
		}
		s = segment{from: sum / total, to: (sum + p.sum) / total, models: len(parts)}
		if i == len(parts)-1 && p.sum > 0 {
			s.to, s.long = 1, p.long/p.sum
		}
		return s, mean
	}
	return segment{0, 1, len(parts), 0}, mean
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
