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
	// minConfidence is the declared confidence below which the loads' cascade escalates.
	minConfidence = 0.68
	// summaryInterval is the time between two updates of the estimates from the summary of ratings, as in a daemon.
	summaryInterval = 30 * time.Second
	// choiceDaemons is the number of daemons that report answers. It is that of the smallest deployment, as the size of each
	// report is limited.
	choiceDaemons = 6
)

// option is a possible choice: the index of a model, or cascadeOption.
type option int

const cascadeOption option = modelCount

// policy chooses an option for each request, in order of arrival. It is not safe for concurrent use.
type policy interface {
	// choose returns the chosen option, and whether it was chosen to learn about it.
	choose(r *request, now time.Time) (option, bool)
	// recordRating is called with a rating when it arrives.
	recordRating(r rating.Rating, now time.Time)
	// recordEscalation is called with each decision of a cascade whether to escalate.
	recordEscalation(escalated bool)
	// recordAnswer is called with the outcome of a request at the end of its answer.
	recordAnswer(r *request, kind string, out outcome)
}

// staticPolicy is a policy that ignores ratings and outcomes.
type staticPolicy func(r *request) option

func (f staticPolicy) choose(r *request, _ time.Time) (option, bool) { return f(r), false }
func (staticPolicy) recordRating(rating.Rating, time.Time)           {}
func (staticPolicy) recordEscalation(bool)                           {}
func (staticPolicy) recordAnswer(*request, string, outcome)          {}

// newFixedPolicy returns a policy that always chooses the same option.
func newFixedPolicy(o option) policy { return staticPolicy(func(*request) option { return o }) }

// newRoundRobinPolicy returns a policy that chooses all models in turn.
func newRoundRobinPolicy() policy {
	next := 0
	return staticPolicy(func(*request) option {
		next++
		return option(next % modelCount)
	})
}

// filterPolicy is a policy that uses the filter of package choose. If its summary is nil, it learns nothing from
// ratings.
type filterPolicy struct {
	load              *Load
	view              *config.View
	filter            *choose.Filter
	estimates         *quality.Estimates
	summary           *quality.Summary
	escalationRates   *cascade.EscalationRates
	collectors        [choiceDaemons]quality.Collector
	nextDaemon        int // daemon that gets the next request
	recentConfidences *quality.RecentConfidences
	lastPublish       time.Time
}

// newEstimatesPolicy returns the policy of a daemon: estimates of quality from ratings, cascades and exploration.
func newEstimatesPolicy(l *Load) (*filterPolicy, error) {
	view, err := l.view(true)
	if err != nil {
		return nil, err
	}
	p := &filterPolicy{load: l, view: view, estimates: &quality.Estimates{}, summary: quality.NewSummary(), escalationRates: cascade.NewEscalationRates(), recentConfidences: quality.NewRecentConfidences()}
	p.filter = choose.New(choose.Spec{Estimator: p.estimates, EscalationRate: p.escalationRates.Rate, Exploration: choose.DefaultExplorationBudget})
	return p, nil
}

// newDeclaredPolicy returns a policy that relies on declared quality, without estimates, cascades or exploration. It is
// compared with newEstimatesPolicy.
func newDeclaredPolicy(l *Load) (*filterPolicy, error) {
	view, err := l.view(false)
	if err != nil {
		return nil, err
	}
	return &filterPolicy{load: l, view: view, filter: choose.New(choose.Spec{Estimator: choose.Declared{}})}, nil
}

func (p *filterPolicy) choose(r *request, now time.Time) (option, bool) {
	if p.summary != nil && now.Sub(p.lastPublish) >= summaryInterval {
		p.publish(now)
	}
	t := &p.load.teams[r.team]
	choice, err := p.filter.Do(choose.Input{
		View: p.view, Team: p.view.Teams[t.name], Model: choose.AutoModel, Kind: t.kinds[r.kind].name, RequestID: r.id, Now: now,
	})
	if err != nil {
		panic(err) // each team of a load has an active version
	}
	if choice.Cascade != nil {
		return cascadeOption, choice.Explored
	}
	for m := range modelCount {
		if choice.Candidates[0].Version.Name == p.load.version(m) {
			return option(m), choice.Explored
		}
	}
	panic("bench: unknown version")
}

// publish updates the estimates with a copy of the summary, as a daemon does when it receives the summary's document. The
// reports of answers are merged into the summary just as often.
func (p *filterPolicy) publish(now time.Time) {
	p.lastPublish = now
	p.summary.DiscountTo(now)
	for i := range p.collectors {
		report := p.collectors[i].Take()
		p.summary.AddReport(report)
		p.recentConfidences.Add(report)
	}
	p.estimates.Set(p.summary.Clone())
}

func (p *filterPolicy) recordRating(r rating.Rating, _ time.Time) {
	if p.summary == nil {
		return
	}
	p.summary.Add(r)
	if confidence, ok := p.recentConfidences.Confidence(r.RequestID); ok {
		p.summary.AddPair(r, confidence)
	}
}

func (p *filterPolicy) recordAnswer(r *request, kind string, out outcome) {
	if p.summary != nil {
		p.nextDaemon = (p.nextDaemon + 1) % choiceDaemons
		p.collectors[p.nextDaemon].Add(r.id, kind, out.label, out.confidence)
	}
}

func (p *filterPolicy) recordEscalation(escalated bool) {
	if p.escalationRates != nil {
		p.escalationRates.Add(cascadeName, escalated)
	}
}

// outcome is the result of serving a request with an option.
type outcome struct {
	score      float64
	cost       float64
	label      string // under which the answer is rated: its version, with a prefix for a cascade
	modelCalls int
	// confidence is that of the delivered answer at its end.
	confidence float64
}

// serve answers a request with an option. A cascade calls recordEscalation for each decision.
func (l *Load) serve(r *request, o option, recordEscalation func(bool)) outcome {
	if o != cascadeOption {
		return outcome{score: r.answers[o].score, cost: l.cost(int(o), r.input, r.output), label: l.version(int(o)), modelCalls: 1, confidence: r.answers[o].final}
	}
	spec := object.Cascade{Name: cascadeName, MinConfidence: minConfidence}
	var out outcome
	for m := range modelCount {
		out.modelCalls++
		last := m == modelCount-1
		src := &scriptedAnswer{answer: r.answers[m], tokens: r.output}
		reason := cascade.Confident
		if !last {
			_, reason = cascade.Evaluate(&spec, src, r.stream, nil, func() time.Time { return time.Time{} })
			recordEscalation(reason != cascade.Confident)
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

// scriptedAnswer is a stream of up to two events that carry confidence: one after the first tokens, where a streaming cascade
// decides, and one at the end.
type scriptedAnswer struct {
	answer answer
	tokens int64
	sent   int64
}

// Next implements cascade.Source.
func (a *scriptedAnswer) Next() (engine.Event, error) {
	switch {
	case a.sent == a.tokens:
		return engine.Event{}, io.EOF
	case a.sent == 0 && a.tokens > cascade.StreamDecisionTokens:
		a.sent = cascade.StreamDecisionTokens
		return engine.Event{Seq: a.sent, Confidence: a.answer.early}, nil
	}
	a.sent = a.tokens
	return engine.Event{Seq: a.sent, Confidence: a.answer.final, FinishReason: "stop"}, nil
}
