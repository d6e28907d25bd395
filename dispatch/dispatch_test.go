package dispatch

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleytrail/bramleytrail/choose"
	"github.com/bramleytrail/bramleytrail/config"
	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/object"
	"github.com/bramleytrail/bramleytrail/poison"
	"github.com/bramleytrail/bramleytrail/pool"
	"github.com/bramleytrail/bramleytrail/result"
)

// scriptedClient is an engine client whose calls and streams fail as the functions of a test decide.
type scriptedClient struct {
	engine.Client // nil; dispatch does not call its other methods

	mu    sync.Mutex
	rnd   *rand.Rand
	calls int
	fail  func(r *rand.Rand) error // error of a call, or nil
	cut   func(r *rand.Rand) error // error in the middle of a stream, or nil
	// buffered makes events available at once, as if they were already in a buffer when the reader asks for them.
	buffered bool
}

func (c *scriptedClient) call() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	return c.fail(c.rnd)
}

func (c *scriptedClient) Stream(ctx context.Context, _ string, r engine.Request) (engine.Stream, error) {
	if err := c.call(); err != nil {
		return nil, err
	}
	return &scriptedStream{c: c, ctx: ctx, seq: r.PriorTokens}, ctx.Err()
}

func (c *scriptedClient) Resume(ctx context.Context, _, _ string, after int64) (engine.Stream, error) {
	if err := c.call(); err != nil {
		return nil, err
	}
	return &scriptedStream{c: c, ctx: ctx, seq: after}, ctx.Err()
}

func (c *scriptedClient) Cancel(context.Context, string, string) error { return nil }

func (c *scriptedClient) Load(context.Context, string) (engine.Load, error) {
	return engine.Load{Boot: "b", Completed: 100}, nil
}

const scriptedTokens = 5

type scriptedStream struct {
	c   *scriptedClient
	ctx context.Context
	seq int64
}

func (s *scriptedStream) Boot() string { return "b" }
func (s *scriptedStream) Close() error { return nil }

func (s *scriptedStream) Next() (engine.Event, error) {
	if s.seq >= scriptedTokens {
		return engine.Event{}, io.EOF
	}
	if !s.c.buffered {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-s.ctx.Done():
			return engine.Event{}, s.ctx.Err()
		}
	}
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	if err := s.c.cut(s.c.rnd); err != nil {
		return engine.Event{}, err
	}
	s.seq++
	return engine.Event{Seq: s.seq, Text: fmt.Sprint(s.seq)}, nil
}

// newFixture returns a filter, its pool with endpoints of one version under the given limits, and a request to them.
func newFixture(c engine.Client, endpoints int, lim object.EndpointLimits) (*Filter, *pool.Pool, Input) {
	svc := &object.Service{Name: "llm", Type: object.ServiceModel, Limits: lim, Timeouts: object.Timeouts{FirstByte: time.Second, Progress: time.Second}}
	version := &object.Version{Name: "v", Model: "m"}
	view := &config.View{
		Services: map[string]*object.Service{"llm": svc}, Domains: map[string]*object.FailureDomain{"d": {Name: "d", State: object.DomainIn}},
		Teams: map[string]*object.Team{"t": {Name: "t", Limits: object.TeamLimits{MaxTokens: 100}}},
	}
	rnd := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	random := func() uint64 {
		mu.Lock()
		defer mu.Unlock()
		return rnd.Uint64()
	}
	var f *Filter
	p := pool.New(pool.Spec{Self: "e", Domain: "d", Rand: random, OnCapacity: func(s string, v []string) {
		if f != nil {
			f.Signal(s, v)
		}
	}})
	f = New(Spec{Pool: p, Client: c, Poison: poison.NewTable(), OnCrash: func(poison.Record) {}, OnClear: func([]poison.Record) {}, QueueWait: 2 * time.Second, Now: time.Now, Rand: random})
	list := hostlist.List{Hosts: []hostlist.Host{{ID: "e", Role: hostlist.RoleEntry, Domain: "d"}}}
	for i := range endpoints {
		id := fmt.Sprint("llm-", i)
		list.Hosts = append(list.Hosts, hostlist.Host{ID: id, Addr: id, Role: hostlist.RoleEndpoint, Domain: "d", State: hostlist.StateLive, Service: "llm", Versions: []string{"v"}})
	}
	p.SetView(view, time.Now())
	p.SetHosts(list, time.Now())
	return f, p, Input{View: view, Team: "t", Candidates: []choose.Candidate{{Version: version, Service: "llm"}}, Tokens: 10, MaxTokens: 20}
}

