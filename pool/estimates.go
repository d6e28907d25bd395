package pool

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// estimateTTL is the time in which the weight of earlier requests in an estimate falls to 1/e.
	estimateTTL = 10 * time.Second
	// firstPace is the time for a prompt token before any answer was seen, in milliseconds: at 100 tokens a millisecond,
	// the order of what a large accelerator reads. leastPace bounds the estimate.
	firstPace, leastPace = 0.01, 0.0005
	// firstBase is the time to the first part of an answer beside the prompt before any answer was seen, in milliseconds.
	firstBase = 30
	// paceSamples is the number of answers from which the pace is estimated.
	paceSamples = 8
	// maxEstimates bounds the services and models in the estimates of another daemon, maxPeers the daemons.
	maxEstimates, maxPeers = 256, 1024
)

// pace is how long a model takes until an answer begins: a time for each request and one for each token that is read.
type pace struct {
	base  float64 // milliseconds
	token float64 // milliseconds a token
}

func (p pace) of(tokens int64) float64 { return p.base + p.token*float64(tokens) }

// Estimate holds what the requests of a model of a service have shown, as decaying sums. Those of several daemons can be added.
type Estimate struct {
	Service string `msgpack:"s"`
	Model   string `msgpack:"m"`
	// Answers counts answers, X and Y sum up their prompt tokens and milliseconds until they began, XX and XY the products.
	Answers float64 `msgpack:"n"`
	X       float64 `msgpack:"x"`
	Y       float64 `msgpack:"y"`
	XX      float64 `msgpack:"u"`
	XY      float64 `msgpack:"v"`
	// Requests counts requests that were sent, Repeats those of them that had been sent before. Work and Long sum up the milliseconds for reading their prompts, and for the long
	// ones among them.
	Requests float64 `msgpack:"r"`
	Repeats  float64 `msgpack:"q"`
	Work     float64 `msgpack:"w"`
	Long     float64 `msgpack:"l"`
}

func (e *Estimate) scale(by float64) {
	for _, f := range []*float64{&e.Answers, &e.X, &e.Y, &e.XX, &e.XY, &e.Requests, &e.Repeats, &e.Work, &e.Long} {
		*f *= by
	}
}

func (e *Estimate) add(o Estimate) {
	e.Answers += o.Answers
	e.X += o.X
	e.Y += o.Y
	e.XX += o.XX
	e.XY += o.XY
	e.Requests += o.Requests
	e.Repeats += o.Repeats
	e.Work += o.Work
	e.Long += o.Long
}

// valid reports whether the sums are numbers that requests can have.
func (e *Estimate) valid() bool {
	for _, f := range []float64{e.Answers, e.X, e.Y, e.XX, e.XY, e.Requests, e.Repeats, e.Work, e.Long} {
		if !(f >= 0 && f <= math.MaxFloat32) { // not a number either
			return false
		}
	}
	return true
}

// pace estimates the model's pace by least squares. The waits behind other requests are in it.
func (e *Estimate) pace() pace {
	if e.Answers <= 0 {
		return pace{firstBase, firstPace}
	}
	x, y := e.X/e.Answers, e.Y/e.Answers
	token := leastPace
	if v := e.XX/e.Answers - x*x; v > 0 {
		token = max(token, (e.XY/e.Answers-x*y)/v)
	}
	return pace{max(1, y-token*x), token}
}

// decaying is an estimate as of a time.
type decaying struct {
	Estimate
	at   time.Time
	seen float64 // answers ever, without decay
}

func (d *decaying) to(now time.Time) {
	if age := now.Sub(d.at); age > 0 {
		d.scale(math.Exp(-float64(age) / float64(estimateTTL)))
		d.at = now
	}
}

type modelKey struct{ service, model string }

// estimates holds the pace of the models and the work that arrives for them, as this daemon and the others of its failure domain
// see it. One of hundreds of daemons sees too few requests to tell by itself, and what all of them agree on divides the endpoints
// alike.
type estimates struct {
	mu    sync.Mutex
	own   map[modelKey]*decaying
	peers map[string][]decaying  // by daemon
	all   map[modelKey]*decaying // own and those of the peers
}

func newEstimates() *estimates {
	return &estimates{own: map[modelKey]*decaying{}, peers: map[string][]decaying{}, all: map[modelKey]*decaying{}}
}

// change applies f to an estimate of this daemon's own, and to that of all.
func (s *estimates) change(service, model string, now time.Time, f func(*decaying)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := modelKey{service, model}
	for _, m := range []map[modelKey]*decaying{s.own, s.all} {
		d := m[k]
		if d == nil {
			d = &decaying{Estimate: Estimate{Service: service, Model: model}, at: now}
			m[k] = d
		}
		d.to(now)
		f(d)
	}
}

// observe records the time to the first part of an answer to a prompt of which so many tokens were read.
func (s *estimates) observe(service, model string, tokens int64, latency time.Duration, now time.Time) {
	x, y := float64(tokens), float64(latency)/float64(time.Millisecond)
	s.change(service, model, now, func(d *decaying) {
		d.add(Estimate{Answers: 1, X: x, Y: y, XX: x * x, XY: x * y})
		d.seen++
	})
}

