package pipeline

import (
	"cmp"
	"context"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleytrail/bramleytrail/cascade"
	"github.com/bramleytrail/bramleytrail/dispatch"
	"github.com/bramleytrail/bramleytrail/object"
)

// EscalationOutcome describes an answer that was dropped to ask a larger model.
type EscalationOutcome struct {
	Request    string // ID
	From, To   string // models
	Confidence float64
	// Value is what a good answer is worth, and Price the expected price of that of the larger model, in the operators' unit
	// of cost.
	Value, Price float64
}

// KeptAnswer describes an answer that is delivered although it is more likely poor than good.
type KeptAnswer struct {
	Request    string // ID
	Model      string
	Confidence float64
	Reason     KeepReason
}

// KeepReason says why no larger model was asked.
type KeepReason string

// Reasons for keeping a doubtful answer.
const (
	KeepAttempts   KeepReason = "attempts"    // the route allows no further attempt
	KeepResumed    KeepReason = "resumed"     // the caller has the beginning of another answer
	KeepNoEndpoint KeepReason = "no endpoint" // none can be asked
	KeepLate       KeepReason = "late"        // the answer would begin after the target
	KeepDeadline   KeepReason = "deadline"    // the answer would end after the deadline
	KeepPrice      KeepReason = "price"       // the answer is worth less than the price of another one
	KeepBudget     KeepReason = "budget"      // the retry budget is used up
)

// chooseFirst chooses the model that the request asks first.
func (s *routedStages) chooseFirst(ctx context.Context) {
	if !s.isCascade() || s.r.Meta.LastEventID > 0 || s.p.Routes.FirstChoice == nil {
		return
	}
	e, _ := s.escalation(ctx)
	draw := float64(xxhash.Sum64String(s.r.ID)>>11) / (1 << 53)
	s.model = s.p.Routes.FirstChoice.Next(s.route.Name, s.service, e, draw)
	if s.model > 0 && s.p.Routes.OnFirstModel != nil {
		s.p.Routes.OnFirstModel(s.r.ID, s.modelName())
	}
}

// escalate drops a doubtful answer if a larger model may be asked, and reports whether it did; the next attempt then asks that
// model. The answer is kept if the request must not be repeated or resumes a stream, if the limits of the exchange forbid
// another attempt, or if the larger model's answer would probably begin after the route's target or end after the deadline.
func (s *routedStages) escalate(ctx context.Context, a *dispatch.RoutedAnswer) bool {
	if !s.isCascade() || !a.HasConfidence || !s.route.MayRepeat() {
		return false
	}
	if s.r.Meta.LastEventID > 0 {
		s.recordKept(a, KeepResumed)
		return false
	}
	escalator := s.p.Routes.Escalator
	s.answers = append(s.answers, cascade.Answer{Model: s.model, Confidence: a.Confidence})
	if n := len(s.answers); n > 1 {
		escalator.RecordPair(s.route.Models, s.answers[n-2], s.answers[n-1])
	} else if s.model == 0 && s.p.Routes.FirstChoice != nil {
		s.p.Routes.FirstChoice.RecordAnswer(s.route.Name, a.Confidence)
	}
	e, obstacle := s.escalation(ctx)
	next := escalator.Next(e)
	if next < 0 {
		if e.MaxCalls < 1 {
			*obstacle = KeepAttempts
			s.recordPossible(a, false)
		}
		s.recordKept(a, *obstacle)
		return false
	}
	if !s.exchange.ReserveEscalation(s.rank()) {
		s.recordPossible(a, false)
		s.recordKept(a, KeepBudget)
		return false
	}
	s.recordPossible(a, true)
	if s.p.Routes.OnEscalate != nil {
		s.p.Routes.OnEscalate(EscalationOutcome{s.r.ID, s.modelName(), s.route.Models[next], a.Confidence, e.Value, e.Price(next)})
	}
	a.CountRun()
	a.MarkCancelled()
	a.Close()
	s.model = next
	return true
}

// recordPossible records whether the limits of calls allow a larger model to be asked for a doubtful answer.
func (s *routedStages) recordPossible(a *dispatch.RoutedAnswer, possible bool) {
	if f := s.p.Routes.FirstChoice; f != nil && (possible || s.doubtful(a)) {
		f.RecordEscalation(s.service, possible)
	}
}

// doubtful reports whether the answer of another than the largest model is more likely poor than good.
func (s *routedStages) doubtful(a *dispatch.RoutedAnswer) bool {
	return s.model < len(s.route.Models)-1 && s.p.Routes.Escalator.LikelyPoor(a.Confidence)
}

