package pool

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/bramleytrail/bramleytrail/selection"
)

const (
	// estimateTimeConstant is the age at which a request has 1/e of its weight in an estimate.
	estimateTimeConstant = 10 * time.Second
	// initialTokenMs is the prefill time per prompt token before answers were measured: 100 tokens per millisecond,
	// about the speed of a large accelerator. minTokenMs is the lower bound of the estimate.
	initialTokenMs, minTokenMs = 0.01, 0.0005
	// initialBaseMs is the time until an answer begins, without the prefill, before answers were measured.
	initialBaseMs = 30
	// minLatencySamples is the number of answers from which a latency model is fitted.
	minLatencySamples = 8
	// maxPeerEstimates bounds the number of estimates of another daemon, and maxPeers the number of daemons.
	maxPeerEstimates, maxPeers = 256, 1024
)

// latencyModel predicts the time until a model's answer begins: a constant for each request plus a time for each
// uncached prompt token.
type latencyModel struct {
	baseMs  float64 // milliseconds
	tokenMs float64 // milliseconds per token
}

func (m latencyModel) predict(tokens int64) float64 { return m.baseMs + m.tokenMs*float64(tokens) }

// Estimate holds exponentially decaying sums over the requests for a model of a service. The sums of several daemons
// can be added.
type Estimate struct {
	Service string `msgpack:"s"`
	Model   string `msgpack:"m"`
	// Answers counts answers. X sums their uncached prompt tokens and Y the milliseconds until they began; XX and XY
	// sum the products.
	Answers float64 `msgpack:"n"`
	X       float64 `msgpack:"x"`
	Y       float64 `msgpack:"y"`
	XX      float64 `msgpack:"u"`
	XY      float64 `msgpack:"v"`
	// Requests counts the requests that were sent, and Retries those that had been sent before. PrefillMs sums the
	// prefill time of their prompts in milliseconds, and LongPrefillMs that of the long prompts.
	Requests      float64 `msgpack:"r"`
	Retries       float64 `msgpack:"q"`
	PrefillMs     float64 `msgpack:"w"`
	LongPrefillMs float64 `msgpack:"l"`
}

func (e *Estimate) scale(factor float64) {
	for _, f := range []*float64{&e.Answers, &e.X, &e.Y, &e.XX, &e.XY, &e.Requests, &e.Retries, &e.PrefillMs, &e.LongPrefillMs} {
		*f *= factor
	}
}

func (e *Estimate) add(o Estimate) {
	e.Answers += o.Answers
	e.X += o.X
	e.Y += o.Y
	e.XX += o.XX
	e.XY += o.XY
	e.Requests += o.Requests
	e.Retries += o.Retries
	e.PrefillMs += o.PrefillMs
	e.LongPrefillMs += o.LongPrefillMs
}

// valid reports whether the sums are in the range that requests can produce.
func (e *Estimate) valid() bool {
	for _, f := range []float64{e.Answers, e.X, e.Y, e.XX, e.XY, e.Requests, e.Retries, e.PrefillMs, e.LongPrefillMs} {
		if !(f >= 0 && f <= math.MaxFloat32) { // rejects NaN too
			return false
		}
	}
	return true
}

// latencyModel fits the model by least squares. The measured times include waiting for other requests.
func (e *Estimate) latencyModel() latencyModel {
	if e.Answers <= 0 {
		return latencyModel{initialBaseMs, initialTokenMs}
	}
	x, y := e.X/e.Answers, e.Y/e.Answers
	tokenMs := minTokenMs
	if variance := e.XX/e.Answers - x*x; variance > 0 {
		tokenMs = max(tokenMs, (e.XY/e.Answers-x*y)/variance)
	}
	return latencyModel{max(1, y-tokenMs*x), tokenMs}
}

// decayingEstimate is an Estimate as of a time.
type decayingEstimate struct {
	Estimate
	at      time.Time
	samples float64 // number of answers, not decaying
}