// serve sends a request and reads its answer to the end.
func serve(ctx context.Context, f *Filter, in Input) error {
	a, err := f.Do(ctx, in)
	if err != nil {
		return err
	}
	defer a.Close()
	for {
		if _, err := a.Next(); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// Guards against retries that multiply the load on the endpoints while all of them fail.
func TestRetriesStayWithinBudget(t *testing.T) {
	for name, fault := range map[string]error{"failed": engine.ErrFailed, "broken": engine.ErrBroken, "busy": engine.ErrBusy, "unreachable": engine.ErrUnreachable} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &scriptedClient{rnd: rand.New(rand.NewPCG(1, 1)), fail: func(*rand.Rand) error { return fault }}
				f, _, in := newFixture(c, 2000, object.EndpointLimits{Slots: 100, ColdSlots: 100, Tokens: 10000})
				const requests = 1000
				for i := range requests {
					in.RequestID, in.Fingerprint = fmt.Sprint(i), uint64(i+1)
					if err := serve(t.Context(), f, in); err == nil {
						t.Error("a request succeeded although all endpoints fail")
					}
				}
				if maxCalls := requests + requests/5 + retryReserve; c.calls > maxCalls || c.calls < requests {
					t.Errorf("%d calls for %d requests; want at most %d", c.calls, requests, maxCalls)
				}
			})
		})
	}
}

// Guards against slots and tokens that are never released, or released twice, after any outcome of a request.
func TestReservationsEndWithTheirRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		faults := []error{engine.ErrFailed, engine.ErrBroken, engine.ErrBusy, engine.ErrUnreachable, engine.ErrRejected, engine.ErrUnknownStream}
		failOneIn := func(n int) func(r *rand.Rand) error {
			return func(r *rand.Rand) error {
				if r.IntN(n) > 0 {
					return nil
				}
				return faults[r.IntN(len(faults))]
			}
		}
		c := &scriptedClient{rnd: rand.New(rand.NewPCG(3, 1)), fail: failOneIn(3), cut: failOneIn(10)}
		f, p, in := newFixture(c, 3, object.EndpointLimits{Slots: 12, ColdSlots: 6, Tokens: 300, WarmAfter: 5})
		stop := make(chan struct{})
		go func() { // load reports make endpoints warm; the reservations are checked while requests are in flight
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				for _, target := range p.NextPolls(1, time.Now()) {
					p.RecordLoad(target.ID, engine.Load{Boot: "b", Completed: 100}, time.Now())
				}
				for _, s := range p.Dump(time.Now(), 10) {
					if s.InFlight < 0 || s.InFlight > 12 || s.Tokens < 0 || s.Tokens > 300 {
						t.Errorf("%s: %d in flight, %d tokens reserved; want 0 to 12 and 0 to 300", s.ID, s.InFlight, s.Tokens)
					}
				}
			}
		}()
		var wg sync.WaitGroup
		codes := map[result.Code]int{}
		for i := range 1000 {
			c.mu.Lock()
			start, leave := time.Duration(c.rnd.IntN(10_000))*time.Millisecond, time.Duration(c.rnd.IntN(1000))*time.Millisecond
			c.mu.Unlock()
			wg.Go(func() {
				<-time.After(start)
				ctx, cancel := context.WithTimeout(t.Context(), leave)
				defer cancel()
				in := in
				in.RequestID, in.Fingerprint, in.AtMostOnce = fmt.Sprint(i), uint64(i+1), i%4 == 0
				err := serve(ctx, f, in)
				c.mu.Lock()
				defer c.mu.Unlock()
				if err == nil {
					codes[result.OK]++
				} else {
					codes[result.From(err).Code]++
				}
			})
		}
		wg.Wait()
		close(stop)
		for _, s := range p.Dump(time.Now(), 10) {
			if s.InFlight != 0 || s.Tokens != 0 {
				t.Errorf("%s: %d in flight, %d tokens reserved after all requests", s.ID, s.InFlight, s.Tokens)
			}
		}
		if f.Waiting() != 0 || codes[result.OK] == 0 || codes[result.NoEndpoint] == 0 || codes[result.DeadlineExceeded] == 0 || codes[result.EndpointRejected] == 0 {
			t.Errorf("%d requests wait, want 0; requests by code %v, want some of each kind", f.Waiting(), codes)
		}
	})
}

// Guards against more work than an endpoint's cold share because of tokens that were buffered for a slow caller: the
// endpoint may have restarted since it sent them.
func TestBufferedTokensAreNoSignOfLife(t *testing.T) {
	for _, buffered := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			never := func(*rand.Rand) error { return nil }
			c := &scriptedClient{rnd: rand.New(rand.NewPCG(1, 1)), fail: never, cut: never, buffered: buffered}
			f, p, in := newFixture(c, 1, object.EndpointLimits{Slots: 12, ColdSlots: 2, WarmAfter: 1})
			p.RecordLoad("llm-0", engine.Load{Boot: "b", Completed: 100}, time.Now())
			a, err := f.Do(t.Context(), in)
			if err != nil {
				t.Fatal(err)
			}
			defer a.Close()
			<-time.After(2 * time.Second) // the caller does not read
			for range 2 {
				if _, err := a.Next(); err != nil {
					t.Fatal(err)
				}
			}
			want := int64(12)
			if buffered {
				want = 2
			}
			if s := p.Dump(time.Now(), 1); s[0].Slots != want {
				t.Errorf("buffered %v: share is %d slots; want %d", buffered, s[0].Slots, want)
			}
		})
	}
}
