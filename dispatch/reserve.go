package dispatch

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/bramleytrail/bramleytrail/choose"
	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/poison"
	"github.com/bramleytrail/bramleytrail/pool"
	"github.com/bramleytrail/bramleytrail/queue"
	"github.com/bramleytrail/bramleytrail/result"
)

const (
	// continuationPriority is the priority of a request whose answer has begun: its caller waits in mid-stream.
	continuationPriority = 9
	// continuationWait is the minimum time limit for waiting for capacity to continue an answer that has begun. The
	// caller can't complete the answer with that to another request, and endpoints that failed together return within
	// this time.
	continuationWait = 30 * time.Second
	// suspectRetryInterval is the time after which a request that must run in isolation tries again to reserve
	// capacity.
	suspectRetryInterval = 50 * time.Millisecond
	// maxRetryAfter bounds the delay after which a caller is told to retry, since longer predictions are unreliable.
	maxRetryAfter = 30 * time.Second
)

// reserveRequest describes the capacity that a request waits for and, once the wait has ended, its result.
type reserveRequest struct {
	view       *config.View
	team       string
	priority   int
	queries    []pool.Query // the preferred one first
	granted    pool.Reservation
	queryIndex int // index of the query that was granted
	// fingerprint identifies the request in the crash table; 0 for plain services.
	fingerprint uint64
	shortage    pool.Shortage // why the last try found no capacity
	full        bool          // whether the wait failed because the endpoints are full
	maxWait     time.Duration // from which deadline is computed
	deadline    time.Time     // of the wait
	// refresh applies the newest configuration to view and queries. It fails if that no longer allows the request.
	refresh func(*reserveRequest) error
	err     error // of the last refresh
}

// reserve waits for capacity at an endpoint of one of the candidates, the preferred one first. Each try uses the newest
// configuration. If servedBy is not nil, the answer has begun, and only its version may continue it.
func (f *Filter) reserve(ctx context.Context, in *Input, servedBy *choose.Candidate, exclude []string) (reservation, error) {
	w := reserveRequest{team: in.Team, priority: in.Priority, maxWait: f.spec.QueueWait, fingerprint: in.Fingerprint}
	if servedBy != nil {
		w.priority, w.maxWait = continuationPriority, max(continuationWait, f.spec.QueueWait)
	}
	var candidates []choose.Candidate
	w.refresh = func(w *reserveRequest) error {
		list, err := in.refreshCandidates(servedBy)
		if err != nil || w.view == in.View {
			return err
		}
		w.view, candidates, w.queries = in.View, list, nil
		for _, c := range list {
			w.queries = append(w.queries, pool.Query{Service: c.Service, Version: c.Version.Name, Tokens: in.Tokens + in.MaxTokens, Exclude: exclude,
				Prefix: in.Prefix, Prompt: in.Tokens})
		}
		return nil
	}
	if err := f.waitForCapacity(ctx, &w); err != nil {
		return reservation{}, err
	}
	c := candidates[w.queryIndex]
	t := in.View.Services[c.Service].Timeouts
	return reservation{w.granted, c, timeouts{t.FirstByte, t.Progress}}, nil
}

// waitForCapacity waits in the queue until w.granted is reserved. Otherwise it returns the error of refresh or a
// *result.Error with the reason why there is no capacity.
func (f *Filter) waitForCapacity(ctx context.Context, w *reserveRequest) error {
	if ctx.Err() != nil {
		return contextError(ctx, result.NotRun)
	}
	if err := w.refresh(w); err != nil {
		return err
	}
	w.deadline = f.spec.Now().Add(w.maxWait)
	if d, ok := ctx.Deadline(); ok && d.Before(w.deadline) {
		w.deadline = d
	}
	t := queue.Request{Flow: fmt.Sprintf("%s/%d", w.team, w.priority), Weight: flowWeight(w.view, w.team, w.priority), Deadline: w.deadline}
	for _, q := range w.queries {
		t.Keys = append(t.Keys, queue.Key{Service: q.Service, Version: q.Version})
	}
	t.Try = func(now time.Time) queue.TryResult { return f.tryReserve(w, now, false) }
	t.Check = func(now time.Time) queue.TryResult { return f.tryReserve(w, now, true) }
	r := f.queue.Wait(ctx, t)
	if w.err != nil && r.Reason != queue.Granted {
		return w.err
	}
	switch r.Reason {
	case queue.Granted:
		return nil
	case queue.Cancelled:
		return contextError(ctx, result.NotRun)
	default:
		w.full = r.Reason == queue.Full || r.Reason == queue.TooLong || w.shortage.Full > 0
		return noEndpointError(w.shortage, r)
	}
}