func (d *decayingEstimate) decayTo(now time.Time) {
	if age := now.Sub(d.at); age > 0 {
		d.scale(math.Exp(-float64(age) / float64(estimateTimeConstant)))
		d.at = now
	}
}

type modelKey struct{ service, model string }

// estimates holds the latency models and the work that arrives for each model, as measured by this daemon and the
// others of its failure domain. One of hundreds of daemons gets too few requests to estimate them alone. Daemons with
// the same estimates also divide the endpoints into the same segments.
type estimates struct {
	mu     sync.Mutex
	own    map[modelKey]*decayingEstimate
	peers  map[string][]decayingEstimate  // by daemon
	totals map[modelKey]*decayingEstimate // sums over this daemon and its peers
}

func newEstimates() *estimates {
	return &estimates{own: map[modelKey]*decayingEstimate{}, peers: map[string][]decayingEstimate{}, totals: map[modelKey]*decayingEstimate{}}
}

// update applies a function to this daemon's estimate of a model and to the total.
func (s *estimates) update(service, model string, now time.Time, apply func(*decayingEstimate)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := modelKey{service, model}
	for _, m := range []map[modelKey]*decayingEstimate{s.own, s.totals} {
		d := m[k]
		if d == nil {
			d = &decayingEstimate{Estimate: Estimate{Service: service, Model: model}, at: now}
			m[k] = d
		}
		d.decayTo(now)
		apply(d)
	}
}

// recordLatency records the time until the answer to a prompt with the given number of uncached tokens began.
func (s *estimates) recordLatency(service, model string, tokens int64, latency time.Duration, now time.Time) {
	x, y := float64(tokens), float64(latency)/float64(time.Millisecond)
	s.update(service, model, now, func(d *decayingEstimate) {
		d.add(Estimate{Answers: 1, X: x, Y: y, XX: x * x, XY: x * y})
		d.samples++
	})
}

// recordRequest records a request and the expected prefill time of its prompt in milliseconds.
func (s *estimates) recordRequest(service, model string, long, retry bool, ms float64, now time.Time) {
	s.update(service, model, now, func(d *decayingEstimate) {
		d.Requests++
		if retry {
			d.Retries++
		}
		d.PrefillMs += ms
		if long {
			d.LongPrefillMs += ms
		}
	})
}

// latencyModel returns the latency model of a model, with initial values until minLatencySamples answers were measured.
func (s *estimates) latencyModel(service, model string) latencyModel {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latencyModelOf(modelKey{service, model})
}

func (s *estimates) latencyModelOf(k modelKey) latencyModel {
	return s.totals[k].usableModel()
}

// usableModel returns the latency model, with initial values until minLatencySamples answers were measured.
func (d *decayingEstimate) usableModel() latencyModel {
	if d == nil || d.samples < minLatencySamples {
		return latencyModel{initialBaseMs, initialTokenMs}
	}
	return d.latencyModel()
}

// snapshot returns this daemon's own estimates, to be sent to its peers.
func (s *estimates) snapshot(now time.Time) []Estimate {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Estimate
	for _, d := range s.own {
		d.decayTo(now)
		list = append(list, d.Estimate)
	}
	return list
}

// setPeer replaces the estimates of another daemon. It drops invalid estimates, and everything beyond the limits on
// daemons and estimates.
func (s *estimates) setPeer(peer string, list []Estimate, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.peers[peer]; !known && len(s.peers) >= maxPeers || len(list) > maxPeerEstimates {
		return
	}
	usable := make([]decayingEstimate, 0, len(list))
	for _, e := range list {
		if e.valid() {
			usable = append(usable, decayingEstimate{Estimate: e, at: now, samples: e.Answers})
		}
	}
	s.peers[peer] = usable
	s.recomputeTotals(now)
}

