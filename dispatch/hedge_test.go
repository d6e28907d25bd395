package dispatch

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/poison"
	"github.com/bramleytrail/bramleytrail/pool"
	"github.com/bramleytrail/bramleytrail/result"
)

// delayedClient is an engine client whose calls return their first token, or fail, after the times of a plan. It
// records the IDs of calls and cancellations.
type delayedClient struct {
	engine.Client // nil; dispatch does not call its other methods

	mu        sync.Mutex
	plan      []callScript // by call, in their order; the last entry applies to all further calls
	calls     []string
	cancelled []string
	boot      string
}

// callScript is the behaviour of one call. The zero value answers at once.
type callScript struct {
	after time.Duration // until the first token or the failure
	err   error
}

const noAnswer = time.Hour

// testFingerprint is the fingerprint of a request whose hedge delay has no jitter.
const testFingerprint = uint64(hedgeJitter)

func (c *delayedClient) Stream(ctx context.Context, _ string, r engine.Request) (engine.Stream, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.plan[min(len(c.calls), len(c.plan)-1)]
	c.calls = append(c.calls, r.ID)
	return &delayedStream{ctx: ctx, callScript: p, id: r.ID}, nil
}

func (c *delayedClient) Resume(context.Context, string, string, int64) (engine.Stream, error) {
	return nil, engine.ErrUnknownStream
}

func (c *delayedClient) Cancel(_ context.Context, _, id string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled = append(c.cancelled, id)
	return nil
}

func (c *delayedClient) Load(context.Context, string) (engine.Load, error) {
	return engine.Load{Boot: c.boot, Completed: 100}, nil
}

type delayedStream struct {
	ctx context.Context
	callScript
	id  string
	seq int64
}

func (s *delayedStream) Boot() string { return "b" }
func (s *delayedStream) Close() error { return nil }

func (s *delayedStream) Next() (engine.Event, error) {
	if s.seq == scriptedTokens {
		return engine.Event{}, io.EOF
	}
	if s.seq == 0 {
		select {
		case <-time.After(s.after):
		case <-s.ctx.Done():
			return engine.Event{}, s.ctx.Err()
		}
		if s.err != nil {
			return engine.Event{}, s.err
		}
	}
	s.seq++
	return engine.Event{Seq: s.seq, Text: s.id}, nil
}

// hedgeFixture is a filter that hedges requests, with endpoints of 10 slots each. It records the outcomes of hedges.
type hedgeFixture struct {
	*Filter
	pool     *pool.Pool
	in       Input
	outcomes []HedgeOutcome
}

func newHedgeFixture(c engine.Client, endpoints int) *hedgeFixture {
	f, p, in := newFixture(c, endpoints, object.EndpointLimits{Slots: 10, ColdSlots: 10, Tokens: 300})
	x := &hedgeFixture{Filter: f, pool: p, in: in}
	f.spec.HedgeShare, f.hedgeBudget = 0.05, newBudget(0.05, hedgeReserve)
	f.spec.OnHedge = func(o HedgeOutcome) { x.outcomes = append(x.outcomes, o) }
	x.in.RequestID, x.in.Fingerprint = "r", testFingerprint
	return x
}

// checkIdle fails the test if slots or tokens are still reserved.
func (x *hedgeFixture) checkIdle(t *testing.T) {
	t.Helper()
	synctest.Wait()
	for _, s := range x.pool.Dump(time.Now(), 10) {
		if s.InFlight != 0 || s.Tokens != 0 {
			t.Errorf("%s: %d in flight, %d tokens reserved after all requests", s.ID, s.InFlight, s.Tokens)
		}
	}
}

