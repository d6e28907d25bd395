package cachemove

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleytrail/bramleytrail/engine"
	"github.com/bramleytrail/bramleytrail/engine/httpengine"
	"github.com/bramleytrail/bramleytrail/hostlist"
	"github.com/bramleytrail/bramleytrail/pool"
	"github.com/bramleytrail/bramleytrail/standin"
)

const (
	testTokens  = 4000 // of the conversation
	testPrefill = 100 * time.Microsecond
	testSize    = testTokens << 10 // bytes
	testRate    = 100 << 20        // bytes a second; the move takes a tenth of the prefill
)

// fixture is a set of stand-in engines on a network in memory, and a mover that knows their prefill time.
type fixture struct {
	t       *testing.T
	engines map[string]*standin.Engine
	client  *httpengine.Client
	hosts   map[uint64]hostlist.Host
	states  map[string]pool.EndpointState
	mover   *Mover
	stop    []func()
}

// pipeListener accepts connections in memory, which work under a fake clock and deliver what was written before a Close.
type pipeListener chan net.Conn

func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.UnixAddr{} }

func (l pipeListener) Accept() (net.Conn, error) {
	if c, ok := <-l; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

// run runs a test under a fake clock, with engines a and b in one failure domain and c in another one.
func run(t *testing.T, test func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{t: t, engines: map[string]*standin.Engine{}, hosts: map[uint64]hostlist.Host{}, states: map[string]pool.EndpointState{}}
		listeners := map[string]pipeListener{}
		f.client = httpengine.NewClientWith(httpengine.Over(func(_ context.Context, _, addr string) (net.Conn, error) {
			client, server := net.Pipe()
			listeners[strings.TrimSuffix(addr, ":80")] <- server
			return client, nil
		}))
		for id, domain := range map[string]string{"a": "north", "b": "north", "c": "south"} {
			e := standin.NewEngine(standin.EngineSpec{Name: id, Versions: []string{"v", "w"}, Answer: 1, PrefillDelay: testPrefill,
				CacheBytes: 1 << 10, CacheRate: testRate})
			server := &http.Server{Handler: e.Handler()}
			ln := make(pipeListener)
			listeners[id] = ln
			go func() { _ = server.Serve(ln) }()
			f.stop = append(f.stop, func() { close(ln); _ = server.Close() })
			f.engines[id] = e
			f.hosts[Hash(id)] = hostlist.Host{ID: id, Addr: id, Domain: domain, Role: hostlist.RoleEndpoint, State: hostlist.StateLive, Service: "llm"}
			f.states[id] = pool.EndpointState{ID: id, Slots: 10, InFlight: 1}
		}
		synctest.Wait()
		f.mover = New(Spec{Client: f.client, Fleet: f, Now: time.Now,
			Limits: Limits{Moves: 2, PerSource: 1, Bytes: 2 * testSize, Time: 2 * time.Second}})
		for i := range 2 * leastSamples {
			n := int64(500 * (i + 1))
			f.mover.FirstToken(&Report{Outcome: Unmeasured}, "llm", "v", n, 20*time.Millisecond+time.Duration(n)*testPrefill)
		}
		test(f)
		f.client.Close()
		for _, stop := range f.stop {
			stop()
		}
	})
}

func (f *fixture) Host(hash uint64) (hostlist.Host, bool) { h, ok := f.hosts[hash]; return h, ok }
func (f *fixture) State(id string) (s pool.EndpointState, ok bool) {
	s, ok = f.states[id]
	return s, ok
}

