package pipeline

import (
	"context"
	"fmt"

	"github.com/bramleytrail/bramleytrail/bill"
	"github.com/bramleytrail/bramleytrail/cascade"
	"github.com/bramleytrail/bramleytrail/choose"
	"github.com/bramleytrail/bramleytrail/dispatch"
	"github.com/bramleytrail/bramleytrail/result"
)

// climb runs the steps of a cascade until an answer is not doubtful. If a later step can't be run, a doubtful answer of
// the step before it is delivered, unless it was refused or failed.
func (s *chatStages) climb(ctx context.Context) error {
	steps := s.choice.Candidates
	for i := range steps {
		next, err := s.send(ctx, steps[i:i+1], i)
		if err != nil {
			if s.answer != nil {
				return nil
			}
			if i == len(steps)-1 || result.From(err).Code == result.CallerGone {
				return s.withCalls(ctx, err)
			}
			s.p.Climbs.Add(s.choice.Cascade.Name, true)
			continue
		}
		s.leave()
		s.answer, s.source = next, next
		if i == len(steps)-1 {
			return nil
		}
		held, reason := cascade.Evaluate(s.choice.Cascade, next, s.chat.Stream, s.p.Now)
		s.source = held
		s.p.Climbs.Add(s.choice.Cascade.Name, reason != cascade.Confident)
		switch reason {
		case cascade.Confident:
			return nil
		case cascade.Refused, cascade.CallFailed:
			s.leave()
		}
	}
	return nil
}

// leave ends the current step's answer and keeps its cost and attempts for the request's bill.
func (s *chatStages) leave() {
	if s.answer == nil {
		return
	}
	s.answer.Close()
	s.keepCall()
	s.outcome.Attempts = append(s.outcome.Attempts, s.answer.Attempts()...)
	s.answer, s.source = nil, nil
}

func (s *chatStages) keepCall() {
	if u := s.answer.Usage(); u.OutputTokens > 0 {
		s.calls = append(s.calls, bill.ModelCall(s.answer.Version(), u.InputTokens, u.OutputTokens))
	}
}

// withCalls bills the steps that ran before the last one failed, and says so in the error.
func (s *chatStages) withCalls(ctx context.Context, err error) error {
	if len(s.calls) == 0 {
		return err
	}
	e := *result.From(err)
	e.Ran = max(e.Ran, result.RunUnknown)
	s.writeBill(ctx, e.Code)
	return &e
}

// send dispatches one step. The later steps have call names of their own, because an endpoint may serve several steps.
func (s *chatStages) send(ctx context.Context, candidates []choose.Candidate, step int) (*dispatch.Answer, error) {
	id := s.r.ID
	if step > 0 {
		id = fmt.Sprintf("%s-step%d", id, step+1)
	}
	return s.p.Dispatch.Do(ctx, s.call(id, candidates))
}