// Guards against requests that wait for the first-byte timeout of an unresponsive endpoint because they are not hedged,
// and against hedges that must not be sent, answers mixed from two calls, and losing calls that are not cancelled or
// keep their reservation.
func TestHedge(t *testing.T) {
	for _, test := range []struct {
		name      string
		plan      []callScript
		once      bool
		suspect   bool
		spent     bool
		busy      int           // requests in flight at each endpoint from the beginning
		want      time.Duration // until the first token
		outcomes  []HedgeOutcome
		calls     int
		cancelled []string
	}{
		{name: "silent endpoint", plan: []callScript{{after: noAnswer}, {after: 50 * time.Millisecond}}, want: maxHedgeDelay + 50*time.Millisecond, outcomes: []HedgeOutcome{HedgeWon}, calls: 2, cancelled: []string{"r-1"}},
		{name: "in time", plan: []callScript{{after: maxHedgeDelay - 1}, {}}, want: maxHedgeDelay - 1, calls: 1},
		{name: "both answer, first first", plan: []callScript{{after: 400 * time.Millisecond}, {after: 60 * time.Millisecond}}, want: 400 * time.Millisecond, outcomes: []HedgeOutcome{HedgeLost}, calls: 2, cancelled: []string{"r-2"}},
		{name: "both answer, hedge first", plan: []callScript{{after: 400 * time.Millisecond}, {after: 50 * time.Millisecond}}, want: 395 * time.Millisecond, outcomes: []HedgeOutcome{HedgeWon}, calls: 2, cancelled: []string{"r-1"}},
		{name: "first fails after the hedge", plan: []callScript{{after: 400 * time.Millisecond, err: engine.ErrFailed}, {after: 100 * time.Millisecond}}, want: 445 * time.Millisecond, outcomes: []HedgeOutcome{HedgeWon}, calls: 2},
		{name: "hedge fails", plan: []callScript{{after: 500 * time.Millisecond}, {after: 10 * time.Millisecond, err: engine.ErrFailed}}, want: 500 * time.Millisecond, outcomes: []HedgeOutcome{HedgeLost}, calls: 2},
		{name: "both fail", plan: []callScript{{after: 400 * time.Millisecond, err: engine.ErrFailed}, {after: 100 * time.Millisecond, err: engine.ErrFailed}, {}}, want: 445 * time.Millisecond, outcomes: []HedgeOutcome{HedgeFailed}, calls: 3},
		{name: "budget used up", plan: []callScript{{after: time.Second - 1}, {}}, spent: true, want: time.Second - 1, outcomes: []HedgeOutcome{HedgeNoBudget}, calls: 1},
		{name: "may run only once", plan: []callScript{{after: time.Second - 1}, {}}, once: true, want: time.Second - 1, calls: 1},
		{name: "suspect", plan: []callScript{{after: time.Second - 1}, {}}, suspect: true, want: time.Second - 1, calls: 1},
		{name: "near the limit", plan: []callScript{{after: time.Second - 1}, {}}, busy: 9, want: time.Second - 1, outcomes: []HedgeOutcome{HedgeNoCapacity}, calls: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &delayedClient{plan: test.plan, boot: "b"}
				x := newHedgeFixture(c, 3)
				x.in.AtMostOnce = test.once
				if test.suspect {
					x.spec.Poison.Add(poison.Record{Fingerprint: testFingerprint, Crash: "llm-9/a"}, time.Now())
				}
				if test.spent {
					x.hedgeBudget = newBudget(0, 0)
				}
				for range test.busy * 3 {
					r, _, ok := x.pool.Pick(pool.Query{Service: "llm", Version: "v", KeepHeadroom: true}, time.Now())
					if !ok {
						t.Fatal("no capacity for the requests in flight from the beginning")
					}
					defer r.Release(pool.Succeeded, time.Now())
				}
				start := time.Now()
				a, err := x.Do(t.Context(), x.in)
				if err != nil {
					t.Fatal(err)
				}
				if got := time.Since(start); got != test.want {
					t.Errorf("first token after %s; want %s", got, test.want)
				}
				texts := readTexts(t, a)
				a.Close()
				synctest.Wait()
				if len(texts) != scriptedTokens || len(slices.Compact(texts)) != 1 {
					t.Errorf("answer of %v; want %d parts of one call", texts, scriptedTokens)
				}
				if u := a.Usage(); u.OutputTokens != scriptedTokens || u.InputTokens != x.in.Tokens {
					t.Errorf("usage %+v; want that of one call", u)
				}
				if !slices.Equal(x.outcomes, test.outcomes) || len(c.calls) != test.calls || !slices.Equal(c.cancelled, test.cancelled) {
					t.Errorf("outcomes %v, calls %v, cancelled %v; want %v, %d, %v", x.outcomes, c.calls, c.cancelled, test.outcomes, test.calls, test.cancelled)
				}
				if test.busy == 0 {
					x.checkIdle(t)
				}
			})
		})
	}
}