// recomputeTotals adds up the estimates of all daemons. Those of a daemon that stopped sending decay.
func (s *estimates) recomputeTotals(now time.Time) {
	prevSamples := map[modelKey]float64{}
	for k, d := range s.totals {
		prevSamples[k] = d.samples
	}
	clear(s.totals)
	add := func(d decayingEstimate) {
		k := modelKey{d.Service, d.Model}
		d.decayTo(now)
		total := s.totals[k]
		if total == nil {
			d.samples = max(d.samples, prevSamples[k])
			s.totals[k] = &d
			return
		}
		total.add(d.Estimate)
		total.samples += d.samples
	}
	for _, d := range s.own {
		add(*d)
	}
	for peer, list := range s.peers {
		if len(list) > 0 && now.Sub(list[0].at) > peerEstimatesTTL {
			delete(s.peers, peer)
			continue
		}
		for _, d := range list {
			add(d)
		}
	}
}

// peerEstimatesTTL is the time after which the estimates of a daemon that stopped sending are removed.
const peerEstimatesTTL = 3 * estimateTimeConstant

// segment returns the range of the endpoints that a model prefers. The models are sorted by their time per token, and
// each gets a range in proportion to its work. The range of the slowest model is split between its long prompts and the
// others. segment also returns the mean prefill time of the service's requests in milliseconds.
func (s *estimates) segment(service, model string, now time.Time) (seg selection.Segment, mean float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	type modelWork struct {
		*decayingEstimate
		msPerToken float64
	}
	var buffer [8]modelWork // more models than a service usually has
	work := buffer[:0]
	total, requests := 0.0, 0.0
	for k, d := range s.totals {
		if k.service == service {
			d.decayTo(now)
			work = append(work, modelWork{d, d.usableModel().tokenMs})
			total += d.PrefillMs
			requests += d.Requests
		}
	}
	slices.SortFunc(work, func(a, b modelWork) int {
		return cmp.Or(cmp.Compare(a.msPerToken, b.msPerToken), cmp.Compare(a.Model, b.Model))
	})
	if total <= 0 || requests <= 0 {
		return selection.Segment{To: 1, Models: 1}, 0
	}
	mean = total / requests
	preceding := 0.0
	for i, m := range work {
		if m.Model != model {
			preceding += m.PrefillMs
			continue
		}
		seg = selection.Segment{From: preceding / total, To: (preceding + m.PrefillMs) / total, Models: len(work)}
		if i == len(work)-1 && m.PrefillMs > 0 {
			seg.To, seg.LongWork = 1, m.LongPrefillMs/m.PrefillMs
		}
		return seg, mean
	}
	return selection.Segment{To: 1, Models: len(work)}, mean
}

// Attempts counts the requests that the daemons of a failure domain sent to a service, as exponentially decaying sums.
type Attempts struct {
	First   float64 // first attempts
	Retries float64 // further attempts
	Daemons int     // number of daemons that contribute
}

// attempts returns the recent attempts at a service.
func (s *estimates) attempts(service string, now time.Time) Attempts {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := Attempts{Daemons: 1 + len(s.peers)}
	for k, d := range s.totals {
		if k.service == service {
			d.decayTo(now)
			a.First += d.Requests - d.Retries
			a.Retries += d.Retries
		}
	}
	return a
}

// Attempts returns the requests that the daemons of the failure domain sent to a service. The weight of a request falls
// to 1/e in ten seconds.
func (p *Pool) Attempts(service string, now time.Time) Attempts {
	return p.estimates.attempts(service, now)
}

// Estimates returns this daemon's estimates, to be sent to the other daemons of its failure domain.
func (p *Pool) Estimates(now time.Time) []Estimate { return p.estimates.snapshot(now) }

// SetPeerEstimates replaces the estimates of another daemon of the failure domain.
func (p *Pool) SetPeerEstimates(peer string, list []Estimate, now time.Time) {
	for i := range list {
		list[i].Model = p.countedModel(list[i].Service, list[i].Model, false)
	}
	p.estimates.setPeer(peer, list, now)
}
