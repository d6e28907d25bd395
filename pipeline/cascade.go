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

// runCascade dispatches the steps of a cascade in turn until one gives an answer that need not escalate. If a later step
// can't be dispatched, the doubtful answer of the step before it is delivered, unless the model refused or the answer broke
// off.
func (s *chatStages) runCascade(ctx context.Context) error {
	steps := s.choice.Candidates
	for i := range steps {
		next, err := s.dispatchStep(ctx, steps[i:i+1], i)
		if err != nil {
			if s.answer != nil {
				return nil
			}
			if i == len(steps)-1 || result.From(err).Code == result.CallerGone {
				return s.billEarlierSteps(ctx, err)
			}
			s.p.Escalations.Add(s.choice.Cascade.Name, true)
			continue
		}
		s.closeAnswer()
		s.answer, s.source = next, next
		if i == len(steps)-1 {
			return nil
		}
		buffered, reason := cascade.Evaluate(s.choice.Cascade, next, s.chat.Stream, s.r.Answer, s.p.Now)
		s.source = buffered
		s.p.Escalations.Add(s.choice.Cascade.Name, reason != cascade.Confident)
		switch reason {
		case cascade.Confident:
			return nil
		case cascade.Refused, cascade.CallFailed:
			s.closeAnswer()
		}
	}
	return nil
}

// closeAnswer closes the answer of the current step, if there is one, and records its cost and attempts for the bill and the
// outcome of the request.
func (s *chatStages) closeAnswer() {
	if s.answer == nil {
		return
	}
	s.answer.Close()
	s.recordCall()
	s.outcome.Attempts = append(s.outcome.Attempts, s.answer.Attempts()...)
	s.answer, s.source = nil, nil
}

// recordCall adds the tokens of the current step's answer to the bill. A step without output tokens is not billed.
func (s *chatStages) recordCall() {
	if u := s.answer.Usage(); u.OutputTokens > 0 {
		s.calls = append(s.calls, bill.ModelCall(s.answer.Version(), u.InputTokens, u.OutputTokens))
	}
}

// billEarlierSteps bills the steps that ran before the last one failed with err. If there are any, the returned error says
// that the request may have run.
func (s *chatStages) billEarlierSteps(ctx context.Context, err error) error {
	if len(s.calls) == 0 {
		return err
	}
	e := *result.From(err)
	e.Ran = max(e.Ran, result.RunUnknown)
	s.writeBill(ctx, e.Code)
	return &e
}

// dispatchStep dispatches one step. Later steps have a request ID of their own, because one endpoint may serve several steps.
func (s *chatStages) dispatchStep(ctx context.Context, candidates []choose.Candidate, step int) (*dispatch.Answer, error) {
	id := s.r.ID
	if step > 0 {
		id = fmt.Sprintf("%s-step%d", id, step+1)
	}
	return s.p.Dispatch.Do(ctx, s.dispatchInput(id, candidates))
}