func readTexts(t *testing.T, a *Answer) []string {
	var texts []string
	for {
		ev, err := a.Next()
		if err == io.EOF {
			return texts
		}
		if err != nil {
			t.Fatal(err)
		}
		texts = append(texts, ev.Text)
	}
}

// Guards against calls that continue after their request was cancelled, by its caller or because the daemon stops,
// before either call of the race had answered.
func TestHedgeEndsWithItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newHedgeFixture(&delayedClient{plan: []callScript{{after: noAnswer}}, boot: "b"}, 3)
		ctx, cancel := context.WithTimeoutCause(t.Context(), 500*time.Millisecond, context.Canceled)
		defer cancel()
		start := time.Now()
		_, err := x.Do(ctx, x.in)
		if e := result.From(err); e == nil || e.Code != result.CallerGone || e.Ran != result.RunUnknown || time.Since(start) != 500*time.Millisecond {
			t.Errorf("error %v after %s; want caller gone, perhaps run, after 500ms", err, time.Since(start))
		}
		x.checkIdle(t)
	})
}

// Guards against a crash that is not counted because the other call of the race was still in progress.
func TestHedgeRecordsCrashes(t *testing.T) {
	for name, second := range map[string]callScript{"both crash": {after: 100 * time.Millisecond, err: engine.ErrBroken}, "one crashes": {after: 100 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &delayedClient{plan: []callScript{{after: 400 * time.Millisecond, err: engine.ErrBroken}, second, {}}, boot: "anew"}
				x := newHedgeFixture(c, 3)
				var crashes []string
				x.spec.OnCrash = func(r poison.Record) {
					c.mu.Lock()
					defer c.mu.Unlock()
					crashes = append(crashes, r.Crash)
				}
				if err := serve(t.Context(), x.Filter, x.in); err != nil {
					t.Fatal(err)
				}
				x.checkIdle(t)
				want := 1
				if second.err != nil {
					want = 2
				}
				if len(crashes) != want || x.spec.Poison.Crashes(testFingerprint, time.Now()) != 0 {
					t.Errorf("crashes %v, want %d; %d still count after the answer, want 0", crashes, want, x.spec.Poison.Crashes(testFingerprint, time.Now()))
				}
			})
		})
	}
}

// Guards against hedges that multiply the load while every first token is late, and against a hedge delay that becomes
// shorter because the times of cancelled calls are not counted.
func TestHedgesStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &delayedClient{plan: []callScript{{after: 900 * time.Millisecond}}, boot: "b"}
		x := newHedgeFixture(c, 3)
		const requests = 1000
		for i := range requests {
			x.in.RequestID, x.in.Fingerprint = fmt.Sprint(i), uint64(i+1)
			if err := serve(t.Context(), x.Filter, x.in); err != nil {
				t.Fatal(err)
			}
		}
		if maxCalls := requests + requests/20 + hedgeReserve; len(c.calls) > maxCalls || len(c.calls) == requests {
			t.Errorf("%d calls for %d requests; want at most %d", len(c.calls), requests, maxCalls)
		}
		if d := x.firstTokenTimes.hedgeDelay("v"); d != maxHedgeDelay {
			t.Errorf("hedge delay %s; want %s", d, maxHedgeDelay)
		}
		x.checkIdle(t)
	})
}
