package dispatch

import (
	"context"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/keyed"
	"github.com/bramleytrail/bramleytrail/poison"
	"github.com/bramleytrail/bramleytrail/result"
)

// survivalTime is the time after the start of an answer from which on the endpoint is known to bear the prompt's parts at the start of
// an answer.
const survivalTime = 100 * time.Millisecond

// sharedParts returns the IDs of the prompt's parts that other requests may share: all but the last one.
func sharedParts(parts []engine.PromptPart) []uint64 {
	if len(parts) == 0 {
		return nil
	}
	ids := make([]uint64, len(parts)-1)
	for i := range ids {
		ids[i] = parts[i].ID
	}
	return ids
}

// checkParts returns an error if a request with the given parts must not run, whatever the daemons agree on. ran is the state of its
// earlier attempts.
func (f *Filter) checkParts(parts []uint64, ran result.Ran) error {
	if v, _, wait := f.spec.Poison.Parts.Admit(parts, f.spec.Now()); v == poison.PartsRefused {
		return refuseSuspect(wait, ran)
	}
	return nil
}

// admitParts is asked right before a request is sent, since it may have waited for capacity. It returns an error if the request must
// not run because of a part of its prompt, also if it may only run as a trial to which the daemons did not agree.
func (f *Filter) admitParts(ctx context.Context, parts []uint64, ran result.Ran) error {
	v, set, wait := f.spec.Poison.Parts.Admit(parts, f.spec.Now())
	switch {
	case v == poison.PartsAllowed:
		return nil
	case v == poison.PartsRefused:
		return refuseSuspect(wait, ran)
	case f.spec.GrantTrial == nil || !f.spec.GrantTrial(ctx, set):
		return refuseSuspect(defaultRetryAfter, ran)
	}
	f.spec.Poison.Parts.BeginTrial(set, f.spec.Now())
	return nil
}

func refuseSuspect(wait time.Duration, ran result.Ran) error {
	return &result.Error{Code: result.SuspectRequest, Ran: ran, RetryAfter: min(wait, maxRetryAfter)}
}

// soundParts records that a request of a team with the parts got a complete answer, and returns the records that other daemons must have.
func (f *Filter) soundParts(team string, parts []uint64) []poison.Record {
	owner := keyed.OwnerOf(team)
	if cleared := f.spec.Poison.Parts.MarkSound(owner, parts, f.spec.Now()); len(cleared) > 0 {
		return []poison.Record{{Sound: true, Parts: cleared, Team: owner}}
	}
	return nil
}

// sendCleared sends records in favor of requests or parts to the other daemons.
func (f *Filter) sendCleared(records []poison.Record) {
	if len(records) > 0 && f.spec.OnClear != nil {
		f.spec.OnClear(records)
	}
}

// survival follows an answer until its endpoint has gone on answering for survivalTime.
type survival struct {
	begunAt time.Time // when the first part of the answer arrived
	done    bool
}

// progress records that a part of the answer to a request of a team with the given parts arrived.
func (s *survival) progress(f *Filter, team string, parts []uint64, now time.Time) {
	if s.begunAt.IsZero() {
		s.begunAt = now
	}
	if s.done || len(parts) == 0 {
		return
	}
	if now.Sub(s.begunAt) < survivalTime {
		return
	}
	s.done = true
	owner := keyed.OwnerOf(team)
	if suspected := f.spec.Poison.Parts.MarkSurvived(owner, parts); len(suspected) > 0 {
		f.sendCleared([]poison.Record{{Survived: true, Parts: suspected, Team: owner}})
	}
}
