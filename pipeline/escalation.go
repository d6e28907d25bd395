package pipeline

import (
	"cmp"
	"context"
	"math"
	"time"

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
	}
	e, obstacle := s.escalation(ctx)
	next := escalator.Next(e)
	if next < 0 {
		if e.MaxCalls < 1 {
			*obstacle = KeepAttempts
		}
		s.recordKept(a, *obstacle)
		return false
	}
	if !s.exchange.ReserveEscalation(s.rank()) {
		s.recordKept(a, KeepBudget)
		return false
	}
	if s.p.Routes.OnEscalate != nil {
		s.p.Routes.OnEscalate(EscalationOutcome{s.r.ID, s.modelName(), s.route.Models[next], a.Confidence, e.Value, e.Price(next)})
	}
	a.CountRun()
	a.MarkCancelled()
	a.Close()
	s.model = next
	return true
}

// recordKept reports an answer for which no larger model is asked, if it is doubtful.
func (s *routedStages) recordKept(a *dispatch.RoutedAnswer, reason KeepReason) {
	doubtful := s.model < len(s.route.Models)-1 && s.p.Routes.Escalator.LikelyPoor(a.Confidence)
	if doubtful && s.p.Routes.OnKeep != nil {
		s.p.Routes.OnKeep(KeptAnswer{s.r.ID, s.modelName(), a.Confidence, reason})
	}
}

// escalation describes the request and the answers so far to the escalator. obstacle says why a larger model whose price the escalator asked
// for can't be asked; it is KeepPrice if all can.
func (s *routedStages) escalation(ctx context.Context) (e cascade.Escalation, obstacle *KeepReason) {
	var service object.RoutedService
	if svc := s.view.Services[s.service]; svc != nil && svc.Routed != nil {
		service = *svc.Routed
	}
	tariffs := cascade.Tariffs(&service, s.route.Models)
	answerTokens := max(1, cmp.Or(s.r.Meta.ExpectedTokens, s.r.Meta.MaxTokens))
	prices := map[int]float64{}
	reason := KeepPrice
	return cascade.Escalation{
		Models: s.route.Models, Answers: s.answers, MaxCalls: s.exchange.RemainingCalls(),
		Value: cascade.Value(s.p.Routes.AnswerValue, tariffs[len(tariffs)-1], s.r.Meta.Prompt, answerTokens),
		Price: func(model int) float64 {
			price, known := prices[model]
			if !known {
				var o KeepReason
				if price, o = s.escalationPrice(ctx, s.route.Models[model], tariffs[model], answerTokens); o != "" {
					reason = o
				}
				prices[model] = price
			}
			return price
		},
	}, &reason
}

// escalationPrice returns the expected price of a larger model's answer, or +Inf and the reason if it can't be asked or its answer would
// probably be late.
func (s *routedStages) escalationPrice(ctx context.Context, model string, tariff object.Tariff, answerTokens int64) (float64, KeepReason) {
	quote, ok := s.exchange.Quote(model)
	switch {
	case !ok:
		return math.Inf(1), KeepNoEndpoint
	case s.route.TargetLatency > 0 && s.p.Now().Sub(s.start)+quote.Delay > s.route.TargetLatency:
		return math.Inf(1), KeepLate
	case !s.fitsDeadline(ctx, model, answerTokens):
		return math.Inf(1), KeepDeadline
	}
	return cascade.CongestedPrice(tariff.Price(quote.Uncached, answerTokens), s.p.Routes.EventIntervals.Congestion(s.service, model)), ""
}

// durationMargin is the factor by which an answer may take longer than estimated. Callers' estimates of the length are only
// right at the median, and the time between events varies with the load of the endpoint.
const durationMargin = 1.5

// fitsDeadline reports whether a model's answer with the given number of tokens would probably end before the deadline. It is
// true if there is no deadline, or if the caller gave no estimate of the length or the length of an event is not known.
func (s *routedStages) fitsDeadline(ctx context.Context, model string, tokens int64) bool {
	deadline, ok := ctx.Deadline()
	duration := s.expectedDuration(model, tokens)
	if !ok || duration == 0 {
		return true
	}
	return s.p.Now().Add(time.Duration(durationMargin * float64(duration))).Before(deadline)
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