// sent records a request with the time for reading its prompt, in milliseconds.
func (s *estimates) sent(service, model string, long, repeat bool, ms float64, now time.Time) {
	s.change(service, model, now, func(d *decaying) {
		d.Requests++
		if repeat {
			d.Repeats++
		}
		d.Work += ms
		if long {
			d.Long += ms
		}
	})
}

// pace returns the pace of a model.
func (s *estimates) pace(service, model string) pace {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.paceOf(modelKey{service, model})
}

func (s *estimates) paceOf(k modelKey) pace {
	d := s.all[k]
	if d == nil || d.seen < paceSamples {
		return pace{firstBase, firstPace}
	}
	return d.pace()
}

// told returns this daemon's own estimates for the others.
func (s *estimates) told(now time.Time) []Estimate {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Estimate
	for _, d := range s.own {
		d.to(now)
		list = append(list, d.Estimate)
	}
	return list
}

// learn replaces the estimates of another daemon.
func (s *estimates) learn(peer string, list []Estimate, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.peers[peer]; !known && len(s.peers) >= maxPeers || len(list) > maxEstimates {
		return
	}
	theirs := make([]decaying, 0, len(list))
	for _, e := range list {
		if e.valid() {
			theirs = append(theirs, decaying{Estimate: e, at: now, seen: e.Answers})
		}
	}
	s.peers[peer] = theirs
	s.sum(now)
}

// sum adds up the estimates of all daemons. Those of one that has fallen silent fade.
func (s *estimates) sum(now time.Time) {
	seen := map[modelKey]float64{}
	for k, d := range s.all {
		seen[k] = d.seen
	}
	clear(s.all)
	add := func(d decaying) {
		k := modelKey{d.Service, d.Model}
		d.to(now)
		total := s.all[k]
		if total == nil {
			d.seen = max(d.seen, seen[k])
			s.all[k] = &d
			return
		}
		total.add(d.Estimate)
		total.seen += d.seen
	}
	for _, d := range s.own {
		add(*d)
	}
	for peer, list := range s.peers {
		if len(list) > 0 && now.Sub(list[0].at) > peerForgotten {
			delete(s.peers, peer)
			continue
		}
		for _, d := range list {
			add(d)
		}
	}
}

// peerForgotten is the time after which the estimates of a silent daemon no longer count.
const peerForgotten = 3 * estimateTTL

// segment returns the part of the endpoints that belongs to a model: the models in the order of their pace, each with its
// part of the work. That of the slowest model is divided between its long prompts and the others. It also returns the mean
// work for a request of the service.
func (s *estimates) segment(service, model string, now time.Time) (seg segment, mean float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	type part struct {
		*decaying
		pace float64
	}
	var parts []part
	total, count := 0.0, 0.0
	for k, d := range s.all {
		if k.service == service {
			d.to(now)
			parts = append(parts, part{d, s.paceOf(k).token})
			total += d.Work
			count += d.Requests
		}
	}
	slices.SortFunc(parts, func(a, b part) int { return cmp.Or(cmp.Compare(a.pace, b.pace), cmp.Compare(a.Model, b.Model)) })
	if total <= 0 || count <= 0 {
		return segment{0, 1, 1, 0}, 0
	}
	mean = total / count
	sum := 0.0
	for i, p := range parts {
		if p.Model != model {
			sum += p.Work
			continue
		}
		seg = segment{from: sum / total, to: (sum + p.Work) / total, models: len(parts)}
		if i == len(parts)-1 && p.Work > 0 {
			seg.to, seg.long = 1, p.Long/p.Work
		}
		return seg, mean
	}
	return segment{0, 1, len(parts), 0}, mean
}

// Attempts counts what the daemons of a failure domain have sent to a service, as decaying sums.
type Attempts struct {
	First   float64 // first attempts of requests
	Repeats float64 // further ones
	Daemons int     // that they are of
}

// attempts returns the attempts at a service within about the last window.
func (s *estimates) attempts(service string, now time.Time) Attempts {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := Attempts{Daemons: 1 + len(s.peers)}
	for k, d := range s.all {
		if k.service == service {
			d.to(now)
			a.First += d.Requests - d.Repeats
			a.Repeats += d.Repeats
		}
	}
	return a
}

// Attempts returns what the daemons of the failure domain have sent to a service, with a weight that falls to 1/e in ten seconds.
func (p *Pool) Attempts(service string, now time.Time) Attempts {
	return p.estimates.attempts(service, now)
}

// Estimates returns what this daemon's requests have shown, for the other daemons of its failure domain.
func (p *Pool) Estimates(now time.Time) []Estimate { return p.estimates.told(now) }

// Learn takes the estimates of another daemon of the failure domain, in place of its earlier ones.
func (p *Pool) Learn(peer string, list []Estimate, now time.Time) { p.estimates.learn(peer, list, now) }