// flowWeight returns the weight of a team's requests in the queue: its share, doubled with each level of priority.
// Under overload a higher level goes first without starving the lower ones.
func flowWeight(view *config.View, team string, priority int) float64 {
	share := 1
	if t := view.Teams[team]; t != nil {
		share = max(1, t.Share)
	}
	return math.Ldexp(float64(share), priority)
}

// tryReserve reserves capacity at an endpoint of the first query that has some. With dry, it only reports whether there
// is any. It is called with the queue's lock held.
func (f *Filter) tryReserve(w *reserveRequest, now time.Time, dry bool) queue.TryResult {
	if w.err = w.refresh(w); w.err != nil {
		return queue.TryResult{Infeasible: true}
	}
	v := queue.TryResult{Infeasible: true, Exhausted: true}
	suspect := w.fingerprint != 0 && f.spec.Poison.Crashes(w.fingerprint, now) >= poison.IsolateAfter
	for i, q := range w.queries {
		q.DryRun, q.Suspect = dry, suspect
		q.OnlyRankZero = suspect && f.spec.Pool.HasRankZero(q.Service, q.Version, now)
		r, s, ok := f.spec.Pool.Pick(q, now)
		if !ok && s.Excluded > 0 && s.Infeasible() { // all endpoints failed: take the first one that is available again
			q.Exclude = nil
			r, s, ok = f.spec.Pool.Pick(q, now)
		}
		if ok {
			w.granted, w.queryIndex = r, i
			return queue.TryResult{OK: true}
		}
		w.shortage = s
		returnsInTime := s.Ejected > 0 && s.RetryAt.Before(w.deadline)
		s.Ejected = 0
		v.Infeasible = v.Infeasible && s.Infeasible() && !returnsInTime
		v.LacksMemory = v.LacksMemory || s.TokensFull > 0
		v.Exhausted = v.Exhausted && s.TokensFull+s.TooLarge+s.Suspect+s.Excluded == 0
		if s.Suspect > 0 { // a suspect may be cleared without a release
			s.RetryAt = now.Add(suspectRetryInterval)
		}
		if v.RetryAt.IsZero() || !s.RetryAt.IsZero() && s.RetryAt.Before(v.RetryAt) {
			v.RetryAt = s.RetryAt
		}
	}
	return v
}

// noEndpointError returns the result of a request that got no capacity and did not run, with the reason for the caller.
func noEndpointError(s pool.Shortage, r queue.Result) error {
	reason := map[queue.Reason]string{
		queue.Full: "The queue is full.", queue.TooLong: "The wait would be too long.", queue.TimedOut: "The wait was too long.",
		queue.Infeasible: "Waiting is useless.",
	}[r.Reason]
	retry := min(max(r.Wait, defaultRetryAfter), maxRetryAfter)
	return result.Newf(result.NoEndpoint, "%s Of %d endpoints, %d are out of service, %d are leaving, %d failed or want no requests now, %d are full, %d lack memory, %d are too small for the request, %d gave no report.",
		reason, s.Listed, s.DomainOut, s.Leaving, s.Ejected, s.Full, s.TokensFull, s.TooLarge, s.Stale).WithRetryAfter(retry)
}
