package dispatch

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/poison"
	"github.com/bramleytrail/bramleytrail/pool"
	"github.com/bramleytrail/bramleytrail/relay"
)

// routerFunc implements engine.Router by a function.
type routerFunc func(ctx context.Context, addr string, r *engine.RoutedRequest) (*engine.RoutedResponse, error)

func (f routerFunc) Route(ctx context.Context, addr string, r *engine.RoutedRequest) (*engine.RoutedResponse, error) {
	return f(ctx, addr, r)
}

func answerOK(context.Context, string, *engine.RoutedRequest) (*engine.RoutedResponse, error) {
	return &engine.RoutedResponse{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("x")), Length: 1}, nil
}

// routedFilter returns a filter for a routed service with two endpoints in each of two failure domains, a and b, and a
// request to the service. The filter's daemon is in a.
func routedFilter(t *testing.T, router engine.Router) (*Filter, RoutedInput) {
	t.Helper()
	p := pool.New(pool.Spec{Self: "d", Domain: "a", Settle: time.Second, Rand: func() uint64 { return 0 }})
	set := object.Set{
		FailureDomains: []object.FailureDomain{{Name: "a", State: object.DomainIn}, {Name: "b", State: object.DomainIn}},
		Services:       []object.Service{{Name: "llm", Type: object.ServicePlain, Routed: &object.RoutedService{}}},
	}
	view := config.Index(config.Revision{Number: 1}, set)
	p.SetView(view, time.Now())
	list := hostlist.List{Hosts: []hostlist.Host{{ID: "d", Role: hostlist.RoleEntry, Domain: "a"}}}
	for _, id := range []string{"a0", "a1", "b0", "b1"} {
		list.Hosts = append(list.Hosts, hostlist.Host{ID: id, Role: hostlist.RoleEndpoint, Domain: id[:1], State: hostlist.StateLive, Addr: id, Service: "llm", Slots: 8})
	}
	p.SetHosts(list, time.Now())
	f := New(Spec{
		Pool: p, Poison: poison.NewTable(), Router: router, Rand: func() uint64 { return 0 }, QueueWait: time.Second, Now: time.Now,
		RetryRatio: 1, RetryWindow: 10 * time.Second, RetryReserve: func() float64 { return 100 },
	})
	return f, RoutedInput{
		View: view, Service: "llm", Prompt: 1000, Request: engine.RoutedRequest{ID: "r", Header: http.Header{}},
		Route:  &object.Route{Stream: true, Resumable: true, Attempts: 3, TargetLatency: time.Second, TargetGap: time.Second, Backends: []object.Backend{{Service: "llm", Weight: 1}}},
		Query:  pool.RoutedQuery{Model: "m", Target: time.Second, Gap: time.Second},
		Assign: func(*config.View, bool) (string, string) { return "", "" },
	}
}

// Guards against a prompt whose time is subtracted from an endpoint's pending work twice, when the answer begins and
// when it ends: the endpoint with the most requests would then look like the least loaded one.
func TestPromptWorkIsReleasedOnce(t *testing.T) {
	f, in := routedFilter(t, routerFunc(answerOK))
	for range 5 {
		answer, err := f.NewExchange(context.Background(), in).Do("m", 0)
		if err != nil {
			t.Fatal(err)
		}
		answer.CountRun()
		answer.Close()
	}
	for _, s := range f.spec.Pool.Dump(time.Now(), 10) {
		if s.PrefillMs != 0 || s.InFlight != 0 {
			t.Errorf("%s: %g ms of prompts and %d requests pending after all answers; want 0", s.ID, s.PrefillMs, s.InFlight)
		}
	}
}

// hangUntilCancelled is a routerFunc that returns only when ctx ends.
func hangUntilCancelled(ctx context.Context, _ string, _ *engine.RoutedRequest) (*engine.RoutedResponse, error) {
	<-ctx.Done()
	return nil, context.Cause(ctx)
}

