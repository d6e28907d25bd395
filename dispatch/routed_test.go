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

// routerFunc answers routed requests.
type routerFunc func(ctx context.Context, addr string, r *engine.RoutedRequest) (*engine.RoutedResponse, error)

func (f routerFunc) Route(ctx context.Context, addr string, r *engine.RoutedRequest) (*engine.RoutedResponse, error) {
	return f(ctx, addr, r)
}

func answerOK(context.Context, string, *engine.RoutedRequest) (*engine.RoutedResponse, error) {
	return &engine.RoutedResponse{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("x")), Length: 1}, nil
}

// routedFilter returns a filter before two endpoints of a service in each of two failure domains, and a request to it.
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
		Route:  &object.Route{Stream: true, Resumable: true, Attempts: 3, Target: time.Second, Gap: time.Second, Backends: []object.Backend{{Service: "llm", Weight: 1}}},
		Query:  pool.RoutedQuery{Model: "m", Target: time.Second, Gap: time.Second},
		Assign: func(*config.View, bool) (string, string) { return "", "" },
	}
}

// Guards against prompts that are taken off an endpoint's work twice, when the answer begins and when it ends: the endpoint
// that had the most requests would then look like the least loaded one.
func TestReadPromptsLeaveNoWork(t *testing.T) {
	f, in := routedFilter(t, routerFunc(answerOK))
	for range 5 {
		answer, err := f.NewExchange(context.Background(), in).Do("m", 0)
		if err != nil {
			t.Fatal(err)
		}
		answer.Keep()
		answer.Close()
	}
	for _, s := range f.spec.Pool.Dump(time.Now(), 10) {
		if s.Reading != 0 || s.InFlight != 0 {
			t.Errorf("%s: %g ms of prompts and %d requests are left", s.ID, s.Reading, s.InFlight)
		}
	}
}

// silence never answers.
func silence(ctx context.Context, _ string, _ *engine.RoutedRequest) (*engine.RoutedResponse, error) {
	<-ctx.Done()
	return nil, context.Cause(ctx)
}

// Guards against requests that wait for the whole limit at an endpoint whose failure domain is known to be cut off.
func TestSilentDomainIsGivenUpEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sent []string
		f, in := routedFilter(t, routerFunc(func(ctx context.Context, addr string, r *engine.RoutedRequest) (*engine.RoutedResponse, error) {
			if sent = append(sent, addr); addr[0] == 'a' {
				return silence(ctx, addr, r)
			}
			return answerOK(ctx, addr, r)
		}))
		ask := func() time.Duration {
			start := time.Now()
			answer, err := f.NewExchange(context.Background(), in).Do("m", 0)
			if err != nil {
				t.Fatal(err)
			}
			answer.Keep()
			answer.Close()
			return time.Since(start)
		}
		first := ask()
		if want := time.Duration(silenceShare * float64(in.Route.Target)); first < want {
			t.Fatalf("a silent endpoint was given up after %v, before its limit of %v", first, want)
		}
		if sent[0][0] != 'a' || sent[len(sent)-1][0] != 'b' {
			t.Fatalf("sent to %v", sent)
		}
		sent = nil
		if second := ask(); second > minSilence {
			t.Errorf("the second request took %v, sent to %v", second, sent)
		}
	})
}

// Guards against a slow but sound stream that is cut, and against one that sends a byte or a comment now and then and never ends. Both
// run on the same clock.
func TestSlowStreamLivesAndDrippingOneEnds(t *testing.T) {
	const events = 8
	for name, c := range map[string]struct {
		parts []string // sent one after the other, again and again
		pause float64  // between them, in gaps of the route
		ends  bool
	}{
		"slow":     {[]string{"id: N\ndata: x\n\n"}, gapFactor - 1, false},
		"in parts": {[]string{"id: N\n", "data: x\n\n"}, (gapFactor - 1) / 2, false},
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
							time.Sleep(time.Duration(c.pause * float64(in.Route.Gap)))
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
				limit := answer.LimitGaps()
				start, seen := time.Now(), 0
				reader := relay.NewEventReader(answer.Body)
				for seen < events {
					event, _, err := reader.Next()
					if err != nil {
						break
					}
					if relay.Advances(event) {
						limit.Progress()
						seen++
					}
				}
				if took, longest := time.Since(start), time.Duration((gapFactor+1)*float64(in.Route.Gap)); limit.Stop() != c.ends || c.ends && took > longest {
					t.Errorf("given up: %v, after %v and %d events", !c.ends, took, seen)
				}
				answer.Broken(io.ErrUnexpectedEOF)
				_ = r.Close()
				writer.Wait()
			})
		})
	}
}

// Guards against a limit that ends an attempt after it was stopped, and against a budget that is charged for it.
func TestStoppedLimitEndsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, in := routedFilter(t, routerFunc(answerOK))
		answer, err := f.NewExchange(context.Background(), in).Do("m", 0)
		if err != nil {
			t.Fatal(err)
		}
		limit := answer.LimitGaps()
		before := answer.exchange.budget.level()
		if limit.Stop() {
			t.Error("the limit has ended the attempt at once")
		}
		time.Sleep(10 * in.Route.Gap)
		if after := answer.exchange.budget.level(); after != before {
			t.Errorf("budget %g, before %g", after, before)
		}
		answer.Close()
		next, err := f.NewExchange(context.Background(), in).Do("m", 0)
		if err != nil {
			t.Fatal(err)
		}
		limit = next.LimitGaps()
		time.Sleep(time.Duration(gapFactor*float64(in.Route.Gap)) + time.Millisecond)
		if !limit.Stop() {
			t.Error("a silent stream was not given up")
		}
		next.Close()
	})
}
