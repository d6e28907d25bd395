package dispatch

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/pool"
	"github.com/bramleytrail/bramleytrail/result"
)

// Guards against hopeless work that is sent, a promise that a request did not run after it may have, and refusals of services that do not
// report their speed, of idle ones and of answers that have begun.
func TestAdmissionOfHopelessWork(t *testing.T) {
	for name, c := range map[string]struct {
		speed     float64
		held      int // requests at 32 slots
		failure   error
		status    int
		lastEvent int64
		hopeless  int // attempt from which the time no longer suffices
		sent      int
		want      result.Code // OK for an answer
		ran       result.Ran
		refused   string
	}{
		"refused":       {1, 20, nil, 200, 0, 0, 0, result.NoEndpoint, result.NotRun, "deadline"},
		"no speed":      {0, 20, nil, 200, 0, 0, 1, result.OK, 0, ""},
		"idle":          {1, 10, nil, 200, 0, 0, 1, result.OK, 0, ""},
		"resumed":       {1, 20, nil, 200, 5, 0, 1, result.OK, 0, ""},
		"busy":          {1, 20, engine.ErrBusy, 0, 0, 1, 1, result.NoEndpoint, result.NotRun, "deadline"},
		"broken":        {1, 20, engine.ErrFailed, 0, 0, 1, 1, result.EndpointFailed, result.RunUnknown, "deadline"},
		"broken, idle":  {1, 10, engine.ErrFailed, 0, 0, 1, 3, result.EndpointFailed, result.RunUnknown, ""},
		"failed answer": {1, 20, nil, 500, 0, 1, 1, result.OK, 0, "deadline"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sent, refused, holding := 0, "", true
				f, in := routedFilter(t, routerFunc(func(ctx context.Context, addr string, r *engine.RoutedRequest) (*engine.RoutedResponse, error) {
					answer, _ := answerOK(ctx, addr, r)
					answer.Load = &engine.SlotLoad{RunningUnknown: true, Slowness: c.speed}
					if holding {
						return answer, nil
					}
					sent++
					answer.Status = c.status
					if c.failure != nil {
						return nil, c.failure
					}
					return answer, nil
				}))
				f.spec.OnNotAdmitted = func(_, reason string) { refused += reason }
				for range c.held {
					if _, err := f.NewExchange(t.Context(), in).Do("m", 0); err != nil {
						t.Fatal(err)
					}
				}
				holding = false
				in.Duration = func(string) time.Duration {
					if sent < c.hopeless {
						return 0
					}
					return 10 * time.Second
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				answer, err := f.NewExchange(ctx, in).Do("m", c.lastEvent)
				if err == nil && answer.Status == http.StatusInternalServerError && (answer.Retry() || answer.exchange.NotAdmitted() == "") {
					t.Error("a hopeless repeat, or no reason")
				}
				got := &result.Error{}
				if err != nil {
					got = result.From(err)
				}
				if got.Code != c.want || got.Ran != c.ran || sent != c.sent || refused != c.refused {
					t.Errorf("%v, sent %d times, refused for %q", err, sent, refused)
				}
				if refused != "" && err != nil && (got.RetryAfter <= 0 || got.RetryAfter > time.Second/3) {
					t.Errorf("Retry-After %v", got.RetryAfter)
				}
			})
		})
	}
}

// Guards against a request that waits until its time is over at a daemon without requests, whose endpoints were full of others' when it last heard of them.
func TestWaitEndsWhenReportsAreOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, in := routedFilter(t, routerFunc(answerOK))
		in.Query.Target = 100 * time.Millisecond
		for range 4 {
			q := pool.Query{Service: "llm", Prompt: in.Prompt, Routed: &pool.RoutedQuery{Model: "m", Target: in.Query.Target}}
			r, _, ok := f.spec.Pool.Pick(q, time.Now())
			if !ok {
				t.Fatal("no endpoint")
			}
			r.RecordRoutedHeader(time.Millisecond, true, &engine.SlotLoad{Running: 20, Slots: 8, Slowness: 1}, 0, time.Now())
			r.Release(pool.Succeeded, time.Now().Add(100*time.Millisecond))
		}
		start := time.Now()
		answer, err := f.NewExchange(t.Context(), in).Do("m", 0)
		if waited := time.Since(start); err != nil || waited == 0 || waited > 100*time.Millisecond {
			t.Fatalf("waited for %v: %v", waited, err)
		}
		answer.Close()
	})
}
