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
	// continuePriority is the priority of a request whose answer has begun: its caller waits in mid-stream.
	continuePriority = 9
	// continueWait is the longest wait for room to continue an answer that has begun: its caller can't use the rest of the
	// answer of another request, and endpoints that failed together come back within it.
	continueWait = 30 * time.Second
	// suspectPause is the time after which a request that has to run in isolation looks again.
	suspectPause = 50 * time.Millisecond
	// maxRetryAfter bounds the time after which a caller is told to retry, since predictions beyond it are worthless.
	maxRetryAfter = 30 * time.Second
)

// want is the room that a request waits for.
type want struct {
	view     *config.View
	team     string
	priority int
	queries  []pool.Query // the preferred one first
	got      pool.Reservation
	index    int // of the query that got room
	// fingerprint identifies the request to the table of crashes; 0 for plain services.
	fingerprint uint64
	short       pool.Shortage
	longest     time.Duration // wait
	deadline    time.Time
	// renew applies the newest configuration to view and queries. It fails if that no longer allows the request.
	renew func(*want) error
	err   error // of renew
}

// reserve waits for room at an endpoint of one of the candidates, the preferred one first. Each try uses the newest
// configuration. An answer that has begun is continued by its own version only.
func (f *Filter) reserve(ctx context.Context, in *Input, begun *choose.Candidate, exclude []string) (room, error) {
	w := want{team: in.Team, priority: in.Priority, longest: f.spec.QueueWait, fingerprint: in.Fingerprint}
	if begun != nil {
		w.priority, w.longest = continuePriority, max(continueWait, f.spec.QueueWait)
	}
	var candidates []choose.Candidate
	w.renew = func(w *want) error {
		list, err := in.newest(begun)
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
	if err := f.wait(ctx, &w); err != nil {
		return room{}, err
	}
	c := candidates[w.index]
	t := in.View.Services[c.Service].Timeouts
	return room{w.got, c, timeouts{t.FirstByte, t.Progress}}, nil
}

// wait fills in got, or returns why there is no room.
func (f *Filter) wait(ctx context.Context, w *want) error {
	if ctx.Err() != nil {
		return contextError(ctx, result.NotRun)
	}
	if err := w.renew(w); err != nil {
		return err
	}
	w.deadline = f.spec.Now().Add(w.longest)
	if d, ok := ctx.Deadline(); ok && d.Before(w.deadline) {
		w.deadline = d
	}
	t := queue.Ticket{Flow: fmt.Sprintf("%s/%d", w.team, w.priority), Weight: weight(w.view, w.team, w.priority), Deadline: w.deadline}
	for _, q := range w.queries {
		t.Keys = append(t.Keys, queue.Key{Service: q.Service, Version: q.Version})
	}
	t.Try = func(now time.Time) queue.Verdict { return f.try(w, now, false) }
	t.Check = func(now time.Time) queue.Verdict { return f.try(w, now, true) }
	r := f.queue.Wait(ctx, t)
	if w.err != nil && r.Reason != queue.Granted {
		return w.err
	}
	switch r.Reason {
	case queue.Granted:
		return nil
	case queue.Left:
		return contextError(ctx, result.NotRun)
	default:
		return noEndpoint(w.short, r)
	}
}

// weight is a team's share, doubled with each level of priority. A higher level goes first under overload, but a lower
// one is not starved.
func weight(view *config.View, team string, priority int) float64 {
	share := 1
	if t := view.Teams[team]; t != nil {
		share = max(1, t.Share)
	}
	return math.Ldexp(float64(share), priority)
}

// try reserves room at an endpoint of the first candidate that has some, or only finds out whether there is any.
func (f *Filter) try(w *want, now time.Time, dry bool) queue.Verdict {
	if w.err = w.renew(w); w.err != nil {
		return queue.Verdict{Hopeless: true}
	}
	v := queue.Verdict{Hopeless: true, Common: true}
	suspect := w.fingerprint != 0 && f.spec.Poison.Crashes(w.fingerprint, now) >= poison.IsolateAfter
	for i, q := range w.queries {
		q.Dry, q.Suspect = dry, suspect
		q.OnlyRankZero = suspect && f.spec.Pool.HasRankZero(q.Service, q.Version, now)
		r, s, ok := f.spec.Pool.Pick(q, now)
		if !ok && s.Excluded > 0 && s.Hopeless() { // every endpoint failed; the first one that comes back has to do
			q.Exclude = nil
			r, s, ok = f.spec.Pool.Pick(q, now)
		}
		if ok {
			w.got, w.index = r, i
			return queue.Verdict{OK: true}
		}
		w.short = s
		returnsInTime := s.Ejected > 0 && s.Returns.Before(w.deadline)
		s.Ejected = 0
		v.Hopeless = v.Hopeless && s.Hopeless() && !returnsInTime
		v.Memory = v.Memory || s.TokensFull > 0
		v.Common = v.Common && s.TokensFull+s.TooLarge+s.Suspect+s.Excluded == 0
		if s.Suspect > 0 { // it may be cleared without any release
			s.Returns = now.Add(suspectPause)
		}
		if v.Returns.IsZero() || !s.Returns.IsZero() && s.Returns.Before(v.Returns) {
			v.Returns = s.Returns
		}
	}
	return v
}

// noEndpoint describes why a request got no room. It did not run.
func noEndpoint(s pool.Shortage, r queue.Result) error {
	why := map[queue.Reason]string{
		queue.Full: "The queue is full.", queue.TooLong: "The wait would be too long.", queue.TimedOut: "The wait was too long.",
		queue.Hopeless: "Waiting is useless.",
	}[r.Reason]
	retry := min(max(r.Wait, fullRetry), maxRetryAfter)
	return result.Newf(result.NoEndpoint, "%s Of %d endpoints, %d are out of service, %d failed, %d are full, %d lack memory, %d are too small for the request, %d gave no report.",
		why, s.Listed, s.DomainOut, s.Ejected, s.Full, s.TokensFull, s.TooLarge, s.Stale).WithRetry(retry)
}