// Guards against requests that wait for the full stall timeout at an endpoint whose failure domain was already found to
// be unreachable by earlier requests.
func TestSilentDomainIsGivenUpEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sent []string
		f, in := routedFilter(t, routerFunc(func(ctx context.Context, addr string, r *engine.RoutedRequest) (*engine.RoutedResponse, error) {
			if sent = append(sent, addr); addr[0] == 'a' {
				return hangUntilCancelled(ctx, addr, r)
			}
			return answerOK(ctx, addr, r)
		}))
		timeRequest := func() time.Duration {
			start := time.Now()
			answer, err := f.NewExchange(context.Background(), in).Do("m", 0)
			if err != nil {
				t.Fatal(err)
			}
			answer.CountRun()
			answer.Close()
			return time.Since(start)
		}
		first := timeRequest()
		if want := time.Duration(stallTargetShare * float64(in.Route.TargetLatency)); first < want {
			t.Fatalf("an unresponsive endpoint was given up after %v, before its timeout of %v", first, want)
		}
		if sent[0][0] != 'a' || sent[len(sent)-1][0] != 'b' {
			t.Fatalf("first request sent to %v; want the first endpoint in a and the last in b", sent)
		}
		sent = nil
		if second := timeRequest(); second > minStallTimeout {
			t.Errorf("second request took %v, sent to %v; want at most %v", second, sent, minStallTimeout)
		}
	})
}

// Guards against a slow but healthy stream that is cut, and against a stream that is kept open forever by occasional
// bytes or comments without an event.
func TestSlowStreamLivesAndDrippingOneEnds(t *testing.T) {
	const events = 8
	for name, c := range map[string]struct {
		parts []string // sent in turn
		pause float64  // before each part, as a multiple of the route's gap
		ends  bool     // the stream is cut
	}{
		"slow":     {[]string{"id: N\ndata: x\n\n"}, gapTimeoutFactor - 1, false},
		"in parts": {[]string{"id: N\n", "data: x\n\n"}, (gapTimeoutFactor - 1) / 2, false},
		"bytes":    {[]string{"x"}, 0.5, true},
		"comments": {[]string{": still here\n\n"}, 0.5, true},
		"no data":  {[]string{"event: keep\n\n"}, 0.5, true},
		"silent":   {[]string{""}, 0.5, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, w := io.Pipe()
				f, in := routedFilter(t, routerFunc(func(ctx context.Context, _ string, _ *engine.RoutedRequest) (*engine.RoutedResponse, error) {
					context.AfterFunc(ctx, func() { _ = r.CloseWithError(context.Cause(ctx)) })
					return &engine.RoutedResponse{Status: http.StatusOK, Header: http.Header{}, Body: r}, nil
				}))
				var writer sync.WaitGroup
				writer.Go(func() {
					defer w.Close()
					for n := 1; n <= 4*events; n++ {
						for _, part := range c.parts {
							time.Sleep(time.Duration(c.pause * float64(in.Route.TargetGap)))
							if _, err := io.WriteString(w, strings.ReplaceAll(part, "N", strconv.Itoa(n))); err != nil {
								return
							}
						}
					}
				})
				answer, err := f.NewExchange(context.Background(), in).Do("m", 0)
				if err != nil {
					t.Fatal(err)
				}
				timer := answer.StartGapTimer()
				start, seen := time.Now(), 0
				reader := relay.NewEventReader(answer.Body)
				for seen < events {
					event, _, err := reader.Next()
					if err != nil {
						break
					}
					if relay.HasData(event) {
						timer.Progress()
						seen++
					}
				}
				if took, longest := time.Since(start), time.Duration((gapTimeoutFactor+1)*float64(in.Route.TargetGap)); timer.Stop() != c.ends || c.ends && took > longest {
					t.Errorf("stream ended after %v and %d events; want it cut: %v, and within %v", took, seen, c.ends, longest)
				}
				answer.Fail(io.ErrUnexpectedEOF)
				_ = r.Close()
				writer.Wait()
			})
		})
	}
}

// Guards against a stall timer that cancels an attempt, or charges the retry budget for another one, after it was
// stopped.
func TestStoppedStallTimerCancelsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, in := routedFilter(t, routerFunc(answerOK))
		answer, err := f.NewExchange(context.Background(), in).Do("m", 0)
		if err != nil {
			t.Fatal(err)
		}
		timer := answer.StartGapTimer()
		before := answer.exchange.budget.available()
		if timer.Stop() {
			t.Error("the stall timer cancelled the attempt at once")
		}
		time.Sleep(10 * in.Route.TargetGap)
		if after := answer.exchange.budget.available(); after != before {
			t.Errorf("retry budget %g after the timer was stopped; want %g as before", after, before)
		}
		answer.Close()
		next, err := f.NewExchange(context.Background(), in).Do("m", 0)
		if err != nil {
			t.Fatal(err)
		}
		timer = next.StartGapTimer()
		time.Sleep(time.Duration(gapTimeoutFactor*float64(in.Route.TargetGap)) + time.Millisecond)
		if !timer.Stop() {
			t.Error("a stalled stream was not cancelled")
		}
		next.Close()
	})
}