// recordKept reports an answer for which no larger model is asked, if it is doubtful.
func (s *routedStages) recordKept(a *dispatch.RoutedAnswer, reason KeepReason) {
	if s.p.Routes.OnKeep != nil && s.doubtful(a) {
		s.p.Routes.OnKeep(KeptAnswer{s.r.ID, s.modelName(), a.Confidence, reason})
	}
}

// escalation describes the request and the answers so far to the escalator. obstacle says why the larger models whose price the escalator
// asked for can't be asked; it is KeepPrice if they can.
func (s *routedStages) escalation(ctx context.Context) (e cascade.Escalation, obstacle *KeepReason) {
	var service object.RoutedService
	if svc := s.view.Services[s.service]; svc != nil && svc.Routed != nil {
		service = *svc.Routed
	}
	tariffs := cascade.Tariffs(&service, s.route.Models)
	answerTokens := max(1, cmp.Or(s.r.Meta.ExpectedTokens, s.r.Meta.MaxTokens))
	quotes := map[int]quote{}
	reason := KeepPrice
	get := func(model int) quote {
		q, known := quotes[model]
		if !known {
			q = s.quote(ctx, s.route.Models[model], tariffs[model], answerTokens)
			quotes[model] = q
		}
		if q.obstacle != "" {
			reason = q.obstacle
		}
		return q
	}
	return cascade.Escalation{
		Models: s.route.Models, Answers: s.answers, MaxCalls: s.exchange.RemainingCalls(),
		Value: cascade.Value(s.p.Routes.AnswerValue, tariffs[len(tariffs)-1], s.r.Meta.Prompt, answerTokens),
		Price: func(model int) float64 { return get(model).price },
		Loss:  func(model int) float64 { return get(model).loss },
	}, &reason
}

// quote is what is expected of a model's answer.
type quote struct {
	price    float64    // +Inf if it can't be asked
	loss     float64    // share of the value that is lost because the answer is late
	obstacle KeepReason // why it can't be asked, or is not worth it; empty if there is no obstacle
}

const (
	// lateLoss is the share of an answer's value that is assumed to be lost if it begins after the target. Callers still use it, but what
	// they lose is not part of the configuration.
	lateLoss = 0.75
	// durationDeviation is the standard deviation of the logarithm of a stream's duration relative to the expected one: callers' estimates
	// of the length are only right at the median, and the time between events varies with the load of the endpoint.
	durationDeviation = 0.6
)

// quote returns what is expected of a model's answer. One that may be late, or may not end before the deadline, loses a part of its value.
func (s *routedStages) quote(ctx context.Context, model string, tariff object.Tariff, answerTokens int64) quote {
	q, ok := s.exchange.Quote(model)
	if !ok {
		return quote{price: math.Inf(1), obstacle: KeepNoEndpoint}
	}
	elapsed := s.p.Now().Sub(s.start)
	late := s.route.TargetLatency > 0 && elapsed+q.Delay > s.route.TargetLatency
	price := tariff.Price(q.Uncached, answerTokens) * s.p.Routes.EventIntervals.Congestion(s.service, model)
	out := quote{price: price, loss: 1 - s.chanceInTime(ctx, model, answerTokens, q.Delay)}
	if out.loss > 0.5 {
		out.obstacle = KeepDeadline
	}
	if late && elapsed <= s.route.TargetLatency { // the answer at hand is in time
		out.loss += (1 - out.loss) * lateLoss
		out.obstacle = KeepLate
	}
	return out
}

// chanceInTime returns the chance that a model's answer ends before the deadline if it begins after a delay.
func (s *routedStages) chanceInTime(ctx context.Context, model string, tokens int64, delay time.Duration) float64 {
	deadline, ok := ctx.Deadline()
	duration := s.expectedDuration(model, tokens)
	if !ok || duration == 0 {
		return 1
	}
	left := deadline.Sub(s.p.Now()) - delay
	if left <= 0 {
		return 0
	}
	return 0.5 * math.Erfc(-math.Log(float64(left)/float64(duration))/(durationDeviation*math.Sqrt2))
}

// expectedDuration returns the time that a model's stream with the given number of tokens probably takes, or 0 if the caller gave
// no estimate of the length or the time for an event is not known.
func (s *routedStages) expectedDuration(model string, tokens int64) time.Duration {
	svc := s.view.Services[s.service]
	if svc == nil || svc.Routed == nil || svc.Routed.TokensPerEvent <= 0 || s.r.Meta.ExpectedTokens <= 0 {
		return 0
	}
	events := float64(tokens) / float64(svc.Routed.TokensPerEvent)
	return time.Duration(s.p.Routes.EventIntervals.MeanMillis(s.service, model) * events * float64(time.Millisecond))
}