// turn sends a turn of a conversation to an engine and returns the session as its token describes it.
func (f *fixture) turn(id string, s Session, turns ...string) Session {
	f.t.Helper()
	messages, _ := json.Marshal(turns)
	stream, err := f.client.Stream(f.t.Context(), id, engine.Request{
		ID: id + strings.Join(turns, ""), Version: "v", Body: []byte(`{"messages":` + string(messages) + `}`), Session: s.Name("v"),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	for err == nil {
		_, err = stream.Next()
	}
	stream.Close()
	s.Version, s.Endpoint, s.Tokens = "v", Hash(id), testTokens
	return s
}

// cached returns the tokens of the last run at an engine that were in its cache.
func (f *fixture) cached(id string) int64 {
	runs := f.engines[id].Runs()
	return runs[len(runs)-1].Cached
}

func (f *fixture) move(s Session, id string) *Report {
	return f.mover.Move(f.t.Context(), s, Target{ID: id, Addr: id, Domain: f.hosts[Hash(id)].Domain, Service: "llm", Version: "v",
		Boot: id + "-1", Prompt: testTokens + 100})
}

var (
	testSession = Session{Team: "team", ID: "s"}
	longTurn    = strings.Repeat("abc ", testTokens)
)

// Guards against a cache that does not arrive, arrives under another name, or is used for another beginning of a prompt.
func TestMovedCacheIsUsed(t *testing.T) {
	run(t, func(f *fixture) {
		s := f.turn("a", testSession, longTurn)
		host := f.hosts[Hash("a")]
		host.State = hostlist.StateLeaving
		f.hosts[Hash("a")] = host
		delete(f.states, "a") // the pool does not know endpoints that leave
		rep := f.move(s, "b")
		if rep.Outcome != Moved || !rep.Trial || rep.Bytes < testSize || rep.Took > testTokens*testPrefill/4 {
			t.Fatalf("report %+v", rep)
		}
		if s = f.turn("b", s, longTurn, "next"); f.cached("b") < testTokens {
			t.Errorf("%d tokens of the moved cache were used", f.cached("b"))
		}
		if f.turn("b", s, "x"+longTurn); f.cached("b") > 0 {
			t.Errorf("%d tokens of a cache with another beginning were used", f.cached("b"))
		}
		if rep := f.move(s, "c"); !rep.Trial { // the rate between domains is another one
			t.Errorf("report %+v", rep)
		}
		f.states["a"] = f.states["c"]
		if rep := f.move(s, "a"); rep.Outcome != Moved || rep.Trial {
			t.Errorf("report %+v, want a move by the measured rates", rep)
		}
	})
}

// Guards against a failed move that delays the request beyond its limit, leaves a part of the cache in use, counts as in
// flight for ever, or is tried again at once at an endpoint that is silent.
func TestFailedMovesEndInPrefill(t *testing.T) {
	for name, c := range map[string]struct {
		source, target standin.CacheFault
		bound          int64
		want, next     Outcome
	}{
		"export fails":       {source: standin.CacheFault{ExportStatus: http.StatusInternalServerError}, want: ExportFailed, next: SourceDown},
		"export is refused":  {source: standin.CacheFault{ExportStatus: http.StatusServiceUnavailable}, want: ExportFailed, next: SourceDown},
		"cache is evicted":   {source: standin.CacheFault{ExportStatus: http.StatusNotFound}, want: CacheGone, next: Unmeasured},
		"source is silent":   {source: standin.CacheFault{StallAfter: testSize / 2}, want: TimedOut, next: SourceDown},
		"connection breaks":  {source: standin.CacheFault{CutAfter: testSize / 2}, want: ExportFailed, next: SourceDown},
		"break without size": {source: standin.CacheFault{CutAfter: testSize / 2, HideSize: true}, want: ExportFailed, next: SourceDown},
		"too large":          {bound: testSize / 2, want: Oversized, next: TooLarge},
		"larger than stated": {source: standin.CacheFault{HideSize: true}, bound: testSize / 2, want: Oversized, next: TooLarge},
		"import is refused":  {target: standin.CacheFault{ImportStatus: http.StatusUnprocessableEntity}, want: ImportFailed, next: Unmeasured},
		"target restarts":    {target: standin.CacheFault{CrashOnPut: true}, want: TargetRestarted, next: Unmeasured},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(f *fixture) {
				if c.bound > 0 {
					f.mover.spec.Limits.Bytes = c.bound
				}
				s := f.turn("a", testSession, longTurn)
				f.engines["a"].SetCacheFault(c.source)
				f.engines["b"].SetCacheFault(c.target)
				rep, limit := f.move(s, "b"), f.mover.spec.Limits.Time/trialPart
				if rep.Outcome != c.want || rep.Took > limit || !rep.Begun() {
					t.Errorf("report %+v, want %s within %s", rep, c.want, limit)
				}
				if n := f.engines["b"].Sessions(); n != 0 {
					t.Errorf("the target keeps %d caches", n)
				}
				if rep := f.move(s, "b"); rep.Outcome != c.next {
					t.Errorf("the next move: %+v, want %s", rep, c.next)
				}
				if st := f.mover.State(); st.InFlight != 0 {
					t.Errorf("%d moves in flight", st.InFlight)
				}
			})
		})
	}
}

