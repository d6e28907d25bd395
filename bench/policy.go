package bench

import (
	"io"
	"time"

	"github.com/bramleytrail/bramleytrail/cascade"
	"github.com/bramleytrail/bramleytrail/choose"
	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/quality"
	"github.com/bramleytrail/bramleytrail/rating"
)

const (
	// minConfidence is the declared threshold of the loads' cascade.
	minConfidence = 0.68
	// summaryInterval is the time between two summaries, as in a daemon.
	summaryInterval = 30 * time.Second
	// daemons is the number of daemons that report answers: that of the smallest deployment, because each report has a limit.
	daemons = 6
)

// option is what may be chosen: the index of a model, or cascadeOption.
type option int

const cascadeOption option = modelCount

// policy chooses for one request after the other.
type policy interface {
	// choose returns the option and whether it was chosen to learn about it.
	choose(r *request, now time.Time) (option, bool)
	// rate takes a rating when it arrives.
	rate(r rating.Rating, now time.Time)
	// climbed takes the decision on one answer of a cascade.
	climbed(up bool)
	// answered takes the confidence of an answer at its end.
	answered(r *request, kind string, out outcome)
}

// fixed is a policy that learns nothing.
type fixed func(r *request) option

func (f fixed) choose(r *request, _ time.Time) (option, bool) { return f(r), false }
func (fixed) rate(rating.Rating, time.Time)                   {}
func (fixed) climbed(bool)                                    {}
func (fixed) answered(*request, string, outcome)              {}

func always(o option) policy { return fixed(func(*request) option { return o }) }

func roundRobin() policy {
	next := 0
	return fixed(func(*request) option {
		next++
		return option(next % modelCount)
	})
}

// chosen is a policy that asks the filter of package choose.
type chosen struct {
	load      *Load
	view      *config.View
	filter    *choose.Filter
	estimates *quality.Estimates
	summary   *quality.Summary
	rates     *cascade.EscalationRates
	answers   [daemons]quality.Collector
	next      int // daemon that gets the next request
	recent    *quality.RecentConfidences
	published time.Time
}

// byEstimates is the policy of a daemon.
func byEstimates(l *Load) (*chosen, error) {
	view, err := l.view(true)
	if err != nil {
		return nil, err
	}
	c := &chosen{load: l, view: view, estimates: &quality.Estimates{}, summary: quality.NewSummary(), rates: cascade.NewEscalationRates(), recent: quality.NewRecentConfidences()}
	c.filter = choose.New(choose.Spec{Estimator: c.estimates, EscalationRate: c.rates.Rate, Exploration: choose.DefaultExplorationBudget})
	return c, nil
}

// byDeclaration is the choice of the version before estimates: the declared quality, no cascade, no exploration.
func byDeclaration(l *Load) (*chosen, error) {
	view, err := l.view(false)
	if err != nil {
		return nil, err
	}
	return &chosen{load: l, view: view, filter: choose.New(choose.Spec{Estimator: choose.Declared{}})}, nil
}

func (c *chosen) choose(r *request, now time.Time) (option, bool) {
	if c.summary != nil && now.Sub(c.published) >= summaryInterval {
		c.publish(now)
	}
	t := &c.load.teams[r.team]
	choice, err := c.filter.Do(choose.Input{
		View: c.view, Team: c.view.Teams[t.name], Model: choose.AutoModel, Kind: t.kinds[r.kind].name, RequestID: r.id, Now: now,
	})
	if err != nil {
		panic(err) // each team of a load has an active version
	}
	if choice.Cascade != nil {
		return cascadeOption, choice.Explored
	}
	for m := range modelCount {
		if choice.Candidates[0].Version.Name == c.load.version(m) {
			return option(m), choice.Explored
		}
	}
	panic("bench: unknown version")
}

// publish hands a copy of the summary to the estimates, as the spreading of the document does. The reports of answers
// arrive as often.
func (c *chosen) publish(now time.Time) {
	c.published = now
	c.summary.DiscountTo(now)
	for i := range c.answers {
		report := c.answers[i].Take()
		c.summary.AddReport(report)
		c.recent.Add(report)
	}
	c.estimates.Set(c.summary.Clone())
}

func (c *chosen) rate(r rating.Rating, _ time.Time) {
	if c.summary == nil {
		return
	}
	c.summary.Add(r)
	if x, ok := c.recent.Confidence(r.RequestID); ok {
		c.summary.AddPair(r, x)
	}
}

func (c *chosen) answered(r *request, kind string, out outcome) {
	if c.summary != nil {
		c.next = (c.next + 1) % daemons
		c.answers[c.next].Add(r.id, kind, out.label, out.confidence)
	}
}

func (c *chosen) climbed(up bool) {
	if c.rates != nil {
		c.rates.Add(cascadeName, up)
	}
}

// outcome of a request under an option.
type outcome struct {
	score float64
	cost  float64
	label string // under which the answer is rated
	calls int
	// confidence of the answer that is delivered, at its end
	confidence float64
}

// run answers a request.
func (l *Load) run(r *request, o option, climbed func(bool)) outcome {
	if o != cascadeOption {
		return outcome{score: r.answers[o].score, cost: l.cost(int(o), r.input, r.output), label: l.version(int(o)), calls: 1, confidence: r.answers[o].final}
	}
	spec := object.Cascade{Name: cascadeName, MinConfidence: minConfidence}
	var out outcome
	for m := range modelCount {
		out.calls++
		last := m == modelCount-1
		src := &replay{answer: r.answers[m], tokens: r.output}
		reason := cascade.Confident
		if !last {
			_, reason = cascade.Evaluate(&spec, src, r.stream, func() time.Time { return time.Time{} })
			climbed(reason != cascade.Confident)
		}
		if reason == cascade.Confident {
			out.cost += l.cost(m, r.input, r.output)
			out.score, out.label = r.answers[m].score, spec.Label()+l.version(m)
			out.confidence = r.answers[m].final
			return out
		}
		out.cost += l.cost(m, r.input, src.sent)
	}
	return out
}

// replay is an answer of two events: after the first tokens and at the end.
type replay struct {
	answer answer
	tokens int64
	sent   int64
}

// Next implements cascade.Source.
func (p *replay) Next() (engine.Event, error) {
	switch {
	case p.sent == p.tokens:
		return engine.Event{}, io.EOF
	case p.sent == 0 && p.tokens > cascade.StreamDecisionTokens:
		p.sent = cascade.StreamDecisionTokens
		return engine.Event{Seq: p.sent, Confidence: p.answer.early}, nil
	}
	p.sent = p.tokens
	return engine.Event{Seq: p.sent, Confidence: p.answer.final, FinishReason: "stop"}, nil
}
