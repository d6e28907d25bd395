package pool

import (
	"math"
	"slices"
	"sync"
	"time"
)

// An endpoint that serves several models computes them in turn in each step, so that the streams of a small model are as
// slow there as those of the largest. Long prompts pause the streams beside them in the same way. The endpoints of a
// failure domain are therefore divided into segments, one for each model and one for long prompts. All daemons order the
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
	count float64 // requests
	at    time.Time
}

func newMixes() *mixes { return &mixes{services: map[string]map[string]*work{}} }

// left returns what is left of the sums at a time, as a part of them.
func (w *work) left(t time.Time) float64 { return math.Exp(-float64(t.Sub(w.at)) / float64(mixTTL)) }

// add records a request.
func (m *mixes) add(service, model string, pace, ms float64, now time.Time) {
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
	w.sum, w.count, w.at, w.pace = left*w.sum+ms, left*w.count+1, now, pace
}

// segment returns the part of [0, 1] that belongs to a model: the models in the order of their pace, each with its part of
// the work. It also returns the mean work for a request of the service.
func (m *mixes) segment(service, model string, now time.Time) (from, to float64, models int, mean float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	type part struct {
		name      string
		pace, sum float64
	}
	var parts []part
	total, count := 0.0, 0.0
	for name, w := range m.services[service] {
		left := w.left(now)
		parts = append(parts, part{name, w.pace, left * w.sum})
		total += left * w.sum
		count += left * w.count
	}
	slices.SortFunc(parts, func(a, b part) int {
		if a.pace < b.pace || a.pace == b.pace && a.name < b.name {
			return -1
		}
		return 1
	})
	if total <= 0 || count <= 0 {
		return 0, 1, 1, 0
	}
	mean = total / count
	sum := 0.0
	for _, p := range parts {
		if p.name == model {
			return sum / total, (sum + p.sum) / total, len(parts), mean
		}
		sum += p.sum
	}
	return 0, 1, len(parts), mean
}

// within reports whether the endpoint at a position among n is in a segment. Each segment has at least one endpoint if
// there are as many as models; a long prompt has the last one of a segment of several, which others leave to it.
func within(position, n int, from, to float64, models int, long, split bool) bool {
	if n < 2 || models < 2 {
		return true
	}
	first, last := int(math.Round(from*float64(n))), int(math.Round(to*float64(n)))
	if from == 0 {
		last = min(max(last, 1), n-1)
	} else {
		first = min(max(first, 1), n-1)
		last = max(last, first+1)
	}
	if split && last-first >= 2 {
		if long {
			first = last - 1
		} else {
			last--
		}
	}
	return position >= first && position < last
}