// Guards against moves for calls that may not move anything, and from or to endpoints that must be left alone.
func TestIneligible(t *testing.T) {
	run(t, func(f *fixture) {
		s := f.turn("a", testSession, longTurn)
		with := func(change func(*Session)) Session { c := s; change(&c); return c }
		check := func(s Session, target string, want Outcome) {
			t.Helper()
			if rep := f.move(s, target); rep.Outcome != want || rep.Begun() {
				t.Errorf("report %+v, want %s", rep, want)
			}
		}
		check(testSession, "b", NoPrevious)
		check(s, "a", SameEndpoint)
		check(with(func(s *Session) { s.Version = "w" }), "b", OtherVersion)
		check(with(func(s *Session) { s.Endpoint = 1 }), "b", NotListed)
		check(with(func(s *Session) { s.Tokens = leastTokens - 1 }), "b", TooShort)
		f.states["b"] = pool.EndpointState{ID: "b", Slots: 10, InFlight: 10}
		check(s, "b", TargetFull)
		f.states["b"] = pool.EndpointState{ID: "b", Slots: 10, InFlight: 9}
		f.states["a"] = pool.EndpointState{ID: "a", Ejected: true}
		check(s, "b", SourceDown)
		f.states["a"] = pool.EndpointState{ID: "a"}
		f.mover.EndpointFailed("a")
		check(s, "b", SourceDown)
		time.Sleep(barTime)
		other := with(func(s *Session) { s.Team = "other" })
		if rep := f.move(other, "b"); rep.Outcome != CacheGone {
			t.Errorf("cache of another team: %+v", rep)
		}
		var m *Mover // moves are off
		m.EndpointFailed("a")
		if m.State() != nil {
			t.Error("a state without a mover")
		}
	})
}

// Guards against moves beyond the limits in flight, and against a move that outlives its request.
func TestMovesInFlight(t *testing.T) {
	run(t, func(f *fixture) {
		s := f.turn("a", testSession, longTurn)
		f.move(s, "b") // measures the rate
		second := f.turn("b", Session{Team: "team", ID: "s2"}, longTurn)
		third := f.turn("c", Session{Team: "team", ID: "s3"}, longTurn)
		ctx, cancel := context.WithCancel(f.t.Context())
		var cancelled *Report
		var wg sync.WaitGroup
		f.engines["a"].SetCacheFault(standin.CacheFault{StallAfter: 1 << 10})
		target := Target{ID: "b", Addr: "b", Domain: "north", Service: "llm", Version: "v", Prompt: testTokens}
		wg.Go(func() { cancelled = f.mover.Move(ctx, s, target) })
		time.Sleep(time.Millisecond)
		if rep := f.move(s, "b"); rep.Outcome != SourceBusy {
			t.Errorf("a second move from one endpoint: %+v", rep)
		}
		wg.Go(func() { f.move(second, "a") })
		time.Sleep(time.Millisecond)
		if rep := f.move(third, "b"); rep.Outcome != TooManyMoves {
			t.Errorf("a third move: %+v", rep)
		}
		start := time.Now()
		cancel()
		wg.Wait()
		if cancelled.Outcome != Cancelled || time.Since(start) > 50*time.Millisecond || f.mover.State().InFlight != 0 {
			t.Errorf("after the request ended: %+v, %+v", cancelled, f.mover.State())
		}
	})
}

// Guards against endpoints that are left alone since a move had little time, or that flow slowly.
func TestShortLimitsAreNoSilence(t *testing.T) {
	const ms = time.Millisecond
	if isSilent(40*ms, 40*ms) || isSilent(100*ms, 250*ms) || !isSilent(125*ms, 250*ms) || !isSilent(50*ms, 60*ms) {
		t.Error("silence is judged wrongly")
	}
}

// Guards against requests that wait for one endpoint after the other of a failure domain that is cut off.
func TestSilentDomainIsBarred(t *testing.T) {
	var s sources
	now := time.Unix(0, 0)
	s.silent("a", "north", now)
	if s.silent("a", "north", now); s.barred("b", "north", now) {
		t.Error("one silent endpoint bars its domain")
	}
	s.silent("c", "north", now)
	if !s.barred("b", "north", now) || s.barred("d", "south", now) || s.barred("b", "north", now.Add(barTime)) {
		t.Error("two silent endpoints bar their domain, and no other one, for the bar time")
	}
}
